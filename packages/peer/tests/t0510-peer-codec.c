#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "peercodec.h"

#define WALL INT64_C (1700000000000)

static const char *const key_one = "1:00112233445566778899aabbccddeeff";
static const char *const key_two = "2:ffeeddccbbaa99887766554433221100";

static struct peer_header
header_of (bool is_call, uint64_t sequence)
{
  struct peer_header header = { .is_call = is_call,
                                .xid = 77,
                                .procedure = is_call ? 1 : 0,
                                .sender = "e1",
                                .boot = 5,
                                .sequence = sequence,
                                .sent_wall_ms = WALL };

  return header;
}

static size_t
encode (const struct peer_keys *keys,
        const struct peer_header *header,
        char *buffer,
        size_t size)
{
  size_t used = 0;

  assert_int_equal (
      peer_encode (keys, header, peer_xdr_nothing, NULL, buffer, size, &used),
      RESULT_OK);
  return used;
}

/* A flipped bit anywhere must be seen, whatever field it falls into. */
static void
test_every_bit_is_authenticated (void **state)
{
  struct peer_keys keys = { .count = 0 };
  char buffer[512];

  (void)state;
  assert_int_equal (peer_keys_add (&keys, key_one), RESULT_OK);
  for (int is_call = 0; is_call < 2; is_call++)
    {
      struct peer_header header = header_of (is_call != 0, 1);
      struct peer_header read;
      size_t size = encode (&keys, &header, buffer, sizeof buffer);
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
      for (size_t cut = 0; cut < size; cut++)
        assert_int_not_equal (peer_decode (&keys, buffer, cut, &read, &offset),
                              RESULT_OK);
    }
}

/* Keys must rotate with no pause: old and new are both valid for a while. */
static void
test_key_rotation (void **state)
{
  struct peer_keys old_only = { .count = 0 };
  struct peer_keys both = { .count = 0 };
  struct peer_keys new_only = { .count = 0 };
  struct peer_header header = header_of (true, 1);
  struct peer_header read;
  char buffer[512];
  size_t offset;
  size_t size;

  (void)state;
  peer_keys_add (&old_only, key_one);
  peer_keys_add (&both, key_two);
  peer_keys_add (&both, key_one);
  peer_keys_add (&new_only, key_two);
  size = encode (&old_only, &header, buffer, sizeof buffer);
  assert_int_equal (peer_decode (&both, buffer, size, &read, &offset),
                    RESULT_OK);
  assert_int_equal (peer_decode (&new_only, buffer, size, &read, &offset),
                    RESULT_PEER_BAD_MAC);
  size = encode (&both, &header, buffer, sizeof buffer);
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
test_keys (void **state)
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

/* A captured message must not act twice; late ones must still be taken. */
static const struct window_case window_cases[] = {
  { "first", 5, 100, WALL, RESULT_OK },
  { "again", 5, 100, WALL, RESULT_PEER_REPLAY },
  { "next", 5, 101, WALL, RESULT_OK },
  { "jump", 5, 150, WALL, RESULT_OK },
  { "late but new", 5, 149, WALL, RESULT_OK },
  { "late again", 5, 149, WALL, RESULT_PEER_REPLAY },
  { "in the window", 5, 87, WALL, RESULT_OK },
  { "behind the window", 5, 86, WALL, RESULT_PEER_REPLAY },
  { "far jump", 5, 1000, WALL, RESULT_OK },
  { "old again", 5, 150, WALL, RESULT_PEER_REPLAY },
  { "older boot", 4, 2000, WALL, RESULT_PEER_REPLAY },
  { "newer boot", 6, 1, WALL, RESULT_OK },
  { "too old", 6, 2, WALL - PEER_CLOCK_TOLERANCE_MS - 1, RESULT_PEER_REPLAY },
  { "from the future", 6, 3, WALL + PEER_CLOCK_TOLERANCE_MS + 1,
    RESULT_PEER_REPLAY },
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
      struct peer_header header = header_of (true, c->sequence);

      header.boot = c->boot;
      header.sent_wall_ms = c->sent_wall_ms;
      if (peer_windows_check (&windows, &header, WALL) != c->expected)
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
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_replay_window),
  };

  return cmocka_run_group_tests_name ("peer-codec", tests, NULL, NULL);
}
