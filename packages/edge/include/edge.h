#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include "adapter.h"
#include "counter.h"
#include "edge-settings.h"
#include "endpoints.h"
#include "follower.h"
#include "handover.h"
#include "leader.h"
#include "mesh.h"
#include "records.h"
#include "relay.h"
#include "vouch.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * An entry host on a provided platform: follows the configuration and the
 * endpoints, forwards requests, and forms the groups of its data centre while
 * it holds the lease.
 */

enum edge_phase
{
  EDGE_RUNNING,
  EDGE_LEAVING, /* not ready; answers what it has and what still arrives */
  EDGE_CLOSING, /* no new connections */
};

struct edge
{
  struct edge_settings settings;
  const char *settings_path;
  const struct adapter *adapter;
  char boot_id[64];
  struct event_base *base;
  struct event *tick;
  struct event *on_term;
  struct event *on_hup;
  struct evhttp *readiness;
  struct counter_set counters;
  struct endpoints endpoints;
  struct records records;
  struct follower configuration;
  struct follower entries;
  struct relay relay;
  struct leader leader;
  struct mesh mesh;
  struct vouch vouch;
  struct handover handover;
  unsigned most_hosts; /* entry hosts known at once */
  bool direct;         /* reads the platform itself, for others too */
  bool relisting;      /* reads all entries, since they differ from a hub's */
  bool knows_all;      /* all endpoints, not only those that are routed to */
  bool ready;          /* as last told in the log */
  bool fetching;       /* a read of the configuration is under way */
  int64_t fetch_ms;    /* next one */
  int64_t fetched_ms;  /* when the last one was sent */
  enum edge_phase phase;
  int64_t phase_ms;
  int64_t busy_ms;          /* when there was last something in flight */
  int64_t status_ms;        /* next status line */
  int64_t reload_ms;        /* next look at the settings file */
  uint64_t settings_digest; /* of the file as last read; 0 = not read */
  int64_t now_ms;
};

enum result edge_init (struct edge *edge,
                       const struct adapter *adapter,
                       const struct edge_settings *settings,
                       const char *settings_path);
void edge_run (struct edge *edge);
void edge_finish (struct edge *edge);

/* True if this host may get new connections. */
bool edge_is_ready (const struct edge *edge);

/* True if it has read the list of endpoints, itself or through its hub. */
bool edge_knows_endpoints (const struct edge *edge);

/* follow.c */
void edge_follow_init (struct edge *edge);
void edge_follow_tick (struct edge *edge);

/*
 * True if this host may hold the lease of its data centre: a hub, or a host
 * that reads the platform in the place of hubs that cannot.
 */
bool edge_is_candidate (const struct edge *edge);

/* A piece of the patch to a newer configuration arrived. */
void edge_take_patch (struct edge *edge, const struct gossip_patch *piece);

/* peers.c: what the other entry hosts tell and are told. */
enum result edge_peers_init (struct edge *edge);
void edge_peers_tick (struct edge *edge);

/* readiness.c */
enum result edge_readiness_init (struct edge *edge);

/* reload.c: reads the settings again on SIGHUP, and when the file changes. */
enum result edge_reload_init (struct edge *edge);
void edge_reload_tick (struct edge *edge);
void edge_reload_finish (struct edge *edge);

/* How long keys are accepted after the configuration was last proven. */
int64_t edge_key_proof_ms (const struct edge_settings *settings);

/* stop.c */
void edge_stop (struct edge *edge);
void edge_stop_tick (struct edge *edge);

#endif
