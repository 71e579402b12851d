#include "catalog-diff.h"
#include "config-check.h"
#include "config-store.h"
#include "sheet-file.h"
#include "table.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
print_report (const char *path, const struct config_report *report)
{
  struct table table;

  table_init (&table, "LINE|FINDING|FIELD|FOUND|ALLOWED|HOSTS USE");
  for (size_t i = 0; i < report->count; i++)
    {
      const struct config_finding *finding = &report->findings[i];

      table_add (&table, "%u", finding->line);
      table_add (&table, "%s", finding->kind);
      table_add (&table, "%s", *finding->field != '\0' ? finding->field : "-");
      table_add (&table, "%s", finding->found);
      table_add (&table, "%s", finding->allowed);
      table_add (&table, "%s", finding->used);
    }
  table_print (&table, stdout);
  table_finish (&table);
  if (report->total > report->count)
    printf ("... and %zu more findings\n", report->total - report->count);
  printf ("%s: %zu findings\n", path, report->total);
}

static json_t *
encode_report (const struct config_report *report)
{
  json_t *findings = json_array ();

  for (size_t i = 0; i < report->count; i++)
    {
      const struct config_finding *finding = &report->findings[i];

      json_array_append_new (
          findings,
          json_pack ("{s:s, s:i, s:s, s:s, s:s, s:s}", "finding", finding->kind,
                     "line", (int)finding->line, "field", finding->field,
                     "found", finding->found, "allowed", finding->allowed,
                     "hosts_use", finding->used));
    }
  return json_pack ("{s:b, s:I, s:o}", "clean", (int)(report->total == 0),
                    "finding_total", (json_int_t)report->total, "findings",
                    findings);
}

static void
add_row (void *context, const struct catalog_difference *difference)
{
  struct table *table = context;

  table_add (table, "%s", catalog_effect_name (difference->effect));
  table_add (table, "%s", catalog_change_name (difference->change));
  table_add (table, "%s", difference->kind);
  table_add (table, "%s", *difference->name != '\0' ? difference->name : "-");
  table_add (table, "%s", difference->field);
  table_add (table, "%s", difference->before);
  table_add (table, "%s", difference->after);
}

static enum result
print_differences (const struct catalog *before, const struct catalog *after)
{
  struct table table;
  enum result result;

  table_init (&table, "EFFECT|CHANGE|KIND|NAME|FIELD|BEFORE|AFTER");
  result = catalog_diff (before, after, add_row, &table);
  if (table.failed)
    result = RESULT_NO_MEMORY;
  if (result == RESULT_OK && table.count > table.columns)
    putchar ('\n');
  if (result == RESULT_OK)
    table_print (&table, stdout);
  table_finish (&table);
  return result;
}

static void
add_object (void *context, const struct catalog_difference *difference)
{
  json_array_append_new (
      context, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "effect",
                          catalog_effect_name (difference->effect), "change",
                          catalog_change_name (difference->change), "kind",
                          difference->kind, "name", difference->name, "field",
                          difference->field, "before", difference->before,
                          "after", difference->after));
}

static bool
is_version (const char *text, int64_t version)
{
  char expected[24];

  snprintf (expected, sizeof expected, "%" PRId64, version);
  return strcmp (text, expected) == 0;
}

/*
 * Finds the catalog to compare with: that of a file, or the one in force.
 * *before is NULL if there is none to compare with.  Returns false after a
 * message if the one that was asked for cannot be read.
 */
static bool
find_before (const struct cli *cli,
             const struct config_store *store,
             struct config_report *file,
             const struct catalog **before)
{
  *before = store->catalog;
  if (cli->against[0] == '\0')
    return true;
  if (strspn (cli->against, "0123456789") == strlen (cli->against)
      && cli->has_store)
    {
      if (store->catalog != NULL
          && is_version (cli->against, store->catalog->version))
        return true;
      if (store->catalog == NULL)
        fprintf (stderr, "waxwinglink: no configuration is in force\n");
      else
        fprintf (stderr,
                 "waxwinglink: version %s cannot be read; version %" PRId64
                 " is in force, and the store keeps no other\n",
                 cli->against, store->catalog->version);
      return false;
    }
  if (config_check_file (cli->against, NULL, file) != RESULT_OK)
    {
      fprintf (stderr, "waxwinglink: %s: %s\n", cli->against, file->problem);
      return false;
    }
  if (file->catalog == NULL)
    {
      fprintf (stderr, "waxwinglink: %s: hosts would refuse this file\n",
               cli->against);
      return false;
    }
  *before = file->catalog;
  return true;
}

static enum result
print_json (const struct config_report *report,
            const struct catalog *before,
            const struct config_store *store)
{
  json_t *json = encode_report (report);
  enum result result = RESULT_OK;

  json_object_set_new (json, "endpoint_entries_skipped",
                       json_integer (store->skipped));
  if (before != NULL && report->catalog != NULL)
    {
      json_t *differences = json_array ();

      result = catalog_diff (before, report->catalog, add_object, differences);
      json_object_set_new (json, "differences", differences);
    }
  if (result == RESULT_OK && json == NULL)
    result = RESULT_NO_MEMORY;
  if (result == RESULT_OK)
    json_print (json);
  else
    json_decref (json);
  return result;
}

static enum result
print_tables (const char *path,
              const struct config_report *report,
              const struct catalog *before,
              const struct config_store *store)
{
  print_report (path, report);
  if (store->skipped > 0)
    printf ("%u endpoint entries of the store cannot be read and were not"
            " counted\n",
            store->skipped);
  if (before == NULL)
    return RESULT_OK;
  if (report->catalog == NULL)
    {
      printf ("Not compared: hosts would refuse the file.\n");
      return RESULT_OK;
    }
  return print_differences (before, report->catalog);
}

enum cli_exit
cmd_config_check (struct cli *cli)
{
  const char *path = cli->arguments[0];
  const struct catalog *before;
  struct config_report report;
  struct config_report against;
  struct config_store store;
  enum cli_exit status = CLI_USAGE;
  enum result result;

  config_report_init (&report);
  config_report_init (&against);
  config_store_init (&store);
  if (cli->has_store)
    {
      result = config_store_read (cli, &store);
      if (result != RESULT_OK)
        {
          cli_print_result (result, cli->store.text);
          goto finish;
        }
    }
  if (config_check_file (path, cli->has_store ? &store.supply : NULL, &report)
      != RESULT_OK)
    {
      fprintf (stderr, "waxwinglink: %s: %s\n", path, report.problem);
      goto finish;
    }
  if (!find_before (cli, &store, &against, &before))
    goto finish;
  result = cli->json ? print_json (&report, before, &store)
                     : print_tables (path, &report, before, &store);
  if (result != RESULT_OK)
    {
      cli_print_result (result, NULL);
      goto finish;
    }
  status = report.total > 0 ? CLI_REFUSED : CLI_GOOD;

finish:
  config_store_finish (&store);
  config_report_finish (&against);
  config_report_finish (&report);
  return status;
}
