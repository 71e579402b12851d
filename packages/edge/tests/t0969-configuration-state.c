#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "configuration-state.h"

#define NOW_MS 100000
#define IN_FORCE_MS 2000

struct state_case
{
  const char *guards; /* failure that the case guards against */
  struct configuration_facts facts;
  struct configuration_action action;
};

#define RELIES .own_version = 7
#define READS .own_version = 7, .reads_platform = true
#define NEWER(since_ms, ago_ms)                                                \
  .newest_version = 8, .newer_since_ms = NOW_MS - (since_ms),                  \
  .newer_at_ms = NOW_MS - (ago_ms)

static const struct state_case state_cases[] = {
  { "a current host reads the record", { RELIES, .newest_version = 7 } },
  { "a current reader reads the record", { READS } },
  { "a host does not read what its hub reports",
    { RELIES, NEWER (300, 0) },
    { .reads_record = true } },
  { "a host reads what a patch brings",
    { RELIES, NEWER (100, 0), .is_patch_awaited = true } },
  { "a host without a configuration does not read it",
    { .newest_version = 8, .newer_since_ms = NOW_MS, .newer_at_ms = NOW_MS },
    { .reads_record = true } },
  { "a reader that follows the store reads the record as well",
    { READS, NEWER (300, 0) } },
  { "a reader repeats calls that cannot succeed",
    { READS, .unusable_since_ms = NOW_MS - 1 },
    { .reads_record = true } },
  { "a host goes on with a version that it knows to be old",
    { RELIES, NEWER (2001, 0) },
    { .reads_record = true, .is_outdated = true } },
  { "a reader goes on with a version that it knows to be old",
    { READS, NEWER (2001, 300), .unusable_since_ms = NOW_MS - 2500 },
    { .reads_record = true, .is_outdated = true } },
  { "a report of the version before counts after the new one came",
    { .own_version = 8, NEWER (2001, 0) } },
  { "a new version is an outage before it must be in force",
    { RELIES, NEWER (2000, 0) },
    { .reads_record = true } },
  { "a host that is cut off refuses for what it heard before",
    { RELIES, NEWER (9000, 1201) },
    { .reads_record = true } },
  { "a host goes on without changes that it could not read",
    { READS, .unusable_since_ms = NOW_MS - 2001,
      .missed_since_ms = NOW_MS - 2001 },
    { .reads_record = true, .is_outdated = true } },
  { "a list that succeeds at once costs requests",
    { READS, .unusable_since_ms = NOW_MS - 400,
      .missed_since_ms = NOW_MS - 400 },
    { .reads_record = true } },
  { "a key that a copy brings back is accepted",
    { RELIES, .copy_read_ms = NOW_MS - 2499 },
    { .is_outdated = true } },
  { "a reader accepts a key that a copy brings back",
    { READS, .copy_read_ms = NOW_MS },
    { .is_outdated = true } },
  { "a host refuses although a hub has no newer version",
    { RELIES, .copy_read_ms = NOW_MS - 300, .is_confirmed = true } },
  { "a host whose hubs are lost refuses for ever",
    { RELIES, .copy_read_ms = NOW_MS - 2500 } },
  { "responses that are damaged for long count as a newer version",
    { READS, .unusable_since_ms = NOW_MS - 9000 },
    { .reads_record = true } },
};

static void
test_states (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof state_cases / sizeof state_cases[0]; i++)
    {
      const struct state_case *c = &state_cases[i];
      struct configuration_facts facts = c->facts;
      struct configuration_action action;

      facts.now_ms = NOW_MS;
      facts.in_force_ms = IN_FORCE_MS;
      action = configuration_decide (&facts);
      if (action.reads_record != c->action.reads_record
          || action.is_outdated != c->action.is_outdated)
        fail_msg ("%s: reads %d, outdated %d", c->guards, action.reads_record,
                  action.is_outdated);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_states),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
