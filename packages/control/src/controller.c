#include "controller-internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum result
controller_init (struct controller *controller,
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

  memset (controller, 0, sizeof *controller);
  controller->base = base;
  controller->platform = platform;
  controller->config = config;
  controller->fleet = fleet;
  controller->members = members;
  controller->placement_settings = *settings;
  snprintf (controller->data_centre, sizeof controller->data_centre, "%s",
            members->self.data_centre);
  snprintf (controller->lease_key, sizeof controller->lease_key, "lease/%s",
            controller->data_centre);
  snprintf (controller->assignment_key, sizeof controller->assignment_key,
            "assignment/%s", controller->data_centre);
  /* The incarnation keeps a restarted process from taking the lease of its
   * predecessor for its own. */
  if (snprintf (self, sizeof self, "%s@%" PRIu64, members->self.host,
                members->self.incarnation)
      >= (int)sizeof self)
    return RESULT_TOO_LARGE;
  lease_settings_init (&lease_settings);
  lease_init (&controller->lease, &lease_settings, self, 0);
  history_settings_init (&history_settings);
  history_init (&controller->history, &history_settings,
                controller->data_centre);
  placement_init (&controller->placement);
  plan_settings_init (&plan_settings);
  plan_settings.load_limit = settings->load_limit;
  plan_init (&controller->plan, &plan_settings, controller->data_centre, self);
  plan_steps_init (&controller->steps);
  controller_orders_init (controller);
  return RESULT_OK;
}

void
controller_finish (struct controller *controller)
{
  controller_orders_finish (controller);
  json_decref (controller->pending_assignment);
  plan_steps_finish (&controller->steps);
  plan_finish (&controller->plan);
  placement_finish (&controller->placement);
  history_finish (&controller->history);
}

bool
controller_is_holder (const struct controller *controller, int64_t now_ms)
{
  return lease_may_act (&controller->lease, now_ms);
}

static void
log_lease_change (struct controller *controller, int64_t now_ms)
{
  bool holder = lease_may_act (&controller->lease, now_ms);

  if (holder == controller->was_holder)
    return;
  controller->was_holder = holder;
  LOG_EVENT (LOG_LEVEL_NOTICE, holder ? "lease-acquired" : "lease-ended",
             LOG_STR ("data_centre", controller->data_centre),
             LOG_U64 ("fence", lease_fence (&controller->lease)));
}

static void
run_decisions (struct controller *controller, int64_t now_ms)
{
  struct placement_input input = {
    .sheet = &controller->config->sheet,
    .fleet = controller->fleet,
    .history = &controller->history,
    .settings = &controller->placement_settings,
    .data_centre = controller->data_centre,
    .now_ms = now_ms,
  };
  struct plan_steps *steps = &controller->steps;

  if (placement_compute (&controller->placement, &input) != RESULT_OK)
    return;
  controller_log_decisions (controller);
  if (plan_compute_steps (&controller->plan, &controller->lease,
                          controller->fleet, &controller->placement,
                          &controller->history, now_ms, steps)
      != RESULT_OK)
    return;
  if (steps->read_assignment)
    controller_read_assignment (controller);
  if (steps->write_assignment)
    controller_write_assignment (controller, now_ms);
  for (size_t i = 0; i < steps->order_count; i++)
    controller_send_order (controller, &steps->orders[i], now_ms);
}

void
controller_tick (struct controller *controller, int64_t now_ms)
{
  const struct member_update *self = &controller->members->self;
  size_t rank;

  if (now_ms < controller->next_tick_ms)
    return;
  controller->next_tick_ms = now_ms + CONTROLLER_INTERVAL_MS;
  controller_orders_tick (controller, now_ms);
  rank = member_rank (controller->members, controller->data_centre, self->host,
                      controller->lease_key);
  lease_set_rank (&controller->lease, rank == SIZE_MAX ? 0 : (unsigned)rank);
  lease_observe_fence (&controller->lease, controller->fleet->assignment_fence);
  controller_run_lease (controller, now_ms);
  log_lease_change (controller, now_ms);
  if (history_observe (&controller->history, controller->fleet, now_ms)
      != RESULT_OK)
    return;
  /* Without a sheet the wanted groups are unknown; doing nothing is safe. */
  if (controller->config->sheet.number > 0
      && lease_may_act (&controller->lease, now_ms))
    run_decisions (controller, now_ms);
}

bool
controller_release_lease (struct controller *controller, int64_t now_ms)
{
  if (controller->lease.phase == LEASE_HOLDING)
    lease_release (&controller->lease);
  controller_run_lease (controller, now_ms);
  return controller->lease.phase != LEASE_HOLDING;
}
