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
 * Two entry hosts per data centre keep a watch call on the platform and read
 * the host list.  The others learn the newest numbers from pings of their peers
 * and fetch newer objects from them.  An object is adopted only if its number
 * is higher than the number in force, whatever its source, so that no object
 * ever reverts (INV-8).
 */

#define CONFIG_WATCHERS 2 /* entry hosts per data centre that watch */
#define CONFIG_WATCH_TIMEOUT_MS 10000 /* longest duration of one watch call */
#define CONFIG_RETRY_DELAY_MS 500     /* after a failed watch call */

struct config_hooks
{
  void *context;
  /* The sheet in force changed; the old one is freed after the call. */
  void (*sheet_changed) (void *context, const struct sheet *sheet);
  /* An operator released the strikes of a request; called once per release. */
  void (*strikes_released) (void *context, const char *fingerprint);
};

/* One object as received, for fetches of peers and conditional writes. */
struct config_object
{
  uint64_t number;    /* the object's own number; 0 = none yet */
  uint64_t version;   /* the platform's; 0 if it came from a peer */
  char *text;         /* JSON, malloc'd */
  bool fetching;      /* a fetch from a peer is in flight */
  size_t fetch_count; /* fetches started; rotates among the sources */
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
  int64_t hosts_interval_ms; /* between two reads of the host list */

  struct sheet sheet;
  struct config_object objects[PEER_HOSTS + 1]; /* by enum peer_object_id */
  json_t *drains;   /* host ids in the control object; NULL = no object */
  json_t *releases; /* fingerprints in the control object; NULL = no object */

  uint64_t revision; /* of the platform: changes up to it were received */
  bool watch_in_flight;
  bool hosts_read_in_flight;
  int64_t next_watch_ms;
  int64_t next_hosts_read_ms;
  int64_t now_ms; /* time of the current tick or callback */
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

/* Starts the watch calls, host list reads and fetches that are due. */
void config_tick (struct config *config, int64_t now_ms);

/*
 * Adopts an object if its number is higher than the number in force.  Returns
 * RESULT_OK, RESULT_PLATFORM_UNCHANGED if the number is not higher, or the
 * error in the object.  source ("platform", "peer") is logged; version is the
 * platform's, 0 from a peer.
 */
enum result config_adopt (struct config *config,
                          enum peer_object_id id,
                          const json_t *json,
                          uint64_t version,
                          const char *source);

/* Hook of the peer protocol: the JSON text of our copy; NULL if none. */
const char *
config_object_text (void *context, enum peer_object_id id, uint64_t *number);

/* True if this entry host is one of the watchers of its data centre. */
bool config_is_watcher (const struct config *config);

#endif
