#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "result.h"

#include <event2/event.h>
#include <event2/event_struct.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Non-blocking client of the platform's object service over evhttp.
 *
 * Each call ends with exactly one callback, also when the client is finished
 * before the answer came (RESULT_CANCELLED).  A write that may have taken
 * effect ends with RESULT_PLATFORM_LOST_ANSWER, and one that certainly did
 * not with any other error.  Calls are counted by kind.
 *
 * Callbacks run from the event loop, never inside the function that starts a
 * call, except when there is no memory for the call.  Several calls run at
 * once over kept connections; a call waits, within its timeout, while all of
 * them are busy.
 */

#define PLATFORM_VALUE_LIMIT 1048576  /* largest value of an object in bytes */
#define PLATFORM_ANSWER_LIMIT 8388608 /* largest body of an answer in bytes */
#define PLATFORM_CONNECTIONS 16       /* for all calls but watches */
#define PLATFORM_WATCH_CONNECTIONS 4
/* Calls beyond this many in flight end with RESULT_PLATFORM_OVERLOADED. */
#define PLATFORM_CALL_LIMIT 4096

struct platform_answer
{
  enum result result;
  uint64_t version; /* of the object read or written; on conflict, present */
  json_t *value;    /* borrowed; NULL unless the call returns one */
  int64_t clock_skew_ms; /* our wall clock less the Date header; 0 if none */
};

/* How many calls of each kind were sent since init. */
enum platform_call_kind
{
  PLATFORM_CALL_READ,
  PLATFORM_CALL_WRITE,
  PLATFORM_CALL_WATCH,
  PLATFORM_CALL_LIST,
  PLATFORM_CALL_HOSTS,
  PLATFORM_CALL_KINDS,
};

struct platform_call;       /* one call in flight; see platform-internal.h */
struct platform_connection; /* see platform-internal.h */

struct platform
{
  struct event_base *base;
  char address[48];
  uint16_t port;
  int timeout_ms;
  char host[64]; /* sent as X-Entry-Host unless empty; set after init */
  uint64_t calls[PLATFORM_CALL_KINDS];
  uint64_t failures;
  int64_t last_success_boot_ms; /* INT64_MIN = never */
  int64_t clock_skew_ms;        /* from the latest answer */
  bool cut; /* test setting: every call fails as unreachable */

  /* Private to platform. */
  TAILQ_HEAD (, platform_call) waiting;  /* for a connection */
  TAILQ_HEAD (, platform_call) sent;     /* each on a connection */
  TAILQ_HEAD (, platform_call) finished; /* callback still due */
  LIST_HEAD (, platform_connection) connections;
  size_t in_flight;
  struct event pump; /* runs callbacks and starts waiting calls */
};

void platform_init (struct platform *platform,
                    struct event_base *base,
                    const char *address,
                    uint16_t port,
                    int timeout_ms);

/*
 * Ends calls in flight with RESULT_CANCELLED.  Not to be called from a
 * callback of this client.
 */
void platform_finish (struct platform *platform);

/* Version 0 in platform_put means that the object must not exist yet. */
void platform_get (struct platform *platform,
                   const char *key,
                   void (*done) (void *context,
                                 const struct platform_answer *answer),
                   void *context);
void platform_put (struct platform *platform,
                   const char *key,
                   uint64_t version,
                   const json_t *value,
                   void (*done) (void *context,
                                 const struct platform_answer *answer),
                   void *context);
void platform_delete (struct platform *platform,
                      const char *key,
                      uint64_t version,
                      void (*done) (void *context,
                                    const struct platform_answer *answer),
                      void *context);

/* value: {"keys":[{"key","version"}]}. */
void platform_list (struct platform *platform,
                    const char *prefix,
                    void (*done) (void *context,
                                  const struct platform_answer *answer),
                    void *context);

/* value: {"hosts":[...]}. */
void platform_hosts (struct platform *platform,
                     void (*done) (void *context,
                                   const struct platform_answer *answer),
                     void *context);

/*
 * Waits up to wait_ms for one of the keys (comma-separated) to change after
 * revision.  value: {"revision","objects":[...]}, version: the revision;
 * RESULT_PLATFORM_UNCHANGED when nothing changed.
 */
void platform_watch (struct platform *platform,
                     const char *keys,
                     uint64_t revision,
                     int wait_ms,
                     void (*done) (void *context,
                                   const struct platform_answer *answer),
                     void *context);

#endif
