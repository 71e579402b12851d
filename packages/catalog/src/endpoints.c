#include "endpoints.h"

#include "hash.h"

#include <stdlib.h>
#include <string.h>

/*
 * Entries that expired during a platform outage are registered again within
 * this time of its end if their endpoint still runs (the users' platform
 * promises 2 s).
 */
#define REREGISTRATION_LIMIT_MS 2200
/*
 * If more than this share of the entries is deleted after an outage, the
 * entries are taken to have expired in it.  Otherwise the platform was
 * unreachable from this host only, and the deleted endpoints have left.
 */
#define OUTAGE_DELETED_SHARE 0.1
/* Entries that expire in an outage are all deleted within this time. */
#define OUTAGE_DELETIONS_SPAN_MS 300

const char *
endpoint_group_state_name (enum endpoint_group_state state)
{
  static const char *const names[] = {
    [ENDPOINT_GROUP_NONE] = "none",       [ENDPOINT_GROUP_JOINING] = "joining",
    [ENDPOINT_GROUP_READY] = "ready",     [ENDPOINT_GROUP_OPEN] = "open",
    [ENDPOINT_GROUP_CLOSING] = "closing", [ENDPOINT_GROUP_BROKEN] = "broken",
  };

  return names[state];
}

void
endpoints_init (struct endpoints *endpoints,
                void (*removed) (void *context, struct endpoint *endpoint),
                void *context)
{
  memset (endpoints, 0, sizeof *endpoints);
  endpoints->removed = removed;
  endpoints->context = context;
}

bool
endpoint_is_routed (const struct endpoint *endpoint)
{
  return endpoint_report_is_routed (&endpoint->report);
}

bool
endpoint_report_is_routed (const struct endpoint_report *report)
{
  /* Only endpoints that form groups have a fabric domain. */
  if (report->domain[0] == '\0')
    return true;
  return report->rank == 0
         && (report->state == ENDPOINT_GROUP_OPEN
             || report->state == ENDPOINT_GROUP_CLOSING);
}

/* The endpoint's part of endpoints.digest; 0 if it is not routed. */
static uint64_t
compute_endpoint_digest (const struct endpoint *endpoint)
{
  if (endpoint->revision == 0 || !endpoint_is_routed (endpoint))
    return 0;
  return hash_string (endpoint->id, endpoint->revision);
}

/* Texts of a report: the fields, then the cached models. */
#define REPORT_FIELDS 5
#define REPORT_TEXTS (REPORT_FIELDS + ENDPOINTS_CACHED_MODEL_LIMIT)

static void
list_texts (struct endpoint_report *report, const char **out[REPORT_TEXTS])
{
  out[0] = &report->service;
  out[1] = &report->data_centre;
  out[2] = &report->domain;
  out[3] = &report->model;
  out[4] = &report->group;
  for (unsigned i = 0; i < ENDPOINTS_CACHED_MODEL_LIMIT; i++)
    out[REPORT_FIELDS + i] = &report->cached_models[i];
}

void
endpoint_report_init (struct endpoint_report *report)
{
  const char **texts[REPORT_TEXTS];

  list_texts (report, texts);
  for (unsigned i = 0; i < REPORT_TEXTS; i++)
    if (*texts[i] == NULL)
      *texts[i] = "";
}

void
endpoint_report_keep (struct endpoint_report *report, struct text_pool *texts)
{
  const char **fields[REPORT_TEXTS];

  endpoint_report_init (report);
  list_texts (report, fields);
  for (unsigned i = 0; i < REPORT_TEXTS; i++)
    *fields[i] = text_pool_add (texts, *fields[i]);
}

/*
 * Moves the texts of the report into one block, which it returns; NULL if
 * memory is short.
 */
static char *
copy_texts (struct endpoint_report *report)
{
  const char **texts[REPORT_TEXTS];
  size_t size = 0;
  char *block;
  char *next;

  list_texts (report, texts);
  for (unsigned i = 0; i < REPORT_TEXTS; i++)
    size += strlen (*texts[i]) + 1;
  block = malloc (size);
  next = block;
  for (unsigned i = 0; i < REPORT_TEXTS && block != NULL; i++)
    {
      size_t length = strlen (*texts[i]) + 1;

      memcpy (next, *texts[i], length);
      *texts[i] = next;
      next += length;
    }
  return block;
}

/* Frees a list of endpoints that were removed from the table before. */
static void
free_removed_endpoints (struct endpoints *endpoints, struct endpoint *endpoint)
{
  while (endpoint != NULL)
    {
      struct endpoint *next = endpoint->next_removed;

      endpoints->digest ^= compute_endpoint_digest (endpoint);
      if (endpoints->removed != NULL)
        endpoints->removed (endpoints->context, endpoint);
      free (endpoint->texts);
      free (endpoint);
      endpoint = next;
    }
}

void
endpoints_finish (struct endpoints *endpoints)
{
  struct endpoint *removed = NULL;

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      endpoint->next_removed = removed;
      removed = endpoint;
    }
  HASH_CLEAR (hh, endpoints->table);
  free_removed_endpoints (endpoints, removed);
}

struct endpoint *
endpoints_find (const struct endpoints *endpoints, const char *id)
{
  struct endpoint *endpoint;

  HASH_FIND_STR (endpoints->table, id, endpoint);
  return endpoint;
}

/* Ids stand in header fields; other programs may write any name as an id. */
static enum result
check_id (const char *id)
{
  size_t size = strlen (id);

  for (size_t i = 0; i < size; i++)
    if (id[i] <= ' ' || id[i] > '~')
      return RESULT_INVALID;
  if (size > ENDPOINTS_ID_LIMIT_BYTES)
    return RESULT_TOO_LARGE;
  return size > 0 ? RESULT_OK : RESULT_INVALID;
}

static struct endpoint *
add_endpoint (struct endpoints *endpoints, const char *id)
{
  const char *copy;
  struct endpoint *endpoint = text_allocate_with (sizeof *endpoint, id, &copy);

  if (endpoint == NULL)
    return NULL;
  endpoint->id = copy;
  endpoint_report_init (&endpoint->report);
  HASH_ADD_KEYPTR (hh, endpoints->table, endpoint->id, strlen (copy), endpoint);
  endpoints->digest ^= compute_endpoint_digest (endpoint);
  return endpoint;
}

/* A head that is warm does not make its group warm: a member may be cold. */
static void
note_stated_cold (struct endpoint *endpoint,
                  const struct endpoint_report *report,
                  int64_t now_ms)
{
  endpoint->cold_stated_ms = now_ms;
  if (report->cold_ms > 0)
    endpoint_note_cold (endpoint, report->cold_ms, now_ms);
  if (report->group[0] == '\0')
    endpoint->cold_until_ms
        = report->cold_ms > 0 ? now_ms + report->cold_ms : 0;
}

enum result
endpoints_report (struct endpoints *endpoints,
                  const char *id,
                  const struct endpoint_report *report,
                  uint64_t revision,
                  int64_t now_ms)
{
  struct endpoint *endpoint = endpoints_find (endpoints, id);
  struct endpoint_report copy = *report;
  char *texts;
  bool was_routed;
  bool keeps_leaving;

  if (endpoint == NULL)
    {
      enum result result = check_id (id);

      if (result != RESULT_OK)
        return result;
      endpoint = add_endpoint (endpoints, id);
    }
  if (endpoint == NULL)
    return RESULT_NO_MEMORY;
  endpoint->not_relisted = false;
  if (revision < endpoint->revision
      || (endpoint->deleted_ms != 0 && revision <= endpoint->deleted_revision))
    return RESULT_OK;
  endpoint_report_init (&copy);
  texts = copy_texts (&copy);
  if (texts == NULL)
    return RESULT_NO_MEMORY;
  /* A list may repeat an entry that stated a time long ago. */
  if (copy.has_cold && revision > endpoint->revision)
    note_stated_cold (endpoint, &copy, now_ms);
  endpoint->deleted_ms = 0;
  endpoints->digest ^= compute_endpoint_digest (endpoint);
  was_routed = endpoint->revision != 0 && endpoint_is_routed (endpoint);
  if (endpoint->report.started_ms != report->started_ms)
    endpoint->leaving_since_ms = 0;
  /* An entry of a restored store may be older than the one that said so. */
  keeps_leaving = endpoint->report.leaving && report->started_ms != 0
                  && endpoint->report.started_ms == report->started_ms;
  endpoint->report = copy;
  free (endpoint->texts);
  endpoint->texts = texts;
  endpoint->report.leaving = report->leaving || keeps_leaving;
  endpoint->revision = revision;
  if (was_routed || endpoint_is_routed (endpoint))
    endpoint->routed_revision = revision;
  endpoints->digest ^= compute_endpoint_digest (endpoint);
  if (report->leaving && endpoint->leaving_since_ms == 0)
    endpoint->leaving_since_ms = now_ms;
  return RESULT_OK;
}

void
endpoint_note_cold (struct endpoint *endpoint, int64_t left_ms, int64_t now_ms)
{
  if (endpoint->cold_until_ms <= now_ms)
    endpoint->cold_since_ms = now_ms;
  if (now_ms + left_ms > endpoint->cold_until_ms)
    endpoint->cold_until_ms = now_ms + left_ms;
}

/* Passes the cold time of a member on to the head of its group. */
static void
spread_to_head (struct endpoints *endpoints,
                const struct endpoint *member,
                int64_t now_ms)
{
  const struct endpoint_report *report = &member->report;

  for (struct endpoint *head = endpoints->table; head != NULL;
       head = head->hh.next)
    if (head->report.rank == 0 && head->report.epoch == report->epoch
        && strcmp (head->report.group, report->group) == 0)
      endpoint_note_cold (head, member->cold_until_ms - now_ms, now_ms);
}

bool
endpoints_spread_cold (struct endpoints *endpoints, int64_t now_ms)
{
  bool has_cold = false;

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->cold_until_ms <= now_ms)
        continue;
      has_cold = true;
      if (endpoint->report.group[0] != '\0' && endpoint->report.rank > 0)
        spread_to_head (endpoints, endpoint, now_ms);
    }
  return has_cold;
}

void
endpoints_delete (struct endpoints *endpoints,
                  const char *id,
                  uint64_t revision,
                  int64_t now_ms)
{
  struct endpoint *endpoint = endpoints_find (endpoints, id);

  if (endpoint == NULL || endpoint->deleted_ms != 0
      || revision < endpoint->revision)
    return;
  endpoint->deleted_ms = now_ms;
  endpoint->deleted_revision = revision;
}

void
endpoints_relist_begin (struct endpoints *endpoints)
{
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    endpoint->not_relisted = true;
}

void
endpoints_relist_end (struct endpoints *endpoints,
                      uint64_t revision,
                      int64_t now_ms)
{
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (endpoint->not_relisted)
      endpoints_delete (endpoints, endpoint->id, revision, now_ms);
}

void
endpoints_hold_deletions (struct endpoints *endpoints, int64_t now_ms)
{
  endpoints->hold_deletions_until_ms = now_ms + REREGISTRATION_LIMIT_MS;
}

void
endpoints_note_restore (struct endpoints *endpoints, int64_t now_ms)
{
  endpoints->restored_until_ms = now_ms + REREGISTRATION_LIMIT_MS;
}

/* True if entries may have expired in an outage while their endpoints run. */
static bool
can_be_outage_effect (const struct endpoints *endpoints, int64_t now_ms)
{
  double deleted_limit
      = OUTAGE_DELETED_SHARE * (double)HASH_COUNT (endpoints->table);
  unsigned deleted = 0;

  if (now_ms < endpoints->restored_until_ms)
    return true;
  if (now_ms >= endpoints->hold_deletions_until_ms)
    return false;
  for (const struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (endpoint->deleted_ms == 0)
        continue;
      deleted++;
      if (now_ms - endpoint->deleted_ms < OUTAGE_DELETIONS_SPAN_MS)
        return true;
    }
  return deleted > deleted_limit;
}

void
endpoints_tick (struct endpoints *endpoints, int64_t now_ms)
{
  struct endpoint *endpoint = endpoints->table;
  struct endpoint *removed = NULL;

  if (can_be_outage_effect (endpoints, now_ms))
    return;
  while (endpoint != NULL)
    {
      struct endpoint *next = endpoint->hh.next;

      if (endpoint->deleted_ms != 0)
        {
          HASH_DELETE (hh, endpoints->table, endpoint);
          endpoint->next_removed = removed;
          removed = endpoint;
        }
      endpoint = next;
    }
  free_removed_endpoints (endpoints, removed);
}

bool
endpoint_is_usable (const struct endpoint *endpoint)
{
#ifdef BREAK_GUARD_EDGE_LEAVING
  return true;
#endif
  return !endpoint->report.leaving;
}

bool
endpoint_has_cached_model (const struct endpoint *endpoint, const char *model)
{
  for (unsigned i = 0; i < endpoint->report.cached_model_count; i++)
    if (strcmp (endpoint->report.cached_models[i], model) == 0)
      return true;
  return false;
}
