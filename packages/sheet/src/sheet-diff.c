#include "sheet-diff.h"

#include "sheet-field.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Hash table entry: maps a name, which the sheet owns, to its row index. */
struct name_index
{
  const char *name;
  size_t row;
  UT_hash_handle hh;
};

const char *
sheet_difference_name (enum sheet_difference difference)
{
  static const char *const names[] = { "added", "removed", "changed" };

  return names[difference];
}

void
sheet_diff_init (struct sheet_diff *diff)
{
  memset (diff, 0, sizeof *diff);
}

void
sheet_diff_finish (struct sheet_diff *diff)
{
  for (size_t i = 0; i < diff->row_count; i++)
    {
      for (size_t j = 0; j < diff->rows[i].field_count; j++)
        {
          free (diff->rows[i].fields[j].before);
          free (diff->rows[i].fields[j].after);
        }
      free (diff->rows[i].fields);
    }
  free (diff->rows);
  sheet_diff_init (diff);
}

bool
sheet_diff_is_empty (const struct sheet_diff *diff)
{
  return diff->row_count == 0 && !diff->group_order_changed;
}

static struct sheet_diff_row *
add_row (struct sheet_diff *diff,
         enum sheet_difference difference,
         enum sheet_kind kind,
         const char *name)
{
  struct sheet_diff_row *row;

  /* The array grows to the next power of two. */
  if ((diff->row_count & (diff->row_count - 1)) == 0)
    {
      void *grown = reallocarray (
          diff->rows, diff->row_count == 0 ? 1 : diff->row_count * 2,
          sizeof *row);

      if (grown == NULL)
        return NULL;
      diff->rows = grown;
    }
  row = &diff->rows[diff->row_count++];
  memset (row, 0, sizeof *row);
  row->difference = difference;
  row->kind = kind;
  memcpy (row->name, name, strlen (name) + 1);
  return row;
}

static enum result
add_field_change (struct sheet_diff_row *row,
                  enum sheet_column column,
                  char *before,
                  char *after)
{
  struct sheet_field_change *field;

  if (row->fields == NULL)
    {
      row->fields = calloc (SHEET_COLUMNS, sizeof *row->fields);
      if (row->fields == NULL)
        return RESULT_NO_MEMORY;
    }
  field = &row->fields[row->field_count++];
  field->column = column;
  field->before = before;
  field->after = after;
  return RESULT_OK;
}

static enum result
compare_fields (struct sheet_diff *diff,
                enum sheet_kind kind,
                const struct sheet *before,
                size_t before_row,
                const struct sheet *after,
                size_t after_row)
{
  const struct sheet_kind_info *info = sheet_kind_info (kind);
  struct sheet_diff_row *row = NULL;

  for (size_t i = 0; i < info->field_count; i++)
    {
      enum sheet_column column = info->fields[i].column;
      char *old_text = sheet_cell_text (before, kind, before_row, column);
      char *new_text = sheet_cell_text (after, kind, after_row, column);
      enum result result = RESULT_OK;

      if (old_text == NULL || new_text == NULL)
        result = RESULT_NO_MEMORY;
      else if (strcmp (old_text, new_text) != 0)
        {
          if (row == NULL)
            row = add_row (diff, SHEET_CHANGED, kind,
                           sheet_row_name (after, kind, after_row));
          result = row == NULL
                       ? RESULT_NO_MEMORY
                       : add_field_change (row, column, old_text, new_text);
          if (result == RESULT_OK)
            continue;
        }
      free (old_text);
      free (new_text);
      if (result != RESULT_OK)
        return result;
    }
  return RESULT_OK;
}

static enum result
compare_rows_of_kind (struct sheet_diff *diff,
                      enum sheet_kind kind,
                      const struct sheet *before,
                      const struct sheet *after)
{
  size_t before_count = sheet_count_rows_of_kind (before, kind);
  size_t after_count = sheet_count_rows_of_kind (after, kind);
  struct name_index *name_entries
      = calloc (before_count + 1, sizeof *name_entries);
  bool *found = calloc (before_count + 1, sizeof *found);
  struct name_index *table = NULL;
  struct name_index *entry;
  enum result result = RESULT_NO_MEMORY;
  size_t last_row = 0;

  if (name_entries == NULL || found == NULL)
    goto finish;
  for (size_t i = 0; i < before_count; i++)
    {
      name_entries[i].name = sheet_row_name (before, kind, i);
      name_entries[i].row = i;
      HASH_ADD_KEYPTR (hh, table, name_entries[i].name,
                       strlen (name_entries[i].name), &name_entries[i]);
    }
  for (size_t i = 0; i < after_count; i++)
    {
      const char *name = sheet_row_name (after, kind, i);

      HASH_FIND_STR (table, name, entry);
      if (entry == NULL)
        {
          if (add_row (diff, SHEET_ADDED, kind, name) == NULL)
            goto finish;
          continue;
        }
      found[entry->row] = true;
      if (kind == SHEET_KIND_GROUP && entry->row < last_row)
        diff->group_order_changed = true;
      last_row = entry->row;
      if (compare_fields (diff, kind, before, entry->row, after, i)
          != RESULT_OK)
        goto finish;
    }
  for (size_t i = 0; i < before_count; i++)
    if (!found[i]
        && add_row (diff, SHEET_REMOVED, kind, name_entries[i].name) == NULL)
      goto finish;
  result = RESULT_OK;

finish:
  HASH_CLEAR (hh, table);
  free (name_entries);
  free (found);
  return result;
}

enum result
sheet_diff_make (struct sheet_diff *diff,
                 const struct sheet *before,
                 const struct sheet *after)
{
  enum result result = RESULT_OK;

  for (int kind = 0; kind < SHEET_KIND_COUNT && result == RESULT_OK; kind++)
    result = compare_rows_of_kind (diff, kind, before, after);
  return result;
}
