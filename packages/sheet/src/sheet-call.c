#include "sheet.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define PATH_SIZE 4096 /* bytes, with the NUL */

static int
get_hex_value (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (isxdigit ((unsigned char)digit))
    return tolower ((unsigned char)digit) - 'a' + 10;
  return -1;
}

/*
 * Decodes %XX, merges repeated slashes, adds a leading one and removes query
 * and fragment, so that another spelling of a path cannot bypass an entry of
 * non_idempotent.  Returns false if the path holds a NUL or is too long.
 */
static bool
decode_path (const char *path, char out[PATH_SIZE])
{
  size_t length = 0;

  out[length++] = '/';
  while (*path != '\0' && *path != '?' && *path != '#')
    {
      char c = *path++;

      if (c == '%' && get_hex_value (path[0]) >= 0
          && get_hex_value (path[1]) >= 0)
        {
          c = (char)(get_hex_value (path[0]) * 16 + get_hex_value (path[1]));
          path += 2;
        }
      if (c == '/' && out[length - 1] == '/')
        continue;
      if (c == '\0' || length + 1 >= PATH_SIZE)
        return false;
      out[length++] = c;
    }
  out[length] = '\0';
  return true;
}

/* Removes "." and ".." segments in place (RFC 3986, section 5.2.4). */
static void
remove_dot_segments (char *path)
{
  char *out = path;
  const char *in = path;

  while (*in == '/')
    {
      const char *end = in + 1 + strcspn (in + 1, "/");
      size_t size = (size_t)(end - in);

      if (size == 3 && in[1] == '.' && in[2] == '.')
        {
          while (out > path && *--out != '/')
            ;
        }
      else if (!(size == 2 && in[1] == '.'))
        {
          memmove (out, in, size);
          out += size;
        }
      in = end;
    }
  if (out == path)
    *out++ = '/';
  *out = '\0';
}

static bool
entry_matches (const char *entry, const char *method, const char *path)
{
  const char *prefix = strchr (entry, ' ');
  size_t method_size;

  if (prefix == NULL)
    return false;
  method_size = (size_t)(prefix - entry);
  prefix++;
  return strlen (method) == method_size
         && strncasecmp (entry, method, method_size) == 0
         && strncmp (path, prefix, strlen (prefix)) == 0;
}

bool
sheet_call_is_non_idempotent (const struct sheet_service *service,
                              const char *method,
                              const char *path)
{
  char decoded[PATH_SIZE];
  char resolved[PATH_SIZE];

  if (service->non_idempotent.count == 0)
    return false;
  /* A path that cannot be decoded counts as non-idempotent, to be safe. */
  if (!decode_path (path, decoded))
    return true;
  memcpy (resolved, decoded, strlen (decoded) + 1);
  remove_dot_segments (resolved);
  for (size_t i = 0; i < service->non_idempotent.count; i++)
    {
      const char *entry = service->non_idempotent.names[i];

      if (strcmp (entry, "*") == 0 && strcmp (method, "GET") != 0
          && strcmp (method, "HEAD") != 0)
        return true;
      if (entry_matches (entry, method, decoded)
          || entry_matches (entry, method, resolved))
        return true;
    }
  return false;
}
