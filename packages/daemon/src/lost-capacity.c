#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LABELS_SIZE (SHEET_NAME_SIZE + 16)

/*
 * True on one entry host per data centre.  Only this one counts, so that a sum
 * over the entry hosts includes each downtime and stranded accelerator once.
 */
static bool
is_counting_host (const struct daemon *daemon)
{
  const struct member_update *self = &daemon->members.self;

  return member_rank (&daemon->members, self->data_centre, self->host, "losses")
         == 0;
}

static unsigned
count_serving_groups (const struct daemon *daemon, const char *spec)
{
  unsigned serving = 0;

  for (const struct fleet_group *group = daemon->fleet.groups; group != NULL;
       group = group->hh.next)
    if (strcmp (group->spec, spec) == 0
        && fleet_group_serving_state (&daemon->fleet, group, daemon->now_ms)
               == FLEET_SERVING)
      serving++;
  return serving;
}

unsigned *
daemon_compute_wanted_groups (const struct daemon *daemon)
{
  const struct sheet *sheet = &daemon->config.sheet;
  size_t count = sheet->group_count;
  /* First the groups for this data centre, then the unplaced ones. */
  unsigned *wanted = calloc (2 * count + 1, sizeof *wanted);

  if (wanted == NULL)
    return NULL;
  if (placement_divide_groups (sheet, &daemon->fleet,
                               daemon->members.self.data_centre, wanted,
                               wanted + count)
      != RESULT_OK)
    {
      free (wanted);
      return NULL;
    }
  for (size_t i = 0; i < count; i++)
    wanted[i] += wanted[count + i];
  return wanted;
}

static void
count_downtime (struct daemon *daemon, int64_t elapsed_ms)
{
  const struct sheet *sheet = &daemon->config.sheet;
  unsigned *wanted = daemon_compute_wanted_groups (daemon);

  for (size_t i = 0; wanted != NULL && i < sheet->group_count; i++)
    {
      unsigned serving = count_serving_groups (daemon, sheet->groups[i].name);
      unsigned missing = serving < wanted[i] ? wanted[i] - serving : 0;
      char labels[LABELS_SIZE];

      snprintf (labels, sizeof labels, "spec=\"%s\"", sheet->groups[i].name);
      counter_add (&daemon->counters, "waxwing_group_downtime_ms_total", labels,
                   (double)missing * (double)elapsed_ms);
    }
  free (wanted);
}

static bool
is_in_serving_group (const struct daemon *daemon, const struct fleet_host *host)
{
  const struct fleet_group *group
      = fleet_find_group (&daemon->fleet, host->attested.group);

  return group != NULL
         && fleet_group_serving_state (&daemon->fleet, group, daemon->now_ms)
                == FLEET_SERVING;
}

static void
count_stranded_accelerators (struct daemon *daemon, int64_t elapsed_ms)
{
  double stranded = 0;

  for (const struct fleet_host *host = daemon->fleet.hosts; host != NULL;
       host = host->hh.next)
    if (!host->is_service && fleet_host_is_present (host, daemon->now_ms)
        && strcmp (host->data_centre, daemon->members.self.data_centre) == 0
        && !is_in_serving_group (daemon, host))
      stranded += host->accelerators;
  counter_add (&daemon->counters, "waxwing_stranded_accelerator_ms_total", NULL,
               stranded * (double)elapsed_ms);
  counter_put (&daemon->counters, "waxwing_stranded_accelerators", NULL,
               stranded);
}

void
daemon_count_lost_capacity (struct daemon *daemon, int64_t elapsed_ms)
{
  if (daemon->config.sheet.number == 0 || !is_counting_host (daemon))
    return;
  count_downtime (daemon, elapsed_ms);
  count_stranded_accelerators (daemon, elapsed_ms);
}
