#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "http-call.h"
#include "standin-configuration.h"
#include "standin-endpoint.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * One entry host on loopback addresses, started as the deploy file says, and
 * the project's stand-ins for the store and the endpoints.
 */

#define WORLD_FRONT_PORT 8227
#define WORLD_READY_PORT 8220
#define WORLD_PEERS_PORT 7340
#define WORLD_HOST_HEADER "shop.example"
#define WORLD_MEMORY_MB 182 /* of a machine of smes-gauge */
#define WORLD_PROCESS_LIMIT 16

struct world
{
  struct event_base *base;
  struct standin_store store;
  struct standin_fleet fleet;
  char address[32];
  char folder[64];
  pid_t host;
  bool is_host_alive;
  long peak_bytes; /* resident memory of the host */
  pid_t others[WORLD_PROCESS_LIMIT];
  unsigned other_count;
  FILE *record;
  int64_t started_ms;
  int64_t noted_ms; /* when the host's memory was noted */
};

/* Starts the stand-ins; exits with 2 if that fails.  slots: of each endpoint.
 */
void world_init (struct world *world, const char *record_path, unsigned slots);
/* Starts the host and waits until it is ready; exits with 2 if it is not. */
void world_start_host (struct world *world, const char *program);
/* Another process that was started, which world_finish ends. */
void world_adopt (struct world *world, pid_t pid);
/* Runs the stand-ins for a few ms. */
void world_step (struct world *world);
void world_run_for (struct world *world, int64_t for_ms);
/* Ends all processes that were started. */
void world_finish (struct world *world);

/* Writes a line to the record, and to stdout. */
void world_report (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Writes a line to the record only. */
void world_note (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
int64_t world_now_ms (const struct world *world);

#endif
