#ifndef SOAK_HOST_H
#define SOAK_HOST_H

#include "http-call.h"
#include "proxy.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * One entry host: a waxwinglinkd process on a loopback address of its own,
 * with its own proxy to the store.
 */

#define HOST_TEXT 64

enum host_end
{
  HOST_NO_END,
  HOST_END_KILL, /* SIGKILL was sent */
  HOST_END_TERM, /* SIGTERM was sent */
};

struct host
{
  struct event_base *base;
  char name[HOST_TEXT];
  char data_centre[HOST_TEXT];
  char address[HOST_TEXT];
  char settings_path[256];
  char log_path[256];
  const char *binary;
  const char *log_level;
  struct proxy store;
  pid_t pid; /* 0 = not running */
  enum host_end end;
  int64_t ended_ms;        /* when that signal was sent */
  int64_t start_ms;        /* is to be started then; 0 = not */
  int64_t paused_until_ms; /* 0 = running */
  int64_t disturbed_ms;    /* a fault acted on it until then */
  int64_t term_ms;         /* last SIGTERM */
  unsigned misses; /* readiness checks without a good answer, in a row */
  bool in_rotation;
  int64_t check_ms; /* next readiness check */
  struct http_call *check;
  /* The process ended though no signal was to end it. */
  void (*died) (void *context, struct host *host, int status);
  void *context;
};

/* Ports of all hosts. */
#define HOST_CALLERS_PORT 21080
#define HOST_READY_PORT 21081
#define HOST_PEERS_PORT 21082

/* SIGKILL follows SIGTERM after this time, as on the platform. */
#define HOST_GRACE_MS 8000

bool host_write_settings (const struct host *host,
                          const char *const *data_centres,
                          unsigned data_centre_count,
                          const char *seeds);
bool host_start (struct host *host);
void host_tick (struct host *host, int64_t now_ms);

void host_kill (struct host *host, int64_t now_ms, int64_t restart_ms);
void host_term (struct host *host, int64_t now_ms, int64_t restart_ms);
void host_pause (struct host *host, int64_t now_ms, int64_t until_ms);
void host_reload (struct host *host);

/* Ends the process and waits for it. */
void host_finish (struct host *host);

/* True if no fault has acted on it since a while before this moment. */
bool host_was_calm (const struct host *host, int64_t since_ms);

/* After a fault nothing is expected of a host for so long (stable time). */
#define HOST_STABLE_MS 3000

#endif
