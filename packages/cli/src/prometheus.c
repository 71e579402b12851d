#include "prometheus.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LABELS_SIZE 1024

/* End of the braces that begin at text, or NULL; quotes may hold braces. */
static const char *
end_of_labels (const char *text)
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
read_sample (const char *rest,
             void (*visit) (void *context, const char *labels, double value),
             void *context)
{
  char labels[LABELS_SIZE] = "";
  char *number_end;
  double value;

  if (*rest == '{')
    {
      const char *end = end_of_labels (rest);
      size_t size;

      if (end == NULL)
        return;
      size = (size_t)(end - rest) - 1;
      if (size >= sizeof labels)
        return;
      memcpy (labels, rest + 1, size);
      rest = end + 1;
    }
  if (*rest != ' ' && *rest != '\t')
    return;
  value = strtod (rest, &number_end);
  if (number_end != rest && strchr (" \t\r\n", *number_end) != NULL
      && isfinite (value))
    visit (context, labels, value);
}

void
prometheus_each (const char *text,
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

/* Copies a quoted value; returns its end, or NULL if it is malformed. */
static const char *
read_value (const char *text, char *out, size_t size, bool *fits)
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
prometheus_label (const char *labels, const char *label, char *out, size_t size)
{
  size_t length = strlen (label);

  while (*labels != '\0')
    {
      size_t name = strcspn (labels, "=");
      bool same = name == length && strncmp (labels, label, length) == 0;
      bool fits;

      if (labels[name] == '\0')
        return false;
      labels = read_value (labels + name + 1, out, size, &fits);
      if (labels == NULL)
        return false;
      if (same)
        return fits;
      if (*labels == ',')
        labels++;
    }
  return false;
}
