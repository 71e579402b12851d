#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "gossip.h"
#include "rng.h"

static struct gossip_message message;
static struct gossip_message decoded;
static char buffer[GOSSIP_DATAGRAM_LIMIT_BYTES];
static char encoded_again[GOSSIP_DATAGRAM_LIMIT_BYTES];

static bool all_have_limits; /* the loads have request limits */

/* Of 64 bytes, as the SHA-256 of something in hexadecimal. */
static const char long_name[]
    = "4f1c9a7be2d05836a1c4e7f90b2d6385c7a9e1f30d5b7284960cfe1a3b5d7e92";

static void
fill_sender (enum gossip_kind kind)
{
  message.kind = kind;
  memset (&message.sender, 0, sizeof message.sender);
  memset (message.sender.name, 'h', sizeof message.sender.name - 1);
  memset (message.sender.data_centre, 'd',
          sizeof message.sender.data_centre - 1);
  message.sender.port = 7340;
  message.boot = 1;
  message.sequence = 2;
  message.has_traffic = false;
}

static void
fill_message (enum gossip_kind kind)
{
  struct gossip_loads *loads = &message.body.loads;
  struct gossip_report *report = &message.body.report;

  memset (&message, 0, sizeof message);
  fill_sender (kind);
  switch (kind)
    {
    case GOSSIP_LOAD:
    case GOSSIP_SUM:
    case GOSSIP_TOTAL:
      loads->count = GOSSIP_LOAD_LIMIT;
      loads->total = GOSSIP_LOAD_LIMIT;
      for (unsigned i = 0; i < GOSSIP_LOAD_LIMIT; i++)
        {
          loads->list[i].endpoint = i;
          loads->list[i].has_limit = all_have_limits;
          loads->list[i].sent_millionths = all_have_limits ? i : 0;
        }
      loads->count = gossip_count_fitting_loads (loads->list, loads->count);
      loads->lease_version = 3;
      memset (loads->lease.holder, 'l', sizeof loads->lease.holder - 1);
      break;
    case GOSSIP_HELLO:
    case GOSSIP_KNOWN_HOSTS:
      message.body.hosts.known = 40;
      break;
    case GOSSIP_ROUTED_RESPONSE:
      message.body.routed.total = 1000;
      message.body.routed.count = GOSSIP_ROUTED_LIMIT;
      for (unsigned i = 0; i < GOSSIP_ROUTED_LIMIT; i++)
        message.body.routed.list[i] = i;
      break;
    case GOSSIP_SYNC_REQUEST:
    case GOSSIP_ROUTED_REQUEST:
      message.body.sync_request.revision = 9;
      break;
    case GOSSIP_SYNC_RESPONSE:
      message.body.sync_response.digest = 77;
      break;
    case GOSSIP_REPORT:
    case GOSSIP_DELETED:
      report->endpoint = long_name;
      report->revision = 12;
      if (kind == GOSSIP_REPORT)
        {
          report->report.service = long_name;
          report->report.state = ENDPOINT_GROUP_OPEN;
        }
      break;
    case GOSSIP_STRIKES:
      message.body.strikes.count = GOSSIP_STRIKE_LIMIT;
      for (unsigned i = 0; i < GOSSIP_STRIKE_LIMIT; i++)
        {
          struct gossip_strike *strike = &message.body.strikes.list[i];

          memset (strike->trait, 'a', sizeof strike->trait - 1);
          strike->is_part = i % 2 == 0;
          strike->crash = i;
        }
      break;
    case GOSSIP_EVACUATIONS:
      message.body.evacuations.revision = 5;
      message.body.evacuations.age_ms = 70;
      message.body.evacuations.count = EVACUATIONS_LIMIT;
      for (unsigned i = 0; i < EVACUATIONS_LIMIT; i++)
        message.body.evacuations.list[i] = i;
      break;
    case GOSSIP_COLD:
      message.body.cold.count = GOSSIP_COLD_LIMIT;
      for (unsigned i = 0; i < GOSSIP_COLD_LIMIT; i++)
        {
          message.body.cold.list[i].endpoint = i;
          message.body.cold.list[i].left_ms = 3000;
        }
      break;
    case GOSSIP_KINDS:
      fail ();
      break;
    case GOSSIP_PATCH:
      message.body.patch.count = GOSSIP_PATCH_BYTES;
      memset (message.body.patch.bytes, 'p', GOSSIP_PATCH_BYTES);
      break;
    }
}

static void
check_round_trips (void)
{
  for (int kind = GOSSIP_LOAD; kind < GOSSIP_KINDS; kind++)
    {
      size_t size;

      fill_message ((enum gossip_kind)kind);
      size = gossip_encode (&message, buffer, sizeof buffer);
      if (size == 0)
        fail_msg ("kind %d does not fit a datagram", kind);
      assert_int_equal (gossip_decode (&decoded, buffer, size), RESULT_OK);
      /* The decoded message encodes to the same bytes. */
      assert_int_equal (
          gossip_encode (&decoded, encoded_again, sizeof encoded_again), size);
      assert_memory_equal (encoded_again, buffer, size);
      assert_int_equal (decoded.kind, kind);
      assert_string_equal (decoded.sender.name, message.sender.name);
    }
}

static void
test_round_trip (void **state)
{
  (void)state;
  check_round_trips ();
  all_have_limits = true;
  check_round_trips ();
  all_have_limits = false;
}

/*
 * Guards against reports whose texts are cut on the way, or are taken for those
 * of another endpoint, and against ones that say that they were sent although
 * they do not fit a datagram.
 */
static void
test_long_reports (void **state)
{
  static const struct
  {
    size_t size;
    bool fits;
  } cases[] = {
    { 1, true }, { 63, true }, { 64, true }, { 150, true }, { 300, false }
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct gossip_report *report = &message.body.report;
      char name[512];
      size_t size;

      /* What an earlier message of another kind has left. */
      memset (&message, 0xff, sizeof message);
      fill_sender (GOSSIP_REPORT);
      memset (name, 'n', cases[i].size);
      name[cases[i].size] = '\0';
      report->endpoint = name;
      report->revision = 12;
      report->report = (struct endpoint_report){ .service = name,
                                                 .data_centre = name,
                                                 .domain = name,
                                                 .model = name,
                                                 .group = name,
                                                 .cached_models = { name },
                                                 .cached_model_count = 1 };
      size = gossip_encode (&message, buffer, sizeof buffer);
      if ((size > 0) != cases[i].fits)
        fail_msg ("%zu bytes", cases[i].size);
      if (size == 0)
        continue;
      assert_int_equal (gossip_decode (&decoded, buffer, size), RESULT_OK);
      report = &decoded.body.report;
      assert_string_equal (report->endpoint, name);
      assert_string_equal (report->report.service, name);
      assert_string_equal (report->report.data_centre, name);
      assert_string_equal (report->report.domain, name);
      assert_string_equal (report->report.model, name);
      assert_string_equal (report->report.group, name);
      assert_string_equal (report->report.cached_models[0], name);
    }
}

/* A damaged datagram is rejected, or decoded as another valid message. */
static void
test_damaged_datagrams (void **state)
{
  struct rng rng;

  (void)state;
  rng_init (&rng, 1);
  for (int kind = GOSSIP_LOAD; kind < GOSSIP_KINDS; kind++)
    {
      size_t size;

      fill_message ((enum gossip_kind)kind);
      size = gossip_encode (&message, buffer, sizeof buffer);
      for (size_t truncated_size = 0; truncated_size < size; truncated_size++)
        assert_int_equal (gossip_decode (&decoded, buffer, truncated_size),
                          RESULT_PEER_BAD_MESSAGE);
      for (int i = 0; i < 2000; i++)
        {
          char damaged[GOSSIP_DATAGRAM_LIMIT_BYTES];

          memcpy (damaged, buffer, size);
          damaged[rng_below (&rng, size)] ^= (char)(1 + rng_below (&rng, 255));
          if (gossip_decode (&decoded, damaged, size) != RESULT_OK)
            continue;
          assert_in_range (decoded.kind, GOSSIP_LOAD, GOSSIP_KINDS - 1);
          if (decoded.kind <= GOSSIP_TOTAL)
            assert_in_range (decoded.body.loads.count, 0, GOSSIP_LOAD_LIMIT);
          if (decoded.kind == GOSSIP_PATCH)
            assert_in_range (decoded.body.patch.count, 0, GOSSIP_PATCH_BYTES);
          if (decoded.kind == GOSSIP_STRIKES)
            assert_in_range (decoded.body.strikes.count, 0,
                             GOSSIP_STRIKE_LIMIT);
          if (decoded.kind == GOSSIP_REPORT)
            assert_in_range (decoded.body.report.report.state,
                             ENDPOINT_GROUP_NONE, ENDPOINT_GROUP_BROKEN);
        }
    }
}

/* Overwrites the encoded "first" and "total" of loads, which follow "hosts". */
static void
overwrite_load_range (uint32_t first, uint32_t total)
{
  const uint32_t marker = htonl (0x12345678);
  char *position;

  message.body.loads.hosts = 0x12345678;
  gossip_encode (&message, buffer, sizeof buffer);
  position = memmem (buffer, sizeof buffer, &marker, sizeof marker);
  assert_non_null (position);
  first = htonl (first);
  total = htonl (total);
  memcpy (position + 4, &first, sizeof first);
  memcpy (position + 8, &total, sizeof total);
}

/*
 * A receiver copies the entries to the range that the message gives, so the
 * decoder must reject a range past the end.
 */
static const struct
{
  const char *guards; /* failure that the case guards against */
  uint32_t first;
  uint32_t count;
  uint32_t total;
  enum result result;
} load_ranges[] = {
  { "a range of all entries is rejected", 0, 40, 40, RESULT_OK },
  { "a range of the last entries is rejected", 80, 20, 100, RESULT_OK },
  { "an empty range is rejected", 0, 0, 0, RESULT_OK },
  { "a range past the end is accepted", 80, 21, 100, RESULT_PEER_BAD_MESSAGE },
  { "a start past the end is accepted", 101, 0, 100, RESULT_PEER_BAD_MESSAGE },
  { "a range whose end overflows is accepted", 0xfffffff0, 40, 40,
    RESULT_PEER_BAD_MESSAGE },
  { "the largest start is accepted", 0xffffffff, 1, 40,
    RESULT_PEER_BAD_MESSAGE },
};

static void
test_load_ranges (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof load_ranges / sizeof load_ranges[0]; i++)
    {
      struct gossip_loads *loads = &message.body.loads;
      size_t size;
      enum result result;

      fill_message (GOSSIP_TOTAL);
      loads->first = 0;
      loads->count = load_ranges[i].count;
      loads->total = load_ranges[i].count;
      size = gossip_encode (&message, buffer, sizeof buffer);
      assert_true (size > 0);
      overwrite_load_range (load_ranges[i].first, load_ranges[i].total);
      result = gossip_decode (&decoded, buffer, size);
      if (result != load_ranges[i].result)
        fail_msg ("%s: %d", load_ranges[i].guards, (int)result);
    }
}

/*
 * Reports of warm endpoints are as before, so that hosts of the former version
 * read them; a cold time that is cut off or 0 is refused.
 */
static void
test_cold_time_of_report (void **state)
{
  size_t warm_size;
  size_t cold_size;

  (void)state;
  fill_message (GOSSIP_REPORT);
  warm_size = gossip_encode (&message, buffer, sizeof buffer);
  assert_int_equal (gossip_decode (&decoded, buffer, warm_size), RESULT_OK);
  assert_false (decoded.body.report.report.has_cold);
  message.body.report.report.has_cold = true;
  assert_int_equal (
      gossip_encode (&message, encoded_again, sizeof encoded_again), warm_size);
  assert_memory_equal (encoded_again, buffer, warm_size);
  message.body.report.report.cold_ms = 700;
  cold_size = gossip_encode (&message, buffer, sizeof buffer);
  assert_int_equal (cold_size, warm_size + 4);
  assert_int_equal (gossip_decode (&decoded, buffer, cold_size), RESULT_OK);
  assert_true (decoded.body.report.report.has_cold);
  assert_int_equal (decoded.body.report.report.cold_ms, 700);
  for (size_t size = warm_size + 1; size < cold_size; size++)
    assert_int_equal (gossip_decode (&decoded, buffer, size),
                      RESULT_PEER_BAD_MESSAGE);
  memset (&buffer[warm_size], 0, 4);
  assert_int_equal (gossip_decode (&decoded, buffer, cold_size),
                    RESULT_PEER_BAD_MESSAGE);
}

static const struct
{
  const char *guards; /* failure that the case guards against */
  uint32_t newest;
  uint32_t sequence;
  bool is_late;
} sequence_cases[] = {
  { "a repeated message is handled", 7, 7, true },
  { "a late message is handled", 7, 6, true },
  { "a late message is handled after many", 70000, 5000, true },
  { "the next message is ignored", 7, 8, false },
  { "a message after lost ones is ignored", 7, 100000, false },
  { "the first message after the wrap is ignored", UINT32_MAX, 0, false },
  { "a message soon after the wrap is ignored", UINT32_MAX - 5, 3, false },
  { "a repeated message is handled at the wrap", 0, 0, true },
  { "a late message is handled after the wrap", 3, UINT32_MAX - 5, true },
  { "a process is ignored after a damaged number", UINT32_MAX, 9, false },
  { "a process is ignored after a damaged number of half the range",
    UINT32_C (0x7fffffff), 9, false },
  { "a process is ignored after a damaged number ahead", 90000, 9, false },
};

static void
test_sequence (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof sequence_cases / sizeof sequence_cases[0]; i++)
    if (gossip_is_late (sequence_cases[i].newest, sequence_cases[i].sequence)
        != sequence_cases[i].is_late)
      fail_msg ("%s", sequence_cases[i].guards);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip),
    cmocka_unit_test (test_long_reports),
    cmocka_unit_test (test_cold_time_of_report),
    cmocka_unit_test (test_sequence),
    cmocka_unit_test (test_damaged_datagrams),
    cmocka_unit_test (test_load_ranges),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
