#include "balance.h"

#include "balance-internal.h"
#include "hash.h"

#include <stdlib.h>
#include <string.h>

void
lanes_init (struct lanes *loads, const char *data_centre, uint64_t seed)
{
  size_t size = strnlen (data_centre, sizeof loads->data_centre - 1);

  memset (loads, 0, sizeof *loads);
  memcpy (loads->data_centre, data_centre, size);
  rng_init (&loads->rng, seed);
}

void
lanes_finish (struct lanes *loads)
{
  struct lane *load = loads->table;
  struct lane_place *remote = loads->remotes;

  HASH_CLEAR (hh, loads->remotes);
  while (remote != NULL)
    {
      struct lane_place *next = remote->hh.next;

      free (remote);
      remote = next;
    }
  HASH_CLEAR (hh, loads->table);
  while (load != NULL)
    {
      struct lane *next = load->hh.next;

      /* Endpoints may outlive the table. */
      if (load->endpoint != NULL)
        load->endpoint->link = NULL;
      free (load);
      load = next;
    }
}

static struct lane *
find_load (const struct lanes *loads, const char *id)
{
  struct lane *load;

  HASH_FIND_STR (loads->table, id, load);
  return load;
}

struct lane *
lanes_find_hash (const struct lanes *loads, uint64_t hash)
{
  for (struct lane *load = loads->table; load != NULL; load = load->hh.next)
    if (load->hash == hash)
      return load;
  return NULL;
}

void
lanes_forget_peers (struct lanes *loads)
{
  for (struct lane *load = loads->table; load != NULL; load = load->hh.next)
    {
      load->peer_running = 0;
      load->peer_reading = 0;
    }
}

struct lane *
lanes_get (struct lanes *loads, struct endpoint *endpoint)
{
  struct lane *load = endpoint->link;

  if (load != NULL)
    return load;
  load = find_load (loads, endpoint->id);
  if (load == NULL)
    {
      load = calloc (1, sizeof *load);
      if (load == NULL)
        return NULL;
      memcpy (load->id, endpoint->id, sizeof load->id);
      load->hash = hash_string (load->id, 0);
      HASH_ADD_STR (loads->table, id, load);
    }
  load->endpoint = endpoint;
  endpoint->link = load;
  return load;
}

/* A load with a drain or back-off signal is left to lanes_expire. */
static void
free_if_unused (struct lanes *loads, struct lane *load)
{
  if (load->references > 0 || load->endpoint != NULL
      || load->leaving_since_ms != 0 || load->back_off_until_ms != 0)
    return;
  HASH_DELETE (hh, loads->table, load);
  free (load);
}

void
lanes_detach (struct lanes *loads, struct lane *load)
{
  if (load->endpoint != NULL)
    load->endpoint->link = NULL;
  load->endpoint = NULL;
  free_if_unused (loads, load);
}

void
lanes_expire (struct lanes *loads, int64_t now_ms)
{
  struct lane *load = loads->table;

  while (load != NULL)
    {
      struct lane *next = load->hh.next;

      if (load->endpoint == NULL && !balance_is_retained (load, now_ms))
        {
          load->leaving_since_ms = 0;
          load->back_off_until_ms = 0;
          free_if_unused (loads, load);
        }
      load = next;
    }
}

void
lanes_ref (struct lane *load)
{
  load->references++;
}

void
lanes_unref (struct lanes *loads, struct lane *load)
{
  load->references--;
  free_if_unused (loads, load);
}
