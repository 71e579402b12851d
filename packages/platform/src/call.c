#include "platform-internal.h"

#include "timeutil.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void on_dispatch (evutil_socket_t fd, short events, void *context);

void
platform_init (struct platform *platform,
               struct event_base *base,
               const char *address,
               uint16_t port,
               int timeout_ms)
{
  memset (platform, 0, sizeof *platform);
  platform->base = base;
  snprintf (platform->address, sizeof platform->address, "%s", address);
  platform->port = port;
  platform->timeout_ms = timeout_ms;
  platform->last_success_boot_ms = INT64_MIN;
  TAILQ_INIT (&platform->waiting);
  TAILQ_INIT (&platform->sent);
  TAILQ_INIT (&platform->finished);
  LIST_INIT (&platform->connections);
  event_assign (&platform->dispatch_event, base, -1, 0, on_dispatch, platform);
}

static bool
is_success (enum result result)
{
  return result == RESULT_OK || result == RESULT_PLATFORM_CONFLICT
         || result == RESULT_PLATFORM_NOT_FOUND
         || result == RESULT_PLATFORM_UNCHANGED;
}

void
platform_call_end (struct platform_call *call, enum result result)
{
  struct platform *platform = call->platform;

  event_del (&call->timer);
  if (call->connection != NULL)
    {
      call->connection->call = NULL;
      call->connection = NULL;
      TAILQ_REMOVE (&platform->sent, call, link);
    }
  else
    TAILQ_REMOVE (&platform->waiting, call, link);
  TAILQ_INSERT_TAIL (&platform->finished, call, link);
  call->response.result = result;
  if (is_success (result))
    platform->last_success_boot_ms = time_boot_ms ();
  else
    platform->failures++;
  event_active (&platform->dispatch_event, 0, 0);
}

/* Runs the callback and frees the call, which has left all lists. */
static void
deliver_response (struct platform_call *call)
{
  call->platform->in_flight--;
  call->response.value = call->value;
  call->done (call->context, &call->response);
  json_decref (call->value);
  free (call->uri);
  free (call->body);
  free (call);
}

static void
send_waiting_calls (struct platform *platform)
{
  struct platform_call *call = TAILQ_FIRST (&platform->waiting);

  while (call != NULL)
    {
      struct platform_call *next = TAILQ_NEXT (call, link);
      struct platform_connection *connection;

      if (platform->is_partitioned)
        platform_call_end (call, RESULT_PLATFORM_UNREACHABLE);
      else
        {
          connection = platform_connection_acquire (
              platform, call->kind == PLATFORM_CALL_WATCH);
          if (connection != NULL)
            platform_connection_send (connection, call);
        }
      call = next;
    }
}

static void
on_dispatch (evutil_socket_t fd, short events, void *context)
{
  struct platform *platform = context;
  struct platform_call *call;

  (void)fd;
  (void)events;
  while ((call = TAILQ_FIRST (&platform->finished)) != NULL)
    {
      TAILQ_REMOVE (&platform->finished, call, link);
      deliver_response (call);
    }
  send_waiting_calls (platform);
}

static void
on_timeout (evutil_socket_t fd, short events, void *context)
{
  struct platform_call *call = context;
  struct platform_connection *connection = call->connection;
  enum result result = RESULT_PLATFORM_UNREACHABLE;

  (void)fd;
  (void)events;
  if (connection != NULL && call->is_write
      && platform_connection_may_have_sent (connection))
    result = RESULT_PLATFORM_LOST_ANSWER;
  platform_call_end (call, result);
  if (connection != NULL)
    platform_connection_free (connection);
}

void
platform_finish (struct platform *platform)
{
  struct platform_call *call = TAILQ_FIRST (&platform->waiting);
  struct platform_connection *connection;

  while (call != NULL)
    {
      struct platform_call *next = TAILQ_NEXT (call, link);

      platform_call_end (call, RESULT_CANCELLED);
      call = next;
    }
  call = TAILQ_FIRST (&platform->sent);
  while (call != NULL)
    {
      struct platform_call *next = TAILQ_NEXT (call, link);

      platform_call_end (call, RESULT_CANCELLED);
      call = next;
    }
  connection = LIST_FIRST (&platform->connections);
  while (connection != NULL)
    {
      struct platform_connection *next = LIST_NEXT (connection, link);

      platform_connection_free (connection);
      connection = next;
    }
  /* Without a base, new calls end at once with RESULT_CANCELLED. */
  platform->base = NULL;
  call = TAILQ_FIRST (&platform->finished);
  TAILQ_INIT (&platform->finished);
  while (call != NULL)
    {
      struct platform_call *next = TAILQ_NEXT (call, link);

      deliver_response (call);
      call = next;
    }
  event_del (&platform->dispatch_event);
}

/*
 * Percent-encodes all but unreserved characters (RFC 3986) and "/,".  NULL if
 * memory is short.
 */
static char *
percent_encode (const char *text)
{
  char *out = malloc (strlen (text) * 3 + 1);
  char *end = out;

  if (out == NULL)
    return NULL;
  for (; *text != '\0'; text++)
    {
      unsigned char c = (unsigned char)*text;

      if (isalnum (c) || strchr ("-._~/,", c) != NULL)
        *end++ = (char)c;
      else
        end += sprintf (end, "%%%02X", c);
    }
  *end = '\0';
  return out;
}

/* Runs the callback for a call that could not be created. */
static void
report_start_failure (enum result result,
                      void (*done) (void *context,
                                    const struct platform_response *response),
                      void *context)
{
  const struct platform_response response = { .result = result };

  done (context, &response);
}

/*
 * Queues a copy of the template and takes ownership of its uri and body.  The
 * template sets the members that describe the call and its callback.
 */
static void
start_call (struct platform *platform, const struct platform_call *template)
{
  struct platform_call *call = malloc (sizeof *call);
  struct timeval timeout = { template->timeout_ms / 1000,
                             (suseconds_t) template->timeout_ms % 1000 * 1000 };

  if (call == NULL || template->uri == NULL
      || (strcmp (template->method, "PUT") == 0 && template->body == NULL)
      || platform->base == NULL)
    {
      enum result result
          = platform->base == NULL ? RESULT_CANCELLED : RESULT_NO_MEMORY;

      free (call);
      free (template->uri);
      free (template->body);
      report_start_failure (result, template->done, template->context);
      return;
    }
  *call = *template;
  call->platform = platform;
  event_assign (&call->timer, platform->base, -1, 0, on_timeout, call);
  TAILQ_INSERT_TAIL (&platform->waiting, call, link);
  platform->in_flight++;
  if (platform->in_flight > PLATFORM_CALL_LIMIT)
    platform_call_end (call, RESULT_PLATFORM_OVERLOADED);
  else if (call->body != NULL
           && strlen (call->body) > PLATFORM_VALUE_LIMIT_BYTES)
    platform_call_end (call, RESULT_TOO_LARGE);
  else
    {
      event_add (&call->timer, &timeout);
      event_active (&platform->dispatch_event, 0, 0);
    }
}

/* Joins before, the percent-encoded text and after; NULL if memory is short.
 */
static char *
make_uri (const char *before, const char *text, const char *after)
{
  char *encoded = percent_encode (text);
  char *uri = NULL;

  if (encoded != NULL && asprintf (&uri, "%s%s%s", before, encoded, after) < 0)
    uri = NULL;
  free (encoded);
  return uri;
}

void
platform_get (struct platform *platform,
              const char *key,
              void (*done) (void *context,
                            const struct platform_response *response),
              void *context)
{
  start_call (platform, &(struct platform_call){
                            .kind = PLATFORM_CALL_READ,
                            .method = "GET",
                            .uri = make_uri ("/v1/objects/", key, ""),
                            .timeout_ms = platform->timeout_ms,
                            .done = done,
                            .context = context,
                        });
}

void
platform_put (struct platform *platform,
              const char *key,
              uint64_t version,
              const json_t *value,
              void (*done) (void *context,
                            const struct platform_response *response),
              void *context)
{
  start_call (platform,
              &(struct platform_call){
                  .kind = PLATFORM_CALL_WRITE,
                  .method = "PUT",
                  .is_write = true,
                  .uri = make_uri ("/v1/objects/", key, ""),
                  .body = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY),
                  .version = version,
                  .timeout_ms = platform->timeout_ms,
                  .done = done,
                  .context = context,
              });
}

void
platform_delete (struct platform *platform,
                 const char *key,
                 uint64_t version,
                 void (*done) (void *context,
                               const struct platform_response *response),
                 void *context)
{
  start_call (platform, &(struct platform_call){
                            .kind = PLATFORM_CALL_WRITE,
                            .method = "DELETE",
                            .is_write = true,
                            .uri = make_uri ("/v1/objects/", key, ""),
                            .version = version,
                            .timeout_ms = platform->timeout_ms,
                            .done = done,
                            .context = context,
                        });
}

void
platform_list (struct platform *platform,
               const char *prefix,
               void (*done) (void *context,
                             const struct platform_response *response),
               void *context)
{
  start_call (platform, &(struct platform_call){
                            .kind = PLATFORM_CALL_LIST,
                            .method = "GET",
                            .uri = make_uri ("/v1/list?prefix=", prefix, ""),
                            .timeout_ms = platform->timeout_ms,
                            .done = done,
                            .context = context,
                        });
}

void
platform_hosts (struct platform *platform,
                void (*done) (void *context,
                              const struct platform_response *response),
                void *context)
{
  start_call (platform, &(struct platform_call){
                            .kind = PLATFORM_CALL_HOSTS,
                            .method = "GET",
                            .uri = make_uri ("/v1/hosts", "", ""),
                            .timeout_ms = platform->timeout_ms,
                            .done = done,
                            .context = context,
                        });
}

void
platform_watch (struct platform *platform,
                const char *keys,
                uint64_t revision,
                int wait_ms,
                void (*done) (void *context,
                              const struct platform_response *response),
                void *context)
{
  char query_end[80];

  snprintf (query_end, sizeof query_end, "&after=%" PRIu64 "&wait_ms=%d",
            revision, wait_ms);
  start_call (platform,
              &(struct platform_call){
                  .kind = PLATFORM_CALL_WATCH,
                  .method = "GET",
                  .uri = make_uri ("/v1/watch?keys=", keys, query_end),
                  .timeout_ms = platform->timeout_ms + wait_ms,
                  .done = done,
                  .context = context,
              });
}
