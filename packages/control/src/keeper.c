#include "keeper-internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum result
keeper_init (struct keeper *keeper,
             struct event_base *base,
             struct platform *platform,
             struct config *config,
             struct fleet *fleet,
             struct member_table *members,
             const struct placement_settings *settings)
{
  struct lease_settings lease_settings;
  struct history_settings history_settings;
  struct plan_settings plan_settings;
  char self[LEASE_NAME_SIZE];

  memset (keeper, 0, sizeof *keeper);
  keeper->base = base;
  keeper->platform = platform;
  keeper->config = config;
  keeper->fleet = fleet;
  keeper->members = members;
  keeper->placement_settings = *settings;
  snprintf (keeper->data_centre, sizeof keeper->data_centre, "%s",
            members->self.data_centre);
  snprintf (keeper->lease_key, sizeof keeper->lease_key, "lease/%s",
            keeper->data_centre);
  snprintf (keeper->assignment_key, sizeof keeper->assignment_key,
            "assignment/%s", keeper->data_centre);
  /* A restarted process must not take its predecessor's lease for its own. */
  if (snprintf (self, sizeof self, "%s@%" PRIu64, members->self.host,
                members->self.incarnation)
      >= (int)sizeof self)
    return RESULT_TOO_LARGE;
  lease_settings_init (&lease_settings);
  lease_init (&keeper->lease, &lease_settings, self, 0);
  history_settings_init (&history_settings);
  history_init (&keeper->history, &history_settings, keeper->data_centre);
  placement_init (&keeper->placement);
  plan_settings_init (&plan_settings);
  plan_settings.load_limit = settings->load_limit;
  plan_init (&keeper->plan, &plan_settings, keeper->data_centre, self);
  plan_steps_init (&keeper->steps);
  return RESULT_OK;
}

void
keeper_finish (struct keeper *keeper)
{
  keeper_orders_finish (keeper);
  json_decref (keeper->written);
  plan_steps_finish (&keeper->steps);
  plan_finish (&keeper->plan);
  placement_finish (&keeper->placement);
  history_finish (&keeper->history);
}

bool
keeper_is_holder (const struct keeper *keeper, int64_t now_ms)
{
  return lease_may_act (&keeper->lease, now_ms);
}

static void
note_holder (struct keeper *keeper, int64_t now_ms)
{
  bool holder = lease_may_act (&keeper->lease, now_ms);

  if (holder == keeper->was_holder)
    return;
  keeper->was_holder = holder;
  LOG_EVENT (LOG_LEVEL_NOTICE, holder ? "lease-acquired" : "lease-ended",
             LOG_STR ("data_centre", keeper->data_centre),
             LOG_U64 ("fence", lease_fence (&keeper->lease)));
}

static void
act (struct keeper *keeper, int64_t now_ms)
{
  struct placement_input input = {
    .sheet = &keeper->config->sheet,
    .fleet = keeper->fleet,
    .history = &keeper->history,
    .settings = &keeper->placement_settings,
    .data_centre = keeper->data_centre,
    .now_ms = now_ms,
  };
  struct plan_steps *steps = &keeper->steps;

  if (placement_compute (&keeper->placement, &input) != RESULT_OK)
    return;
  keeper_log_decisions (keeper);
  if (plan_next (&keeper->plan, &keeper->lease, keeper->fleet,
                 &keeper->placement, &keeper->history, now_ms, steps)
      != RESULT_OK)
    return;
  if (steps->read_assignment)
    keeper_read_assignment (keeper);
  if (steps->write_assignment)
    keeper_write_assignment (keeper, now_ms);
  for (size_t i = 0; i < steps->order_count; i++)
    keeper_send_order (keeper, &steps->orders[i], now_ms);
}

void
keeper_tick (struct keeper *keeper, int64_t now_ms)
{
  const struct member_update *self = &keeper->members->self;
  size_t rank;

  if (now_ms < keeper->next_ms)
    return;
  keeper->next_ms = now_ms + KEEPER_INTERVAL_MS;
  rank = member_rank (keeper->members, keeper->data_centre, self->host,
                      keeper->lease_key);
  lease_set_rank (&keeper->lease, rank == SIZE_MAX ? 0 : (unsigned)rank);
  lease_see_fence (&keeper->lease, keeper->fleet->assignment_fence);
  keeper_run_lease (keeper, now_ms);
  note_holder (keeper, now_ms);
  if (history_observe (&keeper->history, keeper->fleet, now_ms) != RESULT_OK)
    return;
  /* Without a sheet nothing is known to be wanted; doing nothing is safe. */
  if (keeper->config->sheet.number > 0
      && lease_may_act (&keeper->lease, now_ms))
    act (keeper, now_ms);
}

bool
keeper_release (struct keeper *keeper, int64_t now_ms)
{
  if (keeper->lease.phase == LEASE_HOLDING)
    lease_release (&keeper->lease);
  keeper_run_lease (keeper, now_ms);
  return keeper->lease.phase != LEASE_HOLDING;
}
