#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "peercodec.h"

#define NOW_WALL_MS INT64_C (1700000000000)

static const char *const key_one = "1:00112233445566778899aabbccddeeff";
static const char *const key_two = "2:ffeeddccbbaa99887766554433221100";

static struct peer_header
make_header (bool is_call, uint64_t sequence)
{
  struct peer_header header = { .is_call = is_call,
                                .xid = 77,
                                .procedure = is_call ? 1 : 0,
                                .sender = "e1",
                                .boot = 5,
                                .sequence = sequence,
                                .sent_wall_ms = NOW_WALL_MS };

  return header;
}

static size_t
encode_message (const struct peer_keys *keys,
                const struct peer_header *header,
                char *buffer,
                size_t size)
{
  size_t used = 0;

  assert_int_equal (
      peer_encode (keys, header, peer_xdr_void, NULL, buffer, size, &used),
      RESULT_OK);
  return used;
}

/*
 * Guards against a field that the HMAC does not cover: a message with any bit
 * flipped, or truncated at any byte, must be rejected.
 */
static void
test_every_bit_is_authenticated (void **state)
{
  struct peer_keys keys = { .count = 0 };
  char buffer[512];

  (void)state;
  assert_int_equal (peer_keys_add (&keys, key_one), RESULT_OK);
  for (int is_call = 0; is_call < 2; is_call++)
    {
      struct peer_header header = make_header (is_call != 0, 1);
      struct peer_header read;
      size_t size = encode_message (&keys, &header, buffer, sizeof buffer);
      size_t offset;

      assert_int_equal (peer_decode (&keys, buffer, size, &read, &offset),
                        RESULT_OK);
      assert_string_equal (read.sender, "e1");
      assert_int_equal (read.xid, 77);
      assert_int_equal (read.sequence, 1);
      for (size_t bit = 0; bit < size * 8; bit++)
        {
          buffer[bit / 8] ^= (char)(1 << bit % 8);
          assert_int_not_equal (
              peer_decode (&keys, buffer, size, &read, &offset), RESULT_OK);
          buffer[bit / 8] ^= (char)(1 << bit % 8);
        }
      for (size_t truncated_size = 0; truncated_size < size; truncated_size++)
        assert_int_not_equal (
            peer_decode (&keys, buffer, truncated_size, &read, &offset),
            RESULT_OK);
    }
}

/*
 * Guards against lost messages during a key rotation: a host with both keys
 * must accept messages signed with the old key, and sign with the new one.
 */
static void
test_key_rotation (void **state)
{
  struct peer_keys old_only = { .count = 0 };
  struct peer_keys both = { .count = 0 };
  struct peer_keys new_only = { .count = 0 };
  struct peer_header header = make_header (true, 1);
  struct peer_header read;
  char buffer[512];
  size_t offset;
  size_t size;

  (void)state;
  peer_keys_add (&old_only, key_one);
  peer_keys_add (&both, key_two);
  peer_keys_add (&both, key_one);
  peer_keys_add (&new_only, key_two);
  size = encode_message (&old_only, &header, buffer, sizeof buffer);
  assert_int_equal (peer_decode (&both, buffer, size, &read, &offset),
                    RESULT_OK);
  assert_int_equal (peer_decode (&new_only, buffer, size, &read, &offset),
                    RESULT_PEER_BAD_MAC);
  size = encode_message (&both, &header, buffer, sizeof buffer);
  assert_int_equal (peer_decode (&new_only, buffer, size, &read, &offset),
                    RESULT_OK);
}

struct key_case
{
  const char *text;
  enum result expected;
};

static const struct key_case key_cases[] = {
  { "1:00112233445566778899aabbccddeeff", RESULT_OK },
  { "1:0011", RESULT_INVALID },
  { "00112233445566778899aabbccddeeff", RESULT_INVALID },
  { "x:00112233445566778899aabbccddeeff", RESULT_INVALID },
  { "1:00112233445566778899aabbccddeef", RESULT_INVALID },
  { "1:0011223344556677-899aabbccddeeff", RESULT_INVALID },
  { "1:zz112233445566778899aabbccddeeff", RESULT_INVALID },
};

static void
test_key_parsing (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof key_cases / sizeof key_cases[0]; i++)
    {
      struct peer_keys keys = { .count = 0 };

      if (peer_keys_add (&keys, key_cases[i].text) != key_cases[i].expected)
        fail_msg ("case \"%s\"", key_cases[i].text);
    }
}

struct window_case
{
  const char *name;
  uint64_t boot;
  uint64_t sequence;
  int64_t sent_wall_ms;
  enum result expected;
};

/*
 * Guards against replay: a captured message must not be accepted twice, while a
 * message that arrives late for the first time must be.
 */
static const struct window_case window_cases[] = {
  { "first message", 5, 100, NOW_WALL_MS, RESULT_OK },
  { "same message again", 5, 100, NOW_WALL_MS, RESULT_PEER_REPLAY },
  { "next sequence number", 5, 101, NOW_WALL_MS, RESULT_OK },
  { "gap in the sequence", 5, 150, NOW_WALL_MS, RESULT_OK },
  { "late message, first time", 5, 149, NOW_WALL_MS, RESULT_OK },
  { "late message again", 5, 149, NOW_WALL_MS, RESULT_PEER_REPLAY },
  { "oldest number in the window", 5, 87, NOW_WALL_MS, RESULT_OK },
  { "older than the window", 5, 86, NOW_WALL_MS, RESULT_PEER_REPLAY },
  { "gap larger than the window", 5, 1000, NOW_WALL_MS, RESULT_OK },
  { "number from before the gap", 5, 150, NOW_WALL_MS, RESULT_PEER_REPLAY },
  { "older boot", 4, 2000, NOW_WALL_MS, RESULT_PEER_REPLAY },
  { "newer boot", 6, 1, NOW_WALL_MS, RESULT_OK },
  { "sent too long ago", 6, 2, NOW_WALL_MS - PEER_CLOCK_TOLERANCE_MS - 1,
    RESULT_PEER_REPLAY },
  { "sent too far in the future", 6, 3,
    NOW_WALL_MS + PEER_CLOCK_TOLERANCE_MS + 1, RESULT_PEER_REPLAY },
};

static void
test_replay_window (void **state)
{
  struct peer_windows windows;

  (void)state;
  peer_windows_init (&windows);
  for (size_t i = 0; i < sizeof window_cases / sizeof window_cases[0]; i++)
    {
      const struct window_case *c = &window_cases[i];
      struct peer_header header = make_header (true, c->sequence);

      header.boot = c->boot;
      header.sent_wall_ms = c->sent_wall_ms;
      if (peer_windows_accept (&windows, &header, NOW_WALL_MS) != c->expected)
        fail_msg ("case \"%s\"", c->name);
    }
  peer_windows_finish (&windows);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_bit_is_authenticated),
    cmocka_unit_test (test_key_rotation),
    cmocka_unit_test (test_key_parsing),
    cmocka_unit_test (test_replay_window),
  };

  return cmocka_run_group_tests_name ("peer-codec", tests, NULL, NULL);
}
