#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "admission.h"
#include "broadcast.h"
#include "burn.h"
#include "choose.h"
#include "claimio.h"
#include "config.h"
#include "controller.h"
#include "counter.h"
#include "demand.h"
#include "fleet.h"
#include "gateway.h"
#include "member.h"
#include "peer.h"
#include "platform.h"
#include "prober.h"
#include "ring.h"
#include "settings.h"
#include "strikes.h"
#include "sweep.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One entry host: all tables, the packages that act on them, and the tick
 * that runs them in order.
 */

#define DAEMON_TICK_MS 50
#define DAEMON_SHARES_MS 50   /* slots are divided anew */
#define DAEMON_DEMAND_MS 1000 /* demand is told to peers */
#define DAEMON_BURN_MS 1000

enum daemon_phase
{
  DAEMON_RUNNING,
  DAEMON_SETTLING, /* /healthz says 503, requests are still taken */
  DAEMON_DRAINING, /* requests in flight finish */
  DAEMON_LEAVING,  /* the lease is given back, peers are told */
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
  struct demand demand;
  struct demand_sent sent[DEMAND_SENT_LIMIT];
  struct ring ring;
  struct burn burn;

  /* Packages that talk to the outside. */
  struct platform platform;
  struct peer_node peers;
  struct config config;
  struct prober prober;
  struct controller controller;
  struct broadcast broadcast;
  struct sweep sweep;
  struct gateway_strike_hooks strike_hooks;
  struct claimio claimio;
  struct gateway gateway;
  struct evhttp *admin;
  uint16_t admin_port;

  struct event *tick;
  struct event *on_term;
  struct event *on_int;
  struct event *on_hup;
  enum daemon_phase phase;
  int64_t phase_ms; /* when the phase began */
  int64_t now_ms;
  int64_t next_shares_ms;
  int64_t next_demand_ms;
  int64_t next_burn_ms;
  int64_t last_burn_ms;
  unsigned initialised; /* steps of daemon_init that finish must undo */
};

/* daemon.c */
enum result daemon_init (struct daemon *daemon,
                         const struct settings *settings,
                         const char *settings_path);
void daemon_run (struct daemon *daemon);
void daemon_finish (struct daemon *daemon);

/* tick.c */
void daemon_tick (struct daemon *daemon);

/* quota.c: divides slots and rates among the entry hosts. */
void daemon_divide (struct daemon *daemon);
void daemon_send_demand (struct daemon *daemon);

/* stop.c */
void daemon_stop (struct daemon *daemon);
void daemon_stop_tick (struct daemon *daemon);

/* reload.c */
void daemon_reload (struct daemon *daemon);
void daemon_log_settings_errors (const struct settings_errors *errors);

/*
 * loss.c: the groups that this data centre is to have, by the sheet's group
 * rows, those that fit nowhere included.  The caller frees the array; NULL
 * without memory.
 */
unsigned *daemon_wanted_groups (const struct daemon *daemon);

/* loss.c: counts group downtime and stranded accelerators. */
void daemon_count_losses (struct daemon *daemon, int64_t elapsed_ms);

/* admin.c */
enum result daemon_admin_init (struct daemon *daemon);

/* status.c */
json_t *daemon_status (const struct daemon *daemon);

/* metrics.c: refreshes gauges and totals that live in other tables. */
void daemon_collect_metrics (struct daemon *daemon);

#endif
