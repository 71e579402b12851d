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
 * Non-blocking client of a platform's store of versioned records, whatever
 * that store speaks: a codec turns calls into HTTP requests and answers back.
 *
 * Each call ends with exactly one callback, from the event loop or, without
 * memory, from records_call.  A write that may have taken effect ends with
 * RESULT_PLATFORM_LOST_ANSWER, and one that certainly did not with any other
 * error.
 */

enum records_kind
{
  RECORDS_CONFIGURATION,
  RECORDS_ENDPOINTS,
  RECORDS_LEASES,
  RECORDS_HOSTS,
  RECORDS_KINDS,
};
const char *records_kind_name (enum records_kind kind);

enum records_verb
{
  RECORDS_LIST,
  RECORDS_WATCH, /* changes after a revision, as soon as there is one */
  RECORDS_READ,
  RECORDS_CREATE,
  RECORDS_REPLACE, /* only at the given revision */
};

struct records_request
{
  enum records_verb verb;
  enum records_kind kind;
  const char *name;    /* of the record; NULL for LIST and WATCH */
  const char *after;   /* LIST goes on after this name; NULL = from the start */
  uint64_t revision;   /* WATCH: changes after it; REPLACE: the present one */
  int wait_ms;         /* WATCH: longest time without a change */
  const json_t *value; /* CREATE and REPLACE */
};

struct records_record
{
  const char *name;
  uint64_t revision;
  bool deleted;
  const json_t *value; /* borrowed; NULL if it has none */
};

/* Pages of a list and batches of changes. */
struct records_answer
{
  enum result result;
  uint64_t revision; /* of the store, for LIST and WATCH; else the record's */
  bool more;         /* LIST goes on after the last record */
  const struct records_record *list;
  unsigned count;
  const struct records_record *record; /* also the present one on a conflict */
};

struct records_codec
{
  /* Appends the target, "/path?query", and the body if there is one. */
  void (*encode) (const struct records_request *request,
                  const char **method,
                  struct http_text *target,
                  struct http_text *body);
  /*
   * Calls take with the answer; json is NULL if the body was not JSON.  What
   * the answer holds is valid during the call only.
   */
  void (*decode) (enum records_verb verb,
                  unsigned status,
                  const json_t *json,
                  void (*take) (void *context,
                                const struct records_answer *answer),
                  void *context);
};

struct records_call;

struct records
{
  struct event_base *base;
  const struct records_codec *codec;
  char address[64];
  uint16_t port;
  uint64_t calls[RECORDS_KINDS]; /* sent, by kind */
  uint64_t failures;
  TAILQ_HEAD (, records_call) sent;
  TAILQ_HEAD (, records_call) idle; /* connections without a call */
};

void records_init (struct records *records,
                   struct event_base *base,
                   const struct records_codec *codec,
                   const char *address,
                   uint16_t port);

/* Ends calls without their callbacks. */
void records_finish (struct records *records);

/* The call fails without an answer after timeout_ms. */
void records_call (struct records *records,
                   const struct records_request *request,
                   int timeout_ms,
                   void (*done) (void *context,
                                 const struct records_answer *answer),
                   void *context);

/* Ends calls that are over their time; call often. */
void records_tick (struct records *records, int64_t now_ms);

/* True if the store itself failed or could not be reached. */
bool records_is_trouble (enum result result);

#endif
