#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "result.h"
#include "rng.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * Membership of the entry hosts, after SWIM (Das, Gupta and Motivala, "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002): random pings, indirect pings, suspicion that a higher
 * incarnation refutes, and updates that are piggybacked on pings.
 *
 * This package only decides and does no I/O: the caller reports received
 * messages with member_on_* and sends the messages that member_next_action
 * returns.  Times are ms on one monotonic clock.  Members of all data centres
 * take part, but a member pings mostly inside its own data centre.
 */

#define MEMBER_NAME_SIZE 64
#define MEMBER_ADDRESS_SIZE 48
#define MEMBER_UPDATES_LIMIT 8 /* updates per message */
#define MEMBER_SEEDS_LIMIT 64
#define MEMBER_INDIRECT_PINGS 3 /* members that get a ping request */

/* Intervals between pings: local, to other data centres, to seeds and dead. */
#define MEMBER_PING_INTERVAL_MS 500
#define MEMBER_REMOTE_PING_INTERVAL_MS 2000
#define MEMBER_SEED_PING_INTERVAL_MS 2000

/* A probe without a reply becomes indirect, then its member suspect. */
#define MEMBER_ACK_TIMEOUT_MS 200
#define MEMBER_PROBE_TIMEOUT_MS 450

/* A suspect that does not refute is dead; dead and left members are removed. */
#define MEMBER_SUSPICION_TIMEOUT_MS 3000
#define MEMBER_RETENTION_MS 600000

enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT, /* it announced that it stops */
};

/* What members report to each other about a member. */
struct member_update
{
  char host[MEMBER_NAME_SIZE];
  char data_centre[MEMBER_NAME_SIZE];
  char address[MEMBER_ADDRESS_SIZE];
  uint16_t port;
  uint64_t incarnation;
  enum member_state state;
};

/* Numbers of the newest objects that a member holds; sent with every ping. */
struct member_versions
{
  uint64_t sheet;
  uint64_t control;
  uint64_t assignment; /* of its own data centre */
  uint64_t hosts;      /* of the host list, assigned by its reader */
};

struct member
{
  struct member_update info;
  struct member_versions versions;
  int64_t last_seen_ms;     /* time of its last message; INT64_MIN = never */
  int64_t state_changed_ms; /* time of the last change of its state */
  unsigned pending_sends;   /* number of messages that still carry its update */
  uint64_t ping_order;      /* ping round << 32 | random position in it */
  UT_hash_handle hh;
};

enum member_action_kind
{
  MEMBER_SEND_PING,
  MEMBER_SEND_PING_REQ, /* requests that the receiver pings target for us */
};

struct member_action
{
  enum member_action_kind kind;
  char address[MEMBER_ADDRESS_SIZE];
  uint16_t port;
  uint64_t probe_id;           /* id for member_on_ack; 0 = none */
  struct member_update target; /* of a ping request */
  TAILQ_ENTRY (member_action) link;
};

TAILQ_HEAD (member_actions, member_action);

struct member_probe
{
  uint64_t id;
  char host[MEMBER_NAME_SIZE]; /* "" = a seed whose host name is unknown */
  int64_t started_ms;
  bool indirect; /* ping requests were sent */
  TAILQ_ENTRY (member_probe) link;
};

TAILQ_HEAD (member_probes, member_probe);

struct member_seed
{
  char address[MEMBER_ADDRESS_SIZE];
  uint16_t port;
};

struct member_table
{
  struct member_update self;
  struct member_versions versions;
  struct member *members; /* uthash by host; self is not among them */
  struct member_seed seeds[MEMBER_SEEDS_LIMIT];
  size_t seed_count;
  size_t next_seed;
  struct member_probes probes;
  struct member_actions actions;
  struct rng rng;
  uint64_t next_probe_id;
  uint64_t round; /* number of the ping round in progress */
  int64_t next_ping_ms;
  int64_t next_remote_ping_ms;
  int64_t next_seed_ping_ms;
  int64_t last_tick_ms;
  uint64_t refutations; /* of reports that we are suspect, dead or left */
};

/*
 * self->incarnation must be higher than that of an earlier process of the same
 * host, for example the wall clock in ms at the start.
 */
void member_init (struct member_table *table,
                  const struct member_update *self,
                  uint64_t seed,
                  int64_t now_ms);
void member_finish (struct member_table *table);

enum result member_add_seed (struct member_table *table,
                             const char *address,
                             uint16_t port);

/*
 * Starts the pings that are due, marks members that do not reply as suspect and
 * suspects that do not refute as dead.
 */
void member_tick (struct member_table *table, int64_t now_ms);

/* The next message to send, or NULL; free it with member_action_free. */
struct member_action *member_next_action (struct member_table *table);
void member_action_free (struct member_action *action);

/*
 * Handles a message from a member: its own update, its versions and the updates
 * that it passes on.  Called for every ping, ping request and reply.
 */
void member_on_message (struct member_table *table,
                        const struct member_update *sender,
                        const struct member_versions *versions,
                        const struct member_update *updates,
                        size_t count,
                        int64_t now_ms);

/*
 * Handles the reply to a ping or ping request.  It ends the probe but not a
 * suspicion: the ping notified the member that it is suspect, and the update in
 * its reply refutes that with a higher incarnation.
 */
void member_on_ack (struct member_table *table, uint64_t probe_id);

/*
 * Collects the updates for a message to the member named host (NULL = name
 * unknown) and returns their number, at most MEMBER_UPDATES_LIMIT.  If the
 * receiver is not alive in our table, its own entry comes first, so that it can
 * refute.
 */
size_t member_collect_updates (struct member_table *table,
                               const char *host,
                               struct member_update *updates);

/* Marks this member as leaving; its next messages announce that. */
void member_leave (struct member_table *table);

struct member *member_find (const struct member_table *table, const char *host);

/* True for members that are given work: alive or suspect. */
bool member_is_live (const struct member *member);

/* Number of live members of a data centre (NULL = all), this one included. */
size_t member_count_live (const struct member_table *table,
                          const char *data_centre);

/*
 * The rank of host (0 = first) for a key among the live members of a data
 * centre by rendezvous hash; SIZE_MAX if it is not a live member there.  It
 * assigns probes and watches to members and orders the candidates for a lease.
 */
size_t member_rank (const struct member_table *table,
                    const char *data_centre,
                    const char *host,
                    const char *key);

const char *member_state_name (enum member_state state);

#endif
