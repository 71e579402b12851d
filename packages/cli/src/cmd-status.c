#include "entry.h"
#include "sheet-file.h"
#include "table.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * Returns whether groups, hosts and quarantine of a data centre are shown from
 * this response.  Every daemon of a data centre reports the same, so only one
 * response is shown: that of the lease holder, else the first one.
 */
static bool
is_shown_for_data_centre (struct cli *cli,
                          const struct http_response *responses,
                          size_t index)
{
  const char *data_centre
      = entry_get_text (entry_response_json (&responses[index]), "data_centre");
  size_t first = CLI_ENTRY_LIMIT;

  for (size_t i = 0; i < cli->entry_count; i++)
    {
      const json_t *status = entry_response_json (&responses[i]);
      bool holds_lease = json_is_true (
          json_object_get (json_object_get (status, "lease"), "held"));

      if (status == NULL
          || strcmp (entry_get_text (status, "data_centre"), data_centre) != 0)
        continue;
      if (holds_lease)
        return i == index;
      if (first == CLI_ENTRY_LIMIT)
        first = i;
    }
  return first == index;
}

static void
add_entry_row (struct table *table, const json_t *status)
{
  const json_t *sheet = json_object_get (status, "sheet");
  const json_t *control = json_object_get (status, "control");
  const json_t *assignment = json_object_get (status, "assignment");
  const json_t *lease = json_object_get (status, "lease");
  const json_t *platform = json_object_get (status, "platform");
  bool reachable = json_is_true (json_object_get (platform, "reachable"));

  table_add (table, "%s", entry_get_text (status, "data_centre"));
  table_add (table, "%s%s", entry_get_text (status, "host"),
             json_is_true (json_object_get (status, "draining")) ? " (draining)"
                                                                 : "");
  table_add (table, "%s", entry_get_text (status, "version"));
  table_add (table, "%" PRId64, entry_get_number (sheet, "number"));
  table_add (table, "%" PRId64, entry_get_number (control, "number"));
  table_add (table, "%" PRId64 "/%" PRId64,
             entry_get_number (assignment, "number"),
             entry_get_number (assignment, "fence"));
  table_add (table, "%s%s", entry_get_text (lease, "holder"),
             json_is_true (json_object_get (lease, "held")) ? " (this)" : "");
  table_add (table, "%s", reachable ? "reachable" : "unreachable");
  table_add (table, "%" PRId64, entry_get_number (platform, "clock_skew_ms"));
}

static void
add_group_row (struct table *table, const json_t *group)
{
  const json_t *members = json_object_get (group, "members");
  size_t present_count = 0;
  size_t index;
  const json_t *member;

  json_array_foreach (members, index, member)
    if (json_is_true (json_object_get (member, "present")))
      present_count++;
  table_add (table, "%s", entry_get_text (group, "data_centre"));
  table_add (table, "%s", entry_get_text (group, "id"));
  table_add (table, "%s", entry_get_text (group, "spec"));
  table_add (table, "%s %s", entry_get_text (group, "model"),
             entry_get_text (group, "version"));
  table_add (table, "%s", entry_get_text (group, "domain"));
  table_add (table, "%" PRId64, entry_get_number (group, "generation"));
  table_add (table, "%s", entry_get_text (group, "serving"));
  table_add (table, "%zu of %zu", present_count, json_array_size (members));
}

static void
add_wanted_row (struct table *table,
                const char *data_centre,
                const json_t *wanted)
{
  table_add (table, "%s", data_centre);
  table_add (table, "%s", entry_get_text (wanted, "spec"));
  table_add (table, "%" PRId64, entry_get_number (wanted, "wanted"));
  table_add (table, "%" PRId64, entry_get_number (wanted, "assigned"));
  table_add (table, "%" PRId64, entry_get_number (wanted, "serving"));
  table_add (table, "%s", entry_get_text (wanted, "reason"));
}

static void
add_host_row (struct table *table, const json_t *host)
{
  table_add (table, "%s", entry_get_text (host, "data_centre"));
  table_add (table, "%s", entry_get_text (host, "id"));
  table_add (table, "%s", entry_get_text (host, "domain"));
  table_add (table, "%s%s", entry_get_text (host, "state"),
             json_is_true (json_object_get (host, "leaving")) ? " (leaving)"
                                                              : "");
  table_add (table, "%s", entry_get_text (host, "group"));
}

static void
print_section (const char *title, struct table *table)
{
  if (table->count > table->columns)
    {
      printf ("\n%s\n", title);
      table_print (table, stdout);
    }
  table_finish (table);
}

static void
print_tables (struct cli *cli, const struct http_response *responses)
{
  struct table entries;
  struct table groups;
  struct table wanted;
  struct table hosts;
  struct table quarantine;
  size_t index;
  const json_t *item;

  table_init (&entries, "DATA CENTRE|ENTRY HOST|VERSION|SHEET|CONTROL|"
                        "ASSIGNMENT/FENCE|LEASE HOLDER|PLATFORM|SKEW MS");
  table_init (&groups, "DATA CENTRE|GROUP|SPEC|MODEL|DOMAIN|GENERATION|SERVING|"
                       "PRESENT");
  table_init (&wanted, "DATA CENTRE|SPEC|WANTED|ASSIGNED|SERVING|REASON");
  table_init (&hosts, "DATA CENTRE|HOST|DOMAIN|STATE|GROUP");
  table_init (&quarantine, "DATA CENTRE|FINGERPRINT|STRIKES");
  for (size_t i = 0; i < cli->entry_count; i++)
    {
      const json_t *status = entry_response_json (&responses[i]);
      const char *data_centre = entry_get_text (status, "data_centre");

      if (status == NULL)
        continue;
      add_entry_row (&entries, status);
      if (!is_shown_for_data_centre (cli, responses, i))
        continue;
      json_array_foreach (json_object_get (status, "groups"), index, item)
        add_group_row (&groups, item);
      json_array_foreach (json_object_get (status, "wanted"), index, item)
        add_wanted_row (&wanted, data_centre, item);
      json_array_foreach (json_object_get (status, "hosts"), index, item)
        add_host_row (&hosts, item);
      json_array_foreach (json_object_get (status, "quarantine"), index, item)
        {
          table_add (&quarantine, "%s", data_centre);
          table_add (&quarantine, "%s", entry_get_text (item, "fingerprint"));
          table_add (&quarantine, "%" PRId64,
                     entry_get_number (item, "strikes"));
        }
    }
  table_print (&entries, stdout);
  table_finish (&entries);
  print_section ("Wanted groups", &wanted);
  print_section ("Groups", &groups);
  print_section ("Hosts", &hosts);
  print_section ("Quarantined requests", &quarantine);
}

enum cli_exit
cmd_status (struct cli *cli)
{
  struct http_response responses[CLI_ENTRY_LIMIT];
  size_t unreachable_count;

  entry_query_all (cli, "/status", responses);
  if (cli->json)
    {
      json_t *array = json_array ();

      for (size_t i = 0; i < cli->entry_count; i++)
        json_array_append_new (
            array, json_pack ("{s:s, s:O?}", "entry", cli->entries[i].text,
                              "status", entry_response_json (&responses[i])));
      json_print (array);
    }
  else
    print_tables (cli, responses);
  unreachable_count = entry_print_unreachable (cli, responses);
  entry_finish_all (cli, responses);
  return unreachable_count > 0 ? CLI_UNREACHABLE : CLI_GOOD;
}
