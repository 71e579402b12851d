#include "check.h"
#include "json-parts.h"
#include "users-platform.h"

#include <stdint.h>
#include <string.h>

/*
 * fuzz-runs: 60000
 *
 * Each line of the input is what a writer left as its entry.  Whatever it is,
 * as long as its strings and brackets match, every other entry of a list or a
 * watch is delivered, in order, with the value that it has on its own; the
 * entry itself is delivered with its name, and without a value if it is not
 * JSON.
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

      if (has_matching_brackets (at, line_size))
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
  split_lines (&entries, data, size);
  check_list (&entries);
  check_watch (&entries);
  return 0;
}
