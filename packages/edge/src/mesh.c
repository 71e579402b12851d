#include "mesh.h"

#include "hash.h"
#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Loads are told this often by a small fleet, and less often by a large one. */
#define LOAD_INTERVAL_MS 50
#define LOAD_INTERVAL_PER_HOST_MS 5
/* What a host told is forgotten after this many intervals. */
#define LOAD_LIFE_INTERVALS 8
/* A host that was not heard for this long does not count as live. */
#define LIVE_MS 3000
#define REGISTER_RETRY_MS 500
#define REGISTER_MS 1000
#define HOSTS_WAIT_MS 25000
#define HOSTS_PACE_MS 1500
/* Datagrams read in one go, so that other work is not held up. */
#define READ_BURST 64

static struct mesh_host *
add_host (struct mesh *mesh, const char *name)
{
  struct mesh_host *host;

  if (strcmp (name, mesh->self) == 0 || strlen (name) >= sizeof host->name)
    return NULL;
  HASH_FIND_STR (mesh->hosts, name, host);
  if (host != NULL)
    return host;
  host = calloc (1, sizeof *host);
  if (host == NULL)
    return NULL;
  memcpy (host->name, name, strlen (name) + 1);
  HASH_ADD_STR (mesh->hosts, name, host);
  return host;
}

static void
on_host_record (void *context, const struct records_record *record)
{
  struct mesh *mesh = context;
  struct mesh_host *host;
  uint64_t port;

  if (strcmp (record->name, mesh->self) == 0)
    {
      mesh->own_revision = record->revision;
      return;
    }
  if (record->deleted || !json_read_u64 (record->value, "port", &port)
      || port > UINT16_MAX)
    return;
  host = add_host (mesh, record->name);
  if (host == NULL)
    return;
  json_read_string (record->value, "address", host->address,
                    sizeof host->address);
  host->port = (uint16_t)port;
}

static void
ignore_list (void *context)
{
  (void)context;
}

static int64_t
load_interval_ms (const struct mesh *mesh)
{
  int64_t scaled = (int64_t)HASH_COUNT (mesh->hosts) * LOAD_INTERVAL_PER_HOST_MS;

  return scaled > LOAD_INTERVAL_MS ? scaled : LOAD_INTERVAL_MS;
}

static void
take_loads (struct mesh *mesh,
            struct mesh_host *host,
            const struct gossip_message *message)
{
  if (message->total > MESH_LOAD_LIMIT
      || message->first + message->load_count > message->total)
    return;
  memcpy (&host->loads[message->first], message->loads,
          message->load_count * sizeof message->loads[0]);
  host->load_count = message->total;
  mesh->changed = true;
}

static void
take_message (struct mesh *mesh,
              const struct gossip_message *message,
              const struct sockaddr_in *from)
{
  struct mesh_host *host = add_host (mesh, message->host);

  if (host == NULL)
    return;
  /* Datagrams may arrive out of order; a new life starts anew. */
  if (host->boot == message->boot && message->sequence <= host->sequence)
    return;
  if (host->heard_ms == 0 || host->boot != message->boot)
    LOG_EVENT (LOG_LEVEL_INFO, "host-heard", LOG_STR ("from", host->name),
               LOG_U64 ("boot", message->boot));
  host->boot = message->boot;
  host->sequence = message->sequence;
  host->heard_ms = mesh->now_ms;
  memcpy (host->data_centre, message->data_centre, sizeof host->data_centre);
  inet_ntop (AF_INET, &from->sin_addr, host->address, sizeof host->address);
  host->port = ntohs (from->sin_port);
  mesh->traffic = mesh->traffic || message->traffic;
  switch (message->kind)
    {
    case GOSSIP_LOAD:
      take_loads (mesh, host, message);
      break;
    case GOSSIP_REPORT:
      mesh->hooks.report (mesh->hooks.context, message->endpoint,
                          &message->report, message->revision);
      break;
    }
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  struct mesh *mesh = context;

  (void)what;
  mesh->now_ms = time_boot_ms ();
  for (int i = 0; i < READ_BURST; i++)
    {
      struct gossip_message message;
      struct sockaddr_in from;
      socklen_t from_size = sizeof from;
      char buffer[GOSSIP_BYTES];
      ssize_t size = recvfrom (fd, buffer, sizeof buffer, 0,
                               (struct sockaddr *)&from, &from_size);

      if (size < 0)
        return;
      if (gossip_decode (&message, buffer, (size_t)size) == RESULT_OK)
        take_message (mesh, &message, &from);
      else
        LOG_EVENT (LOG_LEVEL_DEBUG, "bad-datagram",
                   LOG_INT ("bytes", (int64_t)size));
    }
}

static int
open_socket (const char *address, uint16_t port)
{
  struct sockaddr_in own = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  if (inet_pton (AF_INET, address, &own.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&own, sizeof own) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

enum result
mesh_init (struct mesh *mesh,
           struct event_base *base,
           struct records *records,
           struct lanes *lanes,
           const struct mesh_hooks *hooks,
           const char *self,
           const char *data_centre,
           const char *address,
           uint16_t port,
           uint64_t boot)
{
  const struct follower_hooks follower
      = { mesh, on_host_record, ignore_list, ignore_list, NULL };

  memset (mesh, 0, sizeof *mesh);
  mesh->base = base;
  mesh->records = records;
  mesh->lanes = lanes;
  mesh->hooks = *hooks;
  mesh->port = port;
  mesh->boot = boot;
  snprintf (mesh->self, sizeof mesh->self, "%s", self);
  snprintf (mesh->data_centre, sizeof mesh->data_centre, "%s", data_centre);
  snprintf (mesh->address, sizeof mesh->address, "%s", address);
  follower_init (&mesh->follower, records, RECORDS_HOSTS, "hosts", &follower,
                 HOSTS_WAIT_MS, HOSTS_PACE_MS);
  mesh->socket = open_socket (address, port);
  if (mesh->socket < 0)
    return RESULT_PEER_UNREACHABLE;
  mesh->readable
      = event_new (base, mesh->socket, EV_READ | EV_PERSIST, on_readable, mesh);
  if (mesh->readable == NULL)
    return RESULT_NO_MEMORY;
  event_add (mesh->readable, NULL);
  return RESULT_OK;
}

void
mesh_finish (struct mesh *mesh)
{
  struct mesh_host *host = mesh->hosts;

  HASH_CLEAR (hh, mesh->hosts);
  while (host != NULL)
    {
      struct mesh_host *next = host->hh.next;

      free (host);
      host = next;
    }
  if (mesh->readable != NULL)
    event_free (mesh->readable);
  if (mesh->socket >= 0)
    close (mesh->socket);
}

static void
on_registered (void *context, const struct records_answer *answer)
{
  struct mesh *mesh = context;

  mesh->registering = false;
  mesh->registered = answer->result == RESULT_OK;
  if (answer->record != NULL)
    mesh->own_revision = answer->revision;
}

/* Writes the own record, which an earlier life may have left behind. */
static void
register_host (struct mesh *mesh)
{
  struct records_request request = {
    .verb = mesh->own_revision != 0 ? RECORDS_REPLACE : RECORDS_CREATE,
    .kind = RECORDS_HOSTS,
    .name = mesh->self,
    .revision = mesh->own_revision,
  };
  json_t *value;

  if (mesh->registered || mesh->registering
      || mesh->now_ms < mesh->register_ms)
    return;
  value = json_pack ("{s:s, s:i}", "address", mesh->address, "port",
                     (int)mesh->port);
  request.value = value;
  mesh->registering = true;
  mesh->register_ms = mesh->now_ms + REGISTER_RETRY_MS;
  records_call (mesh->records, &request, REGISTER_MS, on_registered, mesh);
  json_decref (value);
}

static void
broadcast (struct mesh *mesh, struct gossip_message *message)
{
  char buffer[GOSSIP_BYTES];
  size_t size;

  snprintf (message->host, sizeof message->host, "%s", mesh->self);
  snprintf (message->data_centre, sizeof message->data_centre, "%s",
            mesh->data_centre);
  message->boot = mesh->boot;
  message->sequence = ++mesh->sequence;
  message->traffic = mesh->traffic;
  size = gossip_encode (message, buffer, sizeof buffer);
  if (size == 0)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "datagram-too-large",
                 LOG_INT ("kind", message->kind));
      return;
    }
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    {
      struct sockaddr_in to
          = { .sin_family = AF_INET, .sin_port = htons (host->port) };

      if (host->port == 0
          || inet_pton (AF_INET, host->address, &to.sin_addr) != 1)
        continue;
      /* A lost datagram is made good by the next one. */
      if (sendto (mesh->socket, buffer, size, 0, (struct sockaddr *)&to,
                  sizeof to)
          < 0)
        LOG_EVENT (LOG_LEVEL_DEBUG, "datagram-not-sent",
                   LOG_STR ("to", host->name), LOG_INT ("errno", errno));
    }
}

static unsigned
collect_loads (struct mesh *mesh, struct gossip_load *loads)
{
  unsigned count = 0;

  for (struct lane *lane = mesh->lanes->table;
       lane != NULL && count < MESH_LOAD_LIMIT; lane = lane->hh.next)
    {
      int64_t silent_ms = mesh->now_ms - lane->progress_ms;

      if (lane->running == 0 && lane->avoid_ms <= mesh->now_ms)
        continue;
      loads[count++] = (struct gossip_load){
        .endpoint = hash_string (lane->id, 0),
        .running = lane->running,
        .reading = (uint32_t)lane->reading,
        .silent_ms = lane->progress_ms != 0 && silent_ms < GOSSIP_NEVER_MS
                         ? (uint32_t)silent_ms
                         : GOSSIP_NEVER_MS,
        .stands_still = lane->stalled_ms > mesh->now_ms,
      };
    }
  return count;
}

static void
send_loads (struct mesh *mesh)
{
  struct gossip_message *message = &mesh->message;
  unsigned total = collect_loads (mesh, mesh->loads);

  for (unsigned first = 0; first == 0 || first < total; first += GOSSIP_LOADS)
    {
      unsigned count = total - first;

      if (count > GOSSIP_LOADS)
        count = GOSSIP_LOADS;
      message->kind = GOSSIP_LOAD;
      message->first = first;
      message->total = total;
      message->load_count = count;
      memcpy (message->loads, &mesh->loads[first],
              count * sizeof mesh->loads[0]);
      broadcast (mesh, message);
    }
}

void
mesh_send_report (struct mesh *mesh,
                  const char *endpoint,
                  const struct endpoint_report *report,
                  uint64_t revision)
{
  struct gossip_message *message = &mesh->message;

  message->kind = GOSSIP_REPORT;
  snprintf (message->endpoint, sizeof message->endpoint, "%s", endpoint);
  message->revision = revision;
  message->report = *report;
  broadcast (mesh, message);
}

static struct lane *
find_lane (const struct mesh *mesh, uint64_t hash)
{
  for (struct lane *lane = mesh->lanes->table; lane != NULL;
       lane = lane->hh.next)
    if (lane->hash == hash)
      return lane;
  return NULL;
}

static void
add_load (struct mesh *mesh,
          const struct mesh_host *host,
          const struct gossip_load *load)
{
  struct lane *lane = find_lane (mesh, load->endpoint);
  int64_t progress_ms;

  if (lane == NULL)
    return;
  lane->peer_running += load->running;
  lane->peer_reading += load->reading;
  if (load->silent_ms != GOSSIP_NEVER_MS)
    {
      progress_ms = host->heard_ms - (int64_t)load->silent_ms;
      if (progress_ms > lane->peer_progress_ms)
        lane->peer_progress_ms = progress_ms;
    }
  if (load->stands_still)
    mesh->hooks.stands_still (mesh->hooks.context, lane);
}

/* Sums up what all hosts have running at each endpoint. */
static void
sum_loads (struct mesh *mesh)
{
  int64_t oldest_ms
      = mesh->now_ms - LOAD_LIFE_INTERVALS * load_interval_ms (mesh);

  if (!mesh->changed)
    return;
  mesh->changed = false;
  for (struct lane *lane = mesh->lanes->table; lane != NULL;
       lane = lane->hh.next)
    {
      lane->peer_running = 0;
      lane->peer_reading = 0;
    }
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    if (host->heard_ms >= oldest_ms)
      for (unsigned i = 0; i < host->load_count; i++)
        add_load (mesh, host, &host->loads[i]);
}

void
mesh_tick (struct mesh *mesh, bool traffic, int64_t now_ms)
{
  mesh->now_ms = now_ms;
  mesh->traffic = mesh->traffic || traffic;
  follower_tick (&mesh->follower, now_ms);
  register_host (mesh);
  sum_loads (mesh);
  if (now_ms >= mesh->send_ms)
    {
      mesh->send_ms = now_ms + load_interval_ms (mesh);
      send_loads (mesh);
    }
}

unsigned
mesh_live_hosts (const struct mesh *mesh)
{
  unsigned count = 1;

  for (const struct mesh_host *host = mesh->hosts; host != NULL;
       host = host->hh.next)
    if (host->heard_ms != 0 && mesh->now_ms - host->heard_ms < LIVE_MS)
      count++;
  return count;
}
