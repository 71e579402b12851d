#include "sheet-file.h"

#include "table.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One byte over the limit of sheet_read, so that it reports a larger file. */
#define FILE_LIMIT_BYTES 4194305

static char *
read_file (const char *path, size_t *size)
{
  FILE *file = fopen (path, "rb");
  char *text = NULL;

  if (file == NULL)
    return NULL;
  text = malloc (FILE_LIMIT_BYTES);
  if (text != NULL)
    {
      *size = fread (text, 1, FILE_LIMIT_BYTES, file);
      if (ferror (file))
        {
          free (text);
          text = NULL;
        }
    }
  fclose (file);
  return text;
}

enum result
sheet_file_read (const char *path,
                 const struct sheet_read_options *options,
                 struct sheet *sheet,
                 struct sheet_report *report)
{
  size_t size = 0;
  char *text = read_file (path, &size);
  enum result result;

  if (text == NULL)
    {
      fprintf (stderr, "waxwinglink: %s: %s\n", path, strerror (errno));
      return RESULT_NOT_FOUND;
    }
  result = sheet_read (sheet, text, size, options, report);
  free (text);
  return result;
}

enum result
sheet_accepted_read (struct cli *cli,
                     struct platform_object *object,
                     struct sheet *sheet)
{
  enum result result = platform_object_read (cli, "sheet/current", object);

  if (result != RESULT_OK || object->value == NULL)
    return result;
  result = sheet_from_json (sheet, object->value);
  return result == RESULT_INVALID ? RESULT_PLATFORM_BAD_ANSWER : result;
}

enum result
sheet_inventory_read (struct cli *cli, struct sheet_inventory *inventory)
{
  json_t *json = NULL;
  enum result result = platform_read_hosts (cli, &json);

  if (result == RESULT_OK)
    {
      result = sheet_inventory_from_hosts (inventory, json);
      if (result == RESULT_INVALID || result == RESULT_TOO_LARGE)
        result = RESULT_PLATFORM_BAD_ANSWER;
    }
  json_decref (json);
  return result;
}

void
sheet_report_print (const char *path, const struct sheet_report *report)
{
  struct table table;

  table_init (&table, "ROW|COLUMN|VALUE|CODE|ERROR");
  for (size_t i = 0; i < report->error_count; i++)
    {
      const struct sheet_error *error = &report->errors[i];

      if (error->row > 0)
        table_add (&table, "%u", error->row);
      else
        table_add (&table, "-");
      table_add (&table, "%s", *error->column != '\0' ? error->column : "-");
      table_add (&table, "%s", *error->value != '\0' ? error->value : "-");
      table_add (&table, "%d", error->code);
      table_add (&table, "%s %s", result_info (error->code)->text,
                 error->detail);
    }
  table_print (&table, stdout);
  table_finish (&table);
  if (report->error_total > report->error_count)
    printf ("... and %zu more errors\n",
            report->error_total - report->error_count);
  printf ("%s: %zu rows, %zu errors\n", path, report->rows,
          report->error_total);
  if (!report->places_checked)
    printf ("Data centres, domains and hosts were not checked: the platform's"
            " host list is not available.\n");
}

json_t *
sheet_report_to_json (const struct sheet_report *report)
{
  json_t *errors = json_array ();

  for (size_t i = 0; i < report->error_count; i++)
    {
      const struct sheet_error *error = &report->errors[i];
      const struct result_info *info = result_info (error->code);

      json_array_append_new (
          errors, json_pack ("{s:i, s:s, s:i, s:s, s:s, s:s}", "code",
                             info->number, "name", info->name, "row",
                             (int)error->row, "column", error->column, "value",
                             error->value, "detail", error->detail));
    }
  return json_pack ("{s:b, s:i, s:i, s:b, s:o}", "valid",
                    (int)(report->error_total == 0), "rows", (int)report->rows,
                    "error_total", (int)report->error_total, "places_checked",
                    (int)report->places_checked, "errors", errors);
}

void
sheet_diff_print (const struct sheet_diff *diff)
{
  struct table table;

  if (sheet_diff_is_empty (diff))
    printf ("No difference.\n");
  table_init (&table, "CHANGE|KIND|NAME|COLUMN|BEFORE|AFTER");
  for (size_t i = 0; i < diff->row_count; i++)
    {
      const struct sheet_diff_row *row = &diff->rows[i];
      size_t j = 0;

      do
        {
          const struct sheet_field_change *field
              = j < row->field_count ? &row->fields[j] : NULL;

          table_add (&table, "%s", sheet_difference_name (row->difference));
          table_add (&table, "%s", sheet_kind_name (row->kind));
          table_add (&table, "%s", row->name);
          table_add (&table, "%s",
                     field != NULL ? sheet_column_name (field->column) : "");
          table_add (&table, "%s", field != NULL ? field->before : "");
          table_add (&table, "%s", field != NULL ? field->after : "");
        }
      while (++j < row->field_count);
    }
  table_print (&table, stdout);
  table_finish (&table);
  if (diff->group_order_changed)
    printf ("The order of the group rows, which is their priority, changed.\n");
}

json_t *
sheet_diff_to_json (const struct sheet_diff *diff)
{
  json_t *rows = json_array ();

  for (size_t i = 0; i < diff->row_count; i++)
    {
      const struct sheet_diff_row *row = &diff->rows[i];
      json_t *fields = json_array ();

      for (size_t j = 0; j < row->field_count; j++)
        json_array_append_new (
            fields,
            json_pack ("{s:s, s:s, s:s}", "column",
                       sheet_column_name (row->fields[j].column), "before",
                       row->fields[j].before, "after", row->fields[j].after));
      json_array_append_new (rows,
                             json_pack ("{s:s, s:s, s:s, s:o}", "change",
                                        sheet_difference_name (row->difference),
                                        "kind", sheet_kind_name (row->kind),
                                        "name", row->name, "fields", fields));
    }
  return json_pack ("{s:o, s:b}", "rows", rows, "group_order_changed",
                    (int)diff->group_order_changed);
}

void
json_print (json_t *json)
{
  if (json == NULL)
    {
      cli_print_result (RESULT_NO_MEMORY, NULL);
      return;
    }
  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}
