#include "balance.h"

#include "balance-internal.h"
#include "hash.h"

#include <stdlib.h>
#include <string.h>

void
load_table_init (struct load_table *loads,
                 const char *data_centre,
                 uint64_t seed)
{
  memset (loads, 0, sizeof *loads);
  rng_init (&loads->rng, seed);
  loads->data_centre = data_centre;
}

void
load_table_finish (struct load_table *loads)
{
  struct endpoint_load *load = loads->table;
  struct remote_data_centre *remote = loads->remotes;

  HASH_CLEAR (hh, loads->remotes);
  while (remote != NULL)
    {
      struct remote_data_centre *next = remote->hh.next;

      free (remote);
      remote = next;
    }
  HASH_CLEAR (hh, loads->table);
  while (load != NULL)
    {
      struct endpoint_load *next = load->hh.next;

      /* Endpoints may outlive the table. */
      if (load->endpoint != NULL)
        load->endpoint->owner_data = NULL;
      free (load);
      load = next;
    }
}

static struct endpoint_load *
find_load (const struct load_table *loads, const char *id)
{
  struct endpoint_load *load;

  HASH_FIND_STR (loads->table, id, load);
  return load;
}

struct endpoint_load *
load_table_find_hash (const struct load_table *loads, uint64_t hash)
{
  for (struct endpoint_load *load = loads->table; load != NULL;
       load = load->hh.next)
    if (load->hash == hash)
      return load;
  return NULL;
}

void
load_table_clear_peers (struct load_table *loads)
{
  for (struct endpoint_load *load = loads->table; load != NULL;
       load = load->hh.next)
    {
      load->peer_running = 0;
      load->peer_prefill_tokens = 0;
    }
}

struct endpoint_load *
load_table_get (struct load_table *loads, struct endpoint *endpoint)
{
  struct endpoint_load *load = endpoint->owner_data;

  if (load != NULL)
    return load;
  load = find_load (loads, endpoint->id);
  if (load == NULL)
    {
      const char *id;

      load = text_allocate_with (sizeof *load, endpoint->id, &id);
      if (load == NULL)
        return NULL;
      load->id = id;
      load->hash = hash_string (id, 0);
      HASH_ADD_KEYPTR (hh, loads->table, load->id, strlen (id), load);
    }
  load->endpoint = endpoint;
  endpoint->owner_data = load;
  return load;
}

/* Loads with signals of their endpoints are freed by load_table_expire. */
static void
free_load_if_unused (struct load_table *loads, struct endpoint_load *load)
{
  if (load->references > 0 || load->endpoint != NULL
      || load->leaving_since_ms != 0 || load->back_off_until_ms != 0
      || load->request_limit.per_s > 0)
    return;
  HASH_DELETE (hh, loads->table, load);
  free (load);
}

void
load_table_detach (struct load_table *loads, struct endpoint_load *load)
{
  if (load->endpoint != NULL)
    load->endpoint->owner_data = NULL;
  load->endpoint = NULL;
  free_load_if_unused (loads, load);
}

void
load_table_expire (struct load_table *loads, int64_t now_ms)
{
  struct endpoint_load *load = loads->table;

  while (load != NULL)
    {
      struct endpoint_load *next = load->hh.next;

      if (load->endpoint == NULL && !balance_is_retained (load, now_ms))
        {
          load->leaving_since_ms = 0;
          load->back_off_until_ms = 0;
          load->request_limit.per_s = 0;
          free_load_if_unused (loads, load);
        }
      load = next;
    }
}

void
endpoint_load_ref (struct endpoint_load *load)
{
  load->references++;
}

void
load_table_unref (struct load_table *loads, struct endpoint_load *load)
{
  load->references--;
  free_load_if_unused (loads, load);
}
