#ifndef BALANCE_REQUEST_LIMIT_H
#define BALANCE_REQUEST_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Request rate that an endpoint accepts from all entry hosts together.
 *
 * Each host reports how many requests it sent to the endpoint recently and gets
 * the sum over the others, with a delay.  A request is admitted while the sum
 * is below what the limit sustains, at random if the others may have sent more
 * than the sum tells yet.  The sums decay, so that the requests of a host that
 * ended or was cut off go on counting.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

/* A count that falls by 1 - 1/e in this time. */
#define REQUEST_LIMIT_DECAY_MS 1000

struct decaying_count
{
  double value; /* as of at_ms */
  int64_t at_ms;
};

struct request_limit
{
  double per_s;      /* 0 = no limit */
  int64_t stated_ms; /* when the endpoint last stated or ended it; 0 = never */
  struct decaying_count sent;      /* requests of this host */
  struct decaying_count wanted;    /* those that it would have sent */
  struct decaying_count peer_sent; /* the same of the other hosts */
  struct decaying_count peer_wanted;
};

/* What a host knows of the others' reports. */
struct request_limit_fleet
{
  unsigned live_hosts;   /* hosts that report, this one included */
  unsigned known_hosts;  /* those and the ones that were lost recently */
  int64_t reported_ms;   /* time of the last report */
  int64_t report_age_ms; /* age of loads and counts in a report, expected */
};

/* What hosts report to each other about one endpoint. */
struct request_limit_report
{
  double per_s; /* 0 = the limit has ended */
  int64_t stated_ms;
  double sent;
  double wanted;
};

double decaying_count_get (const struct decaying_count *count, int64_t now_ms);
void
decaying_count_add (struct decaying_count *count, double value, int64_t now_ms);

/* The endpoint states its limit; per_s may be 0, "no requests". */
void
request_limit_state (struct request_limit *limit, double per_s, int64_t now_ms);

/*
 * A response to a request sent at sent_ms names no limit.  That ends a limit
 * which was last stated before the request was sent.
 */
void request_limit_end (struct request_limit *limit,
                        int64_t sent_ms,
                        int64_t now_ms);

/* Clears the limit; the endpoint has restarted. */
void request_limit_reset (struct request_limit *limit, int64_t now_ms);

/*
 * Takes over what the other hosts report.  Returns true if that changes the
 * limit.
 */
bool request_limit_note_peers (struct request_limit *limit,
                               const struct request_limit_report *report,
                               int64_t now_ms);

/* Fills in what this host reports; false if there is nothing to report. */
bool request_limit_get_report (const struct request_limit *limit,
                               struct request_limit_report *report,
                               int64_t now_ms);

void request_limit_note_sent (struct request_limit *limit, int64_t now_ms);

/* Probability with which a request may be sent to the endpoint now. */
double request_limit_admission (const struct request_limit *limit,
                                const struct request_limit_fleet *fleet,
                                int64_t now_ms);

/*
 * Decides whether a request may be sent; draw is uniform in [0, 1).  Counts the
 * request as wanted.
 */
bool request_limit_admit (struct request_limit *limit,
                          const struct request_limit_fleet *fleet,
                          double draw,
                          int64_t now_ms);

#endif
