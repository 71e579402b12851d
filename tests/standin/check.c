/*
 * Compares what callers were told (standin-load --record) with what engines
 * and services ran (GET /control/journal).  Shares no code with the daemon but
 * the base package.  Prints one line per broken property.
 *
 * Exit status: 0 nothing broken, 1 something broken, 2 no verdict, because an
 * input is missing, malformed or empty.
 */

#include <argtable2.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "token.h"

#define ID_SIZE 256
#define FILES_LIMIT 32
#define GRACE_MS 2000 /* docs/design.md, INV-1 and INV-6 */

struct check
{
  json_t *requests;    /* array, in the order of the answers */
  json_t *by_id;       /* request id -> request */
  json_t *runs;        /* array of journal entries */
  json_t *runs_by_key; /* idempotency key -> array of entries */
  json_t *runs_by_id;  /* request id -> array of entries */
  json_t *places;      /* host -> data centre */
  json_t *allowed;     /* customer -> "DC;DC" */
  json_t *intervals;   /* of members that were dead or leaving */
  int64_t grace_ms;
  uint64_t answers;
  uint64_t faults;
};

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static int64_t
number_of (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

static bool
is_true (const json_t *json, const char *name)
{
  return json_is_true (json_object_get (json, name));
}

static void
report (struct check *check,
        const char *property,
        const json_t *request,
        const char *detail)
{
  check->faults++;
  printf ("broken property=%s request_id=%s customer=%s key=%s detail=\"%s\"\n",
          property, text_of (request, "request_id"),
          text_of (request, "customer"), text_of (request, "idempotency_key"),
          detail);
}

/* Reading */

static void
append_to (json_t *map, const char *key, json_t *value)
{
  json_t *list = json_object_get (map, key);

  if (list == NULL)
    {
      list = json_array ();
      json_object_set_new (map, key, list);
    }
  json_array_append (list, value);
}

/* Calls visit with every line of a file of JSON lines. */
static bool
read_lines (struct check *check,
            const char *path,
            bool (*visit) (struct check *check, json_t *json))
{
  FILE *file = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  bool ok = file != NULL;

  while (ok && getline (&line, &size, file) >= 0)
    {
      json_t *json = json_loads (line, 0, NULL);

      ok = json_is_object (json) && visit (check, json);
      json_decref (json);
    }
  if (!ok)
    fprintf (stderr, "standin-check: cannot read %s\n", path);
  free (line);
  if (file != NULL)
    fclose (file);
  return ok;
}

static bool
add_request (struct check *check, json_t *json)
{
  const char *id = text_of (json, "request_id");

  if (id[0] == '\0' || text_of (json, "customer")[0] == '\0'
      || !json_is_integer (json_object_get (json, "status"))
      || json_object_get (check->by_id, id) != NULL)
    return false;
  json_array_append (check->requests, json);
  json_object_set (check->by_id, id, json);
  return true;
}

static bool
add_place (struct check *check, json_t *json)
{
  return json_object_set (check->places, text_of (json, "id"),
                          json_object_get (json, "data_centre"))
         == 0;
}

static bool
add_interval (struct check *check, json_t *json)
{
  json_array_append (check->intervals, json);
  return json_is_integer (json_object_get (json, "from_ms"))
         && json_is_integer (json_object_get (json, "to_ms"));
}

/* The caller's id: an attempt's id is CALLER.UNIQUE.NUMBER. */
static void
caller_id (const json_t *run, char out[ID_SIZE])
{
  snprintf (out, ID_SIZE, "%s", text_of (run, "request_id"));
  for (int i = 0; i < 2; i++)
    {
      char *dot = strrchr (out, '.');

      if (dot != NULL)
        *dot = '\0';
    }
}

static bool
read_journal (struct check *check, const char *path)
{
  json_t *json = json_load_file (path, 0, NULL);
  json_t *journal = json_object_get (json, "journal");
  json_t *run;
  size_t i;
  char id[ID_SIZE];

  if (!json_is_array (journal))
    {
      fprintf (stderr, "standin-check: cannot read %s\n", path);
      json_decref (json);
      return false;
    }
  json_array_foreach (journal, i, run)
    {
      /* A crash of a host is in the journal too, but is no run. */
      if (text_of (run, "request_id")[0] == '\0')
        continue;
      caller_id (run, id);
      json_array_append (check->runs, run);
      append_to (check->runs_by_id, id, run);
      if (text_of (run, "idempotency_key")[0] != '\0')
        append_to (check->runs_by_key, text_of (run, "idempotency_key"), run);
    }
  json_decref (json);
  return true;
}

static bool
add_allowed (struct check *check, const char *text)
{
  const char *equal = strchr (text, '=');
  char name[ID_SIZE];

  if (equal == NULL || (size_t)(equal - text) >= sizeof name)
    return false;
  snprintf (name, sizeof name, "%.*s", (int)(equal - text), text);
  return json_object_set_new (check->allowed, name, json_string (equal + 1))
         == 0;
}

/* Generations */

/* True if the text at this place is a token of another recorded request. */
static bool
is_foreign_token (const struct check *check,
                  const json_t *request,
                  const char *text)
{
  json_t *other;
  size_t i;
  char token[STANDIN_TOKEN_SIZE];

  json_array_foreach (check->requests, i, other)
    {
      if (strcmp (text_of (other, "prompt"), text_of (request, "prompt")) == 0)
        continue;
      for (int64_t n = 0; n < number_of (other, "max_tokens"); n++)
        {
          standin_token (text_of (other, "model"), text_of (other, "prompt"),
                         (uint64_t)n, token);
          if (strncmp (text, token, strlen (token)) == 0)
            return true;
        }
    }
  return false;
}

/* Names what stands where token number next was expected. */
static const char *
classify (const struct check *check,
          const json_t *request,
          int64_t next,
          const char *text)
{
  char token[STANDIN_TOKEN_SIZE];

  for (int64_t i = 0; i < number_of (request, "max_tokens"); i++)
    {
      standin_token (text_of (request, "model"), text_of (request, "prompt"),
                     (uint64_t)i, token);
      if (strncmp (text, token, strlen (token)) == 0)
        return i < next ? "token-doubled" : "token-missing";
    }
  return is_foreign_token (check, request, text) ? "token-of-another-request"
                                                 : "token-wrong";
}

static void
check_generation (struct check *check, const json_t *request)
{
  const char *text = text_of (request, "text");
  int64_t max_tokens = number_of (request, "max_tokens");
  int64_t next = 0;
  char token[STANDIN_TOKEN_SIZE];
  char detail[64];

  for (; next < max_tokens; next++)
    {
      standin_token (text_of (request, "model"), text_of (request, "prompt"),
                     (uint64_t)next, token);
      if (strncmp (text, token, strlen (token)) != 0)
        break;
      text += strlen (token);
    }
  snprintf (detail, sizeof detail, "%" PRId64 " of %" PRId64 " tokens", next,
            max_tokens);
  if (*text != '\0')
    report (check, classify (check, request, next, text), request, detail);
  if (!is_true (request, "ended"))
    return;
  check->answers++;
  if (number_of (request, "code") != 0)
    report (check, "error-looks-whole", request, detail);
  else if (next < max_tokens)
    report (check, "looks-whole-but-is-not", request, detail);
  if (json_object_get (check->runs_by_id, text_of (request, "request_id"))
      == NULL)
    report (check, "answer-without-run", request, "");
}

/* Bookings */

/* The answer must be that of the run under the same key. */
static void
check_booking (struct check *check, const json_t *request)
{
  const json_t *runs = json_object_get (check->runs_by_key,
                                        text_of (request, "idempotency_key"));
  json_t *answer = json_loads (text_of (request, "text"), 0, NULL);
  bool found = false;
  json_t *run;
  size_t i;

  check->answers++;
  json_array_foreach (runs, i, run)
    {
      found = found
              || (json_is_integer (json_object_get (answer, "serial"))
                  && number_of (run, "serial") == number_of (answer, "serial"));
    }
  if (!found)
    report (check, "answer-of-another-request", request,
            text_of (request, "text"));
  json_decref (answer);
}

static void
check_keys (struct check *check)
{
  const char *key;
  json_t *runs;

  json_object_foreach (check->runs_by_key, key, runs)
    {
      char detail[64];

      snprintf (detail, sizeof detail, "ran %zu times", json_array_size (runs));
      if (json_array_size (runs) > 1)
        report (check, "ran-more-than-once", json_array_get (runs, 0), detail);
    }
}

static bool
is_answered_booking (const json_t *request)
{
  int64_t status = number_of (request, "status");

  return strcmp (text_of (request, "kind"), "booking") == 0 && status >= 200
         && status < 300;
}

/* All answers to a key are the first one, and one of them is no replay. */
static void
check_replays (struct check *check)
{
  json_t *firsts = json_object ();
  json_t *request;
  size_t i;

  for (int replays = 0; replays < 2; replays++)
    json_array_foreach (check->requests, i, request)
      {
        const char *key = text_of (request, "idempotency_key");
        const json_t *first = json_object_get (firsts, key);

        if (!is_answered_booking (request)
            || is_true (request, "replayed") != (replays == 1))
          continue;
        if (first == NULL)
          json_object_set (firsts, key, request);
        else if (replays == 0)
          report (check, "answered-twice-without-replay", request, "");
        else if (strcmp (text_of (first, "text"), text_of (request, "text"))
                     != 0
                 || number_of (first, "status")
                        != number_of (request, "status"))
          report (check, "replay-differs", request, text_of (request, "text"));
      }
  json_decref (firsts);
}

/* Runs */

static bool
list_has (const char *list, const char *name)
{
  size_t size = strlen (name);

  while (list != NULL && *list != '\0')
    {
      size_t length = strcspn (list, ";");

      if (length == size && strncmp (list, name, size) == 0)
        return true;
      list += length + (list[length] == ';');
    }
  return false;
}

/* False if the inputs do not tell the place. */
static bool
check_place (struct check *check, const json_t *run, const json_t *request)
{
  const char *place = json_string_value (
      json_object_get (check->places, text_of (run, "host")));
  const char *allowed = json_string_value (
      json_object_get (check->allowed, text_of (request, "customer")));

  if (json_object_size (check->allowed) == 0)
    return true;
  if (place == NULL || allowed == NULL)
    {
      fprintf (stderr,
               "standin-check: place of host %s or customer %s is "
               "not known\n",
               text_of (run, "host"), text_of (request, "customer"));
      return false;
    }
  if (!list_has (allowed, place))
    report (check, "forbidden-place", request, place);
  return true;
}

/*
 * An interval names a host, or a group and generation, or both.  A run on the
 * group while one of its members was dead or leaving breaks INV-1 or INV-6.
 */
static void
check_intervals (struct check *check, const json_t *run)
{
  int64_t at_ms = number_of (run, "at_ms");
  json_t *interval;
  size_t i;

  json_array_foreach (check->intervals, i, interval)
    {
      const char *group = text_of (interval, "group");
      bool same = group[0] != '\0' ? strcmp (group, text_of (run, "group")) == 0
                                         && number_of (interval, "generation")
                                                == number_of (run, "generation")
                                   : strcmp (text_of (interval, "host"),
                                             text_of (run, "host"))
                                         == 0;
      char detail[ID_SIZE];

      if (!same || at_ms <= number_of (interval, "from_ms") + check->grace_ms
          || at_ms > number_of (interval, "to_ms"))
        continue;
      snprintf (detail, sizeof detail, "host %s, %" PRId64 " ms after",
                text_of (interval, "host"),
                at_ms - number_of (interval, "from_ms"));
      report (check, "ran-on-absent-or-leaving", run, detail);
    }
}

static bool
check_runs (struct check *check)
{
  bool ok = true;
  json_t *run;
  size_t i;

  json_array_foreach (check->runs, i, run)
    {
      const json_t *request;
      char id[ID_SIZE];

      check_intervals (check, run);
      caller_id (run, id);
      request = json_object_get (check->by_id, id);
      if (request == NULL)
        continue;
      if (strcmp (text_of (request, "outcome"), "not-run") == 0)
        report (check, "not-run-but-ran", request, text_of (run, "host"));
      ok = check_place (check, run, request) && ok;
    }
  return ok;
}

static int
verdict (struct check *check)
{
  json_t *request;
  size_t i;
  bool ok;

  if (json_array_size (check->requests) == 0
      || json_array_size (check->runs) == 0)
    {
      fprintf (stderr,
               "standin-check: no verdict on %zu requests and %zu "
               "journal entries\n",
               json_array_size (check->requests),
               json_array_size (check->runs));
      return 2;
    }
  json_array_foreach (check->requests, i, request)
    {
      const char *kind = text_of (request, "kind");

      if (strcmp (kind, "completion") == 0 || strcmp (kind, "chat") == 0)
        check_generation (check, request);
      else if (is_answered_booking (request))
        check_booking (check, request);
    }
  check_keys (check);
  check_replays (check);
  ok = check_runs (check);
  printf ("requests=%zu whole_answers=%" PRIu64 " runs=%zu faults=%" PRIu64
          "\n",
          json_array_size (check->requests), check->answers,
          json_array_size (check->runs), check->faults);
  if (check->faults > 0)
    return EXIT_FAILURE;
  return ok ? EXIT_SUCCESS : 2;
}

int
main (int argc, char **argv)
{
  struct arg_str *records = arg_strn (NULL, "record", "FILE", 1, FILES_LIMIT,
                                      "record of standin-load");
  struct arg_str *journals = arg_strn (NULL, "journal", "FILE", 1, FILES_LIMIT,
                                       "answer of /control/journal");
  struct arg_str *hosts = arg_str0 (
      NULL, "hosts", "FILE", "JSON lines with id and data_centre of hosts");
  struct arg_str *allowed
      = arg_strn (NULL, "allow", "CUSTOMER=DC;...", 0, FILES_LIMIT,
                  "data centres that a customer's requests may run in");
  struct arg_str *intervals = arg_str0 (
      NULL, "absent", "FILE",
      "JSON lines host, group, generation, from_ms, to_ms (boot time) of "
      "members that were dead or leaving");
  struct arg_int *grace
      = arg_int0 (NULL, "grace-ms", "MS", "time to notice the above (2000)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (5);
  void *table[]
      = { records, journals, hosts, allowed, intervals, grace, help, end };
  int errors = arg_parse (argc, argv, table);
  int status = 2;
  struct check check = { 0 };
  json_t **const parts[]
      = { &check.requests,   &check.by_id,  &check.runs,    &check.runs_by_key,
          &check.runs_by_id, &check.places, &check.allowed, &check.intervals };
  bool ok = errors == 0;

  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    *parts[i] = json_object ();
  json_decref (check.requests);
  json_decref (check.runs);
  json_decref (check.intervals);
  check.requests = json_array ();
  check.runs = json_array ();
  check.intervals = json_array ();
  check.grace_ms = grace->count > 0 ? grace->ival[0] : GRACE_MS;
  if (help->count > 0)
    {
      printf ("usage: standin-check");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-30s %s\n");
      status = EXIT_SUCCESS;
      ok = false;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "standin-check");
  for (int i = 0; ok && i < allowed->count; i++)
    ok = add_allowed (&check, allowed->sval[i]);
  for (int i = 0; ok && i < records->count; i++)
    ok = read_lines (&check, records->sval[i], add_request);
  for (int i = 0; ok && i < journals->count; i++)
    ok = read_journal (&check, journals->sval[i]);
  if (ok && hosts->count > 0)
    ok = read_lines (&check, hosts->sval[0], add_place);
  if (ok && intervals->count > 0)
    ok = read_lines (&check, intervals->sval[0], add_interval);
  if (ok)
    status = verdict (&check);
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    json_decref (*parts[i]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
