#include "internal.h"

#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

void
gateway_limits_set_defaults (struct gateway_limits *limits)
{
  *limits = (struct gateway_limits){
    .header_bytes = 16384,
    .header_count = 64,
    .body_bytes = 1 << 20,
    .response_bytes = 4 << 20,
    .stream_buffer_bytes = 256 << 10,
    .max_tokens = 32768,
    .caller_idle_timeout_ms = 30000,
    .slow_caller_timeout_ms = 30000,
    .default_deadline_ms = 120000,
    .max_deadline_ms = 3600000,
    .connect_timeout_ms = 1000,
    .stall_timeout_ms = 20000,
    .capacity_timeout_ms = 3000,
    .strike_ack_timeout_ms = 1000,
    .settle_timeout_ms = 500,
    .first_retry_delay_ms = 20,
    .max_retry_delay_ms = 1000,
    .attempts = 4,
    .memory_bytes = (size_t)512 << 20,
    .memory_tight_share = 0.5,
    .memory_full_share = 0.75,
  };
}

static void
on_queue_event (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  admit_process_queue (context, time_boot_ms ());
}

enum result
gateway_init (struct gateway *gateway,
              struct event_base *base,
              const struct gateway_tables *tables,
              const struct gateway_limits *limits,
              const char *address,
              uint16_t port,
              uint64_t seed)
{
  enum result result = RESULT_NO_MEMORY;

  memset (gateway, 0, sizeof *gateway);
  gateway->base = base;
  gateway->tables = *tables;
  gateway->limits = *limits;
  TAILQ_INIT (&gateway->requests);
  budget_init (&gateway->budget);
  rng_init (&gateway->rng, seed);
  histogram_init (&gateway->first_token_ms);
  gateway->queue_event = event_new (base, -1, 0, on_queue_event, gateway);
  gateway->endpoints = endpoint_client_new (base, &gateway->account);
  if (gateway->queue_event != NULL && gateway->endpoints != NULL)
    result = callers_init (gateway);
  if (result == RESULT_OK)
    result = listener_start (gateway, address, port);
  if (result != RESULT_OK)
    gateway_finish (gateway);
  return result;
}

void
gateway_finish (struct gateway *gateway)
{
  struct gateway_request *request;
  struct gateway_customer *customer;

  gateway->phase = GATEWAY_DRAINING;
  while ((request = TAILQ_FIRST (&gateway->requests)) != NULL)
    request_refuse (request, RESULT_DRAINING, 1000);
  listener_stop (gateway);
  callers_finish (gateway);
  endpoint_client_free (gateway->endpoints);
  gateway->endpoints = NULL;
  if (gateway->queue_event != NULL)
    event_free (gateway->queue_event);
  gateway->queue_event = NULL;
  customer = gateway->customers;
  HASH_CLEAR (hh, gateway->customers);
  while (customer != NULL)
    {
      struct gateway_customer *next = customer->hh.next;

      free (customer);
      customer = next;
    }
}

void
gateway_set_sheet (struct gateway *gateway, const struct sheet *sheet)
{
  gateway->tables.sheet = sheet;
}

void
gateway_tick (struct gateway *gateway, int64_t now_ms)
{
  struct gateway_request *request;
  struct gateway_request *next;

  /* request_tick may free its own request, but never the next one. */
  for (request = TAILQ_FIRST (&gateway->requests); request != NULL;
       request = next)
    {
      next = TAILQ_NEXT (request, link);
      request_tick (request, now_ms);
    }
  callers_check (gateway, now_ms);
  admit_process_queue (gateway, now_ms);
  endpoint_client_tick (gateway->endpoints, now_ms);
  metrics_tick (gateway, now_ms);
}

void
gateway_settle (struct gateway *gateway)
{
  if (gateway->phase == GATEWAY_SERVING)
    gateway->phase = GATEWAY_SETTLING;
}

void
gateway_drain (struct gateway *gateway)
{
  gateway->phase = GATEWAY_DRAINING;
}

bool
gateway_is_empty (const struct gateway *gateway)
{
  return gateway->request_count == 0;
}
