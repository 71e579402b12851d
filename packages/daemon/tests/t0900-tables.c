#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "burn.h"
#include "demand.h"
#include "ring.h"

struct ring_case
{
  const char *kind;
  const char *id;
  size_t found; /* SIZE_MAX = the question is refused */
};

static const char *const lines[] = {
  "<30>T h d[1]: event=request-end request_id=r1 endpoint=e1 code=0",
  "<30>T h d[1]: event=request-end request_id=r11 endpoint=e2 code=0",
  "<29>T h d[1]: event=placement step=form group=g1 reason=\"r1 and e1\"",
  "<29>T h d[1]: event=order-sent host=e1 op=load group=g1",
  "<29>T h d[1]: event=quoted host=\"e 1\" group=g2",
};

/* An explanation must show the lines of its subject and of no other. */
static const struct ring_case ring_cases[] = {
  { "request", "r1", 1 },   { "request", "r11", 1 },      { "request", "r", 0 },
  { "group", "g1", 2 },     { "host", "e1", 2 },          { "host", "e 1", 1 },
  { "host", "", SIZE_MAX }, { "colour", "g1", SIZE_MAX },
};

static void
test_ring (void **state)
{
  static struct ring ring;

  (void)state;
  ring_init (&ring);
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    ring_add (&ring, lines[i], 1000);
  for (size_t i = 0; i < sizeof ring_cases / sizeof ring_cases[0]; i++)
    {
      const struct ring_case *c = &ring_cases[i];
      json_t *found = ring_find (&ring, c->kind, c->id);

      if ((found == NULL ? SIZE_MAX : json_array_size (found)) != c->found)
        fail_msg ("case %s \"%s\"", c->kind, c->id);
      json_decref (found);
    }
  /* The oldest lines go first, and nothing is lost before it must be. */
  for (size_t i = 0; i < RING_LINES - 1; i++)
    ring_add (&ring, "x event=filler host=f", 2000);
  json_t *found = ring_find (&ring, "host", "e 1");
  assert_int_equal (json_array_size (found), 1);
  json_decref (found);
  ring_add (&ring, "x event=filler host=f", 2000);
  found = ring_find (&ring, "host", "e 1");
  assert_int_equal (json_array_size (found), 0);
  json_decref (found);
  ring_finish (&ring);
}

static json_int_t
burn_value (const struct burn *burn, int window_s, const char *name)
{
  json_t *json = burn_to_json (burn);
  json_t *entry;
  json_int_t value = -1;
  size_t i;

  json_array_foreach (json_object_get (json, "windows"), i, entry)
    if (json_integer_value (json_object_get (entry, "window_s")) == window_s)
      value = json_integer_value (json_object_get (entry, name));
  json_decref (json);
  return value;
}

/* Old losses must leave the short window and stay in the long ones. */
static void
test_burn_windows (void **state)
{
  const char *labels = "customer=\"c\",target=\"model/m\"";
  struct counter_set counters;
  struct burn burn;
  int64_t now_ms = 0;

  (void)state;
  counter_set_init (&counters, 100);
  burn_init (&burn, 0, 5000);
  counter_add (&counters, "waxwing_slo_total", labels, 10);
  counter_add (&counters, "waxwing_slo_good_total", labels, 4);
  burn_tick (&burn, &counters, now_ms);
  assert_int_equal (burn_value (&burn, 300, "total"), 10);
  assert_int_equal (burn_value (&burn, 300, "good"), 4);
  for (int minute = 1; minute <= 10; minute++)
    {
      now_ms += 60000;
      counter_add (&counters, "waxwing_slo_total", labels, 1);
      counter_add (&counters, "waxwing_slo_good_total", labels, 1);
      burn_tick (&burn, &counters, now_ms);
    }
  assert_int_equal (burn_value (&burn, 300, "total"), 5);
  assert_int_equal (burn_value (&burn, 300, "good"), 5);
  assert_int_equal (burn_value (&burn, 3600, "total"), 20);
  assert_int_equal (burn_value (&burn, 3600, "good"), 14);
  /* A jump over more than the whole time leaves nothing behind. */
  now_ms += INT64_C (10) * 24 * 3600 * 1000;
  burn_tick (&burn, &counters, now_ms);
  assert_int_equal (burn_value (&burn, 3 * 24 * 3600, "total"), 0);
  burn_finish (&burn);
  counter_set_finish (&counters);
}

static void
test_demand (void **state)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  struct demand demand;

  (void)state;
  demand_init (&demand);
  demand_take (&demand, "e1", "model/m", 3, 100);
  demand_take (&demand, "e2", "model/m", 4, 200);
  demand_take (&demand, "e1", "model/m2", 9, 100);
  demand_take (&demand, "e1", "model/m", 5, 300);
  assert_int_equal (demand_peers (&demand, "model/m", peers), 2);
  assert_int_equal (peers[0].demand + peers[1].demand, 9);
  assert_int_equal (demand_peers (&demand, "model", peers), 0);
  demand_finish (&demand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ring),
    cmocka_unit_test (test_burn_windows),
    cmocka_unit_test (test_demand),
  };

  return cmocka_run_group_tests_name ("daemon-tables", tests, NULL, NULL);
}
