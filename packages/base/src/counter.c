#include "counter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 512

void
counter_set_init (struct counter_set *set, size_t limit)
{
  memset (set, 0, sizeof *set);
  set->limit = limit;
}

void
counter_set_finish (struct counter_set *set)
{
  struct counter *counter = set->table;

  HASH_CLEAR (hh, set->table);
  while (counter != NULL)
    {
      struct counter *next = counter->hh.next;

      free (counter->key);
      free (counter);
      counter = next;
    }
  set->count = 0;
}

static struct counter *
counter_create (struct counter_set *set, const char *key)
{
  struct counter *counter = calloc (1, sizeof *counter);

  if (counter == NULL)
    return NULL;
  counter->key = strdup (key);
  if (counter->key == NULL)
    {
      free (counter);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, set->table, counter->key, strlen (counter->key),
                   counter);
  set->count++;
  return counter;
}

static void
format_key (char key[KEY_SIZE], const char *name, const char *labels)
{
  if (labels == NULL || *labels == '\0')
    snprintf (key, KEY_SIZE, "%s", name);
  else
    snprintf (key, KEY_SIZE, "%s{%s}", name, labels);
}

struct counter *
counter_get (struct counter_set *set, const char *name, const char *labels)
{
  char key[KEY_SIZE];
  struct counter *counter;

  format_key (key, name, labels);
  HASH_FIND_STR (set->table, key, counter);
  if (counter == NULL && set->count < set->limit)
    counter = counter_create (set, key);
  return counter != NULL ? counter : &set->overflow;
}

void
counter_add (struct counter_set *set,
             const char *name,
             const char *labels,
             double amount)
{
  counter_get (set, name, labels)->value += amount;
}

void
counter_put (struct counter_set *set,
             const char *name,
             const char *labels,
             double value)
{
  counter_get (set, name, labels)->value = value;
}

double
counter_read (const struct counter_set *set,
              const char *name,
              const char *labels)
{
  char key[KEY_SIZE];
  const struct counter *counter;

  format_key (key, name, labels);
  HASH_FIND_STR (set->table, key, counter);
  return counter != NULL ? counter->value : 0;
}

static int
compare_keys (const struct counter *a, const struct counter *b)
{
  return strcmp (a->key, b->key);
}

void
counter_write (struct counter_set *set,
               void (*write) (void *context, const char *line),
               void *context)
{
  struct counter *counter;
  struct counter *next;
  char line[KEY_SIZE + 32];

  HASH_SRT (hh, set->table, compare_keys);
  HASH_ITER (hh, set->table, counter, next)
  {
    snprintf (line, sizeof line, "%s %.17g\n", counter->key, counter->value);
    write (context, line);
  }
  snprintf (line, sizeof line, "waxwing_counter_overflow_total %.17g\n",
            set->overflow.value);
  write (context, line);
}
