#ifndef RECORDS_RECORDS_H
#define RECORDS_RECORDS_H

#include "http-text.h"
#include "result.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Non-blocking client of a platform's store of versioned records.  A codec
 * encodes calls as HTTP requests of the platform's protocol and decodes the
 * responses.
 *
 * Each call ends with exactly one callback, from the event loop or, if memory
 * is short, from records_call.  A write that may have taken effect ends with
 * RESULT_PLATFORM_LOST_ANSWER, and one that certainly did not with any other
 * error.  A read whose response is over the limit for one response ends with
 * RESULT_PLATFORM_OVER_LIMIT: sent again, it would end in the same way.
 *
 * A store that was restored from a copy gives out the same revisions again.  To
 * its users a revision also holds the era, in its high digits: revisions always
 * rise, and one of an earlier era equals none of the present.  A watch from
 * such a revision ends with RESULT_PLATFORM_HISTORY_GONE, a write on condition
 * of one with RESULT_PLATFORM_CONFLICT and no record.
 */

enum records_kind
{
  RECORDS_CONFIGURATION,
  RECORDS_ENDPOINTS,
  RECORDS_LEASES,
  RECORDS_HOSTS,
  RECORDS_STRIKES,     /* see strike-record.h of edge */
  RECORDS_EVACUATIONS, /* data centres that get no requests, by name */
  RECORDS_KINDS,
};
const char *records_kind_name (enum records_kind kind);

enum records_verb
{
  RECORDS_LIST,
  RECORDS_WATCH, /* waits for changes after a revision */
  RECORDS_READ,
  RECORDS_CREATE,
  RECORDS_REPLACE, /* only if the record has the given revision */
};

struct records_request
{
  enum records_verb verb;
  enum records_kind kind;
  const char *name;    /* of the record; NULL for LIST and WATCH */
  const char *after;   /* LIST continues after this name; NULL = first page */
  uint64_t revision;   /* WATCH: changes after it; REPLACE: the expected one */
  int wait_ms;         /* WATCH: longest wait for a change */
  const json_t *value; /* CREATE and REPLACE */
};

struct records_record
{
  const char *name;
  uint64_t revision;
  bool deleted;
  /* Borrowed; NULL if it has none, a JSON null if it cannot be read. */
  const json_t *value;
};

/* A page of a list, a batch of changes, or the response to another call. */
struct records_response
{
  enum result result;
  uint64_t revision; /* of the store for LIST and WATCH, else of the record */
  bool more;         /* LIST has another page, after last_name */
  /* LIST: the last name that can be read, also of a record left out of list. */
  const char *last_name;
  unsigned skipped; /* records without a readable name or revision */
  struct records_record *list;
  unsigned count;
  /* The record that was read or written; on a conflict, the stored one. */
  struct records_record *record;
};

struct records_codec
{
  /*
   * Field of every response that counts how often the store was restored from a
   * copy; NULL = it has none.
   */
  const char *era_field;
  /* Appends the target, "/path?query", and the body if there is one. */
  void (*encode) (const struct records_request *request,
                  const char **method,
                  struct http_text *target,
                  struct http_text *body);
  /*
   * Calls done with the response.  Records of other writers may be unreadable
   * in a body; the others hold.  The contents of the response are valid only
   * during that call.
   */
  void (*decode) (enum records_verb verb,
                  unsigned status,
                  const char *body,
                  size_t size,
                  void (*done) (void *context,
                                const struct records_response *response),
                  void *context);
};

/* The era of a store that was never restored. */
#define RECORDS_FIRST_ERA 1

struct records_call;

struct records
{
  struct event_base *base;
  const struct records_codec *codec;
  char address[64];
  uint16_t port;
  size_t body_limit_bytes; /* of one response; a longer one fails the call */
  uint64_t era;            /* highest that a response named; 0 = none did */
  uint64_t calls[RECORDS_KINDS];    /* calls sent, by kind */
  uint64_t failures;                /* calls without a complete response */
  TAILQ_HEAD (, records_call) sent; /* calls in flight */
  TAILQ_HEAD (, records_call) idle; /* connections without a call */
};

void records_init (struct records *records,
                   struct event_base *base,
                   const struct records_codec *codec,
                   const char *address,
                   uint16_t port);

/* Cancels all calls without running their callbacks. */
void records_finish (struct records *records);

/*
 * Sends a request; the call fails if no response arrives in timeout_ms.  A
 * request that depends on a revision of an earlier era is not sent: its
 * callback runs at once.
 */
void records_call (struct records *records,
                   const struct records_request *request,
                   int timeout_ms,
                   void (*done) (void *context,
                                 const struct records_response *response),
                   void *context);

/* Ends calls that timed out and closes idle connections; call every tick. */
void records_tick (struct records *records, int64_t now_ms);

/* Bytes of responses that have not been decoded yet, of all calls together. */
size_t records_held_bytes (const struct records *records);

/* The era of a revision; 0 = the store names none. */
uint64_t records_get_era (uint64_t revision);
/* The revision as the store gave it out. */
uint64_t records_get_number (uint64_t revision);

/* True if the store failed or is unreachable, not if it rejected the call. */
bool records_is_store_failure (enum result result);

#endif
