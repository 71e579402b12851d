#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include "cold-sync.h"
#include "config-distribution.h"
#include "counter.h"
#include "edge-settings.h"
#include "endpoints.h"
#include "evacuation-sync.h"
#include "follower.h"
#include "hub-sync.h"
#include "leader.h"
#include "mesh.h"
#include "platform-adapter.h"
#include "records.h"
#include "relay.h"
#include "strike-record.h"
#include "strike-sync.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * An entry host on the users' platform: follows the configuration and the
 * endpoints, forwards requests, and forms the groups of its data centre while
 * it holds the lease.
 */

enum edge_phase
{
  EDGE_RUNNING,
  EDGE_LEAVING, /* not ready; still serves old and new connections */
  EDGE_CLOSING, /* accepts no new connections */
};

struct edge
{
  struct edge_settings settings;
  const char *settings_path;
  const struct platform_adapter *adapter;
  char boot_id[64]; /* identifies this process */
  struct event_base *base;
  struct event *tick_event;
  struct event *sigterm_event;
  struct event *sighup_event;
  struct evhttp *readiness;
  struct counter_set counters;
  struct endpoints endpoints;
  struct records records;
  struct follower configuration;
  struct follower entries; /* records of the endpoints on the platform */
  uint64_t entries_era;    /* of the store, when the entries were last listed */
  struct relay relay;
  struct leader leader;
  struct mesh mesh;
  struct hub_sync hub_sync;
  struct strike_sync strike_sync;
  struct strike_record strike_record;
  struct evacuation_sync evacuation_sync;
  struct cold_sync cold_sync;
  struct config_distribution distribution;
  unsigned max_hosts_seen; /* most entry hosts known at the same time */
  /* Reads the platform, also for hosts that poll this one. */
  bool reads_platform;
  bool relisting;           /* lists all entries, as they differ from a hub's */
  bool knows_all_endpoints; /* not only the endpoints that are routed to */
  /* The list that is being read holds all endpoints of the pages so far. */
  bool list_is_whole;
  bool ready;    /* as last logged */
  bool fetching; /* a read of the configuration is in progress */
  int64_t next_fetch_ms;
  int64_t fetch_sent_ms; /* when the last read was sent */
  int64_t first_version; /* of the configuration, since the start */
  int64_t copy_read_ms;  /* see configuration-state.h */
  enum edge_phase phase;
  int64_t phase_started_ms;
  /* Last time with requests in flight, or in a phase before EDGE_CLOSING. */
  int64_t last_busy_ms;
  int64_t next_status_ms;         /* next status line in the log */
  int64_t next_settings_check_ms; /* next check of the settings file */
  uint64_t settings_digest;       /* of the file as last read; 0 = not read */
  int64_t now_ms;
};

enum result edge_init (struct edge *edge,
                       const struct platform_adapter *adapter,
                       const struct edge_settings *settings,
                       const char *settings_path);
void edge_run (struct edge *edge);
void edge_finish (struct edge *edge);

/* True if the platform may send new connections to this host. */
bool edge_is_ready (const struct edge *edge);

/*
 * Hosts that may send requests, as far as this one can tell: lost ones may be
 * cut off and still serve, so the number does not fall.
 */
unsigned edge_count_possible_hosts (const struct edge *edge);

/* Requests of this host at endpoints of an evacuated data centre. */
unsigned edge_count_running (const struct edge *edge, uint64_t data_centre);

/* Endpoints that are cold, as far as this host knows. */
unsigned edge_count_cold (const struct edge *edge);

/* True if this host has a list of endpoints, from the platform or its hub. */
bool edge_knows_endpoints (const struct edge *edge);

/* The table lacks what a hub had deleted, though it was listed. */
void edge_note_hub_deletions (struct edge *edge);

/* Starts or stops to read the platform. */
void edge_set_reads_platform (struct edge *edge, bool must_read);

/* When the routed endpoints, at least, were last known as they were (ms). */
int64_t edge_endpoints_current_at_ms (const struct edge *edge);

/* follow.c: keeps the configuration and the endpoints current. */
void edge_follow_init (struct edge *edge);
void edge_follow_tick (struct edge *edge);

/*
 * True if this host may acquire the lease of its data centre: a hub, or a host
 * that reads the platform because the hubs cannot.
 */
bool edge_is_candidate (const struct edge *edge);

/* Handles a chunk of a patch to a newer configuration. */
void edge_handle_patch (struct edge *edge, const struct gossip_patch *chunk);

/* peers.c: messages from and to the other entry hosts. */
enum result edge_peers_init (struct edge *edge);
void edge_peers_tick (struct edge *edge);

/* readiness.c: serves the platform's readiness check, and /metrics. */
enum result edge_readiness_init (struct edge *edge);

/* reload.c: reads the settings again on SIGHUP, and when the file changes. */
enum result edge_reload_init (struct edge *edge);
void edge_reload_tick (struct edge *edge);
void edge_reload_finish (struct edge *edge);

/* How long keys are accepted after the configuration was last current, ms. */
int64_t edge_key_freshness_limit_ms (const struct edge_settings *settings);

/* stop.c: starts the shutdown, and ends the event loop once it is done. */
void edge_stop (struct edge *edge);
void edge_stop_tick (struct edge *edge);

#endif
