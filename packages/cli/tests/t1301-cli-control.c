#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control-object.h"

struct control_case
{
  const char *current; /* control object; NULL = none yet */
  enum control_action action;
  enum result result; /* expected */
  int number;         /* expected */
  const char *subject;
  const char *drains;   /* expected; NULL = nothing to change */
  const char *releases; /* expected */
};

static const struct control_case control_cases[] = {
  { NULL, CONTROL_DRAIN, RESULT_OK, 1, "h1", "[\"h1\"]", "[]" },
  { NULL, CONTROL_UNDRAIN, RESULT_OK, 0, "h1", NULL, NULL },
  { NULL, CONTROL_RELEASE, RESULT_OK, 1, "ab", "[]", "[\"ab\"]" },
  /* An object without "recent", written by another program. */
  { "{\"number\":7,\"drains\":[\"h1\"],\"releases\":[\"cd\"]}", CONTROL_DRAIN,
    RESULT_OK, 8, "h2", "[\"h1\",\"h2\"]", "[\"cd\"]" },
  { "{\"number\":7,\"drains\":[\"h1\"],\"releases\":[]}", CONTROL_DRAIN,
    RESULT_OK, 0, "h1", NULL, NULL },
  { "{\"number\":7,\"drains\":[\"h1\",\"h2\"],\"releases\":[]}",
    CONTROL_UNDRAIN, RESULT_OK, 8, "h1", "[\"h2\"]", "[]" },
  { "{\"number\":7,\"drains\":[\"h1\"],\"releases\":[]}", CONTROL_UNDRAIN,
    RESULT_OK, 0, "h2", NULL, NULL },
  /* A second release must reach daemons that quarantined the request again. */
  { "{\"number\":7,\"drains\":[],\"releases\":[\"ab\",\"cd\"]}",
    CONTROL_RELEASE, RESULT_OK, 8, "ab", "[]", "[\"cd\",\"ab\"]" },
  { "{\"number\":-1,\"drains\":[],\"releases\":[]}", CONTROL_DRAIN,
    RESULT_INVALID, 0, "h1", NULL, NULL },
  { "{\"number\":1,\"drains\":{},\"releases\":[]}", CONTROL_DRAIN,
    RESULT_INVALID, 0, "h1", NULL, NULL },
  { "{\"drains\":[],\"releases\":[]}", CONTROL_DRAIN, RESULT_INVALID, 0, "h1",
    NULL, NULL },
};

static void
assert_array (const json_t *object, const char *key, const char *expected)
{
  char *text = json_dumps (json_object_get (object, key), JSON_COMPACT);

  assert_string_equal (text, expected);
  free (text);
}

/* Guards against a drain that drops another drain or is entered twice. */
static void
test_changes_keep_other_entries (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof control_cases / sizeof control_cases[0]; i++)
    {
      const struct control_case *control_case = &control_cases[i];
      json_t *current = NULL;
      json_t *next;

      if (control_case->current != NULL)
        current = json_loads (control_case->current, 0, NULL);
      assert_int_equal (control_make_next (current, control_case->action,
                                           control_case->subject, "ana",
                                           "token", 1, &next),
                        control_case->result);
      if (control_case->drains == NULL)
        assert_null (next);
      else
        {
          assert_array (next, "drains", control_case->drains);
          assert_array (next, "releases", control_case->releases);
          assert_int_equal (
              json_integer_value (json_object_get (next, "number")),
              control_case->number);
          assert_true (control_has_token (next, "token"));
          assert_false (control_has_token (next, "other"));
        }
      json_decref (next);
      json_decref (current);
    }
}

/*
 * A write whose response was lost must be found after later writes, and the
 * object must not grow without bound.
 */
static void
test_recent_changes_are_limited (void **state)
{
  json_t *object = NULL;
  char token[32];

  (void)state;
  for (int i = 0; i < CONTROL_RELEASE_LIMIT + 10; i++)
    {
      json_t *next;

      snprintf (token, sizeof token, "%d", i);
      assert_int_equal (control_make_next (object, CONTROL_RELEASE, token,
                                           "ana", token, i, &next),
                        RESULT_OK);
      json_decref (object);
      object = next;
      if (i >= CONTROL_RECENT_LIMIT)
        {
          snprintf (token, sizeof token, "%d", i - CONTROL_RECENT_LIMIT + 1);
          assert_true (control_has_token (object, token));
        }
    }
  assert_int_equal (json_array_size (json_object_get (object, "recent")),
                    CONTROL_RECENT_LIMIT);
  assert_int_equal (json_array_size (json_object_get (object, "releases")),
                    CONTROL_RELEASE_LIMIT);
  assert_false (control_has_token (NULL, "1"));
  json_decref (object);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_changes_keep_other_entries),
    cmocka_unit_test (test_recent_changes_are_limited),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
