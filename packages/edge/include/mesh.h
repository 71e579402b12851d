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
 * Membership of the entry hosts, and exchange of their loads.
 *
 * In each data centre the two hosts with the most processor capacity are hubs.
 * A host sends its loads to its hubs; the first hub sums them up, exchanges
 * sums with the hubs of other data centres, and sends the total to all hosts of
 * its own.  A host that receives no total for a while acts as a hub itself, so
 * that no host depends on another.  The first hub is also the reader of its
 * data centre: it reads the platform, and other hosts get changes from it.  The
 * number of datagrams per host does not grow with the fleet, except for hubs,
 * where it grows with the data centre.
 *
 * Hosts are found through seeds, through each other, and through records on
 * the platform, which only hubs write.
 */

#define MESH_LOAD_LIMIT 512 /* endpoints with requests */
#define MESH_HUBS 2         /* per data centre */

struct mesh_loads
{
  uint32_t hosts; /* number of hosts that the loads are summed over */
  uint32_t count;
  int64_t received_ms; /* 0 = never */
  struct gossip_load list[MESH_LOAD_LIMIT];
};

struct mesh_host
{
  struct gossip_host info;
  struct sockaddr_in socket_address;
  uint64_t boot;            /* identifies the process of the newest message */
  uint32_t sequence;        /* of the newest message */
  int64_t last_seen_ms;     /* when that message arrived; 0 = never */
  int64_t dead_until_ms;    /* not chosen as a hub before this moment */
  struct mesh_loads *loads; /* as the host sent them to this hub; or NULL */
  bool is_receiver;         /* marks receivers for mesh_send_receivers */
  UT_hash_handle hh;
};

/* Sum of the loads of another data centre; the total under the own name. */
struct mesh_sum
{
  char data_centre[GOSSIP_NAME_SIZE];
  struct mesh_loads loads;
  UT_hash_handle hh;
};

struct mesh_hooks
{
  void *context;
  /* The loads of all other hosts have changed. */
  void (*loads) (void *context, const struct gossip_load *list, unsigned count);
  /* Messages for hub-sync.h, config-distribution.h and strike-sync.h. */
  void (*message) (void *context,
                   struct mesh_host *from,
                   const struct gossip_message *message);
  /* A host was heard for the first time, or has restarted.  May be NULL. */
  void (*host_started) (void *context);
  /* Another host reported the lease of the own data centre. */
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
  bool has_traffic;   /* some host has seen requests */
  uint64_t too_large; /* messages that did not fit a datagram */
  int64_t next_too_large_log_ms;
  unsigned live_hosts;         /* in all data centres, as far as known */
  unsigned peak_hosts;         /* highest live_hosts recently */
  int64_t peak_hosts_ms;       /* when live_hosts was last that high */
  struct mesh_loads own_loads; /* as last sent */
  struct mesh_loads merge_buffer;
  uint64_t lease_version;
  struct lease_value lease;
  bool registered;         /* the platform has this host's record */
  bool registering;        /* a write of the record is in progress */
  uint64_t own_revision;   /* of this host's record; 0 = there is none */
  uint64_t registered_era; /* of the store, when the record was written */
  int64_t started_ms;
  int64_t next_register_ms;
  int64_t next_send_ms;
  int64_t next_hello_ms;
  int64_t last_total_ms; /* when a total was last accepted */
  /* When any host of the own data centre last sent a total. */
  int64_t last_any_total_ms;
  const struct mesh_host *first_hub; /* as of the last exchange */
  int64_t first_hub_since_ms;        /* when first_hub last changed */
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

/* Adds "IP:PORT" of a host that may run; only the IP counts. */
void mesh_add_seed (struct mesh *mesh, const char *seed);

/* collect: fills in the loads of this host; called when they are sent. */
void mesh_tick (struct mesh *mesh,
                bool has_traffic,
                void (*collect) (void *context, struct mesh_loads *own),
                void *context,
                int64_t now_ms);

/* Sets the lease of the own data centre that is sent to other hosts. */
void mesh_set_lease (struct mesh *mesh,
                     const struct lease_value *value,
                     uint64_t version);

/* True if this host is a hub, or receives no totals from one. */
bool mesh_is_hub (const struct mesh *mesh);

/* Live hosts and those that were lost recently, this one included. */
unsigned mesh_known_hosts (const struct mesh *mesh);

/* Hosts of the own data centre that were ever heard of, this one included. */
unsigned mesh_count_local_hosts (const struct mesh *mesh);

/* Expected age of the loads of other hosts when they are used, ms. */
int64_t mesh_load_age_ms (const struct mesh *mesh);

/* True if this host reads the platform for its data centre. */
bool mesh_is_reader (const struct mesh *mesh);

/*
 * Returns the hub candidate of this rank, other than this host; the first one
 * if there are fewer candidates, NULL if there are none.
 */
struct mesh_host *mesh_find_hub (struct mesh *mesh, unsigned rank);

/* Fills in the sender and sends the message; to all hosts if to is NULL. */
void mesh_send (struct mesh *mesh,
                struct mesh_host *to,
                struct gossip_message *message);

/*
 * Sends the message where loads go: to the hubs of the own data centre, and
 * from a hub also to the hosts of its own and the hubs of the other data
 * centres.
 */
void mesh_distribute (struct mesh *mesh, struct gossip_message *message);

/* True if the host is a hub of the own data centre. */
bool mesh_is_own_hub (const struct mesh *mesh, const struct mesh_host *host);

/* True once other hosts have had time to respond to a newly started host. */
bool mesh_is_settled (const struct mesh *mesh);

#endif
