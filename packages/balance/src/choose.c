#include "balance.h"

#include <string.h>

/* Requests queued at a group above its slots: about one token step each. */
#define QUEUE_AHEAD 2
/* Slots kept free for requests that can still meet their objective. */
#define URGENT_SLOTS 3
/* Requests per slot at an endpoint that serves alone: wait for one other. */
#define ALONE_PER_SLOT 3
/* Advantage of an endpoint in the own data centre, as a part of its slots. */
#define NEAR_BONUS 0.04
/* Weight of a new sample in the moving means. */
#define SAMPLE_WEIGHT 0.2
/* A pace without samples for this long is taken for the usual one again. */
#define PAUSE_FORGET_MS 2000
/* Failures count half after this time. */
#define FAILURE_HALF_MS 2000
/* An endpoint this many times slower than the usual counts no slower. */
#define SLOWNESS_LIMIT 8.0

unsigned
balance_slots (const struct catalog_service *service,
               const struct endpoint *endpoint)
{
  unsigned slots = service->slots;

  if (slots == 0)
    slots = endpoint->report.slots;
  return slots > 0 ? slots : 1;
}

static bool
is_candidate (const struct balance_request *request,
              const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;

  if (!endpoint_is_usable (endpoint)
      || strcmp (report->service, request->service->name) != 0)
    return false;
  if (request->service->model_count == 0)
    return true;
  return report->state == ENDPOINT_GROUP_OPEN && report->rank == 0
         && request->model != NULL
         && strcmp (report->model, request->model->name) == 0;
}

static bool
is_excluded (const struct balance_request *request, const struct lane *lane)
{
  for (unsigned i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == lane)
      return true;
  return false;
}

static double
recent_pause (const struct lane *lane, int64_t now_ms)
{
  return now_ms - lane->pause_seen_ms < PAUSE_FORGET_MS ? lane->pause_ms : 0;
}

/* The shortest recent pause between events of all candidates; 0 = unknown. */
static double
usual_pause (struct lanes *lanes,
             const struct endpoints *endpoints,
             const struct balance_request *request,
             int64_t now_ms)
{
  double usual = 0;

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (is_candidate (request, endpoint))
      {
        struct lane *lane = lanes_get (lanes, endpoint);
        double pause = lane != NULL ? recent_pause (lane, now_ms) : 0;

        if (pause > 0 && (usual == 0 || pause < usual))
          usual = pause;
      }
  return usual;
}

static double
recent_failing (const struct lane *lane, int64_t now_ms)
{
  int64_t age_ms = now_ms - lane->failed_ms;

  return age_ms > 4 * FAILURE_HALF_MS
             ? 0
             : lane->failing / (1.0 + (double)age_ms / FAILURE_HALF_MS);
}

/* Expected work ahead of the request, in full batches of the endpoint. */
static double
score (struct lanes *lanes,
       const struct balance_request *request,
       const struct lane *lane,
       double usual,
       int64_t now_ms)
{
  unsigned slots = balance_slots (request->service, lane->endpoint);
  double load = (double)(lane->running + lane->peer_running + 1) / slots;
  double pause = recent_pause (lane, now_ms);
  double slowness = usual > 0 && pause > 0 ? pause / usual : 1;

  /* Batches differ in size, so only a clear difference counts. */
  if (slowness < 2)
    slowness = 1;
  if (slowness > SLOWNESS_LIMIT)
    slowness = SLOWNESS_LIMIT;
  load *= slowness;
  load += recent_failing (lane, now_ms) * 2;
  if (strcmp (lane->endpoint->report.data_centre, lanes->data_centre) == 0)
    load -= NEAR_BONUS;
  return load + rng_real (&lanes->rng) * 0.02;
}

static unsigned
room (const struct balance_request *request, const struct lane *lane)
{
  unsigned slots = balance_slots (request->service, lane->endpoint);
  unsigned limit;
  unsigned running = lane->running + lane->peer_running;

  if (request->service->model_count == 0)
    limit = slots * ALONE_PER_SLOT;
  else if (request->urgent)
    limit = slots + QUEUE_AHEAD;
  else
    limit = slots > URGENT_SLOTS ? slots - URGENT_SLOTS : 1;
  return limit > running ? limit - running : 0;
}

enum balance_verdict
balance_choose (struct lanes *lanes,
                const struct endpoints *endpoints,
                const struct balance_request *request,
                int64_t now_ms,
                struct lane **chosen)
{
  enum balance_verdict verdict = BALANCE_NONE;
  double usual = usual_pause (lanes, endpoints, request, now_ms);
  double least = 0;

  *chosen = NULL;
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct lane *lane;
      double value;

      if (!is_candidate (request, endpoint))
        continue;
      lane = lanes_get (lanes, endpoint);
      if (lane == NULL || lane->avoid_ms > now_ms
          || is_excluded (request, lane))
        continue;
      if (room (request, lane) == 0)
        {
          if (verdict == BALANCE_NONE)
            verdict = BALANCE_FULL;
          continue;
        }
      value = score (lanes, request, lane, usual, now_ms);
      if (*chosen == NULL || value < least)
        {
          *chosen = lane;
          least = value;
        }
      verdict = BALANCE_CHOSEN;
    }
  return verdict;
}

void
balance_note_pause (struct lane *lane, int64_t pause_ms, int64_t now_ms)
{
  if (now_ms - lane->pause_seen_ms >= PAUSE_FORGET_MS)
    lane->pause_ms = (double)pause_ms;
  else
    lane->pause_ms += SAMPLE_WEIGHT * ((double)pause_ms - lane->pause_ms);
  lane->pause_seen_ms = now_ms;
}

void
balance_note_success (struct lane *lane, int64_t now_ms)
{
  (void)now_ms;
  lane->failing *= 1 - SAMPLE_WEIGHT;
}

void
balance_note_failure (struct lane *lane, int64_t now_ms)
{
  lane->failing
      = recent_failing (lane, now_ms) * (1 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
  lane->failed_ms = now_ms;
}

void
balance_avoid (struct lane *lane, int64_t until_ms)
{
  if (until_ms > lane->avoid_ms)
    lane->avoid_ms = until_ms;
}
