#include "control-change.h"

#include "in-force-wait.h"
#include "platform-object.h"
#include "sheet-file.h"
#include "timeutil.h"
#include "uuid.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define OBJECT_KEY "control/current"
#define ATTEMPT_LIMIT 8 /* writes, if each one ends in a conflict */

/*
 * Reads the object and writes its successor, again after a conflict.  Sets
 * *changed to false with RESULT_OK if there is nothing to change.
 */
static enum result
write_change (struct cli *cli,
              enum control_action action,
              const char *subject,
              struct platform_object *object,
              char token[UUID_SIZE],
              bool *changed)
{
  enum result result = platform_object_read (cli, OBJECT_KEY, object);

  *changed = false;
  for (int i = 0; i < ATTEMPT_LIMIT && result == RESULT_OK; i++)
    {
      json_t *next = NULL;

      uuid_generate (token);
      result = control_make_next (object->value, action, subject,
                                  cli->operator_name, token, time_wall_ms (),
                                  &next);
      if (result == RESULT_INVALID)
        result = RESULT_PLATFORM_BAD_ANSWER;
      if (result != RESULT_OK || next == NULL)
        return result;
      result = platform_object_update (cli, OBJECT_KEY, object, next,
                                       control_has_token, token);
      json_decref (next);
      if (result == RESULT_OK)
        {
          *changed = true;
          return RESULT_OK;
        }
      /* object is now the result of the other operator's change. */
      if (result == RESULT_PLATFORM_CONFLICT && i + 1 < ATTEMPT_LIMIT)
        result = RESULT_OK;
    }
  return result;
}

static enum cli_exit
wait_and_report_change (struct cli *cli,
                        enum control_action action,
                        const char *subject,
                        const struct platform_object *object,
                        const char *token,
                        bool changed)
{
  const char *name = control_action_name (action);
  uint64_t number = (uint64_t)json_integer_value (
      json_object_get (object->value, "number"));
  struct in_force in_force;
  enum cli_exit status = CLI_GOOD;
  int64_t waited_ms = 0;

  in_force_init (&in_force);
  if (!cli->json)
    printf (changed ? "%s %s: accepted as control object %" PRIu64 ".\n"
                    : "%s %s: nothing to change in control object %" PRIu64
                      ".\n",
            name, subject, number);
  if (cli->entry_count > 0 && number > 0)
    {
      enum result result = in_force_wait (cli, IN_FORCE_CONTROL, number,
                                          &in_force, &waited_ms);

      status = result == RESULT_OK ? in_force_exit_status (&in_force)
                                   : CLI_REFUSED;
      if (!cli->json)
        in_force_print (&in_force, IN_FORCE_CONTROL, number);
      if (in_force.count == 0)
        {
          fprintf (stderr, "waxwinglink: no entry host responds, so whether it"
                           " is in force is unknown\n");
          status = CLI_REFUSED;
        }
    }
  if (cli->json)
    json_print (json_pack (
        "{s:s, s:s, s:s, s:I, s:s, s:o}", "outcome",
        changed ? "accepted" : "unchanged", "action", name, "subject", subject,
        "number", (json_int_t)number, "token", changed ? token : "", "in_force",
        cli->entry_count > 0 ? in_force_to_json (&in_force) : json_null ()));
  in_force_finish (&in_force);
  return status;
}

/* Daemons store names of at most 63 bytes, and JSON must be UTF-8. */
static bool
is_valid_name (const char *text)
{
  json_t *json = json_string (text);
  bool valid = json != NULL && *text != '\0' && strlen (text) < 64;

  json_decref (json);
  return valid;
}

enum cli_exit
control_apply_change (struct cli *cli,
                      enum control_action action,
                      const char *subject)
{
  struct platform_object object;
  char token[UUID_SIZE] = "";
  bool changed;
  enum cli_exit status;
  enum result result;

  if (!is_valid_name (subject))
    {
      fprintf (stderr, "waxwinglink: a host name has 1 to 63 bytes of UTF-8\n");
      return CLI_USAGE;
    }
  platform_object_init (&object);
  result = write_change (cli, action, subject, &object, token, &changed);
  if (result == RESULT_OK)
    status = wait_and_report_change (cli, action, subject, &object, token,
                                     changed);
  else
    {
      cli_print_result (result, result == RESULT_PLATFORM_LOST_ANSWER
                                    ? "whether it took effect is unknown;"
                                      " repeating the command is safe"
                                    : "nothing was changed");
      status = cli_exit_for (result);
    }
  platform_object_finish (&object);
  return status;
}
