#include "table.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static void
append_cell (struct table *table, char *text)
{
  /* The array grows to the next power of two. */
  if (text != NULL && (table->count & (table->count - 1)) == 0)
    {
      void *grown = reallocarray (table->cells,
                                  table->count == 0 ? 1 : table->count * 2,
                                  sizeof *table->cells);

      if (grown == NULL)
        {
          free (text);
          text = NULL;
        }
      else
        table->cells = grown;
    }
  if (text == NULL)
    {
      table->failed = true;
      return;
    }
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < 0x20 || *c == 0x7f)
      *c = '?';
  table->cells[table->count++] = text;
}

void
table_init (struct table *table, const char *headings)
{
  memset (table, 0, sizeof *table);
  for (;;)
    {
      size_t size = strcspn (headings, "|");

      append_cell (table, strndup (headings, size));
      table->columns++;
      if (headings[size] == '\0')
        break;
      headings += size + 1;
    }
}

void
table_finish (struct table *table)
{
  for (size_t i = 0; i < table->count; i++)
    free (table->cells[i]);
  free (table->cells);
  memset (table, 0, sizeof *table);
}

void
table_add (struct table *table, const char *format, ...)
{
  va_list arguments;
  char *text = NULL;

  va_start (arguments, format);
  if (vasprintf (&text, format, arguments) < 0)
    text = NULL;
  va_end (arguments);
  append_cell (table, text);
}

/*
 * Counts the characters of UTF-8 text.  This is the width of most names, which
 * seldom have double-width characters.
 */
static size_t
get_display_width (const char *text)
{
  size_t width = 0;

  for (; *text != '\0'; text++)
    if (((unsigned char)*text & 0xc0) != 0x80)
      width++;
  return width;
}

/* Prints a row without trailing spaces. */
static void
print_row (const struct table *table,
           size_t row,
           const size_t *widths,
           FILE *out)
{
  size_t used = table->columns;

  while (used > 0 && *table->cells[row + used - 1] == '\0')
    used--;
  for (size_t i = 0; i < used; i++)
    {
      const char *cell = table->cells[row + i];
      size_t padding = widths[i] - get_display_width (cell) + 2;

      fputs (cell, out);
      if (i + 1 < used)
        fprintf (out, "%*s", (int)padding, "");
    }
  fputc ('\n', out);
}

void
table_print (const struct table *table, FILE *out)
{
  size_t *widths;

  if (table->failed || table->count <= table->columns)
    return;
  widths = calloc (table->columns, sizeof *widths);
  if (widths == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    {
      size_t width = get_display_width (table->cells[i]);

      if (width > widths[i % table->columns])
        widths[i % table->columns] = width;
    }
  for (size_t row = 0; row + table->columns <= table->count;
       row += table->columns)
    print_row (table, row, widths, out);
  free (widths);
}

void
table_format_time (char out[TABLE_TIME_SIZE], int64_t wall_ms)
{
  time_t seconds = (time_t)(wall_ms / 1000);
  struct tm parts;

  if (wall_ms <= 0 || gmtime_r (&seconds, &parts) == NULL
      || strftime (out, TABLE_TIME_SIZE, "%Y-%m-%dT%H:%M:%SZ", &parts) == 0)
    memcpy (out, "-", 2);
}
