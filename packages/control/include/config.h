#ifndef CONTROL_CONFIG_H
#define CONTROL_CONFIG_H

#include "fleet.h"
#include "member.h"
#include "peer.h"
#include "platform.h"
#include "sheet.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Copies of the platform's objects that this entry host needs: the accepted
 * sheet, the control object (drains, releases), its data centre's assignment
 * and the host list.
 *
 * Two entry hosts per data centre hold a watch on the platform and read the
 * host list; the others learn from peers which numbers exist and fetch what is
 * newer.  An object is adopted only if its number is higher than the one in
 * force, whoever tells it, so none ever reverts (INV-8).
 */

#define CONFIG_WATCHERS 2     /* entry hosts per data centre that watch */
#define CONFIG_WATCH_MS 10000 /* longest wait of one watch call */
#define CONFIG_RETRY_MS 500   /* after a failed call */

struct config_hooks
{
  void *context;
  /* The sheet in force changed; the old one is gone after the call. */
  void (*sheet_changed) (void *context, const struct sheet *sheet);
  /* The control object changed: strikes that operators released. */
  void (*released) (void *context, const char *fingerprint);
};

/* One object as it came, for peers that ask and for conditional writes. */
struct config_object
{
  uint64_t number;  /* the object's own number; 0 = none yet */
  uint64_t version; /* the platform's, 0 if it came from a peer */
  char *text;       /* JSON, malloc'd */
  bool fetching;    /* a peer is being asked */
  size_t tries;     /* how often peers were asked */
};

struct config
{
  struct event_base *base;
  struct platform *platform;
  struct member_table *members;
  struct peer_node *peers;
  struct fleet *fleet;
  struct config_hooks hooks;
  char data_centre[FLEET_NAME_SIZE];
  char host[FLEET_NAME_SIZE];
  int64_t hosts_interval_ms;

  struct sheet sheet;
  struct config_object objects[PEER_HOSTS + 1]; /* by enum peer_object_id */
  json_t *drains;   /* of the control object; NULL if none */
  json_t *releases; /* likewise */

  uint64_t revision; /* the platform's, up to which changes were seen */
  bool watching;
  bool reading_hosts;
  int64_t next_watch_ms;
  int64_t next_hosts_ms;
  int64_t now_ms;
};

void config_init (struct config *config,
                  struct event_base *base,
                  struct platform *platform,
                  struct member_table *members,
                  struct peer_node *peers,
                  struct fleet *fleet,
                  const struct config_hooks *hooks,
                  int64_t hosts_interval_ms);
void config_finish (struct config *config);

/* Starts watches, host list reads and fetches from peers that are due. */
void config_tick (struct config *config, int64_t now_ms);

/*
 * Takes over an object if its number is higher: RESULT_OK, or
 * RESULT_PLATFORM_UNCHANGED for one that is not newer, or why it is bad.
 * source ("platform", "peer") is logged.  version is 0 from a peer.
 */
enum result config_adopt (struct config *config,
                          enum peer_object_id id,
                          const json_t *json,
                          uint64_t version,
                          const char *source);

/* The peer protocol's hook: our newest copy as text. */
const char *
config_object_text (void *context, enum peer_object_id id, uint64_t *number);

/* True if this entry host is one of the watchers of its data centre. */
bool config_is_watcher (const struct config *config);

#endif
