#include "history.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Returns per bucket before anything was observed: most pauses last a few
 * seconds, a restart one to four minutes.  Each counts as much as
 * PRIOR_STRENGTH observed absences.
 */
#define PRIOR_STRENGTH 8.0
static const double prior_hazard[HISTORY_BUCKETS] = {
  0.05, 0.10, 0.15, 0.20, 0.20, 0.15, 0.10,
  0.15, 0.20, 0.20, 0.10, 0.05, 0.05, 0.05,
};

void
history_settings_init (struct history_settings *settings)
{
  *settings = (struct history_settings){
    .blind_gap_ms = 1000,
    .settle_ms = 3000,
    .outage_hosts = 3,
    .outage_share = 1.0 / 3,
    .outage_window_ms = 10000,
    .outage_hold_ms = 20000,
    .flap_losses = 3,
    .flap_window_ms = 600000,
    .flap_hold_ms = 60000,
    .flap_hold_limit_ms = 3600000,
  };
}

void
history_init (struct history *history,
              const struct history_settings *settings,
              const char *data_centre)
{
  memset (history, 0, sizeof *history);
  history->settings = *settings;
  snprintf (history->data_centre, sizeof history->data_centre, "%s",
            data_centre);
  for (unsigned i = 0; i < HISTORY_BUCKETS; i++)
    {
      history->entered[i] = PRIOR_STRENGTH;
      history->returned[i] = PRIOR_STRENGTH * prior_hazard[i];
    }
}

void
history_finish (struct history *history)
{
  struct history_host *host = history->hosts;
  struct history_domain *domain = history->domains;
  struct history_group *group = history->draining;

  HASH_CLEAR (hh, history->hosts);
  while (host != NULL)
    {
      struct history_host *next = host->hh.next;

      free (host);
      host = next;
    }
  HASH_CLEAR (hh, history->domains);
  while (domain != NULL)
    {
      struct history_domain *next = domain->hh.next;

      free (domain);
      domain = next;
    }
  HASH_CLEAR (hh, history->draining);
  while (group != NULL)
    {
      struct history_group *next = group->hh.next;

      free (group);
      group = next;
    }
}

static struct history_host *
get_host (struct history *history, const char *id)
{
  struct history_host *host;

  HASH_FIND_STR (history->hosts, id, host);
  if (host != NULL)
    return host;
  host = calloc (1, sizeof *host);
  if (host == NULL)
    return NULL;
  snprintf (host->id, sizeof host->id, "%s", id);
  host->hold_until_ms = FLEET_NEVER;
  HASH_ADD_STR (history->hosts, id, host);
  return host;
}

static struct history_domain *
get_domain (struct history *history, const char *name)
{
  struct history_domain *domain;

  HASH_FIND_STR (history->domains, name, domain);
  if (domain != NULL)
    return domain;
  domain = calloc (1, sizeof *domain);
  if (domain == NULL)
    return NULL;
  snprintf (domain->name, sizeof domain->name, "%s", name);
  domain->hold_until_ms = FLEET_NEVER;
  HASH_ADD_STR (history->domains, name, domain);
  return domain;
}

static unsigned
recent_losses (const struct history_host *host, int64_t since_ms)
{
  unsigned count = 0;

  while (count < host->loss_count && host->losses_ms[count] >= since_ms)
    count++;
  return count;
}

/* Each return of a flapping host doubles the hold-off that follows it. */
static void
hold_flapping (const struct history_settings *settings,
               struct history_host *host,
               int64_t now_ms)
{
  int64_t hold = settings->flap_hold_ms;

  if (recent_losses (host, now_ms - settings->flap_window_ms)
      < settings->flap_losses)
    {
      host->hold_steps = 0;
      return;
    }
  for (unsigned i = 0; i < host->hold_steps; i++)
    if (hold < settings->flap_hold_limit_ms)
      hold *= 2;
  if (hold > settings->flap_hold_limit_ms)
    hold = settings->flap_hold_limit_ms;
  host->hold_steps++;
  host->hold_until_ms = now_ms + hold;
}

static void
record_loss (struct history_host *host, int64_t now_ms)
{
  memmove (host->losses_ms + 1, host->losses_ms,
           (HISTORY_LOSSES - 1) * sizeof host->losses_ms[0]);
  host->losses_ms[0] = now_ms;
  if (host->loss_count < HISTORY_LOSSES)
    host->loss_count++;
}

/* End of a bucket in milliseconds of absence. */
static double
bucket_end (unsigned bucket)
{
  return 1000.0 * (double)(1U << bucket);
}

static void
start_absence (struct history *history,
               struct history_host *host,
               int64_t since_ms)
{
  host->present = false;
  host->absent_since_ms = since_ms;
  host->bucket = 0;
  history->entered[0]++;
}

static void
age_absence (struct history *history, struct history_host *host, int64_t now_ms)
{
  double age = (double)(now_ms - host->absent_since_ms);

  while (host->bucket < HISTORY_BUCKETS && age >= bucket_end (host->bucket))
    {
      host->bucket++;
      if (host->bucket < HISTORY_BUCKETS)
        history->entered[host->bucket]++;
    }
}

/* A spare that loaded weights ahead of time attests them while idle. */
static bool
attests_weights (const struct fleet_attestation *attested)
{
  return attested->model[0] != '\0'
         && (attested->state == FLEET_ENGINE_READY
             || attested->state == FLEET_ENGINE_IDLE);
}

static void
remember_weights (struct history_host *host,
                  const struct fleet_attestation *attested)
{
  char text[2 * FLEET_NAME_SIZE];

  if (!attests_weights (attested))
    return;
  snprintf (text, sizeof text, "%s %s", attested->model, attested->version);
  for (unsigned i = 0; i < HISTORY_WEIGHTS; i++)
    if (strcmp (host->weights[i], text) == 0)
      return;
  memcpy (host->weights[host->weight_next], text, sizeof text);
  host->weight_next = (host->weight_next + 1) % HISTORY_WEIGHTS;
}

static void
observe_present (struct history *history,
                 struct history_host *host,
                 const struct fleet_host *fleet_host,
                 int64_t now_ms)
{
  if (!host->present && host->seen)
    {
      age_absence (history, host, now_ms);
      if (host->bucket < HISTORY_BUCKETS)
        history->returned[host->bucket]++;
      hold_flapping (&history->settings, host, now_ms);
    }
  host->present = true;
  host->seen = true;
  memcpy (host->boot_id, fleet_host->attested.boot_id, sizeof host->boot_id);
  remember_weights (host, &fleet_host->attested);
}

static void
observe_absent (struct history *history,
                struct history_host *host,
                const struct fleet_host *fleet_host,
                int64_t now_ms)
{
  if (!history_ready (history, now_ms))
    return;
  if (host->present)
    {
      start_absence (history, host, fleet_host->attested.seen_ms);
      /* A host that said it was leaving is not lost, it left. */
      if (!fleet_host_leaving (fleet_host))
        record_loss (host, now_ms);
    }
  age_absence (history, host, now_ms);
}

static enum result
observe_host (struct history *history,
              const struct fleet_host *fleet_host,
              int64_t now_ms)
{
  struct history_host *host = get_host (history, fleet_host->id);
  struct history_domain *domain = get_domain (history, fleet_host->domain);

  if (host == NULL || domain == NULL)
    return RESULT_NO_MEMORY;
  memcpy (host->domain, fleet_host->domain, sizeof host->domain);
  if (!host->seen && host->absent_since_ms == 0)
    {
      host->absent_since_ms = now_ms;
      host->bucket = HISTORY_BUCKETS; /* its length is not known */
    }
  if (fleet_host_present (fleet_host, now_ms))
    observe_present (history, host, fleet_host, now_ms);
  else
    observe_absent (history, host, fleet_host, now_ms);
  domain->hosts++;
  if (!host->present && host->loss_count > 0
      && host->losses_ms[0] > now_ms - history->settings.outage_window_ms)
    domain->recent++;
  return RESULT_OK;
}

/* Hosts that vanish together share a cause and tend to return together. */
static void
hold_failed_domains (struct history *history, int64_t now_ms)
{
  const struct history_settings *settings = &history->settings;
  struct history_domain *domain;

  for (domain = history->domains; domain != NULL; domain = domain->hh.next)
    {
      bool outage
          = domain->recent > settings->outage_hosts
            || (domain->recent >= 2
                && domain->recent >= settings->outage_share * domain->hosts);

      if (outage && domain->hold_until_ms <= now_ms)
        domain->hold_until_ms = now_ms + settings->outage_hold_ms;
    }
}

static enum result
observe_draining (struct history *history,
                  const struct fleet *fleet,
                  int64_t now_ms)
{
  const struct fleet_group *group;
  struct history_group *entry;

  for (entry = history->draining; entry != NULL; entry = entry->hh.next)
    entry->marked = false;
  for (group = fleet->groups; group != NULL; group = group->hh.next)
    {
      if (!group->draining
          || strcmp (group->data_centre, history->data_centre) != 0)
        continue;
      HASH_FIND_STR (history->draining, group->id, entry);
      if (entry == NULL)
        {
          entry = calloc (1, sizeof *entry);
          if (entry == NULL)
            return RESULT_NO_MEMORY;
          memcpy (entry->id, group->id, sizeof entry->id);
          HASH_ADD_STR (history->draining, id, entry);
        }
      if (entry->draining_since_ms == 0
          || entry->generation != group->generation)
        entry->draining_since_ms = now_ms;
      entry->generation = group->generation;
      entry->marked = true;
    }
  for (entry = history->draining; entry != NULL; entry = entry->hh.next)
    if (!entry->marked)
      entry->draining_since_ms = 0;
  return RESULT_OK;
}

enum result
history_observe (struct history *history,
                 const struct fleet *fleet,
                 int64_t now_ms)
{
  const struct fleet_host *host;
  struct history_domain *domain;

  if (!history->started
      || now_ms - history->observed_ms > history->settings.blind_gap_ms)
    history->ready_ms = now_ms + history->settings.settle_ms;
  history->started = true;
  history->observed_ms = now_ms;
  for (domain = history->domains; domain != NULL; domain = domain->hh.next)
    {
      domain->hosts = 0;
      domain->recent = 0;
    }
  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    {
      enum result result;

      if (host->is_service
          || strcmp (host->data_centre, history->data_centre) != 0)
        continue;
      result = observe_host (history, host, now_ms);
      if (result != RESULT_OK)
        return result;
    }
  hold_failed_domains (history, now_ms);
  return observe_draining (history, fleet, now_ms);
}

bool
history_ready (const struct history *history, int64_t now_ms)
{
  return history->started && now_ms >= history->ready_ms;
}

const struct history_host *
history_find (const struct history *history, const char *id)
{
  const struct history_host *host;

  HASH_FIND_STR (history->hosts, id, host);
  return host;
}

bool
history_held (const struct history *history, const char *id, int64_t now_ms)
{
  const struct history_host *host = history_find (history, id);

  return host != NULL && now_ms < host->hold_until_ms;
}

bool
history_domain_held (const struct history *history,
                     const char *name,
                     int64_t now_ms)
{
  const struct history_domain *domain;

  HASH_FIND_STR (history->domains, name, domain);
  return domain != NULL && now_ms < domain->hold_until_ms;
}

bool
history_has_weights (const struct history *history,
                     const struct fleet_host *host,
                     const char *model,
                     const char *version)
{
  const struct history_host *seen = history_find (history, host->id);
  char text[2 * FLEET_NAME_SIZE];

  if (attests_weights (&host->attested)
      && strcmp (host->attested.model, model) == 0
      && strcmp (host->attested.version, version) == 0)
    return true;
  if (seen == NULL)
    return false;
  snprintf (text, sizeof text, "%s %s", model, version);
  for (unsigned i = 0; i < HISTORY_WEIGHTS; i++)
    if (strcmp (seen->weights[i], text) == 0)
      return true;
  return false;
}

int64_t
history_absent_ms (const struct history *history,
                   const char *id,
                   int64_t now_ms)
{
  const struct history_host *host = history_find (history, id);

  if (host == NULL)
    return now_ms - history->ready_ms > 0 ? now_ms - history->ready_ms : 0;
  return host->present ? 0 : now_ms - host->absent_since_ms;
}

double
history_expected_wait (const struct history *history,
                       int64_t absent_ms,
                       double alternative_ms)
{
  double start = (double)absent_ms;
  double best = alternative_ms;
  double survival = 1;
  double waited = 0; /* expected time of the absences that end by then */

  for (unsigned i = 0; i < HISTORY_BUCKETS; i++)
    {
      double begin = i == 0 ? 0 : bucket_end (i - 1);
      double end = bucket_end (i);
      double hazard = history->returned[i] / history->entered[i];
      double cost;

      if (end <= start)
        continue;
      if (hazard > 0.99)
        hazard = 0.99;
      if (begin < start)
        {
          /* What is left of the bucket has its share of the rate. */
          hazard = 1 - pow (1 - hazard, (end - start) / (end - begin));
          begin = start;
        }
      waited += survival * hazard * ((begin + end) / 2 - start);
      survival *= 1 - hazard;
      cost = waited + survival * (end - start + alternative_ms);
      if (cost < best)
        best = cost;
    }
  return best;
}

int64_t
history_draining_since (const struct history *history,
                        const char *id,
                        uint64_t generation,
                        int64_t now_ms)
{
  const struct history_group *group;

  HASH_FIND_STR (history->draining, id, group);
  if (group == NULL || group->generation != generation
      || group->draining_since_ms == 0)
    return now_ms;
  return group->draining_since_ms;
}
