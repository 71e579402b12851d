#include "claimio.h"

#include "timeutil.h"
#include "uuid.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct gateway_claim
{
  struct claim_call call;
  struct claimio *claimio;
  bool *decided; /* set while begin runs */
  bool abandoned;
  void (*on_decided) (void *context,
                      struct gateway_claim *claim,
                      enum claim_verdict verdict,
                      enum result result,
                      const struct claim_answer *answer);
  void *decided_context;
  void (*on_settled) (void *context); /* NULL once it is not wanted */
  void *settled_context;
  TAILQ_ENTRY (gateway_claim) link;
};

struct claimio_transfer
{
  struct claimio *claimio; /* NULL once that was finished */
  enum claim_action_kind kind;
  char object[CLAIM_OBJECT_SIZE];
  TAILQ_ENTRY (claimio_transfer) link;
};

static void pump (struct claimio *claimio);

static void
transfer_done (void *context, const struct platform_answer *answer)
{
  struct claimio_transfer *transfer = context;
  struct claimio *claimio = transfer->claimio;
  int64_t now_ms = time_boot_ms ();

  if (claimio == NULL)
    {
      free (transfer);
      return;
    }
  TAILQ_REMOVE (&claimio->transfers, transfer, link);
  /* The client is being finished: nothing can be read or written any more. */
  if (answer->result == RESULT_CANCELLED)
    claimio->stopped = true;
  else if (transfer->kind == CLAIM_ACTION_READ)
    claim_read_done (&claimio->table, transfer->object, answer->result,
                     answer->version, answer->value, now_ms);
  else
    claim_write_done (&claimio->table, transfer->object, answer->result,
                      answer->version, now_ms);
  free (transfer);
  pump (claimio);
}

static void
start_transfer (struct claimio *claimio, const struct claim_action *action)
{
  struct claimio_transfer *transfer = calloc (1, sizeof *transfer);

  if (transfer == NULL)
    {
      if (action->kind == CLAIM_ACTION_READ)
        claim_read_done (&claimio->table, action->object, RESULT_NO_MEMORY, 0,
                         NULL, time_boot_ms ());
      else
        claim_write_done (&claimio->table, action->object, RESULT_NO_MEMORY, 0,
                          time_boot_ms ());
      return;
    }
  transfer->claimio = claimio;
  transfer->kind = action->kind;
  snprintf (transfer->object, sizeof transfer->object, "%s", action->object);
  TAILQ_INSERT_TAIL (&claimio->transfers, transfer, link);
  if (action->kind == CLAIM_ACTION_READ)
    platform_get (claimio->platform, action->object, transfer_done, transfer);
  else
    platform_put (claimio->platform, action->object, action->version,
                  action->value, transfer_done, transfer);
}

/* Transfers may end before they return; the outer pump goes on then. */
static void
pump (struct claimio *claimio)
{
  struct claim_action action;

  if (claimio->pumping)
    return;
  claimio->pumping = true;
  while (!claimio->stopped && claim_next_action (&claimio->table, &action))
    start_transfer (claimio, &action);
  claimio->pumping = false;
}

static void
claim_free (struct gateway_claim *claim)
{
  TAILQ_REMOVE (&claim->claimio->claims, claim, link);
  free (claim);
}

static void
on_settled (void *context, bool durable)
{
  struct gateway_claim *claim = context;

  /* Not durable in time: the table keeps trying, and the caller is told. */
  (void)durable;
  if (claim->on_settled != NULL)
    claim->on_settled (claim->settled_context);
  claim_free (claim);
}

static void
on_decided (void *context,
            enum claim_verdict verdict,
            enum result result,
            const struct claim_record *record)
{
  struct gateway_claim *claim = context;
  struct claimio *claimio = claim->claimio;

  if (claim->decided != NULL)
    *claim->decided = true;
  claim->decided = NULL;
  if (!claim->abandoned)
    claim->on_decided (claim->decided_context, claim, verdict, result,
                       verdict == CLAIM_VERDICT_REPLAY ? &record->answer
                                                       : NULL);
  else if (verdict == CLAIM_VERDICT_GRANTED)
    claim_settle (&claimio->table, &claim->call, CLAIM_NOT_RUN, NULL,
                  time_boot_ms ());
  /* A granted claim lives until it is settled. */
  if (verdict != CLAIM_VERDICT_GRANTED)
    claim_free (claim);
}

static void
refuse (struct gateway_claim *claim, enum result result)
{
  on_decided (claim, CLAIM_VERDICT_REFUSED, result, NULL);
}

static struct gateway_claim *
claim_begin (void *context,
             const struct gateway_claim_request *request,
             void (*decided) (void *context,
                              struct gateway_claim *claim,
                              enum claim_verdict verdict,
                              enum result result,
                              const struct claim_answer *answer),
             void *decided_context)
{
  struct claimio *claimio = context;
  struct gateway_claim *claim = calloc (1, sizeof *claim);
  int64_t now_ms = time_boot_ms ();
  bool was_decided = false;
  enum result result;

  if (claim == NULL)
    {
      decided (decided_context, NULL, CLAIM_VERDICT_REFUSED, RESULT_NO_MEMORY,
               NULL);
      return NULL;
    }
  claim->claimio = claimio;
  TAILQ_INSERT_TAIL (&claimio->claims, claim, link);
  claim->on_decided = decided;
  claim->decided_context = decided_context;
  claim->decided = &was_decided;
  claim->call.decided = on_decided;
  claim->call.settled = on_settled;
  claim->call.context = claim;
  claim->call.deadline_ms = request->deadline_ms < now_ms + CLAIMIO_WAIT_MS
                                ? request->deadline_ms
                                : now_ms + CLAIMIO_WAIT_MS;
  snprintf (claim->call.fingerprint, sizeof claim->call.fingerprint, "%s",
            request->fingerprint);
  uuid_generate (claim->call.token);
  result = claim_locate (request->customer, request->service,
                         request->idempotency_key, time_wall_ms (),
                         claimio->platform->clock_skew_ms, claim->call.object,
                         claim->call.key);
  if (result != RESULT_OK)
    {
      refuse (claim, result);
      return NULL;
    }
  claim_submit (&claimio->table, &claim->call, now_ms);
  if (!was_decided)
    pump (claimio);
  if (was_decided)
    return NULL;
  claim->decided = NULL;
  return claim;
}

static bool
copy_answer (struct claim_answer *copy, const struct claim_answer *answer)
{
  *copy = *answer;
  copy->body = NULL;
  if (answer->body_size == 0)
    return true;
  copy->body = malloc (answer->body_size);
  if (copy->body == NULL)
    return false;
  memcpy (copy->body, answer->body, answer->body_size);
  return true;
}

static void
claim_end (void *context,
           struct gateway_claim *claim,
           enum claim_state state,
           const struct claim_answer *answer,
           void (*settled) (void *context),
           void *settled_context)
{
  struct claimio *claimio = context;
  struct claim_answer copy = { 0 };
  bool done = state == CLAIM_DONE;

  claim->on_settled = settled;
  claim->settled_context = settled_context;
  /* It ran, but without memory there is no answer to keep for a repeat. */
  if (done && !copy_answer (&copy, answer))
    {
      state = CLAIM_UNKNOWN;
      done = false;
    }
  claim_settle (&claimio->table, &claim->call, state, done ? &copy : NULL,
                time_boot_ms ());
  pump (claimio);
}

static void
claim_forget (void *context, void *settled_context)
{
  struct claimio *claimio = context;
  struct gateway_claim *claim;

  TAILQ_FOREACH (claim, &claimio->claims, link)
    if (claim->settled_context == settled_context)
      claim->on_settled = NULL;
}

static void
claim_abandon (void *context, struct gateway_claim *claim)
{
  (void)context;
  claim->abandoned = true;
}

void
claimio_init (struct claimio *claimio,
              struct platform *platform,
              const char *host,
              uint64_t seed)
{
  memset (claimio, 0, sizeof *claimio);
  claim_table_init (&claimio->table, host, seed);
  claimio->platform = platform;
  claimio->hooks = (struct gateway_claims){
    .context = claimio,
    .begin = claim_begin,
    .settle = claim_end,
    .forget = claim_forget,
    .abandon = claim_abandon,
  };
  TAILQ_INIT (&claimio->transfers);
  TAILQ_INIT (&claimio->claims);
}

void
claimio_finish (struct claimio *claimio)
{
  struct claimio_transfer *transfer;

  claimio->stopped = true;
  /* The platform's client still holds these; their callbacks free them. */
  TAILQ_FOREACH (transfer, &claimio->transfers, link)
    transfer->claimio = NULL;
  TAILQ_INIT (&claimio->transfers);
  claim_table_finish (&claimio->table);
}

void
claimio_tick (struct claimio *claimio, int64_t now_ms)
{
  claim_tick (&claimio->table, now_ms);
  pump (claimio);
}

size_t
claimio_unwritten (const struct claimio *claimio)
{
  return claim_unwritten (&claimio->table);
}
