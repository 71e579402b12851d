#ifndef EDGE_VOUCH_H
#define EDGE_VOUCH_H

#include "endpoints.h"
#include "mesh.h"
#include "routed.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * How most entry hosts stay current without calls to the platform: they ask
 * their hub, which sends what has changed and says how current its own
 * knowledge is.
 *
 * A host counts the age of an answer from the moment it asked, so an answer
 * that waited somewhere, or reached a host that was suspended, proves nothing
 * newer than that.
 */

/* Endpoints that are gone at once: two lost data centres of 219. */
#define VOUCH_TOMBSTONES 512

struct vouch_knowledge
{
  int64_t configuration_ms; /* when it was last known to be current */
  int64_t entries_ms;       /* the same of the endpoints */
  uint64_t revision;        /* up to which the endpoints are known */
};

struct vouch_hooks
{
  void *context;
  /* Version of the configuration in force here; 0 = none. */
  int64_t (*configuration) (void *context);
  /* What this host has read itself; false if it may not vouch. */
  bool (*own) (void *context, struct vouch_knowledge *knowledge);
  /* Sends the patch to the newest configuration; false if there is none. */
  bool (*hand_over) (void *context, struct mesh_host *to, int64_t from);
};

struct vouch_tombstone
{
  char endpoint[CATALOG_NAME_SIZE];
  uint64_t revision;
};

struct vouch
{
  struct mesh *mesh;
  struct endpoints *endpoints;
  struct vouch_hooks hooks;
  struct vouch_tombstone tombstones[VOUCH_TOMBSTONES];
  uint64_t buried;      /* tombstones ever set */
  int64_t relied_ms;    /* when another host last asked this one */
  int64_t age_limit_ms; /* a hub that knows nothing newer is no help */
  unsigned choice;      /* which hub is asked */
  int64_t chosen_ms;    /* since when */
  unsigned unanswered;
  bool hub_blind; /* the last hub that answered could not vouch */
  int64_t ask_ms; /* next question */
  int64_t asked_ms;
  /* The configuration in force was current at this moment. */
  int64_t proof_ms;
  int64_t entries_ms; /* the same of the endpoints */
  int64_t newest;     /* configuration that a hub has */
  bool patched;       /* and says to have sent, as a patch */
  int64_t behind_ms; /* since when this host has an older one; 0 = it has not */
  bool relies;       /* lists nothing itself */
  bool synced;       /* the entries were the same as a hub's once */
  uint64_t revision; /* of the entries then */
  int64_t compare_ms; /* the endpoints may be compared again from then on */
  int64_t differs_ms; /* since when they differ; 0 = they do not */
  struct routed routed;
  int64_t now_ms;
};

void vouch_init (struct vouch *vouch,
                 struct mesh *mesh,
                 struct endpoints *endpoints,
                 const struct vouch_hooks *hooks,
                 int64_t age_limit_ms);

void vouch_finish (struct vouch *vouch);

/*
 * An endpoint was removed from the table when the entries were known up to this
 * revision.  Others may know them up to the same revision and still have it.
 */
void vouch_bury (struct vouch *vouch, const char *endpoint, uint64_t revision);

/*
 * asks: this host relies on its hub.  compares: it lists nothing itself, so
 * that what its hub does not route to may be dropped.
 */
void vouch_tick (struct vouch *vouch, bool asks, bool compares, int64_t now_ms);
void vouch_take (struct vouch *vouch,
                 struct mesh_host *from,
                 const struct gossip_message *message,
                 int64_t now_ms);

/* Tells all hosts of a change at once. */
void vouch_tell (struct vouch *vouch, const struct endpoint *endpoint);

#endif
