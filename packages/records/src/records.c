#include "records.h"

#include "http-connection.h"
#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_LIMIT_BYTES 65536
/*
 * Largest body: a page of 500 records, or one record of 1 MB with overhead. The
 * response to a watch holds all changes since a revision and can be longer.
 */
#define BODY_LIMIT_BYTES (8U << 20)
/* Of all responses together; usual ones are below 1 MB. */
#define BODIES_LIMIT_BYTES (16U << 20)
/*
 * A connection fails when sent bytes are not acknowledged for this time.  Each
 * call also has its own timeout.
 */
#define UNACKNOWLEDGED_LIMIT_MS 2000
/* An era times this is added to its revisions; decimal, for readers of logs. */
#define ERA_UNIT UINT64_C (1000000000000000)
/* Highest era that a revision can hold; higher ones are malformed. */
#define ERA_LIMIT ((int64_t)(UINT64_MAX / ERA_UNIT) - 1)
/* Idle connections are closed after this time, before the store closes them. */
#define IDLE_LIMIT_MS 8000

/* One connection and the call that uses it. */
struct records_call
{
  struct records *records;
  struct http_connection connection;
  bool busy; /* used by a call, else idle */
  bool established;
  bool sent; /* the request was sent, at least in part */
  bool is_write;
  enum records_verb verb;
  int64_t expires_at_ms; /* when the call fails or the idle connection closes */
  unsigned status;
  uint64_t era; /* that the response names; 0 = none */
  /* Of the revision that the request depends on; 0 = it depends on none. */
  uint64_t request_era;
  struct http_text request;
  struct http_text body;
  void (*done) (void *context, const struct records_response *response);
  void *context;
  TAILQ_ENTRY (records_call) link;
};

const char *
records_kind_name (enum records_kind kind)
{
  static const char *const names[] = {
    [RECORDS_CONFIGURATION] = "configuration",
    [RECORDS_ENDPOINTS] = "endpoints",
    [RECORDS_LEASES] = "leases",
    [RECORDS_HOSTS] = "hosts",
    [RECORDS_STRIKES] = "strikes",
    [RECORDS_EVACUATIONS] = "evacuations",
  };

  return names[kind];
}

void
records_init (struct records *records,
              struct event_base *base,
              const struct records_codec *codec,
              const char *address,
              uint16_t port)
{
  size_t size = strnlen (address, sizeof records->address - 1);

  memset (records, 0, sizeof *records);
  records->base = base;
  records->codec = codec;
  memcpy (records->address, address, size);
  records->port = port;
  records->body_limit_bytes = BODY_LIMIT_BYTES;
  TAILQ_INIT (&records->sent);
  TAILQ_INIT (&records->idle);
}

static void
close_call (struct records_call *call)
{
  struct records *records = call->records;

  if (call->busy)
    TAILQ_REMOVE (&records->sent, call, link);
  else
    TAILQ_REMOVE (&records->idle, call, link);
  http_connection_finish (&call->connection);
  http_text_finish (&call->request);
  http_text_finish (&call->body);
  http_free_later (records->base, call);
}

void
records_finish (struct records *records)
{
  struct records_call *call;

  while ((call = TAILQ_FIRST (&records->sent)) != NULL)
    close_call (call);
  while ((call = TAILQ_FIRST (&records->idle)) != NULL)
    close_call (call);
}

/* Closes the call's connection, then reports the failure. */
static void
fail_call (struct records_call *call, enum result result)
{
  void (*done) (void *context, const struct records_response *response)
      = call->done;
  void *context = call->context;
  struct records_response response = { .result = result };

  call->records->failures++;
  close_call (call);
  done (context, &response);
}

/* Closes the connection; a call that uses it fails. */
static void
abort_connection (struct records_call *call)
{
  if (!call->busy)
    {
      close_call (call);
      return;
    }
  fail_call (call, call->sent && call->is_write ? RESULT_PLATFORM_LOST_ANSWER
                                                : RESULT_PLATFORM_UNREACHABLE);
}

static void
send_request (struct records_call *call)
{
  call->sent = true;
  http_connection_write (&call->connection, call->request.data,
                         call->request.size);
}

static void
on_connected (void *context)
{
  struct records_call *call = context;

  call->established = true;
  send_request (call);
}

uint64_t
records_get_era (uint64_t revision)
{
  return revision / ERA_UNIT;
}

uint64_t
records_get_number (uint64_t revision)
{
  return revision % ERA_UNIT;
}

/* Records the era that a response names; logs when it rises. */
static void
note_era (struct records_call *call, const struct http_head *head)
{
  struct records *records = call->records;
  const char *field = records->codec->era_field;
  int64_t era;

  call->era = 0;
  if (field == NULL || !http_parse_number (http_head_get (head, field), &era)
      || era > ERA_LIMIT)
    return;
  call->era = (uint64_t)era;
  if (call->era <= records->era)
    return;
  if (records->era != 0)
    LOG_EVENT (LOG_LEVEL_WARNING, "platform-restored",
               LOG_U64 ("era", call->era), LOG_U64 ("previous", records->era));
  records->era = call->era;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct records_call *call = context;

  note_era (call, head);
  /* A response without a request: the connection is in an unknown state. */
  if (!call->busy)
    close_call (call);
  else
    call->status = head->status;
}

size_t
records_held_bytes (const struct records *records)
{
  const struct records_call *call;
  size_t size = 0;

  TAILQ_FOREACH (call, &records->sent, link)
    size += call->body.size;
  return size;
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct records_call *call = context;

  http_text_add (&call->body, data, size);
  if (call->body.failed || !call->busy
      || records_held_bytes (call->records) > BODIES_LIMIT_BYTES)
    abort_connection (call);
  else if (call->body.size > call->records->body_limit_bytes)
    fail_call (call, call->is_write ? RESULT_PLATFORM_LOST_ANSWER
                                    : RESULT_PLATFORM_OVER_LIMIT);
}

/* The owner of a call whose response is being decoded. */
struct decoding
{
  uint64_t era;
  void (*done) (void *context, const struct records_response *response);
  void *context;
};

static bool
add_era (uint64_t *revision, uint64_t era)
{
  if (*revision >= ERA_UNIT)
    return false;
  if (*revision != 0)
    *revision += era * ERA_UNIT;
  return true;
}

/* Adds the era to the revisions of a response before its owner gets it. */
static void
on_decoded (void *context, const struct records_response *response)
{
  const struct decoding *decoding = context;
  struct records_response with_eras = *response;
  bool is_valid = add_era (&with_eras.revision, decoding->era);

  for (unsigned i = 0; i < response->count; i++)
    is_valid = add_era (&response->list[i].revision, decoding->era) && is_valid;
  if (response->record != NULL)
    is_valid = add_era (&response->record->revision, decoding->era) && is_valid;
  if (!is_valid)
    with_eras
        = (struct records_response){ .result = RESULT_PLATFORM_BAD_ANSWER };
  decoding->done (decoding->context, &with_eras);
}

/* The result of a call whose revision is of an earlier era. */
static enum result
get_outdated_result (enum records_verb verb)
{
  return verb == RECORDS_WATCH ? RESULT_PLATFORM_HISTORY_GONE
                               : RESULT_PLATFORM_CONFLICT;
}

/*
 * RESULT_OK if the response is of the present era, and so is the revision that
 * the call depends on.
 */
static enum result
check_era (const struct records_call *call)
{
  if (call->era == 0)
    return RESULT_OK;
  if (call->era < call->records->era)
    return call->is_write ? RESULT_PLATFORM_LOST_ANSWER
                          : RESULT_PLATFORM_UNREACHABLE;
  return call->request_era != 0 && call->request_era != call->era
             ? get_outdated_result (call->verb)
             : RESULT_OK;
}

static void
on_complete (void *context)
{
  struct records_call *call = context;
  struct records *records = call->records;
  struct decoding decoding = { records->era, call->done, call->context };
  struct http_text body;
  enum records_verb verb = call->verb;
  unsigned status = call->status;
  enum result result = check_era (call);

  if (!call->busy)
    {
      close_call (call);
      return;
    }
  /* The callback may use the connection again. */
  body = call->body;
  http_text_init (&call->body);
  if (http_connection_is_reusable (&call->connection))
    {
      TAILQ_REMOVE (&records->sent, call, link);
      call->busy = false;
      call->expires_at_ms = time_boot_ms () + IDLE_LIMIT_MS;
      TAILQ_INSERT_HEAD (&records->idle, call, link);
      http_connection_next_message (&call->connection, false);
    }
  else
    close_call (call);
  if (result == RESULT_OK)
    records->codec->decode (verb, status, body.data != NULL ? body.data : "",
                            body.size, on_decoded, &decoding);
  else
    decoding.done (decoding.context,
                   &(struct records_response){ .result = result });
  http_text_finish (&body);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)end;
  abort_connection (context);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

static void
encode_request (struct records_call *call,
                const struct records_request *request)
{
  struct records *records = call->records;
  struct records_request sent = *request;
  struct http_text target;
  struct http_text body;
  const char *method = "GET";

  http_text_init (&target);
  http_text_init (&body);
  sent.revision = records_get_number (request->revision);
  records->codec->encode (&sent, &method, &target, &body);
  http_text_reset (&call->request);
  http_text_add_string (&call->request, method);
  http_text_add (&call->request, " ", 1);
  http_text_add (&call->request, target.data, target.size);
  http_text_format (&call->request, " HTTP/1.1\r\nHost: %s:%u\r\n",
                    records->address, records->port);
  http_text_add_json_body (&call->request, body.data, body.size);
  if (target.failed || body.failed)
    call->request.failed = true;
  http_text_finish (&target);
  http_text_finish (&body);
}

static struct records_call *
open_connection (struct records *records)
{
  const struct http_limits limits = { HEADER_LIMIT_BYTES, HEADER_LIMIT_BYTES };
  struct records_call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->records = records;
  http_text_init (&call->request);
  http_text_init (&call->body);
  if (http_connection_connect (
          &call->connection, records->base, records->address, records->port,
          UNACKNOWLEDGED_LIMIT_MS, &limits, &connection_events, call)
      != RESULT_OK)
    {
      free (call);
      return NULL;
    }
  return call;
}

static struct records_call *
acquire_idle_connection (struct records *records)
{
  struct records_call *call;

  TAILQ_FOREACH (call, &records->idle, link)
    if (http_connection_is_idle (&call->connection))
      {
        TAILQ_REMOVE (&records->idle, call, link);
        return call;
      }
  return NULL;
}

void
records_call (struct records *records,
              const struct records_request *request,
              int timeout_ms,
              void (*done) (void *context,
                            const struct records_response *response),
              void *context)
{
  bool depends_on_revision
      = request->verb == RECORDS_WATCH || request->verb == RECORDS_REPLACE;
  uint64_t request_era
      = depends_on_revision ? records_get_era (request->revision) : 0;
  struct records_call *call;
  bool reused;

  /*
   * The owner may know a later era from another host, or a malformed one: only
   * a response of the store raises the era.
   */
  if (request_era != 0 && request_era < records->era)
    {
      done (context, &(struct records_response){
                         .result = get_outdated_result (request->verb) });
      return;
    }
  call = acquire_idle_connection (records);
  reused = call != NULL;
  records->calls[request->kind]++;
  if (call == NULL)
    call = open_connection (records);
  if (call == NULL)
    {
      struct records_response response
          = { .result = RESULT_PLATFORM_UNREACHABLE };

      done (context, &response);
      return;
    }
  call->busy = true;
  call->sent = false;
  call->verb = request->verb;
  call->request_era = request_era;
  call->is_write
      = request->verb == RECORDS_CREATE || request->verb == RECORDS_REPLACE;
  call->expires_at_ms = time_boot_ms () + timeout_ms;
  call->done = done;
  call->context = context;
  call->status = 0;
  http_text_reset (&call->body);
  TAILQ_INSERT_TAIL (&records->sent, call, link);
  encode_request (call, request);
  if (call->request.failed)
    fail_call (call, RESULT_NO_MEMORY);
  else if (reused)
    send_request (call);
}

void
records_tick (struct records *records, int64_t now_ms)
{
  struct records_call *call = TAILQ_FIRST (&records->sent);

  while (call != NULL)
    {
      struct records_call *next = TAILQ_NEXT (call, link);

      if (now_ms >= call->expires_at_ms)
        abort_connection (call);
      call = next;
    }
  call = TAILQ_FIRST (&records->idle);
  while (call != NULL)
    {
      struct records_call *next = TAILQ_NEXT (call, link);

      if (now_ms >= call->expires_at_ms)
        close_call (call);
      call = next;
    }
}

bool
records_is_store_failure (enum result result)
{
  return result == RESULT_PLATFORM_UNREACHABLE
         || result == RESULT_PLATFORM_LOST_ANSWER
         || result == RESULT_PLATFORM_OVERLOADED
         || result == RESULT_PLATFORM_OUTAGE
         || result == RESULT_PLATFORM_OVER_LIMIT
         || result == RESULT_PLATFORM_BAD_ANSWER;
}
