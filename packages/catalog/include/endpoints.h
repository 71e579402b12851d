#ifndef CATALOG_ENDPOINTS_H
#define CATALOG_ENDPOINTS_H

#include "catalog.h"
#include "result.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Table of the endpoints and their own reports, as read from the platform's
 * list.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.  An endpoint whose entry was
 * deleted around a platform outage is kept for a while, since the entry may
 * come back.
 */

#define ENDPOINTS_CACHED_MODEL_LIMIT 4
/* Requests name the endpoint that is meant in their head, which has a limit. */
#define ENDPOINTS_ID_LIMIT_BYTES 16384

enum endpoint_group_state
{
  ENDPOINT_GROUP_NONE,
  ENDPOINT_GROUP_JOINING,
  ENDPOINT_GROUP_READY,   /* may be opened */
  ENDPOINT_GROUP_OPEN,    /* its head accepts requests */
  ENDPOINT_GROUP_CLOSING, /* its head only finishes requests in progress */
  ENDPOINT_GROUP_BROKEN,
};
const char *endpoint_group_state_name (enum endpoint_group_state state);

/*
 * What an endpoint says of itself.  The texts have any length and belong to
 * whoever made the report; a table keeps copies.  NULL means "" in what a table
 * is given; it hands out "".
 */
struct endpoint_report
{
  const char *service;
  char address[INET_ADDRSTRLEN];
  uint16_t port;
  const char *data_centre;
  const char *domain; /* "" = none */
  unsigned slots;
  bool leaving;
  int64_t started_ms; /* wall clock at start; identifies the incarnation */
  /* Orders accepted since the start; not known from the platform's list. */
  uint64_t orders;
  /* Models in the endpoint's weight cache. */
  const char *cached_models[ENDPOINTS_CACHED_MODEL_LIMIT];
  unsigned cached_model_count;
  const char *model; /* loaded model; "" = none */
  const char *group; /* "" = none */
  uint64_t epoch;
  unsigned rank; /* 0 = head */
  enum endpoint_group_state state;
  bool has_cold;   /* it states whether it is cold */
  int64_t cold_ms; /* for how much longer it is; 0 = it is not */
};

struct endpoint
{
  const char *id;
  struct endpoint_report report;
  char *texts;              /* of the report */
  uint64_t revision;        /* of the entry that holds the report */
  int64_t leaving_since_ms; /* when it was first seen leaving; 0 = never */
  int64_t deleted_ms; /* when the entry was found deleted; 0 = it exists */
  uint64_t deleted_revision; /* reports up to it predate the deletion */
  int64_t cold_since_ms;     /* when this host heard that it is cold */
  int64_t cold_until_ms;     /* the endpoint, or its group, is cold; 0 = not */
  int64_t cold_stated_ms;    /* when it last stated that; 0 = never */
  /* Revision of the last report that began, kept or ended its routing. */
  uint64_t routed_revision;
  bool not_relisted;             /* not reported since endpoints_relist_begin */
  void *owner_data;              /* data of the table's owner */
  struct endpoint *next_removed; /* private to endpoints */
  UT_hash_handle hh;
};

struct endpoints
{
  struct endpoint *table; /* uthash by id */
  /*
   * Until this time, deletions of many endpoints do not remove them: the
   * platform was unreachable, and entries may have expired meanwhile.
   */
  int64_t hold_deletions_until_ms;
  /* Until this time, no deletion removes one; see endpoints_note_restore. */
  int64_t restored_until_ms;
  /* Set by the owner: some service has a cold time, so hosts tell each other.
   */
  bool tracks_cold;
  /* Hash over the ids and revisions of all routed endpoints. */
  uint64_t digest;
  /* Called for each endpoint before it is freed; may be NULL. */
  void (*removed) (void *context, struct endpoint *endpoint);
  void *context;
};

void endpoints_init (struct endpoints *endpoints,
                     void (*removed) (void *context, struct endpoint *endpoint),
                     void *context);
void endpoints_finish (struct endpoints *endpoints);

struct endpoint *endpoints_find (const struct endpoints *endpoints,
                                 const char *id);

/* Sets all texts of the report that are NULL to "". */
void endpoint_report_init (struct endpoint_report *report);

/* Moves the texts of the report to the pool, which notes if memory is short. */
void endpoint_report_keep (struct endpoint_report *report,
                           struct text_pool *texts);

/*
 * Stores a report; one with an older revision than the stored is ignored.  An
 * endpoint that leaves does so until it restarts, whatever later reports say.
 * RESULT_TOO_LARGE if the id has more than ENDPOINTS_ID_LIMIT_BYTES,
 * RESULT_INVALID if it has other than visible ASCII bytes.
 */
enum result endpoints_report (struct endpoints *endpoints,
                              const char *id,
                              const struct endpoint_report *report,
                              uint64_t revision,
                              int64_t now_ms);

/*
 * Marks an endpoint as deleted.  revision is that of the deletion, or of the
 * last report before it; reports up to this revision predate the deletion and
 * are ignored.
 */
void endpoints_delete (struct endpoints *endpoints,
                       const char *id,
                       uint64_t revision,
                       int64_t now_ms);

/*
 * Enclose a complete listing: endpoints that are not reported between the two
 * calls are marked as deleted.
 */
void endpoints_relist_begin (struct endpoints *endpoints);
void endpoints_relist_end (struct endpoints *endpoints,
                           uint64_t revision,
                           int64_t now_ms);

/* The platform was unreachable until now_ms; see hold_deletions_until_ms. */
void endpoints_hold_deletions (struct endpoints *endpoints, int64_t now_ms);

/*
 * The platform's store was restored from a copy, which may lack entries or hold
 * older ones.  Endpoints that run write theirs again; until they had time to,
 * none is removed.
 */
void endpoints_note_restore (struct endpoints *endpoints, int64_t now_ms);

/*
 * Removes deleted endpoints unless their deletions may be the effect of an
 * outage.  Calls removed for each.
 */
void endpoints_tick (struct endpoints *endpoints, int64_t now_ms);

/* The endpoint is cold for at least this much longer. */
void
endpoint_note_cold (struct endpoint *endpoint, int64_t left_ms, int64_t now_ms);

/*
 * A group is as cold as its coldest member: passes the cold times of members on
 * to the heads of their groups.  True if any endpoint is cold.
 */
bool endpoints_spread_cold (struct endpoints *endpoints, int64_t now_ms);

/* True if the endpoint may get new requests, that is, it is not leaving. */
bool endpoint_is_usable (const struct endpoint *endpoint);

/*
 * True if the endpoint gets requests itself: it forms no groups, or is the
 * head of an open or closing group.
 */
bool endpoint_is_routed (const struct endpoint *endpoint);
bool endpoint_report_is_routed (const struct endpoint_report *report);

bool endpoint_has_cached_model (const struct endpoint *endpoint,
                                const char *model);

#endif
