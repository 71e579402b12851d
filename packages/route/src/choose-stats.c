#include "choose-stats.h"

#include <stdio.h>
#include <stdlib.h>

#define BREAKER_FAILURE_LIMIT 5
#define BREAKER_FIRST_OPEN_MS 1000
#define BREAKER_MAX_OPEN_MS 30000

#define MEAN_SAMPLE_WEIGHT 0.1 /* of a new sample in a moving mean */

void
chooser_init (struct chooser *chooser, uint64_t seed)
{
  chooser->stats = NULL;
  rng_init (&chooser->rng, seed);
}

void
chooser_finish (struct chooser *chooser)
{
  struct choose_stats *stats = chooser->stats;

  HASH_CLEAR (hh, chooser->stats);
  while (stats != NULL)
    {
      struct choose_stats *next = stats->hh.next;

      free (stats);
      stats = next;
    }
}

struct choose_stats *
choose_stats_find (const struct chooser *chooser, const char *key)
{
  struct choose_stats *stats;

  HASH_FIND_STR (chooser->stats, key, stats);
  return stats;
}

struct choose_stats *
choose_stats_get (struct chooser *chooser, const char *key)
{
  struct choose_stats *stats = choose_stats_find (chooser, key);

  if (stats != NULL)
    return stats;
  stats = calloc (1, sizeof *stats);
  if (stats == NULL)
    return NULL;
  snprintf (stats->key, sizeof stats->key, "%s", key);
  stats->last_served_ms = FLEET_NEVER;
  HASH_ADD_STR (chooser->stats, key, stats);
  if (stats->hh.tbl == NULL)
    {
      free (stats);
      return NULL;
    }
  return stats;
}

void
choose_stats_remove (struct chooser *chooser, struct choose_stats *stats)
{
  HASH_DEL (chooser->stats, stats);
  free (stats);
}

bool
choose_breaker_permits (const struct choose_stats *stats, int64_t now_ms)
{
  return stats == NULL || stats->breaker_open_until_ms == 0
         || (now_ms >= stats->breaker_open_until_ms && !stats->probe_running);
}

void
choose_started (struct chooser *chooser, const char *key, int64_t now_ms)
{
  struct choose_stats *stats = choose_stats_get (chooser, key);

  if (stats == NULL)
    return;
  stats->in_flight++;
  if (stats->breaker_open_until_ms != 0
      && now_ms >= stats->breaker_open_until_ms)
    stats->probe_running = true;
}

static void
open_breaker (struct choose_stats *stats, int64_t now_ms)
{
  if (stats->breaker_open_ms == 0)
    stats->breaker_open_ms = BREAKER_FIRST_OPEN_MS;
  else if (stats->breaker_open_ms < BREAKER_MAX_OPEN_MS / 2)
    stats->breaker_open_ms *= 2;
  else
    stats->breaker_open_ms = BREAKER_MAX_OPEN_MS;
  stats->breaker_open_until_ms = now_ms + stats->breaker_open_ms;
}

static void
record_failure (struct choose_stats *stats, int64_t now_ms)
{
  stats->consecutive_failures++;
  if (stats->breaker_open_until_ms == 0)
    {
      if (stats->consecutive_failures >= BREAKER_FAILURE_LIMIT)
        open_breaker (stats, now_ms);
    }
  else if (stats->probe_running)
    open_breaker (stats, now_ms);
  /*
   * Otherwise the call began before the breaker opened and adds no information.
   */
}

static void
record_success (struct choose_stats *stats)
{
  stats->consecutive_failures = 0;
  if (stats->breaker_open_until_ms == 0 || stats->probe_running)
    {
      stats->breaker_open_until_ms = 0;
      stats->breaker_open_ms = 0;
    }
}

static void
update_mean (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + MEAN_SAMPLE_WEIGHT * (sample - *mean) : sample;
}

void
choose_finished (struct chooser *chooser,
                 const char *key,
                 enum choose_end end,
                 int64_t duration_ms,
                 unsigned tokens,
                 int64_t now_ms)
{
  struct choose_stats *stats = choose_stats_find (chooser, key);

  if (stats == NULL)
    return;
  if (stats->in_flight > 0)
    stats->in_flight--;
  if (end == CHOOSE_END_SUCCESS)
    {
      record_success (stats);
      update_mean (&stats->service_ms, (double)duration_ms);
      if (tokens > 0)
        update_mean (&stats->token_ms, (double)duration_ms / tokens);
    }
  else if (end == CHOOSE_END_FAILURE)
    record_failure (stats, now_ms);
  stats->probe_running = false;
}

void
choose_started_with_strike (struct chooser *chooser, const char *key)
{
  struct choose_stats *stats = choose_stats_get (chooser, key);

  if (stats != NULL)
    stats->in_flight_with_strike++;
}

void
choose_finished_with_strike (struct chooser *chooser, const char *key)
{
  struct choose_stats *stats = choose_stats_find (chooser, key);

  if (stats != NULL && stats->in_flight_with_strike > 0)
    stats->in_flight_with_strike--;
}
