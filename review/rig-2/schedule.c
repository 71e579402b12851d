#include "schedule.h"

#include "timeutil.h"
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Slots of an endpoint: so many that no request waits for one. */
#define SLOTS 200
/* As registry-read of smes-gauge. */
#define DEADLINE_MS 4000
/* Two deadlines: a caller asks, and once more when the first one has passed. */
#define SILENCE_MS 8000
#define CALL_INTERVAL_MS 200
#define CALL_LIMIT 1024
#define CALM_MS 4000
#define CROWD_MS 40000
#define MEMORY_BYTES ((long)WORLD_MEMORY_MB << 20)

struct call
{
  struct http_call http;
  bool is_open;
  bool in_crowd; /* sent while the crowd was there */
  unsigned number;
  unsigned status; /* 0 = no answer by the deadline */
  int64_t sent_ms;
  int64_t took_ms;
  struct world *world;
};

static struct world world;
static struct call calls[CALL_LIMIT];
static unsigned call_count;

static void
on_answer (void *context, bool has_response, unsigned status)
{
  struct call *call = context;

  call->took_ms = time_boot_ms () - call->sent_ms;
  if (has_response && call->took_ms <= DEADLINE_MS)
    call->status = status;
  call->is_open = false;
  world_note (call->world, "caller: request %u: %s %u after %lld ms",
              call->number, has_response ? "answer" : "no answer", status,
              (long long)call->took_ms);
  http_call_finish (&call->http);
}

static void
send_call (bool in_crowd)
{
  struct call *call = &calls[call_count];
  struct http_text text;

  if (call_count == CALL_LIMIT)
    return;
  *call = (struct call){ .in_crowd = in_crowd,
                         .number = call_count,
                         .sent_ms = time_boot_ms (),
                         .world = &world };
  http_text_init (&text);
  http_text_format (&text,
                    "GET /registry/%u HTTP/1.1\r\nHost: " WORLD_HOST_HEADER
                    "\r\nX-Attempt-Id: 00000000%08x\r\nX-Deadline-Ms: %d\r\n"
                    "Connection: close\r\n\r\n",
                    call_count, call_count, DEADLINE_MS);
  world_note (&world, "caller: request %u sent", call_count);
  call_count++;
  call->is_open
      = http_call_start (&call->http, world.base, world.address,
                         WORLD_FRONT_PORT, DEADLINE_MS, &text, on_answer, call)
        == RESULT_OK;
}

/* Gives up calls whose deadline has passed. */
static void
end_late_calls (void)
{
  for (unsigned i = 0; i < call_count; i++)
    if (calls[i].is_open && time_boot_ms () - calls[i].sent_ms > DEADLINE_MS)
      on_answer (&calls[i], false, 0);
}

static void
play_callers (int64_t for_ms, bool in_crowd)
{
  int64_t until_ms = time_boot_ms () + for_ms;
  int64_t next_ms = 0;

  while (time_boot_ms () < until_ms && world.is_host_alive)
    {
      if (time_boot_ms () >= next_ms)
        {
          send_call (in_crowd);
          next_ms = time_boot_ms () + CALL_INTERVAL_MS;
        }
      world_step (&world);
      end_late_calls ();
    }
}

static void
start_crowd (const struct crowd_kind *kinds, unsigned kind_count)
{
  struct crowd_plan plan = {
    .address = world.address,
    .port = WORLD_FRONT_PORT,
    .target = "/registry/crowd",
  };
  pid_t pid;

  memcpy (plan.kinds, kinds, kind_count * sizeof plan.kinds[0]);
  pid = fork ();
  if (pid == 0)
    crowd_play (&plan);
  world_adopt (&world, pid);
}

/* Counts the requests that were sent, or those that were answered in time. */
static unsigned
count_calls (bool in_crowd, bool answered_only)
{
  unsigned count = 0;

  for (unsigned i = 0; i < call_count; i++)
    if (calls[i].in_crowd == in_crowd
        && (!answered_only || calls[i].status != 0))
      count++;
  return count;
}

/* Reports the longest time in which no request that was sent got its answer. */
static int64_t
report_silence (void)
{
  int64_t longest_ms = 0;
  int64_t since_ms = 0;

  for (unsigned i = 0; i < call_count; i++)
    {
      if (calls[i].status != 0 || !calls[i].in_crowd)
        since_ms = 0;
      else if (since_ms == 0)
        since_ms = calls[i].sent_ms;
      if (since_ms != 0
          && calls[i].sent_ms - since_ms + CALL_INTERVAL_MS > longest_ms)
        longest_ms = calls[i].sent_ms - since_ms + CALL_INTERVAL_MS;
    }
  world_report (&world,
                "for at most %lld ms none of the requests that were sent was "
                "answered by its deadline",
                (long long)longest_ms);
  return longest_ms;
}

/* True if callers got their answers and the host kept within its machine. */
static bool
check_rule (void)
{
  unsigned sent = count_calls (true, false);
  unsigned answered = count_calls (true, true);
  int64_t silence_ms = report_silence ();

  world_report (&world,
                "before: %u requests sent, %u answered; then: %u sent, %u "
                "answered; the host held at most %ld MB of %d and is %s",
                count_calls (false, false), count_calls (false, true), sent,
                answered, world.peak_bytes >> 20, WORLD_MEMORY_MB,
                world.is_host_alive ? "alive" : "gone");
  return answered + answered >= sent && silence_ms < SILENCE_MS
         && world.is_host_alive && world.peak_bytes <= MEMORY_BYTES;
}

int
schedule_play (const struct crowd_kind *kinds,
               unsigned kind_count,
               int argument_count,
               char **arguments)
{
  const char *trouble = getenv ("TROUBLE");
  bool has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  bool holds;

  if (argument_count != 3)
    return 2;
  world_init (&world, arguments[2], SLOTS);
  world_start_host (&world, arguments[1]);
  play_callers (CALM_MS, false);
  if (has_trouble)
    start_crowd (kinds, kind_count);
  play_callers (CROWD_MS, true);
  world_run_for (&world, DEADLINE_MS);
  end_late_calls ();
  holds = check_rule ();
  world_finish (&world);
  if (count_calls (false, true) < count_calls (false, false))
    return 2;
  return holds ? 0 : 1;
}
