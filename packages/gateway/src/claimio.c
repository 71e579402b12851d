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
  bool *decided_flag; /* non-NULL while begin_claim runs; set on a decision */
  bool abandoned;
  void (*decided_callback) (void *context,
                            struct gateway_claim *claim,
                            enum claim_verdict verdict,
                            enum result result,
                            const struct claim_answer *answer);
  void *decided_context;
  void (*settled_callback) (void *context); /* NULL if none or cancelled */
  void *settled_context;
  TAILQ_ENTRY (gateway_claim) link;
};

struct claimio_transfer
{
  struct claimio *claimio; /* NULL once claimio_finish has run */
  enum claim_action_kind kind;
  char object[CLAIM_OBJECT_SIZE];
  TAILQ_ENTRY (claimio_transfer) link;
};

static void start_transfers (struct claimio *claimio);

static void
on_transfer_done (void *context, const struct platform_response *response)
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
  /* The platform's client is being finished, so start no more transfers. */
  if (response->result == RESULT_CANCELLED)
    claimio->stopped = true;
  else if (transfer->kind == CLAIM_ACTION_READ)
    claim_read_done (&claimio->table, transfer->object, response->result,
                     response->version, response->value, now_ms);
  else
    claim_write_done (&claimio->table, transfer->object, response->result,
                      response->version, now_ms);
  free (transfer);
  start_transfers (claimio);
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
    platform_get (claimio->platform, action->object, on_transfer_done,
                  transfer);
  else
    platform_put (claimio->platform, action->object, action->version,
                  action->value, on_transfer_done, transfer);
}

/*
 * Starts all transfers that the claim table needs.  A transfer may end before
 * its start returns; the outer call then continues the loop.
 */
static void
start_transfers (struct claimio *claimio)
{
  struct claim_action action;

  if (claimio->starting_transfers)
    return;
  claimio->starting_transfers = true;
  while (!claimio->stopped && claim_next_action (&claimio->table, &action))
    start_transfer (claimio, &action);
  claimio->starting_transfers = false;
}

static void
free_claim (struct gateway_claim *claim)
{
  TAILQ_REMOVE (&claim->claimio->claims, claim, link);
  free (claim);
}

static void
on_claim_settled (void *context, bool durable)
{
  struct gateway_claim *claim = context;

  /* The reply is sent even if the record is not durable; the table retries. */
  (void)durable;
  if (claim->settled_callback != NULL)
    claim->settled_callback (claim->settled_context);
  free_claim (claim);
}

static void
on_claim_decided (void *context,
                  enum claim_verdict verdict,
                  enum result result,
                  const struct claim_record *record)
{
  struct gateway_claim *claim = context;
  struct claimio *claimio = claim->claimio;

  if (claim->decided_flag != NULL)
    *claim->decided_flag = true;
  claim->decided_flag = NULL;
  if (!claim->abandoned)
    claim->decided_callback (claim->decided_context, claim, verdict, result,
                             verdict == CLAIM_VERDICT_REPLAY ? &record->answer
                                                             : NULL);
  else if (verdict == CLAIM_VERDICT_GRANTED)
    claim_settle (&claimio->table, &claim->call, CLAIM_NOT_RUN, NULL,
                  time_boot_ms ());
  /* A granted claim is freed when it is settled. */
  if (verdict != CLAIM_VERDICT_GRANTED)
    free_claim (claim);
}

static void
refuse_claim (struct gateway_claim *claim, enum result result)
{
  on_claim_decided (claim, CLAIM_VERDICT_REFUSED, result, NULL);
}

static struct gateway_claim *
begin_claim (void *context,
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
  bool already_decided = false;
  enum result result;

  if (claim == NULL)
    {
      decided (decided_context, NULL, CLAIM_VERDICT_REFUSED, RESULT_NO_MEMORY,
               NULL);
      return NULL;
    }
  claim->claimio = claimio;
  TAILQ_INSERT_TAIL (&claimio->claims, claim, link);
  claim->decided_callback = decided;
  claim->decided_context = decided_context;
  claim->decided_flag = &already_decided;
  claim->call.decided = on_claim_decided;
  claim->call.settled = on_claim_settled;
  claim->call.context = claim;
  claim->call.deadline_ms
      = request->deadline_ms < now_ms + CLAIMIO_DECISION_TIMEOUT_MS
            ? request->deadline_ms
            : now_ms + CLAIMIO_DECISION_TIMEOUT_MS;
  snprintf (claim->call.fingerprint, sizeof claim->call.fingerprint, "%s",
            request->fingerprint);
  uuid_generate (claim->call.token);
  result = claim_locate (request->customer, request->service,
                         request->idempotency_key, time_wall_ms (),
                         claimio->platform->clock_skew_ms, claim->call.object,
                         claim->call.key);
  if (result != RESULT_OK)
    {
      refuse_claim (claim, result);
      return NULL;
    }
  claim_submit (&claimio->table, &claim->call, now_ms);
  if (!already_decided)
    start_transfers (claimio);
  if (already_decided)
    return NULL;
  claim->decided_flag = NULL;
  return claim;
}

static bool
copy_answer (struct claim_answer *copy, const struct claim_answer *answer)
{
  *copy = *answer;
  copy->content_type = copy->body = NULL;
  if (answer->content_type != NULL)
    copy->content_type = strdup (answer->content_type);
  if (answer->body_size > 0)
    copy->body = malloc (answer->body_size);
  if ((answer->content_type != NULL && copy->content_type == NULL)
      || (answer->body_size > 0 && copy->body == NULL))
    {
      claim_answer_finish (copy);
      return false;
    }
  if (answer->body_size > 0)
    memcpy (copy->body, answer->body, answer->body_size);
  return true;
}

static void
settle_claim (void *context,
              struct gateway_claim *claim,
              enum claim_state state,
              const struct claim_answer *answer,
              void (*settled) (void *context),
              void *settled_context)
{
  struct claimio *claimio = context;
  struct claim_answer copy = { 0 };
  bool done = state == CLAIM_DONE;

  claim->settled_callback = settled;
  claim->settled_context = settled_context;
  /* The call ran, but memory is short, so its response cannot be recorded. */
  if (done && !copy_answer (&copy, answer))
    {
      state = CLAIM_UNKNOWN;
      done = false;
    }
  claim_settle (&claimio->table, &claim->call, state, done ? &copy : NULL,
                time_boot_ms ());
  start_transfers (claimio);
}

static void
cancel_settled_callback (void *context, void *settled_context)
{
  struct claimio *claimio = context;
  struct gateway_claim *claim;

  TAILQ_FOREACH (claim, &claimio->claims, link)
    if (claim->settled_context == settled_context)
      claim->settled_callback = NULL;
}

static void
abandon_claim (void *context, struct gateway_claim *claim)
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
  claimio->hooks = (struct gateway_claim_hooks){
    .context = claimio,
    .begin = begin_claim,
    .settle = settle_claim,
    .cancel_settled = cancel_settled_callback,
    .abandon = abandon_claim,
  };
  TAILQ_INIT (&claimio->transfers);
  TAILQ_INIT (&claimio->claims);
}

void
claimio_finish (struct claimio *claimio)
{
  struct claimio_transfer *transfer;

  claimio->stopped = true;
  /* The platform's client still refers to them; on_transfer_done frees them. */
  TAILQ_FOREACH (transfer, &claimio->transfers, link)
    transfer->claimio = NULL;
  TAILQ_INIT (&claimio->transfers);
  claim_table_finish (&claimio->table);
}

void
claimio_tick (struct claimio *claimio, int64_t now_ms)
{
  claim_tick (&claimio->table, now_ms);
  start_transfers (claimio);
}

size_t
claimio_unwritten_count (const struct claimio *claimio)
{
  return claim_unwritten_count (&claimio->table);
}
