#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "status-changes.h"

struct change_case
{
  const char *before;   /* response of GET /status; NULL = no response */
  const char *after;    /* response of the next round; NULL = no response */
  const char *expected; /* lines joined by '|' */
};

static const struct change_case change_cases[] = {
  { NULL, NULL, "" },
  { "{\"host\":\"a\"}", "{\"host\":\"a\"}", "" },
  { "{\"host\":\"a\"}", NULL, "e: cannot be reached" },
  { NULL, "{\"host\":\"a\",\"data_centre\":\"casa-1\"}",
    "e: a in casa-1 answers" },
  { "{\"sheet\":{\"number\":1}}", "{\"sheet\":{\"number\":2}}",
    "e: sheet 1 -> 2" },
  { "{\"boot_id\":\"x\",\"lease\":{\"holder\":\"a\"}}",
    "{\"boot_id\":\"y\",\"lease\":{\"holder\":\"\"}}",
    "e: boot x -> y|e: lease holder a -> none" },
  { "{\"groups\":[{\"id\":\"g\",\"serving\":\"serving\"},{\"id\":\"h\"}]}",
    "{\"groups\":[{\"id\":\"g\",\"serving\":\"incomplete\"}]}",
    "group g: serving serving -> incomplete|group h: gone" },
  { "{\"peers\":[]}", "{\"peers\":[{\"host\":\"b\",\"state\":\"alive\"}]}",
    "peer b: state none -> alive" },
  { "{\"quarantine\":[{\"fingerprint\":\"f\"}]}",
    "{\"quarantine\":[{\"fingerprint\":\"g\"}]}",
    "quarantined request g: new|quarantined request f: gone" },
  /* Malformed arrays must not crash the command. */
  { "{\"peers\":{}}", "{\"peers\":[1,null,{\"host\":2}],\"sheet\":[]}", "" },
};

/* Guards against a missing or a false change shown to the operator. */
static void
test_changes_are_described (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof change_cases / sizeof change_cases[0]; i++)
    {
      const struct change_case *change_case = &change_cases[i];
      json_t *before = NULL;
      json_t *after = NULL;
      json_t *lines;
      char text[512];
      FILE *out = fmemopen (text, sizeof text, "w");
      size_t index;
      const json_t *line;

      if (change_case->before != NULL)
        before = json_loads (change_case->before, 0, NULL);
      if (change_case->after != NULL)
        after = json_loads (change_case->after, 0, NULL);
      assert_non_null (out);
      lines = status_changes_describe ("e", before, after);
      json_array_foreach (lines, index, line)
        {
          fprintf (out, "%s%s", index > 0 ? "|" : "", json_string_value (line));
        }
      fputc ('\0', out);
      fclose (out);
      assert_string_equal (text, change_case->expected);
      json_decref (lines);
      json_decref (before);
      json_decref (after);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_changes_are_described),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
