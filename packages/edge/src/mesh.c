#include "mesh.h"

#include "hash.h"
#include "jsonutil.h"
#include "log.h"
#include "mesh-internal.h"
#include "timeutil.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* All hosts start within 0.3 s; the rest is for responses to hellos. */
#define SETTLE_TIME_MS 400
/*
 * Intervals of hellos: short in the initial period after the start, while a
 * host gets to know the others.
 */
#define HELLO_INITIAL_INTERVAL_MS 250
#define HELLO_INTERVAL_MS 3000
#define HELLO_INITIAL_PERIOD_MS 4000
#define REGISTER_RETRY_INTERVAL_MS 500
#define REGISTER_TIMEOUT_MS 1000
/* Timing of the watch of the hubs' records, which change rarely. */
#define HOSTS_WAIT_MS 25000
#define HOSTS_INTERVAL_MS 2000
#define TOO_LARGE_LOG_INTERVAL_MS 1000
/* Datagrams read per event, so that other events are not delayed. */
#define READ_BURST 64

struct mesh_host *
mesh_add_host (struct mesh *mesh, const struct gossip_host *known)
{
  struct mesh_host *host;

  if (strcmp (known->name, mesh->self.name) == 0 || known->port == 0)
    return NULL;
  HASH_FIND_STR (mesh->hosts, known->name, host);
  if (host == NULL)
    {
      host = calloc (1, sizeof *host);
      if (host == NULL)
        return NULL;
      memcpy (host->info.name, known->name, sizeof host->info.name);
      HASH_ADD (hh, mesh->hosts, info.name, strlen (host->info.name), host);
    }
  host->info = *known;
  host->socket_address.sin_family = AF_INET;
  host->socket_address.sin_port = htons (known->port);
  if (inet_pton (AF_INET, known->address, &host->socket_address.sin_addr) != 1)
    host->socket_address.sin_port = 0;
  return host;
}

static void
send_bytes (const struct mesh *mesh,
            const struct sockaddr_in *to,
            const void *data,
            size_t size)
{
  /* The next datagram makes up for a lost one. */
  if (sendto (mesh->socket, data, size, 0, (const struct sockaddr *)to,
              sizeof *to)
      < 0)
    LOG_EVENT (LOG_LEVEL_DEBUG, "datagram-not-sent", LOG_INT ("errno", errno));
}

/*
 * Hosts that miss what a message was to tell read it from the platform, see
 * has_to_relist in follow.c.  They ask again until then.
 */
static void
log_too_large (struct mesh *mesh, const struct gossip_message *message)
{
  bool is_report
      = message->kind == GOSSIP_REPORT || message->kind == GOSSIP_DELETED;

  mesh->too_large++;
  if (mesh->now_ms < mesh->next_too_large_log_ms)
    return;
  mesh->next_too_large_log_ms = mesh->now_ms + TOO_LARGE_LOG_INTERVAL_MS;
  LOG_EVENT (
      LOG_LEVEL_WARNING, "datagram-too-large", LOG_INT ("kind", message->kind),
      LOG_STR ("endpoint", is_report ? message->body.report.endpoint : ""),
      LOG_U64 ("count", mesh->too_large));
}

static size_t
encode_message (struct mesh *mesh, struct gossip_message *message, char *buffer)
{
  size_t size;

  message->sender = mesh->self;
  message->boot = mesh->boot;
  message->sequence = ++mesh->sequence;
  message->has_traffic = mesh->has_traffic;
  size = gossip_encode (message, buffer, GOSSIP_DATAGRAM_LIMIT_BYTES);
  if (size == 0)
    log_too_large (mesh, message);
  return size;
}

static void
send_to (struct mesh *mesh,
         const struct sockaddr_in *to,
         struct gossip_message *message)
{
  char buffer[GOSSIP_DATAGRAM_LIMIT_BYTES];
  size_t size = encode_message (mesh, message, buffer);

  if (size > 0)
    send_bytes (mesh, to, buffer, size);
}

void
mesh_send (struct mesh *mesh,
           struct mesh_host *to,
           struct gossip_message *message)
{
  if (to != NULL)
    {
      send_to (mesh, &to->socket_address, message);
      return;
    }
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    host->is_receiver = true;
  mesh_send_receivers (mesh, message);
}

void
mesh_send_receivers (struct mesh *mesh, struct gossip_message *message)
{
  char buffer[GOSSIP_DATAGRAM_LIMIT_BYTES];
  size_t size = encode_message (mesh, message, buffer);

  if (size == 0)
    return;
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    if (host->is_receiver)
      send_bytes (mesh, &host->socket_address, buffer, size);
}

static void
send_hello (struct mesh *mesh, const struct sockaddr_in *to)
{
  struct gossip_message *message = &mesh->message;

  message->kind = GOSSIP_HELLO;
  message->body.hosts.known = HASH_COUNT (mesh->hosts);
  message->body.hosts.count = 0;
  send_to (mesh, to, message);
}

/*
 * Sends a hello to one known host, each time another, and to the seeds in the
 * initial period or while no host is known.
 */
static void
send_hellos (struct mesh *mesh)
{
  bool is_initial = mesh->now_ms - mesh->started_ms < HELLO_INITIAL_PERIOD_MS;
  unsigned known = HASH_COUNT (mesh->hosts);
  unsigned index = known > 0 ? mesh->sequence % known : 0;
  struct mesh_host *host = mesh->hosts;

  if (mesh->now_ms < mesh->next_hello_ms)
    return;
  mesh->next_hello_ms
      = mesh->now_ms
        + (is_initial ? HELLO_INITIAL_INTERVAL_MS : HELLO_INTERVAL_MS);
  for (unsigned i = 0; i < mesh->seed_count && (is_initial || known == 0); i++)
    send_hello (mesh, &mesh->seeds[i]);
  while (host != NULL && index-- > 0)
    host = host->hh.next;
  if (host != NULL)
    send_hello (mesh, &host->socket_address);
}

/* Sends all known hosts to a host that knows fewer. */
static void
send_known_hosts (struct mesh *mesh,
                  struct mesh_host *to,
                  const struct gossip_hosts *received)
{
  struct gossip_message *message = &mesh->message;
  struct mesh_host *host = mesh->hosts;

  if (received->known >= HASH_COUNT (mesh->hosts))
    return;
  message->kind = GOSSIP_KNOWN_HOSTS;
  while (host != NULL)
    {
      struct gossip_hosts *hosts = &message->body.hosts;

      hosts->known = HASH_COUNT (mesh->hosts);
      for (hosts->count = 0; host != NULL && hosts->count < GOSSIP_HOST_LIMIT;
           host = host->hh.next)
        hosts->list[hosts->count++] = host->info;
      mesh_send (mesh, to, message);
    }
}

static void
add_unknown_hosts (struct mesh *mesh, const struct gossip_hosts *hosts)
{
  for (unsigned i = 0; i < hosts->count; i++)
    {
      struct mesh_host *known;

      HASH_FIND_STR (mesh->hosts, hosts->list[i].name, known);
      if (known == NULL)
        mesh_add_host (mesh, &hosts->list[i]);
    }
}

static void
handle_message (struct mesh *mesh,
                struct gossip_message *message,
                const struct sockaddr_in *from)
{
  struct mesh_host *host;

  inet_ntop (AF_INET, &from->sin_addr, message->sender.address,
             sizeof message->sender.address);
  message->sender.port = ntohs (from->sin_port);
  host = mesh_add_host (mesh, &message->sender);
  if (host == NULL)
    return;
  /* Ignores repeated and late datagrams of the same process. */
  if (host->boot == message->boot
      && gossip_is_late (host->sequence, message->sequence))
    return;
  if (host->last_seen_ms == 0 || host->boot != message->boot)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "host-heard",
                 LOG_STR ("from", host->info.name),
                 LOG_U64 ("boot", message->boot));
      if (mesh->hooks.host_started != NULL)
        mesh->hooks.host_started (mesh->hooks.context);
    }
  host->boot = message->boot;
  host->sequence = message->sequence;
  host->last_seen_ms = mesh->now_ms;
  host->dead_until_ms = 0;
  mesh->has_traffic = mesh->has_traffic || message->has_traffic;
  switch (message->kind)
    {
    case GOSSIP_LOAD:
    case GOSSIP_SUM:
    case GOSSIP_TOTAL:
      mesh_handle_loads (mesh, host, message);
      break;
    case GOSSIP_HELLO:
      send_known_hosts (mesh, host, &message->body.hosts);
      break;
    case GOSSIP_KNOWN_HOSTS:
      add_unknown_hosts (mesh, &message->body.hosts);
      break;
    case GOSSIP_SYNC_REQUEST:
    case GOSSIP_SYNC_RESPONSE:
    case GOSSIP_REPORT:
    case GOSSIP_DELETED:
    case GOSSIP_PATCH:
    case GOSSIP_ROUTED_REQUEST:
    case GOSSIP_ROUTED_RESPONSE:
    case GOSSIP_STRIKES:
    case GOSSIP_EVACUATIONS:
    case GOSSIP_COLD:
      mesh->hooks.message (mesh->hooks.context, host, message);
      break;
    case GOSSIP_KINDS:
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
      struct sockaddr_in from = { .sin_family = AF_INET };
      socklen_t from_size = sizeof from;
      char buffer[GOSSIP_DATAGRAM_LIMIT_BYTES];
      ssize_t size = recvfrom (fd, buffer, sizeof buffer, 0,
                               (struct sockaddr *)&from, &from_size);

      if (size < 0)
        return;
      if (gossip_decode (&message, buffer, (size_t)size) == RESULT_OK)
        handle_message (mesh, &message, &from);
      else
        LOG_EVENT (LOG_LEVEL_DEBUG, "bad-datagram",
                   LOG_INT ("bytes", (int64_t)size));
    }
}

static void
on_host_record (void *context, const struct records_record *record)
{
  struct mesh *mesh = context;
  struct gossip_host known = { .capacity = 0 };
  uint64_t port;
  uint64_t capacity;

  if (strcmp (record->name, mesh->self.name) == 0)
    {
      mesh->own_revision = record->revision;
      return;
    }
  if (record->deleted)
    return;
  if (strlen (record->name) >= sizeof known.name
      || !json_read_string (record->value, "address", known.address,
                            sizeof known.address)
      || !json_read_string (record->value, "data_centre", known.data_centre,
                            sizeof known.data_centre)
      || !json_read_u64 (record->value, "port", &port) || port > UINT16_MAX
      || !json_read_u64 (record->value, "capacity", &capacity))
    {
      LOG_EVENT (LOG_LEVEL_NOTICE, "host-record-skipped",
                 LOG_STR ("host", record->name),
                 LOG_U64 ("revision", record->revision));
      return;
    }
  memcpy (known.name, record->name, strlen (record->name) + 1);
  known.port = (uint16_t)port;
  known.capacity = (uint32_t)capacity;
  add_unknown_hosts (mesh,
                     &(struct gossip_hosts){ .count = 1, .list = { known } });
}

static void
on_registered (void *context, const struct records_response *response)
{
  struct mesh *mesh = context;

  mesh->registering = false;
  mesh->registered = response->result == RESULT_OK;
  mesh->registered_era = records_get_era (response->revision);
  /* A record of an earlier era may be missing now. */
  if (response->result == RESULT_PLATFORM_NOT_FOUND
      || (response->result == RESULT_PLATFORM_CONFLICT
          && response->record == NULL))
    mesh->own_revision = 0;
  else if (response->record != NULL)
    mesh->own_revision = response->revision;
}

/* Writes this host's record, which may exist from an earlier process. */
static void
register_hub (struct mesh *mesh)
{
  struct records_request request = {
    .verb = mesh->own_revision != 0 ? RECORDS_REPLACE : RECORDS_CREATE,
    .kind = RECORDS_HOSTS,
    .name = mesh->self.name,
    .revision = mesh->own_revision,
  };
  json_t *value;

  /* The store was restored from a copy, which may lack the record. */
  if (mesh->registered && mesh->registered_era != mesh->records->era)
    mesh->registered = false;
  if (mesh->registered || mesh->registering
      || mesh->now_ms < mesh->next_register_ms)
    return;
  value
      = json_pack ("{s:s, s:s, s:i, s:i}", "address", mesh->self.address,
                   "data_centre", mesh->self.data_centre, "port",
                   (int)mesh->self.port, "capacity", (int)mesh->self.capacity);
  request.value = value;
  mesh->registering = true;
  mesh->next_register_ms = mesh->now_ms + REGISTER_RETRY_INTERVAL_MS;
  records_call (mesh->records, &request, REGISTER_TIMEOUT_MS, on_registered,
                mesh);
  json_decref (value);
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
           const struct mesh_hooks *hooks,
           const struct gossip_host *self,
           uint64_t boot)
{
  const struct follower_hooks follower
      = { .context = mesh, .record = on_host_record };

  memset (mesh, 0, sizeof *mesh);
  mesh->base = base;
  mesh->records = records;
  mesh->hooks = *hooks;
  mesh->self = *self;
  mesh->boot = boot;
  mesh->live_hosts = 1;
  mesh->started_ms = time_boot_ms ();
  follower_init (&mesh->follower, records, RECORDS_HOSTS, "hosts", &follower,
                 HOSTS_WAIT_MS, HOSTS_INTERVAL_MS);
  mesh->socket = open_socket (self->address, self->port);
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
  struct mesh_sum *sum = mesh->sums;

  HASH_CLEAR (hh, mesh->hosts);
  while (host != NULL)
    {
      struct mesh_host *next = host->hh.next;

      free (host->loads);
      free (host);
      host = next;
    }
  HASH_CLEAR (hh, mesh->sums);
  while (sum != NULL)
    {
      struct mesh_sum *next = sum->hh.next;

      free (sum);
      sum = next;
    }
  follower_finish (&mesh->follower);
  if (mesh->readable != NULL)
    event_free (mesh->readable);
  if (mesh->socket >= 0)
    close (mesh->socket);
}

void
mesh_add_seed (struct mesh *mesh, const char *seed)
{
  struct sockaddr_in *to = &mesh->seeds[mesh->seed_count];
  char address[64];
  size_t size = strcspn (seed, ":");

  if (size >= sizeof address
      || mesh->seed_count == sizeof mesh->seeds / sizeof mesh->seeds[0])
    return;
  memcpy (address, seed, size);
  address[size] = '\0';
  to->sin_family = AF_INET;
  to->sin_port = htons (mesh->self.port);
  if (inet_pton (AF_INET, address, &to->sin_addr) == 1
      && strcmp (address, mesh->self.address) != 0)
    mesh->seed_count++;
}

bool
mesh_is_settled (const struct mesh *mesh)
{
  return mesh->now_ms - mesh->started_ms >= SETTLE_TIME_MS;
}

void
mesh_tick (struct mesh *mesh,
           bool has_traffic,
           void (*collect) (void *context, struct mesh_loads *own),
           void *context,
           int64_t now_ms)
{
  bool knows_no_host;

  mesh->now_ms = now_ms;
  mesh->has_traffic = mesh->has_traffic || has_traffic;
  send_hellos (mesh);
  knows_no_host = HASH_COUNT (mesh->hosts) == 0;
  if (mesh_is_settled (mesh) && (mesh_is_hub (mesh) || knows_no_host))
    {
      register_hub (mesh);
      follower_tick (&mesh->follower, now_ms);
    }
  mesh_exchange_loads (mesh, collect, context);
}
