/*
 * Compares the responses that callers received (standin-load --record) with
 * the requests that engines and services ran (GET /control/journal).  The
 * only code that it shares with the daemon is the base package.  Prints one
 * line per violated property.
 *
 * Exit status: 0 no violation, 1 at least one violation, 2 no verdict, because
 * an input is missing, malformed or empty.
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
/* Time to notice a dead or leaving member: docs/design.md, INV-1 and INV-6. */
#define GRACE_MS 2000

struct checker
{
  json_t *requests;             /* array, in the order of the responses */
  json_t *requests_by_id;       /* request id -> request */
  json_t *runs;                 /* array of journal entries of requests */
  json_t *runs_by_key;          /* idempotency key -> array of entries */
  json_t *runs_by_request_id;   /* request id -> array of entries */
  json_t *data_centres;         /* host -> data centre */
  json_t *allowed_data_centres; /* customer -> "DC;DC" */
  json_t *absences; /* array of intervals when a member was dead or leaving */
  int64_t grace_ms; /* time to notice an absence */
  uint64_t
      ended_responses; /* generations that ended with [DONE], and bookings */
  uint64_t violations;
};

static const char *
get_string (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static int64_t
get_integer (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json, name));
}

static bool
is_member_true (const json_t *json, const char *name)
{
  return json_is_true (json_object_get (json, name));
}

static void
report_violation (struct checker *checker,
                  const char *property,
                  const json_t *request,
                  const char *detail)
{
  checker->violations++;
  printf ("broken property=%s request_id=%s customer=%s key=%s detail=\"%s\"\n",
          property, get_string (request, "request_id"),
          get_string (request, "customer"),
          get_string (request, "idempotency_key"), detail);
}

/* Inputs */

static void
append_to_list (json_t *map, const char *key, json_t *value)
{
  json_t *list = json_object_get (map, key);

  if (list == NULL)
    {
      list = json_array ();
      json_object_set_new (map, key, list);
    }
  json_array_append (list, value);
}

/* Calls handle_object with the object on each line of the file. */
static bool
read_json_lines (struct checker *checker,
                 const char *path,
                 bool (*handle_object) (struct checker *checker, json_t *json))
{
  FILE *file = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;
  bool ok = file != NULL;

  while (ok && getline (&line, &size, file) >= 0)
    {
      json_t *json = json_loads (line, 0, NULL);

      ok = json_is_object (json) && handle_object (checker, json);
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
add_request (struct checker *checker, json_t *json)
{
  const char *id = get_string (json, "request_id");

  if (id[0] == '\0' || get_string (json, "customer")[0] == '\0'
      || !json_is_integer (json_object_get (json, "status"))
      || json_object_get (checker->requests_by_id, id) != NULL)
    return false;
  json_array_append (checker->requests, json);
  json_object_set (checker->requests_by_id, id, json);
  return true;
}

static bool
add_host_data_centre (struct checker *checker, json_t *json)
{
  return json_object_set (checker->data_centres, get_string (json, "id"),
                          json_object_get (json, "data_centre"))
         == 0;
}

static bool
add_absence (struct checker *checker, json_t *json)
{
  json_array_append (checker->absences, json);
  return json_is_integer (json_object_get (json, "from_ms"))
         && json_is_integer (json_object_get (json, "to_ms"));
}

/*
 * Writes the request id that the caller chose.  An engine sees the id of an
 * attempt: CALLER.UNIQUE.NUMBER.
 */
static void
extract_caller_request_id (const json_t *run, char out[ID_SIZE])
{
  snprintf (out, ID_SIZE, "%s", get_string (run, "request_id"));
  for (int i = 0; i < 2; i++)
    {
      char *dot = strrchr (out, '.');

      if (dot != NULL)
        *dot = '\0';
    }
}

static bool
read_journal (struct checker *checker, const char *path)
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
      /* The journal also has crashes of hosts, which have no request id. */
      if (get_string (run, "request_id")[0] == '\0')
        continue;
      extract_caller_request_id (run, id);
      json_array_append (checker->runs, run);
      append_to_list (checker->runs_by_request_id, id, run);
      if (get_string (run, "idempotency_key")[0] != '\0')
        append_to_list (checker->runs_by_key,
                        get_string (run, "idempotency_key"), run);
    }
  json_decref (json);
  return true;
}

static bool
parse_allowed_data_centres (struct checker *checker, const char *text)
{
  const char *equal = strchr (text, '=');
  char name[ID_SIZE];

  if (equal == NULL || (size_t)(equal - text) >= sizeof name)
    return false;
  snprintf (name, sizeof name, "%.*s", (int)(equal - text), text);
  return json_object_set_new (checker->allowed_data_centres, name,
                              json_string (equal + 1))
         == 0;
}

/* Generations */

/* True if text begins with a token of another recorded request. */
static bool
is_foreign_token (const struct checker *checker,
                  const json_t *request,
                  const char *text)
{
  json_t *other;
  size_t i;
  char token[STANDIN_TOKEN_SIZE];

  json_array_foreach (checker->requests, i, other)
    {
      if (strcmp (get_string (other, "prompt"), get_string (request, "prompt"))
          == 0)
        continue;
      for (int64_t n = 0; n < get_integer (other, "max_tokens"); n++)
        {
          standin_token (get_string (other, "model"),
                         get_string (other, "prompt"), (uint64_t)n, token);
          if (strncmp (text, token, strlen (token)) == 0)
            return true;
        }
    }
  return false;
}

/* Names the violation when text begins with something else than token next. */
static const char *
classify_wrong_text (const struct checker *checker,
                     const json_t *request,
                     int64_t next,
                     const char *text)
{
  char token[STANDIN_TOKEN_SIZE];

  for (int64_t i = 0; i < get_integer (request, "max_tokens"); i++)
    {
      standin_token (get_string (request, "model"),
                     get_string (request, "prompt"), (uint64_t)i, token);
      if (strncmp (text, token, strlen (token)) == 0)
        return i < next ? "token-doubled" : "token-missing";
    }
  return is_foreign_token (checker, request, text) ? "token-of-another-request"
                                                   : "token-wrong";
}

static void
check_generation (struct checker *checker, const json_t *request)
{
  const char *text = get_string (request, "text");
  int64_t max_tokens = get_integer (request, "max_tokens");
  int64_t next = 0;
  char token[STANDIN_TOKEN_SIZE];
  char detail[64];

  for (; next < max_tokens; next++)
    {
      standin_token (get_string (request, "model"),
                     get_string (request, "prompt"), (uint64_t)next, token);
      if (strncmp (text, token, strlen (token)) != 0)
        break;
      text += strlen (token);
    }
  snprintf (detail, sizeof detail, "%" PRId64 " of %" PRId64 " tokens", next,
            max_tokens);
  if (*text != '\0')
    report_violation (checker,
                      classify_wrong_text (checker, request, next, text),
                      request, detail);
  if (!is_member_true (request, "ended"))
    return;
  checker->ended_responses++;
  if (get_integer (request, "code") != 0)
    report_violation (checker, "error-looks-whole", request, detail);
  else if (next < max_tokens)
    report_violation (checker, "looks-whole-but-is-not", request, detail);
  if (json_object_get (checker->runs_by_request_id,
                       get_string (request, "request_id"))
      == NULL)
    report_violation (checker, "answer-without-run", request, "");
}

/* Bookings */

/* Checks that the response is that of a run with the same key. */
static void
check_booking_response (struct checker *checker, const json_t *request)
{
  const json_t *runs = json_object_get (
      checker->runs_by_key, get_string (request, "idempotency_key"));
  json_t *response = json_loads (get_string (request, "text"), 0, NULL);
  bool has_run = false;
  json_t *run;
  size_t i;

  checker->ended_responses++;
  json_array_foreach (runs, i, run)
    {
      has_run = has_run
                || (json_is_integer (json_object_get (response, "serial"))
                    && get_integer (run, "serial")
                           == get_integer (response, "serial"));
    }
  if (!has_run)
    report_violation (checker, "answer-of-another-request", request,
                      get_string (request, "text"));
  json_decref (response);
}

static void
check_runs_per_key (struct checker *checker)
{
  const char *key;
  json_t *runs;

  json_object_foreach (checker->runs_by_key, key, runs)
    {
      char detail[64];

      snprintf (detail, sizeof detail, "ran %zu times", json_array_size (runs));
      if (json_array_size (runs) > 1)
        report_violation (checker, "ran-more-than-once",
                          json_array_get (runs, 0), detail);
    }
}

static bool
is_successful_booking (const json_t *request)
{
  int64_t status = get_integer (request, "status");

  return strcmp (get_string (request, "kind"), "booking") == 0 && status >= 200
         && status < 300;
}

/*
 * Checks that at most one response to a key is not a replay, and that the
 * replays equal the first response.
 */
static void
check_replayed_responses (struct checker *checker)
{
  json_t *first_responses = json_object ();
  json_t *request;
  size_t i;

  for (int replayed = 0; replayed < 2; replayed++)
    json_array_foreach (checker->requests, i, request)
      {
        const char *key = get_string (request, "idempotency_key");
        const json_t *first = json_object_get (first_responses, key);

        if (!is_successful_booking (request)
            || is_member_true (request, "replayed") != (replayed == 1))
          continue;
        if (first == NULL)
          json_object_set (first_responses, key, request);
        else if (replayed == 0)
          report_violation (checker, "answered-twice-without-replay", request,
                            "");
        else if (strcmp (get_string (first, "text"),
                         get_string (request, "text"))
                     != 0
                 || get_integer (first, "status")
                        != get_integer (request, "status"))
          report_violation (checker, "replay-differs", request,
                            get_string (request, "text"));
      }
  json_decref (first_responses);
}

/* Runs */

static bool
has_list_item (const char *list, const char *name)
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

/* Returns false if the inputs lack the host or the customer. */
static bool
check_data_centre (struct checker *checker,
                   const json_t *run,
                   const json_t *request)
{
  const char *data_centre = json_string_value (
      json_object_get (checker->data_centres, get_string (run, "host")));
  const char *allowed = json_string_value (json_object_get (
      checker->allowed_data_centres, get_string (request, "customer")));

  if (json_object_size (checker->allowed_data_centres) == 0)
    return true;
  if (data_centre == NULL || allowed == NULL)
    {
      fprintf (stderr,
               "standin-check: data centre of host %s or customer %s is "
               "not known\n",
               get_string (run, "host"), get_string (request, "customer"));
      return false;
    }
  if (!has_list_item (allowed, data_centre))
    report_violation (checker, "forbidden-place", request, data_centre);
  return true;
}

/*
 * Reports a run during an absence, after the grace time (INV-1, INV-6).  An
 * absence with a group applies to runs of this group and generation, one
 * without a group to runs on its host.
 */
static void
check_absences (struct checker *checker, const json_t *run)
{
  int64_t at_ms = get_integer (run, "at_ms");
  json_t *absence;
  size_t i;

  json_array_foreach (checker->absences, i, absence)
    {
      const char *group = get_string (absence, "group");
      bool matches_run = group[0] != '\0'
                             ? strcmp (group, get_string (run, "group")) == 0
                                   && get_integer (absence, "generation")
                                          == get_integer (run, "generation")
                             : strcmp (get_string (absence, "host"),
                                       get_string (run, "host"))
                                   == 0;
      char detail[ID_SIZE];

      if (!matches_run
          || at_ms <= get_integer (absence, "from_ms") + checker->grace_ms
          || at_ms > get_integer (absence, "to_ms"))
        continue;
      snprintf (detail, sizeof detail, "host %s, %" PRId64 " ms after",
                get_string (absence, "host"),
                at_ms - get_integer (absence, "from_ms"));
      report_violation (checker, "ran-on-absent-or-leaving", run, detail);
    }
}

static bool
check_runs (struct checker *checker)
{
  bool ok = true;
  json_t *run;
  size_t i;

  json_array_foreach (checker->runs, i, run)
    {
      const json_t *request;
      char id[ID_SIZE];

      check_absences (checker, run);
      extract_caller_request_id (run, id);
      request = json_object_get (checker->requests_by_id, id);
      if (request == NULL)
        continue;
      if (strcmp (get_string (request, "outcome"), "not-run") == 0)
        report_violation (checker, "not-run-but-ran", request,
                          get_string (run, "host"));
      ok = check_data_centre (checker, run, request) && ok;
    }
  return ok;
}

/* Checks everything that was read and returns the exit status. */
static int
compute_verdict (struct checker *checker)
{
  json_t *request;
  size_t i;
  bool ok;

  if (json_array_size (checker->requests) == 0
      || json_array_size (checker->runs) == 0)
    {
      fprintf (stderr,
               "standin-check: no verdict on %zu requests and %zu "
               "journal entries\n",
               json_array_size (checker->requests),
               json_array_size (checker->runs));
      return 2;
    }
  json_array_foreach (checker->requests, i, request)
    {
      const char *kind = get_string (request, "kind");

      if (strcmp (kind, "completion") == 0 || strcmp (kind, "chat") == 0)
        check_generation (checker, request);
      else if (is_successful_booking (request))
        check_booking_response (checker, request);
    }
  check_runs_per_key (checker);
  check_replayed_responses (checker);
  ok = check_runs (checker);
  printf ("requests=%zu whole_answers=%" PRIu64 " runs=%zu faults=%" PRIu64
          "\n",
          json_array_size (checker->requests), checker->ended_responses,
          json_array_size (checker->runs), checker->violations);
  if (checker->violations > 0)
    return EXIT_FAILURE;
  return ok ? EXIT_SUCCESS : 2;
}

int
main (int argc, char **argv)
{
  struct arg_str *records = arg_strn (NULL, "record", "FILE", 1, FILES_LIMIT,
                                      "record of standin-load");
  struct arg_str *journals = arg_strn (NULL, "journal", "FILE", 1, FILES_LIMIT,
                                       "response of /control/journal");
  struct arg_str *hosts = arg_str0 (
      NULL, "hosts", "FILE", "JSON lines with id and data_centre of hosts");
  struct arg_str *allowed
      = arg_strn (NULL, "allow", "CUSTOMER=DC;...", 0, FILES_LIMIT,
                  "data centres that a customer's requests may run in");
  struct arg_str *absences = arg_str0 (
      NULL, "absent", "FILE",
      "JSON lines host, group, generation, from_ms, to_ms (boot time) of "
      "members that were dead or leaving");
  struct arg_int *grace = arg_int0 (
      NULL, "grace-ms", "MS", "time to notice a member of --absent (2000)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (5);
  void *table[]
      = { records, journals, hosts, allowed, absences, grace, help, end };
  int errors = arg_parse (argc, argv, table);
  int status = 2;
  struct checker checker = { 0 };
  json_t **const collections[] = { &checker.requests,
                                   &checker.requests_by_id,
                                   &checker.runs,
                                   &checker.runs_by_key,
                                   &checker.runs_by_request_id,
                                   &checker.data_centres,
                                   &checker.allowed_data_centres,
                                   &checker.absences };
  bool ok = errors == 0;

  for (size_t i = 0; i < sizeof collections / sizeof collections[0]; i++)
    *collections[i] = json_object ();
  json_decref (checker.requests);
  json_decref (checker.runs);
  json_decref (checker.absences);
  checker.requests = json_array ();
  checker.runs = json_array ();
  checker.absences = json_array ();
  checker.grace_ms = grace->count > 0 ? grace->ival[0] : GRACE_MS;
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
    ok = parse_allowed_data_centres (&checker, allowed->sval[i]);
  for (int i = 0; ok && i < records->count; i++)
    ok = read_json_lines (&checker, records->sval[i], add_request);
  for (int i = 0; ok && i < journals->count; i++)
    ok = read_journal (&checker, journals->sval[i]);
  if (ok && hosts->count > 0)
    ok = read_json_lines (&checker, hosts->sval[0], add_host_data_centre);
  if (ok && absences->count > 0)
    ok = read_json_lines (&checker, absences->sval[0], add_absence);
  if (ok)
    status = compute_verdict (&checker);
  for (size_t i = 0; i < sizeof collections / sizeof collections[0]; i++)
    json_decref (*collections[i]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
