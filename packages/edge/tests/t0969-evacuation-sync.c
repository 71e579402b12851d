#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "evacuation-sync.h"
#include "http-server.h"
#include "log.h"
#include "mesh-fixture.h"

/*
 * Entry hosts of three data centres over loopback, each with a path to the
 * store of its own, on one virtual clock.  An order of the operator has to
 * reach every host that is in touch within the bound, whatever one reader, one
 * link or the store does; the calls to the store stay few.
 */

#define DATA_CENTRES 3
#define HOSTS_PER_DATA_CENTRE 3
#define HOSTS (DATA_CENTRES * HOSTS_PER_DATA_CENTRE)
#define STEP_MS 5
#define START_MS 100000
#define PORT 17342
#define COMPLETE_MS 5000
/* Time left to the relay: it withdraws what is connecting within a tick. */
#define HEARD_WITHIN_MS (COMPLETE_MS - 50)
/* With nothing broken: the watch ends at once, then two datagrams. */
#define SOON_MS 200
#define CHANGE_LIMIT 64
#define WATCH_LIMIT 8

/* One host's path to the store. */
struct front
{
  struct http_server server;
  bool is_cut; /* neither reads nor responds */
  struct
  {
    struct http_connection *connection;
    uint64_t revision;
    int64_t due_ms;
  } watches[WATCH_LIMIT];
  unsigned watch_count;
  unsigned calls;
};

struct host
{
  bool is_running;
  bool is_paused;
  struct front front;
  struct records records;
  struct mesh mesh;
  struct evacuation_sync sync;
  unsigned messages; /* of evacuations, received */
};

struct change
{
  const char *name;
  bool is_deleted;
};

static struct
{
  uint64_t era;
  uint64_t revision;
  struct change changes[CHANGE_LIMIT]; /* by revision */
  uint64_t copied_revision;
  bool is_history_gone;
  bool rejects; /* responds to each call that it is overloaded */
  /* Appended to each list: an entry that cannot be read. */
  bool has_odd_entry;
} store;

static struct event_base *base;
static struct host hosts[HOSTS];
static struct settings_list data_centres;
static int64_t complete_ms;

static void
encode_call (const struct records_request *request,
             const char **method,
             struct http_text *target,
             struct http_text *body)
{
  (void)method;
  (void)body;
  if (request->kind != RECORDS_EVACUATIONS)
    http_text_add_string (target, "/other");
  else if (request->verb == RECORDS_LIST)
    http_text_add_string (target, "/list");
  else
    http_text_format (target, "/watch/%llu/%d",
                      (unsigned long long)request->revision, request->wait_ms);
}

/* Decodes {"at":REVISION,"names":[NAME,...]}; "-NAME" is a deleted record. */
static void
decode_call (enum records_verb verb,
             unsigned status,
             const char *body,
             size_t size,
             void (*done) (void *context,
                           const struct records_response *response),
             void *context)
{
  struct records_record list[CHANGE_LIMIT];
  struct records_response response = { .list = list };
  json_t *json = json_loadb (body, size, 0, NULL);
  const json_t *name;
  size_t index;

  (void)verb;
  response.result = status == 200   ? RESULT_OK
                    : status == 410 ? RESULT_PLATFORM_HISTORY_GONE
                                    : RESULT_PLATFORM_OUTAGE;
  response.revision
      = (uint64_t)json_integer_value (json_object_get (json, "at"));
  json_array_foreach (json_object_get (json, "names"), index, name)
    {
      const char *text = json_string_value (name);

      if (text == NULL)
        {
          response.skipped++;
          continue;
        }
      list[response.count++]
          = (struct records_record){ .name = text[0] == '-' ? text + 1 : text,
                                     .revision = response.revision,
                                     .deleted = text[0] == '-' };
    }
  done (context, &response);
  json_decref (json);
}

static const struct records_codec codec
    = { "Store-Era", encode_call, decode_call };

static struct front *
find_front (const struct http_connection *connection)
{
  for (unsigned i = 0; i < HOSTS; i++)
    for (unsigned j = 0; j < hosts[i].front.server.count; j++)
      if (hosts[i].front.server.connections[j] == connection)
        return &hosts[i].front;
  fail ();
  return NULL;
}

static void
respond (struct http_connection *connection, unsigned status, json_t *json)
{
  char *body = json != NULL ? json_dumps (json, JSON_COMPACT) : strdup ("");
  char head[160];

  snprintf (head, sizeof head,
            "HTTP/1.1 %u X\r\nStore-Era: %llu\r\nContent-Length: %zu\r\n\r\n",
            status, (unsigned long long)store.era, strlen (body));
  http_connection_write (connection, head, strlen (head));
  http_connection_write (connection, body, strlen (body));
  http_connection_next_message (connection, false);
  free (body);
  json_decref (json);
}

static bool
is_stored (const char *name)
{
  bool is_stored = false;

  for (uint64_t i = 1; i <= store.revision; i++)
    if (strcmp (store.changes[i].name, name) == 0)
      is_stored = !store.changes[i].is_deleted;
  return is_stored;
}

static json_t *
encode_list (void)
{
  json_t *names = json_array ();

  for (size_t i = 0; i < data_centres.count; i++)
    if (is_stored (data_centres.items[i]))
      json_array_append_new (names, json_string (data_centres.items[i]));
  if (store.has_odd_entry)
    json_array_append_new (names, json_null ());
  return json_pack ("{s:I, s:o}", "at", (json_int_t)store.revision, "names",
                    names);
}

static json_t *
encode_changes (uint64_t after)
{
  json_t *names = json_array ();

  for (uint64_t i = after + 1; i <= store.revision; i++)
    json_array_append_new (
        names, json_sprintf ("%s%s", store.changes[i].is_deleted ? "-" : "",
                             store.changes[i].name));
  return json_pack ("{s:I, s:o}", "at", (json_int_t)store.revision, "names",
                    names);
}

static void
on_store_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
on_store_complete (void *context)
{
  struct http_connection *connection = context;
  struct front *front = find_front (connection);
  const char *target = http_head_target (&connection->head);
  unsigned long long revision;
  int wait_ms;

  if (front->is_cut)
    return;
  if (store.rejects && strcmp (target, "/other") != 0)
    {
      front->calls++;
      respond (connection, 503, NULL);
      return;
    }
  if (strcmp (target, "/list") == 0)
    {
      front->calls++;
      respond (connection, 200, encode_list ());
    }
  else if (sscanf (target, "/watch/%llu/%d", &revision, &wait_ms) == 2)
    {
      front->calls++;
      if (store.is_history_gone)
        {
          respond (connection, 410, NULL);
          return;
        }
      assert_in_range (front->watch_count, 0, WATCH_LIMIT - 1);
      front->watches[front->watch_count].connection = connection;
      front->watches[front->watch_count].revision = revision;
      front->watches[front->watch_count++].due_ms = clock_ms + wait_ms;
    }
  else
    respond (connection, 503, NULL);
}

static void
on_store_closed (void *context, enum http_end end)
{
  struct front *front = find_front (context);

  for (unsigned i = 0; i < front->watch_count; i++)
    if (front->watches[i].connection == context)
      front->watches[i--] = front->watches[--front->watch_count];
  http_server_on_closed (context, end);
}

static const struct http_events store_events = {
  .head = on_store_head,
  .body = http_server_ignore_body,
  .complete = on_store_complete,
  .closed = on_store_closed,
};

static void
run_front (struct front *front)
{
  for (unsigned i = 0; i < front->watch_count; i++)
    {
      uint64_t revision = front->watches[i].revision;

      if (front->is_cut
          || (revision == store.revision
              && clock_ms < front->watches[i].due_ms))
        continue;
      respond (front->watches[i].connection, 200, encode_changes (revision));
      front->watches[i--] = front->watches[--front->watch_count];
    }
  event_base_loop (front->server.base, EVLOOP_NONBLOCK);
}

/* A cut path loses the responses to the watches that are open. */
static void
set_store_cut (unsigned index, bool is_cut)
{
  hosts[index].front.is_cut = is_cut;
  if (is_cut)
    hosts[index].front.watch_count = 0;
}

static void
change (const char *name, bool is_deleted)
{
  assert_in_range (store.revision, 0, CHANGE_LIMIT - 2);
  store.changes[++store.revision] = (struct change){ name, is_deleted };
}

static void
order (const char *name)
{
  change (name, false);
}

static void
withdraw (const char *name)
{
  change (name, true);
}

static void
ignore_loads (void *context, const struct gossip_load *list, unsigned count)
{
  (void)context;
  (void)list;
  (void)count;
}

static void
on_message (void *context,
            struct mesh_host *from,
            const struct gossip_message *message)
{
  struct host *host = context;

  (void)from;
  if (message->kind != GOSSIP_EVACUATIONS)
    return;
  host->messages++;
  evacuation_sync_handle_message (&host->sync, &message->body.evacuations,
                                  clock_ms);
}

static void
on_host_started (void *context)
{
  struct host *host = context;

  evacuation_sync_host_started (&host->sync);
}

static void
ignore_lease (void *context, const struct lease_value *value, uint64_t version)
{
  (void)context;
  (void)value;
  (void)version;
}

static void
collect_no_loads (void *context, struct mesh_loads *own)
{
  (void)context;
  own->count = 0;
}

static void
start_host (unsigned index)
{
  struct host *host = &hosts[index];
  struct gossip_host self = { .port = PORT, .capacity = 100 };
  const struct mesh_hooks hooks
      = { host, ignore_loads, on_message, on_host_started, ignore_lease };

  memset (host, 0, sizeof *host);
  http_server_start (&host->front.server, &store_events,
                     HTTP_SERVER_CONNECTIONS);
  records_init (&host->records, base, &codec, "127.0.0.1",
                host->front.server.port);
  snprintf (self.name, sizeof self.name, "host-%02u", index);
  snprintf (self.data_centre, sizeof self.data_centre, "dc-%u",
            index / HOSTS_PER_DATA_CENTRE);
  snprintf (self.address, sizeof self.address, "127.0.79.%u", index + 1);
  assert_int_equal (mesh_init (&host->mesh, base, &host->records, &hooks, &self,
                               (uint64_t)clock_ms + index),
                    RESULT_OK);
  mesh_add_seed (&host->mesh, "127.0.79.2:1");
  mesh_add_seed (&host->mesh, "127.0.79.5:1");
  evacuation_sync_init (&host->sync, &host->mesh, &host->records, &data_centres,
                        complete_ms);
  host->is_running = true;
}

static void
stop_host (unsigned index)
{
  struct host *host = &hosts[index];

  host->is_running = false;
  mesh_finish (&host->mesh);
  records_finish (&host->records);
  event_base_loop (base, EVLOOP_NONBLOCK);
  http_server_stop (&host->front.server);
  memset (&host->front, 0, sizeof host->front);
}

static void
run_step (void)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct host *host = &hosts[i];

      if (!host->is_running)
        continue;
      run_front (&host->front);
      if (host->is_paused)
        continue;
      records_tick (&host->records, clock_ms);
      mesh_tick (&host->mesh, true, collect_no_loads, NULL, clock_ms);
      evacuation_sync_tick (&host->sync, clock_ms);
    }
  clock_ms += STEP_MS;
}

static void
run_for (int64_t duration_ms)
{
  int64_t until_ms = clock_ms + duration_ms;

  while (clock_ms < until_ms)
    run_step ();
}

static bool
is_evacuated (unsigned index, const char *name)
{
  return evacuations_includes (&hosts[index].sync.table, name);
}

/* The time until all running hosts but those with paused processes agree. */
static int64_t
run_until_all (const char *name, bool is_expected, int64_t within_ms)
{
  int64_t begun_ms = clock_ms;

  for (;;)
    {
      unsigned differing = 0;

      for (unsigned i = 0; i < HOSTS; i++)
        if (hosts[i].is_running && !hosts[i].is_paused
            && is_evacuated (i, name) != is_expected)
          differing++;
      if (differing == 0)
        return clock_ms - begun_ms;
      if (clock_ms - begun_ms >= within_ms)
        fail_msg ("%s: %u hosts differ after %d ms", name, differing,
                  (int)within_ms);
      run_step ();
    }
}

static void
assert_all_remain (const char *name, int64_t duration_ms)
{
  int64_t until_ms = clock_ms + duration_ms;

  while (clock_ms < until_ms)
    {
      run_step ();
      for (unsigned i = 0; i < HOSTS; i++)
        assert_true (!hosts[i].is_running || is_evacuated (i, name));
    }
}

static unsigned
count_calls (void)
{
  unsigned calls = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    calls += hosts[i].front.calls;
  return calls;
}

/* Hosts of different data centres send each other nothing while cut off. */
static void
set_links_cut (bool is_cut)
{
  for (unsigned i = 0; i < HOSTS; i++)
    for (struct mesh_host *other = hosts[i].mesh.hosts; other != NULL;
         other = other->hh.next)
      if (strcmp (other->info.data_centre, hosts[i].mesh.self.data_centre) != 0)
        other->socket_address.sin_port = htons (is_cut ? 0 : PORT);
}

static void
start_all (int64_t bound_ms)
{
  clock_ms = START_MS;
  complete_ms = bound_ms;
  memset (&store, 0, sizeof store);
  memset (hosts, 0, sizeof hosts);
  store.era = 1;
  data_centres.count = DATA_CENTRES;
  for (unsigned i = 0; i < DATA_CENTRES; i++)
    snprintf (data_centres.items[i], SETTINGS_TEXT_SIZE, "dc-%u", i);
  base = event_base_new ();
  change ("dc-2", true); /* any revision above 0 */
  for (unsigned i = 0; i < HOSTS; i++)
    start_host (i);
}

static int
setup (void **state)
{
  (void)state;
  start_all (COMPLETE_MS);
  run_for (5000);
  return 0;
}

static int
setup_without (void **state)
{
  (void)state;
  start_all (0);
  return 0;
}

static int
teardown (void **state)
{
  (void)state;
  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].is_running)
      stop_host (i);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
  return 0;
}

static void
test_all_hear (void **state)
{
  (void)state;
  order ("dc-1");
  run_until_all ("dc-1", true, SOON_MS);
  order ("dc-0");
  order ("dc-2");
  run_until_all ("dc-2", true, SOON_MS);
  withdraw ("dc-1");
  run_until_all ("dc-1", false, SOON_MS);
  run_until_all ("dc-0", true, 1);
}

/* Guards against: calls by all hosts, or watches that are too short. */
static void
test_calls_are_few (void **state)
{
  unsigned calls;

  (void)state;
  calls = count_calls ();
  run_for (10000);
  /* One watch per reader, each of half the bound. */
  assert_in_range (count_calls () - calls, DATA_CENTRES * 3, DATA_CENTRES * 5);
}

/* Guards against: any call or message where evacuations are not followed. */
static void
test_off (void **state)
{
  (void)state;
  order ("dc-1");
  run_for (5000);
  assert_int_equal (count_calls (), 0);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      assert_int_equal (hosts[i].messages, 0);
      assert_false (is_evacuated (i, "dc-1"));
      assert_true (evacuation_sync_is_ready (&hosts[i].sync));
    }
}

/* One failure at the time of an order, with others as the only help. */
enum failure
{
  READER_LOSES_STORE,       /* the others tell its data centre */
  READER_LOSES_STORE_ALONE, /* and no link leads out of the data centre */
  ALL_READERS_LOSE_STORE,
  READER_DIES,
  READER_IS_PAUSED,
  BOTH_HUBS_DIE,
  WATCH_IS_LOST, /* its response alone, at all readers */
  HISTORY_IS_GONE,
  LINKS_ARE_CUT,
};

static const struct
{
  const char *guards;
  enum failure failure;
} failures[] = {
  { "a reader without a path to the store", READER_LOSES_STORE },
  { "a reader without any path out", READER_LOSES_STORE_ALONE },
  { "no reader has a path to the store", ALL_READERS_LOSE_STORE },
  { "a reader dies", READER_DIES },
  { "a reader is suspended", READER_IS_PAUSED },
  { "both hubs die", BOTH_HUBS_DIE },
  { "the responses of the watches are lost", WATCH_IS_LOST },
  { "the history is gone", HISTORY_IS_GONE },
  { "the links between data centres are cut", LINKS_ARE_CUT },
};

static void
cause (enum failure failure)
{
  switch (failure)
    {
    case READER_LOSES_STORE_ALONE:
      set_links_cut (true);
      set_store_cut (0, true);
      break;
    case READER_LOSES_STORE:
      set_store_cut (0, true);
      break;
    case ALL_READERS_LOSE_STORE:
      for (unsigned i = 0; i < HOSTS; i += HOSTS_PER_DATA_CENTRE)
        set_store_cut (i, true);
      break;
    case READER_DIES:
      stop_host (0);
      break;
    case READER_IS_PAUSED:
      hosts[0].is_paused = true;
      break;
    case BOTH_HUBS_DIE:
      stop_host (0);
      stop_host (1);
      break;
    case WATCH_IS_LOST:
      for (unsigned i = 0; i < HOSTS; i++)
        hosts[i].front.watch_count = 0;
      break;
    case HISTORY_IS_GONE:
      store.is_history_gone = true;
      break;
    case LINKS_ARE_CUT:
      set_links_cut (true);
      break;
    }
}

static void
test_failures (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof failures / sizeof failures[0]; i++)
    for (int phase = 0; phase < 5; phase++)
      {
        int64_t heard_ms;

        setup (NULL);
        /* At different times of the watches. */
        run_for (phase * 530L);
        cause (failures[i].failure);
        order ("dc-1");
        heard_ms = run_until_all ("dc-1", true, HEARD_WITHIN_MS);
        if (phase == 0)
          print_message ("%s: %d ms\n", failures[i].guards, (int)heard_ms);
        run_for (1000);
        withdraw ("dc-1");
        run_until_all ("dc-1", false, HEARD_WITHIN_MS);
        teardown (NULL);
      }
}

/* Guards against: a host is ready before it knows, or reads needlessly. */
static void
test_started_host (void **state)
{
  (void)state;
  order ("dc-1");
  run_until_all ("dc-1", true, SOON_MS);
  stop_host (4);
  run_for (3000);
  start_host (4);
  while (!evacuation_sync_is_ready (&hosts[4].sync))
    {
      assert_false (is_evacuated (4, "dc-1"));
      run_step ();
    }
  assert_true (is_evacuated (4, "dc-1"));
  run_for (5000);
  assert_int_equal (hosts[4].front.calls, 0);
}

/* Guards against: hosts without the store forget, or call it all the time. */
static void
test_outage (void **state)
{
  unsigned calls = 0;

  (void)state;
  order ("dc-1");
  run_until_all ("dc-1", true, SOON_MS);
  for (unsigned i = 0; i < HOSTS; i++)
    set_store_cut (i, true);
  assert_all_remain ("dc-1", 20000);
  withdraw ("dc-1");
  for (unsigned i = 0; i < HOSTS; i++)
    {
      set_store_cut (i, false);
      calls += hosts[i].front.calls;
    }
  run_until_all ("dc-1", false, HEARD_WITHIN_MS);
  run_for (2000);
  assert_in_range (count_calls () - calls, 1, 2 * HOSTS);
}

/* Guards against: all hosts press on a store that cannot respond. */
static void
test_rejecting_store (void **state)
{
  unsigned calls;

  (void)state;
  order ("dc-1");
  run_until_all ("dc-1", true, SOON_MS);
  store.rejects = true;
  for (unsigned i = 0; i < HOSTS; i++)
    hosts[i].front.watch_count = 0;
  run_for (10000);
  calls = count_calls ();
  assert_all_remain ("dc-1", 20000);
  /* Each reader calls every 0.8 s, each other host every 3.2 s. */
  assert_in_range (count_calls () - calls, 1,
                   DATA_CENTRES * 25 + (HOSTS - DATA_CENTRES) * 7);
  store.rejects = false;
  withdraw ("dc-1");
  run_until_all ("dc-1", false, 1000);
}

/* Guards against: a store without the newest writes ends evacuations. */
static void
test_restored_store (void **state)
{
  (void)state;
  order ("dc-1");
  order ("dc-0");
  run_until_all ("dc-0", true, SOON_MS);
  run_for (1000);
  store.era++;
  store.revision = 1;
  store.is_history_gone = true;
  for (unsigned i = 0; i < HOSTS; i++)
    hosts[i].front.watch_count = 0;
  assert_all_remain ("dc-1", 2000);
  order ("dc-1");
  store.is_history_gone = false;
  run_until_all ("dc-0", false, 10000);
  assert_all_remain ("dc-1", 5000);
}

/* An entry without a readable name may be the one that is missing. */
static void
test_unreadable_name (void **state)
{
  (void)state;
  order ("dc-1");
  run_until_all ("dc-1", true, SOON_MS);
  withdraw ("dc-1");
  store.has_odd_entry = true;
  store.is_history_gone = true;
  for (unsigned i = 0; i < HOSTS; i++)
    hosts[i].front.watch_count = 0;
  run_for (3000);
  store.is_history_gone = false;
  assert_all_remain ("dc-1", 15000);
  /* Once the entry is gone a list is whole again. */
  store.has_odd_entry = false;
  order ("dc-2");
  run_until_all ("dc-1", false, 15000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_all_hear, setup, teardown),
    cmocka_unit_test_setup_teardown (test_calls_are_few, setup, teardown),
    cmocka_unit_test_setup_teardown (test_off, setup_without, teardown),
    cmocka_unit_test (test_failures),
    cmocka_unit_test_setup_teardown (test_started_host, setup, teardown),
    cmocka_unit_test_setup_teardown (test_outage, setup, teardown),
    cmocka_unit_test_setup_teardown (test_rejecting_store, setup, teardown),
    cmocka_unit_test_setup_teardown (test_restored_store, setup, teardown),
    cmocka_unit_test_setup_teardown (test_unreadable_name, setup, teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
