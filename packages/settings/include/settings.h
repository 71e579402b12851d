#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The daemon's settings: a YAML file of nested mappings, validated as a whole
 * against settings_table.  docs/settings.md lists the same keys; a test
 * compares the two.
 */

#define SETTINGS_TEXT_SIZE 256  /* bytes, with the NUL */
#define SETTINGS_LIST_LIMIT 64  /* entries */
#define SETTINGS_ERROR_LIMIT 64 /* errors kept */

struct settings_list
{
  char items[SETTINGS_LIST_LIMIT][SETTINGS_TEXT_SIZE];
  size_t count;
};

struct settings
{
  char host[SETTINGS_TEXT_SIZE];
  char data_centre[SETTINGS_TEXT_SIZE];
  char log_level[SETTINGS_TEXT_SIZE];

  char callers_address[SETTINGS_TEXT_SIZE];
  int64_t callers_port;
  int64_t callers_max_body_bytes;
  int64_t callers_max_header_bytes;
  int64_t callers_max_headers;
  int64_t callers_idle_timeout_ms;
  int64_t callers_stall_timeout_ms;
  int64_t callers_buffer_bytes;
  int64_t callers_default_deadline_ms;
  int64_t callers_max_deadline_ms;
  int64_t callers_max_connections;

  char admin_address[SETTINGS_TEXT_SIZE];
  int64_t admin_port;

  char peers_address[SETTINGS_TEXT_SIZE];
  int64_t peers_port;
  struct settings_list peers_seeds; /* "ADDRESS:PORT" */
  struct settings_list peers_keys;  /* "ID:HEX"; the first key signs */

  char platform_address[SETTINGS_TEXT_SIZE];
  int64_t platform_port;
  int64_t platform_timeout_ms;
  int64_t platform_hosts_interval_ms;

  int64_t admission_queue_per_customer;
  int64_t admission_queue_total;
  int64_t admission_ageing_ms;

  double groups_downtime_weight;
  double groups_stranded_weight;
  int64_t groups_load_ms;
  int64_t groups_reload_ms;
  int64_t groups_max_loads;

  int64_t memory_limit_mb;
  double memory_tight_share;
  double memory_full_share;

  int64_t drain_settle_ms;
  int64_t drain_limit_ms;

  bool test_faults; /* admin requests may partition the network; for tests */
};

struct settings_error
{
  enum result code;
  unsigned line; /* in the file, from 1; 0 = the whole file */
  char key[SETTINGS_TEXT_SIZE];
  char text[SETTINGS_TEXT_SIZE]; /* message for the operator */
};

struct settings_errors
{
  struct settings_error list[SETTINGS_ERROR_LIMIT];
  size_t count; /* errors found; list has the first SETTINGS_ERROR_LIMIT */
};

enum settings_kind
{
  SETTINGS_STRING,
  SETTINGS_ADDRESS, /* a numeric IP address */
  SETTINGS_INTEGER,
  SETTINGS_REAL,
  SETTINGS_BOOLEAN,
  SETTINGS_LIST,
};

struct settings_key
{
  const char *name; /* dotted path, e.g. "callers.port" */
  enum settings_kind kind;
  const char *unit;          /* "ms", "bytes", "" */
  const char *default_value; /* NULL = the key is required */
  double min; /* lowest value; of a string, the least number of bytes */
  double max; /* highest value; of a string, the most bytes */
  const char *meaning; /* sentence for the documentation */
  size_t offset; /* offset of the member in the struct to fill, in bytes */
};

/* Describes one type of settings file and the struct that it fills. */
struct settings_table
{
  const struct settings_key *keys;
  unsigned count;
  size_t size; /* size of the struct, in bytes */
};

/* The keys of the daemon's settings, for struct settings. */
extern const struct settings_table settings_table;

/* Returns a key of settings_table, or NULL if index is past the last. */
const struct settings_key *settings_key_at (unsigned index);

/*
 * Parses text (YAML), validates all of it and fills settings.  Returns
 * RESULT_OK or the code of the first error; errors receives all errors.
 */
enum result settings_parse (struct settings *settings,
                            const char *text,
                            size_t size,
                            struct settings_errors *errors);

/* Like settings_parse, for any table and the struct that it describes. */
enum result settings_parse_table (const struct settings_table *table,
                                  void *target,
                                  const char *text,
                                  size_t size,
                                  struct settings_errors *errors);

/* Reads the file and parses it as settings_parse_table does. */
enum result settings_load_table (const struct settings_table *table,
                                 void *target,
                                 const char *path,
                                 struct settings_errors *errors);

/* Reads the file and parses it as settings_parse does. */
enum result settings_load (struct settings *settings,
                           const char *path,
                           struct settings_errors *errors);

#endif
