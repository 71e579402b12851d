#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "in-force.h"

#define STATUS_LIMIT 3
#define DATA_CENTRE_LIMIT 3

struct expected_data_centre_state
{
  const char *data_centre;
  enum in_force_state state;
  unsigned live_count;
  unsigned current_count;
  bool reported_by_peers;
  const char *lagging_hosts;
};

struct in_force_case
{
  const char *name;
  const char *statuses[STATUS_LIMIT]; /* NULL or "" = no response */
  const char *expected_data_centre;   /* argument of in_force_expect, or NULL */
  enum in_force_object object;
  struct expected_data_centre_state data_centres[DATA_CENTRE_LIMIT];
};

#define STATUS(host, dc, sheet, peers)                                         \
  "{\"host\":\"" host "\",\"data_centre\":\"" dc                               \
  "\",\"sheet\":{\"number\":" sheet "},\"control\":{\"number\":" sheet         \
  "},\"peers\":[" peers "]}"
#define PEER(host, dc, state, sheet)                                           \
  "{\"host\":\"" host "\",\"data_centre\":\"" dc "\",\"state\":\"" state       \
  "\",\"sheet_number\":" sheet "}"

/* Names of 60 bytes; four of them fit the list of lagging daemons. */
#define LONG_NAME(n)                                                           \
  "daemon-of-a-host-with-a-name-that-is-nearly-as-long-as-can-" n
#define LONG_PEER(n) PEER (LONG_NAME (n), "casa-1", "alive", "4")

/* Each case queries where number 5 is in force. */
static const struct in_force_case in_force_cases[] = {
  { "the only daemon has the number",
    { STATUS ("a", "casa-1", "5", "") },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a higher number counts too",
    { STATUS ("a", "casa-1", "6", "") },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a live peer lags",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "4")) },
    .data_centres = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "daemons that lag are left out without a mark",
    { STATUS (
        "a",
        "casa-1",
        "5",
        LONG_PEER ("1") "," LONG_PEER ("2") "," LONG_PEER ("3") "," LONG_PEER (
            "4") "," LONG_PEER ("5") "," LONG_PEER ("6")) },
    .data_centres = { { "casa-1", IN_FORCE_PENDING, 7, 1, false,
                        LONG_NAME ("1") " " LONG_NAME ("2") " " LONG_NAME (
                            "3") " " LONG_NAME ("4") " ..." } } },
  { "a suspect peer of the same data centre is still live",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "suspect", "4")) },
    .data_centres = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "a dead peer is not counted",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "dead", "4")) },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a daemon's own response overrides the view of a peer",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "4")),
      STATUS ("b", "casa-1", "5", PEER ("a", "casa-1", "alive", "4")) },
    .data_centres = { { "casa-1", IN_FORCE_YES, 2, 2, false, "" } } },
  { "a daemon that responds is live, also if a peer reports it dead",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "dead", "5")),
      STATUS ("b", "casa-1", "4", "") },
    .data_centres = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "another data centre is known through peers only",
    { STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "alive", "5")) },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                      { "casa-2", IN_FORCE_YES, 1, 1, true, "" } } },
  { "a suspect peer of another data centre is unreachable",
    { STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "suspect", "5")) },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                      { "casa-2", IN_FORCE_UNKNOWN, 0, 0, true, "" } } },
  { "the view from the own data centre takes precedence",
    { STATUS ("a", "casa-1", "5", PEER ("d", "casa-2", "alive", "5")),
      STATUS ("c", "casa-2", "5", PEER ("d", "casa-2", "dead", "3")) },
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                      { "casa-2", IN_FORCE_YES, 1, 1, false, "" } } },
  { "the view from the own data centre takes precedence, other order",
    { STATUS ("c", "casa-2", "5", PEER ("d", "casa-2", "dead", "3")),
      STATUS ("a", "casa-1", "5", PEER ("d", "casa-2", "alive", "3")) },
    .data_centres = { { "casa-2", IN_FORCE_YES, 1, 1, false, "" },
                      { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "no response from a data centre that the sheet names",
    { STATUS ("a", "casa-1", "5", ""), "" },
    .expected_data_centre = "casa-3",
    .data_centres = { { "casa-3", IN_FORCE_UNKNOWN, 0, 0, true, "" },
                      { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "peers do not report the number of the control object",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "9")) },
    .object = IN_FORCE_CONTROL,
    .data_centres = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a response without a number counts as a lower number",
    { "{\"host\":\"a\",\"data_centre\":\"casa-1\"}" },
    .data_centres = { { "casa-1", IN_FORCE_PENDING, 1, 0, false, "a" } } },
  { "a response without a host is ignored",
    { "{\"data_centre\":\"casa-1\",\"sheet\":{\"number\":9}}" },
    .expected_data_centre = "casa-1",
    .data_centres = { { "casa-1", IN_FORCE_UNKNOWN, 0, 0, true, "" } } },
};

static void
assert_in_force_case (const struct in_force_case *in_force_case)
{
  const json_t *statuses[STATUS_LIMIT] = { NULL };
  struct in_force in_force;
  size_t expected = 0;

  in_force_init (&in_force);
  for (size_t i = 0; i < STATUS_LIMIT; i++)
    if (in_force_case->statuses[i] != NULL)
      statuses[i] = json_loads (in_force_case->statuses[i], 0, NULL);
  if (in_force_case->expected_data_centre != NULL)
    assert_int_equal (
        in_force_expect (&in_force, in_force_case->expected_data_centre),
        RESULT_OK);
  assert_int_equal (in_force_update (&in_force, in_force_case->object, 5,
                                     statuses, STATUS_LIMIT),
                    RESULT_OK);
  for (; expected < DATA_CENTRE_LIMIT; expected++)
    {
      const struct expected_data_centre_state *wanted
          = &in_force_case->data_centres[expected];
      const struct in_force_data_centre *centre
          = &in_force.data_centres[expected];

      if (wanted->data_centre == NULL)
        break;
      if (expected >= in_force.count
          || strcmp (centre->data_centre, wanted->data_centre) != 0
          || centre->state != wanted->state
          || centre->live_count != wanted->live_count
          || centre->current_count != wanted->current_count
          || centre->reported_by_peers != wanted->reported_by_peers
          || strcmp (centre->lagging_hosts, wanted->lagging_hosts) != 0)
        fail_msg ("%s: data centre %zu", in_force_case->name, expected);
    }
  assert_int_equal (in_force.count, expected);
  for (size_t i = 0; i < STATUS_LIMIT; i++)
    json_decref ((json_t *)statuses[i]);
  in_force_finish (&in_force);
}

/*
 * Guards against reporting a sheet as in force while a live daemon still has an
 * older one.
 */
static void
test_in_force_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof in_force_cases / sizeof in_force_cases[0]; i++)
    assert_in_force_case (&in_force_cases[i]);
}

/* An update must not keep states of the previous one. */
static void
test_update_replaces_states (void **state)
{
  const json_t *before = json_loads (
      STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "alive", "5")), 0, NULL);
  const json_t *after = json_loads (
      STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "dead", "5")), 0, NULL);
  struct in_force in_force;

  (void)state;
  in_force_init (&in_force);
  assert_int_equal (in_force_update (&in_force, IN_FORCE_SHEET, 5, &before, 1),
                    RESULT_OK);
  assert_int_equal (in_force_count (&in_force, IN_FORCE_YES), 2);
  assert_int_equal (in_force_update (&in_force, IN_FORCE_SHEET, 5, &after, 1),
                    RESULT_OK);
  assert_int_equal (in_force_count (&in_force, IN_FORCE_YES), 1);
  assert_int_equal (in_force_count (&in_force, IN_FORCE_UNKNOWN), 1);
  in_force_finish (&in_force);
  json_decref ((json_t *)before);
  json_decref ((json_t *)after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_in_force_cases),
    cmocka_unit_test (test_update_replaces_states),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
