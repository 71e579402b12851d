#ifndef CONTROL_KEEPER_H
#define CONTROL_KEEPER_H

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

/*
 * Runs the group decisions of one data centre: candidates for its lease, and
 * while the lease is held, writes of the assignment and orders to engines.
 * Every step is logged as one decision with its reason.
 */

#define KEEPER_INTERVAL_MS 200
#define KEEPER_ORDER_TIMEOUT_MS 5000

struct keeper_order; /* an order in flight; private */

struct keeper
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
  struct placement placement; /* wanted, of the latest tick as holder */
  struct plan plan;
  struct plan_steps steps;
  struct keeper_order *orders;
  json_t *written; /* assignment whose write is in flight */
  bool was_holder;
  int64_t next_ms;
  uint64_t orders_sent;
  uint64_t decided; /* hash of the decisions logged last */
};

enum result keeper_init (struct keeper *keeper,
                         struct event_base *base,
                         struct platform *platform,
                         struct config *config,
                         struct fleet *fleet,
                         struct member_table *members,
                         const struct placement_settings *settings);
void keeper_finish (struct keeper *keeper);
void keeper_tick (struct keeper *keeper, int64_t now_ms);

/* Gives the lease back; true once that is done or cannot be done. */
bool keeper_release (struct keeper *keeper, int64_t now_ms);

bool keeper_is_holder (const struct keeper *keeper, int64_t now_ms);

#endif
