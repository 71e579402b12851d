#include "hash.h"
#include "log.h"
#include "relay-internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Tells crashes of endpoints from other broken connections, and which requests
 * were at them.
 *
 * A connection also ends early when an answer is lost or spoiled.  An endpoint
 * has crashed if nothing listens at its address afterwards, or if it reports
 * another start.
 */

/* A suspect without a verdict is dropped after this; entries lag. */
#define SUSPECT_TIMEOUT_MS 5000
/* An endpoint is probed when it is suspected, and once more after this. */
#define PROBE_INTERVAL_MS 200
/* An endpoint that refused a connection is tried again after this time. */
#define RETRY_AFTER_REFUSAL_MS 1000
/* Limit of suspects, about 1 KB each, and the id of the request. */
#define SUSPECT_LIMIT 64

/*
 * Requests with the same path, customer, prompt and body are the same; the id
 * differs with each attempt of a caller.
 */
static void
compute_fingerprint (const struct relay_request *request,
                     char fingerprint[HASH_HEX_SIZE])
{
  const char *customer
      = request->customer != NULL ? request->customer->name : "";
  const char *line = request->fields.data;
  const char *line_end = memchr (line, '\r', request->fields.size);
  const struct hash_part parts[]
      = { { customer, strlen (customer) },
          { line, line_end != NULL ? (uint64_t)(line_end - line) : 0 },
          { &request->prompt_hash, sizeof request->prompt_hash },
          { request->body.data != NULL ? request->body.data : "",
            request->body.size },
          { NULL, 0 } };

  hash_hex (parts, fingerprint);
}

static void
get_traits (const struct relay_request *request, struct strikes_traits *traits)
{
  compute_fingerprint (request, traits->fingerprint);
  traits->part_count = request->shared_part_count;
  for (unsigned i = 0; i < request->shared_part_count; i++)
    snprintf (traits->parts[i], sizeof traits->parts[i], "%" PRIx64,
              request->shared_parts[i]);
}

static int64_t
get_incarnation (const struct endpoint_load *load)
{
  return load->endpoint != NULL ? load->endpoint->report.started_ms : 0;
}

static void
drop_suspect (struct relay *relay, struct relay_suspect *suspect)
{
  TAILQ_REMOVE (&relay->suspects, suspect, link);
  relay->suspect_count--;
  load_table_unref (&relay->loads, suspect->load);
  free (suspect);
}

static bool
is_probed (const struct relay *relay,
           const struct endpoint_load *load,
           int64_t started_ms)
{
  const struct relay_suspect *suspect;

  TAILQ_FOREACH (suspect, &relay->suspects, link)
    if (suspect->load == load && suspect->started_ms == started_ms
        && suspect->next_probe_ms != 0)
      return true;
  return false;
}

void
relay_suspect_crash (struct relay_request *request, bool probes)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream = request->upstream;
  struct endpoint_load *load = upstream->load;
  struct relay_suspect *suspect;
  const char *id;

  /* It did not crash the endpoint when it began to write. */
  if (upstream->is_sound || load->endpoint == NULL
      || relay->suspect_count == SUSPECT_LIMIT)
    return;
  suspect = text_allocate_with (sizeof *suspect, request->id, &id);
  if (suspect == NULL)
    return;
  suspect->id = id;
  endpoint_load_ref (load);
  suspect->load = load;
  suspect->started_ms = get_incarnation (load);
  suspect->at_ms = relay->now_ms;
  get_traits (request, &suspect->traits);
  if (probes && !is_probed (relay, load, suspect->started_ms))
    {
      suspect->next_probe_ms = relay->now_ms + PROBE_INTERVAL_MS;
      relay_upstream_probe (relay, load);
    }
  TAILQ_INSERT_TAIL (&relay->suspects, suspect, link);
  relay->suspect_count++;
}

static void
add_strikes (struct relay *relay, const struct relay_suspect *suspect)
{
  char incarnation[24];

  snprintf (incarnation, sizeof incarnation, "%" PRId64, suspect->started_ms);
  strikes_add_crash (&relay->strikes, &suspect->traits,
                     strikes_crash_id (suspect->load->id, incarnation),
                     suspect->at_ms, relay->now_ms);
  counter_add (relay->counters, "waxwing_strikes_total", NULL, 1);
  LOG_EVENT (LOG_LEVEL_NOTICE, "strike", LOG_STR ("request", suspect->id),
             LOG_STR ("endpoint", suspect->load->id),
             LOG_INT ("started_ms", suspect->started_ms),
             LOG_STR ("fingerprint", suspect->traits.fingerprint),
             LOG_U64 ("parts", suspect->traits.part_count),
             LOG_INT ("age_ms", relay->now_ms - suspect->at_ms));
}

/* Strikes the suspects at this incarnation of the endpoint. */
static void
confirm_crash (struct relay *relay,
               const struct endpoint_load *load,
               int64_t started_ms)
{
  struct relay_suspect *suspect = TAILQ_FIRST (&relay->suspects);

  while (suspect != NULL)
    {
      struct relay_suspect *next = TAILQ_NEXT (suspect, link);

      if (suspect->load == load && suspect->started_ms == started_ms)
        {
          add_strikes (relay, suspect);
          drop_suspect (relay, suspect);
        }
      suspect = next;
    }
}

/* Whoever comes up at the address has just started, so it is cold. */
static void
note_cold_after_refusal (struct relay *relay, const struct endpoint_load *load)
{
  const struct catalog_service *service;

  if (load->endpoint == NULL || relay->catalog == NULL)
    return;
  service
      = catalog_find_service (relay->catalog, load->endpoint->report.service);
  if (service != NULL && service->cold_ms > 0)
    endpoint_note_cold (load->endpoint,
                        service->cold_ms + RETRY_AFTER_REFUSAL_MS,
                        relay->now_ms);
}

void
relay_note_refused (struct relay *relay, const struct endpoint_load *load)
{
  note_cold_after_refusal (relay, load);
  confirm_crash (relay, load, get_incarnation (load));
}

void
relay_note_sound (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct strikes_traits traits;

  get_traits (request, &traits);
  strikes_note_answer (&relay->strikes, &traits, relay->now_ms);
}

void
relay_crash_tick (struct relay *relay)
{
  struct relay_suspect *suspect = TAILQ_FIRST (&relay->suspects);

  while (suspect != NULL)
    {
      struct relay_suspect *next = TAILQ_NEXT (suspect, link);
      struct endpoint_load *load = suspect->load;

      if (load->endpoint == NULL
          || relay->now_ms - suspect->at_ms >= SUSPECT_TIMEOUT_MS)
        drop_suspect (relay, suspect);
      else if (get_incarnation (load) != suspect->started_ms)
        {
          confirm_crash (relay, load, suspect->started_ms);
          next = TAILQ_FIRST (&relay->suspects);
        }
      else if (suspect->next_probe_ms != 0
               && relay->now_ms >= suspect->next_probe_ms)
        {
          suspect->next_probe_ms = INT64_MAX;
          relay_upstream_probe (relay, load);
        }
      suspect = next;
    }
}

void
relay_crash_finish (struct relay *relay)
{
  while (!TAILQ_EMPTY (&relay->suspects))
    drop_suspect (relay, TAILQ_FIRST (&relay->suspects));
}

enum result
relay_check_strikes (struct relay_request *request, int64_t *retry_after_ms)
{
  struct relay *relay = request->relay;
  struct strikes_traits traits;
  enum result result;

  *retry_after_ms = 0;
  if (relay->strikes.entries == NULL
      || request->checked_changes == relay->strikes.changes)
    return RESULT_OK;
  get_traits (request, &traits);
  result = strikes_check_traits (&relay->strikes, &traits, relay->now_ms,
                                 retry_after_ms);
  if (result == RESULT_OK)
    request->checked_changes = relay->strikes.changes;
  return result;
}

/* True if the request is at an endpoint, and may not have begun to run. */
static bool
can_withdraw (const struct relay_request *request)
{
  return request->upstream != NULL && request->upstream->first_event_ms == 0
         && catalog_is_repeatable (request->route);
}

void
relay_log_quarantines (struct relay *relay)
{
  struct strikes *strikes = &relay->strikes;

  strikes_refresh (strikes, relay->now_ms);
  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    {
      bool is_quarantined = strikes_is_quarantined (entry, relay->now_ms);

      if (is_quarantined == entry->was_quarantined)
        continue;
      entry->was_quarantined = is_quarantined;
      LOG_EVENT (
          LOG_LEVEL_WARNING,
          is_quarantined ? "quarantined" : "quarantine-ended",
          LOG_STR (entry->kind == STRIKES_PART ? "part" : "fingerprint",
                   entry->trait),
          LOG_U64 ("strikes",
                   strikes_count (strikes, entry->trait, relay->now_ms)),
          LOG_U64 ("companions", entry->companion_count),
          LOG_INT ("answered_ms_ago", entry->answered_ms != STRIKES_NEVER
                                          ? relay->now_ms - entry->answered_ms
                                          : -1),
          LOG_INT ("changed_ms_ago", relay->now_ms - entry->changed_ms));
      if (is_quarantined)
        counter_add (relay->counters, "waxwing_quarantines_total", NULL, 1);
    }
}

void
relay_enforce_quarantine (struct relay *relay)
{
  struct relay_request *request = TAILQ_FIRST (&relay->requests);
  int64_t retry_after_ms;

  if (relay->enforced_changes == relay->strikes.changes)
    return;
  relay->enforced_changes = relay->strikes.changes;
  relay_log_quarantines (relay);
  while (request != NULL)
    {
      struct relay_request *next = TAILQ_NEXT (request, link);

      if (can_withdraw (request)
          && relay_check_strikes (request, &retry_after_ms) != RESULT_OK)
        relay_withdraw (request, retry_after_ms);
      request = next;
    }
}
