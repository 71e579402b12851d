#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include "result.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Counters and gauges with labels, written out in the Prometheus text form.
 * A counter is found by its name and label text; look it up once and keep the
 * pointer where it is used often.  Pointers stay valid until finish.
 */
struct counter
{
  char *key; /* name and labels, e.g. waxwing_requests_total{code="3008"} */
  double value;
  UT_hash_handle hh;
};

struct counter_set
{
  struct counter *table; /* hash table, keyed by name and labels */
  size_t count;
  size_t limit; /* new label sets beyond this share one overflow counter */
  struct counter overflow;
};

void counter_set_init (struct counter_set *set, size_t limit);
void counter_set_finish (struct counter_set *set);

/*
 * labels is the text between the braces, e.g. code="3008", or NULL.
 * Never NULL: past the limit or out of memory it is the overflow counter.
 */
struct counter *
counter_get (struct counter_set *set, const char *name, const char *labels);
void counter_add (struct counter_set *set,
                  const char *name,
                  const char *labels,
                  double amount);
void counter_put (struct counter_set *set,
                  const char *name,
                  const char *labels,
                  double value);

/* 0 when the counter does not exist. */
double counter_read (const struct counter_set *set,
                     const char *name,
                     const char *labels);

/* Calls write once per line, with its newline, sorted by name and labels. */
void counter_write (struct counter_set *set,
                    void (*write) (void *context, const char *line),
                    void *context);

#endif
