#include "sheet-read-internal.h"

#include <csv.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Largest accepted file; its platform object may not exceed 1 MB. */
#define FILE_LIMIT_BYTES 4194304

/* Cells of one row that are stored; further cells are only counted. */
#define CELL_LIMIT 64

/* Hash table entry: a name or credential that a row defines. */
struct definition
{
  unsigned row; /* line in the file */
  UT_hash_handle hh;
  char key[]; /* kind and name, or "credential" and SHA-256 */
};

struct reader
{
  struct sheet *sheet;
  struct sheet_report *report;
  unsigned line;     /* line of the byte being parsed, from 1 */
  unsigned row_line; /* line on which the current row began */
  char *cells;       /* text of the current row's cells, concatenated */
  size_t cells_size;
  size_t cells_capacity;
  size_t cell_starts[CELL_LIMIT + 1]; /* offsets in cells */
  size_t cell_count;
  bool header_seen;
  bool header_invalid; /* columns are unknown, so data rows are not read */
  bool end_row_seen;
  size_t header_cell_count;              /* cells of the header row */
  size_t positions[SHEET_COLUMNS];       /* index of the cell of each column */
  size_t row_count;                      /* data rows, without the end row */
  unsigned *row_lines[SHEET_KIND_COUNT]; /* line of each row, by kind */
  struct definition *definitions;
};

static void
report_row_error (struct reader *reader,
                  enum result code,
                  const char *column,
                  const char *detail)
{
  sheet_report_add (reader->report, code, reader->row_line, column, "", 0, "%s",
                    detail);
}

static const char *
get_cell (const struct reader *reader, size_t index, size_t *size)
{
  *size = reader->cell_starts[index + 1] - reader->cell_starts[index];
  return *size == 0 ? "" : reader->cells + reader->cell_starts[index];
}

static bool
cell_equals (const char *text, size_t size, const char *expected)
{
  return size == strlen (expected) && memcmp (text, expected, size) == 0;
}

static void
store_cell (void *text, size_t size, void *context)
{
  struct reader *reader = context;

  if (reader->cell_count == 0)
    {
      reader->row_line = reader->line;
      reader->cells_size = 0;
      reader->cell_starts[0] = 0;
    }
  if (reader->cell_count >= CELL_LIMIT)
    {
      reader->cell_count++;
      return;
    }
  if (reader->cells_size + size > reader->cells_capacity)
    {
      size_t capacity = (reader->cells_size + size) * 2;
      char *grown = realloc (reader->cells, capacity);

      if (grown == NULL)
        {
          reader->report->no_memory = true;
          size = 0;
        }
      else
        {
          reader->cells = grown;
          reader->cells_capacity = capacity;
        }
    }
  if (size > 0)
    memcpy (reader->cells + reader->cells_size, text, size);
  reader->cells_size += size;
  reader->cell_starts[++reader->cell_count] = reader->cells_size;
}

static void
read_header (struct reader *reader)
{
  bool seen[SHEET_COLUMNS] = { false };

  reader->header_seen = true;
  reader->header_cell_count = reader->cell_count;
  for (size_t i = 0; i < reader->cell_count && i < CELL_LIMIT; i++)
    {
      size_t size;
      const char *text = get_cell (reader, i, &size);
      int column = 0;

      while (column < SHEET_COLUMNS
             && !cell_equals (text, size, sheet_column_name (column)))
        column++;
      if (column == SHEET_COLUMNS || seen[column])
        {
          sheet_report_add (reader->report, RESULT_SHEET_HEADER,
                            reader->row_line, "", text, size, "%s",
                            column == SHEET_COLUMNS
                                ? "The column is unknown."
                                : "The column occurs twice.");
          reader->header_invalid = true;
          continue;
        }
      seen[column] = true;
      reader->positions[column] = i;
    }
  for (int column = 0; column < SHEET_COLUMNS; column++)
    if (!seen[column])
      {
        report_row_error (reader, RESULT_SHEET_HEADER,
                          sheet_column_name (column), "The column is missing.");
        reader->header_invalid = true;
      }
}

/* Records the definition of a name; reports it if it was defined before. */
static void
add_definition (struct reader *reader,
                const char *name_space,
                enum sheet_column column,
                const char *name)
{
  size_t name_space_size = strlen (name_space) + 1;
  size_t size = name_space_size + strlen (name);
  struct definition *definition = calloc (1, sizeof *definition + size + 1);
  struct definition *earlier;

  if (definition == NULL)
    {
      reader->report->no_memory = true;
      return;
    }
  memcpy (definition->key, name_space, name_space_size);
  memcpy (definition->key + name_space_size, name, strlen (name));
  definition->row = reader->row_line;
  HASH_FIND (hh, reader->definitions, definition->key, size, earlier);
  if (earlier != NULL)
    {
      sheet_report_add (reader->report, RESULT_SHEET_DUPLICATE,
                        reader->row_line, sheet_column_name (column), name,
                        strlen (name), "Row %u has the same value.",
                        earlier->row);
      free (definition);
      return;
    }
  HASH_ADD (hh, reader->definitions, key, size, definition);
}

static bool
store_row_line (struct reader *reader, enum sheet_kind kind, size_t index)
{
  void *grown = reader->row_lines[kind];

  /* The array grows to the next power of two. */
  if ((index & (index - 1)) == 0)
    grown = reallocarray (grown, index == 0 ? 1 : index * 2, sizeof (unsigned));
  if (grown == NULL)
    return false;
  reader->row_lines[kind] = grown;
  reader->row_lines[kind][index] = reader->row_line;
  return true;
}

static void
check_cell_is_empty (struct reader *reader, const char *kind_name, int column)
{
  size_t size;
  const char *text = get_cell (reader, reader->positions[column], &size);

  if (size > 0)
    sheet_report_add (reader->report, RESULT_SHEET_BAD_VALUE, reader->row_line,
                      sheet_column_name (column), text, size,
                      "A row of kind %s leaves this column empty.", kind_name);
}

static void
read_row_of_kind (struct reader *reader, enum sheet_kind kind)
{
  size_t index = sheet_count_rows_of_kind (reader->sheet, kind);
  char *row = NULL;
  const char *name;

  if (store_row_line (reader, kind, index))
    row = sheet_add_row (reader->sheet, kind);
  if (row == NULL)
    {
      reader->report->no_memory = true;
      return;
    }
  for (int column = SHEET_COLUMN_NAME; column < SHEET_COLUMNS; column++)
    {
      const struct sheet_field *field = sheet_find_field (kind, column);
      size_t size;
      const char *text = get_cell (reader, reader->positions[column], &size);

      if (field == NULL)
        check_cell_is_empty (reader, sheet_kind_name (kind), column);
      else
        sheet_parse_cell (field, row, text, size, reader->row_line,
                          reader->report);
    }
  name = sheet_row_name (reader->sheet, kind, index);
  if (*name != '\0')
    add_definition (reader, sheet_kind_name (kind), SHEET_COLUMN_NAME, name);
  if (kind == SHEET_KIND_CUSTOMER)
    {
      const struct sheet_customer *customer = (void *)row;

      if (customer->credential_sha256[0] != '\0')
        add_definition (reader, "credential", SHEET_COLUMN_CREDENTIAL_SHA256,
                        customer->credential_sha256);
    }
}

static void
read_end_row (struct reader *reader)
{
  size_t size;
  const char *text
      = get_cell (reader, reader->positions[SHEET_COLUMN_COUNT], &size);
  unsigned count;

  reader->end_row_seen = true;
  for (int column = SHEET_COLUMN_NAME; column < SHEET_COLUMNS; column++)
    if (column != SHEET_COLUMN_COUNT)
      check_cell_is_empty (reader, "end", column);
  if (!sheet_parse_number (text, size, &count) || count != reader->row_count)
    sheet_report_add (reader->report, RESULT_SHEET_TRUNCATED, reader->row_line,
                      sheet_column_name (SHEET_COLUMN_COUNT), text, size,
                      "There are %zu rows before the end row.",
                      reader->row_count);
}

static void
read_data_row (struct reader *reader)
{
  size_t size;
  const char *text;
  int kind = 0;

  if (reader->cell_count != reader->header_cell_count)
    {
      sheet_report_add (reader->report, RESULT_SHEET_SYNTAX, reader->row_line,
                        "", "", 0, "The row has %zu cells, the header %zu.",
                        reader->cell_count, reader->header_cell_count);
      reader->row_count++;
      return;
    }
  if (reader->header_invalid)
    return;
  text = get_cell (reader, reader->positions[SHEET_COLUMN_KIND], &size);
  if (reader->end_row_seen)
    {
      sheet_report_add (reader->report, RESULT_SHEET_TRUNCATED,
                        reader->row_line, "", text, size,
                        "There is a row after the end row.");
      return;
    }
  if (cell_equals (text, size, "end"))
    {
      read_end_row (reader);
      return;
    }
  reader->row_count++;
  while (kind < SHEET_KIND_COUNT
         && !cell_equals (text, size, sheet_kind_name (kind)))
    kind++;
  if (kind < SHEET_KIND_COUNT)
    read_row_of_kind (reader, kind);
  else
    sheet_report_add (reader->report, RESULT_SHEET_UNKNOWN_KIND,
                      reader->row_line, sheet_column_name (SHEET_COLUMN_KIND),
                      text, size,
                      "The kinds are model, customer, group, service and end.");
}

static void
handle_row_end (int terminator, void *context)
{
  struct reader *reader = context;

  (void)terminator;
  if (!reader->header_seen)
    read_header (reader);
  else
    read_data_row (reader);
  reader->cell_count = 0;
}

/*
 * Keeps libcsv from trimming spaces, since spaces around a cell are reported
 * as an error.
 */
static int
is_never_space (unsigned char c)
{
  (void)c;
  return 0;
}

static void
report_syntax_error (struct reader *reader, struct csv_parser *parser)
{
  const char *column = "";

  if (csv_error (parser) != CSV_EPARSE)
    {
      reader->report->no_memory = true;
      return;
    }
  for (int i = 0; i < SHEET_COLUMNS && reader->header_seen; i++)
    if (!reader->header_invalid && reader->positions[i] == reader->cell_count)
      column = sheet_column_name (i);
  reader->row_line = reader->line;
  report_row_error (
      reader, RESULT_SHEET_SYNTAX, column,
      "A quotation mark is misplaced or not closed; rows after it were not"
      " read.");
}

static void
parse_csv (struct reader *reader, const char *text, size_t size)
{
  struct csv_parser parser;
  bool valid = true;

  if (csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
    {
      reader->report->no_memory = true;
      return;
    }
  csv_set_space_func (&parser, is_never_space);
  /* Parses byte by byte, since libcsv does not report line numbers. */
  for (size_t i = 0; i < size && valid; i++)
    {
      valid
          = csv_parse (&parser, text + i, 1, store_cell, handle_row_end, reader)
            == 1;
      if (valid
          && (text[i] == '\n'
              || (text[i] == '\r' && (i + 1 == size || text[i + 1] != '\n'))))
        reader->line++;
    }
  if (valid)
    valid = csv_fini (&parser, store_cell, handle_row_end, reader) == 0;
  if (!valid)
    report_syntax_error (reader, &parser);
  csv_free (&parser);
}

/* Fills empty version and adapters cells of groups from their model. */
static void
inherit_from_models (struct reader *reader)
{
  for (size_t i = 0; i < reader->sheet->group_count; i++)
    {
      struct sheet_group *group = &reader->sheet->groups[i];
      const struct sheet_model *model
          = sheet_find_model (reader->sheet, group->model);

      if (model == NULL)
        continue;
      if (group->version[0] == '\0')
        memcpy (group->version, model->version, sizeof group->version);
      if (group->adapters.count == 0
          && !sheet_list_copy (&group->adapters, &model->adapters))
        reader->report->no_memory = true;
    }
}

/* Reports a sheet that is empty or has under half of the accepted rows. */
static void
check_row_count (struct reader *reader,
                 const struct sheet_read_options *options)
{
  size_t accepted_rows
      = options->previous != NULL ? sheet_row_count (options->previous) : 0;

  reader->row_line = 0;
  if (options->force
      || (reader->row_count > 0 && reader->row_count * 2 >= accepted_rows))
    return;
  sheet_report_add (reader->report, RESULT_SHEET_SHRUNK, 0, "", "", 0,
                    "The sheet has %zu rows, the accepted sheet has %zu.",
                    reader->row_count, accepted_rows);
}

static void
check_object_size (struct reader *reader)
{
  json_t *json = sheet_to_json (reader->sheet);

  if (json == NULL)
    reader->report->no_memory = true;
  else if (json_dumpb (json, NULL, 0, JSON_COMPACT) > SHEET_OBJECT_LIMIT_BYTES)
    report_row_error (reader, RESULT_SHEET_TOO_LARGE, "",
                      "It is larger than 1 MB.");
  json_decref (json);
}

static void
reader_finish (struct reader *reader)
{
  struct definition *definition = reader->definitions;

  HASH_CLEAR (hh, reader->definitions);
  while (definition != NULL)
    {
      struct definition *next = definition->hh.next;

      free (definition);
      definition = next;
    }
  for (int kind = 0; kind < SHEET_KIND_COUNT; kind++)
    free (reader->row_lines[kind]);
  free (reader->cells);
}

enum result
sheet_read (struct sheet *sheet,
            const char *text,
            size_t size,
            const struct sheet_read_options *options,
            struct sheet_report *report)
{
  struct reader reader = { .sheet = sheet, .report = report, .line = 1 };

  report->places_checked = options->inventory != NULL;
  if (size > FILE_LIMIT_BYTES)
    {
      report_row_error (&reader, RESULT_SHEET_TOO_LARGE, "",
                        "The file is over 4 MB.");
      return RESULT_SHEET_TOO_LARGE;
    }
  if (size >= 2
      && (memcmp (text, "\xff\xfe", 2) == 0
          || memcmp (text, "\xfe\xff", 2) == 0))
    {
      reader.row_line = 1;
      report_row_error (&reader, RESULT_SHEET_ENCODING, "",
                        "The file is UTF-16; export it as UTF-8.");
      return RESULT_SHEET_ENCODING;
    }
  if (size >= 3 && memcmp (text, "\xef\xbb\xbf", 3) == 0)
    {
      text += 3;
      size -= 3;
    }
  parse_csv (&reader, text, size);
  report->rows = reader.row_count;
  reader.row_line = reader.line;
  if (!reader.header_seen)
    report_row_error (&reader, RESULT_SHEET_HEADER, "",
                      "The file has no header row.");
  else if (!reader.header_invalid)
    {
      if (!reader.end_row_seen)
        report_row_error (&reader, RESULT_SHEET_TRUNCATED, "kind",
                          "The sheet does not finish with an end row.");
      inherit_from_models (&reader);
      sheet_check (sheet, reader.row_lines, options, report);
      check_row_count (&reader, options);
      check_object_size (&reader);
    }
  reader_finish (&reader);
  sheet_report_sort (report);
  if (report->no_memory)
    return RESULT_NO_MEMORY;
  return report->error_total > 0 ? report->errors[0].code : RESULT_OK;
}
