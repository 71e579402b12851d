#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "in-force.h"

#define STATUS_LIMIT 3
#define PLACE_LIMIT 3

struct expected_place
{
  const char *data_centre;
  enum in_force_state state;
  unsigned live;
  unsigned have;
  bool by_peers;
  const char *lagging;
};

struct in_force_case
{
  const char *name;
  const char *statuses[STATUS_LIMIT]; /* "" = no answer */
  const char *expect;                 /* a data centre named beforehand */
  enum in_force_subject subject;
  struct expected_place places[PLACE_LIMIT];
};

#define STATUS(host, dc, sheet, peers)                                         \
  "{\"host\":\"" host "\",\"data_centre\":\"" dc                               \
  "\",\"sheet\":{\"number\":" sheet "},\"control\":{\"number\":" sheet         \
  "},\"peers\":[" peers "]}"
#define PEER(host, dc, state, sheet)                                           \
  "{\"host\":\"" host "\",\"data_centre\":\"" dc "\",\"state\":\"" state       \
  "\",\"sheet_number\":" sheet "}"

/* Each case asks for number 5. */
static const struct in_force_case in_force_cases[] = {
  { "the only daemon has it",
    { STATUS ("a", "casa-1", "5", "") },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a higher number counts too",
    { STATUS ("a", "casa-1", "6", "") },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a live peer lags",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "4")) },
    .places = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "a suspect peer nearby is still live",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "suspect", "4")) },
    .places = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "a dead peer does not hold it up",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "dead", "4")) },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "its own answer is newer than what a peer saw",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "4")),
      STATUS ("b", "casa-1", "5", PEER ("a", "casa-1", "alive", "4")) },
    .places = { { "casa-1", IN_FORCE_YES, 2, 2, false, "" } } },
  { "a daemon that answers is live whatever a peer says",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "dead", "5")),
      STATUS ("b", "casa-1", "4", "") },
    .places = { { "casa-1", IN_FORCE_PENDING, 2, 1, false, "b" } } },
  { "another data centre is told of by peers",
    { STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "alive", "5")) },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                { "casa-2", IN_FORCE_YES, 1, 1, true, "" } } },
  { "suspect from afar means that it cannot be reached",
    { STATUS ("a", "casa-1", "5", PEER ("c", "casa-2", "suspect", "5")) },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                { "casa-2", IN_FORCE_UNKNOWN, 0, 0, true, "" } } },
  { "the view from the own data centre decides",
    { STATUS ("a", "casa-1", "5", PEER ("d", "casa-2", "alive", "5")),
      STATUS ("c", "casa-2", "5", PEER ("d", "casa-2", "dead", "3")) },
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" },
                { "casa-2", IN_FORCE_YES, 1, 1, false, "" } } },
  { "the view from the own data centre decides, in the other order",
    { STATUS ("c", "casa-2", "5", PEER ("d", "casa-2", "dead", "3")),
      STATUS ("a", "casa-1", "5", PEER ("d", "casa-2", "alive", "3")) },
    .places = { { "casa-2", IN_FORCE_YES, 1, 1, false, "" },
                { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "no answer from a data centre that the sheet names",
    { STATUS ("a", "casa-1", "5", ""), "" },
    .expect = "casa-3",
    .places = { { "casa-3", IN_FORCE_UNKNOWN, 0, 0, true, "" },
                { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "peers do not tell the number of the control object",
    { STATUS ("a", "casa-1", "5", PEER ("b", "casa-1", "alive", "9")) },
    .subject = IN_FORCE_CONTROL,
    .places = { { "casa-1", IN_FORCE_YES, 1, 1, false, "" } } },
  { "a daemon without a number has none",
    { "{\"host\":\"a\",\"data_centre\":\"casa-1\"}" },
    .places = { { "casa-1", IN_FORCE_PENDING, 1, 0, false, "a" } } },
  { "an answer without a host is no daemon",
    { "{\"data_centre\":\"casa-1\",\"sheet\":{\"number\":9}}" },
    .expect = "casa-1",
    .places = { { "casa-1", IN_FORCE_UNKNOWN, 0, 0, true, "" } } },
};

static void
check_case (const struct in_force_case *in_force_case)
{
  const json_t *statuses[STATUS_LIMIT] = { NULL };
  struct in_force in_force;
  size_t expected = 0;

  in_force_init (&in_force);
  for (size_t i = 0; i < STATUS_LIMIT; i++)
    if (in_force_case->statuses[i] != NULL)
      statuses[i] = json_loads (in_force_case->statuses[i], 0, NULL);
  if (in_force_case->expect != NULL)
    assert_int_equal (in_force_expect (&in_force, in_force_case->expect),
                      RESULT_OK);
  assert_int_equal (in_force_update (&in_force, in_force_case->subject, 5,
                                     statuses, STATUS_LIMIT),
                    RESULT_OK);
  for (; expected < PLACE_LIMIT; expected++)
    {
      const struct expected_place *wanted = &in_force_case->places[expected];
      const struct in_force_place *place = &in_force.places[expected];

      if (wanted->data_centre == NULL)
        break;
      if (expected >= in_force.count
          || strcmp (place->data_centre, wanted->data_centre) != 0
          || place->state != wanted->state || place->live != wanted->live
          || place->have != wanted->have || place->by_peers != wanted->by_peers
          || strcmp (place->lagging, wanted->lagging) != 0)
        fail_msg ("%s: place %zu", in_force_case->name, expected);
    }
  assert_int_equal (in_force.count, expected);
  for (size_t i = 0; i < STATUS_LIMIT; i++)
    json_decref ((json_t *)statuses[i]);
  in_force_finish (&in_force);
}

/* A sheet called in force while a live daemon still has an older one. */
static void
test_in_force_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof in_force_cases / sizeof in_force_cases[0]; i++)
    check_case (&in_force_cases[i]);
}

/* A state of an earlier round that sticks. */
static void
test_in_force_is_renewed (void **state)
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
    cmocka_unit_test (test_in_force_is_renewed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
