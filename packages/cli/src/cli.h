#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "result.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Options and subcommands of the operators' command, waxwinglink. */

#define CLI_ENTRY_LIMIT 128 /* entry hosts per command line */

/* Exit statuses (design, section 11). */
enum cli_exit
{
  CLI_GOOD = 0,
  CLI_REFUSED = 1, /* rejected, invalid, not found or not in force */
  CLI_USAGE = 2,
  CLI_UNREACHABLE = 3,
  CLI_CONFLICT = 4,
};

struct cli_address
{
  char text[64]; /* as given on the command line */
  char host[48]; /* numeric IP address */
  uint16_t port;
};

struct cli
{
  struct event_base *base;
  bool has_platform;
  struct cli_address platform;
  struct cli_address entries[CLI_ENTRY_LIMIT];
  size_t entry_count;
  bool json;  /* write JSON to standard output */
  bool force; /* accept a shrunk sheet or an unlisted host */
  char operator_name[64];
  int timeout_ms;     /* limit for one response */
  int wait_ms;        /* longest wait until a change is in force everywhere */
  int interval_ms;    /* time between two rounds of "watch" */
  int rounds;         /* rounds of "watch"; 0 = until interrupted */
  double objective;   /* share of good requests to reach, in percent */
  char gnuplot[4096]; /* path of the gnuplot script, or "" */
  char against[4096]; /* what "config check" compares with, or "" */
  bool has_store;
  struct cli_address store; /* of the users' platform */
  const char *arguments[2]; /* after the subcommand; NULL if not given */
};

/* Parses "127.0.0.1:80" or "[::1]:80"; returns false for anything else. */
bool cli_parse_address (const char *text, struct cli_address *out);

/* Parses the command line, runs the subcommand and returns its exit status. */
int cli_run (int argc, char **argv);

/* Maps a result of the platform or of an entry host to an exit status. */
enum cli_exit cli_exit_for (enum result result);

/* Writes "waxwinglink: CODE NAME: text (detail)" to standard error. */
void cli_print_result (enum result result, const char *detail);

/* The subcommands. */
enum cli_exit cmd_sheet_check (struct cli *cli);
enum cli_exit cmd_sheet_diff (struct cli *cli);
enum cli_exit cmd_sheet_apply (struct cli *cli);
enum cli_exit cmd_sheet_status (struct cli *cli);
enum cli_exit cmd_sheet_history (struct cli *cli);
enum cli_exit cmd_config_check (struct cli *cli);
enum cli_exit cmd_status (struct cli *cli);
enum cli_exit cmd_explain (struct cli *cli);
enum cli_exit cmd_drain (struct cli *cli);
enum cli_exit cmd_undrain (struct cli *cli);
enum cli_exit cmd_release (struct cli *cli);
enum cli_exit cmd_watch (struct cli *cli);
enum cli_exit cmd_report_burn (struct cli *cli);

#endif
