#ifndef EDGE_CHECKER_H
#define EDGE_CHECKER_H

#include "endpoints.h"
#include "platform-adapter.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Checks suspected endpoints over HTTP.  An endpoint that does not respond to
 * several checks in a row counts as silent until it responds again.
 */

struct endpoint_check;

struct checker
{
  struct event_base *base;
  const struct platform_adapter *adapter;
  const struct endpoints *endpoints;
  struct endpoint_check *checks; /* uthash by endpoint id */
  uint64_t checks_sent;
  bool is_paused;
  int64_t now_ms;
};

void checker_init (struct checker *checker,
                   struct event_base *base,
                   const struct platform_adapter *adapter,
                   const struct endpoints *endpoints);
void checker_finish (struct checker *checker);

/* Checks the endpoint from now on, until its responses clear it. */
void
checker_suspect (struct checker *checker, const char *endpoint, int64_t now_ms);
/*
 * While paused, nothing is checked and no endpoint is silent; what was
 * suspected before is forgotten.
 */
void checker_set_paused (struct checker *checker, bool is_paused);
bool checker_is_silent (const struct checker *checker, const char *endpoint);
void checker_tick (struct checker *checker, int64_t now_ms);

#endif
