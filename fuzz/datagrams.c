/*
 * Damages datagrams between hosts.  The first byte of the input is the kind of
 * a sound message, each three bytes after it the place and the value of a byte.
 * Whatever arrives, it is refused or is a message that encodes again; an
 * endpoint that it does not name stays as it is; and the patch of a
 * configuration that follows it is still applied, and gives the text that it
 * was made from.
 *
 * fuzz-runs: 60000
 */

#include "check.h"
#include "config-distribution.h"
#include "hub-sync.h"
#include "log.h"

#include <string.h>

#define NOW_MS 10000
#define OLD_TEXT "{\"version\":7,\"keys\":[\"a\",\"b\"],\"routes\":[1,2,3]}"
#define NEW_TEXT "{\"version\":8,\"keys\":[\"a\"],\"routes\":[1,2,3,4,5,6]}"
#define SOUND "sound"

static struct mesh mesh;
static struct hub_sync sync;
static struct endpoints endpoints;
static struct config_distribution hub;
static struct config_distribution host;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static int64_t
get_version (void *context)
{
  (void)context;
  return 7;
}

static bool
get_freshness (void *context, struct hub_sync_freshness *freshness)
{
  (void)context;
  *freshness = (struct hub_sync_freshness){ NOW_MS, NOW_MS, 9 };
  return true;
}

static bool
send_no_patch (void *context, struct mesh_host *to, int64_t from)
{
  (void)context;
  (void)to;
  (void)from;
  return false;
}

static void
ignore_removal (void *context, struct endpoint *endpoint)
{
  (void)context;
  (void)endpoint;
}

static void
add_text (struct config_distribution *distribution,
          int64_t version,
          const char *text)
{
  config_distribution_add (distribution, version, (uint64_t)version,
                           strdup (text), strlen (text));
}

static void
setup (void)
{
  const struct hub_sync_hooks hooks
      = { NULL, get_version, get_freshness, send_no_patch };
  struct endpoint_report report = { .port = 9, .slots = 4 };

  memset (&mesh, 0, sizeof mesh);
  mesh.socket = -1;
  endpoints_init (&endpoints, ignore_removal, NULL);
  hub_sync_init (&sync, &mesh, &endpoints, &hooks, 1000);
  sync.request_sent_ms = NOW_MS;
  report.service = "app";
  CHECK (endpoints_report (&endpoints, SOUND, &report, 5, NOW_MS) == RESULT_OK);
  config_distribution_init (&hub);
  config_distribution_init (&host);
  hub.serves_other_hosts = true;
  add_text (&hub, 7, OLD_TEXT);
  add_text (&hub, 8, NEW_TEXT);
  add_text (&host, 7, OLD_TEXT);
}

static void
teardown (void)
{
  config_distribution_finish (&hub);
  config_distribution_finish (&host);
  endpoints_finish (&endpoints);
  hub_sync_finish (&sync);
}

/* Fills in a sound message; the rest of its body is 0. */
static void
fill_message (struct gossip_message *message, uint8_t kind)
{
  memset (message, 0, sizeof *message);
  message->kind
      = (enum gossip_kind) (GOSSIP_LOAD + kind % (GOSSIP_KINDS - GOSSIP_LOAD));
  snprintf (message->sender.name, sizeof message->sender.name, "h");
  message->boot = 1;
  message->sequence = 2;
  switch (message->kind)
    {
    case GOSSIP_SYNC_RESPONSE:
      message->body.sync_response.nonce = NOW_MS;
      message->body.sync_response.configuration_version = 7;
      message->body.sync_response.revision = 9;
      break;
    case GOSSIP_REPORT:
    case GOSSIP_DELETED:
      message->body.report.endpoint = "other";
      message->body.report.revision = 6;
      break;
    case GOSSIP_PATCH:
      CHECK (config_distribution_get_chunk (&hub, 7, 0, &message->body.patch));
      break;
    default:
      break;
    }
}

static void
check_encoding (struct gossip_message *message)
{
  char first[GOSSIP_DATAGRAM_LIMIT_BYTES];
  char second[GOSSIP_DATAGRAM_LIMIT_BYTES];
  struct gossip_message again;
  size_t size = gossip_encode (message, first, sizeof first);

  CHECK (size > 0);
  CHECK (gossip_decode (&again, first, size) == RESULT_OK);
  CHECK (gossip_encode (&again, second, sizeof second) == size);
  CHECK (memcmp (first, second, size) == 0);
}

static void
check_endpoint (const struct gossip_message *message)
{
  const struct endpoint *endpoint = endpoints_find (&endpoints, SOUND);
  bool may_change
      = message->kind == GOSSIP_ROUTED_RESPONSE
        || ((message->kind == GOSSIP_REPORT || message->kind == GOSSIP_DELETED)
            && strcmp (message->body.report.endpoint, SOUND) == 0);

  if (may_change)
    return;
  CHECK (endpoint != NULL && endpoint->deleted_ms == 0);
  CHECK (endpoint->revision == 5 && endpoint->report.slots == 4);
}

/* Applies the chunk; true if the new text is complete. */
static bool
receive (const struct gossip_patch *chunk)
{
  char *text;
  size_t size;

  if (config_distribution_receive_chunk (&host, chunk, &text, &size)
          != RESULT_OK
      || text == NULL)
    return false;
  CHECK (size == strlen (NEW_TEXT) && memcmp (text, NEW_TEXT, size) == 0);
  free (text);
  return true;
}

static void
check_patch (const struct gossip_message *message)
{
  struct gossip_patch chunk;

  CHECK (config_distribution_get_chunk (&hub, 7, 0, &chunk));
  /* What agrees with a damaged digest is not found in so many runs. */
  if (message->kind == GOSSIP_PATCH && receive (&message->body.patch))
    return;
  CHECK (receive (&chunk));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char bytes[GOSSIP_DATAGRAM_LIMIT_BYTES];
  struct gossip_message message;
  struct mesh_host from = { .boot = 1 };
  size_t used;

  if (size == 0)
    return 0;
  log_set_level (LOG_LEVEL_ERROR);
  setup ();
  fill_message (&message, data[0]);
  used = gossip_encode (&message, bytes, sizeof bytes);
  CHECK (used > 0);
  for (size_t i = 1; i + 2 < size; i += 3)
    bytes[(data[i] * 256U + data[i + 1]) % used] = (char)data[i + 2];
  if (gossip_decode (&message, bytes, used) == RESULT_OK)
    {
      check_encoding (&message);
      hub_sync_handle_message (&sync, &from, &message, NOW_MS + 5);
      check_endpoint (&message);
      check_patch (&message);
    }
  teardown ();
  return 0;
}
