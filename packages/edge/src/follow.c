#include "edge.h"
#include "log.h"

#include <string.h>

/*
 * One watch of the configuration lasts this long: each answer proves that the
 * configuration is current, and keys need such a proof every few seconds.
 */
#define CONFIGURATION_WAIT_MS 1500
#define CONFIGURATION_PACE_MS 20
#define ENTRIES_WAIT_MS 10000
/* Changes of the endpoints gather for this long, to save calls. */
#define ENTRIES_PACE_MS 200

static void
on_configuration (void *context, const struct records_record *record)
{
  struct edge *edge = context;
  struct catalog *catalog;
  enum result result;

  if (record->deleted || strcmp (record->name, edge->adapter->configuration))
    return;
  result = edge->adapter->decode_catalog (record->value, &catalog);
  if (result != RESULT_OK)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "configuration-refused",
                 LOG_INT ("code", result),
                 LOG_U64 ("revision", record->revision));
      return;
    }
  relay_set_catalog (&edge->relay, catalog);
}

static void
log_entry (const char *id,
           const struct endpoint_report *report,
           uint64_t revision)
{
  LOG_EVENT (LOG_LEVEL_DEBUG, "endpoint", LOG_STR ("endpoint", id),
             LOG_STR ("service", report->service),
             LOG_STR ("domain", report->domain),
             LOG_STR ("model", report->model),
             LOG_STR ("staged", report->staged[0]),
             LOG_STR ("group", report->group), LOG_U64 ("epoch", report->epoch),
             LOG_U64 ("rank", report->rank),
             LOG_STR ("state", endpoint_group_state_name (report->state)),
             LOG_STR ("leaving", report->leaving ? "yes" : "no"),
             LOG_U64 ("revision", revision));
}

static void
on_entry (void *context, const struct records_record *record)
{
  struct edge *edge = context;
  struct endpoint_report report;
  enum result result;

  if (record->deleted)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "endpoint-deleted",
                 LOG_STR ("endpoint", record->name),
                 LOG_U64 ("revision", record->revision));
      endpoints_delete (&edge->endpoints, record->name, edge->now_ms);
      return;
    }
  result = edge->adapter->decode_endpoint (record->value, &report);
  if (result != RESULT_OK)
    {
      LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-entry-skipped",
                 LOG_STR ("endpoint", record->name), LOG_INT ("code", result),
                 LOG_U64 ("revision", record->revision));
      return;
    }
  log_entry (record->name, &report, record->revision);
  endpoints_report (&edge->endpoints, record->name, &report, record->revision,
                    edge->now_ms);
  /* The holder of the lease reads its own data centre soonest. */
  if (edge->leader.acting
      && strcmp (report.data_centre, edge->settings.data_centre) == 0)
    mesh_send_report (&edge->mesh, record->name, &report, record->revision);
}

static void
entries_begin (void *context)
{
  struct edge *edge = context;

  endpoints_relist_begin (&edge->endpoints);
}

static void
entries_end (void *context)
{
  struct edge *edge = context;

  endpoints_relist_end (&edge->endpoints, edge->now_ms);
}

static void
entries_regained (void *context, int64_t away_ms)
{
  struct edge *edge = context;

  (void)away_ms;
  endpoints_distrust (&edge->endpoints, edge->now_ms);
}

static void
ignore_list (void *context)
{
  (void)context;
}

void
edge_follow_init (struct edge *edge)
{
  const struct follower_hooks configuration = {
    .context = edge,
    .record = on_configuration,
    .list_begin = ignore_list,
    .list_end = ignore_list,
  };
  const struct follower_hooks entries = {
    .context = edge,
    .record = on_entry,
    .list_begin = entries_begin,
    .list_end = entries_end,
    .regained = entries_regained,
  };

  follower_init (&edge->configuration, &edge->records, RECORDS_CONFIGURATION,
                 "configuration", &configuration, CONFIGURATION_WAIT_MS,
                 CONFIGURATION_PACE_MS);
  follower_init (&edge->entries, &edge->records, RECORDS_ENDPOINTS,
                 "endpoints", &entries, ENTRIES_WAIT_MS, ENTRIES_PACE_MS);
}
