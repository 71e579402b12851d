#include "control-change.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define FINGERPRINT_DIGITS 32 /* XXH3-128 */
#define PART_DIGITS 16        /* id of a part of a prompt */

enum cli_exit
cmd_release (struct cli *cli)
{
  const char *given = cli->arguments[0];
  char fingerprint[FINGERPRINT_DIGITS + 1] = "";
  size_t size = strlen (given);
  bool valid = size == FINGERPRINT_DIGITS || size == PART_DIGITS;

  for (size_t i = 0; valid && i < size; i++)
    {
      valid = isxdigit ((unsigned char)given[i]) != 0;
      fingerprint[i] = (char)tolower ((unsigned char)given[i]);
    }
  if (!valid)
    {
      fprintf (stderr,
               "waxwinglink: a fingerprint has %d hexadecimal"
               " digits, the id of a part of a prompt %d\n",
               FINGERPRINT_DIGITS, PART_DIGITS);
      return CLI_USAGE;
    }
  return control_apply_change (cli, CONTROL_RELEASE, fingerprint);
}
