#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "result.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Non-blocking client of the platform's object service over evhttp.
 *
 * Each call ends with exactly one callback, also when the client is finished
 * before the answer came (RESULT_CANCELLED).  A write that may have taken
 * effect ends with RESULT_PLATFORM_LOST_ANSWER, and one that certainly did
 * not with any other error.  Calls are counted by kind.
 */

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

struct platform_call; /* one call in flight; see platform-internal.h */

struct platform
{
  struct event_base *base;
  char address[48];
  uint16_t port;
  int timeout_ms;
  uint64_t calls[PLATFORM_CALL_KINDS];
  uint64_t failures;
  int64_t last_success_boot_ms; /* INT64_MIN = never */
  int64_t clock_skew_ms;        /* from the latest answer */
  bool cut; /* test setting: every call fails as unreachable */
  struct platform_call *in_flight; /* list head, private */
};

void platform_init (struct platform *platform,
                    struct event_base *base,
                    const char *address,
                    uint16_t port,
                    int timeout_ms);

/* Ends calls in flight with RESULT_CANCELLED. */
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
 * revision.  value: {"revision","objects":[...]};
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
