#ifndef EDGE_CHECKER_H
#define EDGE_CHECKER_H

#include "adapter.h"
#include "endpoints.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Asks endpoints under suspicion whether they live.  One that leaves several
 * checks in a row unanswered counts as silent until it answers again.
 */

struct check;

struct checker
{
  struct event_base *base;
  const struct adapter *adapter;
  const struct endpoints *endpoints;
  struct check *checks; /* uthash by endpoint id */
  uint64_t sent;
  int64_t now_ms;
};

void checker_init (struct checker *checker,
                   struct event_base *base,
                   const struct adapter *adapter,
                   const struct endpoints *endpoints);
void checker_finish (struct checker *checker);

/* Checks the endpoint from now on until it has answered. */
void
checker_suspect (struct checker *checker, const char *endpoint, int64_t now_ms);
bool checker_is_silent (const struct checker *checker, const char *endpoint);
void checker_tick (struct checker *checker, int64_t now_ms);

#endif
