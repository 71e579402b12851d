#include "entry.h"
#include "sheet-file.h"
#include "table.h"

#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct decision
{
  int64_t time_ms;
  json_t *json; /* borrowed */
};

static int
compare_times (const void *a, const void *b)
{
  const struct decision *first = a;
  const struct decision *second = b;

  return (first->time_ms > second->time_ms)
         - (first->time_ms < second->time_ms);
}

static void
print_decisions (const struct decision *decisions, size_t count)
{
  struct table table;

  table_init (&table, "TIME|ENTRY HOST|EVENT|DECISION");
  for (size_t i = 0; i < count; i++)
    {
      char time[TABLE_TIME_SIZE];

      table_format_time (time, decisions[i].time_ms);
      table_add (&table, "%s", time);
      table_add (&table, "%s", entry_get_text (decisions[i].json, "host"));
      table_add (&table, "%s", entry_get_text (decisions[i].json, "event"));
      table_add (&table, "%s", entry_get_text (decisions[i].json, "line"));
    }
  table_print (&table, stdout);
  table_finish (&table);
}

/* Prints the decisions of all entry hosts, merged by time. */
static enum cli_exit
print_merged_decisions (struct cli *cli, const struct http_response *responses)
{
  struct decision *decisions;
  json_t *merged = json_array ();
  size_t count = 0;
  size_t index;
  json_t *decision;

  for (size_t i = 0; i < cli->entry_count; i++)
    json_array_foreach (
        json_object_get (entry_response_json (&responses[i]), "decisions"),
        index, decision)
      json_array_append (merged, decision);
  count = json_array_size (merged);
  decisions = calloc (count + 1, sizeof *decisions);
  if (decisions == NULL)
    {
      cli_print_result (RESULT_NO_MEMORY, NULL);
      json_decref (merged);
      return CLI_REFUSED;
    }
  json_array_foreach (merged, index, decision)
    {
      decisions[index].json = decision;
      decisions[index].time_ms = entry_get_number (decision, "time_ms");
    }
  qsort (decisions, count, sizeof *decisions, compare_times);
  if (cli->json)
    {
      json_t *sorted = json_array ();

      for (size_t i = 0; i < count; i++)
        json_array_append (sorted, decisions[i].json);
      json_print (json_pack ("{s:o}", "decisions", sorted));
    }
  else if (count > 0)
    print_decisions (decisions, count);
  else
    printf ("No entry host has a log line about %s %s.\n", cli->arguments[0],
            cli->arguments[1]);
  free (decisions);
  json_decref (merged);
  return count > 0 ? CLI_GOOD : CLI_REFUSED;
}

enum cli_exit
cmd_explain (struct cli *cli)
{
  struct http_response responses[CLI_ENTRY_LIMIT];
  const char *subject_kind = cli->arguments[0];
  char path[1024];
  char *id;
  enum cli_exit status;
  size_t unreachable_count;
  int length;

  if (strcmp (subject_kind, "group") != 0 && strcmp (subject_kind, "host") != 0
      && strcmp (subject_kind, "request") != 0)
    {
      fprintf (stderr, "waxwinglink: explain takes group, host or request\n");
      return CLI_USAGE;
    }
  id = evhttp_encode_uri (cli->arguments[1]);
  if (id == NULL)
    {
      cli_print_result (RESULT_NO_MEMORY, NULL);
      return CLI_REFUSED;
    }
  length = snprintf (path, sizeof path, "/explain?kind=%s&id=%s", subject_kind,
                     id);
  free (id);
  if (length < 0 || (size_t)length >= sizeof path)
    {
      fprintf (stderr, "waxwinglink: the id is too long\n");
      return CLI_USAGE;
    }
  entry_query_all (cli, path, responses);
  unreachable_count = entry_print_unreachable (cli, responses);
  status = unreachable_count == cli->entry_count
               ? CLI_UNREACHABLE
               : print_merged_decisions (cli, responses);
  /* An entry host that did not respond may know a decision. */
  if (status == CLI_REFUSED && unreachable_count > 0)
    status = CLI_UNREACHABLE;
  entry_finish_all (cli, responses);
  return status;
}
