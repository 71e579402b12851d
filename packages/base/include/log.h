#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

/*
 * Event log: one line per event on standard error, in syslog format:
 *
 *   <PRI>TIME HOST PROGRAM[PID]: event=NAME key=value key="quoted value"
 *
 * Values that are empty or hold spaces, quotes, '=' or control characters are
 * quoted and escaped, so that text of a caller cannot forge a field or line.
 * A value of more than 192 bytes is cut, and followed by "...", its size and
 * its hash (hash_string).  A line that is too long ends with " cut=yes".
 */

/* The numbers are those of syslog severities (RFC 5424, section 6.2.1). */
enum log_level
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7,
};

enum log_field_kind
{
  LOG_FIELD_END,
  LOG_FIELD_STRING,
  LOG_FIELD_INTEGER,
  LOG_FIELD_UNSIGNED,
  LOG_FIELD_REAL,
};

struct log_field
{
  enum log_field_kind kind;
  const char *key;
  union
  {
    const char *string;
    int64_t integer;
    uint64_t number;
    double real;
  } value;
};

#define LOG_STR(k, v)                                                          \
  {                                                                            \
    .kind = LOG_FIELD_STRING, .key = (k), .value.string = (v)                  \
  }
#define LOG_INT(k, v)                                                          \
  {                                                                            \
    .kind = LOG_FIELD_INTEGER, .key = (k), .value.integer = (v)                \
  }
#define LOG_U64(k, v)                                                          \
  {                                                                            \
    .kind = LOG_FIELD_UNSIGNED, .key = (k), .value.number = (v)                \
  }
#define LOG_REAL(k, v)                                                         \
  {                                                                            \
    .kind = LOG_FIELD_REAL, .key = (k), .value.real = (v)                      \
  }

/*
 * Logs an event with at least one field:
 *
 *   LOG_EVENT (LOG_LEVEL_INFO, "lease-acquired", LOG_U64 ("fence", n));
 */
#define LOG_EVENT(level, event, ...)                                           \
  log_event (                                                                  \
      (level), (event),                                                        \
      (const struct log_field[]){ __VA_ARGS__, { .kind = LOG_FIELD_END } })

/* Copies program and host.  Events less severe than level are dropped. */
void log_setup (const char *program, const char *host, enum log_level level);
void log_set_level (enum log_level level);

/*
 * Passes the formatted lines, without newline, to sink instead of standard
 * error; NULL restores standard error.
 */
void log_set_sink (void (*sink) (void *context,
                                 enum log_level level,
                                 const char *line),
                   void *context);

/*
 * Passes each formatted line to observe in addition to the sink; NULL removes
 * the observer.  The daemon keeps recent lines this way, to explain decisions.
 */
void log_set_observer (void (*observe) (void *context,
                                        enum log_level level,
                                        const char *line),
                       void *context);

/*
 * Sends the lines to standard output and makes it non-blocking.  Lines over the
 * rate limit, and lines that cannot be written at once, are dropped; their
 * number is logged before the next line that is written.
 */
void log_to_stdout (void);

/* Parses "error", "warning", "notice", "info" or "debug"; -1 if unknown. */
int log_parse_level (const char *name);

/* Logs an event; fields ends with an entry of kind LOG_FIELD_END. */
void log_event (enum log_level level,
                const char *event,
                const struct log_field *fields);

#endif
