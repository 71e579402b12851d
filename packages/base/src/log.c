#include "log.h"

#include "hash.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 2048
/*
 * A longer value is cut, and followed by its size and hash, so that it hides
 * no other field and is not taken for another value that begins like it.
 */
#define VALUE_LIMIT_BYTES 192
#define CUT_VALUE_BYTES 96
#define FACILITY_DAEMON (3 << 3)
/* The end of a line whose fields do not fit. */
#define CUT_LINE_MARK " cut=yes"

/*
 * Token bucket for lines to standard output.  It permits several lines for each
 * request that one entry host handles at its peak.
 */
#define OUTPUT_LINES_PER_S 1000
#define OUTPUT_BURST_LINES 2000

static struct
{
  char program[32];
  char host[64];
  enum log_level level;
  void (*sink) (void *context, enum log_level level, const char *line);
  void *sink_context;
  void (*observe) (void *context, enum log_level level, const char *line);
  void *observe_context;
  uint64_t dropped;          /* lines not written since the last report */
  double output_tokens;      /* lines that may be written now */
  int64_t output_updated_ms; /* when output_tokens was updated */
} state = { .program = "waxwinglink", .host = "-", .level = LOG_LEVEL_INFO };

struct line
{
  char text[LINE_SIZE];
  size_t used;
  bool is_cut; /* text is missing at its end */
};

static void __attribute__ ((format (printf, 2, 3)))
append_format (struct line *line, const char *format, ...)
{
  size_t remaining = sizeof line->text - line->used;
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (line->text + line->used, remaining, format, args);
  va_end (args);
  if (n > 0 && (size_t)n >= remaining)
    line->is_cut = true;
  if (n > 0)
    line->used += (size_t)n < remaining ? (size_t)n : remaining - 1;
}

static bool
needs_quotes (const char *text, size_t size)
{
  if (size == 0)
    return true;
  for (size_t i = 0; i < size; i++)
    if ((unsigned char)text[i] <= ' ' || text[i] == '"' || text[i] == '='
        || text[i] == '\\' || text[i] == 0x7f)
      return true;
  return false;
}

static void
append_bytes (struct line *line, const char *text, size_t size)
{
  if (!needs_quotes (text, size))
    {
      append_format (line, "%.*s", (int)size, text);
      return;
    }
  append_format (line, "\"");
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)text[i];

      if (c == '"' || c == '\\')
        append_format (line, "\\%c", c);
      else if (c < ' ' || c == 0x7f)
        append_format (line, "\\x%02x", c);
      else
        append_format (line, "%c", c);
    }
  append_format (line, "\"");
}

static void
append_string (struct line *line, const char *text)
{
  size_t size = strlen (text);

  if (size <= VALUE_LIMIT_BYTES)
    {
      append_bytes (line, text, size);
      return;
    }
  append_bytes (line, text, CUT_VALUE_BYTES);
  append_format (line, "...%zu-bytes-%016" PRIx64, size, hash_string (text, 0));
}

static void
append_field (struct line *line, const struct log_field *field)
{
  append_format (line, " %s=", field->key);
  switch (field->kind)
    {
    case LOG_FIELD_STRING:
      append_string (line,
                     field->value.string != NULL ? field->value.string : "");
      break;
    case LOG_FIELD_INTEGER:
      append_format (line, "%" PRId64, field->value.integer);
      break;
    case LOG_FIELD_UNSIGNED:
      append_format (line, "%" PRIu64, field->value.number);
      break;
    case LOG_FIELD_REAL:
      append_format (line, "%.6g", field->value.real);
      break;
    case LOG_FIELD_END:
      break;
    }
}

static void
append_prefix (struct line *line, enum log_level level)
{
  struct timespec now;
  struct tm tm;
  char stamp[32];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
  append_format (line, "<%d>%s.%03ldZ %s %s[%d]:", FACILITY_DAEMON | (int)level,
                 stamp, now.tv_nsec / 1000000, state.host, state.program,
                 (int)getpid ());
}

void
log_setup (const char *program, const char *host, enum log_level level)
{
  snprintf (state.program, sizeof state.program, "%s", program);
  snprintf (state.host, sizeof state.host, "%s", host);
  state.level = level;
}

void
log_set_level (enum log_level level)
{
  state.level = level;
}

void
log_set_sink (void (*sink) (void *context,
                            enum log_level level,
                            const char *line),
              void *context)
{
  state.sink = sink;
  state.sink_context = context;
}

void
log_set_observer (void (*observe) (void *context,
                                   enum log_level level,
                                   const char *line),
                  void *context)
{
  state.observe = observe;
  state.observe_context = context;
}

/* Acquires a token for one line; false if the rate limit is reached. */
static bool
acquire_output_line (void)
{
  struct timespec now;
  int64_t now_ms;

  clock_gettime (CLOCK_BOOTTIME, &now);
  now_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  state.output_tokens
      += (double)(now_ms - state.output_updated_ms) / 1000 * OUTPUT_LINES_PER_S;
  state.output_updated_ms = now_ms;
  if (state.output_tokens > OUTPUT_BURST_LINES)
    state.output_tokens = OUTPUT_BURST_LINES;
  if (state.output_tokens < 1)
    return false;
  state.output_tokens -= 1;
  return true;
}

/* Writes a line in one call, so that lines of different processes never mix.
 */
static void
write_line_to_stdout (void *context, enum log_level level, const char *text)
{
  struct iovec parts[3];
  char dropped_report[64];
  int part_count = 0;
  ssize_t size;
  size_t total_size = strlen (text) + 1;

  (void)context;
  (void)level;
  if (!acquire_output_line ())
    {
      state.dropped++;
      return;
    }
  if (state.dropped > 0)
    {
      int n = snprintf (dropped_report, sizeof dropped_report,
                        "event=log-lines-lost count=%" PRIu64 "\n",
                        state.dropped);

      parts[part_count].iov_base = dropped_report;
      parts[part_count++].iov_len = (size_t)n;
      total_size += (size_t)n;
    }
  parts[part_count].iov_base = (char *)text;
  parts[part_count++].iov_len = strlen (text);
  parts[part_count].iov_base = "\n";
  parts[part_count++].iov_len = 1;
  size = writev (STDOUT_FILENO, parts, part_count);
  if (size == (ssize_t)total_size)
    state.dropped = 0;
  else
    state.dropped++;
}

void
log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log_set_sink (write_line_to_stdout, NULL);
}

int
log_parse_level (const char *name)
{
  static const struct
  {
    const char *name;
    enum log_level level;
  } levels[] = {
    { "error", LOG_LEVEL_ERROR },   { "warning", LOG_LEVEL_WARNING },
    { "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
    { "debug", LOG_LEVEL_DEBUG },
  };

  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (strcmp (levels[i].name, name) == 0)
      return (int)levels[i].level;
  return -1;
}

void
log_event (enum log_level level,
           const char *event,
           const struct log_field *fields)
{
  struct line line = { .used = 0 };

  if (level > state.level)
    return;
  append_prefix (&line, level);
  append_format (&line, " event=%s", event);
  for (; fields->kind != LOG_FIELD_END; fields++)
    append_field (&line, fields);
  if (line.is_cut)
    memcpy (line.text + sizeof line.text - sizeof CUT_LINE_MARK, CUT_LINE_MARK,
            sizeof CUT_LINE_MARK);
  if (state.observe != NULL)
    state.observe (state.observe_context, level, line.text);
  if (state.sink != NULL)
    state.sink (state.sink_context, level, line.text);
  else
    fprintf (stderr, "%s\n", line.text);
}
