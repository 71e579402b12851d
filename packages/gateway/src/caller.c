#include "internal.h"

#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>

/*
 * Connections of callers, and the bytes that they make the process hold.
 *
 * evhttp hands over a request only once its whole body has arrived, so the sum
 * is kept beside it: callbacks on the buffers of each bufferevent count what is
 * received and written.  Nothing is ended inside such a callback, because
 * evhttp may be reading from the connection; on_check runs from the event loop.
 */

/*
 * Charge of a connection that has sent nothing: evhttp's connection, request,
 * bufferevent and buffers, with the first chain of its input.
 */
#define CONNECTION_BYTES 8192
/* evhttp allocates a key, a value and an entry for each header field. */
#define HEADER_FIELD_BYTES 160
/* A head of this many times the largest number of fields is not read. */
#define HEADER_COUNT_FACTOR 4
/* Limit of connections if that of open files is unknown. */
#define DEFAULT_CONNECTION_LIMIT 65536
/* A line of a chunk and the end of a body may follow the largest body. */
#define INPUT_SLACK_BYTES 65536
/*
 * evhttp may keep a whole chain of the input for one byte of a chunk.  A read
 * into an empty input begins a chain of at least this size, and of at most
 * twice the bytes read.
 */
#define CHAIN_BYTES 1024
/*
 * A connection is not closed for others sooner after its last byte.  A client
 * sends its head, and the next part of a body, within a round trip.
 */
#define GRACE_MS 250
/* Least time between two log lines of one kind. */
#define LOG_INTERVAL_MS 1000

static bool
is_unfinished (const struct caller *caller)
{
  return caller->phase == CALLER_READING_HEAD
         || caller->phase == CALLER_READING_BODY;
}

static size_t
get_input_size (const struct caller *caller)
{
  return evbuffer_get_length (bufferevent_get_input (caller->bev));
}

static size_t
get_output_size (const struct caller *caller)
{
  return evbuffer_get_length (bufferevent_get_output (caller->bev));
}

static void
update_charges (struct caller *caller)
{
  struct memory_account *account = &caller->gateway->account;
  size_t input = get_input_size (caller);
  size_t body = 0;

  if (caller->phase == CALLER_READING_BODY)
    body = input + caller->consumed + caller->chain_bytes;
  memory_account_set (account, MEMORY_BODIES, &caller->body_charge, body);
  memory_account_set (account, MEMORY_CONNECTIONS, &caller->state_charge,
                      CONNECTION_BYTES + caller->fields * HEADER_FIELD_BYTES
                          + (body == 0 ? caller->head_size + input : 0));
  memory_account_set (account, MEMORY_TO_CLIENTS, &caller->output_charge,
                      get_output_size (caller));
}

static void
read_head_line (struct caller *caller)
{
  static const char name[] = "Content-Length:";
  char *line = caller->line;

  line[caller->line_size < sizeof caller->line ? caller->line_size
                                               : sizeof caller->line - 1]
      = '\0';
  /* evhttp refuses a request that begins with an empty line. */
  if (caller->line_size == 0)
    caller->phase = CALLER_READING_BODY;
  else
    caller->fields++;
  if (strncasecmp (line, name, strlen (name)) == 0)
    {
      caller->has_length = true;
      caller->length = strtoull (line + strlen (name), NULL, 10);
    }
  caller->line_size = 0;
}

/* Reads input of a request's head to find its fields, its length and its end.
 */
static void
scan_head (struct caller *caller, const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (caller->phase == CALLER_READING_BODY)
        {
          caller->body_received += size - i;
          return;
        }
      caller->head_size++;
      if (bytes[i] == '\n')
        read_head_line (caller);
      else if (bytes[i] != '\r')
        {
          if (caller->line_size < sizeof caller->line - 1)
            caller->line[caller->line_size] = bytes[i];
          caller->line_size++;
        }
    }
}

/* Scans the last size bytes of the input. */
static void
scan_input_tail (struct caller *caller, size_t size)
{
  struct evbuffer *input = bufferevent_get_input (caller->bev);
  size_t length = evbuffer_get_length (input);
  struct evbuffer_ptr at;
  char bytes[4096];

  if (size > length
      || evbuffer_ptr_set (input, &at, length - size, EVBUFFER_PTR_SET) != 0)
    return;
  while (size > 0)
    {
      ev_ssize_t copied = evbuffer_copyout_from (
          input, &at, bytes, size < sizeof bytes ? size : sizeof bytes);

      if (copied <= 0)
        return;
      scan_head (caller, bytes, (size_t)copied);
      size -= (size_t)copied;
      if (size > 0
          && evbuffer_ptr_set (input, &at, (size_t)copied, EVBUFFER_PTR_ADD)
                 != 0)
        return;
    }
}

static void
check_later (struct gateway *gateway)
{
  if (gateway->check_event != NULL)
    event_active (gateway->check_event, 0, 0);
}

static size_t
get_input_limit (const struct gateway *gateway)
{
  return gateway->limits.header_bytes
         + gateway->limits.body_bytes * LISTENER_BODY_LIMIT_FACTOR
         + INPUT_SLACK_BYTES;
}

/*
 * Drops a head of far too many fields before evhttp reads it: of 16 KB of short
 * fields it makes 400 KB.  Heads of fewer fields are refused by the gateway.
 */
static void
drop_overlong_head (struct caller *caller, struct evbuffer *input)
{
  size_t limit
      = (size_t)caller->gateway->limits.header_count * HEADER_COUNT_FACTOR;

  if (!is_unfinished (caller)
      || (caller->fields <= limit && !caller->has_overlong_head))
    return;
  caller->has_overlong_head = true;
  caller->fields = limit;
  evbuffer_drain (input, evbuffer_get_length (input));
  check_later (caller->gateway);
}

static void
on_input_change (struct evbuffer *buffer,
                 const struct evbuffer_cb_info *info,
                 void *context)
{
  struct caller *caller = context;
  struct gateway *gateway = caller->gateway;

  if (info->n_added > 0)
    {
      caller->progress_ms = time_boot_ms ();
      caller->is_silent = false;
      if (caller->phase == CALLER_READING_HEAD)
        scan_input_tail (caller, info->n_added);
      else if (caller->phase == CALLER_READING_BODY)
        caller->body_received += info->n_added;
      if (caller->phase == CALLER_READING_BODY && !caller->has_length
          && info->orig_size == 0)
        caller->chain_bytes += info->n_added + CHAIN_BYTES;
    }
  if (is_unfinished (caller))
    caller->consumed += info->n_deleted;
  if (info->n_added > 0)
    drop_overlong_head (caller, buffer);
  update_charges (caller);
  if (memory_account_level (&gateway->account) != MEMORY_CALM
      || evbuffer_get_length (buffer) > get_input_limit (gateway))
    check_later (gateway);
}

static void
on_output_change (struct evbuffer *buffer,
                  const struct evbuffer_cb_info *info,
                  void *context)
{
  struct caller *caller = context;

  (void)buffer;
  if (info->n_deleted > 0 || info->orig_size == 0)
    caller->written_ms = time_boot_ms ();
  update_charges (caller);
}

static void
caller_free (struct caller *caller)
{
  struct gateway *gateway = caller->gateway;
  struct memory_account *account = &gateway->account;

  evbuffer_remove_cb (bufferevent_get_input (caller->bev), on_input_change,
                      caller);
  evbuffer_remove_cb (bufferevent_get_output (caller->bev), on_output_change,
                      caller);
  memory_account_set (account, MEMORY_BODIES, &caller->body_charge, 0);
  memory_account_set (account, MEMORY_CONNECTIONS, &caller->state_charge, 0);
  memory_account_set (account, MEMORY_TO_CLIENTS, &caller->output_charge, 0);
  if (caller->http != NULL)
    HASH_DELETE (hh, gateway->callers_by_http, caller);
  TAILQ_REMOVE (&gateway->callers, caller, link);
  gateway->caller_count--;
  if (gateway->accepting_paused
      && gateway->caller_count < gateway->limits.max_connections)
    check_later (gateway);
  free (caller);
}

/* evhttp frees the connection; its buffers are still valid. */
static void
on_connection_closed (struct evhttp_connection *connection, void *context)
{
  struct caller *caller = context;
  struct gateway_request *request = caller->watched;

  (void)connection;
  if (caller->request != NULL)
    caller->request->caller = NULL;
  caller_free (caller);
  if (request != NULL)
    listener_caller_disconnected (request);
}

/*
 * evhttp creates the connection after its bufferevent, and reports its end only
 * to a callback that is set on the connection.  The connection is the argument
 * of evhttp's callbacks on the bufferevent.
 */
static void
adopt_new_callers (struct gateway *gateway)
{
  struct caller *caller;
  struct caller *next;

  for (caller = TAILQ_FIRST (&gateway->callers); caller != NULL; caller = next)
    {
      struct bufferevent *bev = caller->bev;
      bufferevent_data_cb read_cb;
      bufferevent_data_cb write_cb;
      bufferevent_event_cb event_cb = NULL;
      void *arg = NULL;

      next = TAILQ_NEXT (caller, link);
      /* New callers are at the head of the list. */
      if (caller->http != NULL)
        return;
      bufferevent_getcb (bev, &read_cb, &write_cb, &event_cb, &arg);
      if (event_cb == NULL || arg == NULL)
        caller_free (caller); /* evhttp has already given up the connection */
      else
        {
          caller->http = arg;
          HASH_ADD_PTR (gateway->callers_by_http, http, caller);
          evhttp_connection_set_closecb (caller->http, on_connection_closed,
                                         caller);
        }
      bufferevent_decref (bev);
    }
}

struct bufferevent *
caller_new (struct event_base *base, void *context)
{
  struct gateway *gateway = context;
  struct caller *caller = calloc (1, sizeof *caller);
  struct bufferevent *bev
      = caller != NULL ? bufferevent_socket_new (base, -1, 0) : NULL;

  if (bev == NULL)
    goto fail;
  caller->gateway = gateway;
  caller->bev = bev;
  caller->is_silent = true;
  caller->progress_ms = time_boot_ms ();
  caller->written_ms = caller->progress_ms;
  if (evbuffer_add_cb (bufferevent_get_input (bev), on_input_change, caller)
          == NULL
      || evbuffer_add_cb (bufferevent_get_output (bev), on_output_change,
                          caller)
             == NULL)
    goto fail;
  /* Until adopt_new_callers. */
  bufferevent_incref (bev);
  TAILQ_INSERT_HEAD (&gateway->callers, caller, link);
  gateway->caller_count++;
  update_charges (caller);
  if (gateway->caller_count >= gateway->limits.max_connections)
    {
      evconnlistener_disable (gateway->listener);
      gateway->accepting_paused = true;
    }
  check_later (gateway);
  return bev;

fail:
  if (bev != NULL)
    bufferevent_free (bev);
  free (caller);
  /* evhttp then uses a bufferevent of its own, which is not accounted for. */
  return NULL;
}

struct caller *
caller_find (struct gateway *gateway, struct evhttp_connection *connection)
{
  struct caller *caller = NULL;

  HASH_FIND_PTR (gateway->callers_by_http, &connection, caller);
  return caller;
}

void
caller_request_began (struct caller *caller, struct gateway_request *request)
{
  caller->request = request;
  caller->phase = CALLER_ANSWERING;
  caller->consumed = 0;
  caller->chain_bytes = 0;
  caller->body_received = 0;
  caller->is_admitted = false;
  caller->unread_since_ms = 0;
  update_charges (caller);
}

void
caller_request_ended (struct caller *caller)
{
  caller->request = NULL;
}

void
caller_reply_written (struct caller *caller)
{
  caller->phase = CALLER_READING_HEAD;
  caller->fields = 0;
  caller->head_size = 0;
  caller->line_size = 0;
  caller->has_length = false;
  caller->length = 0;
  caller->consumed = 0;
  caller->chain_bytes = 0;
  caller->body_received = 0;
  caller->progress_ms = time_boot_ms ();
  scan_input_tail (caller, get_input_size (caller));
  update_charges (caller);
}

/* Most that the body can still grow by. */
static size_t
get_rest_size (const struct caller *caller)
{
  const struct gateway_limits *limits = &caller->gateway->limits;
  size_t total = limits->body_bytes;

  if (caller->has_length)
    total = caller->length < limits->body_bytes * LISTENER_BODY_LIMIT_FACTOR
                ? (size_t)caller->length
                : 0; /* evhttp refuses it */
  return total > caller->body_received ? total - caller->body_received : 0;
}

/*
 * Describes what ending the connection would release.  Returns false if it may
 * not be ended: an endpoint may run its request, or the caller reads the
 * answer.
 */
static bool
describe_holder (const struct caller *caller,
                 int64_t now_ms,
                 struct memory_holder *holder)
{
  const struct gateway_request *request = caller->request;

  *holder = (struct memory_holder){
    .bytes = caller->state_charge.bytes + caller->body_charge.bytes
             + caller->output_charge.bytes,
    .progress_ms = caller->progress_ms,
  };
  if (is_unfinished (caller))
    {
      holder->stage = MEMORY_UNFINISHED;
      holder->unread_since_ms = caller->unread_since_ms;
      holder->is_admitted = caller->is_admitted;
      if (caller->phase == CALLER_READING_BODY)
        holder->rest_bytes = get_rest_size (caller);
      return true;
    }
  if (request != NULL)
    {
      holder->stage = request->may_have_run || request->attempt != NULL
                              || request->claim_granted
                              || request->reply_started
                          ? MEMORY_RUNNING
                          : MEMORY_WHOLE;
      holder->bytes += request->charge.bytes;
      return holder->stage == MEMORY_WHOLE;
    }
  /* An answer of which the caller reads nothing. */
  holder->stage = MEMORY_WHOLE;
  holder->progress_ms = caller->written_ms;
  return caller->output_charge.bytes > 0
         && now_ms - caller->written_ms >= MEMORY_STALL_MS;
}

/*
 * Tells the caller, if the connection takes it at once, that its request was
 * not run.  evhttp has not handed over the request and writes nothing itself.
 */
static void
send_not_run (const struct caller *caller)
{
  const struct result_info *info = result_info (
      caller->has_overlong_head ? RESULT_MALFORMED_REQUEST : RESULT_NO_MEMORY);
  int retry_after_ms = caller->has_overlong_head ? 0 : 1000;
  char body[256];
  char reply[512];
  int size;

  if ((caller->phase != CALLER_READING_BODY && !caller->has_overlong_head)
      || get_output_size (caller) > 0)
    return;
  snprintf (body, sizeof body,
            "{\"error\":{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\","
            "\"outcome\":\"%s\",\"retry_after_ms\":%d}}",
            info->number, info->name, info->text, outcome_name (info->outcome),
            retry_after_ms);
  size = snprintf (reply, sizeof reply,
                   "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s"
                   "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                   info->http_status,
                   retry_after_ms > 0 ? "Service Unavailable" : "Bad Request",
                   retry_after_ms > 0 ? "Retry-After: 1\r\n" : "",
                   strlen (body), body);
  /* One that cannot be sent at once is left out: a close promises nothing. */
  (void)send (bufferevent_getfd (caller->bev), reply, (size_t)size,
              MSG_DONTWAIT | MSG_NOSIGNAL);
}

static void
count_end (struct gateway *gateway, const char *labels, size_t bytes)
{
  int64_t now_ms = time_boot_ms ();

  counter_add (gateway->tables.counters, "waxwing_callers_ended_total", labels,
               1);
  gateway->ended_since_log++;
  gateway->ended_bytes_since_log += bytes;
  if (now_ms - gateway->ended_log_ms < LOG_INTERVAL_MS)
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "callers-ended", LOG_STR ("last", labels),
             LOG_U64 ("count", gateway->ended_since_log),
             LOG_U64 ("bytes", gateway->ended_bytes_since_log),
             LOG_U64 ("held_bytes", gateway->account.total),
             LOG_U64 ("connections", gateway->caller_count));
  gateway->ended_log_ms = now_ms;
  gateway->ended_since_log = 0;
  gateway->ended_bytes_since_log = 0;
}

/* Ends the connection or refuses its request, which has not run. */
static void
end_caller (struct caller *caller, const char *reason)
{
  struct gateway_request *request = caller->request;

  count_end (caller->gateway, reason,
             caller->state_charge.bytes + caller->body_charge.bytes
                 + caller->output_charge.bytes);
  if (request != NULL)
    {
      request_refuse (request, RESULT_NO_MEMORY, 0);
      return;
    }
  send_not_run (caller);
  evhttp_connection_free (caller->http);
}

static void
set_reading (struct caller *caller, bool reading, int64_t now_ms)
{
  if (reading == (caller->unread_since_ms == 0))
    return;
  caller->unread_since_ms = reading ? 0 : now_ms;
  if (reading)
    {
      /* The caller could not make progress meanwhile. */
      caller->progress_ms = now_ms;
      bufferevent_enable (caller->bev, EV_READ);
    }
  else
    bufferevent_disable (caller->bev, EV_READ);
}

static size_t
sum_reserved (const struct gateway *gateway)
{
  const struct caller *caller;
  size_t sum = 0;

  TAILQ_FOREACH (caller, &gateway->callers, link)
    if (caller->is_admitted && caller->phase == CALLER_READING_BODY)
      sum += get_rest_size (caller);
  return sum;
}

/* Lets unfinished bodies be read, wait, or be refused. */
static void
decide_unfinished (struct gateway *gateway, int64_t now_ms)
{
  size_t reserved = sum_reserved (gateway);
  struct caller *caller;
  struct caller *next;

  /* Older connections are at the tail, and are admitted first. */
  for (caller = TAILQ_LAST (&gateway->callers, gateway_callers); caller != NULL;
       caller = next)
    {
      struct memory_holder holder;

      next = TAILQ_PREV (caller, gateway_callers, link);
      if (caller->phase != CALLER_READING_BODY
          || !describe_holder (caller, now_ms, &holder))
        continue;
      switch (
          memory_account_decide (&gateway->account, &holder, reserved, now_ms))
        {
        case MEMORY_READ:
          set_reading (caller, true, now_ms);
          break;
        case MEMORY_WAIT:
          set_reading (caller, false, now_ms);
          break;
        case MEMORY_ADMIT:
          if (!caller->is_admitted)
            reserved += holder.rest_bytes;
          caller->is_admitted = true;
          set_reading (caller, true, now_ms);
          break;
        case MEMORY_END:
          if (caller->is_admitted)
            reserved -= holder.rest_bytes;
          end_caller (caller, "reason=\"body\"");
          break;
        }
    }
}

/* Ends what costs callers least until the second watermark is kept. */
static void
end_cheapest (struct gateway *gateway, int64_t now_ms)
{
  while (memory_account_level (&gateway->account) == MEMORY_FULL)
    {
      struct caller *cheapest = NULL;
      struct memory_holder least = { 0 };
      struct caller *caller;

      TAILQ_FOREACH (caller, &gateway->callers, link)
        {
          struct memory_holder holder;

          if (caller->http == NULL || !describe_holder (caller, now_ms, &holder)
              || (cheapest != NULL
                  && !memory_ends_before (&holder, &least, now_ms)))
            continue;
          cheapest = caller;
          least = holder;
        }
      if (cheapest == NULL)
        return;
      end_caller (cheapest, "reason=\"memory\"");
    }
}

/*
 * Ends connections whose input evhttp would collect without end, and those
 * whose head was dropped.
 */
static void
end_oversized (struct gateway *gateway)
{
  struct caller *caller;
  struct caller *next;

  for (caller = TAILQ_FIRST (&gateway->callers); caller != NULL; caller = next)
    {
      next = TAILQ_NEXT (caller, link);
      if (caller->http != NULL && is_unfinished (caller)
          && (caller->has_overlong_head
              || get_input_size (caller) > get_input_limit (gateway)))
        end_caller (caller, "reason=\"input\"");
    }
}

/*
 * True if a is closed before b when connections are too many: those that never
 * sent anything first, then those without progress for longest.
 */
static bool
closes_before (const struct caller *a, const struct caller *b)
{
  if (a->is_silent != b->is_silent)
    return a->is_silent;
  return a->progress_ms < b->progress_ms;
}

/* Closes a sixteenth of the connections, so that new ones can be accepted. */
static void
close_surplus (struct gateway *gateway, int64_t now_ms)
{
  size_t limit = gateway->limits.max_connections;
  size_t wanted = limit - limit / 16 - 1;

  while (gateway->caller_count > wanted)
    {
      struct caller *first = NULL;
      struct caller *caller;

      TAILQ_FOREACH (caller, &gateway->callers, link)
        if (caller->http != NULL && is_unfinished (caller)
            && now_ms - caller->progress_ms >= GRACE_MS
            && (first == NULL || closes_before (caller, first)))
          first = caller;
      if (first == NULL)
        break;
      end_caller (first, "reason=\"connections\"");
    }
}

static void
log_level_change (struct gateway *gateway, int64_t now_ms)
{
  static const char *const names[] = { "calm", "tight", "full" };
  enum memory_level level = memory_account_level (&gateway->account);

  if (level == gateway->logged_level
      || now_ms - gateway->level_log_ms < LOG_INTERVAL_MS)
    return;
  LOG_EVENT (level > gateway->logged_level ? LOG_LEVEL_WARNING
                                           : LOG_LEVEL_NOTICE,
             "memory-level", LOG_STR ("level", names[level]),
             LOG_U64 ("held_bytes", gateway->account.total),
             LOG_U64 ("peak_bytes", gateway->account.peak),
             LOG_U64 ("tight_bytes", gateway->account.tight_bytes),
             LOG_U64 ("full_bytes", gateway->account.full_bytes));
  gateway->logged_level = level;
  gateway->level_log_ms = now_ms;
}

void
callers_check (struct gateway *gateway, int64_t now_ms)
{
  adopt_new_callers (gateway);
  end_oversized (gateway);
  end_cheapest (gateway, now_ms);
  decide_unfinished (gateway, now_ms);
  if (gateway->accepting_paused)
    {
      close_surplus (gateway, now_ms);
      if (gateway->caller_count < gateway->limits.max_connections)
        {
          gateway->accepting_paused = false;
          evconnlistener_enable (gateway->listener);
        }
    }
  log_level_change (gateway, now_ms);
}

static void
on_check (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  callers_check (context, time_boot_ms ());
}

/* The rest of the descriptors is for endpoints, peers and the platform. */
static size_t
get_default_connection_limit (void)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0 || files.rlim_cur == RLIM_INFINITY)
    return DEFAULT_CONNECTION_LIMIT;
  return files.rlim_cur > 32 ? (size_t)(files.rlim_cur / 4 * 3) : 16;
}

enum result
callers_init (struct gateway *gateway)
{
  struct gateway_limits *limits = &gateway->limits;

  if (limits->memory_tight_share >= limits->memory_full_share)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "memory-shares",
                 LOG_REAL ("tight_share", limits->memory_tight_share),
                 LOG_REAL ("full_share", limits->memory_full_share),
                 LOG_STR ("error", "tight_share must be below full_share"));
      return RESULT_INVALID;
    }
  if (limits->max_connections == 0)
    limits->max_connections = get_default_connection_limit ();
  TAILQ_INIT (&gateway->callers);
  memory_account_init (&gateway->account, limits->memory_bytes,
                       limits->memory_tight_share, limits->memory_full_share);
  gateway->check_event = event_new (gateway->base, -1, 0, on_check, gateway);
  return gateway->check_event != NULL ? RESULT_OK : RESULT_NO_MEMORY;
}

void
callers_finish (struct gateway *gateway)
{
  /* The end of evhttp has ended all connections but the newest. */
  adopt_new_callers (gateway);
  if (gateway->check_event != NULL)
    event_free (gateway->check_event);
  gateway->check_event = NULL;
}

void
callers_put_metrics (struct gateway *gateway)
{
  struct counter_set *counters = gateway->tables.counters;
  const struct memory_account *account = &gateway->account;
  char labels[64];

  for (int kind = 0; kind < MEMORY_KINDS; kind++)
    {
      snprintf (labels, sizeof labels, "kind=\"%s\"",
                memory_kind_name ((enum memory_kind)kind));
      counter_put (counters, "waxwing_memory_held_bytes", labels,
                   (double)account->held[kind]);
    }
  counter_put (counters, "waxwing_memory_peak_bytes", NULL,
               (double)account->peak);
  counter_put (counters, "waxwing_memory_watermark_total",
               "watermark=\"tight\"", (double)account->tight_count);
  counter_put (counters, "waxwing_memory_watermark_total", "watermark=\"full\"",
               (double)account->full_count);
  counter_put (counters, "waxwing_caller_connections", NULL,
               (double)gateway->caller_count);
}
