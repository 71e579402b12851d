#include "rig.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

#define UPLOAD_STEPS 80
#define READ_STEP_MS 20
/* A client closes its connection this long after the deadline. */
#define DEADLINE_GRACE_MS 1000

static bool
send_body (struct client *client, const struct call *call)
{
  size_t step = call->body_bytes / UPLOAD_STEPS + 1;
  char *part = malloc (step);
  int64_t start_ms = rig_now_ms ();
  bool sent = true;

  if (part == NULL)
    abort ();
  memset (part, 'b', step);
  for (size_t offset = 0; sent && offset < call->body_bytes; offset += step)
    {
      size_t left = call->body_bytes - offset;

      rig_sleep_ms (start_ms
                    + call->upload_ms * (int64_t)offset
                          / (int64_t)call->body_bytes
                    - rig_now_ms ());
      sent = net_send (&client->conn, part, left < step ? left : step);
    }
  free (part);
  return sent;
}

static bool
send_request (struct client *client, const struct call *call)
{
  char head[1024];
  char credential[128] = "";
  char length[64] = "";

  if (call->key != NULL)
    snprintf (credential, sizeof credential, "Authorization: Bearer %s\r\n",
              call->key);
  if (strcmp (call->method, "GET") != 0)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n",
              call->body_bytes);
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\n%s%s\r\n",
            call->method, call->path, call->id, call->deadline_ms, credential,
            length);
  return net_send (&client->conn, head, strlen (head))
         && send_body (client, call);
}

/* Reads the body of the answer, no faster than the client's link allows. */
static bool
read_body (struct client *client, struct call *call)
{
  int64_t start_ms = rig_now_ms ();
  size_t step = client->bytes_per_s > 0
                    ? (size_t)(client->bytes_per_s * READ_STEP_MS / 1000)
                    : call->answer_bytes;

  while (call->received_bytes < call->answer_bytes)
    {
      size_t left = call->answer_bytes - call->received_bytes;
      size_t part = left < step ? left : step;

      if (client->bytes_per_s > 0)
        rig_sleep_ms (start_ms
                      + (int64_t)call->received_bytes * 1000
                            / client->bytes_per_s
                      - rig_now_ms ());
      if (!net_read (&client->conn, NULL, part))
        return false;
      call->received_bytes += part;
    }
  return true;
}

static bool
read_answer (struct client *client, struct call *call)
{
  char head[HEAD_SIZE];
  char value[32];

  if (!net_read_head (&client->conn, head)
      || sscanf (head, "HTTP/1.1 %u", &call->status) != 1)
    return false;
  net_get_field (head, "X-Server-Seal", call->server, sizeof call->server);
  call->answer_bytes = net_content_length (head);
  if (!read_body (client, call))
    return false;
  client->answers++;
  if (net_get_field (head, "Connection", value, sizeof value)
      && strcmp (value, "close") == 0)
    net_close (&client->conn);
  return true;
}

static bool
connect_client (struct client *client)
{
  client->answers = 0;
  return net_connect (&client->conn, client->address, FRONT_PORT,
                      client->receive_bytes);
}

void
client_call (struct client *client, struct call *call)
{
  struct timeval limit
      = { (call->deadline_ms + DEADLINE_GRACE_MS) / 1000 + 1, 0 };

  call->end = CALL_REFUSED;
  call->status = 0;
  call->received_bytes = 0;
  call->answer_bytes = 0;
  call->server[0] = '\0';
  call->sent_ms = rig_now_ms ();
  call->ended_ms = call->sent_ms;
  if (client->conn.fd < 0 && !connect_client (client))
    return;
  setsockopt (client->conn.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  call->was_kept = client->answers > 0;
  rig_record ("client sends %s to %s: %s %s, %zu bytes, %s connection",
              call->id, client->address, call->method, call->path,
              call->body_bytes, call->was_kept ? "kept" : "new");
  if (send_request (client, call) && read_answer (client, call))
    call->end = CALL_ANSWERED;
  else
    {
      call->end = CALL_CUT;
      net_close (&client->conn);
    }
  call->ended_ms = rig_now_ms ();
  rig_record ("client gets for %s: %s %u %s, %zu of %zu bytes, after %lld ms",
              call->id, call->end == CALL_ANSWERED ? "answer" : "cut",
              call->status, call->server, call->received_bytes,
              call->answer_bytes, (long long)(call->ended_ms - call->sent_ms));
}
