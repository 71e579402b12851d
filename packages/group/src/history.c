#include "history.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Share of the absences that end in each bucket, assumed before anything was
 * observed: most pauses last a few seconds, a restart one to four minutes.
 * Each assumed share counts as much as PRIOR_ABSENCES observed absences.
 */
#define PRIOR_ABSENCES 8.0
static const double prior_hazard[HISTORY_ABSENCE_BUCKETS] = {
  0.05, 0.10, 0.15, 0.20, 0.20, 0.15, 0.10,
  0.15, 0.20, 0.20, 0.10, 0.05, 0.05, 0.05,
};

void
history_settings_init (struct history_settings *settings)
{
  *settings = (struct history_settings){
    .observation_gap_limit_ms = 1000,
    .settle_ms = 3000,
    .outage_hosts = 3,
    .outage_share = 1.0 / 3,
    .outage_window_ms = 10000,
    .outage_hold_ms = 20000,
    .flap_failures = 3,
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
  for (unsigned i = 0; i < HISTORY_ABSENCE_BUCKETS; i++)
    {
      history->bucket_entries[i] = PRIOR_ABSENCES;
      history->bucket_returns[i] = PRIOR_ABSENCES * prior_hazard[i];
    }
}

void
history_finish (struct history *history)
{
  struct history_host *host = history->hosts;
  struct history_domain *domain = history->domains;
  struct history_draining_group *group = history->draining;

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
      struct history_draining_group *next = group->hh.next;

      free (group);
      group = next;
    }
}

static struct history_host *
get_or_add_host (struct history *history, const char *id)
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
get_or_add_domain (struct history *history, const char *name)
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
count_recent_failures (const struct history_host *host, int64_t since_ms)
{
  unsigned count = 0;

  while (count < host->failure_count && host->failures_ms[count] >= since_ms)
    count++;
  return count;
}

/* Each return of a flapping host doubles the following hold-off. */
static void
hold_off_flapping_host (const struct history_settings *settings,
                        struct history_host *host,
                        int64_t now_ms)
{
  int64_t hold_ms = settings->flap_hold_ms;

  if (count_recent_failures (host, now_ms - settings->flap_window_ms)
      < settings->flap_failures)
    {
      host->hold_doublings = 0;
      return;
    }
  for (unsigned i = 0; i < host->hold_doublings; i++)
    if (hold_ms < settings->flap_hold_limit_ms)
      hold_ms *= 2;
  if (hold_ms > settings->flap_hold_limit_ms)
    hold_ms = settings->flap_hold_limit_ms;
  host->hold_doublings++;
  host->hold_until_ms = now_ms + hold_ms;
}

static void
record_failure (struct history_host *host, int64_t now_ms)
{
  memmove (host->failures_ms + 1, host->failures_ms,
           (HISTORY_FAILURE_LIMIT - 1) * sizeof host->failures_ms[0]);
  host->failures_ms[0] = now_ms;
  if (host->failure_count < HISTORY_FAILURE_LIMIT)
    host->failure_count++;
}

/* End of a bucket in milliseconds of absence. */
static double
get_bucket_end_ms (unsigned bucket)
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
  history->bucket_entries[0]++;
}

static void
advance_absence_bucket (struct history *history,
                        struct history_host *host,
                        int64_t now_ms)
{
  double age_ms = (double)(now_ms - host->absent_since_ms);

  while (host->bucket < HISTORY_ABSENCE_BUCKETS
         && age_ms >= get_bucket_end_ms (host->bucket))
    {
      host->bucket++;
      if (host->bucket < HISTORY_ABSENCE_BUCKETS)
        history->bucket_entries[host->bucket]++;
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
  for (unsigned i = 0; i < HISTORY_MODEL_VERSION_LIMIT; i++)
    if (strcmp (host->weights[i], text) == 0)
      return;
  memcpy (host->weights[host->next_weight_slot], text, sizeof text);
  host->next_weight_slot
      = (host->next_weight_slot + 1) % HISTORY_MODEL_VERSION_LIMIT;
}

static void
observe_present (struct history *history,
                 struct history_host *host,
                 const struct fleet_host *fleet_host,
                 int64_t now_ms)
{
  if (!host->present && host->was_present)
    {
      advance_absence_bucket (history, host, now_ms);
      if (host->bucket < HISTORY_ABSENCE_BUCKETS)
        history->bucket_returns[host->bucket]++;
      hold_off_flapping_host (&history->settings, host, now_ms);
    }
  host->present = true;
  host->was_present = true;
  memcpy (host->boot_id, fleet_host->attested.boot_id, sizeof host->boot_id);
  remember_weights (host, &fleet_host->attested);
}

static void
observe_absent (struct history *history,
                struct history_host *host,
                const struct fleet_host *fleet_host,
                int64_t now_ms)
{
  if (!history_is_ready (history, now_ms))
    return;
  if (host->present)
    {
      start_absence (history, host, fleet_host->attested.seen_ms);
      /* A host that announced its leaving has not failed. */
      if (!fleet_host_is_leaving (fleet_host))
        record_failure (host, now_ms);
    }
  advance_absence_bucket (history, host, now_ms);
}

static enum result
observe_host (struct history *history,
              const struct fleet_host *fleet_host,
              int64_t now_ms)
{
  struct history_host *host = get_or_add_host (history, fleet_host->id);
  struct history_domain *domain
      = get_or_add_domain (history, fleet_host->domain);

  if (host == NULL || domain == NULL)
    return RESULT_NO_MEMORY;
  memcpy (host->domain, fleet_host->domain, sizeof host->domain);
  if (!host->was_present && host->absent_since_ms == 0)
    {
      host->absent_since_ms = now_ms;
      host->bucket
          = HISTORY_ABSENCE_BUCKETS; /* the start of the absence is unknown */
    }
  if (fleet_host_is_present (fleet_host, now_ms))
    observe_present (history, host, fleet_host, now_ms);
  else
    observe_absent (history, host, fleet_host, now_ms);
  domain->host_count++;
  if (!host->present && host->failure_count > 0
      && host->failures_ms[0] > now_ms - history->settings.outage_window_ms)
    domain->recent_failures++;
  return RESULT_OK;
}

/* Hosts that fail together share a cause and tend to return together, so
   repair in their domain waits. */
static void
hold_domains_in_outage (struct history *history, int64_t now_ms)
{
  const struct history_settings *settings = &history->settings;
  struct history_domain *domain;

  for (domain = history->domains; domain != NULL; domain = domain->hh.next)
    {
      bool outage = domain->recent_failures > settings->outage_hosts
                    || (domain->recent_failures >= 2
                        && domain->recent_failures
                               >= settings->outage_share * domain->host_count);

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
  struct history_draining_group *entry;

  for (entry = history->draining; entry != NULL; entry = entry->hh.next)
    entry->is_draining = false;
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
      entry->is_draining = true;
    }
  for (entry = history->draining; entry != NULL; entry = entry->hh.next)
    if (!entry->is_draining)
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

  if (!history->has_observed
      || now_ms - history->last_observed_ms
             > history->settings.observation_gap_limit_ms)
    history->ready_ms = now_ms + history->settings.settle_ms;
  history->has_observed = true;
  history->last_observed_ms = now_ms;
  for (domain = history->domains; domain != NULL; domain = domain->hh.next)
    {
      domain->host_count = 0;
      domain->recent_failures = 0;
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
  hold_domains_in_outage (history, now_ms);
  return observe_draining (history, fleet, now_ms);
}

bool
history_is_ready (const struct history *history, int64_t now_ms)
{
  return history->has_observed && now_ms >= history->ready_ms;
}

const struct history_host *
history_find_host (const struct history *history, const char *id)
{
  const struct history_host *host;

  HASH_FIND_STR (history->hosts, id, host);
  return host;
}

bool
history_host_is_held (const struct history *history,
                      const char *id,
                      int64_t now_ms)
{
  const struct history_host *host = history_find_host (history, id);

  return host != NULL && now_ms < host->hold_until_ms;
}

bool
history_domain_is_held (const struct history *history,
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
  const struct history_host *known = history_find_host (history, host->id);
  char text[2 * FLEET_NAME_SIZE];

  if (attests_weights (&host->attested)
      && strcmp (host->attested.model, model) == 0
      && strcmp (host->attested.version, version) == 0)
    return true;
  if (known == NULL)
    return false;
  snprintf (text, sizeof text, "%s %s", model, version);
  for (unsigned i = 0; i < HISTORY_MODEL_VERSION_LIMIT; i++)
    if (strcmp (known->weights[i], text) == 0)
      return true;
  return false;
}

int64_t
history_absent_ms (const struct history *history,
                   const char *id,
                   int64_t now_ms)
{
  const struct history_host *host = history_find_host (history, id);

  if (host == NULL)
    return now_ms - history->ready_ms > 0 ? now_ms - history->ready_ms : 0;
  return host->present ? 0 : now_ms - host->absent_since_ms;
}

double
history_expected_wait (const struct history *history,
                       int64_t absent_ms,
                       double alternative_ms)
{
  double start_ms = (double)absent_ms;
  double best_ms = alternative_ms;
  double survival = 1;
  /* expected wait over the absences that end before the group stops waiting */
  double ended_wait_ms = 0;

  for (unsigned i = 0; i < HISTORY_ABSENCE_BUCKETS; i++)
    {
      double begin_ms = i == 0 ? 0 : get_bucket_end_ms (i - 1);
      double end_ms = get_bucket_end_ms (i);
      double hazard = history->bucket_returns[i] / history->bucket_entries[i];
      double expected_ms;

      if (end_ms <= start_ms)
        continue;
      if (hazard > 0.99)
        hazard = 0.99;
      if (begin_ms < start_ms)
        {
          /* The rest of the bucket gets its share of the hazard. */
          hazard
              = 1 - pow (1 - hazard, (end_ms - start_ms) / (end_ms - begin_ms));
          begin_ms = start_ms;
        }
      ended_wait_ms += survival * hazard * ((begin_ms + end_ms) / 2 - start_ms);
      survival *= 1 - hazard;
      expected_ms
          = ended_wait_ms + survival * (end_ms - start_ms + alternative_ms);
      if (expected_ms < best_ms)
        best_ms = expected_ms;
    }
  return best_ms;
}

int64_t
history_draining_since (const struct history *history,
                        const char *id,
                        uint64_t generation,
                        int64_t now_ms)
{
  const struct history_draining_group *group;

  HASH_FIND_STR (history->draining, id, group);
  if (group == NULL || group->generation != generation
      || group->draining_since_ms == 0)
    return now_ms;
  return group->draining_since_ms;
}
