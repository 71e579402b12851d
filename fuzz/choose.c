/*
 * Chooses endpoints in a fleet that changes at random and compares each choice
 * with a model that keeps its own flags per group and member.  The first input
 * byte selects the check: random requests, repeated copies of a request that
 * crashes endpoints, or the retry budget.
 */

#include "choose.h"
#include "budget.h"
#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
next_byte (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

/* Actual state of a group member, kept apart from the fleet's tables. */
struct model_member
{
  int64_t seen_ms; /* time of the last attestation */
  bool leaving;
  bool ready;
  bool same_generation; /* it attests the generation of its group */
};

struct model_group
{
  char id[8];
  int row;
  bool exists;
  bool draining;
  bool missing_member; /* it has one member fewer than its span */
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
  char permitted_names[ROWS][CUSTOMERS + 1][SHEET_NAME_SIZE];
  int64_t now_ms;
  struct
  {
    bool is_running;
    bool has_strike;
    int chooser; /* index in choosers */
    char key[CHOOSE_KEY_SIZE];
  } attempts[ATTEMPTS];
};

static char data_centres[][SHEET_NAME_SIZE] = { "dc1" };
static const char *const customers[CUSTOMERS] = { "a", "b", "c" };

static void
copy_text (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}

static struct fleet_host *
get_member_host (struct model *model, int group, int rank)
{
  char id[FLEET_NAME_SIZE];

  snprintf (id, sizeof id, "h%d-%d", group, rank);
  return fleet_add_host (&model->fleet, id);
}

/* Writes the model's state of a group into the fleet's tables. */
static void
update_fleet_group (struct model *model, int index)
{
  struct model_group *source = &model->groups[index];
  struct fleet_group *group;

  if (!source->exists)
    {
      fleet_remove_group (&model->fleet, source->id);
      return;
    }
  group = fleet_add_group (&model->fleet, source->id);
  CHECK (group != NULL);
  copy_text (group->spec, sizeof group->spec, model->rows[source->row].name);
  copy_text (group->model, sizeof group->model, "m");
  copy_text (group->data_centre, sizeof group->data_centre, "dc1");
  group->generation = 3;
  group->span = SPAN;
  group->member_count = source->missing_member ? SPAN - 1 : SPAN;
  group->draining = source->draining;
  for (int rank = 0; rank < SPAN; rank++)
    {
      const struct model_member *member = &source->members[rank];
      struct fleet_host *host = get_member_host (model, index, rank);

      CHECK (host != NULL);
      copy_text (group->members[rank], sizeof group->members[rank], host->id);
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
      copy_text (host->attested.group, sizeof host->attested.group, source->id);
    }
}

static bool
can_serve (const struct model *model, const struct model_group *group)
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
update_rows (struct model *model)
{
  for (int r = 0; r < ROWS; r++)
    {
      struct sheet_list *list = &model->rows[r].customers;

      /* An empty list permits all customers, so it gets a name that no customer
         has. */
      list->names = model->permitted_names[r];
      copy_text (list->names[0], SHEET_NAME_SIZE, "nobody");
      list->count = 1;
      for (int c = 0; c < CUSTOMERS; c++)
        if (model->permits[r][c])
          copy_text (list->names[list->count++], SHEET_NAME_SIZE, customers[c]);
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
      copy_text (model->rows[r].model, SHEET_NAME_SIZE, "m");
      model->rows[r].data_centres.names = data_centres;
      model->rows[r].data_centres.count = 1;
      for (int c = 0; c < CUSTOMERS; c++)
        model->permits[r][c] = true;
    }
  update_rows (model);
  for (int g = 0; g < GROUPS; g++)
    {
      struct model_group *group = &model->groups[g];

      snprintf (group->id, sizeof group->id, "g%d", g);
      group->row = g % ROWS;
      group->exists = true;
      for (int rank = 0; rank < SPAN; rank++)
        group->members[rank]
            = (struct model_member){ model->now_ms, false, true, true };
      update_fleet_group (model, g);
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
find_group (const struct model *model, const char *key)
{
  for (int g = 0; g < GROUPS; g++)
    if (strcmp (model->groups[g].id, key) == 0)
      return g;
  abort ();
}

/* Chooses an endpoint and checks the choice.  Returns its group or -1. */
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
  group = find_group (model, result.key);
  CHECK (can_serve (model, &model->groups[group]));
  CHECK (model->permits[model->groups[group].row][customer]);
  CHECK (result.generation == 3);
  CHECK (result.expected_wait_ms >= 0);
  CHECK (strcmp (result.host, get_member_host (model, group, 0)->id) == 0);
  CHECK (strcmp (result.key, result.rejected) != 0);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    CHECK (request->excluded[i] == NULL
           || strcmp (request->excluded[i], result.key) != 0);
  for (int i = 0; i < ATTEMPTS; i++)
    CHECK (!request->has_strike || !model->attempts[i].is_running
           || !model->attempts[i].has_strike
           || model->attempts[i].chooser != chooser
           || strcmp (model->attempts[i].key, result.key) != 0);
  return group;
}

static void
start_attempt (struct model *model, int chooser, int group, bool has_strike)
{
  for (int i = 0; i < ATTEMPTS; i++)
    if (!model->attempts[i].is_running)
      {
        model->attempts[i].is_running = true;
        model->attempts[i].has_strike = has_strike;
        model->attempts[i].chooser = chooser;
        copy_text (model->attempts[i].key, CHOOSE_KEY_SIZE,
                   model->groups[group].id);
        choose_started (&model->choosers[chooser], model->groups[group].id,
                        model->now_ms);
        if (has_strike)
          choose_started_with_strike (&model->choosers[chooser],
                                      model->groups[group].id);
        return;
      }
}

static void
end_attempt (struct model *model, unsigned number, unsigned end)
{
  struct chooser *chooser;
  unsigned i = number % ATTEMPTS;

  if (!model->attempts[i].is_running)
    return;
  chooser = &model->choosers[model->attempts[i].chooser];
  model->attempts[i].is_running = false;
  choose_finished (chooser, model->attempts[i].key, (enum choose_end) (end % 3),
                   end * 10, end % 8, model->now_ms);
  if (model->attempts[i].has_strike)
    choose_finished_with_strike (chooser, model->attempts[i].key);
}

static void
change_group (struct model *model, unsigned target, unsigned change)
{
  struct model_group *group = &model->groups[target % GROUPS];
  struct model_member *member = &group->members[target / GROUPS % SPAN];

  switch (change % 8)
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
      member->seen_ms = model->now_ms - (int64_t)(change / 8) * 100;
      break;
    default:
      for (int rank = 0; rank < SPAN; rank++)
        group->members[rank].seen_ms = model->now_ms;
      break;
    }
  update_fleet_group (model, (int)(target % GROUPS));
}

static void
run_random_requests (struct model *model, struct input *input)
{
  while (input->size > 0)
    {
      unsigned op = next_byte (input);
      unsigned a = next_byte (input);
      unsigned b = next_byte (input);
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
          update_rows (model);
          break;
        }
    }
}

/*
 * Sends copies of one request through any entry host while groups fail, none
 * returns, and less than 10 s pass.  Every copy goes to one of the two
 * candidates that the request had when all groups served.  Only a copy that
 * has no strike and is not known to have run may go to another group, if both
 * candidates have failed.
 */
static void
run_crash_requests (struct model *model, struct input *input)
{
  unsigned flags = next_byte (input);
  struct choose_request request = { .customer = "a",
                                    .model = "m",
                                    .prefix_hash = next_byte (input),
                                    .fingerprint = flags & 1 ? "x" : "y" };
  struct choose_result result;
  int candidates[2];

  CHECK (choose_endpoint (&model->choosers[0], &model->fleet, &model->sheet,
                          "dc1", &request, model->now_ms, &result)
         == RESULT_OK);
  candidates[0] = find_group (model, result.key);
  candidates[1] = find_group (model, result.rejected);
  while (input->size > 0 && model->now_ms < START_MS + 9000)
    {
      unsigned op = next_byte (input);
      unsigned a = next_byte (input);
      int chooser = (int)(a % CHOOSERS);
      int group;

      if (op % 4 == 0)
        {
          struct model_group *failed = &model->groups[a % GROUPS];

          if (op & 16)
            failed->exists = false;
          else
            failed->members[a / 8 % SPAN].ready = false;
          update_fleet_group (model, (int)(a % GROUPS));
          continue;
        }
      if (op % 4 == 1)
        {
          model->now_ms += a;
          for (int g = 0; g < GROUPS; g++)
            {
              for (int rank = 0; rank < SPAN; rank++)
                model->groups[g].members[rank].seen_ms = model->now_ms;
              update_fleet_group (model, g);
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
      CHECK (group == candidates[0] || group == candidates[1]
             || (!request.has_strike && !request.may_have_run
                 && !can_serve (model, &model->groups[candidates[0]])
                 && !can_serve (model, &model->groups[candidates[1]])));
      /* The load of this copy makes entry hosts prefer different candidates. */
      choose_started (&model->choosers[chooser], model->groups[group].id,
                      model->now_ms);
      if (op & 16)
        {
          model->groups[group].members[0].ready = false;
          update_fleet_group (model, group);
        }
    }
}

/* Compares the retry budgets with a model that counts tenths of a retry. */
static void
run_retry_budgets (struct input *input)
{
  struct budget budgets[1 + CUSTOMERS];
  int available_tenths[1 + CUSTOMERS];
  unsigned attempts = 0;
  unsigned retries = 0;

  for (int i = 0; i <= CUSTOMERS; i++)
    {
      budget_init (&budgets[i]);
      available_tenths[i] = 30;
    }
  while (input->size > 0)
    {
      unsigned op = next_byte (input);
      unsigned c = 1 + op / 2 % CUSTOMERS;
      unsigned repeat = 1 + op / 8;
      bool granted;

      for (unsigned n = 0; n < repeat; n++)
        if (op & 1)
          {
            budget_record_attempt (&budgets[0]);
            budget_record_attempt (&budgets[c]);
            available_tenths[0] += available_tenths[0] < 30;
            available_tenths[c] += available_tenths[c] < 30;
            attempts++;
          }
        else
          {
            granted = budget_spend_retry (&budgets[0], &budgets[c]);
            CHECK (granted
                   == (available_tenths[0] >= 10 && available_tenths[c] >= 10));
            if (granted)
              {
                available_tenths[0] -= 10;
                available_tenths[c] -= 10;
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
  unsigned kind = next_byte (&input) % 3;

  if (kind == 2)
    {
      run_retry_budgets (&input);
      return 0;
    }
  model_init (&model);
  if (kind == 0)
    run_random_requests (&model, &input);
  else
    run_crash_requests (&model, &input);
  model_finish (&model);
  return 0;
}
