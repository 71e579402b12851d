#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "text-patch.h"

#define LIMIT 65536
#define ROUTES 250

/* A change of a configuration, and a limit for the size of its patch. */
struct patch_case
{
  const char *name;
  int first_route; /* of the new text */
  int end_route;   /* one past the last route of the new text */
  int moved_route; /* index of a route that gets another service; -1 = none */
  size_t max_patch_bytes;
};

static const struct patch_case cases[] = {
  { "nothing changed", 0, ROUTES, -1, 64 },
  { "one route moved", 0, ROUTES, 100, 192 },
  { "the first route moved", 0, ROUTES, 0, 192 },
  { "the last route dropped", 0, ROUTES - 1, -1, 192 },
  { "the first ten routes dropped", 10, ROUTES, 40, 256 },
  { "ten routes added", 0, ROUTES + 10, -1, 1200 },
  { "everything dropped", 0, 0, -1, 64 },
};

static size_t
write_text (char *text, int first_route, int end_route, int moved_route)
{
  size_t size = 0;

  for (int i = first_route; i < end_route; i++)
    size += (size_t)snprintf (
        text + size, LIMIT - size,
        "{\"name\":\"r-%d\",\"path\":\"/p%d/\",\"objective_ms\":%d,"
        "\"service\":\"%s\"},",
        i, i * 7, 100 + i % 5, i == moved_route ? "other" : "llm");
  return size;
}

static void
test_configuration_changes (void **state)
{
  static char old_text[LIMIT];
  static char new_text[LIMIT];
  size_t old_size = write_text (old_text, 0, ROUTES, -1);

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct patch_case *c = &cases[i];
      size_t size
          = write_text (new_text, c->first_route, c->end_route, c->moved_route);
      struct text_patch patch;
      char *patched_text;
      size_t patched_size;

      assert_int_equal (
          text_patch_make (&patch, old_text, old_size, new_text, size, LIMIT),
          RESULT_OK);
      if (patch.size > c->max_patch_bytes)
        fail_msg ("%s: %zu bytes", c->name, patch.size);
      assert_int_equal (text_patch_apply (patch.data, patch.size, old_text,
                                          old_size, LIMIT, &patched_text,
                                          &patched_size),
                        RESULT_OK);
      assert_int_equal (patched_size, size);
      assert_memory_equal (patched_text, new_text, size);
      free (patched_text);
      /* A text over the limit and a truncated patch are rejected. */
      if (size > 0)
        assert_int_equal (text_patch_apply (patch.data, patch.size, old_text,
                                            old_size, size - 1, &patched_text,
                                            &patched_size),
                          RESULT_INVALID);
      assert_int_equal (text_patch_apply (patch.data, patch.size - 4, old_text,
                                          old_size, LIMIT, &patched_text,
                                          &patched_size),
                        RESULT_INVALID);
      text_patch_finish (&patch);
      assert_int_equal (
          text_patch_make (&patch, "", 0, old_text, old_size, 1024),
          RESULT_INVALID);
    }
}

/*
 * Random texts survive a round trip, and a patch with a damaged byte is
 * rejected or applied, without an invalid memory access.
 */
static void
test_random_texts_and_damaged_patches (void **state)
{
  struct rng rng;

  (void)state;
  rng_init (&rng, 7);
  for (int round = 0; round < 3000; round++)
    {
      char old_text[400];
      char new_text[400];
      size_t old_size = rng_below (&rng, sizeof old_text);
      size_t size = rng_below (&rng, sizeof new_text);
      unsigned letters = 1 + (unsigned)rng_below (&rng, 3);
      struct text_patch patch;
      char *patched_text = NULL;
      size_t patched_size;

      for (size_t i = 0; i < old_size; i++)
        old_text[i] = (char)('a' + rng_below (&rng, letters));
      for (size_t i = 0; i < size; i++)
        new_text[i] = old_size > 0 && rng_below (&rng, 50) > 0
                          ? old_text[i % old_size]
                          : (char)('a' + rng_below (&rng, letters));
      assert_int_equal (text_patch_make (&patch, old_text, old_size, new_text,
                                         size, sizeof new_text * 8),
                        RESULT_OK);
      assert_int_equal (text_patch_apply (patch.data, patch.size, old_text,
                                          old_size, sizeof new_text,
                                          &patched_text, &patched_size),
                        RESULT_OK);
      assert_int_equal (patched_size, size);
      assert_memory_equal (patched_text, new_text, size);
      free (patched_text);
      patch.data[rng_below (&rng, patch.size)] ^= (char)rng_below (&rng, 256);
      if (text_patch_apply (patch.data, patch.size, old_text, old_size,
                            sizeof new_text, &patched_text, &patched_size)
          == RESULT_OK)
        free (patched_text);
      text_patch_finish (&patch);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_configuration_changes),
          cmocka_unit_test (test_random_texts_and_damaged_patches) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
