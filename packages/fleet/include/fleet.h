#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Tables of the fleet: hosts with their attestations, and the groups that the
 * assignment of each data centre forms from hosts.  Times are milliseconds on
 * one monotonic clock (CLOCK_BOOTTIME in the daemon); FLEET_NEVER means never.
 * The only policy here is whether a group may serve now.
 */

#define FLEET_NAME_SIZE 64
#define FLEET_ADDRESS_SIZE 48
#define FLEET_SPAN_LIMIT 64 /* hosts of one group */
#define FLEET_NEVER INT64_MIN

/* A host counts as absent when its latest attestation is older than this. */
#define FLEET_ATTESTATION_AGE_LIMIT_MS 2000

enum fleet_engine_state
{
  FLEET_ENGINE_UNKNOWN,
  FLEET_ENGINE_IDLE,
  FLEET_ENGINE_LOADING,
  FLEET_ENGINE_READY,
};

/* The state that an engine reports of itself (GET /v1/state). */
struct fleet_attestation
{
  int64_t seen_ms; /* time of the observation; FLEET_NEVER = none yet */
  char boot_id[FLEET_NAME_SIZE];
  char group[FLEET_NAME_SIZE]; /* id */
  uint64_t generation;         /* of the group */
  unsigned rank;
  unsigned span; /* number of hosts that the group needs */
  char model[FLEET_NAME_SIZE];
  char version[FLEET_NAME_SIZE];
  char role[FLEET_NAME_SIZE];
  char adapters[256]; /* names joined by ';' */
  uint64_t fence;     /* highest fencing token of the engine's orders */
  enum fleet_engine_state state;
  bool leaving;
  unsigned running;     /* requests */
  unsigned queued;      /* requests */
  unsigned slots;       /* requests that can run at the same time */
  unsigned load_age_ms; /* age of running and queued at seen_ms */
};

struct fleet_host
{
  char id[FLEET_NAME_SIZE];
  char data_centre[FLEET_NAME_SIZE];
  char domain[FLEET_NAME_SIZE];
  char address[FLEET_ADDRESS_SIZE];
  uint16_t port;
  bool is_service;
  char service[FLEET_NAME_SIZE];
  unsigned accelerators;
  bool checks_fence;    /* its engine checks fencing tokens */
  bool listed;          /* in the platform's host list */
  bool listed_leaving;  /* leaving according to the host list */
  bool drained;         /* an operator drains it */
  bool refused_leaving; /* it refused a request because it is leaving */
  struct fleet_attestation attested;
  UT_hash_handle hh;
};

struct fleet_group
{
  char id[FLEET_NAME_SIZE];
  char spec[FLEET_NAME_SIZE]; /* name of its group row in the sheet */
  char model[FLEET_NAME_SIZE];
  char version[FLEET_NAME_SIZE];
  char role[FLEET_NAME_SIZE];
  char adapters[256]; /* names joined by ';' */
  char data_centre[FLEET_NAME_SIZE];
  char domain[FLEET_NAME_SIZE];
  uint64_t generation; /* rises when members or contents change */
  unsigned span;
  unsigned member_count;
  char members[FLEET_SPAN_LIMIT][FLEET_NAME_SIZE]; /* index = rank */
  bool draining; /* gets no new requests, since it is about to change */
  UT_hash_handle hh;
};

struct fleet
{
  struct fleet_host *hosts;   /* uthash by id */
  struct fleet_group *groups; /* uthash by id */
  uint64_t assignment_fence;  /* fencing token of its writer */
  uint64_t assignment_number; /* incremented by each write */
};

void fleet_init (struct fleet *fleet);
void fleet_finish (struct fleet *fleet);

/* Finds or creates the entry; NULL if the id is too long or memory is short.
 */
struct fleet_host *fleet_add_host (struct fleet *fleet, const char *id);
struct fleet_host *fleet_find_host (const struct fleet *fleet, const char *id);
void fleet_remove_host (struct fleet *fleet, const char *id);
struct fleet_group *fleet_add_group (struct fleet *fleet, const char *id);
struct fleet_group *fleet_find_group (const struct fleet *fleet,
                                      const char *id);
void fleet_remove_group (struct fleet *fleet, const char *id);

/* True if any source says that the host is leaving. */
bool fleet_host_is_leaving (const struct fleet_host *host);

/* True if the latest attestation is at most FLEET_ATTESTATION_AGE_LIMIT_MS old.
 */
bool fleet_host_is_present (const struct fleet_host *host, int64_t now_ms);

/*
 * Whether a group may get a request now: it has as many members as its span,
 * every member attested this group, generation, rank and span in the last
 * FLEET_ATTESTATION_AGE_LIMIT_MS and is ready, and no member is leaving (INV-1,
 * INV-6).
 */
enum fleet_serving
{
  FLEET_SERVING,
  FLEET_INCOMPLETE,     /* fewer members than its span */
  FLEET_MEMBER_ABSENT,  /* a member has no recent attestation */
  FLEET_MEMBER_DIFFERS, /* a member attests another group, generation, rank
                           or span */
  FLEET_MEMBER_LOADING, /* a member is not ready */
  FLEET_MEMBER_LEAVING, /* a member is leaving, or the group is draining */
};
enum fleet_serving fleet_group_serving_state (const struct fleet *fleet,
                                              const struct fleet_group *group,
                                              int64_t now_ms);
const char *fleet_serving_name (enum fleet_serving serving);

/* The host that receives the group's requests (rank 0); NULL if unknown. */
const struct fleet_host *fleet_group_head (const struct fleet *fleet,
                                           const struct fleet_group *group);

/*
 * Replaces the host list (GET /v1/hosts).  Hosts that are no longer in the
 * list stay in the table with listed = false, because the list lags behind.
 */
enum result fleet_apply_host_list (struct fleet *fleet, const json_t *json);

/*
 * Encode and decode the assignment object of one data centre.  Decoding checks
 * the whole object (no host twice, spans, names) before it changes the table.
 * RESULT_PLATFORM_UNCHANGED if the object's number is not higher than
 * assignment_number.
 */
json_t *fleet_assignment_to_json (const struct fleet *fleet,
                                  const char *data_centre);
enum result fleet_apply_assignment (struct fleet *fleet,
                                    const char *data_centre,
                                    const json_t *json);

/* Parses the response of GET /v1/state; seen_ms is its time of observation. */
enum result fleet_attestation_from_json (struct fleet_attestation *attested,
                                         const json_t *json,
                                         int64_t seen_ms);

#endif
