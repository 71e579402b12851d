#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "request-limit.h"
#include "rng.h"

/*
 * Entry hosts that share the request limit of one endpoint, in virtual time.
 * Guards against hosts that keep the limit each for itself, and against sums
 * that exceed it when hosts end, start or lose touch.  The upper bound is that
 * of the users' rule, for every span of 4 s; requests of hosts that are cut off
 * count too.
 */

#define HOST_LIMIT 125
#define RUN_MS 30000
#define STATED_MS 2000 /* when the endpoint first states its limit */
#define JUDGED_MS 5000 /* from when the bound holds */
#define FAULT_MS 12000
#define FAULT_END_MS 18000
#define SPAN_MS 4000
#define SEEDS 10

enum fault
{
  NO_FAULT,
  HOSTS_END,     /* for good */
  HOSTS_RESTART, /* end, and start anew after a second */
  HOSTS_CUT,     /* the others do not hear of them, nor they of the others */
  HOSTS_SPLIT,   /* as HOSTS_CUT, but they hear of each other */
  HOSTS_PAUSE,   /* stand still, and go on with what they knew */
  REPORTS_LOST,  /* a third of all reports */
};

struct sharing_case
{
  const char *guards;
  unsigned hosts;
  unsigned report_interval_ms;
  double per_s;
  double wanted_per_s; /* of all hosts */
  unsigned busy_hosts; /* hosts that get nearly all requests; 0 = all */
  enum fault fault;
  unsigned faulty_hosts;
};

static const struct sharing_case cases[] = {
  { "twelve hosts exceed a limit", 12, 60, 5.6, 40, 0, NO_FAULT, 0 },
  { "a limit is exceeded when requests press", 12, 60, 5.6, 400, 0, NO_FAULT,
    0 },
  { "a low limit is exceeded", 12, 60, 0.7, 40, 0, NO_FAULT, 0 },
  { "an endpoint that accepts nothing gets requests", 21, 60, 0, 60, 0,
    NO_FAULT, 0 },
  { "a high limit is exceeded", 21, 60, 45, 150, 0, NO_FAULT, 0 },
  { "a limit is exceeded by one busy host", 12, 60, 6, 60, 1, NO_FAULT, 0 },
  { "a large fleet exceeds a limit", 125, 62, 10, 80, 0, NO_FAULT, 0 },
  { "a large fleet exceeds a low limit", 125, 62, 1.5, 300, 0, NO_FAULT, 0 },
  { "a limit is exceeded where hosts hear of each other late", 125, 200, 8, 100,
    0, NO_FAULT, 0 },
  { "the requests of hosts that ended are forgotten", 12, 60, 6, 80, 0,
    HOSTS_END, 6 },
  { "the requests of the one busy host are forgotten", 12, 60, 6, 80, 1,
    HOSTS_END, 1 },
  { "hosts that start exceed the limit", 12, 60, 6, 80, 0, HOSTS_RESTART, 8 },
  { "all hosts start and exceed the limit", 21, 60, 6, 80, 0, HOSTS_RESTART,
    21 },
  { "hosts that are cut off exceed the limit", 12, 60, 6, 80, 0, HOSTS_CUT, 4 },
  { "two halves of a fleet each use the whole limit", 12, 60, 6, 80, 0,
    HOSTS_SPLIT, 6 },
  { "a third of a large fleet uses the whole limit", 125, 62, 10, 120, 0,
    HOSTS_SPLIT, 42 },
  { "hosts that stood still use room that is gone", 12, 60, 6, 80, 0,
    HOSTS_PAUSE, 9 },
  { "lost reports let hosts exceed the limit", 21, 60, 6, 80, 0, REPORTS_LOST,
    21 },
};

struct host
{
  struct request_limit limit;
  struct request_limit_fleet fleet;
  bool runs;
  bool reports; /* the others receive its reports, and it theirs */
  unsigned side;
  /* Its report as the hub has it. */
  struct request_limit_report report;
  bool has_report;
};

static struct
{
  const struct sharing_case *c;
  struct host hosts[HOST_LIMIT];
  struct rng rng;
  int64_t sent_ms[RUN_MS]; /* times of the requests at the endpoint */
  unsigned sent;
} world;

static void
start_host (struct host *host, int64_t now_ms)
{
  unsigned side = host->side;

  memset (host, 0, sizeof *host);
  host->side = side;
  host->runs = true;
  host->reports = true;
  host->fleet = (struct request_limit_fleet){
    .live_hosts = 1,
    .known_hosts = world.c->hosts,
    .reported_ms = now_ms,
    .report_age_ms = world.c->report_interval_ms * 5 / 2,
  };
}

/* Delivers to each host the sum of the others' reports of one interval ago. */
static void
exchange_reports (int64_t now_ms)
{
  for (unsigned i = 0; i < world.c->hosts; i++)
    {
      struct host *host = &world.hosts[i];
      struct request_limit_report sum = { .per_s = 0 };
      bool has_sum = false;
      unsigned live = 1;

      if (!host->runs)
        continue;
      if (world.c->fault == REPORTS_LOST && rng_below (&world.rng, 3) == 0)
        continue;
      for (unsigned j = 0; j < world.c->hosts; j++)
        {
          const struct host *other = &world.hosts[j];

          if (i == j || !other->runs || other->side != host->side
              || !host->reports || !other->reports)
            continue;
          live++;
          if (!other->has_report)
            continue;
          sum.sent += other->report.sent;
          sum.wanted += other->report.wanted;
          if (!has_sum || other->report.stated_ms > sum.stated_ms)
            {
              sum.per_s = other->report.per_s;
              sum.stated_ms = other->report.stated_ms;
            }
          has_sum = true;
        }
      host->fleet.live_hosts = live;
      host->fleet.reported_ms = now_ms;
      if (has_sum)
        request_limit_note_peers (&host->limit, &sum, now_ms);
    }
  for (unsigned i = 0; i < world.c->hosts; i++)
    {
      struct host *host = &world.hosts[i];

      if (host->runs)
        host->has_report
            = request_limit_get_report (&host->limit, &host->report, now_ms);
    }
}

static void
change_hosts (int64_t now_ms)
{
  bool begins = now_ms == FAULT_MS;

  for (unsigned i = 0; i < world.c->faulty_hosts; i++)
    {
      struct host *host = &world.hosts[i];

      switch (world.c->fault)
        {
        case HOSTS_END:
          host->runs = host->runs && !begins;
          break;
        case HOSTS_RESTART:
          if (begins)
            host->runs = false;
          if (now_ms == FAULT_MS + 1000)
            start_host (host, now_ms);
          break;
        case HOSTS_CUT:
          if (begins || now_ms == FAULT_END_MS)
            host->reports = !begins;
          break;
        case HOSTS_SPLIT:
          if (begins || now_ms == FAULT_END_MS)
            host->side = begins;
          break;
        case HOSTS_PAUSE:
          if (begins || now_ms == FAULT_END_MS)
            host->runs = !begins;
          break;
        case NO_FAULT:
        case REPORTS_LOST:
          break;
        }
    }
}

static void
offer_request (int64_t now_ms)
{
  unsigned busy = world.c->busy_hosts;
  /* Without busy hosts, the share of a host grows with its number. */
  double draw = rng_real (&world.rng);
  unsigned index = (unsigned)(draw * draw * world.c->hosts);
  struct host *host;

  if (busy > 0 && rng_below (&world.rng, 20) != 0)
    index = (unsigned)rng_below (&world.rng, busy);
  /* The platform sends callers of a lost host to another one. */
  for (unsigned i = 0; i < world.c->hosts && !world.hosts[index].runs; i++)
    index = (index + 1) % world.c->hosts;
  host = &world.hosts[index];
  if (!host->runs
      || !request_limit_admit (&host->limit, &host->fleet,
                               rng_real (&world.rng), now_ms))
    return;
  request_limit_note_sent (&host->limit, now_ms);
  world.sent_ms[world.sent++] = now_ms;
  if (now_ms >= STATED_MS)
    request_limit_state (&host->limit, world.c->per_s, now_ms);
}

/* Highest number of requests in a span that begins after JUDGED_MS. */
static unsigned
find_highest_count (void)
{
  unsigned highest = 0;
  unsigned first = 0;

  for (unsigned i = 0; i < world.sent; i++)
    {
      while (world.sent_ms[first] <= world.sent_ms[i] - SPAN_MS
             || world.sent_ms[first] < JUDGED_MS)
        {
          if (first == i)
            break;
          first++;
        }
      if (world.sent_ms[i] >= JUDGED_MS && i - first + 1 > highest)
        highest = i - first + 1;
    }
  return highest;
}

static unsigned
count_between (int64_t from_ms, int64_t until_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < world.sent; i++)
    count += world.sent_ms[i] >= from_ms && world.sent_ms[i] < until_ms;
  return count;
}

static void
run (const struct sharing_case *c, uint64_t seed)
{
  double next_ms = 0;

  memset (&world, 0, sizeof world);
  world.c = c;
  rng_init (&world.rng, seed);
  for (unsigned i = 0; i < c->hosts; i++)
    start_host (&world.hosts[i], 0);
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++)
    {
      change_hosts (now_ms);
      if (now_ms % c->report_interval_ms == 0)
        exchange_reports (now_ms);
      while (next_ms <= (double)now_ms)
        {
          offer_request (now_ms);
          next_ms += 2000 * rng_real (&world.rng) / c->wanted_per_s;
        }
    }
}

static void
test_shared_limit (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct sharing_case *c = &cases[i];
      double bound = 1.5 * c->per_s * SPAN_MS / 1000 + 5;
      unsigned highest = 0;
      double used = 0;

      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          unsigned count;

          run (c, seed);
          count = find_highest_count ();
          highest = count > highest ? count : highest;
          used += count_between (JUDGED_MS, FAULT_MS)
                  / (c->per_s * SEEDS * (FAULT_MS - JUDGED_MS) / 1000 + 0.001);
        }
      print_message ("%s: %u of %.0f in 4 s, %.2f of the limit used\n",
                     c->guards, highest, bound, used);
      if (highest > bound)
        fail_msg ("%s: %u requests in 4 s, bound %.0f", c->guards, highest,
                  bound);
      /* Requests are not refused while the endpoint would accept them. */
      if (c->per_s >= 1 && c->wanted_per_s > 2 * c->per_s && used < 0.6)
        fail_msg ("%s: only %.2f of the limit used", c->guards, used);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_shared_limit) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
