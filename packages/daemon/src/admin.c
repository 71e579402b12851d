#include "daemon.h"

#include "log.h"
#include "netutil.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_LIMIT_BYTES 65536
#define HEADERS_LIMIT_BYTES 16384

static void
send_body (struct evhttp_request *request,
           int status,
           const char *type,
           struct evbuffer *body)
{
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", type);
  evhttp_send_reply (request, status, NULL, body);
}

/* Takes ownership of the reference to json. */
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
      send_body (request, status, "application/json", body);
    }
  free (text);
  json_decref (json);
  if (body != NULL)
    evbuffer_free (body);
}

static void
on_status_request (struct evhttp_request *request, void *context)
{
  send_json (request, HTTP_OK, daemon_status_to_json (context));
}

static void
append_line (void *context, const char *line)
{
  evbuffer_add (context, line, strlen (line));
}

static void
on_metrics_request (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;
  struct evbuffer *body = evbuffer_new ();

  if (body == NULL)
    {
      evhttp_send_error (request, HTTP_SERVUNAVAIL, NULL);
      return;
    }
  daemon_collect_metrics (daemon);
  counter_write (&daemon->counters, append_line, body);
  send_body (request, HTTP_OK, "text/plain; version=0.0.4", body);
  evbuffer_free (body);
}

static void
on_burn_request (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;

  send_json (request, HTTP_OK,
             error_budget_counts_to_json (&daemon->error_budget_counts));
}

static void
on_explain_request (struct evhttp_request *request, void *context)
{
  struct daemon *daemon = context;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values = { 0 };
  const char *kind = NULL;
  const char *id = NULL;
  json_t *decisions = NULL;
  json_t *decision;
  size_t i;

  if (query != NULL && evhttp_parse_query_str (query, &values) == 0)
    {
      kind = evhttp_find_header (&values, "kind");
      id = evhttp_find_header (&values, "id");
    }
  if (kind != NULL && id != NULL)
    decisions = log_history_find (&daemon->log_history, kind, id);
  json_array_foreach (decisions, i, decision)
    json_object_set_new (decision, "host",
                         json_string (daemon->members.self.host));
  if (decisions != NULL)
    send_json (request, HTTP_OK, json_pack ("{s:o}", "decisions", decisions));
  else
    send_json (request, HTTP_BADREQUEST,
               json_pack ("{s:s}", "error",
                          "kind must be group, host or request, and id is "
                          "required"));
  evhttp_clear_headers (&values);
}

/*
 * For tests, only with the setting test.faults: simulates a network partition
 * of this entry host from the platform, from peers or from both.  The body is
 * {"platform":BOOLEAN,"peers":TEXT}, with TEXT as in partitioned_data_centre of
 * struct peer_node.
 */
static void
on_partition_request (struct evhttp_request *request, void *context)
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
  daemon->platform.is_partitioned
      = json_is_true (json_object_get (json, "platform"));
  peers = json_string_value (json_object_get (json, "peers"));
  snprintf (daemon->peers.partitioned_data_centre,
            sizeof daemon->peers.partitioned_data_centre, "%s",
            peers != NULL ? peers : "");
  LOG_EVENT (LOG_LEVEL_WARNING, "test-cut",
             LOG_INT ("platform", daemon->platform.is_partitioned),
             LOG_STR ("peers", daemon->peers.partitioned_data_centre));
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
  evhttp_set_max_body_size (daemon->admin, BODY_LIMIT_BYTES);
  evhttp_set_max_headers_size (daemon->admin, HEADERS_LIMIT_BYTES);
  evhttp_set_timeout (daemon->admin, 10);
  if (evhttp_set_cb (daemon->admin, "/status", on_status_request, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/metrics", on_metrics_request, daemon)
             != 0
      || evhttp_set_cb (daemon->admin, "/burn", on_burn_request, daemon) != 0
      || evhttp_set_cb (daemon->admin, "/explain", on_explain_request, daemon)
             != 0
      || evhttp_set_cb (daemon->admin, "/cut", on_partition_request, daemon)
             != 0)
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
