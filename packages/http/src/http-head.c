#include "http-head.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/* Usual heads have fewer fields. */
#define FIRST_FIELD_CAPACITY 24
/* More than this is freed with the head, not kept for the next one. */
#define KEPT_FIELD_CAPACITY 96

void
http_head_init (struct http_head *head)
{
  http_text_init (&head->text);
  head->fields = NULL;
  head->field_capacity = 0;
  http_head_reset (head);
}

void
http_head_finish (struct http_head *head)
{
  http_text_finish (&head->text);
  free (head->fields);
  http_head_init (head);
}

void
http_head_reset (struct http_head *head)
{
  http_text_reset (&head->text);
  if (head->field_capacity > KEPT_FIELD_CAPACITY)
    {
      free (head->fields);
      head->fields = NULL;
      head->field_capacity = 0;
    }
  head->field_count = 0;
  head->connection_options = 0;
  head->target = 0;
  head->method = "";
  head->status = 0;
  head->keep_alive = false;
  head->has_length = false;
}

bool
http_head_add_field (struct http_head *head, uint32_t name)
{
  if (head->field_count == head->field_capacity)
    {
      unsigned capacity = head->field_capacity > 0 ? 2 * head->field_capacity
                                                   : FIRST_FIELD_CAPACITY;
      struct http_field *fields
          = realloc (head->fields, capacity * sizeof *fields);

      if (fields == NULL)
        return false;
      head->fields = fields;
      head->field_capacity = capacity;
    }
  head->fields[head->field_count++] = (struct http_field){ .name = name };
  return true;
}

bool
http_head_complete (struct http_head *head)
{
  for (unsigned i = 0; i < head->field_count; i++)
    {
      size_t value = head->fields[i].value;

      if (strcasecmp (http_field_name (head, i), "Connection") != 0)
        continue;
      if (head->connection_options == 0)
        {
          http_text_add (&head->text, "", 1);
          head->connection_options = (uint32_t)head->text.size;
        }
      /* Not by pointer, since the text may move as it grows. */
      for (size_t j = value; !head->text.failed && head->text.data[j] != '\0';
           j++)
        {
          char byte = head->text.data[j];

          http_text_add (&head->text, &byte, 1);
        }
      http_text_add (&head->text, ",", 1);
    }
  return !head->text.failed;
}

bool
http_is_field_name (const char *text)
{
  static const char others[] = "!#$%&'*+-.^_`|~";

  if (*text == '\0')
    return false;
  for (; *text != '\0'; text++)
    if (!(*text >= '0' && *text <= '9') && !(*text >= 'a' && *text <= 'z')
        && !(*text >= 'A' && *text <= 'Z') && strchr (others, *text) == NULL)
      return false;
  return true;
}

const char *
http_field_name (const struct http_head *head, unsigned index)
{
  return head->text.data + head->fields[index].name;
}

const char *
http_field_value (const struct http_head *head, unsigned index)
{
  return head->text.data + head->fields[index].value;
}

const char *
http_head_target (const struct http_head *head)
{
  return head->text.data != NULL ? head->text.data + head->target : "";
}

const char *
http_head_get (const struct http_head *head, const char *name)
{
  for (unsigned i = 0; i < head->field_count; i++)
    if (strcasecmp (http_field_name (head, i), name) == 0)
      return http_field_value (head, i);
  return NULL;
}

/* True if the comma-separated list has the token, ignoring case. */
static bool
has_list_token (const char *list, const char *token)
{
  size_t size = strlen (token);

  while (*list != '\0')
    {
      size_t length;

      list += strspn (list, " \t,");
      length = strcspn (list, " \t,");
      if (length == size && strncasecmp (list, token, size) == 0)
        return true;
      list += length;
    }
  return false;
}

bool
http_field_is_hop_by_hop (const struct http_head *head, unsigned index)
{
  static const char *const names[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "TE",
    "Trailer",
    "Proxy-Authorization",
    "Upgrade",
    "Expect",
    "Transfer-Encoding",
    "Proxy-Connection",
  };
  const char *name = http_field_name (head, index);

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  /* One list for all fields: many of both would take the product of them. */
  return head->connection_options != 0
         && has_list_token (head->text.data + head->connection_options, name);
}

bool
http_parse_number (const char *text, int64_t *number)
{
  char *end;
  long long value;

  if (text == NULL || *text < '0' || *text > '9')
    return false;
  errno = 0;
  value = strtoll (text, &end, 10);
  if (*end != '\0' || errno != 0)
    return false;
  *number = value;
  return true;
}

bool
http_parse_decimal (const char *text, double *number)
{
  if (text == NULL || *text < '0' || *text > '9'
      || text[strspn (text, "0123456789.")] != '\0'
      || strchr (text, '.') != strrchr (text, '.'))
    return false;
  *number = strtod (text, NULL);
  return isfinite (*number);
}

/* Parses an IMF-fixdate into seconds since 1970; false if it is malformed. */
static bool
parse_http_date (const char *text, time_t *seconds)
{
  struct tm parts = { .tm_sec = 0 };
  const char *end;

  if (text == NULL)
    return false;
  end = strptime (text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (end == NULL || *end != '\0')
    return false;
  *seconds = timegm (&parts);
  return true;
}

/* Larger delays are mistakes and become this limit: 2^53 ms, 285,000 years. */
#define RETRY_AFTER_LIMIT_S 9007199254740.0

bool
http_retry_after_ms (const struct http_head *head, int64_t *ms)
{
  const char *text = http_head_get (head, "Retry-After");
  double seconds = 0;
  time_t retry_date;
  time_t response_date;
  char *end;

  if (text == NULL)
    return false;
  if (*text >= '0' && *text <= '9')
    {
      seconds = strtod (text, &end);
      if (*end != '\0')
        return false;
    }
  else if (parse_http_date (text, &retry_date)
           && parse_http_date (http_head_get (head, "Date"), &response_date))
    seconds = difftime (retry_date, response_date);
  if (!(seconds > 0))
    return false;
  if (seconds > RETRY_AFTER_LIMIT_S)
    seconds = RETRY_AFTER_LIMIT_S;
  *ms = (int64_t)(seconds * 1000);
  return true;
}
