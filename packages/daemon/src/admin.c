#include "daemon.h"

#include "log.h"
#include "netutil.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_LIMIT 65536
#define HEADERS_LIMIT 16384

static void
send_text (struct evhttp_request *request,
           int status,
           const char *type,
           struct evbuffer *body)
{
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", type);
  evhttp_send_reply (request, status, NULL, body);
}

/* Takes the reference. */
static void
send_json (struct evhttp_request *request, int status, json_t *json)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  if (body == NULL || text == NULL)
    evhttp_send_error (request, HTTP_SERVUNAVAIL, NULL);
  else
    {
      evbuffer_add_printf (body, "%s\n", text);
      send_text (request, status, "application/json", body);
    }
  free (text);
  json_decref (json);
  if (body != NULL)
    evbuffer_free (body);
}

static void
on_status (struct evhttp_request *request, void *context)
{
  send_json (request, HTTP_OK, daemon_status (context));
}

static void
write_line (void *context, const char *line)
{
  evbuffer_add (context, line, strlen (line));
}

static void
on_metrics (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;
  struct evbuffer *body = evbuffer_new ();

  if (body == NULL)
    {
      evhttp_send_error (request, HTTP_SERVUNAVAIL, NULL);
      return;
    }
  daemon_collect_metrics (daemon);
  counter_write (&daemon->counters, write_line, body);
  send_text (request, HTTP_OK, "text/plain; version=0.0.4", body);
  evbuffer_free (body);
}

static void
on_burn (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;

  send_json (request, HTTP_OK, burn_to_json (&daemon->burn));
}

static void
on_explain (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values = { 0 };
  const char *kind = NULL;
  const char *id = NULL;
  json_t *found = NULL;
  json_t *entry;
  size_t i;

  if (query != NULL && evhttp_parse_query_str (query, &values) == 0)
    {
      kind = evhttp_find_header (&values, "kind");
      id = evhttp_find_header (&values, "id");
    }
  if (kind != NULL && id != NULL)
    found = ring_find (&daemon->ring, kind, id);
  json_array_foreach (found, i, entry)
    json_object_set_new (entry, "host",
                         json_string (daemon->members.self.host));
  if (found != NULL)
    send_json (request, HTTP_OK, json_pack ("{s:o}", "decisions", found));
  else
    send_json (request, HTTP_BADREQUEST,
               json_pack ("{s:s}", "error",
                          "kind must be group, host or request, and id is "
                          "required"));
  evhttp_clear_headers (&values);
}

/*
 * Test setting test.faults: cuts this entry host off from the platform or
 * from peers, {"platform":true,"peers":"*"}.
 */
static void
on_cut (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  json_t *json = NULL;
  const char *peers;

  if (size > 0)
    json
        = json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
  if (!daemon->settings.test_faults || json == NULL)
    {
      json_decref (json);
      send_json (request, 403,
                 json_pack ("{s:s}", "error", "test.faults is not set"));
      return;
    }
  daemon->platform.cut = json_is_true (json_object_get (json, "platform"));
  peers = json_string_value (json_object_get (json, "peers"));
  snprintf (daemon->peers.cut, sizeof daemon->peers.cut, "%s",
            peers != NULL ? peers : "");
  LOG_EVENT (LOG_LEVEL_WARNING, "test-cut",
             LOG_INT ("platform", daemon->platform.cut),
             LOG_STR ("peers", daemon->peers.cut));
  json_decref (json);
  send_json (request, HTTP_OK, json_pack ("{s:b}", "done", 1));
}

enum result
daemon_admin_init (struct daemon *daemon)
{
  struct evhttp_bound_socket *bound;

  daemon->admin = evhttp_new (daemon->base);
  if (daemon->admin == NULL)
    return RESULT_NO_MEMORY;
  evhttp_set_max_body_size (daemon->admin, BODY_LIMIT);
  evhttp_set_max_headers_size (daemon->admin, HEADERS_LIMIT);
  evhttp_set_timeout (daemon->admin, 10);
  if (evhttp_set_cb (daemon->admin, "/status", on_status, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/metrics", on_metrics, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/burn", on_burn, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/explain", on_explain, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/cut", on_cut, daemon) != 0)
    {
      evhttp_free (daemon->admin);
      return RESULT_NO_MEMORY;
    }
  bound = evhttp_bind_socket_with_handle (
      daemon->admin, daemon->settings.admin_address,
      (uint16_t)daemon->settings.admin_port);
  if (bound == NULL)
    {
      evhttp_free (daemon->admin);
      return RESULT_PEER_UNREACHABLE;
    }
  daemon->admin_port = net_bound_port (evhttp_bound_socket_get_fd (bound));
  return RESULT_OK;
}
