#include "control-change.h"
#include "entry.h"
#include "platform-object.h"

#include <stdio.h>
#include <string.h>

/*
 * Rejects a host that the platform does not list, since the drain of a misspelt
 * host would be accepted without effect.
 */
static enum cli_exit
check_host_is_listed (struct cli *cli, const char *id)
{
  json_t *json = NULL;
  size_t index;
  const json_t *host;
  enum result result = platform_read_hosts (cli, &json);
  enum cli_exit status = cli_exit_for (result);

  if (result != RESULT_OK)
    {
      cli_print_result (result, "nothing was changed");
      return status;
    }
  status = CLI_REFUSED;
  json_array_foreach (json_object_get (json, "hosts"), index, host)
    if (strcmp (entry_get_text (host, "id"), id) == 0)
      status = CLI_GOOD;
  if (status != CLI_GOOD)
    fprintf (stderr,
             "waxwinglink: the platform does not list host %s; --force drains"
             " it anyway\n",
             id);
  json_decref (json);
  return status;
}

enum cli_exit
cmd_drain (struct cli *cli)
{
  enum cli_exit status = CLI_GOOD;

  if (!cli->force)
    status = check_host_is_listed (cli, cli->arguments[0]);
  if (status != CLI_GOOD)
    return status;
  return control_apply_change (cli, CONTROL_DRAIN, cli->arguments[0]);
}
