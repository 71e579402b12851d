#include "request-limit.h"

#include <math.h>

/*
 * Lowest rate that is assumed, per s.  An endpoint that accepts nothing gets a
 * request now and then; otherwise nobody would learn that its limit has ended.
 */
#define MIN_PER_S 0.1
/* The end of a limit is reported to the other hosts for this long. */
#define END_REPORT_MS 2000
/* Reports older than this say nothing about what the others send now. */
#define REPORT_EXPIRY_MS 1000
/* Share of the others' wanted requests that counts as sent but unreported. */
#define UNREPORTED_SHARE 0.7

double
decaying_count_get (const struct decaying_count *count, int64_t now_ms)
{
  return count->value
         * exp (-(double)(now_ms - count->at_ms) / REQUEST_LIMIT_DECAY_MS);
}

void
decaying_count_add (struct decaying_count *count, double value, int64_t now_ms)
{
  count->value = decaying_count_get (count, now_ms) + value;
  count->at_ms = now_ms;
}

/* Sets the count, unless it is higher: it does not fall faster than it decays.
 */
static void
raise_count (struct decaying_count *count, double value, int64_t now_ms)
{
  double old = decaying_count_get (count, now_ms);

  count->value = value > old ? value : old;
  count->at_ms = now_ms;
}

void
request_limit_state (struct request_limit *limit, double per_s, int64_t now_ms)
{
  limit->per_s = per_s > MIN_PER_S ? per_s : MIN_PER_S;
  limit->stated_ms = now_ms;
}

void
request_limit_end (struct request_limit *limit, int64_t sent_ms, int64_t now_ms)
{
  if (limit->per_s > 0 && sent_ms > limit->stated_ms)
    request_limit_reset (limit, now_ms);
}

void
request_limit_reset (struct request_limit *limit, int64_t now_ms)
{
  limit->per_s = 0;
  limit->stated_ms = now_ms;
}

bool
request_limit_note_peers (struct request_limit *limit,
                          const struct request_limit_report *report,
                          int64_t now_ms)
{
  bool is_newer = report->stated_ms > limit->stated_ms;
  bool has_changed = is_newer && report->per_s != limit->per_s;

  raise_count (&limit->peer_sent, report->sent, now_ms);
  raise_count (&limit->peer_wanted, report->wanted, now_ms);
  if (is_newer)
    {
      limit->per_s = report->per_s;
      limit->stated_ms = report->stated_ms;
    }
  return has_changed;
}

bool
request_limit_get_report (const struct request_limit *limit,
                          struct request_limit_report *report,
                          int64_t now_ms)
{
  if (limit->stated_ms == 0
      || (limit->per_s == 0 && now_ms - limit->stated_ms >= END_REPORT_MS))
    return false;
  *report = (struct request_limit_report){
    .per_s = limit->per_s,
    .stated_ms = limit->stated_ms,
    .sent = decaying_count_get (&limit->sent, now_ms),
    .wanted = decaying_count_get (&limit->wanted, now_ms),
  };
  return true;
}

void
request_limit_note_sent (struct request_limit *limit, int64_t now_ms)
{
  decaying_count_add (&limit->sent, 1, now_ms);
}

/*
 * Share of the limit that the hosts in touch with this one may use.  Lost hosts
 * may be cut off and still send, so their shares are left to them.
 */
static double
compute_share (const struct request_limit_fleet *fleet, int64_t now_ms)
{
  unsigned live = fleet->live_hosts;

  if (now_ms - fleet->reported_ms >= REPORT_EXPIRY_MS)
    live = 1;
  return live < fleet->known_hosts ? (double)live / fleet->known_hosts : 1;
}

double
request_limit_admission (const struct request_limit *limit,
                         const struct request_limit_fleet *fleet,
                         int64_t now_ms)
{
  double rate = limit->per_s * compute_share (fleet, now_ms);
  double sustained;
  double room;
  double unreported;

  if (limit->per_s == 0)
    return 1;
  /* The count just before a request, if requests come evenly at this rate. */
  sustained = 1 / expm1 (1000.0 / (rate * REQUEST_LIMIT_DECAY_MS));
  room = sustained - decaying_count_get (&limit->sent, now_ms)
         - decaying_count_get (&limit->peer_sent, now_ms);
  unreported = UNREPORTED_SHARE
               * decaying_count_get (&limit->peer_wanted, now_ms)
               * (double)fleet->report_age_ms / REQUEST_LIMIT_DECAY_MS;
  if (room < 0)
    return 0;
  return fmin (1, (room + 0.5) / (unreported + 0.5));
}

bool
request_limit_admit (struct request_limit *limit,
                     const struct request_limit_fleet *fleet,
                     double draw,
                     int64_t now_ms)
{
  if (limit->per_s == 0)
    return true;
  decaying_count_add (&limit->wanted, 1, now_ms);
  return draw < request_limit_admission (limit, fleet, now_ms);
}
