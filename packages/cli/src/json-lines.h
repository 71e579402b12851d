#ifndef CLI_JSON_LINES_H
#define CLI_JSON_LINES_H

#include "result.h"

#include <stddef.h>
#include <uthash.h>

/*
 * Lines of values in a JSON text.  jansson keeps no positions, so the paths of
 * interest are collected first and then found in one pass over the text, which
 * jansson must have accepted.  Paths are written "list[2].member".
 *
 * If a member is given twice, the line is that of the last one, which jansson
 * keeps.  A member whose name is written with escapes is not found.
 */

struct json_line
{
  char *path;
  unsigned line; /* 0 = not found */
  UT_hash_handle hh;
};

struct json_lines
{
  struct json_line *wanted; /* by path */
};

void json_lines_init (struct json_lines *lines);
void json_lines_finish (struct json_lines *lines);

/* Adds a path and those of the values that contain it. */
enum result json_lines_add (struct json_lines *lines, const char *path);

void json_lines_scan (struct json_lines *lines, const char *text, size_t size);

/*
 * Returns the line of an added path, or of the closest value that contains it
 * if it is absent; 1 if there is none.
 */
unsigned json_lines_get (const struct json_lines *lines, const char *path);

#endif
