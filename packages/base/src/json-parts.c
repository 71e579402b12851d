#include "json-parts.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Levels of nesting that an item may have, as many as the JSON parser reads. */
#define NESTING_LIMIT 2048
/*
 * Bytes read to find the ends of items, as a multiple of the text.  Items whose
 * brackets do not match can each be read up to the nesting limit.
 */
#define SCAN_FACTOR 16
/* Places that are tried as the end of the unreadable member of an item. */
#define MEMBER_END_TRIES 32
/* What frames that member in an item, before and after it, is shorter. */
#define FRAME_LIMIT_BYTES 4096
/* Places that are tried as the end of an array whose last item is torn. */
#define ARRAY_END_TRIES 16
/* The members after an array are shorter than this. */
#define ARRAY_REST_LIMIT_BYTES 65536

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

/* What the scan of a text has in common at all of its levels. */
struct scan
{
  const char *whole;
  size_t budget; /* bytes that may still be read to find ends of items */
};

static json_t *
load_part (const char *data, size_t size, struct scan *scan, unsigned depth);

/* Brackets that are open, as one bit each: set for an object. */
struct nesting
{
  uint8_t bits[NESTING_LIMIT / 8];
  size_t depth;
};

static bool
is_in_object (const struct nesting *nesting)
{
  size_t level = nesting->depth - 1;

  return nesting->depth > 0
         && (nesting->bits[level / 8] >> (level % 8) & 1) != 0;
}

static bool
open_bracket (struct nesting *nesting, char byte)
{
  size_t level = nesting->depth;
  uint8_t bit = (uint8_t)(1U << (level % 8));

  if (level == NESTING_LIMIT)
    return false;
  nesting->bits[level / 8] &= (uint8_t)~bit;
  if (byte == '{')
    nesting->bits[level / 8] |= bit;
  nesting->depth++;
  return true;
}

static bool
close_bracket (struct nesting *nesting, char byte)
{
  if (nesting->depth == 0 || is_in_object (nesting) != (byte == '}'))
    return false;
  nesting->depth--;
  return true;
}

/* True if the byte may follow the one before, white space left out. */
static bool
may_follow (char before, char byte, bool in_object)
{
  bool at_value = before == '\0' || strchr ("[{,:", before) != NULL;

  switch (byte)
    {
    case '"':
      return at_value;
    case '[':
    case '{':
      return at_value && !(in_object && before == ',');
    case ':':
      return in_object;
    case ',':
    case ']':
    case '}':
      return !(in_object && before == ',');
    default:
      return before != '"' && !(in_object && before == ',');
    }
}

/*
 * Skips an item of a list up to the comma or bracket that ends it.  Unlike
 * skip_value it requires brackets of the right kind and strings where JSON has
 * them: after a string or bracket that does not end, the next item would
 * otherwise be taken for the rest of this one.
 */
static bool
skip_item (struct cursor *cursor, struct scan *scan)
{
  struct nesting nesting = { .depth = 0 };
  char before = '\0';

  while (cursor->at < cursor->end && scan->budget > 0)
    {
      const char *start = cursor->at;
      char byte = *start;

      scan->budget--;
      if (is_white_space (byte))
        {
          cursor->at++;
          continue;
        }
      if (nesting.depth == 0 && (byte == ',' || byte == ']' || byte == '}'))
        return true;
      if (!may_follow (before, byte, is_in_object (&nesting)))
        return false;
      if (byte == '"')
        {
          if (!skip_string (cursor))
            return false;
          scan->budget -= (size_t)(cursor->at - start - 1) < scan->budget
                              ? (size_t)(cursor->at - start - 1)
                              : scan->budget;
        }
      else
        cursor->at++;
      if (((byte == '[' || byte == '{') && !open_bracket (&nesting, byte))
          || ((byte == ']' || byte == '}') && !close_bracket (&nesting, byte)))
        return false;
      before = byte;
    }
  return false;
}

static const char *
find_text (const char *from, const char *end, const char *text, size_t size)
{
  return memmem (from, (size_t)(end - from), text, size);
}

/* The items of an array, objects that begin with the same member. */
struct items
{
  const char *end; /* of the text that holds the array */
  const char *name;
  size_t name_size; /* with its quotation marks */
};

/* True if the cursor is at an object; notes the name of its first member. */
static bool
read_first_name (struct cursor cursor, struct items *items)
{
  if (!skip_byte (&cursor, '{') || peek (&cursor) != '"')
    return false;
  items->name = cursor.at;
  if (!skip_string (&cursor))
    return false;
  items->name_size = (size_t)(cursor.at - items->name);
  return peek (&cursor) == ':';
}

/* Returns the comma before the next item after a place, or NULL. */
static const char *
find_next_item (const struct items *items, const char *from)
{
  const char *found = from;

  while ((found = find_text (found, items->end, items->name, items->name_size))
         != NULL)
    {
      const char *before = found;
      struct cursor after = { found + items->name_size, items->end };

      while (before > from && is_white_space (before[-1]))
        before--;
      if (before > from && before[-1] == '{' && peek (&after) == ':')
        {
          before--;
          while (before > from && is_white_space (before[-1]))
            before--;
          if (before > from && before[-1] == ',')
            return before - 1;
        }
      found++;
    }
  return NULL;
}

/* True if the text after the array ends the object that holds it. */
static bool
is_array_end (const struct items *items, const char *bracket)
{
  size_t size = (size_t)(items->end - bracket - 1);
  const char *begin = "{\"\":0";
  size_t begin_size = strlen (begin);
  json_t *json;
  char *text;

  if (size > ARRAY_REST_LIMIT_BYTES)
    return false;
  text = malloc (begin_size + size);
  if (text == NULL)
    return false;
  memcpy (text, begin, begin_size);
  memcpy (text + begin_size, bracket + 1, size);
  json = json_loadb (text, begin_size + size, JSON_REJECT_DUPLICATES, NULL);
  free (text);
  json_decref (json);
  return json != NULL;
}

/* Returns the bracket that ends the array after a torn last item, or NULL. */
static const char *
find_array_end (const struct items *items, const char *from)
{
  const char *found = NULL;
  const char *at = items->end;

  for (unsigned tries = 0; tries < ARRAY_END_TRIES && at > from;)
    if (*--at == ']')
      {
        tries++;
        if (is_array_end (items, at))
          found = at;
      }
  return found;
}

/* True if the item that ends at the cursor is followed by another, or none. */
static bool
is_item_end (const struct items *items, struct cursor cursor)
{
  if (*cursor.at == ']')
    return is_array_end (items, cursor.at)
           || (find_next_item (items, cursor.at) == NULL
               && find_array_end (items, cursor.at) == NULL);
  /* A member after the comma shows that the item has not ended. */
  if (!skip_byte (&cursor, ','))
    return false;
  return peek (&cursor) != '"' || !skip_string (&cursor)
         || peek (&cursor) != ':';
}

/* Loads the item with null for the bytes from value to rest. */
static json_t *
load_without (const char *start,
              const char *value,
              const char *rest,
              size_t rest_size)
{
  static const char null[] = { 'n', 'u', 'l', 'l' };
  size_t before = (size_t)(value - start);
  char *text = malloc (before + sizeof null + rest_size);
  json_t *json = NULL;

  if (text != NULL)
    {
      memcpy (text, start, before);
      memcpy (text + before, null, sizeof null);
      memcpy (text + before + sizeof null, rest, rest_size);
      json = json_loadb (text, before + sizeof null + rest_size,
                         JSON_REJECT_DUPLICATES, NULL);
    }
  free (text);
  return json;
}

/* An object whose strings and brackets do not match. */
struct torn
{
  const char *start;
  const char *end;
  const char *value;               /* of the first member named whole */
  char closing[FRAME_LIMIT_BYTES]; /* brackets that are open there, reversed */
  size_t depth;                    /* their number */
};

static const char *
find_whole_member (const char *start, const char *end, const char *whole)
{
  size_t size = strlen (whole);
  const char *found = start;

  while (size > 0 && (found = find_text (found, end, whole, size)) != NULL)
    {
      struct cursor after = { found + size, end };

      if (found > start && found[-1] == '"' && skip_byte (&after, '"')
          && skip_byte (&after, ':'))
        return after.at;
      found++;
    }
  return NULL;
}

/* False if the object has no member named whole, or not near its start. */
static bool
find_torn_value (struct torn *torn,
                 const char *start,
                 const char *end,
                 const char *whole)
{
  struct cursor cursor = { start, NULL };

  torn->start = start;
  torn->end = end;
  torn->value = find_whole_member (start, end, whole);
  torn->depth = 0;
  if (torn->value == NULL || torn->value - start > FRAME_LIMIT_BYTES)
    return false;
  cursor.end = torn->value;
  while (cursor.at < cursor.end)
    {
      char byte = *cursor.at;

      if (byte == '"')
        {
          if (!skip_string (&cursor))
            return false;
          continue;
        }
      cursor.at++;
      if (byte == '[' || byte == '{')
        torn->closing[sizeof torn->closing - ++torn->depth]
            = byte == '[' ? ']' : '}';
      else if ((byte == ']' || byte == '}') && torn->depth > 0)
        torn->depth--;
    }
  return true;
}

/*
 * Loads the object with null for the member named whole, and the other members
 * as far as they can be read.
 */
static json_t *
load_torn_members (const struct torn *torn)
{
  const char *at = torn->end;
  json_t *json = NULL;

  /* The earliest end of the value after which all can be read is taken. */
  for (unsigned tries = 0; tries < MEMBER_END_TRIES && at > torn->value
                           && torn->end - at < FRAME_LIMIT_BYTES;)
    if (*--at == ',' || *at == '}')
      {
        json_t *found = load_without (torn->start, torn->value, at,
                                      (size_t)(torn->end - at));

        tries++;
        if (found == NULL)
          continue;
        json_decref (json);
        json = found;
      }
  return json;
}

/*
 * Loads a document that has the torn member itself.  One deeper inside may
 * belong to a list, which must not lose items.
 */
static json_t *
load_torn_document (const char *start, const char *end, const char *whole)
{
  struct torn torn;

  return find_torn_value (&torn, start, end, whole) && torn.depth == 1
             ? load_torn_members (&torn)
             : NULL;
}

/* As skip_value, within the bytes that may be read. */
static bool
skip_any_item (struct cursor *cursor, struct scan *scan)
{
  const char *start = cursor->at;
  size_t left = (size_t)(cursor->end - start);
  struct cursor limited
      = { start, start + (left < scan->budget ? left : scan->budget) };
  bool found = skip_value (&limited);

  cursor->at = limited.at;
  scan->budget -= (size_t)(limited.at - start);
  return found;
}

/*
 * Reads the item at the cursor, and moves the cursor to its end; NULL if it
 * cannot be read.  False if its end is not found.
 */
static bool
read_item (struct cursor *cursor,
           const struct items *items,
           struct scan *scan,
           unsigned depth,
           json_t **json)
{
  const char *start = cursor->at;
  struct cursor end = *cursor;
  struct torn torn;
  bool is_torn;

  if (skip_item (&end, scan) && is_item_end (items, end))
    {
      *json = load_part (start, (size_t)(end.at - start), scan, depth);
      *cursor = end;
      return true;
    }
  /* Text that is cut off: the item ends where the next one begins. */
  end.at = find_next_item (items, start);
  if (end.at == NULL)
    end.at = find_array_end (items, start);
  is_torn
      = end.at != NULL && find_torn_value (&torn, start, end.at, scan->whole);
  *json = is_torn ? load_torn_members (&torn) : NULL;
  if (*json != NULL)
    {
      *cursor = end;
      return true;
    }
  /* Text of another format may look like the begin of the next item. */
  if (skip_any_item (cursor, scan) && is_item_end (items, *cursor))
    {
      *json = load_part (start, (size_t)(cursor->at - start), scan, depth);
      return true;
    }
  /* The end of the item itself is missing; what precedes the value is kept. */
  if (is_torn)
    *json = load_without (torn.start, torn.value,
                          torn.closing + sizeof torn.closing - torn.depth,
                          torn.depth);
  *cursor = end;
  return end.at != NULL;
}

/*
 * Reads the items of an array one by one, so that one whose strings or brackets
 * do not match ends where the next begins.
 */
static json_t *
read_items (struct cursor *cursor,
            const struct items *items,
            struct scan *scan,
            unsigned depth)
{
  json_t *array = json_array ();
  bool more = array != NULL;

  cursor->at++;
  while (more)
    {
      json_t *json = NULL;

      if (!read_item (cursor, items, scan, depth - 1, &json))
        goto failed;
      if (json_array_append_new (array, json != NULL ? json : json_null ())
          != 0)
        goto failed;
      more = skip_byte (cursor, ',');
    }
  if (array != NULL && skip_byte (cursor, ']'))
    return array;

failed:
  json_decref (array);
  return NULL;
}

/* Adds the array of objects at the cursor; false if it is none. */
static bool
add_items (json_t *container,
           const char *key,
           struct cursor *cursor,
           struct scan *scan,
           unsigned depth)
{
  struct items items = { .end = cursor->end };
  struct cursor at = *cursor;
  struct cursor first = *cursor;
  json_t *array;

  if (peek (&at) != '[')
    return false;
  first.at = at.at + 1;
  if (!read_first_name (first, &items))
    return false;
  array = read_items (&at, &items, scan, depth - 1);
  if (array == NULL)
    return false;
  *cursor = at;
  return json_object_set_new_nocheck (container, key, array) == 0;
}

/* Adds the part that starts at the cursor, or null. */
static bool
add_part (json_t *container,
          const json_t *name,
          struct cursor *cursor,
          struct scan *scan,
          unsigned depth)
{
  const char *start = cursor->at;
  const char *key = json_string_value (name);
  bool is_whole = key != NULL && strcmp (key, scan->whole) == 0;
  json_t *part;

  if (key != NULL && !is_whole && depth > 1
      && add_items (container, key, cursor, scan, depth))
    return true;
  if (!skip_value (cursor))
    return false;
  if (name == NULL && json_is_object (container))
    return true;
  part = load_part (start, (size_t)(cursor->at - start), scan,
                    is_whole ? 0 : depth - 1);
  if (part == NULL)
    part = json_null ();
  return json_is_object (container)
             ? json_object_set_new_nocheck (container, key, part) == 0
             : json_array_append_new (container, part) == 0;
}

static json_t *
split_container (struct cursor cursor, struct scan *scan, unsigned depth)
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
                   && add_part (container, name, &cursor, scan, depth);

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
load_part (const char *data, size_t size, struct scan *scan, unsigned depth)
{
  struct cursor cursor = { data, data + size };
  json_t *json = json_loadb (data, size, JSON_DECODE_ANY, NULL);
  char first;

  if (json != NULL || depth == 0)
    return json;
  first = peek (&cursor);
  return first == '{' || first == '[' ? split_container (cursor, scan, depth)
                                      : NULL;
}

json_t *
json_load_parts (const char *data,
                 size_t size,
                 const char *whole,
                 unsigned depth)
{
  struct scan scan = { whole, size * SCAN_FACTOR };
  struct cursor cursor = { data, data + size };
  json_t *json = load_part (data, size, &scan, depth);

  if (json == NULL && depth > 0 && peek (&cursor) == '{')
    json = load_torn_document (cursor.at, cursor.end, whole);
  return json;
}
