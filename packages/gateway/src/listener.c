#include "internal.h"

#include "netutil.h"
#include "timeutil.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

static struct timeval
timeval_from_ms (int ms)
{
  struct timeval tv = { ms / 1000, (suseconds_t)(ms % 1000) * 1000 };

  return tv;
}

/* Restores the idle timeouts once the reply is written. */
static void
on_reply_complete (struct evhttp_request *http, void *context)
{
  struct gateway *gateway = context;
  struct evhttp_connection *connection = evhttp_request_get_connection (http);
  struct timeval idle
      = timeval_from_ms (gateway->limits.caller_idle_timeout_ms);
  struct bufferevent *bev;
  struct caller *caller;

  if (connection == NULL)
    return;
  bev = evhttp_connection_get_bufferevent (connection);
  bufferevent_set_timeouts (bev, &idle, &idle);
  /* evhttp collects a whole body in the input buffer, so no limit may stay. */
  bufferevent_setwatermark (bev, EV_READ, 0, 0);
  caller = caller_find (gateway, connection);
  if (caller != NULL)
    caller_reply_written (caller);
}

static void
send_health_response (struct gateway *gateway, struct evhttp_request *http)
{
  struct evbuffer *body = evbuffer_new ();
  const struct sheet *sheet = gateway->tables.sheet;
  bool configured = sheet != NULL && sheet->number > 0;
  bool healthy = gateway->phase == GATEWAY_SERVING && configured
                 && !gateway->is_starting;

  if (body != NULL)
    evbuffer_add_printf (body, "%s\n",
                         gateway->phase != GATEWAY_SERVING ? "draining"
                         : !configured                     ? "no configuration"
                         : gateway->is_starting            ? "starting"
                                                           : "ok");
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     "text/plain");
  evhttp_request_set_on_complete_cb (http, on_reply_complete, gateway);
  evhttp_send_reply (http, healthy ? 200 : 503, NULL, body);
  if (body != NULL)
    evbuffer_free (body);
}

void
listener_caller_disconnected (struct gateway_request *request)
{
  struct evhttp_request *http = request->http;

  request->http = NULL;
  request->caller = NULL;
  /*
   * After a disconnect evhttp has detached the request from the connection, and
   * ending the reply only frees it.  Otherwise the connection still owns it and
   * frees it.
   */
  if (http != NULL && evhttp_request_get_connection (http) == NULL)
    evhttp_send_reply_end (http);
  request_caller_disconnected (request);
}

void
listener_watch_caller (struct gateway_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request->http);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  bufferevent_data_cb read_cb;
  bufferevent_data_cb write_cb;
  bufferevent_event_cb event_cb;
  void *arg;

  /*
   * evhttp ends the process if its read callback runs while a reply is pending,
   * for example for a pipelined request, so reading is enabled without that
   * callback.  evhttp restores it for the next request on the connection.
   */
  bufferevent_getcb (bev, &read_cb, &write_cb, &event_cb, &arg);
  bufferevent_setcb (bev, NULL, write_cb, event_cb, arg);
  bufferevent_setwatermark (bev, EV_READ, 0, PIPELINED_INPUT_LIMIT_BYTES);
  bufferevent_set_timeouts (bev, NULL, NULL);
  bufferevent_enable (bev, EV_READ);
  request->caller->watched = request;
}

void
listener_unwatch_caller (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request->http);
  struct timeval slow
      = timeval_from_ms (gateway->limits.slow_caller_timeout_ms);

  if (connection == NULL)
    return;
  request->caller->watched = NULL;
  /* Writing the rest of the reply must make progress. */
  bufferevent_set_timeouts (evhttp_connection_get_bufferevent (connection),
                            NULL, &slow);
  evhttp_request_set_on_complete_cb (request->http, on_reply_complete, gateway);
}

static void
on_request (struct evhttp_request *http, void *context)
{
  struct gateway *gateway = context;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (http));
  struct gateway_request *request;
  struct caller *caller;
  enum result result;

  if (path != NULL && strcmp (path, "/healthz") == 0)
    {
      send_health_response (gateway, http);
      return;
    }
  caller = caller_find (gateway, evhttp_request_get_connection (http));
  request
      = caller != NULL ? request_new (gateway, http, time_boot_ms ()) : NULL;
  if (request == NULL)
    {
      /* evhttp sends "Connection: close" with its errors. */
      evhttp_send_error (http, 503, NULL);
      return;
    }
  request->caller = caller;
  caller_request_began (caller, request);
  listener_watch_caller (request);
  result = identify_check_headers (request);
  if (result == RESULT_OK)
    result = identify_customer (request);
  if (result == RESULT_OK)
    result = identify_check_place (request);
  /* Path and body are parsed only below, once the place has been checked. */
  if (result == RESULT_OK && gateway->phase == GATEWAY_DRAINING)
    result = RESULT_DRAINING;
  if (result == RESULT_OK && gateway->is_starting)
    result = RESULT_STARTING;
  if (result == RESULT_OK)
    result = parse_request (request);
  request_account (request);
  if (result == RESULT_OK)
    result = parse_check_target (request);
  if (result != RESULT_OK)
    request_refuse (request, result, 0);
  else
    admit_request (request);
}

/*
 * Accepted sockets inherit these options.  Without TCP_NODELAY each token waits
 * for the ACK of the previous one, up to 40 ms with a delayed ACK.
 */
static void
set_socket_options (struct evhttp_bound_socket *listening, int send_buffer)
{
  evutil_socket_t fd = evhttp_bound_socket_get_fd (listening);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (send_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
}

enum result
listener_start (struct gateway *gateway, const char *address, uint16_t port)
{
  struct timeval idle
      = timeval_from_ms (gateway->limits.caller_idle_timeout_ms);
  struct evhttp_bound_socket *listening;

  gateway->http = evhttp_new (gateway->base);
  if (gateway->http == NULL)
    return RESULT_NO_MEMORY;
  evhttp_set_timeout_tv (gateway->http, &idle);
  evhttp_set_max_headers_size (gateway->http,
                               (ev_ssize_t)gateway->limits.header_bytes);
  evhttp_set_max_body_size (
      gateway->http,
      (ev_ssize_t)(gateway->limits.body_bytes * LISTENER_BODY_LIMIT_FACTOR));
  evhttp_set_allowed_methods (gateway->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
                                  | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                  | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb (gateway->http, on_request, gateway);
  evhttp_set_bevcb (gateway->http, caller_new, gateway);
  listening = evhttp_bind_socket_with_handle (gateway->http, address, port);
  if (listening == NULL)
    return RESULT_INVALID;
  gateway->listener = evhttp_bound_socket_get_listener (listening);
  set_socket_options (listening, gateway->limits.send_buffer_bytes);
  gateway->port = net_bound_port (evhttp_bound_socket_get_fd (listening));
  return gateway->port != 0 ? RESULT_OK : RESULT_INTERNAL;
}

void
listener_stop (struct gateway *gateway)
{
  if (gateway->http != NULL)
    evhttp_free (gateway->http);
  gateway->http = NULL;
}
