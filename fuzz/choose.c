/*
 * Endpoint choice over a fleet that changes at random, against a model that
 * keeps its own flags.  The first input byte selects the check: random
 * requests, a crash request sent again and again, or the retry budget.
 */

#include "choose.h"
#include "budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK(condition)                                                       \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        {                                                                      \
          fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);     \
          abort ();                                                            \
        }                                                                      \
    }                                                                          \
  while (0)

#define GROUPS 7
#define SPAN 3
#define ROWS 2
#define CUSTOMERS 3
#define CHOOSERS 3
#define ATTEMPTS 32
#define START_MS INT64_C (1000000)

struct input
{
  const uint8_t *data;
  size_t size;
};

static unsigned
take (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

/* What the model knows of a member, apart from the fleet's tables. */
struct model_member
{
  int64_t seen_ms;
  bool leaving;
  bool ready;
  bool same_generation;
};

struct model_group
{
  char id[8];
  int row;
  bool exists;
  bool draining;
  bool missing_member;
  struct model_member members[SPAN];
};

struct model
{
  struct fleet fleet;
  struct sheet sheet;
  struct sheet_group rows[ROWS];
  struct chooser choosers[CHOOSERS];
  struct model_group groups[GROUPS];
  bool permits[ROWS][CUSTOMERS];
  char lists[ROWS][CUSTOMERS + 1][SHEET_NAME_SIZE];
  int64_t now_ms;
  struct
  {
    bool runs;
    bool struck;
    int chooser;
    char key[CHOOSE_KEY_SIZE];
  } attempts[ATTEMPTS];
};

static char data_centres[][SHEET_NAME_SIZE] = { "dc1" };
static const char *const customers[CUSTOMERS] = { "a", "b", "c" };

static void
put (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}

static struct fleet_host *
member_host (struct model *model, int group, int rank)
{
  char id[FLEET_NAME_SIZE];

  snprintf (id, sizeof id, "h%d-%d", group, rank);
  return fleet_add_host (&model->fleet, id);
}

/* Copies what the model knows of a group into the fleet's tables. */
static void
write_group (struct model *model, int index)
{
  struct model_group *known = &model->groups[index];
  struct fleet_group *group;

  if (!known->exists)
    {
      fleet_remove_group (&model->fleet, known->id);
      return;
    }
  group = fleet_add_group (&model->fleet, known->id);
  CHECK (group != NULL);
  put (group->spec, sizeof group->spec, model->rows[known->row].name);
  put (group->model, sizeof group->model, "m");
  put (group->data_centre, sizeof group->data_centre, "dc1");
  group->generation = 3;
  group->span = SPAN;
  group->member_count = known->missing_member ? SPAN - 1 : SPAN;
  group->draining = known->draining;
  for (int rank = 0; rank < SPAN; rank++)
    {
      const struct model_member *member = &known->members[rank];
      struct fleet_host *host = member_host (model, index, rank);

      CHECK (host != NULL);
      put (group->members[rank], sizeof group->members[rank], host->id);
      host->listed = true;
      host->listed_leaving = member->leaving && rank == 0;
      host->attested.leaving = member->leaving && rank != 0;
      host->attested.seen_ms = member->seen_ms;
      host->attested.rank = (unsigned)rank;
      host->attested.span = SPAN;
      host->attested.generation = member->same_generation ? 3 : 2;
      host->attested.state
          = member->ready ? FLEET_ENGINE_READY : FLEET_ENGINE_LOADING;
      host->attested.slots = 4;
      put (host->attested.group, sizeof host->attested.group, known->id);
    }
}

static bool
may_serve (const struct model *model, const struct model_group *group)
{
  if (!group->exists || group->draining || group->missing_member)
    return false;
  for (int rank = 0; rank < SPAN; rank++)
    {
      const struct model_member *member = &group->members[rank];

      if (member->leaving || !member->ready || !member->same_generation
          || model->now_ms - member->seen_ms > 2000)
        return false;
    }
  return true;
}

static void
write_rows (struct model *model)
{
  for (int r = 0; r < ROWS; r++)
    {
      struct sheet_list *list = &model->rows[r].customers;

      /* A name that no customer has keeps the list from meaning "all". */
      list->names = model->lists[r];
      put (list->names[0], SHEET_NAME_SIZE, "nobody");
      list->count = 1;
      for (int c = 0; c < CUSTOMERS; c++)
        if (model->permits[r][c])
          put (list->names[list->count++], SHEET_NAME_SIZE, customers[c]);
    }
}

static void
model_init (struct model *model)
{
  memset (model, 0, sizeof *model);
  model->now_ms = START_MS;
  fleet_init (&model->fleet);
  model->sheet.number = 1;
  model->sheet.groups = model->rows;
  model->sheet.group_count = ROWS;
  for (int r = 0; r < ROWS; r++)
    {
      snprintf (model->rows[r].name, SHEET_NAME_SIZE, "row%d", r);
      put (model->rows[r].model, SHEET_NAME_SIZE, "m");
      model->rows[r].data_centres.names = data_centres;
      model->rows[r].data_centres.count = 1;
      for (int c = 0; c < CUSTOMERS; c++)
        model->permits[r][c] = true;
    }
  write_rows (model);
  for (int g = 0; g < GROUPS; g++)
    {
      struct model_group *group = &model->groups[g];

      snprintf (group->id, sizeof group->id, "g%d", g);
      group->row = g % ROWS;
      group->exists = true;
      for (int rank = 0; rank < SPAN; rank++)
        group->members[rank]
            = (struct model_member){ model->now_ms, false, true, true };
      write_group (model, g);
    }
  for (int i = 0; i < CHOOSERS; i++)
    {
      chooser_init (&model->choosers[i], (uint64_t)i);
      choose_tick (&model->choosers[i], &model->fleet, model->now_ms);
    }
}

static void
model_finish (struct model *model)
{
  for (int i = 0; i < CHOOSERS; i++)
    chooser_finish (&model->choosers[i]);
  fleet_finish (&model->fleet);
}

static int
group_of (const struct model *model, const char *key)
{
  for (int g = 0; g < GROUPS; g++)
    if (strcmp (model->groups[g].id, key) == 0)
      return g;
  abort ();
}

/* The group chosen, or -1. */
static int
model_choose (struct model *model,
              int chooser,
              int customer,
              const struct choose_request *request)
{
  struct choose_result result;
  enum result status
      = choose_endpoint (&model->choosers[chooser], &model->fleet,
                         &model->sheet, "dc1", request, model->now_ms, &result);
  int group;

  if (status != RESULT_OK)
    {
      CHECK (status == RESULT_NO_CAPACITY);
      return -1;
    }
  group = group_of (model, result.key);
  CHECK (may_serve (model, &model->groups[group]));
  CHECK (model->permits[model->groups[group].row][customer]);
  CHECK (result.generation == 3);
  CHECK (result.expected_wait_ms >= 0);
  CHECK (strcmp (result.host, member_host (model, group, 0)->id) == 0);
  CHECK (strcmp (result.key, result.rejected) != 0);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    CHECK (request->excluded[i] == NULL
           || strcmp (request->excluded[i], result.key) != 0);
  for (int i = 0; i < ATTEMPTS; i++)
    CHECK (!request->has_strike || !model->attempts[i].runs
           || !model->attempts[i].struck
           || model->attempts[i].chooser != chooser
           || strcmp (model->attempts[i].key, result.key) != 0);
  return group;
}

static void
start_attempt (struct model *model, int chooser, int group, bool struck)
{
  for (int i = 0; i < ATTEMPTS; i++)
    if (!model->attempts[i].runs)
      {
        model->attempts[i].runs = true;
        model->attempts[i].struck = struck;
        model->attempts[i].chooser = chooser;
        put (model->attempts[i].key, CHOOSE_KEY_SIZE, model->groups[group].id);
        choose_started (&model->choosers[chooser], model->groups[group].id,
                        model->now_ms);
        if (struck)
          choose_started_with_strike (&model->choosers[chooser],
                                      model->groups[group].id);
        return;
      }
}

static void
end_attempt (struct model *model, unsigned which, unsigned how)
{
  struct chooser *chooser;
  unsigned i = which % ATTEMPTS;

  if (!model->attempts[i].runs)
    return;
  chooser = &model->choosers[model->attempts[i].chooser];
  model->attempts[i].runs = false;
  choose_finished (chooser, model->attempts[i].key, (enum choose_end) (how % 3),
                   how * 10, how % 8, model->now_ms);
  if (model->attempts[i].struck)
    choose_finished_with_strike (chooser, model->attempts[i].key);
}

static void
change_group (struct model *model, unsigned a, unsigned b)
{
  struct model_group *group = &model->groups[a % GROUPS];
  struct model_member *member = &group->members[a / GROUPS % SPAN];

  switch (b % 8)
    {
    case 0:
      member->leaving = !member->leaving;
      break;
    case 1:
      member->ready = !member->ready;
      break;
    case 2:
      member->same_generation = !member->same_generation;
      break;
    case 3:
      group->draining = !group->draining;
      break;
    case 4:
      group->missing_member = !group->missing_member;
      break;
    case 5:
      group->exists = !group->exists;
      break;
    case 6:
      member->seen_ms = model->now_ms - (int64_t)(b / 8) * 100;
      break;
    default:
      for (int rank = 0; rank < SPAN; rank++)
        group->members[rank].seen_ms = model->now_ms;
      break;
    }
  write_group (model, (int)(a % GROUPS));
}

static void
run_random (struct model *model, struct input *input)
{
  while (input->size > 0)
    {
      unsigned op = take (input);
      unsigned a = take (input);
      unsigned b = take (input);
      int chooser = (int)(a % CHOOSERS);
      char fingerprint[16];
      int customer = (int)(b % CUSTOMERS);
      struct choose_request request = { .customer = customers[customer],
                                        .model = "m",
                                        .prefix_hash = b / 8,
                                        .fingerprint = fingerprint };
      int group;

      switch (op % 8)
        {
        case 0:
        case 1:
        case 2:
          snprintf (fingerprint, sizeof fingerprint, "f%u", b);
          request.has_strike = op & 8;
          request.may_have_run = op & 16;
          if (op & 32)
            request.excluded[a / 4 % CHOOSE_EXCLUDE_LIMIT]
                = model->groups[op / 64].id;
          group = model_choose (model, chooser, customer, &request);
          if (group >= 0)
            start_attempt (model, chooser, group, request.has_strike);
          break;
        case 3:
          end_attempt (model, a, b);
          break;
        case 4:
        case 5:
          change_group (model, a, b);
          break;
        case 6:
          model->now_ms += (int64_t)a * 32;
          for (int i = 0; (b & 1) && i < CHOOSERS; i++)
            choose_tick (&model->choosers[i], &model->fleet, model->now_ms);
          break;
        default:
          model->permits[a % ROWS][customer] = (b & 8) != 0;
          write_rows (model);
          break;
        }
    }
}

/*
 * Identical requests, through any entry host, while groups only get lost and
 * less than 10 s pass.  They reach only the two candidates that the request
 * had when every group served, unless a copy that has no strike and of which
 * nothing is known to have run finds both lost.
 */
static void
run_crash (struct model *model, struct input *input)
{
  unsigned flags = take (input);
  struct choose_request request = { .customer = "a",
                                    .model = "m",
                                    .prefix_hash = take (input),
                                    .fingerprint = flags & 1 ? "x" : "y" };
  struct choose_result result;
  int pair[2];

  CHECK (choose_endpoint (&model->choosers[0], &model->fleet, &model->sheet,
                          "dc1", &request, model->now_ms, &result)
         == RESULT_OK);
  pair[0] = group_of (model, result.key);
  pair[1] = group_of (model, result.rejected);
  while (input->size > 0 && model->now_ms < START_MS + 9000)
    {
      unsigned op = take (input);
      unsigned a = take (input);
      int chooser = (int)(a % CHOOSERS);
      int group;

      if (op % 4 == 0)
        {
          struct model_group *lost = &model->groups[a % GROUPS];

          if (op & 16)
            lost->exists = false;
          else
            lost->members[a / 8 % SPAN].ready = false;
          write_group (model, (int)(a % GROUPS));
          continue;
        }
      if (op % 4 == 1)
        {
          model->now_ms += a;
          for (int g = 0; g < GROUPS; g++)
            {
              for (int rank = 0; rank < SPAN; rank++)
                model->groups[g].members[rank].seen_ms = model->now_ms;
              write_group (model, g);
            }
          for (int i = 0; i < CHOOSERS; i++)
            choose_tick (&model->choosers[i], &model->fleet, model->now_ms);
          continue;
        }
      request.has_strike = op & 4;
      request.may_have_run = op & 8;
      group = model_choose (model, chooser, 0, &request);
      if (group < 0)
        continue;
      CHECK (group == pair[0] || group == pair[1]
             || (!request.has_strike && !request.may_have_run
                 && !may_serve (model, &model->groups[pair[0]])
                 && !may_serve (model, &model->groups[pair[1]])));
      /* The copy's load makes entry hosts prefer different candidates. */
      choose_started (&model->choosers[chooser], model->groups[group].id,
                      model->now_ms);
      if (op & 16)
        {
          model->groups[group].members[0].ready = false;
          write_group (model, group);
        }
    }
}

/* Whole numbers of tenths of a retry. */
static void
run_budget (struct input *input)
{
  struct budget budgets[1 + CUSTOMERS];
  int tenths[1 + CUSTOMERS];
  unsigned attempts = 0;
  unsigned retries = 0;

  for (int i = 0; i <= CUSTOMERS; i++)
    {
      budget_init (&budgets[i]);
      tenths[i] = 30;
    }
  while (input->size > 0)
    {
      unsigned op = take (input);
      unsigned c = 1 + op / 2 % CUSTOMERS;
      unsigned repeat = 1 + op / 8;
      bool granted;

      for (unsigned n = 0; n < repeat; n++)
        if (op & 1)
          {
            budget_record_attempt (&budgets[0]);
            budget_record_attempt (&budgets[c]);
            tenths[0] += tenths[0] < 30;
            tenths[c] += tenths[c] < 30;
            attempts++;
          }
        else
          {
            granted = budget_spend_retry (&budgets[0], &budgets[c]);
            CHECK (granted == (tenths[0] >= 10 && tenths[c] >= 10));
            if (granted)
              {
                tenths[0] -= 10;
                tenths[c] -= 10;
                retries++;
              }
          }
      CHECK (retries * 10 <= attempts + 30);
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct model model;
  struct input input = { .data = data, .size = size };
  unsigned kind = take (&input) % 3;

  if (kind == 2)
    {
      run_budget (&input);
      return 0;
    }
  model_init (&model);
  if (kind == 0)
    run_random (&model, &input);
  else
    run_crash (&model, &input);
  model_finish (&model);
  return 0;
}
