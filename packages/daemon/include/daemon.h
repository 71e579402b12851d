#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "admission.h"
#include "choose.h"
#include "claim-cleanup.h"
#include "claimio.h"
#include "config.h"
#include "controller.h"
#include "counter.h"
#include "demand-table.h"
#include "error-budget-counts.h"
#include "fleet.h"
#include "gateway.h"
#include "log-history.h"
#include "member.h"
#include "peer.h"
#include "platform.h"
#include "prober.h"
#include "settings.h"
#include "strike-broadcast.h"
#include "strikes.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One entry host: its tables, the packages that use them, and the tick that
 * runs the packages in order.
 */

#define DAEMON_TICK_INTERVAL_MS 50
#define DAEMON_SHARES_INTERVAL_MS 50   /* division of slots and rates */
#define DAEMON_DEMAND_INTERVAL_MS 1000 /* demand is sent to peers */
/* Error budget counts and lost capacity are updated. */
#define DAEMON_ACCOUNTING_INTERVAL_MS 1000

enum daemon_phase
{
  DAEMON_RUNNING,
  DAEMON_SETTLING, /* /healthz returns 503, requests are still accepted */
  DAEMON_DRAINING, /* requests in flight finish */
  DAEMON_LEAVING,  /* claims are written, the lease is released, peers are
                       notified */
};

struct daemon
{
  struct settings settings;
  const char *settings_path;
  char boot_id[FLEET_NAME_SIZE];
  struct event_base *base;

  /* Tables. */
  struct fleet fleet;
  struct member_table members;
  struct admission admission;
  struct chooser chooser;
  struct strikes strikes;
  struct counter_set counters;
  struct demand_table demand_table;
  struct sent_demand sent_demand[SENT_DEMAND_LIMIT];
  struct log_history log_history;
  struct error_budget_counts error_budget_counts;

  /* Packages that communicate with other processes. */
  struct platform platform;
  struct peer_node peers;
  struct config config;
  struct prober prober;
  struct controller controller;
  struct strike_broadcast strike_broadcast;
  struct claim_cleanup claim_cleanup;
  struct gateway_strike_hooks strike_hooks;
  struct claimio claimio;
  struct gateway gateway;
  struct evhttp *admin;
  uint16_t admin_port;

  struct event *tick_event;
  struct event *sigterm_event;
  struct event *sigint_event;
  struct event *sighup_event;
  enum daemon_phase phase;
  int64_t phase_started_ms; /* time at which phase was entered */
  int64_t now_ms;           /* time of the current tick */
  int64_t next_shares_ms;
  int64_t next_demand_ms;
  int64_t next_accounting_ms;
  int64_t last_accounting_ms;
  unsigned init_steps_done; /* steps of daemon_init that daemon_finish undoes */
};

/* daemon.c */
enum result daemon_init (struct daemon *daemon,
                         const struct settings *settings,
                         const char *settings_path);
void daemon_run (struct daemon *daemon);
void daemon_finish (struct daemon *daemon);

/* tick.c */
void daemon_tick (struct daemon *daemon);

/*
 * quota.c: computes this entry host's share of slots and rates, and sends its
 * demand to peers.
 */
void daemon_divide_quotas (struct daemon *daemon);
void daemon_send_demand (struct daemon *daemon);

/* stop.c: starts the shutdown, and moves it through its phases. */
void daemon_stop (struct daemon *daemon);
void daemon_stop_tick (struct daemon *daemon);

/* reload.c: reads the settings file again, after SIGHUP. */
void daemon_reload_settings (struct daemon *daemon);
void daemon_log_settings_errors (const struct settings_errors *errors);

/*
 * lost-capacity.c: the number of groups that this data centre is to have for
 * each group row of the sheet.  Groups that fit into no data centre are added
 * in only one of them (see placement_divide_groups).  The caller frees the
 * array; NULL if memory is short.
 */
unsigned *daemon_compute_wanted_groups (const struct daemon *daemon);

/*
 * lost-capacity.c: adds the last elapsed_ms to the counters of group downtime
 * and stranded accelerators.
 */
void daemon_count_lost_capacity (struct daemon *daemon, int64_t elapsed_ms);

/* admin.c: HTTP server for operators. */
enum result daemon_admin_init (struct daemon *daemon);

/* status.c: the response of GET /status; NULL if memory is short. */
json_t *daemon_status_to_json (const struct daemon *daemon);

/* metrics.c: copies gauges and totals from other tables to the counters. */
void daemon_collect_metrics (struct daemon *daemon);

#endif
