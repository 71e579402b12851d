#include "leader.h"

#include "hash.h"
#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

/*
 * No groups are repaired while nobody holds the lease, so the lease is short. A
 * write takes a few ms, so it can be repeated after a lost response.
 */
#define LEASE_TTL_MS 3000
#define LEASE_RENEW_MS 800
#define LEASE_MARGIN_MS 600
#define LEASE_TAKEOVER_WAIT_MS 400
#define LEASE_STAGGER_MS 150
#define LEASE_POLL_MS 1500
#define LEASE_SLOW_POLL_MS 4000
#define LEASE_RETRY_MS 250
/* Ranks within a role; each rank delays attempts by LEASE_STAGGER_MS more. */
#define LEASE_RANKS 4
/* A call without a response for this long counts as failed. */
#define LEASE_CALL_TIMEOUT_MS 1000
/* Reads of an unreadable lease, 250 ms apart, before it is given up. */
#define UNREADABLE_READS 3
/* Interval of looks for the tokens of groups. */
#define FENCE_SCAN_INTERVAL_MS 1000

static void
send_order (void *context, const struct formation_order *order)
{
  struct leader *leader = context;
  struct endpoint *endpoint
      = endpoints_find (leader->endpoints, order->endpoint);

  if (endpoint == NULL || !lease_may_act (&leader->lease, time_boot_ms ()))
    return;
  LOG_EVENT (
      LOG_LEVEL_INFO, "order", LOG_STR ("op", formation_op_name (order->op)),
      LOG_STR ("endpoint", order->endpoint), LOG_STR ("group", order->group),
      LOG_U64 ("epoch", order->epoch), LOG_STR ("model", order->model),
      LOG_U64 ("revision", endpoint->revision),
      LOG_STR ("state", endpoint_group_state_name (endpoint->report.state)),
      LOG_STR ("reason", order->reason));
  orders_send (&leader->orders, order, lease_fence (&leader->lease),
               endpoint->report.address, endpoint->report.port, leader->now_ms);
}

static unsigned
count_known_members (const struct formation_group *group)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < FORMATION_SIZE_LIMIT; rank++)
    if (group->members[rank][0] != '\0')
      count++;
  return count;
}

static void
log_group_change (void *context,
                  const struct formation_group *group,
                  const char *reason)
{
  const struct leader *leader = context;

  LOG_EVENT (LOG_LEVEL_NOTICE, "group", LOG_STR ("group", group->name),
             LOG_U64 ("epoch", group->epoch), LOG_STR ("model", group->model),
             LOG_STR ("domain", group->domain),
             LOG_STR ("head", group->members[0]), LOG_U64 ("size", group->size),
             LOG_U64 ("known_members", count_known_members (group)),
             LOG_STR ("phase", formation_phase_name (group->phase)),
             LOG_U64 ("fence", leader->formation.fence),
             LOG_STR ("reason", reason));
}

static bool
is_endpoint_silent (void *context, const struct endpoint *endpoint)
{
  const struct leader *leader = context;

  return checker_is_silent (&leader->checker, endpoint->id);
}

static void
on_order_lost (void *context, const char *endpoint)
{
  struct leader *leader = context;

  checker_suspect (&leader->checker, endpoint, leader->now_ms);
}

static bool
is_lease_held (void *context, uint64_t fence)
{
  const struct leader *leader = context;

  return !leader->is_paused && lease_may_act (&leader->lease, time_boot_ms ())
         && lease_fence (&leader->lease) == fence;
}

static bool
is_order_current (void *context,
                  enum formation_op op,
                  const char *endpoint,
                  const char *group,
                  uint64_t epoch)
{
  const struct leader *leader = context;

  return !leader->is_releasing
         && formation_is_order_current (&leader->formation, op, endpoint, group,
                                        epoch);
}

static void
on_order_fenced (void *context, const char *endpoint)
{
  struct leader *leader = context;

  formation_exclude_endpoint (&leader->formation, endpoint,
                              leader->now_ms + LEASE_TTL_MS);
}

void
leader_init (struct leader *leader,
             struct event_base *base,
             const struct platform_adapter *adapter,
             struct records *records,
             const struct endpoints *endpoints,
             const struct formation_settings *settings,
             const char *self)
{
  struct lease_settings lease = {
    .ttl_ms = LEASE_TTL_MS,
    .renew_interval_ms = LEASE_RENEW_MS,
    .margin_ms = LEASE_MARGIN_MS,
    .takeover_wait_ms = LEASE_TAKEOVER_WAIT_MS,
    .stagger_ms = LEASE_STAGGER_MS,
    .poll_interval_ms = LEASE_POLL_MS,
    .slow_poll_interval_ms = LEASE_SLOW_POLL_MS,
    .poll_ranks = LEASE_RANKS / 2,
    .retry_delay_ms = LEASE_RETRY_MS,
  };
  const struct orders_hooks orders = { leader, on_order_fenced, on_order_lost,
                                       is_lease_held, is_order_current };

  memset (leader, 0, sizeof *leader);
  leader->base = base;
  leader->adapter = adapter;
  leader->records = records;
  leader->endpoints = endpoints;
  leader->lease_name = settings->data_centre;
  leader->rank = (unsigned)(hash_string (self, 0) % LEASE_RANKS);
  lease_init (&leader->lease, &lease, self, leader->rank);
  formation_init (&leader->formation, settings);
  orders_init (&leader->orders, base, adapter, &orders);
  checker_init (&leader->checker, base, adapter, endpoints);
}

void
leader_finish (struct leader *leader)
{
  orders_finish (&leader->orders);
  checker_finish (&leader->checker);
  formation_finish (&leader->formation);
}

/*
 * A host that starts on a store that was restored cannot tell how old the copy
 * is: it may be older than the lease of a holder that still acts, or than the
 * first lease.  What it reads first counts as the copy.
 */
static bool
starts_on_copy (const struct leader *leader, uint64_t era)
{
  return leader->era == 0 && era > RECORDS_FIRST_ERA && !leader->lease.was_read;
}

/* Tells the lease that the store was restored, before it sees the copy. */
static void
note_era (struct leader *leader)
{
  uint64_t era = leader->records->era;

  if (era == leader->era)
    return;
  if (starts_on_copy (leader, era)
      || (leader->era != 0 && leader->lease.was_read
          && records_get_era (leader->lease.version) < era))
    {
      lease_on_restore (&leader->lease);
      LOG_EVENT (LOG_LEVEL_NOTICE, "lease-restored",
                 LOG_STR ("lease", leader->lease_name), LOG_U64 ("era", era),
                 LOG_U64 ("fence_floor", leader->lease.fence_floor),
                 LOG_INT ("reclaimable_ms",
                          leader->lease.reclaim_until_ms > leader->now_ms
                              ? leader->lease.reclaim_until_ms - leader->now_ms
                              : 0));
    }
  leader->era = era;
}

/*
 * Groups that exist tell the tokens under which they were formed.  A lease that
 * was restored from a copy may hold an older one.
 */
static void
observe_fences (struct leader *leader)
{
  if (leader->lease.phase == LEASE_HOLDING
      || leader->now_ms < leader->next_fence_scan_ms)
    return;
  leader->next_fence_scan_ms = leader->now_ms + FENCE_SCAN_INTERVAL_MS;
  for (const struct endpoint *endpoint = leader->endpoints->table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    if (strcmp (endpoint->report.data_centre, leader->lease_name) == 0)
      lease_observe_reported_fence (
          &leader->lease, formation_get_fence (endpoint->report.epoch));
}

/*
 * Another program has overwritten the lease: true once several reads of the
 * same revision say so, since one response may be damaged on the way.  The
 * lease then counts as that of an unknown holder, which may act until it ends.
 * Reading it again would show the same for ever, and the data centre would have
 * no holder.
 */
static bool
is_lease_overwritten (struct leader *leader,
                      const struct records_response *response,
                      struct lease_value *value)
{
  if (response->record == NULL)
    return false;
  if (response->revision != leader->unreadable_revision)
    leader->unreadable_reads = 0;
  leader->unreadable_revision = response->revision;
  if (++leader->unreadable_reads < UNREADABLE_READS)
    return false;
  lease_observe_fence (&leader->lease, leader->lease.value.fence);
  *value = (struct lease_value){ .holder = "?",
                                 .fence = leader->lease.value.fence,
                                 .ttl_ms = LEASE_TTL_MS };
  if (leader->unreadable_reads == UNREADABLE_READS)
    LOG_EVENT (LOG_LEVEL_WARNING, "lease-unreadable",
               LOG_STR ("lease", leader->lease_name),
               LOG_U64 ("revision", response->revision),
               LOG_U64 ("fence_floor", leader->lease.fence_floor));
  return true;
}

static void
on_lease_read (void *context, const struct records_response *response)
{
  struct leader *leader = context;
  struct lease_value value = { .fence = 0 };
  enum result result = response->result;

  note_era (leader);
  if (result == RESULT_OK)
    result = response->record != NULL && response->record->value != NULL
                 ? lease_value_from_json (&value, response->record->value)
                 : RESULT_PLATFORM_BAD_ANSWER;
  if (response->result == RESULT_OK && result != RESULT_OK
      && is_lease_overwritten (leader, response, &value))
    result = RESULT_OK;
  lease_on_read (&leader->lease, result, &value, response->revision,
                 time_boot_ms ());
}

static void
on_lease_written (void *context, const struct records_response *response)
{
  struct leader *leader = context;

  note_era (leader);
  lease_on_write (&leader->lease, response->result, response->revision,
                  time_boot_ms ());
}

static void
act_on_lease (struct leader *leader)
{
  struct lease_action action = lease_tick (&leader->lease, leader->now_ms);
  struct records_request request = {
    .kind = RECORDS_LEASES,
    .name = leader->lease_name,
    .verb = RECORDS_READ,
    .revision = action.version,
  };
  json_t *value = NULL;

  switch (action.kind)
    {
    case LEASE_NO_ACTION:
      return;
    case LEASE_READ:
      records_call (leader->records, &request, LEASE_CALL_TIMEOUT_MS,
                    on_lease_read, leader);
      return;
    case LEASE_WRITE:
      value = lease_value_to_json (&action.value);
      request.verb = action.version == 0 ? RECORDS_CREATE : RECORDS_REPLACE;
      request.value = value;
      records_call (leader->records, &request, LEASE_CALL_TIMEOUT_MS,
                    on_lease_written, leader);
      json_decref (value);
      return;
    }
}

static void
update_lease_state (struct leader *leader)
{
  bool acting = lease_may_act (&leader->lease, leader->now_ms);
  uint64_t fence = acting ? lease_fence (&leader->lease) : 0;

  if (acting != leader->acting)
    LOG_EVENT (LOG_LEVEL_NOTICE, acting ? "lease-acquired" : "lease-lost",
               LOG_STR ("lease", leader->lease_name),
               LOG_U64 ("fence", leader->lease.value.fence),
               LOG_U64 ("revision", leader->lease.version));
  if (acting && !leader->acting)
    leader->acquired_ms = leader->now_ms;
  leader->acting = acting;
  /*
   * After an evacuation the groups are adopted anew, as by a new holder: what
   * is remembered of them is out of date.
   */
  formation_set_fence (&leader->formation, leader->is_paused ? 0 : fence,
                       leader->now_ms);
}

bool
leader_may_form (const struct leader *leader, int64_t endpoints_current_at_ms)
{
  return leader->acting && !leader->is_releasing && !leader->is_paused
         && endpoints_current_at_ms >= leader->acquired_ms;
}

/*
 * The next holder may act as soon as the lease is free, so it is kept until the
 * orders that were sent are answered or count as lost.
 */
static void
release_when_answered (struct leader *leader)
{
  if (leader->is_releasing && TAILQ_EMPTY (&leader->orders.calls))
    lease_release (&leader->lease);
}

/*
 * Checks the endpoints whose entries expired during a platform outage.  They
 * count as present for a while; a check shows sooner which of them are alive.
 */
static void
check_deleted_endpoints (struct leader *leader)
{
  if (!leader->acting)
    return;
  for (const struct endpoint *endpoint = leader->endpoints->table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    if (endpoint->deleted_ms != 0
        && strcmp (endpoint->report.data_centre, leader->lease_name) == 0)
      checker_suspect (&leader->checker, endpoint->id, leader->now_ms);
}

void
leader_tick (struct leader *leader,
             const struct catalog *catalog,
             bool has_traffic,
             bool is_candidate,
             enum leader_role role,
             int64_t endpoints_current_at_ms,
             int64_t now_ms)
{
  const struct formation_hooks hooks
      = { leader, send_order, log_group_change, is_endpoint_silent };

  leader->now_ms = now_ms;
  leader->is_paused
      = evacuations_includes (leader->evacuations, leader->lease_name);
  checker_set_paused (&leader->checker, leader->is_paused);
  orders_tick (&leader->orders, now_ms);
  checker_tick (&leader->checker, now_ms);
  release_when_answered (leader);
  /*
   * Hubs have precedence: other hosts get the lease from them.  The reader
   * comes before the other hubs: it reads the platform anyway, as a holder
   * must.
   */
  if (role == LEADER_READER)
    lease_set_rank (&leader->lease, 0);
  else
    lease_set_rank (&leader->lease,
                    1 + leader->rank + (role == LEADER_HUB ? 0 : LEASE_RANKS));
  note_era (leader);
  if (is_candidate)
    observe_fences (leader);
  if (is_candidate || leader->lease.phase == LEASE_HOLDING)
    act_on_lease (leader);
  update_lease_state (leader);
  check_deleted_endpoints (leader);
  if (has_traffic)
    leader->formation.has_traffic = true;
  if (leader_may_form (leader, endpoints_current_at_ms))
    formation_tick (&leader->formation, leader->endpoints, catalog, &hooks,
                    now_ms);
}

void
leader_observe_lease (struct leader *leader,
                      const struct lease_value *value,
                      uint64_t version,
                      int64_t now_ms)
{
  if (version > leader->lease.version)
    lease_on_watch (&leader->lease, value, version, now_ms);
}

void
leader_suspect_group (struct leader *leader, const char *endpoint)
{
  const struct formation_group *group;

  if (!leader->acting)
    return;
  TAILQ_FOREACH (group, &leader->formation.groups, link)
    {
      if (strcmp (group->members[0], endpoint) != 0)
        continue;
      for (unsigned rank = 0; rank < group->size; rank++)
        if (group->members[rank][0] != '\0')
          checker_suspect (&leader->checker, group->members[rank],
                           leader->now_ms);
    }
}

void
leader_release_lease (struct leader *leader)
{
  leader->is_releasing = true;
}

bool
leader_has_released_lease (const struct leader *leader)
{
  return leader->lease.phase == LEASE_RELEASED
         || leader->lease.phase == LEASE_FOLLOWING;
}
