#include "config-check.h"

#include "users-platform.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest part of a text value that is printed, in bytes. */
#define EXCERPT_BYTES 60

/* The fields of the entries of one part of the catalog, by index. */
struct paths
{
  char **list;
  size_t count;
};

struct check
{
  struct config_report *report;
  struct paths paths[CATALOG_CUSTOMER + 1];
  bool failed; /* memory is short */
};

void
config_report_init (struct config_report *report)
{
  memset (report, 0, sizeof *report);
}

void
config_report_finish (struct config_report *report)
{
  for (size_t i = 0; i < report->count; i++)
    {
      free (report->findings[i].field);
      free (report->findings[i].found);
      free (report->findings[i].allowed);
      free (report->findings[i].used);
    }
  free (report->findings);
  catalog_unref (report->catalog);
  memset (report, 0, sizeof *report);
}

/* Makes room for one more element; the array grows to powers of two. */
static bool
grow (void *array, size_t count, size_t element_size)
{
  void **list = array;
  void *grown;

  if ((count & (count - 1)) != 0)
    return true;
  grown = reallocarray (*list, count == 0 ? 1 : count * 2, element_size);
  if (grown != NULL)
    *list = grown;
  return grown != NULL;
}

static void
add_finding (struct check *check,
             const char *kind,
             const char *field,
             const char *found,
             const char *allowed,
             const char *used)
{
  struct config_report *report = check->report;
  struct config_finding *finding;

  if (report->total++ >= CONFIG_FINDING_LIMIT || check->failed)
    return;
  if (!grow (&report->findings, report->count, sizeof *report->findings))
    {
      check->failed = true;
      return;
    }
  finding = &report->findings[report->count++];
  *finding = (struct config_finding){ .kind = kind,
                                      .field = strdup (field),
                                      .found = strdup (found),
                                      .allowed = strdup (allowed),
                                      .used = strdup (used) };
  check->failed = finding->field == NULL || finding->found == NULL
                  || finding->allowed == NULL || finding->used == NULL;
}

/* Formats a value of the file; lists and objects only by their size. */
static void
format_value (const json_t *value, char *out, size_t size)
{
  const char *text = json_string_value (value);
  char *dump;

  if (value == NULL)
    snprintf (out, size, "nothing");
  else if (json_is_array (value))
    snprintf (out, size, "list of %zu entries", json_array_size (value));
  else if (json_is_object (value))
    snprintf (out, size, "object of %zu members", json_object_size (value));
  else if (text != NULL && strlen (text) > EXCERPT_BYTES)
    {
      int excerpt = EXCERPT_BYTES;

      /* Ends before a character of UTF-8, so that the output stays valid. */
      while (excerpt > 0 && ((unsigned char)text[excerpt] & 0xc0) == 0x80)
        excerpt--;
      snprintf (out, size, "\"%.*s...\" of %zu bytes", excerpt, text,
                strlen (text));
    }
  else
    {
      dump = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
      snprintf (out, size, "%s", dump != NULL ? dump : "?");
      free (dump);
    }
}

static void
on_misread (void *context,
            const char *path,
            const json_t *found,
            const char *allowed,
            const char *used)
{
  /* json_dumps writes a control character as 6 bytes. */
  char text[6 * EXCERPT_BYTES + 64];

  format_value (found, text, sizeof text);
  add_finding (context, "error", path, text, allowed, used);
}

static void
on_entry (void *context,
          enum catalog_part part,
          unsigned index,
          const char *path)
{
  struct check *check = context;
  struct paths *paths = &check->paths[part];

  /* Entries come in the order of their indices. */
  if (check->failed || index != paths->count)
    return;
  if (!grow (&paths->list, paths->count, sizeof *paths->list))
    {
      check->failed = true;
      return;
    }
  paths->list[paths->count] = strdup (path);
  check->failed = paths->list[paths->count++] == NULL;
}

static void
on_finding (void *context, const struct catalog_finding *finding)
{
  struct check *check = context;
  const struct paths *paths = &check->paths[finding->part];

  add_finding (check,
               finding->fault == CATALOG_NEVER_MATCHES ? "never matches"
                                                       : "contradiction",
               finding->index < paths->count ? paths->list[finding->index] : "",
               finding->found, finding->allowed, "");
}

/* Sets the lines of all findings. */
static enum result
find_lines (struct config_report *report, const char *text, size_t size)
{
  struct json_lines lines;
  enum result result = RESULT_OK;

  json_lines_init (&lines);
  for (size_t i = 0; i < report->count && result == RESULT_OK; i++)
    result = json_lines_add (&lines, report->findings[i].field);
  if (result == RESULT_OK)
    {
      json_lines_scan (&lines, text, size);
      for (size_t i = 0; i < report->count; i++)
        if (report->findings[i].line == 0)
          report->findings[i].line
              = json_lines_get (&lines, report->findings[i].field);
    }
  json_lines_finish (&lines);
  return result;
}

static int
compare_findings (const void *left, const void *right)
{
  const struct config_finding *a = left;
  const struct config_finding *b = right;
  int order;

  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  order = strcmp (a->kind, b->kind);
  if (order == 0)
    order = strcmp (a->field, b->field);
  return order != 0 ? order : strcmp (a->found, b->found);
}

/*
 * Hosts read the last of two members of the same name.  jansson reports only
 * the first such name of a text.
 */
static void
check_duplicates (struct check *check, const char *text, size_t size)
{
  json_error_t error;
  json_t *json = json_loadb (text, size, JSON_REJECT_DUPLICATES, &error);

  if (json == NULL && json_error_code (&error) == json_error_duplicate_key)
    {
      add_finding (check, "error", "", error.text, "each name once",
                   "the last one");
      if (!check->failed && check->report->count > 0)
        check->report->findings[check->report->count - 1].line
            = (unsigned)error.line;
    }
  json_decref (json);
}

enum result
config_check_text (const char *text,
                   size_t size,
                   const struct config_supply *supply,
                   struct config_report *report)
{
  struct check check = { .report = report };
  const struct platform_catalog_observer observer
      = { .misread = on_misread, .entry = on_entry, .context = &check };
  enum result result;
  json_error_t error;
  json_t *json;

  if (size >= CONFIG_SIZE_LIMIT_BYTES)
    {
      snprintf (report->problem, sizeof report->problem,
                "the file is too large; less than %d bytes are checked",
                CONFIG_SIZE_LIMIT_BYTES);
      return RESULT_TOO_LARGE;
    }
  json = json_loadb (text, size, 0, &error);
  if (json == NULL)
    {
      snprintf (report->problem, sizeof report->problem,
                "not valid JSON: line %d, column %d: %s", error.line,
                error.column, error.text);
      /* jansson quotes the bytes of the file. */
      for (char *c = report->problem; *c != '\0'; c++)
        if ((unsigned char)*c < 0x20 || (unsigned char)*c >= 0x7f)
          *c = '?';
      return RESULT_INVALID;
    }
  check_duplicates (&check, text, size);
  result = platform_observe_catalog (json, &observer, &report->catalog);
  if (result == RESULT_OK)
    {
      result = catalog_check (report->catalog, on_finding, &check);
      if (result == RESULT_OK && supply != NULL)
        result = catalog_check_endpoints (report->catalog, supply->endpoints,
                                          supply->count, on_finding, &check);
    }
  else if (result == RESULT_INVALID)
    result = RESULT_OK; /* The decoder has reported why. */
  if (check.failed)
    result = RESULT_NO_MEMORY;
  if (result == RESULT_OK)
    result = find_lines (report, text, size);
  if (result == RESULT_OK && report->count > 0)
    qsort (report->findings, report->count, sizeof *report->findings,
           compare_findings);
  if (result != RESULT_OK)
    snprintf (report->problem, sizeof report->problem, "%s",
              result_info (result)->text);
  for (size_t part = 0; part < sizeof check.paths / sizeof check.paths[0];
       part++)
    {
      for (size_t i = 0; i < check.paths[part].count; i++)
        free (check.paths[part].list[i]);
      free (check.paths[part].list);
    }
  json_decref (json);
  return result;
}

enum result
config_check_file (const char *path,
                   const struct config_supply *supply,
                   struct config_report *report)
{
  FILE *file = fopen (path, "rb");
  char *text = NULL;
  size_t size;
  enum result result = RESULT_NOT_FOUND;

  if (file == NULL)
    {
      snprintf (report->problem, sizeof report->problem, "%s",
                strerror (errno));
      return result;
    }
  text = malloc (CONFIG_SIZE_LIMIT_BYTES);
  if (text == NULL)
    {
      result = RESULT_NO_MEMORY;
      snprintf (report->problem, sizeof report->problem, "%s",
                result_info (result)->text);
      goto finish;
    }
  size = fread (text, 1, CONFIG_SIZE_LIMIT_BYTES, file);
  if (ferror (file))
    {
      snprintf (report->problem, sizeof report->problem, "%s",
                strerror (errno));
      goto finish;
    }
  result = config_check_text (text, size, supply, report);

finish:
  free (text);
  fclose (file);
  return result;
}
