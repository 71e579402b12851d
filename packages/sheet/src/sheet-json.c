#include "jsonutil.h"
#include "sheet-field.h"

#include <stdlib.h>
#include <string.h>

static json_t *
list_to_json (const struct sheet_list *list)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < list->count; i++)
    if (json_array_append_new (array, json_string (list->names[i])) != 0)
      {
        json_decref (array);
        return NULL;
      }
  return array;
}

static json_t *
row_to_json (const struct sheet *sheet, enum sheet_kind kind, size_t index)
{
  const struct sheet_kind_info *info = sheet_kind_info (kind);
  const char *row = sheet_row_at (sheet, kind, index);
  json_t *object = json_object ();

  for (size_t i = 0; i < info->field_count; i++)
    {
      const struct sheet_field *field = &info->fields[i];
      const void *cell = row + field->offset;
      json_t *value;

      if (sheet_form_is_list (field->form))
        value = list_to_json (cell);
      else if (field->form == SHEET_FORM_NUMBER)
        value = json_integer (*(const unsigned *)cell);
      else
        value = json_string (cell);
      if (json_object_set_new (object, sheet_column_name (field->column), value)
          != 0)
        {
          json_decref (object);
          return NULL;
        }
    }
  return object;
}

static json_t *
change_to_json (const struct sheet_change *change)
{
  return json_pack (
      "{s:I, s:s, s:s, s:s, s:I}", "number", (json_int_t)change->number,
      "operator", change->operator_name, "token", change->token, "hash",
      change->hash, "applied_wall_ms", (json_int_t)change->applied_wall_ms);
}

json_t *
sheet_to_json (const struct sheet *sheet)
{
  json_t *json = json_object ();
  json_t *history = json_array ();
  bool failed = json_object_set_new (json, "number",
                                     json_integer ((json_int_t)sheet->number))
                != 0;

  for (int kind = 0; kind < SHEET_KIND_COUNT && !failed; kind++)
    {
      json_t *rows = json_array ();

      for (size_t i = 0; i < sheet_count_rows_of_kind (sheet, kind) && !failed;
           i++)
        failed
            = json_array_append_new (rows, row_to_json (sheet, kind, i)) != 0;
      if (json_object_set_new (json, sheet_kind_info (kind)->plural, rows) != 0)
        failed = true;
    }
  for (size_t i = 0; i < sheet->history_count && !failed; i++)
    failed
        = json_array_append_new (history, change_to_json (&sheet->history[i]))
          != 0;
  if (json_object_set_new (json, "history", history) != 0 || failed)
    {
      json_decref (json);
      return NULL;
    }
  return json;
}

static enum result
list_from_json (struct sheet_list *list, const json_t *json)
{
  size_t index;
  const json_t *item;

  if (!json_is_array (json))
    return RESULT_INVALID;
  json_array_foreach (json, index, item)
    {
      const char *name = json_string_value (item);

      if (name == NULL || *name == '\0' || strlen (name) >= SHEET_NAME_SIZE)
        return RESULT_INVALID;
      if (!sheet_list_add (list, name, strlen (name)))
        return RESULT_NO_MEMORY;
    }
  return RESULT_OK;
}

static enum result
field_from_json (const struct sheet_field *field,
                 char *row,
                 const json_t *object)
{
  const char *key = sheet_column_name (field->column);
  void *cell = row + field->offset;
  uint64_t number;

  if (sheet_form_is_list (field->form))
    return list_from_json (cell, json_object_get (object, key));
  if (field->form == SHEET_FORM_NUMBER)
    {
      if (!json_read_u64 (object, key, &number) || number < field->min
          || number > field->max)
        return RESULT_INVALID;
      *(unsigned *)cell = (unsigned)number;
      return RESULT_OK;
    }
  if (!json_read_string (object, key, cell, field->size)
      || (field->required && *(const char *)cell == '\0'))
    return RESULT_INVALID;
  return RESULT_OK;
}

static enum result
rows_from_json (struct sheet *sheet, enum sheet_kind kind, const json_t *rows)
{
  const struct sheet_kind_info *info = sheet_kind_info (kind);
  size_t index;
  const json_t *object;

  if (!json_is_array (rows))
    return RESULT_INVALID;
  json_array_foreach (rows, index, object)
    {
      char *row = sheet_add_row (sheet, kind);

      if (row == NULL)
        return RESULT_NO_MEMORY;
      for (size_t i = 0; i < info->field_count; i++)
        {
          enum result result = field_from_json (&info->fields[i], row, object);

          if (result != RESULT_OK)
            return result;
        }
    }
  return RESULT_OK;
}

static enum result
history_from_json (struct sheet *sheet, const json_t *history)
{
  size_t index;
  const json_t *item;

  if (!json_is_array (history)
      || json_array_size (history) > SHEET_HISTORY_LIMIT)
    return RESULT_INVALID;
  if (json_array_size (history) == 0)
    return RESULT_OK;
  sheet->history = calloc (json_array_size (history), sizeof *sheet->history);
  if (sheet->history == NULL)
    return RESULT_NO_MEMORY;
  json_array_foreach (history, index, item)
    {
      struct sheet_change *change = &sheet->history[index];
      uint64_t wall_ms;

      if (!json_read_u64 (item, "number", &change->number)
          || !json_read_string (item, "operator", change->operator_name,
                                sizeof change->operator_name)
          || !json_read_string (item, "token", change->token,
                                sizeof change->token)
          || !json_read_string (item, "hash", change->hash, sizeof change->hash)
          || !json_read_u64 (item, "applied_wall_ms", &wall_ms))
        return RESULT_INVALID;
      change->applied_wall_ms = (int64_t)wall_ms;
    }
  sheet->history_count = json_array_size (history);
  return RESULT_OK;
}

enum result
sheet_from_json (struct sheet *sheet, const json_t *json)
{
  if (!json_read_u64 (json, "number", &sheet->number))
    return RESULT_INVALID;
  for (int kind = 0; kind < SHEET_KIND_COUNT; kind++)
    {
      const char *key = sheet_kind_info (kind)->plural;
      enum result result
          = rows_from_json (sheet, kind, json_object_get (json, key));

      if (result != RESULT_OK)
        return result;
    }
  return history_from_json (sheet, json_object_get (json, "history"));
}
