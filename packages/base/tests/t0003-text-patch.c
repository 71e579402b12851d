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

/* A configuration as an operator changes it. */
struct patch_case
{
  const char *name;
  int first_route; /* the routes of the new text */
  int last_route;
  int moved_route; /* sent to another service; -1 = none */
  size_t most;     /* bytes of the patch */
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
write_text (char *text, int first, int last, int moved)
{
  size_t size = 0;

  for (int i = first; i < last; i++)
    size += (size_t)snprintf (
        text + size, LIMIT - size,
        "{\"name\":\"r-%d\",\"path\":\"/p%d/\",\"objective_ms\":%d,"
        "\"service\":\"%s\"},",
        i, i * 7, 100 + i % 5, i == moved ? "other" : "llm");
  return size;
}

static void
test_cases (void **state)
{
  static char old_text[LIMIT];
  static char new_text[LIMIT];
  size_t old_size = write_text (old_text, 0, ROUTES, -1);

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct patch_case *c = &cases[i];
      size_t size = write_text (new_text, c->first_route, c->last_route,
                                c->moved_route);
      struct text_patch patch;
      char *made;
      size_t made_size;

      assert_int_equal (
          text_patch_make (&patch, old_text, old_size, new_text, size, LIMIT),
          RESULT_OK);
      if (patch.size > c->most)
        fail_msg ("%s: %zu bytes", c->name, patch.size);
      assert_int_equal (text_patch_apply (patch.data, patch.size, old_text,
                                          old_size, LIMIT, &made, &made_size),
                        RESULT_OK);
      assert_int_equal (made_size, size);
      assert_memory_equal (made, new_text, size);
      free (made);
      /* A text that is too long, and a patch cut short, are refused. */
      if (size > 0)
        assert_int_equal (text_patch_apply (patch.data, patch.size, old_text,
                                            old_size, size - 1, &made,
                                            &made_size),
                          RESULT_INVALID);
      assert_int_equal (text_patch_apply (patch.data, patch.size - 4, old_text,
                                          old_size, LIMIT, &made, &made_size),
                        RESULT_INVALID);
      text_patch_finish (&patch);
      assert_int_equal (
          text_patch_make (&patch, "", 0, old_text, old_size, 1024),
          RESULT_INVALID);
    }
}

/* Any two texts, and any bytes as a patch. */
static void
test_random (void **state)
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
      char *made = NULL;
      size_t made_size;

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
                                          old_size, sizeof new_text, &made,
                                          &made_size),
                        RESULT_OK);
      assert_int_equal (made_size, size);
      assert_memory_equal (made, new_text, size);
      free (made);
      patch.data[rng_below (&rng, patch.size)] ^= (char)rng_below (&rng, 256);
      if (text_patch_apply (patch.data, patch.size, old_text, old_size,
                            sizeof new_text, &made, &made_size)
          == RESULT_OK)
        free (made);
      text_patch_finish (&patch);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_cases), cmocka_unit_test (test_random) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
