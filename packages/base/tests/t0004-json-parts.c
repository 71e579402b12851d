#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "json-parts.h"

/* Guards against a document that is lost, or read wrongly, for one part of it
   that cannot be read. */

#define HUGE_INTEGER "99999999999999999999999999"

struct parts_case
{
  const char *name;
  const char *text;
  unsigned depth;
  const char *expected; /* NULL = cannot be read */
};

static const struct parts_case parts_cases[] = {
  { "all readable", " {\"a\" : [1, {\"b\":null}]} ", 3,
    "{\"a\":[1,{\"b\":null}]}" },
  { "one member", "{\"a\":1,\"b\":" HUGE_INTEGER ",\"c\":3}", 1,
    "{\"a\":1,\"b\":null,\"c\":3}" },
  { "one element", "[1,1e999,[2]]", 1, "[1,null,[2]]" },
  { "the only element", "[1e999]", 1, "[null]" },
  { "the first and the last element", "[1e999,2,1e999]", 1, "[null,2,null]" },
  { "no level to split", "[1,1e999]", 0, NULL },
  { "deeper than the levels to split", "[[1,1e999],[2]]", 1, "[null,[2]]" },
  { "two levels", "[[1,1e999],[2]]", 2, "[[1,null],[2]]" },
  { "a member that is not split", "[{\"whole\":[1,1e999],\"a\":[1,1e999]}]", 9,
    "[{\"a\":[1,null],\"whole\":null}]" },
  { "a readable member that is not split",
    "[{\"whole\":[{\"a\":1}],\"a\":1e999}]", 9,
    "[{\"a\":null,\"whole\":[{\"a\":1}]}]" },
  { "brackets, commas and escapes in strings",
    "[\"]},[{\\\"]\",1e999,{\"}\\\\\":\"\\\\\"},2]", 1,
    "[\"]},[{\\\"]\",null,{\"}\\\\\":\"\\\\\"},2]" },
  { "NUL in a string", "[\"a\\u0000b\",1]", 1, "[null,1]" },
  { "half a surrogate pair", "[\"\\ud800\",1]", 1, "[null,1]" },
  { "no UTF-8", "[\"\xff\",1]", 1, "[null,1]" },
  { "no UTF-8 outside of a string", "[\xff\xfe,1]", 1, "[null,1]" },
  { "no JSON", "[a=1 'x',{b},1]", 1, "[null,null,1]" },
  { "empty parts", "{\"a\":,\"b\":[,],\"c\":1}", 2,
    "{\"a\":null,\"b\":[null,null],\"c\":1}" },
  { "a name that is not UTF-8", "{\"\xff\":1,\"b\":2}", 1, "{\"b\":2}" },
  { "a name used twice", "{\"a\":1e999,\"a\":2}", 1, "{\"a\":2}" },
  { "white space", "\t{ \"a\" : 1e999 , \"b\"\n:\r1 } \n", 1,
    "{\"a\":null,\"b\":1}" },
  /* What is cut off must not count as complete. */
  { "nothing", "", 5, NULL },
  { "a number alone", "1e999", 5, NULL },
  { "an array without its end", "[1,1e999", 5, NULL },
  { "an object without its end", "{\"a\":1e999", 5, NULL },
  { "a member without its value", "{\"a\"", 5, NULL },
  { "an object without a name", "{1e999}", 5, NULL },
  { "a comma before the end", "{\"a\":1e999,}", 5, NULL },
  { "a string without its end", "[1e999,\"a]", 5, NULL },
  { "an escape at the end", "[1e999,\"\\", 5, NULL },
  { "the wrong bracket", "[1,1e999}", 5, NULL },
  { "text after the end", "[1e999] 1", 5, NULL },
  { "an inner array without its end", "{\"a\":[1,\"b\":2}", 5, NULL },
};

static void
check_parts (const char *name,
             const json_t *json,
             const char *expected,
             size_t size)
{
  char *text
      = json != NULL
            ? json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY)
            : NULL;

  if ((text == NULL) != (expected == NULL)
      || (text != NULL && strcmp (text, expected) != 0))
    fail_msg ("%s: %s, %zu bytes", name, text != NULL ? text : "-", size);
  free (text);
}

static void
test_parts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof parts_cases / sizeof parts_cases[0]; i++)
    {
      const struct parts_case *c = &parts_cases[i];
      size_t size = strlen (c->text);
      /* A copy of the exact size shows reads beyond the end. */
      char *copy = malloc (size + 1);
      json_t *json;

      assert_non_null (copy);
      memcpy (copy, c->text, size);
      copy = realloc (copy, size > 0 ? size : 1);
      json = json_load_parts (copy, size, "whole", c->depth);
      check_parts (c->name, json, c->expected, size);
      json_decref (json);
      free (copy);
    }
}

/* No depth of nesting may overflow the stack. */
static void
test_deep_nesting (void **state)
{
  const size_t depth = 2000000;
  char *text = malloc (2 * depth + 8);
  json_t *json;
  size_t size;

  (void)state;
  assert_non_null (text);
  memset (text, '[', depth);
  memset (text + depth, ']', depth);
  size = 2 * depth;
  assert_null (json_load_parts (text, size, "whole", 0));
  json = json_load_parts (text, size, "whole", 2);
  check_parts ("nested deeply", json, "[[null]]", size);
  json_decref (json);
  assert_null (json_load_parts (text, size - 1, "whole", 5));
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parts),
    cmocka_unit_test (test_deep_nesting),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
