#include "sheet-read-internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
sheet_report_init (struct sheet_report *report)
{
  memset (report, 0, sizeof *report);
}

void
sheet_report_finish (struct sheet_report *report)
{
  free (report->errors);
  sheet_report_init (report);
}

size_t
sheet_utf8_length (const unsigned char *text, size_t size)
{
  size_t length;
  unsigned code;
  static const unsigned min_code[] = { 0, 0, 0x80, 0x800, 0x10000 };

  if (size == 0)
    return 0;
  if (text[0] < 0x80)
    return 1;
  if ((text[0] & 0xe0) == 0xc0)
    length = 2;
  else if ((text[0] & 0xf0) == 0xe0)
    length = 3;
  else if ((text[0] & 0xf8) == 0xf0)
    length = 4;
  else
    return 0;
  if (length > size)
    return 0;
  code = text[0] & (0x7fu >> length);
  for (size_t i = 1; i < length; i++)
    {
      if ((text[i] & 0xc0) != 0x80)
        return 0;
      code = code << 6 | (text[i] & 0x3f);
    }
  if (code < min_code[length] || code > 0x10ffff
      || (code >= 0xd800 && code <= 0xdfff))
    return 0;
  return length;
}

/*
 * Copies text, with control characters and invalid bytes as \xNN, and truncates
 * long text.
 */
static void
copy_printable (char out[SHEET_ERROR_VALUE_SIZE], const char *text, size_t size)
{
  const unsigned char *bytes = (const unsigned char *)text;
  size_t used = 0;
  size_t i = 0;

  while (i < size)
    {
      size_t length = sheet_utf8_length (bytes + i, size - i);
      bool is_control = length == 1 && (bytes[i] < 0x20 || bytes[i] == 0x7f);
      bool is_c1_control
          = length == 2 && bytes[i] == 0xc2 && bytes[i + 1] < 0xa0;
      bool must_escape = length == 0 || is_control || is_c1_control;

      if (used + 8 >= SHEET_ERROR_VALUE_SIZE)
        {
          memcpy (out + used, "...", 3);
          used += 3;
          break;
        }
      if (must_escape)
        {
          snprintf (out + used, 5, "\\x%02x", bytes[i]);
          used += 4;
          i++;
          continue;
        }
      memcpy (out + used, bytes + i, length);
      used += length;
      i += length;
    }
  out[used] = '\0';
}

void
sheet_report_add (struct sheet_report *report,
                  enum result code,
                  unsigned row,
                  const char *column,
                  const char *value,
                  size_t value_size,
                  const char *detail,
                  ...)
{
  struct sheet_error *error;
  va_list arguments;
  size_t count = report->error_count;

  report->error_total++;
  if (count >= SHEET_ERROR_LIMIT)
    return;
  /* The array grows to the next power of two. */
  if ((count & (count - 1)) == 0)
    {
      void *grown = reallocarray (report->errors, count == 0 ? 1 : count * 2,
                                  sizeof *report->errors);

      if (grown == NULL)
        {
          report->no_memory = true;
          return;
        }
      report->errors = grown;
    }
  error = &report->errors[report->error_count++];
  error->code = code;
  error->row = row;
  error->column = column;
  copy_printable (error->value, value, value_size);
  va_start (arguments, detail);
  vsnprintf (error->detail, sizeof error->detail, detail, arguments);
  va_end (arguments);
}

/* Errors of the whole sheet (row 0) sort after errors of rows. */
static bool
is_before (const struct sheet_error *a, const struct sheet_error *b)
{
  return a->row != 0 && (b->row == 0 || a->row < b->row);
}

void
sheet_report_sort (struct sheet_report *report)
{
  /*
   * Insertion sort: stable, and fast since the checks add errors mostly in
   * row order.
   */
  for (size_t i = 1; i < report->error_count; i++)
    {
      struct sheet_error error = report->errors[i];
      size_t j = i;

      while (j > 0 && is_before (&error, &report->errors[j - 1]))
        j--;
      memmove (&report->errors[j + 1], &report->errors[j],
               (i - j) * sizeof error);
      report->errors[j] = error;
    }
}
