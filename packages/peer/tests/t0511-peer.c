#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "peer.h"
#include "timeutil.h"

/* Nodes on loopback in one event loop. */
#define NODES 3
#define WAIT_MS 20000

struct site
{
  struct event_base *base;
  struct member_table members[NODES];
  struct peer_node nodes[NODES];
  unsigned health_seen[NODES];
  unsigned fresh_seen[NODES];
  unsigned strikes_seen[NODES];
  unsigned demand_seen[NODES];
  char object[NODES][64];
  uint64_t fetched_number;
  char fetched[64];
  enum result fetch_result;
  bool fetch_done;
  bool broadcast_done;
};

struct site_hook
{
  struct site *site;
  size_t index;
};

static struct site site;
static struct site_hook hook_contexts[NODES];
static const char *name_suffix = ""; /* of hosts and data centres */

static void
on_health (void *context,
           const char *host,
           const struct fleet_attestation *attested)
{
  struct site_hook *hook = context;

  if (strcmp (host, "engine-1") == 0 && attested->generation == 9
      && attested->state == FLEET_ENGINE_READY)
    hook->site->health_seen[hook->index]++;
}

static void
on_fresh (void *context, const struct peer_fresh_entry *entry)
{
  struct site_hook *hook = context;

  if (entry->host == peer_host_hash ("engine-1") && entry->running == 3)
    hook->site->fresh_seen[hook->index]++;
}

static void
on_demand (void *context, const char *from, const char *name, unsigned demand)
{
  struct site_hook *hook = context;

  if (strcmp (from, "e0") == 0 && strcmp (name, "model/m") == 0 && demand == 12)
    hook->site->demand_seen[hook->index]++;
}

static void
on_strike (void *context,
           const char *fingerprint,
           const char *host,
           const char *boot_id)
{
  struct site_hook *hook = context;

  (void)host;
  (void)boot_id;
  if (strcmp (fingerprint, "f1") == 0)
    hook->site->strikes_seen[hook->index]++;
}

static const char *
on_object (void *context, enum peer_object_id id, uint64_t *number)
{
  struct site_hook *hook = context;

  if (id != PEER_SHEET || hook->site->object[hook->index][0] == '\0')
    return NULL;
  *number = 42;
  return hook->site->object[hook->index];
}

static void
on_fetched (void *context,
            enum result result,
            uint64_t number,
            const char *text)
{
  struct site *s = context;

  s->fetch_done = true;
  s->fetch_result = result;
  s->fetched_number = number;
  snprintf (s->fetched, sizeof s->fetched, "%s", text != NULL ? text : "");
}

static void
on_broadcast (void *context)
{
  ((struct site *)context)->broadcast_done = true;
}

static void
start_node (struct site *s, size_t i, const struct peer_keys *keys)
{
  struct member_update self = { .address = "127.0.0.1", .incarnation = 1 };
  struct peer_hooks hooks = { .health = on_health,
                              .fresh = on_fresh,
                              .demand = on_demand,
                              .strike = on_strike,
                              .object = on_object };

  snprintf (self.host, sizeof self.host, "e%zu%s", i, name_suffix);
  snprintf (self.data_centre, sizeof self.data_centre, "dc1%s", name_suffix);
  hook_contexts[i] = (struct site_hook){ .site = s, .index = i };
  hooks.context = &hook_contexts[i];
  member_init (&s->members[i], &self, i, time_boot_ms ());
  if (i > 0)
    member_add_seed (&s->members[i], "127.0.0.1", s->members[0].self.port);
  assert_int_equal (
      peer_init (&s->nodes[i], s->base, &s->members[i], &hooks, keys),
      RESULT_OK);
}

static void
site_start (struct site *s)
{
  struct peer_keys keys = { .count = 0 };

  memset (s, 0, sizeof *s);
  s->base = event_base_new ();
  assert_non_null (s->base);
  peer_keys_add (&keys, "1:00112233445566778899aabbccddeeff");
  for (size_t i = 0; i < NODES; i++)
    start_node (s, i, &keys);
}

static void
site_finish (struct site *s)
{
  for (size_t i = 0; i < NODES; i++)
    {
      peer_finish (&s->nodes[i]);
      member_finish (&s->members[i]);
    }
  event_base_free (s->base);
}

/* Runs the loop until the condition holds or WAIT_MS passed. */
static bool
wait_for (struct site *s, bool (*condition) (const struct site *s))
{
  int64_t end = time_boot_ms () + WAIT_MS;

  while (!condition (s))
    {
      struct timeval step = { .tv_usec = 20000 };

      if (time_boot_ms () > end)
        return false;
      for (size_t i = 0; i < NODES; i++)
        peer_tick (&s->nodes[i], time_boot_ms ());
      event_base_loopexit (s->base, &step);
      event_base_dispatch (s->base);
    }
  return true;
}

static bool
all_found (const struct site *s)
{
  for (size_t i = 0; i < NODES; i++)
    if (member_count_live (&s->members[i], NULL) != NODES)
      return false;
  return true;
}

static bool
reports_seen (const struct site *s)
{
  return s->fresh_seen[1] > 0 && s->fresh_seen[2] > 0 && s->health_seen[1] > 0
         && s->health_seen[2] > 0 && s->demand_seen[1] > 0
         && s->demand_seen[2] > 0;
}

static bool
broadcast_done (const struct site *s)
{
  return s->broadcast_done;
}

static bool
fetch_done (const struct site *s)
{
  return s->fetch_done;
}

static bool
forged_seen (const struct site *s)
{
  return s->nodes[0].counts.bad_mac + s->nodes[0].counts.bad_message >= 2;
}

static bool
first_alone (const struct site *s)
{
  return member_count_live (&s->members[0], NULL) == 1;
}

static void
test_nodes_talk (void **state)
{
  struct fleet_attestation attested
      = { .generation = 9, .state = FLEET_ENGINE_READY };
  struct peer_health_entry health = { "engine-1", &attested };
  struct peer_demand_entry demand = { "model/m", 12 };
  struct peer_fresh_entry fresh
      = { .host = peer_host_hash ("engine-1"), .running = 3 };

  (void)state;
  site_start (&site);
  assert_true (wait_for (&site, all_found));
  attested.seen_ms = time_boot_ms ();
  peer_send_health (&site.nodes[0], &health, 1, time_boot_ms ());
  fresh.seen_ms = attested.seen_ms;
  peer_send_fresh (&site.nodes[0], &fresh, 1, time_boot_ms ());
  peer_send_demand (&site.nodes[0], &demand, 1);
  assert_true (wait_for (&site, reports_seen));

  peer_send_strike (&site.nodes[0], "f1", "engine-1", "b1", time_boot_ms (),
                    on_broadcast, &site);
  assert_true (wait_for (&site, broadcast_done));
  assert_true (site.strikes_seen[1] > 0 && site.strikes_seen[2] > 0);

  snprintf (site.object[0], sizeof site.object[0], "{\"number\":42}");
  peer_fetch_object (&site.nodes[1], "127.0.0.1", site.members[0].self.port,
                     PEER_SHEET, on_fetched, &site);
  assert_true (wait_for (&site, fetch_done));
  assert_int_equal (site.fetch_result, RESULT_OK);
  assert_int_equal (site.fetched_number, 42);
  assert_string_equal (site.fetched, "{\"number\":42}");

  site.fetch_done = false;
  peer_fetch_object (&site.nodes[1], "127.0.0.1", site.members[0].self.port,
                     PEER_CONTROL, on_fetched, &site);
  assert_true (wait_for (&site, fetch_done));
  assert_int_equal (site.fetch_result, RESULT_NOT_FOUND);
  site_finish (&site);
}

/* Forged and foreign datagrams must be dropped and counted, nothing else. */
static void
test_forged_messages_are_dropped (void **state)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct peer_keys other = { .count = 0 };
  struct peer_header header = {
    .is_call = true, .procedure = 1, .sender = "e9", .boot = 1, .sequence = 1
  };
  char buffer[512];
  size_t used;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  (void)state;
  site_start (&site);
  to.sin_port = htons (site.members[0].self.port);
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer_keys_add (&other, "1:ffffffffffffffffffffffffffffffff");
  assert_int_equal (peer_encode (&other, &header, peer_xdr_nothing, NULL,
                                 buffer, sizeof buffer, &used),
                    RESULT_OK);
  sendto (fd, buffer, used, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, "rubbish", 7, 0, (struct sockaddr *)&to, sizeof to);
  assert_true (wait_for (&site, forged_seen));
  assert_null (member_find (&site.members[0], "e9"));
  close (fd);
  site_finish (&site);
}

/* A cut between nodes must be seen by both sides and heal by itself. */
static void
test_cut_heals (void **state)
{
  (void)state;
  site_start (&site);
  assert_true (wait_for (&site, all_found));
  snprintf (site.nodes[0].cut, sizeof site.nodes[0].cut, "**");
  assert_true (wait_for (&site, first_alone));
  site.nodes[0].cut[0] = '\0';
  assert_true (wait_for (&site, all_found));
  site_finish (&site);
}

static bool
long_health_seen (const struct site *s)
{
  return s->health_seen[1] >= 8 && s->health_seen[2] >= 8;
}

/* Names of any permitted length must not make a message too large to send. */
static void
test_long_names (void **state)
{
  struct fleet_attestation attested
      = { .generation = 9, .state = FLEET_ENGINE_READY };
  struct peer_health_entry health[8];
  char text[FLEET_NAME_SIZE];

  (void)state;
  memset (text, 'n', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  name_suffix = text + 4;
  site_start (&site);
  assert_true (wait_for (&site, all_found));
  memcpy (attested.boot_id, text, sizeof text);
  memcpy (attested.group, text, sizeof text);
  memcpy (attested.model, text, sizeof text);
  memcpy (attested.version, text, sizeof text);
  memcpy (attested.role, text, sizeof text);
  memset (attested.adapters, 'a', sizeof attested.adapters - 1);
  attested.seen_ms = time_boot_ms ();
  for (size_t i = 0; i < 8; i++)
    health[i] = (struct peer_health_entry){ "engine-1", &attested };
  peer_send_health (&site.nodes[0], health, 8, time_boot_ms ());
  assert_true (wait_for (&site, long_health_seen));
  assert_int_equal (site.nodes[0].counts.too_large, 0);
  site_finish (&site);
  name_suffix = "";
}

static void
drop_line (void *context, enum log_level level, const char *line)
{
  (void)context;
  (void)level;
  (void)line;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nodes_talk),
    cmocka_unit_test (test_forged_messages_are_dropped),
    cmocka_unit_test (test_cut_heals),
    cmocka_unit_test (test_long_names),
  };

  log_set_sink (drop_line, NULL);
  return cmocka_run_group_tests_name ("peer", tests, NULL, NULL);
}
