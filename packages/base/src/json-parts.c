#include "json-parts.h"

#include <stdbool.h>
#include <string.h>

/* Text that remains to be read. */
struct cursor
{
  const char *at;
  const char *end;
};

static bool
is_white_space (char byte)
{
  return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

/* Returns the next byte after white space, 0 at the end. */
static char
peek (struct cursor *cursor)
{
  while (cursor->at < cursor->end && is_white_space (*cursor->at))
    cursor->at++;
  return cursor->at < cursor->end ? *cursor->at : '\0';
}

static bool
skip_byte (struct cursor *cursor, char byte)
{
  if (cursor->at == cursor->end || peek (cursor) != byte)
    return false;
  cursor->at++;
  return true;
}

/* Skips a string, whose first byte is its quotation mark. */
static bool
skip_string (struct cursor *cursor)
{
  cursor->at++;
  while (cursor->at < cursor->end)
    {
      char byte = *cursor->at++;

      if (byte == '"')
        return true;
      if (byte == '\\' && cursor->at < cursor->end)
        cursor->at++;
    }
  return false;
}

/*
 * Skips a value of any bytes up to the comma or bracket that ends it.  False
 * if its strings or brackets do not end.
 */
static bool
skip_value (struct cursor *cursor)
{
  size_t depth = 0;

  while (cursor->at < cursor->end)
    {
      char byte = *cursor->at;

      if (byte == '"')
        {
          if (!skip_string (cursor))
            return false;
          continue;
        }
      if (depth == 0 && (byte == ',' || byte == ']' || byte == '}'))
        return true;
      if (byte == '[' || byte == '{')
        depth++;
      else if (byte == ']' || byte == '}')
        depth--;
      cursor->at++;
    }
  return false;
}

static json_t *
load_string (const struct cursor *start, const char *end)
{
  return json_loadb (start->at, (size_t)(end - start->at), JSON_DECODE_ANY,
                     NULL);
}

/* Reads the name of a member.  False if there is none; NULL if unreadable. */
static bool
read_member_name (struct cursor *cursor, json_t **name)
{
  struct cursor start;

  if (peek (cursor) != '"')
    return false;
  start = *cursor;
  if (!skip_string (cursor))
    return false;
  *name = load_string (&start, cursor->at);
  return skip_byte (cursor, ':');
}

static json_t *
load_part (const char *data, size_t size, const char *whole, unsigned depth);

/* Adds the part that starts at the cursor, or null. */
static bool
add_part (json_t *container,
          const json_t *name,
          struct cursor *cursor,
          const char *whole,
          unsigned depth)
{
  const char *start = cursor->at;
  const char *key = json_string_value (name);
  bool is_whole = key != NULL && strcmp (key, whole) == 0;
  json_t *part;

  if (!skip_value (cursor))
    return false;
  if (name == NULL && json_is_object (container))
    return true;
  part = load_part (start, (size_t)(cursor->at - start), whole,
                    is_whole ? 0 : depth - 1);
  if (part == NULL)
    part = json_null ();
  return json_is_object (container)
             ? json_object_set_new_nocheck (container, key, part) == 0
             : json_array_append_new (container, part) == 0;
}

static json_t *
split_container (struct cursor cursor, const char *whole, unsigned depth)
{
  bool is_object = *cursor.at == '{';
  char end = is_object ? '}' : ']';
  json_t *container = is_object ? json_object () : json_array ();
  bool more = true;

  cursor.at++;
  while (container != NULL && more)
    {
      json_t *name = NULL;
      bool added = (!is_object || read_member_name (&cursor, &name))
                   && add_part (container, name, &cursor, whole, depth);

      json_decref (name);
      if (!added)
        goto failed;
      more = skip_byte (&cursor, ',');
    }
  if (skip_byte (&cursor, end) && peek (&cursor) == '\0'
      && cursor.at == cursor.end)
    return container;

failed:
  json_decref (container);
  return NULL;
}

static json_t *
load_part (const char *data, size_t size, const char *whole, unsigned depth)
{
  struct cursor cursor = { data, data + size };
  json_t *json = json_loadb (data, size, JSON_DECODE_ANY, NULL);
  char first;

  if (json != NULL || depth == 0)
    return json;
  first = peek (&cursor);
  return first == '{' || first == '[' ? split_container (cursor, whole, depth)
                                      : NULL;
}

json_t *
json_load_parts (const char *data,
                 size_t size,
                 const char *whole,
                 unsigned depth)
{
  return load_part (data, size, whole, depth);
}
