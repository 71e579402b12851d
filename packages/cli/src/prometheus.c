#include "prometheus.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LABELS_SIZE 1024 /* bytes, with the NUL */

/*
 * Returns the closing brace of the labels that start at text, or NULL.  Braces
 * in quotes are part of a value.
 */
static const char *
find_labels_end (const char *text)
{
  bool quoted = false;

  for (; *text != '\0' && *text != '\n'; text++)
    {
      if (quoted && *text == '\\' && text[1] != '\0')
        text++;
      else if (*text == '"')
        quoted = !quoted;
      else if (*text == '}' && !quoted)
        return text;
    }
  return NULL;
}

static void
read_sample (const char *sample,
             void (*visit) (void *context, const char *labels, double value),
             void *context)
{
  char labels[LABELS_SIZE] = "";
  char *number_end;
  double value;

  if (*sample == '{')
    {
      const char *end = find_labels_end (sample);
      size_t size;

      if (end == NULL)
        return;
      size = (size_t)(end - sample) - 1;
      if (size >= sizeof labels)
        return;
      memcpy (labels, sample + 1, size);
      sample = end + 1;
    }
  if (*sample != ' ' && *sample != '\t')
    return;
  value = strtod (sample, &number_end);
  if (number_end != sample && strchr (" \t\r\n", *number_end) != NULL
      && isfinite (value))
    visit (context, labels, value);
}

void
prometheus_for_each_sample (const char *text,
                            const char *name,
                            void (*visit) (void *context,
                                           const char *labels,
                                           double value),
                            void *context)
{
  size_t length = strlen (name);

  while (*text != '\0')
    {
      const char *end = strchr (text, '\n');

      if (strncmp (text, name, length) == 0
          && strchr ("{ \t", text[length]) != NULL && text[length] != '\0')
        read_sample (text + length, visit, context);
      if (end == NULL)
        break;
      text = end + 1;
    }
}

/*
 * Copies the unescaped text of a quoted value; *fits is false if it was
 * truncated.  Returns the end of the value, or NULL if it is malformed.
 */
static const char *
read_quoted_value (const char *text, char *out, size_t size, bool *fits)
{
  size_t used = 0;

  *fits = true;
  if (*text++ != '"')
    return NULL;
  for (; *text != '"'; text++)
    {
      char c = *text;

      if (c == '\0')
        return NULL;
      if (c == '\\')
        {
          c = *++text;
          if (c == '\0')
            return NULL;
          if (c == 'n')
            c = '\n';
        }
      if (used + 1 < size)
        out[used++] = c;
      else
        *fits = false;
    }
  out[used] = '\0';
  return text + 1;
}

bool
prometheus_get_label (const char *labels,
                      const char *label,
                      char *out,
                      size_t size)
{
  size_t label_length = strlen (label);

  while (*labels != '\0')
    {
      size_t name_length = strcspn (labels, "=");
      bool is_match = name_length == label_length
                      && strncmp (labels, label, label_length) == 0;
      bool fits;

      if (labels[name_length] == '\0')
        return false;
      labels = read_quoted_value (labels + name_length + 1, out, size, &fits);
      if (labels == NULL)
        return false;
      if (is_match)
        return fits;
      if (*labels == ',')
        labels++;
    }
  return false;
}
