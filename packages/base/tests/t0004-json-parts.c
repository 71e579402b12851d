#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

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
/* Objects of a list that were written in part. */
#define LIST(items) "{\"list\":[" items "],\"at\":9}"
#define ITEM(name, value)                                                      \
  "{\"id\":{\"n\":\"" name "\"},\"whole\":" value ",\"z\":null}"
#define LATE_ITEM(name, value)                                                 \
  "{\"whole\":" value ",\"id\":{\"n\":\"" name "\"}}"
#define READ_ITEM(name, value)                                                 \
  "{\"id\":{\"n\":\"" name "\"},\"whole\":" value ",\"z\":null}"
#define READ_LATE(name, value)                                                 \
  "{\"id\":{\"n\":\"" name "\"},\"whole\":" value "}"
#define READ_LIST(items) "{\"at\":9,\"list\":[" items "]}"
#define TORN_CASE(what, torn)                                                  \
  { what,                                                                      \
    LIST (ITEM ("a", "1") "," ITEM ("b", torn) "," ITEM (                      \
        "c", "{\"x\":[2]}") "," ITEM ("d", torn) "," ITEM ("e", "5")),         \
    9,                                                                         \
    READ_LIST (                                                                \
        READ_ITEM ("a", "1") "," READ_ITEM ("b", "null") "," READ_ITEM (       \
            "c", "{\"x\":[2]}") "," READ_ITEM ("d",                            \
                                               "null") "," READ_ITEM ("e",     \
                                                                      "5")) }, \
      { what ", in the last item",                                             \
        LIST (ITEM ("a", "1") "," ITEM ("b", torn)), 9,                        \
        READ_LIST (READ_ITEM ("a", "1") "," READ_ITEM ("b", "null")) },        \
      { what ", the only item", LIST (ITEM ("b", torn)), 9,                    \
        READ_LIST (READ_ITEM ("b", "null")) },                                 \
      { what ", before the name",                                              \
        LIST (LATE_ITEM ("a", "1") "," LATE_ITEM ("b", torn) "," LATE_ITEM (   \
            "c", "3") "," LATE_ITEM ("d", torn)),                              \
        9,                                                                     \
        READ_LIST (                                                            \
            READ_LATE ("a", "1") "," READ_LATE ("b", "null") "," READ_LATE (   \
                "c", "3") "," READ_LATE ("d", "null")) },                      \
  {                                                                            \
    what ", in a document alone", ITEM ("b", torn), 9, READ_ITEM ("b", "null") \
  }
  TORN_CASE ("a string cut off", "{\"x\":\"zo"),
  TORN_CASE ("an escape cut off", "{\"x\":\"zo\\"),
  TORN_CASE ("a name cut off", "{\"x\":1,\"y"),
  TORN_CASE ("a member cut off", "{\"x\":1"),
  TORN_CASE ("a value cut off", "{\"x\":"),
  TORN_CASE ("a member cut off after its comma", "{\"x\":1,"),
  TORN_CASE ("an array cut off", "{\"x\":[1,2"),
  TORN_CASE ("an array cut off after its comma", "[1,"),
  TORN_CASE ("a quotation mark", "\""),
  TORN_CASE ("an opening brace", "{"),
  TORN_CASE ("an opening bracket", "["),
  TORN_CASE ("a closing brace", "}"),
  TORN_CASE ("a closing bracket", "]"),
  TORN_CASE ("a value and a closing brace", "1}"),
  TORN_CASE ("a value and closing brackets", "1}]"),
  TORN_CASE ("the wrong bracket", "{\"x\":[1}"),
  TORN_CASE ("text that is no JSON", "x=\"a\", {y,z} 'q"),
  TORN_CASE ("a comma", "1,2"),
  TORN_CASE ("a name of the frame", "{\"id\":{\"n\":\"f\"},\"x\":\""),
  TORN_CASE ("names of the frame, closed", "{\"id\":{\"n\":\"f\"},\"whole\":1"),
  TORN_CASE ("nothing", ""),
  { "an item without its end",
    LIST ("{\"id\":{\"n\":\"a\"},\"whole\":{\"x\":\"zo," ITEM ("b", "2")), 9,
    READ_LIST ("{\"id\":{\"n\":\"a\"},\"whole\":null}," READ_ITEM ("b", "2")) },
  { "an item cut off in its name", LIST ("{\"id\":{\"n\":\"," ITEM ("b", "2")),
    9, READ_LIST ("null," READ_ITEM ("b", "2")) },
  { "items of other kinds after a torn one, which takes them with it",
    LIST (ITEM ("a", "{") ",7,\"x\",[],null,{\"q\":1},1e999," ITEM ("b", "2")),
    9,
    READ_LIST ("{\"id\":{\"n\":\"a\"},\"whole\":null}"
               "," READ_ITEM ("b", "2")) },
  { "items of other kinds before a torn one",
    LIST (ITEM ("a", "1") ",7,\"x\",{\"q\":1},1e999," ITEM ("b", "{") "," ITEM (
        "c", "3")),
    9,
    READ_LIST (READ_ITEM ("a", "1") ",7,\"x\",{\"q\":1},null," READ_ITEM (
        "b", "null") "," READ_ITEM ("c", "3")) },
  { "an item twice", LIST (ITEM ("a", "{") "," ITEM ("a", "2")), 9,
    READ_LIST (READ_ITEM ("a", "null") "," READ_ITEM ("a", "2")) },
  { "an item inside of one that is no JSON",
    LIST (ITEM ("a", "[" ITEM ("x", "1e999") "," ITEM ("y", "1") "]") "," ITEM (
        "b", "2")),
    9, READ_LIST (READ_ITEM ("a", "null") "," READ_ITEM ("b", "2")) },
  { "white space around a torn item",
    "{ \"list\" : [ { \"id\" : 1 , \"whole\" : { \"x } , { \"id\" : 2 ,"
    " \"whole\" : 3 } ] , \"at\" : 9 }",
    9, READ_LIST ("{\"id\":1,\"whole\":null},{\"id\":2,\"whole\":3}") },
  /* A list that was cut off itself must not count as complete. */
  { "a list cut off after an item", "{\"list\":[" ITEM ("a", "1e999") ",", 9,
    NULL },
  { "a list cut off in an item", "{\"at\":9,\"list\":[{\"id\":1,\"whole\":{\"x",
    9, NULL },
  { "a list cut off before its bracket", "{\"list\":[" ITEM ("a", "{"), 9,
    NULL },
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

/* A list of torn items must not take a time that grows with its square. */
static void
test_many_torn_items (void **state)
{
  static const char *const torn[] = { "{\"x\":\"", "[[[[", "{\"x\":1", "1}]" };
  const size_t count = 20000;

  (void)state;
  for (size_t i = 0; i < sizeof torn / sizeof torn[0]; i++)
    {
      size_t size = 0;
      char *text = malloc (count * 64);
      json_t *json;
      clock_t start = clock ();

      assert_non_null (text);
      size += (size_t)sprintf (text, "{\"list\":[");
      for (size_t j = 0; j < count; j++)
        size += (size_t)sprintf (text + size, "%s{\"id\":%zu,\"whole\":%s}",
                                 j > 0 ? "," : "", j, torn[i]);
      size += (size_t)sprintf (text + size, "]}");
      json = json_load_parts (text, size, "whole", 3);
      assert_int_equal (json_array_size (json_object_get (json, "list")),
                        count);
      /* Processor time; a square would take minutes. */
      assert_true (clock () - start < 10 * CLOCKS_PER_SEC);
      json_decref (json);
      free (text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parts),
    cmocka_unit_test (test_deep_nesting),
    cmocka_unit_test (test_many_torn_items),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
