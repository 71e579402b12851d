#ifndef BALANCE_COLD_LIMIT_H
#define BALANCE_COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits the requests that a cold endpoint gets from all entry hosts together
 * in any second.
 *
 * The load that it answers: an endpoint that has just started fails above a
 * rate of requests.  Up to 99 hosts, which know each other's loads as they were
 * 0.2 to 0.5 s ago, learn of it at nearly the same time, and all want the idle
 * endpoint.
 *
 * request-limit.h cannot keep that bound: it admits all requests until the
 * other hosts' counts arrive, and its bound is one over several seconds.  Here
 * each host has a fixed share, whatever the others do.  Its requests become due
 * one by one, at a moment that differs at random between hosts, and a request
 * that is not used soon expires, so that hosts cannot save up requests and then
 * send them all at once.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

/* What may reach one cold endpoint in any second, and from how many hosts. */
struct cold_bound
{
  double over;    /* times the rate that a cold endpoint takes, */
  double slack;   /* and this many requests more */
  unsigned hosts; /* all that may send, lost ones included */
};

struct cold_limit
{
  int64_t since_ms; /* start of this cold time; 0 = not in use */
  double interval_ms;
  double next_ms; /* when the next request becomes due */
};

/*
 * Rate of all hosts together that keeps the bound with a margin for the random
 * moments, requests per second.  per_s: what a cold endpoint takes.
 */
double cold_limit_rate (const struct cold_bound *bound, double per_s);

/* Time between two requests of one host, ms. */
double cold_limit_interval_ms (const struct cold_bound *bound, double per_s);

/*
 * Starts the limit.  draw is uniform in [0, 1); recent is the number of
 * requests that this host sent in the last second; since_ms is when it heard
 * that the endpoint is cold.
 */
void cold_limit_start (struct cold_limit *limit,
                       double interval_ms,
                       double recent,
                       double draw,
                       int64_t since_ms);

/* True if a request may be sent; cold_limit_take then counts it. */
bool cold_limit_is_due (struct cold_limit *limit,
                        double interval_ms,
                        int64_t now_ms);
void cold_limit_take (struct cold_limit *limit);

#endif
