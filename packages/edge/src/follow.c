#include "edge.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

#define CONFIGURATION_PACE_MS 20
#define ENTRIES_WAIT_MS 500
/* Changes of the endpoints gather while orders await their effect there. */
#define ENTRIES_BUSY_PACE_MS 200
/* A read of the configuration alone, and the least time between two. */
#define FETCH_MS 1200
#define FETCH_PACE_MS 600
/*
 * A host whose hub proves nothing new reads the platform itself this long
 * before changes are to be in force: a list of several pages and a watch.
 */
#define PROOF_MARGIN_MS 400
/* A new host waits this long for a hub to bring it up to date. */
#define START_MS 1500
/*
 * Entries that differ from a hub's are read anew this long before a change is
 * to be in force; a list takes up to 0.2 s.
 */
#define DIFFERS_MARGIN_MS 500
/*
 * While the platform is away readers try it this often.  The others learn of
 * its return from them, and try it themselves only now and then.
 */
#define READER_RETRY_MS 800
#define OTHER_RETRY_MS 3200
/*
 * A patch that a hub says to have sent is waited for this long: one question
 * more, should a datagram be lost.
 */
#define PATCH_WAIT_MS 250
/*
 * While reads of both the configuration and the endpoints fail, only the first
 * are tried, and the others each so many times as rarely.
 */
#define ENTRIES_RETRY_PART 4
/* A host that others ask reads the platform for so long. */
#define RELIED_MS 2000

/*
 * Puts a configuration in force; its text, NULL if there was no memory for it,
 * is kept for other hosts.
 */
static void
set_configuration (struct edge *edge,
                   const json_t *value,
                   uint64_t revision,
                   char *text,
                   size_t size)
{
  struct catalog *catalog;
  enum result result = edge->adapter->decode_catalog (value, &catalog);

  if (result != RESULT_OK)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "configuration-refused",
                 LOG_INT ("code", result), LOG_U64 ("revision", revision));
      free (text);
      return;
    }
  edge->handover.serves = mesh_is_hub (&edge->mesh);
  if (text != NULL)
    handover_keep (&edge->handover, catalog->version, revision, text, size);
  relay_set_catalog (&edge->relay, catalog);
}

static void
on_configuration (void *context, const struct records_record *record)
{
  struct edge *edge = context;
  char *text;

  if (record->deleted
      || strcmp (record->name, edge->adapter->configuration) != 0)
    return;
  text = json_dumps (record->value, JSON_COMPACT);
  if (text == NULL)
    LOG_EVENT (LOG_LEVEL_WARNING, "configuration-not-kept",
               LOG_U64 ("revision", record->revision));
  set_configuration (edge, record->value, record->revision, text,
                     text != NULL ? strlen (text) : 0);
}

void
edge_take_patch (struct edge *edge, const struct gossip_patch *piece)
{
  int64_t before = relay_catalog_version (&edge->relay);
  json_t *value;
  char *text;
  size_t size;

  if (piece->from != before
      || handover_take (&edge->handover, piece, &text, &size) != RESULT_OK
      || text == NULL)
    return;
  value = json_loadb (text, size, 0, NULL);
  set_configuration (edge, value, piece->revision, text, size);
  json_decref (value);
  /* A host that becomes a reader goes on from here. */
  if (relay_catalog_version (&edge->relay) > before && !edge->direct)
    follower_resume (&edge->configuration, piece->revision,
                     edge->configuration.proof_ms);
}

static void
log_entry (const char *id,
           const struct endpoint_report *report,
           uint64_t revision)
{
  LOG_EVENT (
      LOG_LEVEL_DEBUG, "endpoint", LOG_STR ("endpoint", id),
      LOG_STR ("service", report->service), LOG_STR ("domain", report->domain),
      LOG_STR ("model", report->model), LOG_STR ("staged", report->staged[0]),
      LOG_STR ("group", report->group), LOG_U64 ("epoch", report->epoch),
      LOG_U64 ("rank", report->rank),
      LOG_STR ("state", endpoint_group_state_name (report->state)),
      LOG_STR ("leaving", report->leaving ? "yes" : "no"),
      LOG_U64 ("revision", revision));
}

/*
 * The holder of the lease reads its own data centre soonest.  Others route by
 * the heads of groups and by endpoints that leave; the rest can wait.
 */
static void
tell_others (struct edge *edge,
             const char *id,
             const struct endpoint_report *report)
{
  const struct endpoint *endpoint = endpoints_find (&edge->endpoints, id);

  if (endpoint != NULL && edge->leader.acting
      && strcmp (report->data_centre, edge->settings.data_centre) == 0
      && (report->leaving
          || (report->rank == 0 && report->state >= ENDPOINT_GROUP_OPEN)))
    vouch_tell (&edge->vouch, endpoint);
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
      /*
       * The record bears the revision of its last change before that.  The
       * same answer may go on with the entry's return.
       */
      endpoints_delete (&edge->endpoints, record->name, record->revision,
                        edge->now_ms);
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
  tell_others (edge, record->name, &report);
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

  endpoints_relist_end (&edge->endpoints, edge->entries.revision, edge->now_ms);
  edge->knows_all = edge->direct;
  edge->relisting = false;
}

static void
entries_regained (void *context, int64_t away_ms)
{
  struct edge *edge = context;

  (void)away_ms;
  endpoints_distrust (&edge->endpoints, edge->now_ms);
}

static void
configuration_regained (void *context, int64_t away_ms)
{
  struct edge *edge = context;

  (void)away_ms;
  /* The platform is back, for the endpoints too. */
  if (edge->entries.failing_since_ms != 0)
    edge->entries.next_ms = edge->now_ms;
}

void
edge_follow_init (struct edge *edge)
{
  const struct follower_hooks configuration = {
    .context = edge,
    .record = on_configuration,
    .regained = configuration_regained,
  };
  const struct follower_hooks entries = {
    .context = edge,
    .record = on_entry,
    .list_begin = entries_begin,
    .list_end = entries_end,
    .regained = entries_regained,
  };

  follower_init (&edge->configuration, &edge->records, RECORDS_CONFIGURATION,
                 "configuration", &configuration,
                 edge_configuration_wait_ms (&edge->settings),
                 CONFIGURATION_PACE_MS);
  follower_init (&edge->entries, &edge->records, RECORDS_ENDPOINTS, "endpoints",
                 &entries, ENTRIES_WAIT_MS,
                 edge_entries_pace_ms (&edge->settings));
}

static void
on_fetched (void *context, const struct records_answer *answer)
{
  struct edge *edge = context;

  edge->fetching = false;
  if (answer->result != RESULT_OK || answer->record == NULL)
    return;
  on_configuration (edge, answer->record);
  if (edge->fetched_ms > edge->vouch.proof_ms)
    edge->vouch.proof_ms = edge->fetched_ms;
  /* A host that becomes a reader goes on from here, without another read. */
  if (!edge->direct || edge->configuration.state == FOLLOWER_LISTING)
    follower_resume (&edge->configuration, answer->revision, edge->fetched_ms);
}

/*
 * Reads the configuration once: at the start, when no hub is known yet, and
 * after a hub said that there is a newer one.
 */
static void
fetch_configuration (struct edge *edge)
{
  const struct records_request request = {
    .verb = RECORDS_READ,
    .kind = RECORDS_CONFIGURATION,
    .name = edge->adapter->configuration,
  };

  if (edge->fetching || edge->now_ms < edge->fetch_ms)
    return;
  edge->fetching = true;
  edge->fetched_ms = edge->now_ms;
  edge->fetch_ms = edge->now_ms + FETCH_PACE_MS;
  records_call (&edge->records, &request, FETCH_MS, on_fetched, edge);
}

static int64_t
entries_proof_ms (const struct edge *edge)
{
  return edge->entries.proof_ms > edge->vouch.entries_ms
             ? edge->entries.proof_ms
             : edge->vouch.entries_ms;
}

bool
edge_is_candidate (const struct edge *edge)
{
  if (!mesh_is_settled (&edge->mesh))
    return false;
  return mesh_is_hub (&edge->mesh)
         || (edge->direct && edge->configuration.failing_since_ms == 0
             && edge->entries.failing_since_ms == 0
             && edge->entries.state == FOLLOWER_WATCHING);
}

static bool
has_to_list (const struct edge *edge)
{
  return edge->vouch.differs_ms != 0
         && edge->now_ms - edge->vouch.differs_ms
                > edge->settings.endpoints_leave_ms - DIFFERS_MARGIN_MS;
}

/* Whether this host has to read the platform itself. */
static bool
must_be_direct (const struct edge *edge)
{
  const struct vouch *vouch = &edge->vouch;
  const struct edge_settings *settings = &edge->settings;

  if (edge->leader.acting)
    return true;
  if (!mesh_is_settled (&edge->mesh))
    return false;
  /* A list that was begun since entries differ is read to its end. */
  if (mesh_is_reader (&edge->mesh) || edge->relisting
      || edge->now_ms - vouch->relied_ms < RELIED_MS)
    return true;
  if (edge->now_ms - edge->mesh.started_ms < START_MS)
    return false;
  return edge->now_ms - edge->relay.catalog_proof_ms
             > settings->configuration_in_force_ms - PROOF_MARGIN_MS
         || edge->now_ms - entries_proof_ms (edge)
                > settings->endpoints_leave_ms - PROOF_MARGIN_MS
         || has_to_list (edge);
}

static void
set_direct (struct edge *edge, bool direct)
{
  struct follower *entries = &edge->entries;

  if (direct == edge->direct)
    return;
  edge->direct = direct;
  LOG_EVENT (
      LOG_LEVEL_INFO, direct ? "reads-platform" : "relies-on-hub",
      LOG_INT ("proof_age_ms", edge->now_ms - edge->relay.catalog_proof_ms),
      LOG_INT ("entries_age_ms", edge->now_ms - entries_proof_ms (edge)),
      LOG_INT ("differs_ms", edge->vouch.differs_ms != 0
                                 ? edge->now_ms - edge->vouch.differs_ms
                                 : 0),
      LOG_U64 ("revision", edge->vouch.revision));
  if (!direct)
    {
      /* From now on only endpoints that are routed to are kept up to date. */
      edge->knows_all = false;
      return;
    }
  /* Goes on from where the hub has brought this host. */
  if (edge->vouch.synced && edge->vouch.revision > entries->revision)
    follower_resume (entries, edge->vouch.revision, edge->vouch.entries_ms);
  if (has_to_list (edge))
    {
      follower_relist (entries);
      edge->relisting = true;
      edge->vouch.differs_ms = 0;
    }
}

/* The holder of the lease has to know all endpoints. */
static void
read_all (struct edge *edge)
{
  if (!edge->leader.acting || edge->knows_all
      || edge->entries.state == FOLLOWER_LISTING)
    return;
  follower_relist (&edge->entries);
}

/* Only who waits for the effect of orders has to know changes soon. */
static void
pace_entries (struct edge *edge)
{
  bool busy
      = edge->leader.acting && !formation_is_settled (&edge->leader.formation);

  follower_set_pace (&edge->entries,
                     busy ? ENTRIES_BUSY_PACE_MS
                          : edge_entries_pace_ms (&edge->settings));
}

static bool
may_read_entries (const struct edge *edge, int64_t retry_ms)
{
  return edge->configuration.failing_since_ms == 0
         || edge->entries.failing_since_ms == 0
         || edge->now_ms - edge->entries.sent_ms
                >= ENTRIES_RETRY_PART * retry_ms;
}

void
edge_follow_tick (struct edge *edge)
{
  int64_t retry_ms = mesh_is_reader (&edge->mesh) || edge->leader.acting
                         ? READER_RETRY_MS
                         : OTHER_RETRY_MS;

  edge->configuration.retry_limit_ms = retry_ms;
  edge->entries.retry_limit_ms = retry_ms;
  if (edge->entries.failing_since_ms != 0)
    edge->relisting = false;
  set_direct (edge, must_be_direct (edge));
  read_all (edge);
  pace_entries (edge);
  if (edge->fetch_ms == 0)
    fetch_configuration (edge);
  if (edge->direct)
    {
      /* The first read saves a list; a later one may hang, and this not. */
      if (!edge->fetching || edge->relay.catalog != NULL)
        follower_tick (&edge->configuration, edge->now_ms);
      if (may_read_entries (edge, retry_ms))
        follower_tick (&edge->entries, edge->now_ms);
    }
  else if (edge->vouch.newest > relay_catalog_version (&edge->relay)
           && (!edge->vouch.patched
               || edge->now_ms - edge->vouch.behind_ms > PATCH_WAIT_MS))
    fetch_configuration (edge);
  /* A reader that fails may still hear from others how things stand. */
  vouch_tick (&edge->vouch,
              !edge->direct || edge->configuration.failing_since_ms != 0
                  || edge->entries.failing_since_ms != 0,
              !edge->direct || edge->entries.failing_since_ms != 0,
              edge->now_ms);
  edge->relay.others_serve = !edge->vouch.hub_blind;
  edge->relay.catalog_proof_ms
      = edge->configuration.proof_ms > edge->vouch.proof_ms
            ? edge->configuration.proof_ms
            : edge->vouch.proof_ms;
}
