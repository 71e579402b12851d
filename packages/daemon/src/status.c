#include "daemon.h"

#include "sheet-version.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

/*
 * Maximum age of the last successful platform call; longer than one watch call
 * (CONFIG_WATCH_TIMEOUT_MS).
 */
#define PLATFORM_REACHABLE_LIMIT_MS 15000

static const char *
get_engine_state_name (enum fleet_engine_state state)
{
  switch (state)
    {
    case FLEET_ENGINE_IDLE:
      return "idle";
    case FLEET_ENGINE_LOADING:
      return "loading";
    case FLEET_ENGINE_READY:
      return "ready";
    case FLEET_ENGINE_UNKNOWN:
      break;
    }
  return "unknown";
}

static json_t *
peers_to_json (const struct daemon *daemon)
{
  json_t *list = json_array ();

  for (const struct member *member = daemon->members.members; member != NULL;
       member = member->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:I}", "host", member->info.host,
                         "data_centre", member->info.data_centre, "state",
                         member_state_name (member->info.state), "sheet_number",
                         (json_int_t)member->versions.sheet));
  return list;
}

static json_t *
members_to_json (const struct daemon *daemon, const struct fleet_group *group)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < group->member_count; i++)
    {
      const struct fleet_host *host
          = fleet_find_host (&daemon->fleet, group->members[i]);
      bool present
          = host != NULL && fleet_host_is_present (host, daemon->now_ms);

      json_array_append_new (
          list,
          json_pack ("{s:s, s:b, s:s}", "host", group->members[i], "present",
                     present, "state",
                     get_engine_state_name (present ? host->attested.state
                                                    : FLEET_ENGINE_UNKNOWN)));
    }
  return list;
}

static json_t *
groups_to_json (const struct daemon *daemon)
{
  json_t *list = json_array ();

  for (const struct fleet_group *group = daemon->fleet.groups; group != NULL;
       group = group->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:o}", "id",
                         group->id, "spec", group->spec, "model", group->model,
                         "version", group->version, "data_centre",
                         group->data_centre, "domain", group->domain,
                         "generation", (json_int_t)group->generation, "serving",
                         fleet_serving_name (fleet_group_serving_state (
                             &daemon->fleet, group, daemon->now_ms)),
                         "members", members_to_json (daemon, group)));
  return list;
}

static const char *
get_host_state_name (const struct daemon *daemon, const struct fleet_host *host)
{
  if (!fleet_host_is_present (host, daemon->now_ms))
    return "absent";
  return get_engine_state_name (host->attested.state);
}

static json_t *
hosts_to_json (const struct daemon *daemon)
{
  json_t *list = json_array ();

  for (const struct fleet_host *host = daemon->fleet.hosts; host != NULL;
       host = host->hh.next)
    {
      /* The state of hosts in other data centres is not known here. */
      if (strcmp (host->data_centre, daemon->members.self.data_centre) != 0)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:s, s:s, s:b}", "id", host->id,
                     "data_centre", host->data_centre, "domain", host->domain,
                     "state", get_host_state_name (daemon, host), "group",
                     host->attested.group, "leaving",
                     fleet_host_is_leaving (host)));
    }
  return list;
}

static const char *
get_placement_reason (const struct daemon *daemon, const char *spec)
{
  const struct placement *placement = &daemon->controller.placement;

  for (size_t i = 0; i < placement->decision_count; i++)
    if (strcmp (placement->decisions[i].spec, spec) == 0)
      return placement->decisions[i].reason;
  return "";
}

static json_t *
spec_to_json (const struct daemon *daemon, const char *spec, unsigned wanted)
{
  unsigned assigned = 0;
  unsigned serving = 0;

  for (const struct fleet_group *group = daemon->fleet.groups; group != NULL;
       group = group->hh.next)
    if (strcmp (group->spec, spec) == 0)
      {
        assigned++;
        serving
            += fleet_group_serving_state (&daemon->fleet, group, daemon->now_ms)
               == FLEET_SERVING;
      }
  return json_pack ("{s:s, s:i, s:i, s:i, s:s}", "spec", spec, "wanted",
                    (int)wanted, "assigned", (int)assigned, "serving",
                    (int)serving, "reason",
                    get_placement_reason (daemon, spec));
}

/* Compares the groups that are wanted in this data centre with those that are
 * assigned and serving, per group row of the sheet. */
static json_t *
wanted_to_json (const struct daemon *daemon)
{
  const struct sheet *sheet = &daemon->config.sheet;
  unsigned *wanted = daemon_compute_wanted_groups (daemon);
  json_t *list = json_array ();

  for (size_t i = 0; wanted != NULL && i < sheet->group_count; i++)
    json_array_append_new (
        list, spec_to_json (daemon, sheet->groups[i].name, wanted[i]));
  free (wanted);
  return list;
}

static json_t *
quarantine_to_json (const struct daemon *daemon)
{
  json_t *list = json_array ();

  for (const struct strike_entry *entry = daemon->strikes.entries;
       entry != NULL; entry = entry->hh.next)
    {
      unsigned strikes
          = strikes_count (&daemon->strikes, entry->trait, daemon->now_ms);

      if (strikes > 0)
        json_array_append_new (list, json_pack ("{s:s, s:i}", "fingerprint",
                                                entry->trait, "strikes",
                                                (int)strikes));
    }
  return list;
}

static json_t *
sheet_status_to_json (const struct daemon *daemon)
{
  const struct sheet *sheet = &daemon->config.sheet;

  return json_pack ("{s:I, s:s}", "number", (json_int_t)sheet->number, "hash",
                    sheet->history_count > 0 ? sheet->history[0].hash : "");
}

static json_t *
platform_status_to_json (const struct daemon *daemon)
{
  const struct platform *platform = &daemon->platform;
  bool reachable = platform->last_success_boot_ms != INT64_MIN
                   && daemon->now_ms - platform->last_success_boot_ms
                          < PLATFORM_REACHABLE_LIMIT_MS;

  return json_pack ("{s:b, s:I}", "reachable", reachable, "clock_skew_ms",
                    (json_int_t)platform->clock_skew_ms);
}

static json_t *
lease_status_to_json (const struct daemon *daemon)
{
  return json_pack ("{s:s, s:b, s:I}", "holder",
                    daemon->controller.lease.value.holder, "held",
                    controller_is_holder (&daemon->controller, daemon->now_ms),
                    "fence", (json_int_t)daemon->controller.lease.value.fence);
}

json_t *
daemon_status_to_json (const struct daemon *daemon)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:o, s:{s:I}, s:{s:I, s:I}, s:o, s:o, s:o, "
      "s:o, s:o, s:o, s:o}",
      "host", daemon->members.self.host, "data_centre",
      daemon->members.self.data_centre, "boot_id", daemon->boot_id, "version",
      WAXWINGLINK_VERSION, "draining", daemon->phase != DAEMON_RUNNING, "sheet",
      sheet_status_to_json (daemon), "control", "number",
      (json_int_t)daemon->config.objects[PEER_CONTROL].number, "assignment",
      "number", (json_int_t)daemon->fleet.assignment_number, "fence",
      (json_int_t)daemon->fleet.assignment_fence, "lease",
      lease_status_to_json (daemon), "platform",
      platform_status_to_json (daemon), "peers", peers_to_json (daemon),
      "groups", groups_to_json (daemon), "hosts", hosts_to_json (daemon),
      "wanted", wanted_to_json (daemon), "quarantine",
      quarantine_to_json (daemon));
}
