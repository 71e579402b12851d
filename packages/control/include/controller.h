#ifndef CONTROL_CONTROLLER_H
#define CONTROL_CONTROLLER_H

#include "config.h"
#include "fleet.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "plan.h"
#include "platform.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Runs the group decisions of one data centre: competes for its lease and,
 * while it holds the lease, writes the assignment and sends orders to engines.
 * Every step is logged as one decision with its reason.
 */

#define CONTROLLER_INTERVAL_MS 200
#define CONTROLLER_ORDER_TIMEOUT_MS 5000

struct controller_order; /* an HTTP request with an order; private */

struct controller
{
  struct event_base *base;
  struct platform *platform;
  struct config *config;
  struct fleet *fleet;
  struct member_table *members;
  char data_centre[FLEET_NAME_SIZE];
  char lease_key[FLEET_NAME_SIZE + 16];
  char assignment_key[FLEET_NAME_SIZE + 16];
  struct lease lease;
  struct history history;
  struct placement_settings placement_settings;
  struct placement placement; /* computed by the last tick as holder */
  struct plan plan;
  struct plan_steps steps;
  TAILQ_HEAD (, controller_order) orders; /* in flight */
  json_t *pending_assignment; /* its write is in flight; NULL = none */
  bool was_holder;
  int64_t next_tick_ms;
  uint64_t orders_sent;
  uint64_t logged_hash; /* hash of the last logged decisions */
};

enum result controller_init (struct controller *controller,
                             struct event_base *base,
                             struct platform *platform,
                             struct config *config,
                             struct fleet *fleet,
                             struct member_table *members,
                             const struct placement_settings *settings);
void controller_finish (struct controller *controller);
void controller_tick (struct controller *controller, int64_t now_ms);

/* Releases the lease; true once it is no longer held. */
bool controller_release_lease (struct controller *controller, int64_t now_ms);

bool controller_is_holder (const struct controller *controller, int64_t now_ms);

#endif
