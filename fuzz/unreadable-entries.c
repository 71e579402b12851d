#include "check.h"
#include "json-parts.h"
#include "users-platform.h"

#include <stdint.h>
#include <string.h>

/*
 * fuzz-runs: 60000
 *
 * Each line of the input is what a writer left as its entry.  As long as the
 * strings and brackets of all lines match, every entry of a list or a watch is
 * delivered, in order, with the value that it has on its own, or without one if
 * it is not JSON.  Left out are lines that are not JSON and imitate the text
 * between two items of the store.
 *
 * One line may be anything that does not name the members of the store.  Sound
 * entries around it are delivered in order with their values, and the entry
 * itself has no value unless it is JSON.
 */

#define ENTRY_LIMIT 32

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

struct entries
{
  struct line
  {
    const char *data;
    size_t size;
  } lines[ENTRY_LIMIT];
  unsigned count;
};

/* True if the line cannot end the member or the entry that holds it. */
static bool
has_matching_brackets (const char *line, size_t size)
{
  int depth = 0;
  bool in_string = false;

  for (size_t i = 0; i < size; i++)
    if (in_string)
      {
        if (line[i] == '\\')
          i++;
        else if (line[i] == '"')
          in_string = false;
      }
    else if (line[i] == '"')
      in_string = true;
    else if (line[i] == '[' || line[i] == '{')
      depth++;
    else if (depth == 0 && (line[i] == ']' || line[i] == '}' || line[i] == ','))
      return false;
    else if (line[i] == ']' || line[i] == '}')
      depth--;
  return depth == 0 && !in_string && (size == 0 || line[size - 1] != '\\');
}

/*
 * True if the line holds what ends one item of the store's and begins the next.
 * The same bytes are those of an entry that is cut off and of an item after it.
 */
static bool
imitates_items (const char *line, size_t size)
{
  static const char *const parts[] = { "}}\"deleted\"", "}\"spec\"" };
  char text[4096];
  size_t used = 0;

  /* Without what may stand between them. */
  for (size_t i = 0; i < size && used < sizeof text; i++)
    if (memchr (" \t\r,{", line[i], 5) == NULL)
      text[used++] = line[i];
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    if (memmem (text, used, parts[i], strlen (parts[i])) != NULL)
      return true;
  return false;
}

static bool
is_json (const char *line, size_t size)
{
  json_t *json = json_loadb (line, size, JSON_DECODE_ANY, NULL);

  json_decref (json);
  return json != NULL;
}

static void
split_lines (struct entries *entries, const uint8_t *data, size_t size)
{
  const char *at = (const char *)data;
  const char *end = at + size;

  entries->count = 0;
  while (at < end && entries->count < ENTRY_LIMIT)
    {
      const char *line_end = memchr (at, '\n', (size_t)(end - at));
      size_t line_size = (size_t)((line_end != NULL ? line_end : end) - at);

      if (has_matching_brackets (at, line_size)
          && (is_json (at, line_size) || !imitates_items (at, line_size)))
        entries->lines[entries->count++] = (struct line){ at, line_size };
      at += line_size + 1;
    }
}

static void
add_entries (const struct entries *entries,
             const char *before,
             const char *after,
             struct http_text *body)
{
  for (unsigned i = 0; i < entries->count; i++)
    {
      http_text_format (body, "%s%s{\"spec\":", i > 0 ? "," : "", before);
      http_text_add (body, entries->lines[i].data, entries->lines[i].size);
      http_text_format (body, ",\"meta\":{\"rev\":%u,\"name\":\"n%u\"}}%s",
                        i + 1, i, after);
    }
}

static void
check_entries (void *context, const struct records_response *response)
{
  const struct entries *entries = context;

  CHECK (response->result == RESULT_OK);
  CHECK (response->revision == 77);
  CHECK (response->count == entries->count);
  CHECK (response->skipped == 0);
  for (unsigned i = 0; i < entries->count; i++)
    {
      const struct records_record *record = &response->list[i];
      json_t *alone
          = json_loadb (entries->lines[i].data, entries->lines[i].size,
                        JSON_DECODE_ANY, NULL);
      char name[16];

      snprintf (name, sizeof name, "n%u", i);
      CHECK (strcmp (record->name, name) == 0);
      CHECK (record->revision == i + 1);
      CHECK (alone != NULL ? json_equal (alone, record->value)
                           : json_is_null (record->value));
      json_decref (alone);
    }
}

static void
check_list (struct entries *entries)
{
  struct http_text body;

  http_text_init (&body);
  http_text_add_string (&body, "{\"entries\":[");
  add_entries (entries, "", "", &body);
  http_text_add_string (&body, "],\"hasMore\":true,\"asOf\":77}");
  users_platform.records->decode (RECORDS_LIST, 200, body.data, body.size,
                                  check_entries, entries);
  http_text_finish (&body);
}

static void
check_watch (struct entries *entries)
{
  struct http_text body;

  http_text_init (&body);
  http_text_add_string (&body, "{\"asOf\":77,\"events\":[");
  add_entries (entries, "{\"deleted\":false,\"object\":", "}", &body);
  http_text_add_string (&body, "]}");
  users_platform.records->decode (RECORDS_WATCH, 200, body.data, body.size,
                                  check_entries, entries);
  http_text_finish (&body);
}

/* Entries around one that may be cut off anywhere. */
struct torn_entry
{
  struct line line;
  unsigned before;
  unsigned after;
};

static void
add_sound_entries (struct http_text *body,
                   unsigned first,
                   unsigned count,
                   const char *before,
                   const char *after)
{
  for (unsigned i = 0; i < count; i++)
    http_text_format (body,
                      "%s%s{\"meta\":{\"name\":\"n%u\",\"rev\":%u},\"spec\":"
                      "{\"of\":[%u,\"}\"]},\"status\":null}%s",
                      first + i > 0 ? "," : "", before, first + i,
                      first + i + 1, first + i, after);
}

/*
 * The value before the bracket that ends the item which holds the line; NULL if
 * there is none.  The bytes are those of a whole item with this value, and what
 * follows is torn.
 */
static json_t *
load_ended_value (const struct line *line)
{
  int depth = 0;

  for (size_t i = 0; i < line->size; i++)
    {
      char byte = line->data[i];

      if (byte == '"')
        while (++i < line->size && line->data[i] != '"')
          if (line->data[i] == '\\')
            i++;
      if (byte == '[' || byte == '{')
        depth++;
      else if ((byte == ']' || byte == '}') && --depth < 0)
        return json_loadb (line->data, i, JSON_DECODE_ANY, NULL);
    }
  return NULL;
}

static void
check_around_torn (void *context, const struct records_response *response)
{
  const struct torn_entry *torn = context;
  json_t *alone
      = json_loadb (torn->line.data, torn->line.size, JSON_DECODE_ANY, NULL);
  json_t *ended = load_ended_value (&torn->line);
  unsigned next = 0;

  CHECK (response->result == RESULT_OK);
  CHECK (response->revision == 77);
  CHECK (response->more);
  for (unsigned i = 0; i < response->count; i++)
    {
      const struct records_record *record = &response->list[i];
      char name[16];

      snprintf (name, sizeof name, "n%u", next);
      if (next == torn->before)
        {
          next++;
          if (strcmp (record->name, name) == 0)
            {
              CHECK (alone != NULL
                         ? json_equal (alone, record->value)
                         : json_is_null (record->value)
                               || (ended != NULL
                                   && json_equal (ended, record->value)));
              continue;
            }
          snprintf (name, sizeof name, "n%u", next);
        }
      CHECK (strcmp (record->name, name) == 0);
      CHECK (record->revision == next + 1);
      CHECK (json_integer_value (
                 json_array_get (json_object_get (record->value, "of"), 0))
             == (json_int_t)next);
      next++;
    }
  CHECK (next >= torn->before + torn->after);
  CHECK (torn->after == 0 || next == torn->before + 1 + torn->after);
  json_decref (ended);
  json_decref (alone);
}

static bool
is_part_of_line (const struct line *line, const char *text)
{
  return memmem (line->data, line->size, text, strlen (text)) != NULL;
}

/*
 * True if the line ends the item that holds it and goes on with another one,
 * sound or not, which leaves a sound item with another value.
 */
static bool
adds_item (const struct line *line)
{
  int depth = 0;
  char before = '\0';
  char second = '\0'; /* before that */

  for (size_t i = 0; i < line->size; i++)
    {
      char byte = line->data[i];

      if (strchr (" \t\r", byte) != NULL)
        continue;
      if (byte != '"' && before == ',' && second == '}' && depth < 0)
        return true;
      if (byte == '"')
        while (++i < line->size && line->data[i] != '"')
          if (line->data[i] == '\\')
            i++;
      if (byte == '[' || byte == '{')
        depth++;
      else if (byte == ']' || byte == '}')
        depth--;
      second = before;
      before = byte;
    }
  return false;
}

static void
check_torn (const uint8_t *data, size_t size)
{
  static const char *const names[] = { "meta", "spec", "object", "deleted" };
  struct torn_entry torn = { { (const char *)data, size }, 0, 0 };
  const char *end = memchr (data, '\n', size);

  if (end != NULL)
    torn.line.size = (size_t)(end - torn.line.data);
  if (torn.line.size == 0)
    return;
  /* Text that imitates what the store writes cannot be told from it. */
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (is_part_of_line (&torn.line, names[i]))
      return;
  if (adds_item (&torn.line))
    return;
  torn.before = data[0] % 3;
  torn.after = data[torn.line.size - 1] % 3;
  for (unsigned is_watch = 0; is_watch < 2; is_watch++)
    {
      const char *before = is_watch ? "{\"object\":" : "";
      const char *after = is_watch ? ",\"deleted\":false}" : "";
      struct http_text body;

      http_text_init (&body);
      http_text_add_string (&body,
                            is_watch ? "{\"events\":[" : "{\"entries\":[");
      add_sound_entries (&body, 0, torn.before, before, after);
      http_text_format (&body,
                        "%s%s{\"meta\":{\"name\":\"n%u\",\"rev\":%u},"
                        "\"spec\":",
                        torn.before > 0 ? "," : "", before, torn.before,
                        torn.before + 1);
      http_text_add (&body, torn.line.data, torn.line.size);
      http_text_format (&body, ",\"status\":null}%s", after);
      add_sound_entries (&body, torn.before + 1, torn.after, before, after);
      http_text_add_string (&body, "],\"hasMore\":true,\"asOf\":77}");
      users_platform.records->decode (is_watch ? RECORDS_WATCH : RECORDS_LIST,
                                      200, body.data, body.size,
                                      check_around_torn, &torn);
      http_text_finish (&body);
    }
}

/* What can be read as a whole is read as it is. */
static void
check_readable (const uint8_t *data, size_t size)
{
  json_t *whole = json_loadb ((const char *)data, size, JSON_DECODE_ANY, NULL);
  json_t *parts = json_load_parts ((const char *)data, size, "spec", 5);

  CHECK (whole == NULL || json_equal (whole, parts));
  json_decref (whole);
  json_decref (parts);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct entries entries;

  check_readable (data, size);
  check_torn (data, size);
  split_lines (&entries, data, size);
  check_list (&entries);
  check_watch (&entries);
  return 0;
}
