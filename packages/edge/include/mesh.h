#ifndef EDGE_MESH_H
#define EDGE_MESH_H

#include "follower.h"
#include "gossip.h"
#include "records.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The other entry hosts.
 *
 * In each data centre the two hosts with the most processor are hubs.  A host
 * tells its hubs what it runs; the first hub sums that up, exchanges the sum
 * with the hubs of other data centres, and tells all hosts of its own the
 * total.  A host that hears no total for a while takes itself for a hub, so
 * that no host depends on another.  Datagrams per host do not grow with the
 * fleet but for the hubs, whose own grow with their data centre.
 *
 * Hosts are found through seeds, through each other, and through records on
 * the platform, which only hubs write.
 */

#define MESH_LOAD_LIMIT 512 /* endpoints with requests */
#define MESH_HUBS 2

struct mesh_loads
{
  uint32_t hosts;
  uint32_t count;
  int64_t heard_ms;
  struct gossip_load list[MESH_LOAD_LIMIT];
};

struct mesh_host
{
  struct gossip_host self;
  struct sockaddr_in to;
  uint64_t boot;
  uint32_t sequence;        /* of the newest message */
  int64_t heard_ms;         /* 0 = never */
  int64_t dead_ms;          /* not chosen as a hub before this moment */
  struct mesh_loads *loads; /* of a host that tells this hub; or NULL */
  bool is_receiver;         /* scratch of sending one message to several */
  UT_hash_handle hh;
};

/* Sum of another data centre, or (of the own) the total. */
struct mesh_sum
{
  char data_centre[CATALOG_NAME_SIZE];
  struct mesh_loads loads;
  UT_hash_handle hh;
};

struct mesh_hooks
{
  void *context;
  /* The loads of all other hosts have changed. */
  void (*loads) (void *context, const struct gossip_load *list, unsigned count);
  /* ASK, VOUCH, REPORT and DELETED for vouch.h, PATCH for handover.h. */
  void (*message) (void *context,
                   struct mesh_host *from,
                   const struct gossip_message *message);
  /* The lease of the own data centre as another host knows it. */
  void (*lease) (void *context,
                 const struct lease_value *value,
                 uint64_t version);
};

struct mesh
{
  struct event_base *base;
  struct records *records;
  struct mesh_hooks hooks;
  struct follower follower;
  struct mesh_host *hosts; /* uthash by name; without this one */
  struct mesh_sum *sums;   /* uthash by data centre */
  struct gossip_host self;
  uint64_t boot;
  uint32_t sequence;
  int socket;
  struct event *readable;
  struct sockaddr_in seeds[8];
  unsigned seed_count;
  bool traffic;          /* some host has seen requests */
  unsigned live_hosts;   /* in all data centres, as far as known */
  struct mesh_loads own; /* as last told */
  struct mesh_loads work;
  uint64_t lease_version;
  struct lease_value lease;
  bool registered;
  bool registering;
  uint64_t own_revision; /* of the own record; 0 = not there */
  int64_t started_ms;
  int64_t register_ms;
  int64_t send_ms;
  int64_t hello_ms;
  int64_t total_ms;     /* when a total was last heard */
  int64_t any_total_ms; /* the same, of any host of the own data centre */
  const struct mesh_host *first_hub; /* as of the last exchange */
  int64_t first_hub_ms;              /* since when it is that */
  int64_t now_ms;
  struct gossip_message message; /* being sent */
};

enum result mesh_init (struct mesh *mesh,
                       struct event_base *base,
                       struct records *records,
                       const struct mesh_hooks *hooks,
                       const struct gossip_host *self,
                       uint64_t boot);
void mesh_finish (struct mesh *mesh);

/* "IP:PORT" of a host that may be there; only the IP counts. */
void mesh_add_seed (struct mesh *mesh, const char *seed);

/* own: what this host runs now; its list is told when it is time. */
void mesh_tick (struct mesh *mesh,
                bool traffic,
                void (*collect) (void *context, struct mesh_loads *own),
                void *context,
                int64_t now_ms);

/* The lease of the own data centre as this host knows it. */
void mesh_set_lease (struct mesh *mesh,
                     const struct lease_value *value,
                     uint64_t version);

/* Whether this host is a hub, or has to do without one. */
bool mesh_is_hub (const struct mesh *mesh);

/* How old the loads of the other hosts are when the next ones come. */
int64_t mesh_load_age_ms (const struct mesh *mesh);

/* Whether this host reads the platform for its data centre. */
bool mesh_is_reader (const struct mesh *mesh);

/*
 * The candidate for a hub of this rank, other than this host; the best one if
 * there are not so many, NULL if there is none.
 */
struct mesh_host *mesh_hub (struct mesh *mesh, unsigned rank);

/* Fills in the sender and sends; to all hosts if to is NULL. */
void mesh_send (struct mesh *mesh,
                struct mesh_host *to,
                struct gossip_message *message);

/* True once hosts had the time to answer a new one. */
bool mesh_is_settled (const struct mesh *mesh);

#endif
