#include "json-lines.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer paths are not reported by the decoder and are not looked up. */
#define PATH_SIZE 256
#define PATH_TOO_LONG PATH_SIZE

struct scan
{
  struct json_lines *lines;
  const char *next;
  const char *end;
  unsigned line;
  char path[PATH_SIZE];
};

void
json_lines_init (struct json_lines *lines)
{
  lines->wanted = NULL;
}

void
json_lines_finish (struct json_lines *lines)
{
  struct json_line *entry = lines->wanted;

  HASH_CLEAR (hh, lines->wanted);
  while (entry != NULL)
    {
      struct json_line *next = entry->hh.next;

      free (entry->path);
      free (entry);
      entry = next;
    }
}

static size_t
get_container_size (const char *path, size_t size)
{
  while (size > 0)
    if (path[--size] == '.' || path[size] == '[')
      break;
  return size;
}

enum result
json_lines_add (struct json_lines *lines, const char *path)
{
  for (size_t size = strlen (path); size > 0;
       size = get_container_size (path, size))
    {
      struct json_line *entry;

      HASH_FIND (hh, lines->wanted, path, size, entry);
      if (entry != NULL)
        break;
      entry = calloc (1, sizeof *entry);
      if (entry != NULL)
        entry->path = strndup (path, size);
      if (entry == NULL || entry->path == NULL)
        {
          free (entry);
          return RESULT_NO_MEMORY;
        }
      HASH_ADD_KEYPTR (hh, lines->wanted, entry->path, size, entry);
    }
  return RESULT_OK;
}

unsigned
json_lines_get (const struct json_lines *lines, const char *path)
{
  for (size_t size = strlen (path); size > 0;
       size = get_container_size (path, size))
    {
      struct json_line *entry;

      HASH_FIND (hh, lines->wanted, path, size, entry);
      if (entry != NULL && entry->line > 0)
        return entry->line;
    }
  return 1;
}

static void
skip_separators (struct scan *scan)
{
  for (; scan->next < scan->end && strchr (" \t\r\n,:", *scan->next) != NULL
         && *scan->next != '\0';
       scan->next++)
    if (*scan->next == '\n')
      scan->line++;
}

/* Returns the size of the string's text, which *text points to. */
static size_t
scan_string (struct scan *scan, const char **text)
{
  *text = ++scan->next;
  while (scan->next < scan->end && *scan->next != '"')
    scan->next += *scan->next == '\\' ? 2 : 1;
  if (scan->next > scan->end)
    scan->next = scan->end;
  return (size_t)(scan->next++ - *text);
}

/* Appends to the path of the given size; returns the new size. */
static size_t
append_path (struct scan *scan,
             size_t path_size,
             const char *separator,
             const char *text,
             size_t size)
{
  size_t separator_size = strlen (separator);

  if (path_size + separator_size + size >= PATH_SIZE)
    return PATH_TOO_LONG;
  memcpy (scan->path + path_size, separator, separator_size);
  memcpy (scan->path + path_size + separator_size, text, size);
  return path_size + separator_size + size;
}

/* jansson limits the depth of what it accepts to 2048. */
static void
// NOLINTNEXTLINE(misc-no-recursion)
scan_value (struct scan *scan, size_t path_size)
{
  struct json_line *entry = NULL;
  size_t index = 0;
  const char *text;
  char open;

  skip_separators (scan);
  if (scan->next >= scan->end)
    return;
  if (path_size > 0 && path_size < PATH_TOO_LONG)
    HASH_FIND (hh, scan->lines->wanted, scan->path, path_size, entry);
  if (entry != NULL)
    entry->line = scan->line;
  open = *scan->next;
  if (open == '"')
    {
      scan_string (scan, &text);
      return;
    }
  if (open != '{' && open != '[')
    {
      while (scan->next < scan->end
             && strchr (" \t\r\n,]}", *scan->next) == NULL)
        scan->next++;
      return;
    }
  scan->next++;
  for (;; index++)
    {
      size_t inner = path_size;

      skip_separators (scan);
      if (scan->next >= scan->end)
        return;
      if (*scan->next == ']' || *scan->next == '}')
        break;
      if (open == '{')
        {
          size_t size = scan_string (scan, &text);

          inner = append_path (scan, path_size, path_size > 0 ? "." : "", text,
                               size);
        }
      else
        {
          char number[32];
          int size = snprintf (number, sizeof number, "[%zu]", index);

          inner = append_path (scan, path_size, "", number, (size_t)size);
        }
      scan_value (scan, inner);
    }
  scan->next++;
}

void
json_lines_scan (struct json_lines *lines, const char *text, size_t size)
{
  struct scan scan
      = { .lines = lines, .next = text, .end = text + size, .line = 1 };

  scan_value (&scan, 0);
}
