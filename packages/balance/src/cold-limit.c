#include "cold-limit.h"

#include <math.h>

/*
 * A due request that is not used expires after this share of its host's
 * interval, within limits.  Longer, hosts that want nothing for a while could
 * then send more at once.  Shorter, hosts with few requests hardly ever have
 * one while a request is due: with 300 ms, 99 hosts with 60 requests/s sent 1.3
 * a second where 26 were possible.
 */
#define VALID_SHARE 0.15
#define MIN_VALID_MS 300.0
#define MAX_VALID_MS 1000.0
/*
 * Standard deviations between the mean of the requests in a window and the
 * bound.  The mean is reached only if all hosts want nothing for that long and
 * then all send at once; one such event in 700 exceeds the bound.
 */
#define DEVIATIONS 3.0
/* Steps in which the rate is lowered until it keeps the bound. */
#define RATE_STEPS 50
/* Requests that were sent before count for the length of the window. */
#define RECENT_MS 1000.0

static double
compute_valid_ms (double interval_ms)
{
  return fmin (fmax (VALID_SHARE * interval_ms, MIN_VALID_MS), MAX_VALID_MS);
}

/* True if at this rate the bound holds but for rare windows. */
static bool
is_rate_within (const struct cold_bound *bound, double per_s, double rate)
{
  unsigned hosts = bound->hosts > 0 ? bound->hosts : 1;
  double interval_ms = 1000.0 * hosts / rate;
  /* What reaches the endpoint in a second became due in this time. */
  double window_s = 1 + compute_valid_ms (interval_ms) / 1000;
  double mean = rate * window_s;
  double per_host = mean / hosts;
  /* A host sends the whole part in each window, and sometimes one more. */
  double fraction = per_host - floor (per_host);
  double deviation = sqrt (hosts * fraction * (1 - fraction));

  return mean + DEVIATIONS * deviation <= per_s * bound->over + bound->slack;
}

double
cold_limit_rate (const struct cold_bound *bound, double per_s)
{
  for (unsigned step = RATE_STEPS; step > 1; step--)
    {
      double rate = per_s * step / RATE_STEPS;

      if (is_rate_within (bound, per_s, rate))
        return rate;
    }
  return per_s / RATE_STEPS;
}

double
cold_limit_interval_ms (const struct cold_bound *bound, double per_s)
{
  unsigned hosts = bound->hosts > 0 ? bound->hosts : 1;

  return 1000.0 * hosts / cold_limit_rate (bound, per_s);
}

void
cold_limit_start (struct cold_limit *limit,
                  double interval_ms,
                  double recent,
                  double draw,
                  int64_t since_ms)
{
  limit->since_ms = since_ms;
  limit->interval_ms = interval_ms;
  limit->next_ms = (double)since_ms + draw * interval_ms
                   + fmin (recent * interval_ms, RECENT_MS);
}

/* Takes over a new number of hosts, in proportion to the wait that is left. */
static void
update_interval (struct cold_limit *limit, double interval_ms, int64_t now_ms)
{
  if (interval_ms == limit->interval_ms)
    return;
  if (limit->next_ms > (double)now_ms)
    limit->next_ms = (double)now_ms
                     + (limit->next_ms - (double)now_ms) * interval_ms
                           / limit->interval_ms;
  limit->interval_ms = interval_ms;
}

bool
cold_limit_is_due (struct cold_limit *limit, double interval_ms, int64_t now_ms)
{
  double expired_ms = (double)now_ms - compute_valid_ms (interval_ms);

  update_interval (limit, interval_ms, now_ms);
  if (limit->next_ms < expired_ms)
    limit->next_ms
        += ceil ((expired_ms - limit->next_ms) / interval_ms) * interval_ms;
  return limit->next_ms <= (double)now_ms;
}

void
cold_limit_take (struct cold_limit *limit)
{
  limit->next_ms += limit->interval_ms;
}
