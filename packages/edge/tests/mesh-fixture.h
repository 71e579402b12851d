#ifndef MESH_FIXTURE_H
#define MESH_FIXTURE_H

#include "records.h"
#include "timeutil.h"

/*
 * A virtual clock for all hosts of a test, in place of the functions of
 * timeutil.h, and a store that cannot be reached.
 */

static int64_t clock_ms;

int64_t
time_boot_ms (void)
{
  return clock_ms;
}

int64_t
time_wall_ms (void)
{
  return clock_ms;
}

static inline void
encode_request (const struct records_request *request,
                const char **method,
                struct http_text *target,
                struct http_text *body)
{
  (void)request;
  (void)method;
  (void)body;
  http_text_add_string (target, "/");
}

static inline void
decode_response (enum records_verb verb,
                 unsigned status,
                 const char *body,
                 size_t size,
                 void (*handle) (void *context,
                                 const struct records_response *response),
                 void *context)
{
  struct records_response response = { .result = RESULT_PLATFORM_OUTAGE };

  (void)verb;
  (void)status;
  (void)body;
  (void)size;
  handle (context, &response);
}

static const struct records_codec unreachable_store
    = { NULL, encode_request, decode_response };

#endif
