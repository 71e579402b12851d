#include "in-force-wait.h"
#include "sheet-file.h"
#include "sheet-version.h"
#include "table.h"
#include "timeutil.h"
#include "uuid.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* State of one run of the command. */
struct apply
{
  struct cli *cli;
  struct platform_object object; /* sheet/current */
  struct sheet accepted;         /* accepted sheet before the write */
  struct sheet next;             /* sheet of the file */
  struct sheet_diff diff;        /* from accepted to next */
  struct in_force in_force;
  json_t *json; /* output of --json */
};

static bool
sheet_has_token (const json_t *value, const char *token)
{
  size_t index;
  const json_t *change;

  json_array_foreach (json_object_get (value, "history"), index, change)
    {
      const char *text = json_string_value (json_object_get (change, "token"));

      if (text != NULL && strcmp (text, token) == 0)
        return true;
    }
  return false;
}

static void
set_outcome (struct apply *apply, const char *outcome)
{
  json_object_set_new (apply->json, "outcome", json_string (outcome));
}

/*
 * Reads the accepted sheet, the host list and the file, validates the file and
 * shows its differences from the accepted sheet.  Returns CLI_GOOD if the file
 * may be accepted.
 */
static enum cli_exit
read_and_compare (struct apply *apply)
{
  struct cli *cli = apply->cli;
  struct sheet_inventory inventory;
  struct sheet_report report;
  struct sheet_read_options options = { .inventory = &inventory,
                                        .previous = &apply->accepted,
                                        .force = cli->force };
  enum cli_exit status;
  enum result result;

  sheet_inventory_init (&inventory);
  sheet_report_init (&report);
  result = sheet_accepted_read (cli, &apply->object, &apply->accepted);
  if (result == RESULT_OK)
    result = sheet_inventory_read (cli, &inventory);
  status = cli_exit_for (result);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "nothing was changed");
      set_outcome (apply, "refused");
      goto finish;
    }
  result = sheet_file_read (cli->arguments[0], &options, &apply->next, &report);
  if (result == RESULT_NOT_FOUND)
    {
      status = CLI_USAGE;
      set_outcome (apply, "refused");
      goto finish;
    }
  json_object_set_new (apply->json, "report", sheet_report_to_json (&report));
  if (result != RESULT_OK)
    {
      if (!cli->json)
        sheet_report_print (cli->arguments[0], &report);
      fprintf (stderr, "waxwinglink: the sheet is not valid; nothing was"
                       " changed\n");
      set_outcome (apply, "refused");
      status = CLI_REFUSED;
      goto finish;
    }
  result = sheet_diff_make (&apply->diff, &apply->accepted, &apply->next);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "nothing was changed");
      status = CLI_REFUSED;
      goto finish;
    }
  json_object_set_new (apply->json, "diff", sheet_diff_to_json (&apply->diff));
  if (!cli->json)
    sheet_diff_print (&apply->diff);

finish:
  sheet_report_finish (&report);
  sheet_inventory_finish (&inventory);
  return status;
}

/* Prints the other operator's changes after a conflict. */
static void
show_conflict (struct apply *apply)
{
  struct sheet other;
  struct sheet_diff diff;

  sheet_init (&other);
  sheet_diff_init (&diff);
  cli_print_result (RESULT_SHEET_CONFLICT, "nothing was changed");
  set_outcome (apply, "conflict");
  if (apply->object.value == NULL
      || sheet_from_json (&other, apply->object.value) != RESULT_OK
      || sheet_diff_make (&diff, &apply->accepted, &other) != RESULT_OK)
    goto finish;
  json_object_set_new (apply->json, "other_diff", sheet_diff_to_json (&diff));
  json_object_set_new (apply->json, "other_number",
                       json_integer ((json_int_t)other.number));
  if (other.history_count > 0)
    json_object_set_new (apply->json, "other_operator",
                         json_string (other.history[0].operator_name));
  if (!apply->cli->json)
    {
      char time[TABLE_TIME_SIZE] = "-";

      if (other.history_count > 0)
        table_format_time (time, other.history[0].applied_wall_ms);
      printf ("\nSheet %" PRIu64 " was accepted at %s from %s. It changed:\n",
              other.number, time,
              other.history_count > 0 ? other.history[0].operator_name : "?");
      sheet_diff_print (&diff);
    }

finish:
  sheet_diff_finish (&diff);
  sheet_finish (&other);
}

/* Writes the next sheet.  Returns CLI_GOOD if it is now the accepted sheet. */
static enum cli_exit
accept_next (struct apply *apply)
{
  struct cli *cli = apply->cli;
  char token[UUID_SIZE];
  json_t *value = NULL;
  enum result result;

  uuid_generate (token);
  result = sheet_make_next (&apply->next, &apply->accepted, cli->operator_name,
                            token, time_wall_ms ());
  if (result == RESULT_OK)
    {
      value = sheet_to_json (&apply->next);
      if (value == NULL)
        result = RESULT_NO_MEMORY;
    }
  if (result == RESULT_OK)
    result = platform_object_update (cli, "sheet/current", &apply->object,
                                     value, sheet_has_token, token);
  json_decref (value);
  json_object_set_new (apply->json, "token", json_string (token));
  switch (result)
    {
    case RESULT_OK:
      set_outcome (apply, "accepted");
      if (!cli->json)
        printf ("Accepted as sheet %" PRIu64 " (hash %s).\n",
                apply->next.number, apply->next.history[0].hash);
      return CLI_GOOD;
    case RESULT_PLATFORM_CONFLICT:
      show_conflict (apply);
      return CLI_CONFLICT;
    case RESULT_PLATFORM_LOST_ANSWER:
      set_outcome (apply, "unknown");
      cli_print_result (result, "the outcome could not be confirmed");
      fprintf (stderr,
               "waxwinglink: whether the sheet was accepted is unknown; look"
               " for token %s in `sheet history --json` before you apply it"
               " again\n",
               token);
      return CLI_UNREACHABLE;
    default:
      set_outcome (apply, "refused");
      cli_print_result (result, "nothing was changed");
      return cli_exit_for (result);
    }
}

static enum result
expect_data_centres (struct in_force *in_force,
                     const struct sheet_list *data_centres)
{
  for (size_t i = 0; i < data_centres->count; i++)
    if (in_force_expect (in_force, data_centres->names[i]) == RESULT_NO_MEMORY)
      return RESULT_NO_MEMORY;
  return RESULT_OK;
}

static enum result
expect_sheet_data_centres (struct in_force *in_force, const struct sheet *sheet)
{
  enum result result = RESULT_OK;

  for (size_t i = 0; i < sheet->customer_count && result == RESULT_OK; i++)
    result = expect_data_centres (in_force, &sheet->customers[i].data_centres);
  for (size_t i = 0; i < sheet->group_count && result == RESULT_OK; i++)
    result = expect_data_centres (in_force, &sheet->groups[i].data_centres);
  for (size_t i = 0; i < sheet->service_count && result == RESULT_OK; i++)
    result = expect_data_centres (in_force, &sheet->services[i].data_centres);
  return result;
}

static enum cli_exit
wait_in_force (struct apply *apply, uint64_t number)
{
  struct cli *cli = apply->cli;
  int64_t waited_ms = 0;
  enum result result;

  if (cli->entry_count == 0)
    {
      json_object_set_new (apply->json, "in_force", json_null ());
      if (!cli->json)
        printf (
            "Whether it is in force was not checked: no --entry is given.\n");
      return CLI_GOOD;
    }
  result = expect_sheet_data_centres (&apply->in_force, &apply->next);
  if (result == RESULT_OK)
    result = in_force_wait (cli, IN_FORCE_SHEET, number, &apply->in_force,
                            &waited_ms);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "the sheet is accepted");
      return CLI_REFUSED;
    }
  json_object_set_new (apply->json, "in_force",
                       in_force_to_json (&apply->in_force));
  json_object_set_new (apply->json, "waited_ms", json_integer (waited_ms));
  if (!cli->json)
    {
      in_force_print (&apply->in_force, IN_FORCE_SHEET, number);
      if (in_force_exit_status (&apply->in_force) == CLI_GOOD)
        printf ("In force in every data centre after %" PRId64 " ms.\n",
                waited_ms);
    }
  if (in_force_exit_status (&apply->in_force) != CLI_GOOD)
    cli_print_result (RESULT_SHEET_NOT_IN_FORCE, "the sheet is accepted");
  return in_force_exit_status (&apply->in_force);
}

enum cli_exit
cmd_sheet_apply (struct cli *cli)
{
  struct apply apply = { .cli = cli, .json = json_object () };
  uint64_t number;
  enum cli_exit status;

  platform_object_init (&apply.object);
  sheet_init (&apply.accepted);
  sheet_init (&apply.next);
  sheet_diff_init (&apply.diff);
  in_force_init (&apply.in_force);
  status = read_and_compare (&apply);
  if (status != CLI_GOOD)
    goto finish;
  number = apply.accepted.number;
  if (apply.object.value != NULL && sheet_diff_is_empty (&apply.diff))
    {
      set_outcome (&apply, "unchanged");
      if (!cli->json)
        printf ("It is the accepted sheet %" PRIu64 " already.\n", number);
    }
  else
    {
      status = accept_next (&apply);
      if (status != CLI_GOOD)
        goto finish;
      number = apply.next.number;
    }
  json_object_set_new (apply.json, "number", json_integer ((json_int_t)number));
  status = wait_in_force (&apply, number);

finish:
  if (cli->json)
    json_print (json_incref (apply.json));
  json_decref (apply.json);
  in_force_finish (&apply.in_force);
  sheet_diff_finish (&apply.diff);
  sheet_finish (&apply.next);
  sheet_finish (&apply.accepted);
  platform_object_finish (&apply.object);
  return status;
}
