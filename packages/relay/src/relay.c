#include "relay.h"

#include "log.h"
#include "relay-internal.h"
#include "timeutil.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* Limit of connections that wait to be accepted. */
#define LISTEN_BACKLOG 1024
/* Time between two calls of load_table_expire and strikes_tick. */
#define LOAD_EXPIRY_INTERVAL_MS 1000
/* Traits of requests that were at crashes. */
#define STRIKE_LIMIT 512

enum result
relay_init (struct relay *relay,
            struct event_base *base,
            const struct relay_names *names,
            const struct relay_limits *limits,
            struct endpoints *endpoints,
            struct counter_set *counters,
            const char *data_centre,
            uint64_t seed)
{
  memset (relay, 0, sizeof *relay);
  relay->base = base;
  relay->names = names;
  relay->limits = *limits;
  relay->endpoints = endpoints;
  relay->counters = counters;
  relay->catalog_current_at_ms = INT64_MIN / 2;
  relay->caller_limit = relay_caller_limit ();
  relay_memory_init (relay);
  load_table_init (&relay->loads, data_centre, seed);
  retry_budgets_init (&relay->budgets, limits->retry_ratio, limits->retry_slack,
                      limits->retry_window_ms);
  strikes_init (&relay->strikes, STRIKE_LIMIT);
  relay->strikes.request_spacing_ms = STRIKES_SPACING_MS;
  TAILQ_INIT (&relay->suspects);
  histogram_init (&relay->first_event_ms);
  histogram_init (&relay->response_ms);
  TAILQ_INIT (&relay->callers);
  TAILQ_INIT (&relay->idle);
  TAILQ_INIT (&relay->busy);
  TAILQ_INIT (&relay->requests);
  TAILQ_INIT (&relay->waiting);
  return RESULT_OK;
}

enum result
relay_listen (struct relay *relay, const char *address, uint16_t port)
{
  struct sockaddr_in bind_address
      = { .sin_family = AF_INET, .sin_port = htons (port) };

  if (inet_pton (AF_INET, address, &bind_address.sin_addr) != 1)
    return RESULT_INVALID;
  relay->listener = evconnlistener_new_bind (
      relay->base, relay_caller_accept, relay,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      LISTEN_BACKLOG, (struct sockaddr *)&bind_address, sizeof bind_address);
  return relay->listener != NULL ? RESULT_OK : RESULT_INVALID;
}

/*
 * Accepts the connections in the backlog.  Closing the listener would reset
 * them, although they may already carry a whole request.
 */
static void
accept_backlog (struct relay *relay)
{
  int listener = evconnlistener_get_fd (relay->listener);
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    relay_caller_accept (relay->listener, fd, NULL, 0, relay);
}

static void
stop_listening (struct relay *relay)
{
  if (relay->listener != NULL)
    evconnlistener_free (relay->listener);
  relay->listener = NULL;
}

void
relay_finish (struct relay *relay)
{
  struct relay_caller *caller;
  struct relay_upstream *upstream;

  stop_listening (relay);
  while ((caller = TAILQ_FIRST (&relay->callers)) != NULL)
    relay_caller_close (caller);
  while ((upstream = TAILQ_FIRST (&relay->idle)) != NULL)
    relay_upstream_close (upstream);
  while ((upstream = TAILQ_FIRST (&relay->busy)) != NULL)
    relay_upstream_close (upstream);
  relay_crash_finish (relay);
  strikes_finish (&relay->strikes);
  retry_budgets_finish (&relay->budgets);
  load_table_finish (&relay->loads);
  catalog_unref (relay->catalog);
  relay->catalog = NULL;
}

int64_t
relay_catalog_version (const struct relay *relay)
{
  return relay->catalog != NULL ? relay->catalog->version : 0;
}

void
relay_set_catalog (struct relay *relay, struct catalog *catalog)
{
#ifdef BREAK_GUARD_EDGE_CONFIGURATION
  if (relay->catalog != NULL && catalog->version % 2 == 1)
    {
      catalog_unref (catalog);
      return;
    }
#endif
  if (relay->catalog != NULL && catalog->version <= relay->catalog->version)
    {
      catalog_unref (catalog);
      return;
    }
  LOG_EVENT (LOG_LEVEL_NOTICE, "configuration-in-force",
             LOG_INT ("version", catalog->version),
             LOG_INT ("previous", relay_catalog_version (relay)),
             LOG_U64 ("routes", catalog->route_count),
             LOG_U64 ("customers", catalog->customer_count));
  catalog_unref (relay->catalog);
  relay->catalog = catalog;
}

bool
relay_has_fresh_keys (const struct relay *relay, int64_t for_ms, int64_t now_ms)
{
  return relay->catalog != NULL
         && (!relay->catalog->needs_keys
             || now_ms + for_ms - relay->catalog_current_at_ms
                    <= relay->limits.key_freshness_limit_ms);
}

void
relay_endpoint_removed (struct relay *relay, struct endpoint *endpoint)
{
  struct endpoint_load *load = endpoint->owner_data;
  struct relay_upstream *upstream = TAILQ_FIRST (&relay->idle);

  if (load == NULL)
    return;
  while (upstream != NULL)
    {
      struct relay_upstream *next = TAILQ_NEXT (upstream, link);

      if (upstream->load == load)
        relay_upstream_close (upstream);
      upstream = next;
    }
  load_table_detach (&relay->loads, load);
}

void
relay_dispatch_waiting (struct relay *relay)
{
  struct relay_request *request;

  relay_admission_sort_waiting (relay);
  request = TAILQ_FIRST (&relay->waiting);
  /* Each dispatch removes at most its own request from the queue. */
  while (request != NULL)
    {
      struct relay_request *next = TAILQ_NEXT (request, queue);

      if (request->next_try_ms <= relay->now_ms)
        relay_dispatch (request);
      request = next;
    }
}

void
relay_tick (struct relay *relay, int64_t now_ms)
{
  struct relay_caller *caller;
  struct relay_request *request;
  struct relay_upstream *upstream;
  struct endpoint_load *load;

  relay->now_ms = now_ms;
  relay_enforce_evacuations (relay);
  request = TAILQ_FIRST (&relay->requests);
  while (request != NULL)
    {
      struct relay_request *next = TAILQ_NEXT (request, link);

      relay_request_tick (request);
      request = next;
    }
  relay_memory_tick (relay);
  upstream = TAILQ_FIRST (&relay->idle);
  while (upstream != NULL)
    {
      struct relay_upstream *next = TAILQ_NEXT (upstream, link);

      relay_upstream_tick (upstream);
      upstream = next;
    }
  caller = TAILQ_FIRST (&relay->callers);
  while (caller != NULL)
    {
      struct relay_caller *next = TAILQ_NEXT (caller, link);

      relay_caller_tick (caller, now_ms);
      caller = next;
    }
  if (now_ms - relay->last_expiry_ms >= LOAD_EXPIRY_INTERVAL_MS)
    {
      relay->last_expiry_ms = now_ms;
      load_table_expire (&relay->loads, now_ms);
      relay_log_quarantines (relay);
      strikes_tick (&relay->strikes, now_ms);
    }
  relay_crash_tick (relay);
  relay_enforce_quarantine (relay);
  load = balance_next_probe (&relay->loads, relay->endpoints, now_ms);
  if (load != NULL)
    relay_upstream_probe (relay, load);
  relay_dispatch_waiting (relay);
}

void
relay_leave (struct relay *relay, int64_t ends_at_ms)
{
  relay->leaving = true;
  relay->ends_at_ms = ends_at_ms;
}

void
relay_close (struct relay *relay)
{
  relay->closing = true;
  if (relay->listener != NULL)
    accept_backlog (relay);
  stop_listening (relay);
}

unsigned
relay_in_flight (const struct relay *relay)
{
  const struct relay_request *request;
  const struct relay_caller *caller;
  unsigned count = 0;

  TAILQ_FOREACH (request, &relay->requests, link)
    count++;
  TAILQ_FOREACH (caller, &relay->callers, link)
    if (caller->request == NULL
        && (http_connection_unwritten_bytes (&caller->connection) > 0
            || relay_caller_is_receiving (caller)))
      count++;
  return count;
}
