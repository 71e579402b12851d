#ifndef SHEET_SHEET_FIELD_H
#define SHEET_SHEET_FIELD_H

#include "sheet-column.h"

/*
 * The table of fields describes which columns each kind of row has.  The CSV
 * reader, the JSON codec, the diff and the hash all use it, so that a new
 * column is added in one place.
 */

enum sheet_form
{
  SHEET_FORM_PLAIN, /* ASCII name that is safe in a URL or object key */
  SHEET_FORM_TEXT,  /* UTF-8 name */
  SHEET_FORM_SHA256,
  SHEET_FORM_NUMBER,
  SHEET_FORM_PLAIN_LIST,
  SHEET_FORM_TEXT_LIST,
  SHEET_FORM_CALL_LIST, /* "METHOD /prefix" or "*" */
};

struct sheet_field
{
  enum sheet_column column;
  enum sheet_form form;
  bool required;
  size_t offset; /* offset of the member in the struct of the row, in bytes */
  size_t size;   /* size of the member; of a text, with its NUL */
  unsigned min;  /* lowest value of a number */
  unsigned max;  /* highest value of a number */
};

struct sheet_kind_info
{
  const char *name;
  const char *plural; /* key of the array in JSON */
  size_t row_size;
  const struct sheet_field *fields; /* the first field is the name */
  size_t field_count;
};

const struct sheet_kind_info *sheet_kind_info (enum sheet_kind kind);

/* Returns NULL if rows of this kind have no such column. */
const struct sheet_field *sheet_find_field (enum sheet_kind kind,
                                            enum sheet_column column);

bool sheet_form_is_list (enum sheet_form form);

void *
sheet_row_at (const struct sheet *sheet, enum sheet_kind kind, size_t index);

/* Appends a zeroed row and returns it, or NULL if memory is short. */
void *sheet_add_row (struct sheet *sheet, enum sheet_kind kind);

/*
 * Appends a name of size bytes, which must fit.  Returns false if memory is
 * short.
 */
bool sheet_list_add (struct sheet_list *list, const char *name, size_t size);

/* Appends all names of another list.  Returns false if memory is short. */
bool sheet_list_copy (struct sheet_list *to, const struct sheet_list *from);

#endif
