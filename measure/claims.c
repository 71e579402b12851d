/*
 * Measures how many platform calls each non-idempotent call needs.  Simulates
 * the claim tables of several entry hosts and an object store in virtual time.
 * The baseline is one object per call, which is created and then written once
 * more with the outcome.
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
#define RUN_S 4 /* in longer runs the objects and their rewrites grow */
#define HOST_LIMIT 21
#define TICK_MS 50
#define ONE_WAY_MS 2   /* network delay to the platform, and back */
#define BODY_BYTES 300 /* of a response */

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_CALL_COMPLETED, /* the service has responded to a call */
  EVENT_STORE_REQUEST,  /* a platform call reaches the store */
  EVENT_STORE_RESPONSE,
  EVENT_TICK,
};

struct call
{
  struct claim_call claim;
  struct simulation *simulation;
  int host;
};

/* A platform call and its result. */
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
  uint64_t order; /* events at the same time run in this order */
  enum event_kind kind;
  struct call *call;
  struct message *message;
};

struct stored_object
{
  char name[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
  UT_hash_handle hh;
};

struct simulation
{
  struct claim_table tables[HOST_LIMIT];
  int hosts;
  double rate; /* calls per second */
  struct rng rng;
  int64_t now_ms;
  struct event *heap; /* earliest event first */
  size_t heap_count;
  size_t heap_capacity;
  uint64_t next_order;
  struct stored_object *stored;
  uint64_t revision;
  uint64_t calls;
  uint64_t granted;
  uint64_t rejected;
  uint64_t settled;
  uint64_t late; /* outcomes that were not stored in time */
  uint64_t written_bytes;
  uint64_t baseline_bytes;
  int64_t next_arrival_us;
};

static void
fail (const char *message)
{
  fprintf (stderr, "measure-claims: %s\n", message);
  exit (1);
}

/* --- event queue, a binary heap --- */

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
swap_events (struct event *a, struct event *b)
{
  struct event c = *a;

  *a = *b;
  *b = c;
}

static void
push_event (struct simulation *simulation, struct event event)
{
  size_t i = simulation->heap_count++;
  struct event *heap;

  if (simulation->heap_count > simulation->heap_capacity)
    {
      simulation->heap_capacity = simulation->heap_capacity * 2 + 64;
      simulation->heap = realloc (simulation->heap,
                                  simulation->heap_capacity * sizeof event);
      if (simulation->heap == NULL)
        fail ("out of memory");
    }
  heap = simulation->heap;
  event.order = simulation->next_order++;
  heap[i] = event;
  for (; i > 0 && is_before (&heap[i], &heap[(i - 1) / 2]); i = (i - 1) / 2)
    swap_events (&heap[i], &heap[(i - 1) / 2]);
}

static struct event
pop_event (struct simulation *simulation)
{
  struct event *heap = simulation->heap;
  struct event first = heap[0];
  size_t count = --simulation->heap_count;
  size_t i = 0;

  heap[0] = heap[count];
  for (;;)
    {
      size_t smallest = i;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < count && is_before (&heap[child], &heap[smallest]))
          smallest = child;
      if (smallest == i)
        return first;
      swap_events (&heap[i], &heap[smallest]);
      i = smallest;
    }
}

/* --- platform --- */

static void
apply_store_request (struct simulation *simulation, struct message *message)
{
  struct stored_object *stored;

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
  simulation->written_bytes
      += json_dumpb (message->value, NULL, 0, JSON_COMPACT);
  if (message->version != (stored != NULL ? stored->version : 0))
    {
      message->result = RESULT_PLATFORM_CONFLICT;
      return;
    }
  if (stored == NULL)
    {
      stored = calloc (1, sizeof *stored);
      if (stored == NULL)
        fail ("out of memory");
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
send_claim_actions (struct simulation *simulation, int host)
{
  struct claim_action action;

  while (claim_next_action (&simulation->tables[host], &action))
    {
      struct message *message = calloc (1, sizeof *message);

      if (message == NULL)
        fail ("out of memory");
      message->host = host;
      message->kind = action.kind;
      snprintf (message->object, sizeof message->object, "%s", action.object);
      message->version = action.version;
      message->value = json_incref ((json_t *)action.value);
      push_event (simulation,
                  (struct event){ .at_ms = simulation->now_ms + ONE_WAY_MS,
                                  .kind = EVENT_STORE_REQUEST,
                                  .message = message });
    }
}

static void
deliver_store_response (struct simulation *simulation, struct message *message)
{
  struct claim_table *table = &simulation->tables[message->host];

  if (message->kind == CLAIM_ACTION_READ)
    claim_read_done (table, message->object, message->result, message->version,
                     message->value, simulation->now_ms);
  else
    claim_write_done (table, message->object, message->result, message->version,
                      simulation->now_ms);
  send_claim_actions (simulation, message->host);
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
      simulation->rejected++;
      free (call);
      return;
    }
  simulation->granted++;
  push_event (simulation, (struct event){ .at_ms = simulation->now_ms + 50
                                                   + (int64_t)rng_below (
                                                       &simulation->rng, 100),
                                          .kind = EVENT_CALL_COMPLETED,
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
submit_call (struct simulation *simulation)
{
  struct call *call = calloc (1, sizeof *call);
  const uint64_t bits[2]
      = { rng_next (&simulation->rng), rng_next (&simulation->rng) };
  const uint64_t token_bits[2]
      = { rng_next (&simulation->rng), rng_next (&simulation->rng) };
  char key[UUID_SIZE];
  /* An arbitrary wall-clock time at the start of a bucket. */
  int64_t wall_ms = INT64_C (28000000) * CLAIM_BUCKET_MS + simulation->now_ms;

  if (call == NULL)
    fail ("out of memory");
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

/* Counts the bytes that the baseline writes: a claimed and a done record. */
static void
count_baseline_bytes (struct simulation *simulation,
                      const struct call *call,
                      const struct claim_answer *response)
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
      record.answer = *response;
    }
}

static void
complete_call (struct simulation *simulation, struct call *call)
{
  int host = call->host;
  struct claim_answer response
      = { .status = 200, .content_type = strdup ("application/json") };

  response.body = malloc (BODY_BYTES);
  if (response.body == NULL || response.content_type == NULL)
    fail ("out of memory");
  memset (response.body, 'x', BODY_BYTES);
  response.body_size = BODY_BYTES;
  count_baseline_bytes (simulation, call, &response);
  claim_settle (&simulation->tables[host], &call->claim, CLAIM_DONE, &response,
                simulation->now_ms);
  send_claim_actions (simulation, host);
}

static void
handle_event (struct simulation *simulation, struct event event)
{
  int64_t gap_us;

  simulation->now_ms = event.at_ms;
  switch (event.kind)
    {
    case EVENT_ARRIVAL:
      submit_call (simulation);
      for (int i = 0; i < simulation->hosts; i++)
        send_claim_actions (simulation, i);
      /* Uniform gaps are enough, since the results depend on the mean only. */
      gap_us = (int64_t)rng_below (&simulation->rng,
                                   (uint64_t)(2000000 / simulation->rate) + 1);
      simulation->next_arrival_us += gap_us;
      if (simulation->next_arrival_us < INT64_C (1000000) * RUN_S)
        push_event (simulation,
                    (struct event){ .at_ms = simulation->next_arrival_us / 1000,
                                    .kind = EVENT_ARRIVAL });
      break;
    case EVENT_CALL_COMPLETED:
      complete_call (simulation, event.call);
      break;
    case EVENT_STORE_REQUEST:
      apply_store_request (simulation, event.message);
      event.at_ms += ONE_WAY_MS;
      event.kind = EVENT_STORE_RESPONSE;
      push_event (simulation, event);
      break;
    case EVENT_STORE_RESPONSE:
      deliver_store_response (simulation, event.message);
      break;
    case EVENT_TICK:
      for (int i = 0; i < simulation->hosts; i++)
        {
          claim_tick (&simulation->tables[i], simulation->now_ms);
          send_claim_actions (simulation, i);
        }
      if (simulation->now_ms < (RUN_S + 10) * INT64_C (1000))
        push_event (simulation,
                    (struct event){ .at_ms = simulation->now_ms + TICK_MS,
                                    .kind = EVENT_TICK });
      break;
    }
}

static void
run_simulation (int hosts, double rate, uint64_t seed)
{
  static struct simulation simulation;
  struct claim_counts totals = { 0 };
  struct stored_object *stored;
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
  push_event (&simulation, (struct event){ .kind = EVENT_ARRIVAL });
  push_event (&simulation, (struct event){ .kind = EVENT_TICK });
  while (simulation.heap_count > 0)
    handle_event (&simulation, pop_event (&simulation));
  for (int i = 0; i < hosts; i++)
    {
      const struct claim_counts *counts = &simulation.tables[i].counts;

      totals.reads += counts->reads;
      totals.writes += counts->writes;
      totals.conflicts += counts->conflicts;
      claim_table_finish (&simulation.tables[i]);
    }
  calls = (double)simulation.calls;
  printf ("hosts=%d rate_per_s=%.0f seed=%" PRIu64 " calls=%" PRIu64
          " refused=%" PRIu64 " late_outcomes=%" PRIu64
          " writes_per_call=%.3f reads_per_call=%.3f conflicts_per_call=%.3f"
          " writes_per_s=%.1f kb_per_call=%.2f baseline_writes_per_call=2.000"
          " baseline_writes_per_s=%.1f baseline_kb_per_call=%.2f\n",
          hosts, rate, seed, simulation.calls, simulation.rejected,
          simulation.late, (double)totals.writes / calls,
          (double)totals.reads / calls, (double)totals.conflicts / calls,
          (double)totals.writes / RUN_S,
          (double)simulation.written_bytes / calls / 1024,
          2 * (double)simulation.granted / RUN_S,
          (double)simulation.baseline_bytes / calls / 1024);
  fflush (stdout);
  stored = simulation.stored;
  HASH_CLEAR (hh, simulation.stored);
  while (stored != NULL)
    {
      struct stored_object *next = stored->hh.next;

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
        run_simulation (host_counts[h], rates[r], seed);
  return 0;
}
