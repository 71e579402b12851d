#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Ids of requests have any length that fits the limit of a head.  The sizes lie
 * around that of the array that once held them.
 */

#define ID_LIMIT 15000

static char id[ID_LIMIT + 1];
static char request[ID_LIMIT + 256];
static char response[ID_LIMIT + 256];

enum answer
{
  ANSWER_OWN,    /* to this request */
  ANSWER_TWIN,   /* to another one, whose id begins with the same bytes */
  ANSWER_SHORTER /* the same, but for the last byte */
};

static const struct
{
  const char *guards;
  size_t size;
  enum answer answer;
  unsigned status;
} id_cases[] = {
  { "an id of 63 bytes is not that of its answer", 63, ANSWER_OWN, 200 },
  { "an id of 64 bytes is cut, and its answer is dropped", 64, ANSWER_OWN,
    200 },
  { "an id of 65 bytes is cut", 65, ANSWER_OWN, 200 },
  { "an id of 4,096 bytes is cut", 4096, ANSWER_OWN, 200 },
  { "an id near the limit of a head is cut", ID_LIMIT, ANSWER_OWN, 200 },
  { "the answer to an id with the same beginning is passed on", 64, ANSWER_TWIN,
    504 },
  { "the answer to a long id with the same beginning is passed on", 4096,
    ANSWER_TWIN, 504 },
  { "the answer to an id that is a beginning of this one is passed on", 65,
    ANSWER_SHORTER, 504 },
};

static void
test_ids (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof id_cases / sizeof id_cases[0]; i++)
    {
      struct relay_case c = { .guards = id_cases[i].guards,
                              .kind = CATALOG_UNSAFE,
                              .attempts = 1,
                              .request = request,
                              .status = id_cases[i].status,
                              .sends = 1,
                              .last_send_contains = id };

      memset (id, 'i', id_cases[i].size);
      id[id_cases[i].size] = '\0';
      snprintf (request, sizeof request,
                "GET /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n" KEY
                "X-Deadline: 1000\r\n\r\n",
                id);
      snprintf (response, sizeof response,
                "HTTP/1.1 200 OK\r\nX-Id: %.*s%s\r\nX-Seal: s\r\n"
                "Content-Length: 2\r\n\r\nok",
                (int)(id_cases[i].answer == ANSWER_OWN ? id_cases[i].size
                                                       : id_cases[i].size - 1),
                id, id_cases[i].answer == ANSWER_TWIN ? "j" : "");
      c.responses[0] = (struct response){ .bytes = response };
      if (c.status == 200)
        c.body = "ok";
      setup (&c);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_ids) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
