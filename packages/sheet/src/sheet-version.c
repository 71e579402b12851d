#include "sheet-version.h"

#include "sheet-field.h"
#include "sheet-read.h"

#include <stdlib.h>
#include <string.h>

struct row_hash
{
  char hex[HASH_HEX_SIZE];
};

static enum result
hash_row (const struct sheet *sheet,
          enum sheet_kind kind,
          size_t index,
          char out[HASH_HEX_SIZE])
{
  const struct sheet_kind_info *info = sheet_kind_info (kind);
  char *cells[SHEET_COLUMNS] = { NULL };
  struct hash_part parts[SHEET_COLUMNS + 1] = { { NULL, 0 } };
  enum result result = RESULT_OK;

  for (size_t i = 0; i < info->field_count; i++)
    {
      cells[i] = sheet_cell_text (sheet, kind, index, info->fields[i].column);
      if (cells[i] == NULL)
        {
          result = RESULT_NO_MEMORY;
          goto finish;
        }
      parts[i].data = cells[i];
      parts[i].size = strlen (cells[i]);
    }
  hash_hex (parts, out);

finish:
  for (size_t i = 0; i < info->field_count; i++)
    free (cells[i]);
  return result;
}

static int
compare_hashes (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct row_hash));
}

enum result
sheet_hash (const struct sheet *sheet, char out[HASH_HEX_SIZE])
{
  size_t total = sheet_row_count (sheet);
  struct row_hash *rows = calloc (total + 1, sizeof *rows);
  uint64_t row_counts[SHEET_KIND_COUNT];
  struct hash_part parts[3]
      = { { row_counts, sizeof row_counts }, { NULL, 0 } };
  struct row_hash *row = rows;
  enum result result = RESULT_OK;

  if (rows == NULL)
    return RESULT_NO_MEMORY;
  for (int kind = 0; kind < SHEET_KIND_COUNT; kind++)
    {
      size_t count = sheet_count_rows_of_kind (sheet, kind);

      row_counts[kind] = count;
      for (size_t i = 0; i < count; i++)
        {
          result = hash_row (sheet, kind, i, row[i].hex);
          if (result != RESULT_OK)
            goto finish;
        }
      if (kind != SHEET_KIND_GROUP)
        qsort (row, count, sizeof *row, compare_hashes);
      row += count;
    }
  parts[1].data = rows;
  parts[1].size = total * sizeof *rows;
  hash_hex (parts, out);

finish:
  free (rows);
  return result;
}

static bool
has_valid_length (const char *text, size_t size)
{
  return text != NULL && *text != '\0' && strlen (text) < size;
}

enum result
sheet_make_next (struct sheet *next,
                 const struct sheet *previous,
                 const char *operator_name,
                 const char *token,
                 int64_t wall_ms)
{
  struct sheet_change *history;
  size_t kept_count = previous->history_count;
  json_t *json;
  size_t size;
  enum result result;

  if (!has_valid_length (operator_name, SHEET_NAME_SIZE)
      || !has_valid_length (token, SHEET_TOKEN_SIZE))
    return RESULT_INVALID;
  if (kept_count > SHEET_HISTORY_LIMIT - 1)
    kept_count = SHEET_HISTORY_LIMIT - 1;
  history = calloc (kept_count + 1, sizeof *history);
  if (history == NULL)
    return RESULT_NO_MEMORY;
  result = sheet_hash (next, history[0].hash);
  if (result != RESULT_OK)
    {
      free (history);
      return result;
    }
  history[0].number = previous->number + 1;
  memcpy (history[0].operator_name, operator_name, strlen (operator_name) + 1);
  memcpy (history[0].token, token, strlen (token) + 1);
  history[0].applied_wall_ms = wall_ms;
  if (kept_count > 0)
    memcpy (history + 1, previous->history, kept_count * sizeof *history);
  free (next->history);
  next->history = history;
  next->history_count = kept_count + 1;
  next->number = previous->number + 1;

  json = sheet_to_json (next);
  if (json == NULL)
    return RESULT_NO_MEMORY;
  size = json_dumpb (json, NULL, 0, JSON_COMPACT);
  json_decref (json);
  return size > SHEET_OBJECT_LIMIT_BYTES ? RESULT_SHEET_TOO_LARGE : RESULT_OK;
}
