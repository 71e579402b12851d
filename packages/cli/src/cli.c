#include "cli.h"

#include <argtable2.h>
#include <event2/util.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "waxwinglink"
#define WORD_LIMIT 4 /* words of the command and its arguments */
#define DEFAULT_TIMEOUT_MS 5000
/* Over three times the target of 3 s for a change to be in force. */
#define DEFAULT_WAIT_MS 10000
#define DEFAULT_INTERVAL_MS 1000
#define DEFAULT_OBJECTIVE_PERCENT 99.5

/* Options that a command requires, as bits. */
enum command_need
{
  NEED_PLATFORM = 1,
  NEED_ENTRY = 2,
};

struct command
{
  const char *words[2];
  int argument_min;
  int argument_max;
  unsigned needs;
  enum cli_exit (*run) (struct cli *cli);
  const char *usage;
  const char *summary;
};

static const struct command commands[] = {
  { { "sheet", "check" },
    1,
    1,
    0,
    cmd_sheet_check,
    "sheet check FILE [--force]",
    "validate a sheet; --platform adds the checks against the fleet" },
  { { "sheet", "diff" },
    1,
    2,
    0,
    cmd_sheet_diff,
    "sheet diff FILE [FILE2]",
    "compare the accepted sheet with FILE, or FILE with FILE2" },
  { { "sheet", "apply" },
    1,
    1,
    NEED_PLATFORM,
    cmd_sheet_apply,
    "sheet apply FILE [--force]",
    "validate, accept and wait until it is in force" },
  { { "sheet", "status" },
    0,
    0,
    NEED_PLATFORM,
    cmd_sheet_status,
    "sheet status",
    "accepted sheet, and where it is in force" },
  { { "sheet", "history" },
    0,
    0,
    NEED_PLATFORM,
    cmd_sheet_history,
    "sheet history",
    "the last accepted changes" },
  { { "config", "check" },
    1,
    1,
    0,
    cmd_config_check,
    "config check FILE [--against VERSION|FILE] [--store ADDRESS:PORT] "
    "[--format table|json]",
    "check a platform configuration before it goes to the store; exit status "
    "0 clean, 1 findings, 2 could not check" },
  { { "status", NULL },
    0,
    0,
    NEED_ENTRY,
    cmd_status,
    "status",
    "entry hosts, groups, wanted groups, hosts, quarantine" },
  { { "explain", NULL },
    2,
    2,
    NEED_ENTRY,
    cmd_explain,
    "explain group|host|request ID",
    "recent decisions about it" },
  { { "drain", NULL },
    1,
    1,
    NEED_PLATFORM,
    cmd_drain,
    "drain HOST [--force]",
    "take a host out of use; --force for one that is not listed" },
  { { "undrain", NULL },
    1,
    1,
    NEED_PLATFORM,
    cmd_undrain,
    "undrain HOST",
    "put a drained host back into use" },
  { { "release", NULL },
    1,
    1,
    NEED_PLATFORM,
    cmd_release,
    "release FINGERPRINT",
    "let a quarantined request run again" },
  { { "watch", NULL },
    0,
    0,
    NEED_ENTRY,
    cmd_watch,
    "watch [--rounds N]",
    "print changes of the fleet as they happen" },
  { { "report", "burn" },
    0,
    0,
    NEED_ENTRY,
    cmd_report_burn,
    "report burn [--objective PERCENT] [--gnuplot FILE]",
    "error budget used and burn rate per window" },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

bool
cli_parse_address (const char *text, struct cli_address *out)
{
  struct sockaddr_storage storage;
  struct sockaddr *address = (struct sockaddr *)&storage;
  int size = sizeof storage;
  const void *raw;

  memset (out, 0, sizeof *out);
  if (strlen (text) >= sizeof out->text
      || evutil_parse_sockaddr_port (text, address, &size) != 0)
    return false;
  if (address->sa_family == AF_INET)
    {
      const struct sockaddr_in *in = (const void *)address;

      raw = &in->sin_addr;
      out->port = ntohs (in->sin_port);
    }
  else
    {
      const struct sockaddr_in6 *in = (const void *)address;

      raw = &in->sin6_addr;
      out->port = ntohs (in->sin6_port);
    }
  memcpy (out->text, text, strlen (text) + 1);
  return out->port != 0
         && evutil_inet_ntop (address->sa_family, raw, out->host,
                              sizeof out->host)
                != NULL;
}

enum cli_exit
cli_exit_for (enum result result)
{
  switch (result)
    {
    case RESULT_OK:
      return CLI_GOOD;
    case RESULT_PLATFORM_UNREACHABLE:
    case RESULT_PLATFORM_LOST_ANSWER:
    case RESULT_PLATFORM_OVERLOADED:
    case RESULT_PLATFORM_OUTAGE:
    case RESULT_PLATFORM_BAD_ANSWER:
      return CLI_UNREACHABLE;
    case RESULT_PLATFORM_CONFLICT:
    case RESULT_SHEET_CONFLICT:
      return CLI_CONFLICT;
    default:
      return CLI_REFUSED;
    }
}

void
cli_print_result (enum result result, const char *detail)
{
  const struct result_info *info = result_info (result);

  fprintf (stderr, PROGRAM ": %d %s: %s%s%s%s\n", info->number, info->name,
           info->text, detail != NULL ? " (" : "", detail != NULL ? detail : "",
           detail != NULL ? ")" : "");
}

static const struct command *
find_command (const char *const *words, int count, int *word_count)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      int length = commands[i].words[1] != NULL ? 2 : 1;
      bool matches = count >= length;

      for (int j = 0; j < length && matches; j++)
        matches = strcmp (words[j], commands[i].words[j]) == 0;
      if (matches)
        {
          *word_count = length;
          return &commands[i];
        }
    }
  return NULL;
}

static void
print_help (void **options)
{
  printf ("Usage: " PROGRAM " [OPTION...] COMMAND\n\nCommands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    printf ("  %s\n      %s\n", commands[i].usage, commands[i].summary);
  printf ("\nOptions:\n");
  arg_print_glossary (stdout, options, "  %-27s %s\n");
  printf ("\nExit status: 0 good, 1 refused or not in force, 2 usage,"
          " 3 unreachable, 4 conflict.\n");
}

static int
print_usage_error (const char *message, const char *value)
{
  fprintf (stderr, PROGRAM ": %s%s%s; try " PROGRAM " --help\n", message,
           value != NULL ? ": " : "", value != NULL ? value : "");
  return CLI_USAGE;
}

static int
run_command (struct cli *cli, const char *const *words, int count)
{
  const struct command *command;
  int word_count = 0;
  int status;

  command = find_command (words, count, &word_count);
  if (command == NULL)
    return print_usage_error ("unknown command", count > 0 ? words[0] : NULL);
  if (count - word_count < command->argument_min
      || count - word_count > command->argument_max)
    return print_usage_error ("usage", command->usage);
  for (int i = word_count; i < count; i++)
    cli->arguments[i - word_count] = words[i];
  if ((command->needs & NEED_PLATFORM) != 0 && !cli->has_platform)
    return print_usage_error ("--platform is required for", command->usage);
  if ((command->needs & NEED_ENTRY) != 0 && cli->entry_count == 0)
    return print_usage_error ("--entry is required for", command->usage);
  cli->base = event_base_new ();
  if (cli->base == NULL)
    {
      cli_print_result (RESULT_NO_MEMORY, NULL);
      return CLI_REFUSED;
    }
  status = command->run (cli);
  event_base_free (cli->base);
  if (fflush (stdout) != 0 && status == CLI_GOOD)
    {
      perror (PROGRAM ": standard output");
      status = CLI_REFUSED;
    }
  return status;
}

static bool
copy_text (char *out, size_t size, const char *text)
{
  if (strlen (text) >= size)
    return false;
  memcpy (out, text, strlen (text) + 1);
  return true;
}

/* The operator's name is written into JSON, which must be UTF-8. */
static bool
is_utf8 (const char *text)
{
  json_t *json = json_string (text);
  bool valid = json != NULL;

  json_decref (json);
  return valid;
}

static void
set_number (int *out, const struct arg_int *option)
{
  if (option->count > 0)
    *out = option->ival[0];
}

int
cli_run (int argc, char **argv)
{
  static struct cli cli;
  const char *user = getenv ("USER");
  struct arg_str *platform = arg_str0 (NULL, "platform", "ADDRESS:PORT",
                                       "object service of the platform");
  struct arg_str *entry
      = arg_strn (NULL, "entry", "ADDRESS:PORT", 0, CLI_ENTRY_LIMIT,
                  "admin address of an entry host; repeatable, name one or "
                  "more per data centre");
  struct arg_lit *json = arg_lit0 (NULL, "json", "write JSON");
  struct arg_str *format = arg_str0 (NULL, "format", "table|json",
                                     "of the output; json is --json");
  struct arg_str *against
      = arg_str0 (NULL, "against", "VERSION|FILE",
                  "show differences from a file, or from this version if "
                  "it is the one in force");
  struct arg_str *store
      = arg_str0 (NULL, "store", "ADDRESS:PORT",
                  "store of the users' platform; reads the configuration in "
                  "force and the endpoints");
  struct arg_str *operator_name = arg_str0 (
      NULL, "operator", "NAME", "operator to record; default $USER");
  struct arg_int *timeout = arg_int0 (NULL, "timeout-ms", "N",
                                      "limit for one response; default 5000");
  struct arg_int *wait = arg_int0 (NULL, "wait-ms", "N",
                                   "until a change is in force; default 10000");
  struct arg_lit *force = arg_lit0 (
      NULL, "force", "accept a sheet that lost over half of its rows");
  struct arg_dbl *objective = arg_dbl0 (NULL, "objective", "PERCENT",
                                        "of good requests; default 99.5");
  struct arg_str *gnuplot
      = arg_str0 (NULL, "gnuplot", "FILE", "write a gnuplot script to FILE");
  struct arg_int *interval = arg_int0 (NULL, "interval-ms", "N",
                                       "between rounds of watch; default 1000");
  struct arg_int *rounds
      = arg_int0 (NULL, "rounds", "N", "of watch; default until interrupted");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_str *words = arg_strn (NULL, NULL, "COMMAND", 0, WORD_LIMIT, NULL);
  struct arg_end *end = arg_end (8);
  void *options[] = { platform,      entry,   json, format,  against,   store,
                      operator_name, timeout, wait, force,   objective, gnuplot,
                      interval,      rounds,  help, version, words,     end };
  int status;

  signal (SIGPIPE, SIG_IGN);
  memset (&cli, 0, sizeof cli);
  cli.timeout_ms = DEFAULT_TIMEOUT_MS;
  cli.wait_ms = DEFAULT_WAIT_MS;
  cli.interval_ms = DEFAULT_INTERVAL_MS;
  cli.objective = DEFAULT_OBJECTIVE_PERCENT;
  if (arg_nullcheck (options) != 0)
    {
      cli_print_result (RESULT_NO_MEMORY, NULL);
      status = CLI_REFUSED;
      goto finish;
    }
  if (arg_parse (argc, argv, options) > 0 && help->count == 0
      && version->count == 0)
    {
      arg_print_errors (stderr, end, PROGRAM);
      status = print_usage_error ("the command line is wrong", NULL);
      goto finish;
    }
  if (version->count > 0)
    {
      printf (PROGRAM " " WAXWINGLINK_VERSION "\n");
      status = CLI_GOOD;
      goto finish;
    }
  if (help->count > 0)
    {
      print_help (options);
      status = CLI_GOOD;
      goto finish;
    }
  cli.json = json->count > 0;
  if (format->count > 0)
    {
      if (strcmp (format->sval[0], "table") != 0
          && strcmp (format->sval[0], "json") != 0)
        {
          status = print_usage_error ("--format must be table or json",
                                      format->sval[0]);
          goto finish;
        }
      cli.json = strcmp (format->sval[0], "json") == 0;
    }
  cli.force = force->count > 0;
  set_number (&cli.timeout_ms, timeout);
  set_number (&cli.wait_ms, wait);
  set_number (&cli.interval_ms, interval);
  set_number (&cli.rounds, rounds);
  if (objective->count > 0)
    cli.objective = objective->dval[0];
  if (cli.timeout_ms <= 0 || cli.wait_ms < 0 || cli.interval_ms <= 0
      || cli.rounds < 0)
    {
      status = print_usage_error ("a number is out of its range", NULL);
      goto finish;
    }
  /* The negated condition also rejects a NaN. */
  if (!(cli.objective > 0 && cli.objective < 100))
    {
      status
          = print_usage_error ("--objective must lie between 0 and 100", NULL);
      goto finish;
    }
  if (platform->count > 0)
    {
      if (!cli_parse_address (platform->sval[0], &cli.platform))
        {
          status = print_usage_error ("not an IP address and port",
                                      platform->sval[0]);
          goto finish;
        }
      cli.has_platform = true;
    }
  for (int i = 0; i < entry->count; i++)
    {
      if (!cli_parse_address (entry->sval[i], &cli.entries[i]))
        {
          status = print_usage_error ("not an IP address and port",
                                      entry->sval[i]);
          goto finish;
        }
      cli.entry_count++;
    }
  if (store->count > 0)
    {
      if (!cli_parse_address (store->sval[0], &cli.store))
        {
          status = print_usage_error ("not an IP address and port",
                                      store->sval[0]);
          goto finish;
        }
      cli.has_store = true;
    }
  if (against->count > 0
      && !copy_text (cli.against, sizeof cli.against, against->sval[0]))
    {
      status = print_usage_error ("--against is too long", NULL);
      goto finish;
    }
  if (user == NULL || *user == '\0')
    user = "unknown";
  if (operator_name->count > 0)
    user = operator_name->sval[0];
  if (*user == '\0' || !is_utf8 (user)
      || !copy_text (cli.operator_name, sizeof cli.operator_name, user))
    {
      status = print_usage_error ("--operator must have 1 to 63 bytes of UTF-8",
                                  NULL);
      goto finish;
    }
  if (gnuplot->count > 0
      && !copy_text (cli.gnuplot, sizeof cli.gnuplot, gnuplot->sval[0]))
    {
      status = print_usage_error ("--gnuplot is too long", NULL);
      goto finish;
    }
  status = run_command (&cli, words->sval, words->count);

finish:
  arg_freetable (options, sizeof options / sizeof options[0]);
  return status;
}
