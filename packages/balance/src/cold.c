#include "balance-internal.h"
#include "balance.h"

/*
 * The time until which the endpoint is cold, and since when this host knows.
 * After an evacuation it counts as cold unless it has said otherwise since.
 */
static int64_t
get_cold_until_ms (const struct load_table *loads,
                   const struct catalog_service *service,
                   const struct endpoint *endpoint,
                   int64_t *since_ms)
{
  int64_t until_ms = endpoint->cold_until_ms;
  int64_t ended_ms
      = evacuations_ended_ms (loads->evacuations, endpoint->report.data_centre);

  *since_ms = endpoint->cold_since_ms;
  if (ended_ms == 0 || endpoint->cold_stated_ms > ended_ms
      || ended_ms + service->cold_ms <= until_ms)
    return until_ms;
  *since_ms = ended_ms;
  return ended_ms + service->cold_ms;
}

int64_t
balance_cold_left_ms (const struct load_table *loads,
                      const struct catalog_service *service,
                      const struct endpoint *endpoint,
                      int64_t now_ms)
{
  int64_t since_ms;
  int64_t until_ms;

  if (service->cold_ms == 0)
    return 0;
  until_ms = get_cold_until_ms (loads, service, endpoint, &since_ms);
  return until_ms > now_ms ? until_ms - now_ms : 0;
}

/* All cold endpoints of a service have the same interval. */
static double
get_interval_ms (struct load_table *loads, double per_s)
{
  const struct cold_bound *bound = &loads->cold_bound;
  struct cold_interval *cached = &loads->cold_interval;

  if (cached->interval_ms == 0 || cached->per_s != per_s
      || cached->bound.hosts != bound->hosts
      || cached->bound.over != bound->over
      || cached->bound.slack != bound->slack)
    *cached = (struct cold_interval){
      .bound = *bound,
      .per_s = per_s,
      .interval_ms = cold_limit_interval_ms (bound, per_s),
    };
  return cached->interval_ms;
}

bool
balance_is_cold_due (struct load_table *loads,
                     const struct catalog_service *service,
                     struct endpoint_load *load,
                     int64_t now_ms)
{
  double interval_ms = get_interval_ms (loads, service->cold_requests_per_s);
  int64_t since_ms;

  get_cold_until_ms (loads, service, load->endpoint, &since_ms);
  if (load->cold_limit.since_ms != since_ms)
    cold_limit_start (&load->cold_limit, interval_ms,
                      decaying_count_get (&load->request_limit.sent, now_ms),
                      rng_real (&loads->rng), since_ms);
  return cold_limit_is_due (&load->cold_limit, interval_ms, now_ms);
}
