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
 * Non-blocking client of the platform's object service over HTTP/1.1.
 *
 * Each call ends with exactly one callback, also when the client is finished
 * before the response arrives (RESULT_CANCELLED).  A write that may have taken
 * effect but was not confirmed ends with RESULT_PLATFORM_LOST_ANSWER; any other
 * error means that the write had no effect.
 *
 * Callbacks run from the event loop, never inside the function that starts a
 * call, except when memory is short or the client is finished.
 * Calls run concurrently over persistent connections.  A call waits for an idle
 * connection within its timeout.
 */

#define PLATFORM_VALUE_LIMIT_BYTES 1048576    /* of an object that is written */
#define PLATFORM_RESPONSE_LIMIT_BYTES 8388608 /* of a response body */
/* Of all response bodies together. */
#define PLATFORM_RESPONSES_LIMIT_BYTES 33554432
#define PLATFORM_CONNECTION_LIMIT 16 /* for all calls except watches */
#define PLATFORM_WATCH_CONNECTION_LIMIT 4
/* Calls in flight; further calls end with RESULT_PLATFORM_OVERLOADED. */
#define PLATFORM_CALL_LIMIT 4096

struct platform_response
{
  enum result result;
  uint64_t version;      /* of the object; on a conflict, its current version */
  json_t *value;         /* borrowed; NULL unless the call returns a value */
  int64_t clock_skew_ms; /* local clock minus Date header; 0 without header */
};

/* Kinds by which platform.calls counts. */
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
  int timeout_ms; /* of a call; a watch adds its own wait */
  char host[64];  /* sent as X-Entry-Host unless empty; set after init */
  uint64_t calls[PLATFORM_CALL_KINDS]; /* sent since init, by kind */
  uint64_t failures; /* ended with neither OK, CONFLICT, NOT_FOUND, UNCHANGED */
  int64_t last_success_boot_ms; /* INT64_MIN = never */
  int64_t clock_skew_ms; /* from the latest response with a Date header */
  bool is_partitioned;   /* test setting: every call ends as unreachable */

  /* Private to platform. */
  TAILQ_HEAD (, platform_call) waiting;  /* for an idle connection */
  TAILQ_HEAD (, platform_call) sent;     /* each holds a connection */
  TAILQ_HEAD (, platform_call) finished; /* callback not run yet */
  LIST_HEAD (, platform_connection) connections;
  size_t in_flight;            /* calls whose callback has not run */
  struct event dispatch_event; /* runs callbacks and sends waiting calls */
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

/*
 * Read, write and delete one object.  Writes and deletes take effect only if
 * the object has the given version; version 0 in platform_put requires that
 * the object does not exist.
 */
void platform_get (struct platform *platform,
                   const char *key,
                   void (*done) (void *context,
                                 const struct platform_response *response),
                   void *context);
void platform_put (struct platform *platform,
                   const char *key,
                   uint64_t version,
                   const json_t *value,
                   void (*done) (void *context,
                                 const struct platform_response *response),
                   void *context);
void platform_delete (struct platform *platform,
                      const char *key,
                      uint64_t version,
                      void (*done) (void *context,
                                    const struct platform_response *response),
                      void *context);

/* Lists the keys with the prefix; value: {"keys":[{"key","version"}]}. */
void platform_list (struct platform *platform,
                    const char *prefix,
                    void (*done) (void *context,
                                  const struct platform_response *response),
                    void *context);

/* Lists the hosts; value: {"hosts":[...]}. */
void platform_hosts (struct platform *platform,
                     void (*done) (void *context,
                                   const struct platform_response *response),
                     void *context);

/*
 * Waits up to wait_ms until one of the comma-separated keys has changed after
 * the revision.  Response: value {"revision","objects":[...]} with the new
 * revision as version, or RESULT_PLATFORM_UNCHANGED.
 */
void platform_watch (struct platform *platform,
                     const char *keys,
                     uint64_t revision,
                     int wait_ms,
                     void (*done) (void *context,
                                   const struct platform_response *response),
                     void *context);

#endif
