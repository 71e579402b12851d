#include "daemon.h"
#include "edge.h"
#include "log.h"
#include "users-platform.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2

static struct daemon daemon_instance;
static struct settings settings;
static struct edge edge;
static struct edge_settings edge_settings;
static struct settings_errors settings_errors;

static void
print_settings_errors (void)
{
  for (size_t i = 0; i < settings_errors.count && i < SETTINGS_ERROR_LIMIT; i++)
    {
      const struct settings_error *error = &settings_errors.list[i];

      fprintf (stderr, "line %u: %s: %s (%d %s)\n", error->line,
               error->key[0] != '\0' ? error->key : "file", error->text,
               error->code, result_info (error->code)->name);
    }
}

static int
run_daemon (const char *path, bool check_only)
{
  enum result result = settings_load (&settings, path, &settings_errors);
  int level;

  if (result != RESULT_OK)
    {
      print_settings_errors ();
      return EXIT_FAILURE;
    }
  level = log_parse_level (settings.log_level);
  if (level < 0)
    {
      fprintf (stderr, "log_level: \"%s\" is not a level (%d %s)\n",
               settings.log_level, RESULT_SETTINGS_BAD_VALUE,
               result_info (RESULT_SETTINGS_BAD_VALUE)->name);
      return EXIT_FAILURE;
    }
  if (check_only)
    {
      printf ("%s: good\n", path);
      return EXIT_SUCCESS;
    }
  log_setup ("waxwinglinkd", settings.host, (enum log_level)level);
  signal (SIGPIPE, SIG_IGN);
  if (daemon_init (&daemon_instance, &settings, path) != RESULT_OK)
    return EXIT_FAILURE;
  daemon_run (&daemon_instance);
  daemon_finish (&daemon_instance);
  return EXIT_SUCCESS;
}

/* Runs an entry host on the users' platform. */
static int
run_edge (const char *path, bool check_only)
{
  enum result result = settings_load_table (
      &edge_settings_table, &edge_settings, path, &settings_errors);
  int level = log_parse_level (edge_settings.log_level);
  int status = EXIT_FAILURE;

  if (result != RESULT_OK || level < 0)
    {
      print_settings_errors ();
      return EXIT_FAILURE;
    }
  if (check_only)
    {
      printf ("%s: good\n", path);
      return EXIT_SUCCESS;
    }
  log_setup ("waxwinglinkd", edge_settings.host, (enum log_level)level);
  log_to_stdout ();
  signal (SIGPIPE, SIG_IGN);
  result = edge_init (&edge, &users_platform, &edge_settings, path);
  if (result == RESULT_OK)
    {
      edge_run (&edge);
      edge_finish (&edge);
      status = EXIT_SUCCESS;
    }
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_file *file
      = arg_file0 ("s", "settings", "FILE", "settings file (YAML)");
  struct arg_lit *platform
      = arg_lit0 (NULL, "platform", "run on the users' platform");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "show the version and exit");
  struct arg_end *end = arg_end (10);
  void *table[] = { file, platform, check, help, version, end };
  int status = EXIT_USAGE;
  int error_count;

  if (arg_nullcheck (table) != 0)
    goto out;
  error_count = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: waxwinglinkd");
      arg_print_syntax (stdout, table, "\n\n");
      arg_print_glossary (stdout, table, "  %-25s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("waxwinglinkd %s\n", WAXWINGLINK_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (error_count > 0 || file->count == 0)
    {
      arg_print_errors (stderr, end, "waxwinglinkd");
      fprintf (stderr, "waxwinglinkd: --settings FILE is required; see "
                       "--help\n");
    }
  else
    status = platform->count > 0
                 ? run_edge (file->filename[0], check->count > 0)
                 : run_daemon (file->filename[0], check->count > 0);

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
