#ifndef CATALOG_CATALOG_DIFF_H
#define CATALOG_CATALOG_DIFF_H

#include "catalog.h"

/*
 * Differences between two configurations, those that clients notice first.
 * Neither I/O nor a clock.
 */

enum catalog_change
{
  CATALOG_ADDED,
  CATALOG_DROPPED,
  CATALOG_CHANGED,
};
const char *catalog_change_name (enum catalog_change change);

/* What clients notice of a difference; differences are reported in this order.
 */
enum catalog_effect
{
  CATALOG_REFUSES,  /* requests that were served are refused */
  CATALOG_TIGHTENS, /* a limit is lower, or a promise weaker */
  CATALOG_OTHER,
  CATALOG_EFFECTS,
};
const char *catalog_effect_name (enum catalog_effect effect);

struct catalog_difference
{
  enum catalog_effect effect;
  enum catalog_change change;
  const char *kind;  /* "route", "customer", "API key", ... */
  const char *field; /* "" if the whole entry is added or dropped */
  /* Valid during the call of report. */
  const char *name;
  const char *before; /* "" for an added entry */
  const char *after;  /* "" for a dropped entry */
};

/*
 * Passes every difference to report.  Of entries that can never match, because
 * another one has the same name or the same host and prefix, only the one in
 * use is compared.  Returns RESULT_NO_MEMORY, after some differences or
 * none, if memory is short.
 */
enum result catalog_diff (
    const struct catalog *before,
    const struct catalog *after,
    void (*report) (void *context, const struct catalog_difference *difference),
    void *context);

#endif
