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
 * incarnation refutes, and updates that ride on pings.
 *
 * Decisions only.  Messages that came in are told by member_on_*, messages to
 * send are drained by member_next_action.  Times are ms on one monotonic
 * clock.  Every member takes part whatever its data centre, but pings mostly
 * inside its own.
 */

#define MEMBER_NAME_SIZE 64
#define MEMBER_ADDRESS_SIZE 48
#define MEMBER_UPDATES_LIMIT 8 /* updates on one message */
#define MEMBER_SEEDS_LIMIT 64
#define MEMBER_INDIRECT 3

#define MEMBER_PING_MS 500         /* one ping inside the data centre */
#define MEMBER_REMOTE_PING_MS 2000 /* one ping to another data centre */
#define MEMBER_SEED_PING_MS 2000   /* one ping to a seed or a dead member */
#define MEMBER_ACK_MS 200          /* then ping through others */
#define MEMBER_PROBE_MS 450        /* then the member is suspect */
#define MEMBER_SUSPECT_MS 3000     /* then it is dead */
#define MEMBER_FORGET_MS 600000    /* a dead or left member is forgotten */

enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT, /* it said that it stops */
};

/* What members tell each other of a member. */
struct member_update
{
  char host[MEMBER_NAME_SIZE];
  char data_centre[MEMBER_NAME_SIZE];
  char address[MEMBER_ADDRESS_SIZE];
  uint16_t port;
  uint64_t incarnation;
  enum member_state state;
};

/* Numbers of the newest objects that a member holds; on every ping. */
struct member_versions
{
  uint64_t sheet;
  uint64_t control;
  uint64_t assignment; /* of its own data centre */
  uint64_t hosts;      /* of the host list, made by its reader */
};

struct member
{
  struct member_update info;
  struct member_versions versions;
  int64_t heard_ms;    /* last message from it; INT64_MIN = never */
  int64_t changed_ms;  /* when its state changed */
  unsigned to_send;    /* how many more messages carry its update */
  uint64_t ping_order; /* position in the shuffled round */
  UT_hash_handle hh;
};

enum member_action_kind
{
  MEMBER_SEND_PING,
  MEMBER_SEND_PING_REQ, /* ask address to ping target for us */
};

struct member_action
{
  enum member_action_kind kind;
  char address[MEMBER_ADDRESS_SIZE];
  uint16_t port;
  uint64_t probe;              /* for member_on_ack */
  struct member_update target; /* of a ping request */
  TAILQ_ENTRY (member_action) link;
};

TAILQ_HEAD (member_actions, member_action);

struct member_probe
{
  uint64_t id;
  char host[MEMBER_NAME_SIZE]; /* "" = a seed whose name is not known */
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
  uint64_t next_probe;
  uint64_t round;
  int64_t next_ping_ms;
  int64_t next_remote_ping_ms;
  int64_t next_seed_ping_ms;
  int64_t last_tick_ms;
  uint64_t refutations; /* how often others thought that we are gone */
};

/*
 * incarnation must be higher than that of an earlier process of the same
 * host; the wall clock in ms at the start serves.
 */
void member_init (struct member_table *table,
                  const struct member_update *self,
                  uint64_t seed,
                  int64_t now_ms);
void member_finish (struct member_table *table);

enum result member_add_seed (struct member_table *table,
                             const char *address,
                             uint16_t port);

/* Starts pings that are due, and turns silence into suspicion and death. */
void member_tick (struct member_table *table, int64_t now_ms);

/* The next message to send, or NULL; free it with member_action_free. */
struct member_action *member_next_action (struct member_table *table);
void member_action_free (struct member_action *action);

/*
 * A message came from a member, with its own update, versions and the updates
 * it passes on.  Called for every ping, ping request and reply.
 */
void member_on_message (struct member_table *table,
                        const struct member_update *sender,
                        const struct member_versions *versions,
                        const struct member_update *updates,
                        size_t count,
                        int64_t now_ms);

/*
 * The reply to a ping or ping request came.  It ends the probe but no
 * suspicion: the ping told the member that it is suspect, and the update on
 * its reply refutes that with a higher incarnation.
 */
void member_on_ack (struct member_table *table, uint64_t probe_id);

/*
 * The updates to put on a message to the member named host (may be NULL), at
 * most MEMBER_UPDATES_LIMIT.  If we hold the receiver for other than alive,
 * its own entry comes first, so that it can refute.
 */
size_t member_collect (struct member_table *table,
                       const char *host,
                       struct member_update *updates);

/* Marks ourselves as leaving; the next messages tell it. */
void member_leave (struct member_table *table);

struct member *member_find (const struct member_table *table, const char *host);

/* True for members that get work: alive or suspect. */
bool member_is_live (const struct member *member);

/* Live members of a data centre (NULL = all), ourselves included. */
size_t member_count_live (const struct member_table *table,
                          const char *data_centre);

/*
 * The rank of host (0 = first) for a key among the live members of a data
 * centre by rendezvous hash; SIZE_MAX if it is not among them.  Divides
 * probes, watches and the order of lease candidates.
 */
size_t member_rank (const struct member_table *table,
                    const char *data_centre,
                    const char *host,
                    const char *key);

const char *member_state_name (enum member_state state);

#endif
