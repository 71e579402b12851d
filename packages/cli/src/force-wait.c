#include "force-wait.h"

#include "entry.h"
#include "table.h"
#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>

/* The target for a change to be in force is 3 s; polls are a small part. */
#define POLL_MS 100
#define UNREACHABLE_GRACE_MS 3000

enum result
force_ask (struct cli *cli,
           enum in_force_subject subject,
           uint64_t number,
           struct in_force *in_force)
{
  struct http_answer answers[CLI_ENTRY_LIMIT];
  const json_t *statuses[CLI_ENTRY_LIMIT];
  enum result result;

  entry_fetch_all (cli, "/status", answers);
  for (size_t i = 0; i < cli->entry_count; i++)
    statuses[i] = entry_json (&answers[i]);
  result
      = in_force_update (in_force, subject, number, statuses, cli->entry_count);
  entry_finish_all (cli, answers);
  return result;
}

enum result
force_wait (struct cli *cli,
            enum in_force_subject subject,
            uint64_t number,
            struct in_force *in_force,
            int64_t *waited_ms)
{
  int64_t start_ms = time_boot_ms ();

  for (;;)
    {
      enum result result = force_ask (cli, subject, number, in_force);
      size_t pending = in_force_count (in_force, IN_FORCE_PENDING);
      size_t unknown = in_force_count (in_force, IN_FORCE_UNKNOWN);

      *waited_ms = time_boot_ms () - start_ms;
      if (result != RESULT_OK || (pending == 0 && unknown == 0)
          || *waited_ms >= cli->wait_ms
          || (pending == 0 && *waited_ms >= UNREACHABLE_GRACE_MS))
        return result;
      http_pause (cli->base, POLL_MS);
    }
}

void
force_print (const struct in_force *in_force,
             enum in_force_subject subject,
             uint64_t number)
{
  const char *what = subject == IN_FORCE_SHEET ? "sheet" : "control object";
  struct table table;

  table_init (&table, "DATA CENTRE|STATE|DAEMONS|WITHOUT IT");
  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_place *place = &in_force->places[i];

      table_add (&table, "%s", place->data_centre);
      table_add (&table, "%s%s", in_force_state_name (place->state),
                 place->by_peers && place->live > 0 ? " (told by peers)" : "");
      table_add (&table, "%u of %u", place->have, place->live);
      table_add (&table, "%s", place->lagging);
    }
  table_print (&table, stdout);
  table_finish (&table);
  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_place *place = &in_force->places[i];

      if (place->state == IN_FORCE_UNKNOWN)
        printf ("%s cannot be reached: whether %s %" PRIu64
                " is in force there is unknown. It goes on with the last one"
                " it has, which may be older, and adopts %" PRIu64
                " once it is reached again.\n",
                place->data_centre, what, number, number);
      else if (place->state == IN_FORCE_PENDING)
        printf ("%s is not there yet: a live daemon still has %s %" PRIu64
                ".\n",
                place->data_centre, what, place->lowest);
    }
}

json_t *
force_to_json (const struct in_force *in_force)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < in_force->count; i++)
    {
      const struct in_force_place *place = &in_force->places[i];

      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:i, s:i, s:I, s:b, s:s}",
                            "data_centre", place->data_centre, "state",
                            in_force_state_name (place->state), "live",
                            (int)place->live, "have", (int)place->have,
                            "lowest", (json_int_t)place->lowest, "by_peers",
                            (int)place->by_peers, "lagging", place->lagging));
    }
  return array;
}

enum cli_exit
force_exit (const struct in_force *in_force)
{
  return in_force_count (in_force, IN_FORCE_YES) == in_force->count
             ? CLI_GOOD
             : CLI_REFUSED;
}
