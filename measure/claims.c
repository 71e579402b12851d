/*
 * Platform calls per call that may not be repeated, in virtual time: claim
 * tables of several entry hosts against a model of the object service, next
 * to the baseline of one object per call (create it, then write the outcome).
 *
 * Usage: measure-claims
 */

#include "claim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define SEEDS 5
#define SECONDS 4 /* longer runs rewrite ever larger objects */
#define MAX_HOSTS 21
#define TICK_MS 50
#define ONE_WAY_MS 2  /* to the platform, and back */
#define BODY_SIZE 300 /* bytes of an answer */

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_DONE,   /* a call ends at its service */
  EVENT_EFFECT, /* a platform call reaches the store */
  EVENT_ANSWER,
  EVENT_TICK,
};

struct call
{
  struct claim_call claim;
  struct simulation *simulation;
  int host;
};

struct message
{
  int host;
  enum claim_action_kind kind;
  char object[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
  enum result result;
};

struct event
{
  int64_t at_ms;
  uint64_t order;
  enum event_kind kind;
  struct call *call;
  struct message *message;
};

struct stored
{
  char name[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
  UT_hash_handle hh;
};

struct simulation
{
  struct claim_table tables[MAX_HOSTS];
  int hosts;
  double rate;
  struct rng rng;
  int64_t now_ms;
  struct event *heap;
  size_t heap_count;
  size_t heap_size;
  uint64_t order;
  struct stored *stored;
  uint64_t revision;
  uint64_t calls;
  uint64_t granted;
  uint64_t refused;
  uint64_t settled;
  uint64_t late;
  uint64_t bytes;
  uint64_t baseline_bytes;
  int64_t submitted_ms;
};

static void
fail (const char *what)
{
  fprintf (stderr, "measure-claims: %s\n", what);
  exit (1);
}

/* --- events, in a binary heap --- */

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
swap (struct event *a, struct event *b)
{
  struct event c = *a;

  *a = *b;
  *b = c;
}

static void
push (struct simulation *simulation, struct event event)
{
  size_t i = simulation->heap_count++;
  struct event *heap;

  if (simulation->heap_count > simulation->heap_size)
    {
      simulation->heap_size = simulation->heap_size * 2 + 64;
      simulation->heap
          = realloc (simulation->heap, simulation->heap_size * sizeof event);
      if (simulation->heap == NULL)
        fail ("no memory");
    }
  heap = simulation->heap;
  event.order = simulation->order++;
  heap[i] = event;
  for (; i > 0 && is_before (&heap[i], &heap[(i - 1) / 2]); i = (i - 1) / 2)
    swap (&heap[i], &heap[(i - 1) / 2]);
}

static struct event
pop (struct simulation *simulation)
{
  struct event *heap = simulation->heap;
  struct event first = heap[0];
  size_t count = --simulation->heap_count;
  size_t i = 0;

  heap[0] = heap[count];
  for (;;)
    {
      size_t least = i;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < count && is_before (&heap[child], &heap[least]))
          least = child;
      if (least == i)
        return first;
      swap (&heap[i], &heap[least]);
      i = least;
    }
}

/* --- platform --- */

static void
apply (struct simulation *simulation, struct message *message)
{
  struct stored *stored;

  HASH_FIND_STR (simulation->stored, message->object, stored);
  if (message->kind == CLAIM_ACTION_READ)
    {
      message->result = stored != NULL ? RESULT_OK : RESULT_PLATFORM_NOT_FOUND;
      if (stored != NULL)
        {
          message->version = stored->version;
          message->value = json_incref (stored->value);
        }
      return;
    }
  simulation->bytes += json_dumpb (message->value, NULL, 0, JSON_COMPACT);
  if (message->version != (stored != NULL ? stored->version : 0))
    {
      message->result = RESULT_PLATFORM_CONFLICT;
      return;
    }
  if (stored == NULL)
    {
      stored = calloc (1, sizeof *stored);
      if (stored == NULL)
        fail ("no memory");
      memcpy (stored->name, message->object, sizeof stored->name);
      HASH_ADD_STR (simulation->stored, name, stored);
    }
  json_decref (stored->value);
  stored->value = json_incref (message->value);
  stored->version = ++simulation->revision;
  message->version = stored->version;
  message->result = RESULT_OK;
}

static void
collect (struct simulation *simulation, int host)
{
  struct claim_action action;

  while (claim_next_action (&simulation->tables[host], &action))
    {
      struct message *message = calloc (1, sizeof *message);

      if (message == NULL)
        fail ("no memory");
      message->host = host;
      message->kind = action.kind;
      snprintf (message->object, sizeof message->object, "%s", action.object);
      message->version = action.version;
      message->value = json_incref ((json_t *)action.value);
      push (simulation,
            (struct event){ .at_ms = simulation->now_ms + ONE_WAY_MS,
                            .kind = EVENT_EFFECT,
                            .message = message });
    }
}

static void
answer (struct simulation *simulation, struct message *message)
{
  struct claim_table *table = &simulation->tables[message->host];

  if (message->kind == CLAIM_ACTION_READ)
    claim_read_done (table, message->object, message->result, message->version,
                     message->value, simulation->now_ms);
  else
    claim_write_done (table, message->object, message->result, message->version,
                      simulation->now_ms);
  collect (simulation, message->host);
  json_decref (message->value);
  free (message);
}

/* --- calls --- */

static void
on_decided (void *context,
            enum claim_verdict verdict,
            enum result result,
            const struct claim_record *record)
{
  struct call *call = context;
  struct simulation *simulation = call->simulation;

  (void)result;
  (void)record;
  if (verdict != CLAIM_VERDICT_GRANTED)
    {
      simulation->refused++;
      free (call);
      return;
    }
  simulation->granted++;
  push (simulation,
        (struct event){ .at_ms = simulation->now_ms + 50
                                 + (int64_t)rng_below (&simulation->rng, 100),
                        .kind = EVENT_DONE,
                        .call = call });
}

static void
on_settled (void *context, bool durable)
{
  struct call *call = context;

  call->simulation->settled++;
  call->simulation->late += !durable;
  free (call);
}

static void
arrive (struct simulation *simulation)
{
  struct call *call = calloc (1, sizeof *call);
  const uint64_t bits[2]
      = { rng_next (&simulation->rng), rng_next (&simulation->rng) };
  const uint64_t token_bits[2]
      = { rng_next (&simulation->rng), rng_next (&simulation->rng) };
  char key[UUID_SIZE];
  /* An arbitrary wall clock, at the start of a bucket. */
  int64_t wall_ms = INT64_C (28000000) * CLAIM_BUCKET_MS + simulation->now_ms;

  if (call == NULL)
    fail ("no memory");
  call->simulation = simulation;
  call->host = (int)rng_below (&simulation->rng, (uint64_t)simulation->hosts);
  uuid_format_v7 (key, wall_ms, bits);
  if (claim_locate ("atlas", "booking-app", key, wall_ms, 0, call->claim.object,
                    call->claim.key)
      != RESULT_OK)
    fail ("claim_locate");
  memcpy (call->claim.fingerprint, call->claim.key,
          sizeof call->claim.fingerprint);
  uuid_format_v7 (call->claim.token, wall_ms, token_bits);
  call->claim.deadline_ms = simulation->now_ms + 2000;
  call->claim.decided = on_decided;
  call->claim.settled = on_settled;
  call->claim.context = call;
  simulation->calls++;
  claim_submit (&simulation->tables[call->host], &call->claim,
                simulation->now_ms);
}

/* Bytes that the baseline writes: its record twice, the second with answer. */
static void
count_baseline (struct simulation *simulation,
                const struct call *call,
                const struct claim_answer *claim_answer)
{
  struct claim_record record = { .state = CLAIM_CLAIMED };

  memcpy (record.fingerprint, call->claim.fingerprint,
          sizeof record.fingerprint);
  memcpy (record.token, call->claim.token, sizeof record.token);
  snprintf (record.host, sizeof record.host, "entry-%d", call->host);
  for (int i = 0; i < 2; i++)
    {
      json_t *value = claim_record_encode (&record);

      simulation->baseline_bytes += json_dumpb (value, NULL, 0, JSON_COMPACT);
      json_decref (value);
      record.state = CLAIM_DONE;
      record.answer = *claim_answer;
    }
}

static void
end_call (struct simulation *simulation, struct call *call)
{
  int host = call->host;
  struct claim_answer claim_answer
      = { .status = 200, .content_type = "application/json" };

  claim_answer.body = malloc (BODY_SIZE);
  if (claim_answer.body == NULL)
    fail ("no memory");
  memset (claim_answer.body, 'x', BODY_SIZE);
  claim_answer.body_size = BODY_SIZE;
  count_baseline (simulation, call, &claim_answer);
  claim_settle (&simulation->tables[host], &call->claim, CLAIM_DONE,
                &claim_answer, simulation->now_ms);
  collect (simulation, host);
}

static void
handle (struct simulation *simulation, struct event event)
{
  int64_t gap_ms;

  simulation->now_ms = event.at_ms;
  switch (event.kind)
    {
    case EVENT_ARRIVAL:
      arrive (simulation);
      for (int i = 0; i < simulation->hosts; i++)
        collect (simulation, i);
      /* Uniform gaps around the mean; the mean is what counts here. */
      gap_ms = (int64_t)rng_below (&simulation->rng,
                                   (uint64_t)(2000000 / simulation->rate) + 1);
      simulation->submitted_ms += gap_ms; /* in microseconds */
      if (simulation->submitted_ms < INT64_C (1000000) * SECONDS)
        push (simulation,
              (struct event){ .at_ms = simulation->submitted_ms / 1000,
                              .kind = EVENT_ARRIVAL });
      break;
    case EVENT_DONE:
      end_call (simulation, event.call);
      break;
    case EVENT_EFFECT:
      apply (simulation, event.message);
      event.at_ms += ONE_WAY_MS;
      event.kind = EVENT_ANSWER;
      push (simulation, event);
      break;
    case EVENT_ANSWER:
      answer (simulation, event.message);
      break;
    case EVENT_TICK:
      for (int i = 0; i < simulation->hosts; i++)
        {
          claim_tick (&simulation->tables[i], simulation->now_ms);
          collect (simulation, i);
        }
      if (simulation->now_ms < (SECONDS + 10) * INT64_C (1000))
        push (simulation, (struct event){ .at_ms = simulation->now_ms + TICK_MS,
                                          .kind = EVENT_TICK });
      break;
    }
}

static void
measure (int hosts, double rate, uint64_t seed)
{
  static struct simulation simulation;
  struct claim_counts sum = { 0 };
  struct stored *stored;
  double calls;

  memset (&simulation, 0, sizeof simulation);
  simulation.hosts = hosts;
  simulation.rate = rate;
  rng_init (&simulation.rng, seed);
  for (int i = 0; i < hosts; i++)
    {
      char name[24];

      snprintf (name, sizeof name, "entry-%d", i);
      claim_table_init (&simulation.tables[i], name, seed * 100 + (uint64_t)i);
    }
  push (&simulation, (struct event){ .kind = EVENT_ARRIVAL });
  push (&simulation, (struct event){ .kind = EVENT_TICK });
  while (simulation.heap_count > 0)
    handle (&simulation, pop (&simulation));
  for (int i = 0; i < hosts; i++)
    {
      const struct claim_counts *counts = &simulation.tables[i].counts;

      sum.reads += counts->reads;
      sum.writes += counts->writes;
      sum.conflicts += counts->conflicts;
      claim_table_finish (&simulation.tables[i]);
    }
  calls = (double)simulation.calls;
  printf ("hosts=%d rate_per_s=%.0f seed=%" PRIu64 " calls=%" PRIu64
          " refused=%" PRIu64 " late_outcomes=%" PRIu64
          " writes_per_call=%.3f reads_per_call=%.3f conflicts_per_call=%.3f"
          " writes_per_s=%.1f kb_per_call=%.2f baseline_writes_per_call=2.000"
          " baseline_writes_per_s=%.1f baseline_kb_per_call=%.2f\n",
          hosts, rate, seed, simulation.calls, simulation.refused,
          simulation.late, (double)sum.writes / calls,
          (double)sum.reads / calls, (double)sum.conflicts / calls,
          (double)sum.writes / SECONDS, (double)simulation.bytes / calls / 1024,
          2 * (double)simulation.granted / SECONDS,
          (double)simulation.baseline_bytes / calls / 1024);
  fflush (stdout);
  stored = simulation.stored;
  HASH_CLEAR (hh, simulation.stored);
  while (stored != NULL)
    {
      struct stored *next = stored->hh.next;

      json_decref (stored->value);
      free (stored);
      stored = next;
    }
  free (simulation.heap);
}

int
main (void)
{
  static const int host_counts[] = { 1, 4, 21 };
  static const double rates[] = { 10, 50, 150, 450 };

  for (size_t h = 0; h < sizeof host_counts / sizeof host_counts[0]; h++)
    for (size_t r = 0; r < sizeof rates / sizeof rates[0]; r++)
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        measure (host_counts[h], rates[r], seed);
  return 0;
}
