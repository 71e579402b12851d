#ifndef SOAK_HOST_H
#define SOAK_HOST_H

#include "http-call.h"
#include "proxy.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * One entry host: a waxwinglinkd process with its own loopback address and its
 * own proxy to the store.
 */

#define HOST_TEXT_SIZE 64

/* The last signal that was sent to end the process. */
enum host_end_signal
{
  HOST_NO_SIGNAL,
  HOST_SIGNAL_KILL, /* SIGKILL was sent */
  HOST_SIGNAL_TERM, /* SIGTERM was sent */
};

struct host
{
  struct event_base *base;
  char name[HOST_TEXT_SIZE];
  char data_centre[HOST_TEXT_SIZE];
  char address[HOST_TEXT_SIZE];
  char settings_path[256]; /* settings file of the process */
  char log_path[256];
  const char *binary; /* path of waxwinglinkd */
  const char *log_level;
  struct proxy store_proxy;
  pid_t pid; /* 0 = not running */
  enum host_end_signal end_signal;
  int64_t signalled_ms;         /* when host_kill or host_term sent a signal */
  int64_t start_at_ms;          /* next start of the process; 0 = not planned */
  int64_t paused_until_ms;      /* 0 = not paused */
  int64_t disturbed_ms;         /* last moment at which a fault acted on it */
  int64_t last_term_ms;         /* last planned stop; 0 = none yet */
  unsigned failed_checks;       /* consecutive failed readiness checks */
  bool in_rotation;             /* the balancer sends it new connections */
  int64_t next_check_ms;        /* next readiness check */
  bool has_answered;            /* a check, since the process started */
  struct http_call *check_call; /* running check; NULL = none */
  /*
   * The process ended without a signal, or failed after SIGTERM, which may end
   * it at once before it has answered: status is that of waitpid, or -1 if it
   * still ran HOST_GRACE_MS after SIGTERM though no fault acted on the host in
   * that time.
   */
  void (*on_unexpected_end) (void *context, struct host *host, int status);
  void *context;
};

/* Every host listens on these ports of its own address. */
#define HOST_CALLERS_PORT 21080
#define HOST_READY_PORT 21081
#define HOST_PEERS_PORT 21082

/* SIGKILL follows SIGTERM after this time, as on the platform. */
#define HOST_GRACE_MS 8000
/* Budget of the fleet's retries for each service, with its slack. */
#define HOST_RETRY_RATIO 0.2
#define HOST_RETRY_WINDOW_MS 10000

bool host_write_settings (const struct host *host,
                          const char *const *data_centres,
                          unsigned data_centre_count,
                          const char *seeds,
                          unsigned retry_slack,
                          int evacuation_ms); /* 0 = not followed */
bool host_start (struct host *host);
void host_tick (struct host *host, int64_t now_ms);

/*
 * Faults and planned work; each does nothing unless the process runs.  It
 * starts again at restart_ms, or continues at until_ms.
 */
void host_kill (struct host *host, int64_t now_ms, int64_t restart_ms);
void host_term (struct host *host, int64_t now_ms, int64_t restart_ms);
void host_pause (struct host *host, int64_t now_ms, int64_t until_ms);
void host_reload (struct host *host);

/* Kills the process, waits for its end and closes the proxy. */
void host_finish (struct host *host);

/* True if no fault acted on the host from HOST_STABLE_MS before since_ms on. */
bool host_was_undisturbed (const struct host *host, int64_t since_ms);

/* Stable time: a host counts as disturbed for this time after a fault. */
#define HOST_STABLE_MS 3000

#endif
