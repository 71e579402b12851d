#ifndef CATALOG_ENDPOINTS_H
#define CATALOG_ENDPOINTS_H

#include "catalog.h"
#include "result.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * What the endpoints say of themselves, as read from the platform's list.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.  An endpoint that was deleted while
 * the platform was in trouble is kept for a while, since it may come back.
 */

#define ENDPOINTS_STAGED_LIMIT 4

enum endpoint_group_state
{
  ENDPOINT_GROUP_NONE,
  ENDPOINT_GROUP_JOINING,
  ENDPOINT_GROUP_READY,   /* it may be opened */
  ENDPOINT_GROUP_OPEN,    /* its head takes requests */
  ENDPOINT_GROUP_CLOSING, /* its head finishes what it has */
  ENDPOINT_GROUP_BROKEN,
};
const char *endpoint_group_state_name (enum endpoint_group_state state);

struct endpoint_report
{
  char service[CATALOG_NAME_SIZE];
  char address[CATALOG_NAME_SIZE];
  uint16_t port;
  char data_centre[CATALOG_NAME_SIZE];
  char domain[CATALOG_NAME_SIZE]; /* "" = none */
  unsigned slots;
  bool leaving;
  int64_t started_ms; /* wall clock of its start; tells two lives apart */
  uint64_t orders;    /* accepted in this life */
  char staged[ENDPOINTS_STAGED_LIMIT][CATALOG_NAME_SIZE];
  unsigned staged_count;
  char model[CATALOG_NAME_SIZE]; /* loaded; "" = none */
  char group[CATALOG_NAME_SIZE]; /* "" = none */
  uint64_t epoch;
  unsigned rank; /* 0 = head */
  enum endpoint_group_state state;
};

struct endpoint
{
  char id[CATALOG_NAME_SIZE];
  struct endpoint_report report;
  uint64_t revision;         /* of the entry that the report came from */
  int64_t leaving_since_ms;  /* when it was first seen leaving; 0 = never */
  int64_t deleted_ms;        /* when its entry was missed; 0 = it is there */
  uint64_t deleted_revision; /* reports up to it are of before */
  uint64_t routed_revision;  /* of the last change to or from being routed */
  bool stale;                /* scratch of a relisting */
  void *link;                /* of the owner of the table */
  struct endpoint *next_removed; /* private to endpoints */
  UT_hash_handle hh;
};

struct endpoints
{
  struct endpoint *table; /* uthash by id */
  /*
   * Deletions of many endpoints seen before this moment are believed only from
   * then on: the platform was away and entries may have lapsed meanwhile.
   */
  int64_t believe_ms;
  /* Over ids and revisions of the endpoints that are routed to. */
  uint64_t digest;
  void (*removed) (void *context, struct endpoint *endpoint);
  void *context;
};

void endpoints_init (struct endpoints *endpoints,
                     void (*removed) (void *context, struct endpoint *endpoint),
                     void *context);
void endpoints_finish (struct endpoints *endpoints);

struct endpoint *endpoints_find (const struct endpoints *endpoints,
                                 const char *id);

/* A report of a revision; an older one than known is ignored. */
enum result endpoints_report (struct endpoints *endpoints,
                              const char *id,
                              const struct endpoint_report *report,
                              uint64_t revision,
                              int64_t now_ms);

/*
 * Its entry was deleted.  Reports up to this revision are of before: that of
 * the deletion, or of the last report before it.
 */
void endpoints_delete (struct endpoints *endpoints,
                       const char *id,
                       uint64_t revision,
                       int64_t now_ms);

/* Around a relisting: entries that are not reported between count as gone. */
void endpoints_relist_begin (struct endpoints *endpoints);
void endpoints_relist_end (struct endpoints *endpoints,
                           uint64_t revision,
                           int64_t now_ms);

/* The platform was away until now_ms; see believe_ms. */
void endpoints_distrust (struct endpoints *endpoints, int64_t now_ms);

/* Drops endpoints whose deletion holds; calls removed for each. */
void endpoints_tick (struct endpoints *endpoints, int64_t now_ms);

/* True if new work may go there: listed and not leaving. */
bool endpoint_is_usable (const struct endpoint *endpoint);

/* True if requests go there, or went there until it began to leave. */
bool endpoint_is_routed (const struct endpoint *endpoint);
bool endpoint_report_is_routed (const struct endpoint_report *report);

bool endpoint_has_staged (const struct endpoint *endpoint, const char *model);

#endif
