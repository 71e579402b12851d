#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include "result.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Counters and gauges with labels, written in the Prometheus text format.  A
 * counter is found by its name and label text.  Where it is used often, look it
 * up once and keep the pointer, which stays valid until counter_set_finish.
 */
struct counter
{
  char *key; /* name and labels, e.g. waxwing_requests_total{code="3008"} */
  double value;
  UT_hash_handle hh;
};

struct counter_set
{
  struct counter *table;   /* hash table, keyed by name and labels */
  size_t count;            /* counters in the table */
  size_t limit;            /* highest count */
  struct counter overflow; /* counts for all keys over the limit */
};

void counter_set_init (struct counter_set *set, size_t limit);
void counter_set_finish (struct counter_set *set);

/*
 * Finds or creates a counter.  labels is the text between the braces, e.g.
 * code="3008", or NULL.  Returns the overflow counter, never NULL, if the set
 * is full or memory is short.
 */
struct counter *
counter_get (struct counter_set *set, const char *name, const char *labels);
void counter_add (struct counter_set *set,
                  const char *name,
                  const char *labels,
                  double amount);
/* Sets the value of a gauge. */
void counter_put (struct counter_set *set,
                  const char *name,
                  const char *labels,
                  double value);

/* Returns 0 if the counter does not exist. */
double counter_read (const struct counter_set *set,
                     const char *name,
                     const char *labels);

/* Calls write for each line, newline included, sorted by name and labels. */
void counter_write (struct counter_set *set,
                    void (*write) (void *context, const char *line),
                    void *context);

#endif
