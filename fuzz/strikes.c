/*
 * Sends random requests through several entry hosts.  Some parts of prompts
 * crash each endpoint that begins to answer them, other crashes come by chance
 * and hit whatever runs.  The oracle keeps only the times of the last crash and
 * answer of each trait, and which parts are harmful.
 *
 * fuzz-runs: 1000
 */

#include "strikes.h"
#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define PARTS 8
#define HARMFUL_LIMIT 2
#define REQUESTS 4 /* fingerprints that are repeated */
#define TABLE_LIMIT 512
#define STEP_LIMIT 120
#define STEP_MS 150 /* more than STRIKES_SPACING_MS */
/*
 * Crashes by one harmful part while all hosts know all crashes: three, one for
 * each other part that has to be told from it, and those that a second harmful
 * part seems to explain.
 */
#define CRASHES_LIMIT (STRIKES_TO_QUARANTINE_ANSWERED_PART + PARTS)

struct trait_model
{
  int64_t crash_ms;  /* last crash at which it was; 0 = never */
  int64_t answer_ms; /* last answer; 0 = never */
};

struct model
{
  struct strikes hosts[HOSTS];
  unsigned harmful[HARMFUL_LIMIT];
  unsigned harmful_count;
  struct trait_model parts[PARTS];
  struct trait_model requests[REQUESTS];
  unsigned crashes[PARTS]; /* by this harmful part alone */
  bool is_told_at_once;    /* all hosts learn of each change at once */
  int64_t now_ms;
  uint64_t next_crash;
  unsigned next_fingerprint;
};

struct input
{
  const uint8_t *data;
  size_t size;
};

static unsigned
next_byte (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

/* A request: a set of parts, and a fingerprint that may be repeated. */
struct request
{
  unsigned parts;       /* bit set */
  unsigned fingerprint; /* below REQUESTS: repeated, with the same parts */
};

static struct strikes_traits
make_traits (const struct request *request)
{
  struct strikes_traits traits = { .part_count = 0 };

  snprintf (traits.fingerprint, sizeof traits.fingerprint, "f%u",
            request->fingerprint);
  for (unsigned i = 0; i < PARTS; i++)
    if (request->parts & (1U << i))
      snprintf (traits.parts[traits.part_count++], HASH_HEX_SIZE, "p%u", i);
  return traits;
}

/* One host tells another all that it knows. */
static void
tell (struct model *model, unsigned from, unsigned to)
{
  const struct strike_entry *entry = model->hosts[from].entries;

  for (; entry != NULL; entry = entry->hh.next)
    {
      struct strike_report report = { entry->kind, entry->trait, 0, 0 };

      for (unsigned i = 0; i < entry->strike_count; i++)
        {
          report.crash = entry->strikes[i].crash;
          report.at_ms = entry->strikes[i].at_ms;
          strikes_add_report (&model->hosts[to], &report, model->now_ms);
        }
      if (entry->answered_ms != STRIKES_NEVER)
        strikes_clear (&model->hosts[to], entry->trait, entry->answered_ms, 0);
    }
}

static void
tell_all (struct model *model)
{
  for (unsigned round = 0; round < 2; round++)
    for (unsigned from = 0; from < HOSTS; from++)
      for (unsigned to = 0; to < HOSTS; to++)
        if (from != to)
          tell (model, from, to);
}

static unsigned
get_harmful_parts (const struct model *model, const struct request *request)
{
  unsigned harmful = 0;

  for (unsigned i = 0; i < model->harmful_count; i++)
    harmful |= request->parts & (1U << model->harmful[i]);
  return harmful;
}

static void
note_crash (struct model *model,
            unsigned host,
            const struct request *request,
            uint64_t crash)
{
  const struct strikes_traits traits = make_traits (request);

  strikes_add_crash (&model->hosts[host], &traits, crash, model->now_ms,
                     model->now_ms);
  for (unsigned i = 0; i < PARTS; i++)
    if (request->parts & (1U << i))
      model->parts[i].crash_ms = model->now_ms;
  if (request->fingerprint < REQUESTS)
    model->requests[request->fingerprint].crash_ms = model->now_ms;
}

static void
note_answer (struct model *model, unsigned host, const struct request *request)
{
  const struct strikes_traits traits = make_traits (request);

  strikes_note_answer (&model->hosts[host], &traits, model->now_ms);
  for (unsigned i = 0; i < PARTS; i++)
    if (request->parts & (1U << i))
      model->parts[i].answer_ms = model->now_ms;
  if (request->fingerprint < REQUESTS)
    model->requests[request->fingerprint].answer_ms = model->now_ms;
}

static bool
is_refused (struct model *model, unsigned host, const struct request *request)
{
  const struct strikes_traits traits = make_traits (request);
  int64_t retry_after_ms;

  return strikes_check_traits (&model->hosts[host], &traits, model->now_ms,
                               &retry_after_ms)
         != RESULT_OK;
}

static bool
was_answered_last (const struct trait_model *trait)
{
  return trait->crash_ms == 0 || trait->answer_ms > trait->crash_ms;
}

/* True if each trait of the request was answered since its last crash. */
static bool
is_known_sound (const struct model *model, const struct request *request)
{
  for (unsigned i = 0; i < PARTS; i++)
    if (request->parts & (1U << i) && !was_answered_last (&model->parts[i]))
      return false;
  return request->fingerprint >= REQUESTS
         || was_answered_last (&model->requests[request->fingerprint]);
}

static struct request
read_request (struct model *model, struct input *input)
{
  struct request request = { .parts = next_byte (input) };

  /* Most requests have few parts. */
  request.parts &= next_byte (input);
  request.fingerprint = next_byte (input) % (2 * REQUESTS);
  if (request.fingerprint < REQUESTS)
    request.parts = 1U << request.fingerprint;
  else
    request.fingerprint = model->next_fingerprint++;
  return request;
}

static void
send_request (struct model *model, struct input *input, bool crashes_by_chance)
{
  struct request request = read_request (model, input);
  unsigned host = next_byte (input) % HOSTS;
  unsigned harmful = get_harmful_parts (model, &request);
  bool refused = is_refused (model, host, &request);

  if (model->is_told_at_once && is_known_sound (model, &request))
    CHECK (!refused);
  if (refused)
    return;
  if (harmful == 0 && !crashes_by_chance)
    {
      note_answer (model, host, &request);
      return;
    }
  note_crash (model, host, &request, ++model->next_crash);
  for (unsigned i = 0; i < PARTS; i++)
    if (harmful == 1U << i)
      {
        model->crashes[i]++;
        if (model->is_told_at_once)
          CHECK (model->crashes[i] <= CRASHES_LIMIT);
      }
  /* Another request, at another host, was at the same endpoint. */
  if (next_byte (input) % 2 == 0)
    {
      request = read_request (model, input);
      if (get_harmful_parts (model, &request) == 0)
        note_crash (model, next_byte (input) % HOSTS, &request,
                    model->next_crash);
    }
}

/* Hosts that know the same refuse the same requests. */
static void
check_agreement (struct model *model, struct input *input)
{
  struct request request;
  bool refused;

  tell_all (model);
  for (unsigned i = 0; i < 16; i++)
    {
      request = read_request (model, input);
      request.parts = (next_byte (input) + i * 37) % (1U << PARTS);
      refused = is_refused (model, 0, &request);
      for (unsigned host = 1; host < HOSTS; host++)
        CHECK (is_refused (model, host, &request) == refused);
      if (is_known_sound (model, &request))
        CHECK (!refused);
    }
}

/* Each sound part is in use again after its requests were answered once. */
static void
check_recovery (struct model *model)
{
  for (unsigned i = 0; i < PARTS; i++)
    {
      struct request request
          = { .parts = 1U << i, .fingerprint = model->next_fingerprint++ };

      if (get_harmful_parts (model, &request) != 0)
        continue;
      model->now_ms += STEP_MS;
      note_answer (model, i % HOSTS, &request);
      tell_all (model);
      request.fingerprint = model->next_fingerprint++;
      for (unsigned host = 0; host < HOSTS; host++)
        CHECK (!is_refused (model, host, &request));
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct input input = { data, size };
  struct model *model = calloc (1, sizeof *model);

  if (model == NULL)
    return 0;
  model->now_ms = 1;
  model->next_fingerprint = REQUESTS;
  model->is_told_at_once = next_byte (&input) % 2 == 0;
  model->harmful_count = next_byte (&input) % (HARMFUL_LIMIT + 1);
  for (unsigned i = 0; i < model->harmful_count; i++)
    model->harmful[i] = next_byte (&input) % PARTS;
  for (unsigned host = 0; host < HOSTS; host++)
    strikes_init (&model->hosts[host], TABLE_LIMIT);
  for (unsigned steps = 0; steps < STEP_LIMIT && input.size > 0; steps++)
    {
      unsigned op = next_byte (&input);

      model->now_ms += STEP_MS;
      if (op < 160)
        send_request (model, &input, false);
      else if (op < 200)
        send_request (model, &input, true);
      else if (op < 230)
        tell (model, op % HOSTS, (op + 1) % HOSTS);
      else
        check_agreement (model, &input);
      if (model->is_told_at_once)
        tell_all (model);
    }
  check_agreement (model, &input);
  check_recovery (model);
  model->now_ms += STRIKES_EXPIRY_MS;
  for (unsigned host = 0; host < HOSTS; host++)
    {
      strikes_tick (&model->hosts[host], model->now_ms);
      CHECK (model->hosts[host].count == 0);
      strikes_finish (&model->hosts[host]);
    }
  free (model);
  return 0;
}
