#include "internal.h"

#include "hash.h"
#include "place.h"
#include "uuid.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static unsigned
count_headers_named (const struct evkeyvalq *headers, const char *name)
{
  const struct evkeyval *header;
  unsigned count = 0;

  TAILQ_FOREACH (header, headers, next)
    count += strcasecmp (header->key, name) == 0;
  return count;
}

static bool
is_valid_request_id (const char *id)
{
  if (*id == '\0' || strlen (id) >= REQUEST_ID_SIZE)
    return false;
  for (; *id != '\0'; id++)
    if (!isalnum ((unsigned char)*id) && strchr ("-_.:", *id) == NULL)
      return false;
  return true;
}

static enum result
read_deadline (struct gateway_request *request, const char *text)
{
  char *end;
  unsigned long long ms;

  if (!isdigit ((unsigned char)*text) || strlen (text) > 12)
    return RESULT_MALFORMED_REQUEST;
  ms = strtoull (text, &end, 10);
  if (*end != '\0')
    return RESULT_MALFORMED_REQUEST;
  if (ms > (unsigned long long)request->gateway->limits.max_deadline_ms)
    ms = (unsigned long long)request->gateway->limits.max_deadline_ms;
  request->deadline_ms = request->started_ms + (int64_t)ms;
  return RESULT_OK;
}

static enum result
read_priority (struct gateway_request *request, const char *text)
{
  static const char *const names[] = { "low", "normal", "high" };

  for (int i = 0; i < ADMISSION_PRIORITIES; i++)
    if (strcmp (text, names[i]) == 0)
      {
        request->admission.priority = (enum admission_priority)i;
        return RESULT_OK;
      }
  return RESULT_MALFORMED_REQUEST;
}

/*
 * Refuses ambiguous framing, two credentials and too many headers.  Closes the
 * connection, because the rest of its input cannot be trusted.
 */
static enum result
check_framing (struct gateway_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request->http);
  unsigned content_lengths = count_headers_named (headers, "Content-Length");
  unsigned transfer_encodings
      = count_headers_named (headers, "Transfer-Encoding");
  const char *encoding = evhttp_find_header (headers, "Transfer-Encoding");
  unsigned count = 0;
  bool names_valid = true;
  const struct evkeyval *header;

  TAILQ_FOREACH (header, headers, next)
    {
      count++;
      /*
       * evhttp takes the blank as part of the name.  Another reader of the
       * request may take the field without it (RFC 9112 section 5.1).
       */
      names_valid = names_valid && strpbrk (header->key, " \t") == NULL;
    }
  /* evhttp parses a body of any other encoding as the next request. */
  if (names_valid && (encoding == NULL || strcasecmp (encoding, "chunked") == 0)
      && content_lengths <= 1 && transfer_encodings <= 1
      && content_lengths + transfer_encodings <= 1
      && count_headers_named (headers, "Authorization") <= 1
      && count <= request->gateway->limits.header_count)
    return RESULT_OK;
  evhttp_add_header (evhttp_request_get_output_headers (request->http),
                     "Connection", "close");
  return RESULT_MALFORMED_REQUEST;
}

enum result
identify_check_headers (struct gateway_request *request)
{
  const struct evkeyvalq *headers
      = evhttp_request_get_input_headers (request->http);
  const char *id = evhttp_find_header (headers, "X-Request-Id");
  const char *deadline = evhttp_find_header (headers, "X-Deadline-Ms");
  const char *priority = evhttp_find_header (headers, "X-Priority");
  enum result result = check_framing (request);
  bool has_valid_id = id != NULL && is_valid_request_id (id);

  if (has_valid_id)
    snprintf (request->id, sizeof request->id, "%s", id);
  else
    uuid_generate (request->id);
  request->admission.priority = ADMISSION_NORMAL;
  if (result != RESULT_OK)
    return result;
  if (id != NULL && !has_valid_id)
    return RESULT_MALFORMED_REQUEST;
  if (evbuffer_get_length (evhttp_request_get_input_buffer (request->http))
      > request->gateway->limits.body_bytes)
    return RESULT_BODY_TOO_LARGE;
  if (deadline != NULL)
    result = read_deadline (request, deadline);
  if (result == RESULT_OK && priority != NULL)
    result = read_priority (request, priority);
  return result;
}

enum result
identify_customer (struct gateway_request *request)
{
  const struct sheet *sheet = request->gateway->tables.sheet;
  const char *authorization = evhttp_find_header (
      evhttp_request_get_input_headers (request->http), "Authorization");
  const struct sheet_customer *customer;
  char digest[HASH_SHA256_HEX_SIZE];

  if (sheet == NULL || sheet->number == 0)
    return RESULT_NO_CONFIGURATION;
  if (authorization == NULL || strncasecmp (authorization, "Bearer ", 7) != 0)
    return RESULT_UNAUTHENTICATED;
  hash_sha256_hex (authorization + 7, strlen (authorization + 7), digest);
  customer = sheet_find_credential (sheet, digest);
  if (customer == NULL)
    return RESULT_UNAUTHENTICATED;
  snprintf (request->customer, sizeof request->customer, "%s", customer->name);
  return RESULT_OK;
}

const struct sheet_customer *
identify_find_customer (const struct gateway_request *request)
{
  const struct sheet *sheet = request->gateway->tables.sheet;

  if (sheet == NULL || request->customer[0] == '\0')
    return NULL;
  return sheet_find_customer (sheet, request->customer);
}

enum result
identify_check_place (const struct gateway_request *request)
{
  const struct sheet *sheet = request->gateway->tables.sheet;
  const struct sheet_customer *customer = identify_find_customer (request);

  if (sheet == NULL || sheet->number == 0)
    return RESULT_NO_CONFIGURATION;
  if (customer == NULL)
    return RESULT_UNAUTHENTICATED;
  return place_check_customer (sheet, customer,
                               request->gateway->tables.data_centre);
}
