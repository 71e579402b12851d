#include "control-change.h"

enum cli_exit
cmd_undrain (struct cli *cli)
{
  return control_apply_change (cli, CONTROL_UNDRAIN, cli->arguments[0]);
}
