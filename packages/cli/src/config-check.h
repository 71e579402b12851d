#ifndef CLI_CONFIG_CHECK_H
#define CLI_CONFIG_CHECK_H

#include "catalog.h"
#include "endpoints.h"
#include "json-lines.h"
#include "result.h"

#include <jansson.h>
#include <stddef.h>

/* Check of a platform configuration with the decoder that hosts use. */

/* The endpoints that the store lists. */
struct config_supply
{
  struct endpoint_report *endpoints;
  size_t count;
};

/* Further findings are only counted. */
#define CONFIG_FINDING_LIMIT 10000
/* Texts of this size and more are not checked. */
#define CONFIG_SIZE_LIMIT_BYTES 4194304

struct config_finding
{
  const char *kind; /* "error", "never matches", "contradiction" */
  unsigned line;    /* 0 = not known */
  char *field;      /* path as the decoder reports it */
  char *found;
  char *allowed;
  char *used; /* what hosts use instead; "" if it does not apply */
};

struct config_report
{
  struct config_finding *findings;
  size_t count; /* in findings */
  size_t total;
  char problem[256];       /* why the text could not be checked */
  struct catalog *catalog; /* NULL if hosts would refuse the text */
};

void config_report_init (struct config_report *report);
void config_report_finish (struct config_report *report);

/*
 * Checks a text; supply is NULL if the endpoints are not known.  Returns
 * RESULT_OK if it was checked, with or without findings; else a result with a
 * problem in the report.
 */
enum result config_check_text (const char *text,
                               size_t size,
                               const struct config_supply *supply,
                               struct config_report *report);

/* Reads and checks a file. */
enum result config_check_file (const char *path,
                               const struct config_supply *supply,
                               struct config_report *report);

#endif
