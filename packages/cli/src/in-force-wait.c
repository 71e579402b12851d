#include "in-force-wait.h"

#include "entry.h"
#include "table.h"
#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>

/* A small part of the 3 s in which a change should be in force. */
#define POLL_INTERVAL_MS 100

/* Time after which unreachable data centres end the wait. */
#define UNREACHABLE_GRACE_MS 3000

enum result
in_force_query (struct cli *cli,
                enum in_force_object object,
                uint64_t number,
                struct in_force *in_force)
{
  struct http_response responses[CLI_ENTRY_LIMIT];
  const json_t *statuses[CLI_ENTRY_LIMIT];
  enum result result;

  entry_query_all (cli, "/status", responses);
  for (size_t i = 0; i < cli->entry_count; i++)
    statuses[i] = entry_response_json (&responses[i]);
  result
      = in_force_update (in_force, object, number, statuses, cli->entry_count);
  entry_finish_all (cli, responses);
  return result;
}

enum result
in_force_wait (struct cli *cli,
               enum in_force_object object,
               uint64_t number,
               struct in_force *in_force,
               int64_t *waited_ms)
{
  int64_t start_ms = time_boot_ms ();

  for (;;)
    {
      enum result result = in_force_query (cli, object, number, in_force);
      size_t pending = in_force_count (in_force, IN_FORCE_PENDING);
      size_t unknown = in_force_count (in_force, IN_FORCE_UNKNOWN);

      *waited_ms = time_boot_ms () - start_ms;
      if (result != RESULT_OK || (pending == 0 && unknown == 0)
          || *waited_ms >= cli->wait_ms
          || (pending == 0 && *waited_ms >= UNREACHABLE_GRACE_MS))
        return result;
      http_wait (cli->base, POLL_INTERVAL_MS);
    }
}

void
in_force_print (const struct in_force *in_force,
                enum in_force_object object,
                uint64_t number)
{
  const char *object_name
      = object == IN_FORCE_SHEET ? "sheet" : "control object";
  struct table table;

  table_init (&table, "DATA CENTRE|STATE|DAEMONS|WITHOUT IT");
  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_data_centre *centre = &in_force->data_centres[i];

      table_add (&table, "%s", centre->data_centre);
      table_add (&table, "%s%s", in_force_state_name (centre->state),
                 centre->reported_by_peers && centre->live_count > 0
                     ? " (reported by peers)"
                     : "");
      table_add (&table, "%u of %u", centre->current_count, centre->live_count);
      table_add (&table, "%s", centre->lagging_hosts);
    }
  table_print (&table, stdout);
  table_finish (&table);
  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_data_centre *centre = &in_force->data_centres[i];

      if (centre->state == IN_FORCE_UNKNOWN)
        printf ("%s cannot be reached: whether %s %" PRIu64
                " is in force there is unknown. It goes on with the last one"
                " it has, which may be older, and adopts %" PRIu64
                " once it is reached again.\n",
                centre->data_centre, object_name, number, number);
      else if (centre->state == IN_FORCE_PENDING)
        printf ("%s is pending: a live daemon still has %s %" PRIu64 ".\n",
                centre->data_centre, object_name, centre->lowest_number);
    }
}

json_t *
in_force_to_json (const struct in_force *in_force)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_data_centre *centre = &in_force->data_centres[i];

      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:i, s:i, s:I, s:b, s:s}",
                            "data_centre", centre->data_centre, "state",
                            in_force_state_name (centre->state), "live",
                            (int)centre->live_count, "have",
                            (int)centre->current_count, "lowest",
                            (json_int_t)centre->lowest_number, "by_peers",
                            (int)centre->reported_by_peers, "lagging",
                            centre->lagging_hosts));
    }
  return array;
}

enum cli_exit
in_force_exit_status (const struct in_force *in_force)
{
  return in_force_count (in_force, IN_FORCE_YES) == in_force->count
             ? CLI_GOOD
             : CLI_REFUSED;
}
