#include "choose.h"

#include "choose-stats.h"
#include "hash.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long an endpoint that stopped serving keeps its candidate position. */
#define POSITION_HOLD_MS 10000

/* Statistics of an endpoint that has not served for this long are dropped. */
#define STATS_HOLD_MS 60000

#define STRAGGLER_FACTOR 3.0
#define TRICKLE_INTERVAL 20 /* a straggler gets one of so many requests */

/* A report counts half for every so many ms of its age. */
#define LOAD_HALF_LIFE_MS 2000.0

/* Service time assumed before the first request ended. */
#define SERVICE_DEFAULT_MS 1000.0

/*
 * Share of a mean service time that the prefix candidate is preferred by,
 * since it may hold the prompt's prefix in its cache.
 */
#define AFFINITY_SHARE 0.1

/* Endpoints that the median token time is taken over; others are left out. */
#define MEDIAN_LIMIT 256

/* What a walk over the endpoints of one target needs. */
struct target
{
  const struct chooser *chooser; /* NULL: without removed groups */
  const struct fleet *fleet;
  const struct sheet *sheet;
  const char *data_centre;
  const char *customer; /* NULL: rows are not checked */
  const char *model;    /* NULL: the target is a service */
  const char *service;
};

/*
 * A group, or a host of a service, that the target may use in principle.  Also
 * a group that was removed from the fleet, which keeps its candidate position
 * for a while: both group and host are NULL then.
 */
struct endpoint
{
  const char *key;
  const struct fleet_group *group;    /* NULL for a service */
  const struct fleet_host *host;      /* takes the request; NULL if unknown */
  const struct choose_stats *removed; /* cursor over the removed groups */
};

static bool
list_permits (const struct sheet_list *customers, const char *customer)
{
  return customers->count == 0 || sheet_list_has (customers, customer);
}

/* A group whose row has gone from the sheet is not used for customers. */
static bool
row_is_permitted (const struct target *target, const char *spec)
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
service_is_permitted (const struct target *target)
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
next_removed_group (const struct target *target, struct endpoint *endpoint)
{
  const struct choose_stats *stats = endpoint->removed == NULL
                                         ? target->chooser->stats
                                         : endpoint->removed->hh.next;

  for (; stats != NULL; stats = stats->hh.next)
    if (strcmp (stats->model, target->model) == 0
        && strcmp (stats->data_centre, target->data_centre) == 0
        && row_is_permitted (target, stats->spec)
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
next_group (const struct target *target, struct endpoint *endpoint)
{
  const struct fleet_group *group = endpoint->group == NULL
                                        ? target->fleet->groups
                                        : endpoint->group->hh.next;

  if (endpoint->removed != NULL)
    return next_removed_group (target, endpoint);
  for (; group != NULL; group = group->hh.next)
    if (strcmp (group->model, target->model) == 0
        && strcmp (group->data_centre, target->data_centre) == 0
        && row_is_permitted (target, group->spec))
      {
        endpoint->key = group->id;
        endpoint->group = group;
        endpoint->host = fleet_group_leader (target->fleet, group);
        return true;
      }
  return target->chooser != NULL && next_removed_group (target, endpoint);
}

static bool
next_service_host (const struct target *target, struct endpoint *endpoint)
{
  const struct fleet_host *host = endpoint->host;

  if (host == NULL)
    host = service_is_permitted (target) ? target->fleet->hosts : NULL;
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

/* Walks the target's endpoints; start with a zeroed endpoint. */
static bool
next_endpoint (const struct target *target, struct endpoint *endpoint)
{
  if (target->model != NULL)
    return next_group (target, endpoint);
  if (target->service != NULL)
    return next_service_host (target, endpoint);
  return false;
}

static bool
service_host_serves (const struct fleet_host *host, int64_t now_ms)
{
  return host->listed && !fleet_host_leaving (host)
         && fleet_host_present (host, now_ms);
}

static bool
serves (const struct fleet *fleet,
        const struct endpoint *endpoint,
        int64_t now_ms)
{
  if (endpoint->host == NULL)
    return false;
  if (endpoint->group == NULL)
    return service_host_serves (endpoint->host, now_ms);
  return fleet_group_serving (fleet, endpoint->group, now_ms) == FLEET_SERVING;
}

static void
note_serving (struct chooser *chooser,
              const struct endpoint *endpoint,
              int64_t now_ms)
{
  const struct fleet_group *group = endpoint->group;
  struct choose_stats *stats = choose_stats_get (chooser, endpoint->key);

  if (stats == NULL)
    return;
  stats->served_ms = now_ms;
  if (group == NULL)
    return;
  snprintf (stats->spec, sizeof stats->spec, "%s", group->spec);
  snprintf (stats->model, sizeof stats->model, "%s", group->model);
  snprintf (stats->data_centre, sizeof stats->data_centre, "%s",
            group->data_centre);
}

static bool
served_recently (const struct choose_stats *stats, int64_t now_ms)
{
  return stats != NULL && stats->served_ms != FLEET_NEVER
         && now_ms - stats->served_ms < POSITION_HOLD_MS;
}

static bool
is_excluded (const struct choose_request *request, const char *key)
{
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    if (request->excluded[i] != NULL && strcmp (request->excluded[i], key) == 0)
      return true;
  return false;
}

/* Whether the request may be sent to the endpoint now. */
static bool
is_usable (const struct chooser *chooser,
           const struct target *target,
           const struct endpoint *endpoint,
           const struct choose_request *request,
           int64_t now_ms)
{
  const struct choose_stats *stats = choose_stats_find (chooser, endpoint->key);

  return serves (target->fleet, endpoint, now_ms)
         && !is_excluded (request, endpoint->key)
         && choose_breaker_permits (stats, now_ms)
         && !(request->struck && stats != NULL && stats->struck_in_flight > 0);
}

/* Which endpoints compete for the two candidate positions. */
enum field
{
  FIELD_RECENT, /* serving now or in the last POSITION_HOLD_MS */
  FIELD_USABLE, /* may get this request now */
};

static bool
is_in_field (struct chooser *chooser,
             const struct target *target,
             const struct endpoint *endpoint,
             const struct choose_request *request,
             enum field field,
             int64_t now_ms)
{
  if (field == FIELD_USABLE)
    return is_usable (chooser, target, endpoint, request, now_ms);
  if (served_recently (choose_stats_find (chooser, endpoint->key), now_ms))
    return true;
  if (!serves (target->fleet, endpoint, now_ms))
    return false;
  note_serving (chooser, endpoint, now_ms);
  return true;
}

/* The two candidates of a request; count tells how many there are. */
struct candidates
{
  struct endpoint at[2];
  unsigned count;
};

static void
find_candidates (struct chooser *chooser,
                 const struct target *target,
                 const struct choose_request *request,
                 enum field field,
                 int64_t now_ms,
                 struct candidates *candidates)
{
  /*
   * Without a prefix, as for a service, both keys come from the fingerprint:
   * one fixed key would give every request the same first candidate.
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
      struct endpoint endpoint = { 0 };
      uint64_t best = 0;
      bool found = false;

      while (next_endpoint (target, &endpoint))
        {
          uint64_t score;

          if (position == 1
              && strcmp (endpoint.key, candidates->at[0].key) == 0)
            continue;
          if (!is_in_field (chooser, target, &endpoint, request, field, now_ms))
            continue;
          score = hash_rendezvous (endpoint.key, keys[position]);
          if (!found || score > best)
            {
              candidates->at[position] = endpoint;
              best = score;
              found = true;
            }
        }
      if (!found)
        return;
      candidates->count++;
    }
}

/* How the endpoints of a target do at present. */
struct summary
{
  double service_ms; /* mean */
  double pace_ms;    /* median, see pace_of; 0 = unknown */
};

/* Time per token; a service has no tokens, so time per request. */
static double
pace_of (const struct choose_stats *stats, bool is_service)
{
  if (stats == NULL)
    return 0;
  return is_service ? stats->service_ms : stats->token_ms;
}

static int
compare_reals (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
summarise (const struct chooser *chooser,
           const struct target *target,
           int64_t now_ms,
           struct summary *summary)
{
  struct endpoint endpoint = { 0 };
  double paces[MEDIAN_LIMIT];
  size_t pace_count = 0;
  double service_sum = 0;
  unsigned service_count = 0;

  while (next_endpoint (target, &endpoint))
    {
      const struct choose_stats *stats
          = choose_stats_find (chooser, endpoint.key);
      double pace = pace_of (stats, target->model == NULL);

      if (!served_recently (stats, now_ms))
        continue;
      if (stats->service_ms > 0)
        {
          service_sum += stats->service_ms;
          service_count++;
        }
      if (pace > 0 && pace_count < MEDIAN_LIMIT)
        paces[pace_count++] = pace;
    }
  summary->service_ms
      = service_count > 0 ? service_sum / service_count : SERVICE_DEFAULT_MS;
  summary->pace_ms = 0;
  if (pace_count > 0)
    {
      qsort (paces, pace_count, sizeof paces[0], compare_reals);
      /* The lower one of two, so that the slower of two is seen as such. */
      summary->pace_ms = paces[(pace_count - 1) / 2];
    }
}

static double
slowness (const struct choose_stats *stats,
          bool is_service,
          const struct summary *summary)
{
  double pace = pace_of (stats, is_service);

  if (summary->pace_ms <= 0 || pace <= summary->pace_ms)
    return 1;
  return pace / summary->pace_ms;
}

static double
reported_load (const struct fleet_attestation *attested,
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
expected_wait (const struct choose_stats *stats,
               const struct endpoint *endpoint,
               bool is_service,
               const struct summary *summary,
               int64_t now_ms)
{
  const struct fleet_attestation *attested = &endpoint->host->attested;
  unsigned own = stats != NULL ? stats->in_flight : 0;
  unsigned slots = attested->slots > 0 ? attested->slots : 1;
  double load = own + reported_load (attested, own, now_ms);

  return load / slots * summary->service_ms
         * slowness (stats, is_service, summary);
}

/*
 * Whether a straggler is to be passed over for the other candidate: all but
 * one of TRICKLE_INTERVAL times, so that its recovery is noticed.
 */
static bool
passes_over (struct choose_stats *stats)
{
  stats->trickle++;
  return stats->trickle % TRICKLE_INTERVAL != 0;
}

/* Index of the better of two usable candidates. */
static unsigned
compare_candidates (struct chooser *chooser,
                    const struct candidates *candidates,
                    const struct summary *summary,
                    const double waits[2])
{
  bool is_service = candidates->at[0].group == NULL;
  bool slow[2];

  for (int i = 0; i < 2; i++)
    slow[i] = slowness (choose_stats_find (chooser, candidates->at[i].key),
                        is_service, summary)
              > STRAGGLER_FACTOR;
  for (unsigned i = 0; i < 2; i++)
    if (slow[i] && !slow[1 - i])
      return passes_over (choose_stats_find (chooser, candidates->at[i].key))
                 ? 1 - i
                 : i;
  return waits[1] < waits[0] ? 1 : 0;
}

static int64_t
rounded_wait (double wait_ms)
{
  return wait_ms > 0 ? (int64_t)wait_ms : 0;
}

static enum result
decide (struct chooser *chooser,
        const struct target *target,
        const struct choose_request *request,
        const struct candidates *candidates,
        int64_t now_ms,
        struct choose_result *result)
{
  struct summary summary;
  bool usable[2] = { false, false };
  double waits[2] = { 0, 0 };
  unsigned chosen;

  for (unsigned i = 0; i < candidates->count; i++)
    usable[i]
        = is_usable (chooser, target, &candidates->at[i], request, now_ms);
  if (!usable[0] && !usable[1])
    return RESULT_NO_CAPACITY;
  summarise (chooser, target, now_ms, &summary);
  for (unsigned i = 0; i < candidates->count; i++)
    if (usable[i])
      waits[i] = expected_wait (
          choose_stats_find (chooser, candidates->at[i].key),
          &candidates->at[i], target->model == NULL, &summary, now_ms);
  if (target->model != NULL)
    waits[0] -= AFFINITY_SHARE * summary.service_ms;
  if (usable[0] && usable[1])
    chosen = compare_candidates (chooser, candidates, &summary, waits);
  else
    chosen = usable[0] ? 0 : 1;

  memset (result, 0, sizeof *result);
  snprintf (result->key, sizeof result->key, "%s", candidates->at[chosen].key);
  snprintf (result->host, sizeof result->host, "%s",
            candidates->at[chosen].host->id);
  if (candidates->at[chosen].group != NULL)
    result->generation = candidates->at[chosen].group->generation;
  result->expected_wait_ms = rounded_wait (waits[chosen]);
  if (usable[1 - chosen])
    {
      snprintf (result->rejected, sizeof result->rejected, "%s",
                candidates->at[1 - chosen].key);
      result->rejected_wait_ms = rounded_wait (waits[1 - chosen]);
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

  find_candidates (chooser, &target, request, FIELD_RECENT, now_ms,
                   &candidates);
  status = decide (chooser, &target, request, &candidates, now_ms, result);
  if (status == RESULT_OK || request->struck || request->may_have_run)
    return status;
  /* Both positions are lost and nothing ran: others may take the request. */
  find_candidates (chooser, &target, request, FIELD_USABLE, now_ms,
                   &candidates);
  return decide (chooser, &target, request, &candidates, now_ms, result);
}

static bool
is_stale (const struct choose_stats *stats, int64_t now_ms)
{
  return stats->in_flight == 0 && stats->struck_in_flight == 0
         && stats->open_until_ms <= now_ms
         && (stats->served_ms == FLEET_NEVER
             || now_ms - stats->served_ms >= STATS_HOLD_MS);
}

void
choose_tick (struct chooser *chooser, const struct fleet *fleet, int64_t now_ms)
{
  struct choose_stats *stats;

  for (const struct fleet_group *group = fleet->groups; group != NULL;
       group = group->hh.next)
    if (fleet_group_serving (fleet, group, now_ms) == FLEET_SERVING)
      {
        const struct endpoint endpoint = { .key = group->id, .group = group };

        note_serving (chooser, &endpoint, now_ms);
      }
  for (const struct fleet_host *host = fleet->hosts; host != NULL;
       host = host->hh.next)
    if (host->is_service && service_host_serves (host, now_ms))
      {
        const struct endpoint endpoint = { .key = host->id, .host = host };

        note_serving (chooser, &endpoint, now_ms);
      }
  stats = chooser->stats;
  while (stats != NULL)
    {
      struct choose_stats *next = stats->hh.next;

      if (is_stale (stats, now_ms))
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
  struct endpoint endpoint = { 0 };
  unsigned slots = 0;

  while (next_endpoint (&target, &endpoint))
    if (serves (fleet, &endpoint, now_ms))
      /* A serving endpoint that reports no slots still takes one request. */
      slots += endpoint.host->attested.slots > 0 ? endpoint.host->attested.slots
                                                 : 1;
  return slots;
}
