#include "vouch.h"

#include "log.h"

#include <stdio.h>
#include <string.h>

/* The entries and the configuration are asked for this often. */
#define ASK_MS 300
/* Questions without an answer before another hub is asked. */
#define UNANSWERED_LIMIT 2
/* Hubs that are asked in turn until one can vouch. */
#define HUB_CHOICES 3
/* The first hub is tried again after this time. */
#define CHOICE_MS 4000
/*
 * If entries differ from the hub's for this long, the endpoints that are routed
 * to are compared: a hub that restarted cannot say what changed before.
 */
#define COMPARE_MS 250
#define COMPARE_PACE_MS 300
/* Sooner after an answer that did not bring both to the same state. */
#define ASK_AGAIN_MS 100

void
vouch_init (struct vouch *vouch,
            struct mesh *mesh,
            struct endpoints *endpoints,
            const struct vouch_hooks *hooks,
            int64_t age_limit_ms)
{
  memset (vouch, 0, sizeof *vouch);
  vouch->age_limit_ms = age_limit_ms;
  vouch->mesh = mesh;
  vouch->endpoints = endpoints;
  vouch->hooks = *hooks;
  vouch->proof_ms = INT64_MIN / 2;
  vouch->entries_ms = INT64_MIN / 2;
  /* Until one has vouched nothing says that others are better off. */
  vouch->hub_blind = true;
}

void
vouch_finish (struct vouch *vouch)
{
  routed_finish (&vouch->routed);
}

void
vouch_bury (struct vouch *vouch, const char *endpoint, uint64_t revision)
{
  struct vouch_tombstone *tombstone
      = &vouch->tombstones[vouch->buried++ % VOUCH_TOMBSTONES];

  snprintf (tombstone->endpoint, sizeof tombstone->endpoint, "%s", endpoint);
  tombstone->revision = revision;
}

/* True if the endpoint was removed by a later change than this revision. */
static bool
is_buried (const struct vouch *vouch, const char *endpoint, uint64_t revision)
{
  uint64_t count
      = vouch->buried < VOUCH_TOMBSTONES ? vouch->buried : VOUCH_TOMBSTONES;

  for (uint64_t i = 0; i < count; i++)
    if (vouch->tombstones[i].revision >= revision
        && strcmp (vouch->tombstones[i].endpoint, endpoint) == 0)
      return true;
  return false;
}

static void
send_report (struct vouch *vouch,
             struct mesh_host *to,
             const struct endpoint *endpoint)
{
  struct gossip_message *message = &vouch->mesh->message;
  struct gossip_report *report = &message->body.report;

  message->kind = GOSSIP_REPORT;
  memcpy (report->endpoint, endpoint->id, sizeof report->endpoint);
  report->revision = endpoint->revision;
  report->report = endpoint->report;
  mesh_send (vouch->mesh, to, message);
}

void
vouch_tell (struct vouch *vouch, const struct endpoint *endpoint)
{
  send_report (vouch, NULL, endpoint);
}

/* An age in a message; what was never proven is older than all limits. */
static uint32_t
age_of (int64_t proof_ms, int64_t now_ms)
{
  int64_t age_ms = now_ms - proof_ms;

  if (age_ms < 0)
    return 0;
  return age_ms < GOSSIP_NEVER_MS ? (uint32_t)age_ms : GOSSIP_NEVER_MS;
}

/* What changed since the asker's revision, then how current that is. */
static void
answer (struct vouch *vouch, struct mesh_host *to, const struct gossip_ask *ask)
{
  struct gossip_message *message = &vouch->mesh->message;
  uint64_t first
      = vouch->buried > VOUCH_TOMBSTONES ? vouch->buried - VOUCH_TOMBSTONES : 0;
  uint64_t nonce = ask->nonce;
  struct vouch_knowledge own;
  bool patched;

  vouch->relied_ms = vouch->now_ms;
  if (!vouch->hooks.own (vouch->hooks.context, &own))
    {
      message->kind = GOSSIP_VOUCH;
      message->body.vouch = (struct gossip_vouch){ .nonce = nonce };
      mesh_send (vouch->mesh, to, message);
      return;
    }
  for (struct endpoint *endpoint = vouch->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (endpoint->routed_revision > ask->revision)
      send_report (vouch, to, endpoint);
  for (uint64_t i = first; i < vouch->buried; i++)
    {
      const struct vouch_tombstone *tombstone
          = &vouch->tombstones[i % VOUCH_TOMBSTONES];

      /* The asker's revision may be the removal's own: see vouch_bury. */
      if (tombstone->revision < ask->revision || ask->revision == 0)
        continue;
      message->kind = GOSSIP_DELETED;
      memcpy (message->body.report.endpoint, tombstone->endpoint,
              sizeof tombstone->endpoint);
      message->body.report.revision = tombstone->revision;
      mesh_send (vouch->mesh, to, message);
    }
  /* Sent first, so that the answer proves what the patch makes. */
  patched
      = vouch->hooks.hand_over (vouch->hooks.context, to, ask->configuration);
  message->kind = GOSSIP_VOUCH;
  message->body.vouch = (struct gossip_vouch){
    .nonce = nonce,
    .patched = patched,
    .configuration = vouch->hooks.configuration (vouch->hooks.context),
    .configuration_age_ms = age_of (own.configuration_ms, vouch->now_ms),
    .entries_age_ms = age_of (own.entries_ms, vouch->now_ms),
    .revision = own.revision,
    .digest = vouch->endpoints->digest,
  };
  mesh_send (vouch->mesh, to, message);
}

/* Which endpoints are routed to, as far as this host knows them all. */
static void
tell_routed (struct vouch *vouch,
             struct mesh_host *to,
             const struct gossip_ask *ask)
{
  struct gossip_message *message = &vouch->mesh->message;
  struct gossip_routed *piece = &message->body.routed;
  uint64_t nonce = ask->nonce;
  struct vouch_knowledge own;

  if (!vouch->hooks.own (vouch->hooks.context, &own))
    return;
  for (uint32_t first = 0;
       routed_piece (vouch->endpoints, first, own.revision, piece);
       first += GOSSIP_ROUTED_COUNT)
    {
      message->kind = GOSSIP_ROUTED;
      piece->nonce = nonce;
      mesh_send (vouch->mesh, to, message);
    }
}

static void
next_hub (struct vouch *vouch)
{
  vouch->choice++;
  vouch->chosen_ms = vouch->now_ms;
}

/* The hub has the same entries. */
static void
note_synced (struct vouch *vouch, const struct gossip_vouch *said)
{
  int64_t entries_ms = vouch->asked_ms - (int64_t)said->entries_age_ms;

  vouch->synced = true;
  if (entries_ms > vouch->entries_ms)
    vouch->entries_ms = entries_ms;
  vouch->differs_ms = 0;
  if (said->revision > vouch->revision)
    vouch->revision = said->revision;
}

static void
take_vouch (struct vouch *vouch, const struct gossip_vouch *said)
{
  int64_t own = vouch->hooks.configuration (vouch->hooks.context);
  int64_t proof_ms = vouch->asked_ms - (int64_t)said->configuration_age_ms;

  if ((int64_t)said->nonce != vouch->asked_ms)
    return;
  vouch->unanswered = 0;
  if (said->revision == 0 || said->configuration_age_ms > vouch->age_limit_ms
      || said->entries_age_ms > vouch->age_limit_ms)
    {
      /* It cannot reach the platform itself. */
      vouch->hub_blind = true;
      next_hub (vouch);
      vouch->ask_ms = vouch->now_ms + ASK_AGAIN_MS;
      return;
    }
  vouch->hub_blind = false;
  if (said->configuration > vouch->newest)
    vouch->newest = said->configuration;
  vouch->patched = said->patched;
  if (vouch->newest <= own)
    vouch->behind_ms = 0;
  else
    {
      if (vouch->behind_ms == 0)
        vouch->behind_ms = vouch->now_ms;
      vouch->ask_ms = vouch->now_ms + ASK_AGAIN_MS;
    }
  if (said->configuration == own && own != 0 && proof_ms > vouch->proof_ms)
    vouch->proof_ms = proof_ms;
  if (said->digest == vouch->endpoints->digest)
    {
      note_synced (vouch, said);
      return;
    }
  if (vouch->differs_ms == 0)
    vouch->differs_ms = vouch->now_ms;
  vouch->ask_ms = vouch->now_ms + ASK_AGAIN_MS;
}

/*
 * Hosts that rely on a hub store routed endpoints only.  A host that needs the
 * others lists them from the platform.
 */
static void
take_report (struct vouch *vouch, const struct gossip_report *report)
{
  bool known = endpoints_find (vouch->endpoints, report->endpoint) != NULL;

  if (vouch->relies && !endpoint_report_is_routed (&report->report))
    endpoints_delete (vouch->endpoints, report->endpoint, report->revision,
                      vouch->now_ms);
  /* A report may arrive after the endpoint is gone. */
  else if (known || !is_buried (vouch, report->endpoint, report->revision))
    endpoints_report (vouch->endpoints, report->endpoint, &report->report,
                      report->revision, vouch->now_ms);
}

void
vouch_take (struct vouch *vouch,
            struct mesh_host *from,
            const struct gossip_message *message,
            int64_t now_ms)
{
  const struct gossip_report *report = &message->body.report;

  vouch->now_ms = now_ms;
  switch (message->kind)
    {
    case GOSSIP_ASK:
      answer (vouch, from, &message->body.ask);
      break;
    case GOSSIP_VOUCH:
      take_vouch (vouch, &message->body.vouch);
      break;
    case GOSSIP_REPORT:
      take_report (vouch, report);
      break;
    case GOSSIP_ASK_ROUTED:
      tell_routed (vouch, from, &message->body.ask);
      break;
    case GOSSIP_ROUTED:
      if ((int64_t)message->body.routed.nonce == vouch->asked_ms
          && routed_take (&vouch->routed, &message->body.routed))
        routed_prune (&vouch->routed, vouch->endpoints, now_ms);
      break;
    case GOSSIP_DELETED:
      endpoints_delete (vouch->endpoints, report->endpoint, report->revision,
                        now_ms);
      break;
    default:
      break;
    }
}

static bool
must_compare (const struct vouch *vouch)
{
  return vouch->differs_ms != 0
         && vouch->now_ms - vouch->differs_ms >= COMPARE_MS
         && vouch->now_ms >= vouch->compare_ms;
}

void
vouch_tick (struct vouch *vouch, bool asks, bool compares, int64_t now_ms)
{
  struct gossip_message *message = &vouch->mesh->message;
  struct mesh_host *hub;

  vouch->now_ms = now_ms;
  vouch->relies = asks && compares;
  if (!asks || now_ms < vouch->ask_ms)
    return;
  if (vouch->unanswered >= UNANSWERED_LIMIT)
    {
      vouch->unanswered = 0;
      next_hub (vouch);
    }
  if (vouch->choice > 0 && now_ms - vouch->chosen_ms > CHOICE_MS)
    vouch->choice = 0;
  hub = mesh_hub (vouch->mesh, vouch->choice % HUB_CHOICES);
  if (hub == NULL)
    {
      /* This host itself may be that hub. */
      next_hub (vouch);
      return;
    }
  vouch->unanswered++;
  vouch->ask_ms = now_ms + ASK_MS;
  vouch->asked_ms = now_ms;
  message->kind = GOSSIP_ASK;
  message->body.ask.nonce = (uint64_t)now_ms;
  message->body.ask.revision = vouch->revision;
  message->body.ask.configuration
      = vouch->hooks.configuration (vouch->hooks.context);
  mesh_send (vouch->mesh, hub, message);
  if (vouch->relies && must_compare (vouch))
    {
      vouch->compare_ms = now_ms + COMPARE_PACE_MS;
      message->kind = GOSSIP_ASK_ROUTED;
      mesh_send (vouch->mesh, hub, message);
    }
}
