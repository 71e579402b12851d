#include "sheet-read-internal.h"

#include <ctype.h>
#include <string.h>

/* The cell that is parsed, and the report for its errors. */
struct cell
{
  const struct sheet_field *field;
  unsigned row; /* line in the file */
  struct sheet_report *report;
};

static bool
reject_cell (const struct cell *cell,
             enum result code,
             const char *text,
             size_t size,
             const char *detail)
{
  sheet_report_add (cell->report, code, cell->row,
                    sheet_column_name (cell->field->column), text, size, "%s",
                    detail);
  return false;
}

bool
sheet_parse_number (const char *text, size_t size, unsigned *out)
{
  unsigned number = 0;

  if (size == 0 || size > 9 || (size > 1 && text[0] == '0'))
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (!isdigit ((unsigned char)text[i]))
        return false;
      number = number * 10 + (unsigned)(text[i] - '0');
    }
  *out = number;
  return true;
}

static bool
is_plain_name (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)text[i];

      if (c >= 0x80 || (!isalnum (c) && strchr ("._-", c) == NULL) || c == 0)
        return false;
    }
  return text[0] != '.' && text[0] != '-';
}

/*
 * Text is written into logs, metrics and tables, so it must not hold their
 * separators.
 */
static bool
is_text_name (const char *text, size_t size)
{
  const unsigned char *bytes = (const unsigned char *)text;

  for (size_t i = 0; i < size; i++)
    {
      if (bytes[i] <= 0x20 || bytes[i] == 0x7f
          || strchr ("\"\\;,{}", bytes[i]) != NULL)
        return false;
      if (bytes[i] == 0xc2 && i + 1 < size && bytes[i + 1] <= 0xa0)
        return false;
    }
  return true;
}

static bool
is_call_pattern (const char *text, size_t size)
{
  size_t method_size = 0;

  if (size == 1 && text[0] == '*')
    return true;
  while (method_size < size && isupper ((unsigned char)text[method_size]))
    method_size++;
  if (method_size == 0 || method_size + 1 >= size || text[method_size] != ' '
      || text[method_size + 1] != '/')
    return false;
  for (size_t i = method_size + 1; i < size; i++)
    {
      unsigned char c = (unsigned char)text[i];

      if (c >= 0x80 || c == 0
          || (!isalnum (c) && strchr ("/._~-+@:=!$&'()*", c) == NULL))
        return false;
      if (c == '/' && text[i - 1] == '/')
        return false;
    }
  return true;
}

static bool
check_encoding (const struct cell *cell, const char *text, size_t size)
{
  size_t i = 0;

  while (i < size)
    {
      size_t length
          = sheet_utf8_length ((const unsigned char *)text + i, size - i);

      if (length == 0)
        return reject_cell (cell, RESULT_SHEET_ENCODING, text, size,
                            "The cell is not valid UTF-8.");
      i += length;
    }
  return true;
}

static bool
check_name (const struct cell *cell, const char *text, size_t size)
{
  switch (cell->field->form)
    {
    case SHEET_FORM_PLAIN:
    case SHEET_FORM_PLAIN_LIST:
      if (size < SHEET_NAME_SIZE && is_plain_name (text, size))
        return true;
      return reject_cell (
          cell, RESULT_SHEET_BAD_VALUE, text, size,
          "A name has 1 to 63 ASCII letters, digits, '.', '_' or"
          " '-' and does not start with '.' or '-'.");
    case SHEET_FORM_CALL_LIST:
      if (size < SHEET_NAME_SIZE && is_call_pattern (text, size))
        return true;
      return reject_cell (
          cell, RESULT_SHEET_BAD_VALUE, text, size,
          "An entry is '*' or 'METHOD /prefix' of at most 63 bytes"
          " without escapes or repeated slashes.");
    default:
      if (size < SHEET_NAME_SIZE && is_text_name (text, size))
        return true;
      return reject_cell (
          cell, RESULT_SHEET_BAD_VALUE, text, size,
          "A name has 1 to 63 bytes of UTF-8 without spaces,"
          " control characters, quotes, '\\', ';', ',' or braces.");
    }
}

static bool
parse_list (const struct cell *cell,
            struct sheet_list *list,
            const char *text,
            size_t size)
{
  const char *end = text + size;
  bool valid = true;

  for (const char *item = text; item <= end;)
    {
      const char *item_end = memchr (item, ';', (size_t)(end - item));
      const char *next;
      char name[SHEET_NAME_SIZE] = "";

      if (item_end == NULL)
        item_end = end;
      next = item_end + 1;
      while (item < item_end && *item == ' ')
        item++;
      while (item < item_end && item_end[-1] == ' ')
        item_end--;
      if (item == item_end)
        valid = reject_cell (cell, RESULT_SHEET_BAD_VALUE, text, size,
                             "The list has an empty entry.");
      else if (!check_name (cell, item, (size_t)(item_end - item)))
        valid = false;
      else
        {
          memcpy (name, item, (size_t)(item_end - item));
          if (sheet_list_has (list, name))
            valid
                = reject_cell (cell, RESULT_SHEET_DUPLICATE, name,
                               strlen (name), "The list has this entry twice.");
          else if (!sheet_list_add (list, name, strlen (name)))
            cell->report->no_memory = true;
        }
      item = next;
    }
  return valid;
}

static bool
parse_sha256 (const struct cell *cell, char *out, const char *text, size_t size)
{
  bool valid = size == 64;

  for (size_t i = 0; i < size && valid; i++)
    {
      valid = isxdigit ((unsigned char)text[i]) != 0;
      out[i] = (char)tolower ((unsigned char)text[i]);
    }
  if (valid)
    return true;
  memset (out, 0, 65);
  return reject_cell (cell, RESULT_SHEET_BAD_VALUE, text, size,
                      "It must be a SHA-256 in 64 hexadecimal digits.");
}

bool
sheet_parse_cell (const struct sheet_field *field,
                  char *row_memory,
                  const char *text,
                  size_t size,
                  unsigned row,
                  struct sheet_report *report)
{
  const struct cell cell = { field, row, report };
  void *out = row_memory + field->offset;
  unsigned number;

  if (size == 0)
    return !field->required
           || reject_cell (&cell, RESULT_SHEET_BAD_VALUE, text, size,
                           "The cell must not be empty.");
  if (!check_encoding (&cell, text, size))
    return false;
  if (sheet_form_is_list (field->form))
    return parse_list (&cell, out, text, size);
  switch (field->form)
    {
    case SHEET_FORM_NUMBER:
      if (!sheet_parse_number (text, size, &number) || number < field->min
          || number > field->max)
        {
          sheet_report_add (report, RESULT_SHEET_BAD_VALUE, row,
                            sheet_column_name (field->column), text, size,
                            "It must be a whole number from %u to %u.",
                            field->min, field->max);
          return false;
        }
      *(unsigned *)out = number;
      return true;
    case SHEET_FORM_SHA256:
      return parse_sha256 (&cell, out, text, size);
    default:
      if (!check_name (&cell, text, size))
        return false;
      memcpy (out, text, size);
      return true;
    }
}
