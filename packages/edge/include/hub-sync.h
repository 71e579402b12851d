#ifndef EDGE_HUB_SYNC_H
#define EDGE_HUB_SYNC_H

#include "endpoints.h"
#include "mesh.h"
#include "routed-snapshot.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Hub synchronisation keeps most entry hosts current without calls to the
 * platform: each host polls its hub, which sends the entries that changed and
 * says how current its own copy is.
 *
 * A host counts the age of a response from the moment it sent the request, so
 * that a response that was delayed, or that reached a suspended host, does not
 * make its data look newer than it is.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

/* Holds all endpoints deleted at once: two failed data centres have 219. */
#define HUB_SYNC_TOMBSTONES 512

struct hub_sync_freshness
{
  int64_t configuration_current_at_ms;
  int64_t entries_current_at_ms;
  uint64_t revision; /* up to which the entries are known */
};

struct hub_sync_hooks
{
  void *context;
  /* Returns the version of the configuration in force here; 0 = none. */
  int64_t (*configuration_version) (void *context);
  /*
   * Fills in how current this host's own reads of the platform are.  False if
   * other hosts must not rely on them.
   */
  bool (*own_freshness) (void *context, struct hub_sync_freshness *freshness);
  /*
   * Sends the patch from this version to the newest configuration; false if
   * there is none.
   */
  bool (*send_patch) (void *context, struct mesh_host *to, int64_t from);
};

/* A removed endpoint, kept to report the removal to hosts that missed it. */
struct hub_sync_tombstone
{
  char *endpoint; /* NULL = memory was short */
  uint64_t revision;
};

struct hub_sync
{
  struct mesh *mesh;
  struct endpoints *endpoints;
  struct hub_sync_hooks hooks;
  /* Ring buffer of the newest tombstones. */
  struct hub_sync_tombstone tombstones[HUB_SYNC_TOMBSTONES];
  uint64_t tombstones_added;        /* since the start */
  int64_t last_request_received_ms; /* from another host */
  int64_t freshness_limit_ms;       /* hubs with older data are not used */
  unsigned hub_rank;                /* of the hub that is polled */
  int64_t hub_chosen_ms;
  unsigned unanswered_requests; /* in a row */
  /* The last response had data over the limit, or there was none yet. */
  bool is_hub_stale;
  int64_t next_request_ms;
  int64_t request_sent_ms; /* also the nonce of the request */
  int64_t configuration_current_at_ms;
  int64_t entries_current_at_ms;
  int64_t newest_configuration; /* newest version that a hub reported */
  int64_t newest_at_ms;         /* when a hub last reported it */
  bool is_patch_sent; /* the hub sent a patch to newest_configuration */
  /* When a hub first reported a newer version than this host has; 0 = none. */
  int64_t outdated_since_ms;
  /* Since when all responses report a newer version; 0 = the last did not. */
  int64_t newer_since_ms;
  int64_t newer_at_ms; /* time of the last such response */
  bool is_confirmed;   /* a hub has had no newer version than this host */
  bool relies_on_hub;  /* this host does not list the entries itself */
  /*
   * A hub had endpoints deleted.  They may exist: a hub tells of those that it
   * does not route to any more in the same way.  Cleared by the owner.
   */
  bool has_deleted;
  bool has_synced;          /* the entries have matched a hub's once */
  uint64_t synced_revision; /* of the last match */
  int64_t next_compare_ms;  /* no comparison of routed endpoints before */
  int64_t differs_since_ms; /* entries differ from the hub's; 0 = they match */
  struct routed_snapshot routed_snapshot; /* being received */
  int64_t now_ms;
};

void hub_sync_init (struct hub_sync *sync,
                    struct mesh *mesh,
                    struct endpoints *endpoints,
                    const struct hub_sync_hooks *hooks,
                    int64_t freshness_limit_ms);

void hub_sync_finish (struct hub_sync *sync);

/*
 * Records that an endpoint was removed from the table while the entries were
 * known up to this revision.  Other hosts may know the entries up to the same
 * revision and still have the endpoint.
 */
void hub_sync_add_tombstone (struct hub_sync *sync,
                             const char *endpoint,
                             uint64_t revision);

/*
 * sends_requests: this host polls its hub.  compares_routed: it does not list
 * the entries itself, so endpoints that its hub does not route to may be
 * deleted.
 */
void hub_sync_tick (struct hub_sync *sync,
                    bool sends_requests,
                    bool compares_routed,
                    int64_t now_ms);
void hub_sync_handle_message (struct hub_sync *sync,
                              struct mesh_host *from,
                              const struct gossip_message *message,
                              int64_t now_ms);

/* Sends the endpoint's report to all hosts at once. */
void hub_sync_announce (struct hub_sync *sync, const struct endpoint *endpoint);

#endif
