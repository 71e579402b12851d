#include "sheet.h"

#include "sheet-field.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest values of cells. */
#define MAX_REQUESTS 1000000 /* per second, or in flight */
#define MAX_GROUP_COUNT 10000

#define FIELD(type, member, column, form, required, min, max)                  \
  {                                                                            \
    SHEET_COLUMN_##column, SHEET_FORM_##form, required,                        \
        offsetof (struct type, member), sizeof (((struct type *)0)->member),   \
        min, max                                                               \
  }
#define TEXT_FIELD(type, member, column, form, required)                       \
  FIELD (type, member, column, form, required, 0, 0)

static const struct sheet_field model_fields[] = {
  TEXT_FIELD (sheet_model, name, NAME, TEXT, true),
  TEXT_FIELD (sheet_model, version, VERSION, TEXT, true),
  TEXT_FIELD (sheet_model, adapters, ADAPTERS, TEXT_LIST, false),
};

static const struct sheet_field customer_fields[] = {
  TEXT_FIELD (sheet_customer, name, NAME, TEXT, true),
  TEXT_FIELD (
      sheet_customer, credential_sha256, CREDENTIAL_SHA256, SHA256, true),
  FIELD (sheet_customer, weight, WEIGHT, NUMBER, true, 1, 1000),
  FIELD (sheet_customer, rate, RATE, NUMBER, true, 0, MAX_REQUESTS),
  FIELD (sheet_customer, in_flight, IN_FLIGHT, NUMBER, true, 0, MAX_REQUESTS),
  TEXT_FIELD (sheet_customer, data_centres, DATA_CENTRES, PLAIN_LIST, true),
};

static const struct sheet_field group_fields[] = {
  TEXT_FIELD (sheet_group, name, NAME, PLAIN, true),
  TEXT_FIELD (sheet_group, model, MODEL, TEXT, true),
  TEXT_FIELD (sheet_group, version, VERSION, TEXT, false),
  TEXT_FIELD (sheet_group, adapters, ADAPTERS, TEXT_LIST, false),
  FIELD (sheet_group, span, SPAN, NUMBER, true, 1, SHEET_SPAN_LIMIT),
  FIELD (sheet_group, count, COUNT, NUMBER, true, 0, MAX_GROUP_COUNT),
  TEXT_FIELD (sheet_group, data_centres, DATA_CENTRES, PLAIN_LIST, true),
  TEXT_FIELD (sheet_group, domains, DOMAINS, PLAIN_LIST, false),
  TEXT_FIELD (sheet_group, hosts, HOSTS, PLAIN_LIST, false),
  TEXT_FIELD (sheet_group, customers, CUSTOMERS, TEXT_LIST, false),
};

static const struct sheet_field service_fields[] = {
  TEXT_FIELD (sheet_service, name, NAME, PLAIN, true),
  TEXT_FIELD (sheet_service, data_centres, DATA_CENTRES, PLAIN_LIST, true),
  TEXT_FIELD (sheet_service, customers, CUSTOMERS, TEXT_LIST, false),
  TEXT_FIELD (sheet_service, non_idempotent, NON_IDEMPOTENT, CALL_LIST, false),
};

#define COUNT_OF(array) (sizeof (array) / sizeof ((array)[0]))

static const struct sheet_kind_info kinds[SHEET_KIND_COUNT] = {
  [SHEET_KIND_MODEL] = { "model", "models", sizeof (struct sheet_model),
                         model_fields, COUNT_OF (model_fields) },
  [SHEET_KIND_CUSTOMER]
  = { "customer", "customers", sizeof (struct sheet_customer), customer_fields,
      COUNT_OF (customer_fields) },
  [SHEET_KIND_GROUP] = { "group", "groups", sizeof (struct sheet_group),
                         group_fields, COUNT_OF (group_fields) },
  [SHEET_KIND_SERVICE] = { "service", "services", sizeof (struct sheet_service),
                           service_fields, COUNT_OF (service_fields) },
};

static const char *const column_names[SHEET_COLUMNS] = {
  "kind",     "name",  "model",     "version",
  "adapters", "span",  "count",     "data_centres",
  "domains",  "hosts", "customers", "credential_sha256",
  "weight",   "rate",  "in_flight", "non_idempotent",
};

const struct sheet_kind_info *
sheet_kind_info (enum sheet_kind kind)
{
  return &kinds[kind];
}

const char *
sheet_kind_name (enum sheet_kind kind)
{
  return kinds[kind].name;
}

const char *
sheet_column_name (enum sheet_column column)
{
  return column_names[column];
}

const struct sheet_field *
sheet_find_field (enum sheet_kind kind, enum sheet_column column)
{
  for (size_t i = 0; i < kinds[kind].field_count; i++)
    if (kinds[kind].fields[i].column == column)
      return &kinds[kind].fields[i];
  return NULL;
}

bool
sheet_form_is_list (enum sheet_form form)
{
  return form == SHEET_FORM_PLAIN_LIST || form == SHEET_FORM_TEXT_LIST
         || form == SHEET_FORM_CALL_LIST;
}

size_t
sheet_count_rows_of_kind (const struct sheet *sheet, enum sheet_kind kind)
{
  switch (kind)
    {
    case SHEET_KIND_MODEL:
      return sheet->model_count;
    case SHEET_KIND_CUSTOMER:
      return sheet->customer_count;
    case SHEET_KIND_GROUP:
      return sheet->group_count;
    case SHEET_KIND_SERVICE:
      return sheet->service_count;
    default:
      return 0;
    }
}

size_t
sheet_row_count (const struct sheet *sheet)
{
  return sheet->model_count + sheet->customer_count + sheet->group_count
         + sheet->service_count;
}

void *
sheet_row_at (const struct sheet *sheet, enum sheet_kind kind, size_t index)
{
  switch (kind)
    {
    case SHEET_KIND_MODEL:
      return &sheet->models[index];
    case SHEET_KIND_CUSTOMER:
      return &sheet->customers[index];
    case SHEET_KIND_GROUP:
      return &sheet->groups[index];
    case SHEET_KIND_SERVICE:
      return &sheet->services[index];
    default:
      return NULL;
    }
}

const char *
sheet_row_name (const struct sheet *sheet, enum sheet_kind kind, size_t index)
{
  const char *row = sheet_row_at (sheet, kind, index);

  return row + kinds[kind].fields[0].offset;
}

/*
 * Makes space for one more zeroed row.  The capacity is the next power of two
 * from count, so that it need not be stored.  Returns NULL if memory is short.
 */
static void *
grow_rows (void *rows, size_t count, size_t row_size)
{
  void *grown = rows;

  if ((count & (count - 1)) == 0)
    grown = reallocarray (rows, count == 0 ? 1 : count * 2, row_size);
  if (grown != NULL)
    memset ((char *)grown + count * row_size, 0, row_size);
  return grown;
}

#define ADD_ROW(sheet, rows, count)                                            \
  do                                                                           \
    {                                                                          \
      void *grown                                                              \
          = grow_rows ((sheet)->rows, (sheet)->count, sizeof *(sheet)->rows);  \
      if (grown == NULL)                                                       \
        return NULL;                                                           \
      (sheet)->rows = grown;                                                   \
      return &(sheet)->rows[(sheet)->count++];                                 \
    }                                                                          \
  while (0)

void *
sheet_add_row (struct sheet *sheet, enum sheet_kind kind)
{
  switch (kind)
    {
    case SHEET_KIND_MODEL:
      ADD_ROW (sheet, models, model_count);
    case SHEET_KIND_CUSTOMER:
      ADD_ROW (sheet, customers, customer_count);
    case SHEET_KIND_GROUP:
      ADD_ROW (sheet, groups, group_count);
    case SHEET_KIND_SERVICE:
      ADD_ROW (sheet, services, service_count);
    default:
      return NULL;
    }
}

bool
sheet_list_add (struct sheet_list *list, const char *name, size_t size)
{
  void *grown = grow_rows (list->names, list->count, SHEET_NAME_SIZE);

  if (grown == NULL)
    return false;
  list->names = grown;
  memcpy (list->names[list->count++], name, size);
  return true;
}

bool
sheet_list_copy (struct sheet_list *to, const struct sheet_list *from)
{
  for (size_t i = 0; i < from->count; i++)
    if (!sheet_list_add (to, from->names[i], strlen (from->names[i])))
      return false;
  return true;
}

void
sheet_init (struct sheet *sheet)
{
  memset (sheet, 0, sizeof *sheet);
}

void
sheet_finish (struct sheet *sheet)
{
  for (int kind = 0; kind < SHEET_KIND_COUNT; kind++)
    for (size_t i = 0; i < sheet_count_rows_of_kind (sheet, kind); i++)
      for (size_t j = 0; j < kinds[kind].field_count; j++)
        {
          const struct sheet_field *field = &kinds[kind].fields[j];
          char *row = sheet_row_at (sheet, kind, i);

          if (sheet_form_is_list (field->form))
            free (((struct sheet_list *)(void *)(row + field->offset))->names);
        }
  free (sheet->models);
  free (sheet->customers);
  free (sheet->groups);
  free (sheet->services);
  free (sheet->history);
  sheet_init (sheet);
}

bool
sheet_list_has (const struct sheet_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcmp (list->names[i], name) == 0)
      return true;
  return false;
}

const struct sheet_customer *
sheet_find_customer (const struct sheet *sheet, const char *name)
{
  for (size_t i = 0; i < sheet->customer_count; i++)
    if (strcmp (sheet->customers[i].name, name) == 0)
      return &sheet->customers[i];
  return NULL;
}

const struct sheet_customer *
sheet_find_credential (const struct sheet *sheet, const char *sha256_hex)
{
  for (size_t i = 0; i < sheet->customer_count; i++)
    if (strcmp (sheet->customers[i].credential_sha256, sha256_hex) == 0)
      return &sheet->customers[i];
  return NULL;
}

const struct sheet_service *
sheet_find_service (const struct sheet *sheet, const char *name)
{
  for (size_t i = 0; i < sheet->service_count; i++)
    if (strcmp (sheet->services[i].name, name) == 0)
      return &sheet->services[i];
  return NULL;
}

const struct sheet_model *
sheet_find_model (const struct sheet *sheet, const char *name)
{
  for (size_t i = 0; i < sheet->model_count; i++)
    if (strcmp (sheet->models[i].name, name) == 0)
      return &sheet->models[i];
  return NULL;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (a, b);
}

/* Joins the sorted names by ';'.  Returns NULL if memory is short. */
static char *
format_list (const struct sheet_list *list)
{
  char (*names)[SHEET_NAME_SIZE] = NULL;
  char *text = calloc (list->count + 1, SHEET_NAME_SIZE + 1);
  char *end = text;

  if (text == NULL || list->count == 0)
    return text;
  names = calloc (list->count, SHEET_NAME_SIZE);
  if (names == NULL)
    {
      free (text);
      return NULL;
    }
  memcpy (names, list->names, list->count * SHEET_NAME_SIZE);
  qsort (names, list->count, SHEET_NAME_SIZE, compare_names);
  for (size_t i = 0; i < list->count; i++)
    {
      if (i > 0)
        *end++ = ';';
      end = stpcpy (end, names[i]);
    }
  free (names);
  return text;
}

char *
sheet_cell_text (const struct sheet *sheet,
                 enum sheet_kind kind,
                 size_t index,
                 enum sheet_column column)
{
  const struct sheet_field *field = sheet_find_field (kind, column);
  const char *cell;
  char *text = NULL;

  if (field == NULL)
    return NULL;
  cell = (const char *)sheet_row_at (sheet, kind, index) + field->offset;
  if (sheet_form_is_list (field->form))
    return format_list ((const struct sheet_list *)(const void *)cell);
  if (field->form != SHEET_FORM_NUMBER)
    return strdup (cell);
  if (asprintf (&text, "%u", *(const unsigned *)(const void *)cell) < 0)
    return NULL;
  return text;
}
