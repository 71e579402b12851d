#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Tables of what exists: hosts with what they attest, and the groups that the
 * assignment of a data centre forms from them.  Every time is milliseconds on
 * one monotonic clock (CLOCK_BOOTTIME in the daemon); INT64_MIN means never.
 * The tables hold no policy beyond "may this group serve now".
 */

#define FLEET_NAME_SIZE 64
#define FLEET_ADDRESS_SIZE 48
#define FLEET_SPAN_LIMIT 64
#define FLEET_NEVER INT64_MIN

/* A member's attestation older than this does not count. */
#define FLEET_ATTESTATION_MS 2000

enum fleet_engine_state
{
  FLEET_ENGINE_UNKNOWN,
  FLEET_ENGINE_IDLE,
  FLEET_ENGINE_LOADING,
  FLEET_ENGINE_READY,
};

/* What an engine says of itself (GET /v1/state). */
struct fleet_attestation
{
  int64_t seen_ms; /* when it was observed; FLEET_NEVER = not yet */
  char boot_id[FLEET_NAME_SIZE];
  char group[FLEET_NAME_SIZE];
  uint64_t generation;
  unsigned rank;
  unsigned span;
  char model[FLEET_NAME_SIZE];
  char version[FLEET_NAME_SIZE];
  char role[FLEET_NAME_SIZE];
  char adapters[256]; /* names joined by ';' */
  uint64_t fence;
  enum fleet_engine_state state;
  bool leaving;
  unsigned running;
  unsigned queued;
  unsigned slots;
  unsigned load_age_ms; /* age of running and queued when it was observed */
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
  bool checks_fence;
  bool listed;          /* in the platform's host list */
  bool listed_leaving;  /* the host list says so */
  bool drained;         /* an operator's drain */
  bool refused_leaving; /* it refused a request saying that it is leaving */
  struct fleet_attestation attested;
  UT_hash_handle hh;
};

struct fleet_group
{
  char id[FLEET_NAME_SIZE];
  char spec[FLEET_NAME_SIZE]; /* name of the sheet's group row */
  char model[FLEET_NAME_SIZE];
  char version[FLEET_NAME_SIZE];
  char role[FLEET_NAME_SIZE];
  char adapters[256]; /* names joined by ';' */
  char data_centre[FLEET_NAME_SIZE];
  char domain[FLEET_NAME_SIZE];
  uint64_t generation; /* rises with each change of members or contents */
  unsigned span;
  unsigned member_count;
  char members[FLEET_SPAN_LIMIT][FLEET_NAME_SIZE]; /* index = rank */
  bool draining; /* the plan is to take it down; it gets no new work */
  UT_hash_handle hh;
};

struct fleet
{
  struct fleet_host *hosts;   /* uthash by id */
  struct fleet_group *groups; /* uthash by id */
  uint64_t assignment_fence;
  uint64_t assignment_number; /* rises with each write of the assignment */
};

void fleet_init (struct fleet *fleet);
void fleet_finish (struct fleet *fleet);

/* Finds or creates; NULL if there is no memory. */
struct fleet_host *fleet_add_host (struct fleet *fleet, const char *id);
struct fleet_host *fleet_find_host (const struct fleet *fleet, const char *id);
void fleet_remove_host (struct fleet *fleet, const char *id);
struct fleet_group *fleet_add_group (struct fleet *fleet, const char *id);
struct fleet_group *fleet_find_group (const struct fleet *fleet,
                                      const char *id);
void fleet_remove_group (struct fleet *fleet, const char *id);

/* True if any source says that the host is leaving. */
bool fleet_host_leaving (const struct fleet_host *host);

/* True if the host attested something at most FLEET_ATTESTATION_MS ago. */
bool fleet_host_present (const struct fleet_host *host, int64_t now_ms);

/*
 * Whether a group may get a request now: it is whole, every member attested
 * this group and generation with its rank in the last FLEET_ATTESTATION_MS
 * and is ready, and none is leaving (INV-1, INV-6).
 */
enum fleet_serving
{
  FLEET_SERVING,
  FLEET_INCOMPLETE,     /* fewer members than its span */
  FLEET_MEMBER_ABSENT,  /* a member has no recent attestation */
  FLEET_MEMBER_DIFFERS, /* a member attests another group or generation */
  FLEET_MEMBER_LOADING, /* a member is not ready */
  FLEET_MEMBER_LEAVING, /* a member is leaving, or the group is draining */
};
enum fleet_serving fleet_group_serving (const struct fleet *fleet,
                                        const struct fleet_group *group,
                                        int64_t now_ms);
const char *fleet_serving_name (enum fleet_serving serving);

/* The host that takes requests for the group (rank 0); NULL if unknown. */
const struct fleet_host *fleet_group_leader (const struct fleet *fleet,
                                             const struct fleet_group *group);

/*
 * Replaces the host list (GET /v1/hosts).  Hosts that left the list stay in
 * the table with listed = false, since the list lags.
 */
enum result fleet_apply_host_list (struct fleet *fleet, const json_t *json);

/*
 * The assignment object of one data centre.  Decoding checks the whole object
 * (no host twice, spans, names) before anything changes and refuses one whose
 * number is not higher than the table's (RESULT_PLATFORM_UNCHANGED).
 */
json_t *fleet_assignment_to_json (const struct fleet *fleet,
                                  const char *data_centre);
enum result fleet_apply_assignment (struct fleet *fleet,
                                    const char *data_centre,
                                    const json_t *json);

/* Parses the answer of GET /v1/state; seen_ms is set from the argument. */
enum result fleet_attestation_from_json (struct fleet_attestation *attested,
                                         const json_t *json,
                                         int64_t seen_ms);

#endif
