#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "result.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Options of the operators' command and the table of its subcommands. */

#define CLI_ENTRY_LIMIT 128

/* Exit statuses (design, section 11). */
enum cli_exit
{
  CLI_GOOD = 0,
  CLI_REFUSED = 1, /* refused, invalid, not found or not in force */
  CLI_USAGE = 2,
  CLI_UNREACHABLE = 3,
  CLI_CONFLICT = 4,
};

struct cli_address
{
  char text[64]; /* as given */
  char host[48]; /* numeric */
  uint16_t port;
};

struct cli
{
  struct event_base *base;
  bool has_platform;
  struct cli_address platform;
  struct cli_address entries[CLI_ENTRY_LIMIT];
  size_t entry_count;
  bool json;
  bool force;
  char operator_name[64];
  int timeout_ms;           /* for one answer */
  int wait_ms;              /* until a change is in force everywhere */
  int interval_ms;          /* between two rounds of watch */
  int rounds;               /* of watch; 0 = until interrupted */
  double objective;         /* percent of good requests */
  char gnuplot[4096];       /* file, or "" */
  const char *arguments[2]; /* after the subcommand; NULL if not given */
};

/* Parses "127.0.0.1:80" or "[::1]:80"; false if it is anything else. */
bool cli_parse_address (const char *text, struct cli_address *out);

/* Parses the command line, runs the subcommand and returns its status. */
int cli_run (int argc, char **argv);

/* The status for a result of the platform or of an entry host. */
enum cli_exit cli_exit_for (enum result result);

/* Writes "waxwinglink: CODE NAME: text (detail)" to standard error. */
void cli_print_result (enum result result, const char *detail);

enum cli_exit cmd_sheet_check (struct cli *cli);
enum cli_exit cmd_sheet_diff (struct cli *cli);
enum cli_exit cmd_sheet_apply (struct cli *cli);
enum cli_exit cmd_sheet_status (struct cli *cli);
enum cli_exit cmd_sheet_history (struct cli *cli);
enum cli_exit cmd_status (struct cli *cli);
enum cli_exit cmd_explain (struct cli *cli);
enum cli_exit cmd_drain (struct cli *cli);
enum cli_exit cmd_undrain (struct cli *cli);
enum cli_exit cmd_release (struct cli *cli);
enum cli_exit cmd_watch (struct cli *cli);
enum cli_exit cmd_report_burn (struct cli *cli);

#endif
