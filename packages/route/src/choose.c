#include "choose.h"

#include "choose-stats.h"
#include "hash.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long an endpoint that stopped serving keeps its candidate position. */
#define POSITION_HOLD_MS 10000

/* Statistics of an endpoint that has not served for this long are freed. */
#define STATS_HOLD_MS 60000

/* An endpoint is a straggler above this multiple of the median pace. */
#define STRAGGLER_FACTOR 3.0
#define STRAGGLER_PROBE_INTERVAL 20 /* requests per one to a straggler */

/* Age at which a load report has half its weight (exponential decay). */
#define LOAD_HALF_LIFE_MS 2000.0

/* Service time assumed until the first request has ended. */
#define DEFAULT_SERVICE_MS 1000.0

/*
 * Fraction of the mean service time by which the prefix candidate is preferred,
 * since it may have the prompt's prefix in its cache.
 */
#define AFFINITY_SHARE 0.1

/* Endpoints included in the median token time; further ones are ignored. */
#define MEDIAN_SAMPLE_LIMIT 256

/* A model or service, for iteration over its endpoints. */
struct target
{
  const struct chooser *chooser; /* NULL: removed groups are not visited */
  const struct fleet *fleet;
  const struct sheet *sheet;
  const char *data_centre;
  const char *customer; /* NULL: rows are not checked */
  const char *model;    /* NULL: the target is a service */
  const char *service;
};

/*
 * A group or service host that the target may use, also if it does not serve at
 * present.  A group that was removed from the fleet keeps its candidate
 * position for a while; group and host are then NULL.
 */
struct choose_candidate
{
  const char *key;
  const struct fleet_group *group; /* NULL for a service */
  const struct fleet_host *host;   /* receives the request; NULL if unknown */
  const struct choose_stats *removed; /* iterator over removed groups */
};

static bool
list_permits (const struct sheet_list *customers, const char *customer)
{
  return customers->count == 0 || sheet_list_has (customers, customer);
}

/* A group whose row was deleted from the sheet is not used for customers. */
static bool
is_row_permitted (const struct target *target, const char *spec)
{
  const struct sheet *sheet = target->sheet;

  if (target->customer == NULL)
    return true;
  if (sheet == NULL)
    return false;
  for (size_t i = 0; i < sheet->group_count; i++)
    {
      const struct sheet_group *row = &sheet->groups[i];

      if (strcmp (row->name, spec) == 0)
        return strcmp (row->model, target->model) == 0
               && list_permits (&row->customers, target->customer)
               && sheet_list_has (&row->data_centres, target->data_centre);
    }
  return false;
}

static bool
is_service_permitted (const struct target *target)
{
  const struct sheet_service *row;

  if (target->customer == NULL)
    return true;
  if (target->sheet == NULL)
    return false;
  row = sheet_find_service (target->sheet, target->service);
  return row != NULL && list_permits (&row->customers, target->customer)
         && sheet_list_has (&row->data_centres, target->data_centre);
}

static bool
next_removed_group (const struct target *target,
                    struct choose_candidate *endpoint)
{
  const struct choose_stats *stats = endpoint->removed == NULL
                                         ? target->chooser->stats
                                         : endpoint->removed->hh.next;

  for (; stats != NULL; stats = stats->hh.next)
    if (strcmp (stats->model, target->model) == 0
        && strcmp (stats->data_centre, target->data_centre) == 0
        && is_row_permitted (target, stats->spec)
        && fleet_find_group (target->fleet, stats->key) == NULL)
      {
        endpoint->key = stats->key;
        endpoint->group = NULL;
        endpoint->host = NULL;
        endpoint->removed = stats;
        return true;
      }
  return false;
}

static bool
next_group (const struct target *target, struct choose_candidate *endpoint)
{
  const struct fleet_group *group = endpoint->group == NULL
                                        ? target->fleet->groups
                                        : endpoint->group->hh.next;

  if (endpoint->removed != NULL)
    return next_removed_group (target, endpoint);
  for (; group != NULL; group = group->hh.next)
    if (strcmp (group->model, target->model) == 0
        && strcmp (group->data_centre, target->data_centre) == 0
        && is_row_permitted (target, group->spec))
      {
        endpoint->key = group->id;
        endpoint->group = group;
        endpoint->host = fleet_group_head (target->fleet, group);
        return true;
      }
  return target->chooser != NULL && next_removed_group (target, endpoint);
}

static bool
next_service_host (const struct target *target,
                   struct choose_candidate *endpoint)
{
  const struct fleet_host *host = endpoint->host;

  if (host == NULL)
    host = is_service_permitted (target) ? target->fleet->hosts : NULL;
  else
    host = host->hh.next;
  for (; host != NULL; host = host->hh.next)
    if (host->is_service && strcmp (host->service, target->service) == 0
        && strcmp (host->data_centre, target->data_centre) == 0)
      {
        endpoint->key = host->id;
        endpoint->host = host;
        return true;
      }
  return false;
}

/* Iterates over the target's endpoints; start with a zeroed endpoint. */
static bool
next_endpoint (const struct target *target, struct choose_candidate *endpoint)
{
  if (target->model != NULL)
    return next_group (target, endpoint);
  if (target->service != NULL)
    return next_service_host (target, endpoint);
  return false;
}

static bool
is_service_host_serving (const struct fleet_host *host, int64_t now_ms)
{
  return host->listed && !fleet_host_is_leaving (host)
         && fleet_host_is_present (host, now_ms);
}

static bool
is_serving (const struct fleet *fleet,
            const struct choose_candidate *endpoint,
            int64_t now_ms)
{
  if (endpoint->host == NULL)
    return false;
  if (endpoint->group == NULL)
    return is_service_host_serving (endpoint->host, now_ms);
  return fleet_group_serving_state (fleet, endpoint->group, now_ms)
         == FLEET_SERVING;
}

static void
record_serving (struct chooser *chooser,
                const struct choose_candidate *endpoint,
                int64_t now_ms)
{
  const struct fleet_group *group = endpoint->group;
  struct choose_stats *stats = choose_stats_get (chooser, endpoint->key);

  if (stats == NULL)
    return;
  stats->last_served_ms = now_ms;
  if (group == NULL)
    return;
  snprintf (stats->spec, sizeof stats->spec, "%s", group->spec);
  snprintf (stats->model, sizeof stats->model, "%s", group->model);
  snprintf (stats->data_centre, sizeof stats->data_centre, "%s",
            group->data_centre);
}

static bool
has_served_recently (const struct choose_stats *stats, int64_t now_ms)
{
  return stats != NULL && stats->last_served_ms != FLEET_NEVER
         && now_ms - stats->last_served_ms < POSITION_HOLD_MS;
}

static bool
is_excluded (const struct choose_request *request, const char *key)
{
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    if (request->excluded[i] != NULL && strcmp (request->excluded[i], key) == 0)
      return true;
  return false;
}

/* True if the request may be sent to the endpoint now. */
static bool
is_usable (const struct chooser *chooser,
           const struct target *target,
           const struct choose_candidate *endpoint,
           const struct choose_request *request,
           int64_t now_ms)
{
  const struct choose_stats *stats = choose_stats_find (chooser, endpoint->key);

  return is_serving (target->fleet, endpoint, now_ms)
         && !is_excluded (request, endpoint->key)
         && choose_breaker_permits (stats, now_ms)
         && !(request->has_strike && stats != NULL
              && stats->in_flight_with_strike > 0);
}

/* Endpoints that compete for the two candidate positions. */
enum candidate_filter
{
  FILTER_RECENT, /* serve now or served in the last POSITION_HOLD_MS */
  FILTER_USABLE, /* may receive this request now */
};

/* True if the endpoint passes the filter; records that it serves. */
static bool
is_candidate (struct chooser *chooser,
              const struct target *target,
              const struct choose_candidate *endpoint,
              const struct choose_request *request,
              enum candidate_filter filter,
              int64_t now_ms)
{
  if (filter == FILTER_USABLE)
    return is_usable (chooser, target, endpoint, request, now_ms);
  if (has_served_recently (choose_stats_find (chooser, endpoint->key), now_ms))
    return true;
  if (!is_serving (target->fleet, endpoint, now_ms))
    return false;
  record_serving (chooser, endpoint, now_ms);
  return true;
}

/* Up to two candidates of a request. */
struct candidates
{
  struct choose_candidate endpoints[2];
  unsigned count;
};

static void
find_candidates (struct chooser *chooser,
                 const struct target *target,
                 const struct choose_request *request,
                 enum candidate_filter filter,
                 int64_t now_ms,
                 struct candidates *candidates)
{
  /*
   * Without a prefix, as for a service, both keys derive from the fingerprint:
   * a fixed key would give every request the same first candidate.
   */
  char keys[2][CHOOSE_KEY_SIZE];

  if (target->model != NULL && request->prefix_hash != 0)
    snprintf (keys[0], sizeof keys[0], "%016llx",
              (unsigned long long)request->prefix_hash);
  else
    snprintf (keys[0], sizeof keys[0], "first/%s", request->fingerprint);
  snprintf (keys[1], sizeof keys[1], "%s", request->fingerprint);
  candidates->count = 0;
  for (int position = 0; position < 2; position++)
    {
      struct choose_candidate endpoint = { 0 };
      uint64_t best = 0;
      bool found = false;

      while (next_endpoint (target, &endpoint))
        {
          uint64_t score;

          if (position == 1
              && strcmp (endpoint.key, candidates->endpoints[0].key) == 0)
            continue;
          if (!is_candidate (chooser, target, &endpoint, request, filter,
                             now_ms))
            continue;
          score = hash_rendezvous (endpoint.key, keys[position]);
          if (!found || score > best)
            {
              candidates->endpoints[position] = endpoint;
              best = score;
              found = true;
            }
        }
      if (!found)
        return;
      candidates->count++;
    }
}

/* Present performance of the endpoints of a target. */
struct target_summary
{
  double service_ms; /* mean duration of a request */
  double pace_ms;    /* median, see get_pace_ms; 0 = unknown */
};

/* Time per token; for a service, which has no tokens, time per request. */
static double
get_pace_ms (const struct choose_stats *stats, bool is_service)
{
  if (stats == NULL)
    return 0;
  return is_service ? stats->service_ms : stats->token_ms;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
summarise_target (const struct chooser *chooser,
                  const struct target *target,
                  int64_t now_ms,
                  struct target_summary *summary)
{
  struct choose_candidate endpoint = { 0 };
  double paces[MEDIAN_SAMPLE_LIMIT];
  size_t pace_count = 0;
  double service_sum = 0;
  unsigned service_count = 0;

  while (next_endpoint (target, &endpoint))
    {
      const struct choose_stats *stats
          = choose_stats_find (chooser, endpoint.key);
      double pace = get_pace_ms (stats, target->model == NULL);

      if (!has_served_recently (stats, now_ms))
        continue;
      if (stats->service_ms > 0)
        {
          service_sum += stats->service_ms;
          service_count++;
        }
      if (pace > 0 && pace_count < MEDIAN_SAMPLE_LIMIT)
        paces[pace_count++] = pace;
    }
  summary->service_ms
      = service_count > 0 ? service_sum / service_count : DEFAULT_SERVICE_MS;
  summary->pace_ms = 0;
  if (pace_count > 0)
    {
      qsort (paces, pace_count, sizeof paces[0], compare_doubles);
      /* Lower median, so that the slower of two endpoints counts as slow. */
      summary->pace_ms = paces[(pace_count - 1) / 2];
    }
}

/* Ratio of the endpoint's pace to the median; at least 1. */
static double
compute_slowness (const struct choose_stats *stats,
                  bool is_service,
                  const struct target_summary *summary)
{
  double pace = get_pace_ms (stats, is_service);

  if (summary->pace_ms <= 0 || pace <= summary->pace_ms)
    return 1;
  return pace / summary->pace_ms;
}

/* Requests of other entry hosts at the endpoint, discounted by age. */
static double
estimate_reported_load (const struct fleet_attestation *attested,
                        unsigned own_in_flight,
                        int64_t now_ms)
{
  double load = (double)attested->running + attested->queued - own_in_flight;
  double age_ms;

  if (attested->seen_ms == FLEET_NEVER || load <= 0)
    return 0;
  age_ms = (double)(now_ms - attested->seen_ms) + attested->load_age_ms;
  return load * exp2 (-age_ms / LOAD_HALF_LIFE_MS);
}

static double
estimate_wait_ms (const struct choose_stats *stats,
                  const struct choose_candidate *endpoint,
                  bool is_service,
                  const struct target_summary *summary,
                  int64_t now_ms)
{
  const struct fleet_attestation *attested = &endpoint->host->attested;
  unsigned own = stats != NULL ? stats->in_flight : 0;
  unsigned slots = attested->slots > 0 ? attested->slots : 1;
  double load = own + estimate_reported_load (attested, own, now_ms);

  return load / slots * summary->service_ms
         * compute_slowness (stats, is_service, summary);
}

/*
 * True if the other candidate replaces a straggler.  One request in
 * STRAGGLER_PROBE_INTERVAL still goes to the straggler, so that its recovery is
 * noticed; each call counts one request.
 */
static bool
is_straggler_skipped (struct choose_stats *stats)
{
  stats->straggler_requests++;
  return stats->straggler_requests % STRAGGLER_PROBE_INTERVAL != 0;
}

/* Returns the index of the better of two usable candidates. */
static unsigned
pick_candidate (struct chooser *chooser,
                const struct candidates *candidates,
                const struct target_summary *summary,
                const double waits[2])
{
  bool is_service = candidates->endpoints[0].group == NULL;
  bool slow[2];

  for (int i = 0; i < 2; i++)
    slow[i] = compute_slowness (
                  choose_stats_find (chooser, candidates->endpoints[i].key),
                  is_service, summary)
              > STRAGGLER_FACTOR;
  for (unsigned i = 0; i < 2; i++)
    if (slow[i] && !slow[1 - i])
      return is_straggler_skipped (
                 choose_stats_find (chooser, candidates->endpoints[i].key))
                 ? 1 - i
                 : i;
  return waits[1] < waits[0] ? 1 : 0;
}

static int64_t
round_wait_ms (double wait_ms)
{
  return wait_ms > 0 ? (int64_t)wait_ms : 0;
}

static enum result
choose_candidate (struct chooser *chooser,
                  const struct target *target,
                  const struct choose_request *request,
                  const struct candidates *candidates,
                  int64_t now_ms,
                  struct choose_result *result)
{
  struct target_summary summary;
  bool usable[2] = { false, false };
  double waits[2] = { 0, 0 };
  unsigned chosen;

  for (unsigned i = 0; i < candidates->count; i++)
    usable[i] = is_usable (chooser, target, &candidates->endpoints[i], request,
                           now_ms);
  if (!usable[0] && !usable[1])
    return RESULT_NO_CAPACITY;
  summarise_target (chooser, target, now_ms, &summary);
  for (unsigned i = 0; i < candidates->count; i++)
    if (usable[i])
      waits[i] = estimate_wait_ms (
          choose_stats_find (chooser, candidates->endpoints[i].key),
          &candidates->endpoints[i], target->model == NULL, &summary, now_ms);
  if (target->model != NULL)
    waits[0] -= AFFINITY_SHARE * summary.service_ms;
  if (usable[0] && usable[1])
    chosen = pick_candidate (chooser, candidates, &summary, waits);
  else
    chosen = usable[0] ? 0 : 1;

  memset (result, 0, sizeof *result);
  snprintf (result->key, sizeof result->key, "%s",
            candidates->endpoints[chosen].key);
  snprintf (result->host, sizeof result->host, "%s",
            candidates->endpoints[chosen].host->id);
  if (candidates->endpoints[chosen].group != NULL)
    result->generation = candidates->endpoints[chosen].group->generation;
  result->expected_wait_ms = round_wait_ms (waits[chosen]);
  if (usable[1 - chosen])
    {
      snprintf (result->rejected, sizeof result->rejected, "%s",
                candidates->endpoints[1 - chosen].key);
      result->rejected_wait_ms = round_wait_ms (waits[1 - chosen]);
    }
  return RESULT_OK;
}

enum result
choose_endpoint (struct chooser *chooser,
                 const struct fleet *fleet,
                 const struct sheet *sheet,
                 const char *data_centre,
                 const struct choose_request *request,
                 int64_t now_ms,
                 struct choose_result *result)
{
  const struct target target = {
    .chooser = chooser,
    .fleet = fleet,
    .sheet = sheet,
    .data_centre = data_centre,
    .customer = request->customer,
    .model = request->model,
    .service = request->service,
  };
  struct candidates candidates;
  enum result status;

  find_candidates (chooser, &target, request, FILTER_RECENT, now_ms,
                   &candidates);
  status = choose_candidate (chooser, &target, request, &candidates, now_ms,
                             result);
  if (status == RESULT_OK || request->has_strike || request->may_have_run)
    return status;
  /* No candidate is usable and nothing ran: others may receive the request. */
  find_candidates (chooser, &target, request, FILTER_USABLE, now_ms,
                   &candidates);
  return choose_candidate (chooser, &target, request, &candidates, now_ms,
                           result);
}

static bool
is_stale_stats (const struct choose_stats *stats, int64_t now_ms)
{
  return stats->in_flight == 0 && stats->in_flight_with_strike == 0
         && stats->breaker_open_until_ms <= now_ms
         && (stats->last_served_ms == FLEET_NEVER
             || now_ms - stats->last_served_ms >= STATS_HOLD_MS);
}

void
choose_tick (struct chooser *chooser, const struct fleet *fleet, int64_t now_ms)
{
  struct choose_stats *stats;

  for (const struct fleet_group *group = fleet->groups; group != NULL;
       group = group->hh.next)
    if (fleet_group_serving_state (fleet, group, now_ms) == FLEET_SERVING)
      {
        const struct choose_candidate endpoint
            = { .key = group->id, .group = group };

        record_serving (chooser, &endpoint, now_ms);
      }
  for (const struct fleet_host *host = fleet->hosts; host != NULL;
       host = host->hh.next)
    if (host->is_service && is_service_host_serving (host, now_ms))
      {
        const struct choose_candidate endpoint
            = { .key = host->id, .host = host };

        record_serving (chooser, &endpoint, now_ms);
      }
  stats = chooser->stats;
  while (stats != NULL)
    {
      struct choose_stats *next = stats->hh.next;

      if (is_stale_stats (stats, now_ms))
        choose_stats_remove (chooser, stats);
      stats = next;
    }
}

unsigned
choose_total_slots (const struct fleet *fleet,
                    const struct sheet *sheet,
                    const char *data_centre,
                    const char *model,
                    const char *service,
                    int64_t now_ms)
{
  const struct target target = {
    .fleet = fleet,
    .sheet = sheet,
    .data_centre = data_centre,
    .model = model,
    .service = service,
  };
  struct choose_candidate endpoint = { 0 };
  unsigned slots = 0;

  while (next_endpoint (&target, &endpoint))
    if (is_serving (fleet, &endpoint, now_ms))
      /* A serving endpoint that reports no slots still accepts one request. */
      slots += endpoint.host->attested.slots > 0 ? endpoint.host->attested.slots
                                                 : 1;
  return slots;
}
