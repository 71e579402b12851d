#include "balance.h"

#include "balance-internal.h"
#include "hash.h"

#include <stdlib.h>
#include <string.h>

void
lanes_init (struct lanes *lanes, const char *data_centre, uint64_t seed)
{
  size_t size = strnlen (data_centre, sizeof lanes->data_centre - 1);

  memset (lanes, 0, sizeof *lanes);
  memcpy (lanes->data_centre, data_centre, size);
  rng_init (&lanes->rng, seed);
}

void
lanes_finish (struct lanes *lanes)
{
  struct lane *lane = lanes->table;
  struct lane_place *place = lanes->places;

  HASH_CLEAR (hh, lanes->places);
  while (place != NULL)
    {
      struct lane_place *next = place->hh.next;

      free (place);
      place = next;
    }
  HASH_CLEAR (hh, lanes->table);
  while (lane != NULL)
    {
      struct lane *next = lane->hh.next;

      /* Endpoints may outlive the lanes. */
      if (lane->endpoint != NULL)
        lane->endpoint->link = NULL;
      free (lane);
      lane = next;
    }
}

static struct lane *
find (const struct lanes *lanes, const char *id)
{
  struct lane *lane;

  HASH_FIND_STR (lanes->table, id, lane);
  return lane;
}

struct lane *
lanes_find_hash (const struct lanes *lanes, uint64_t hash)
{
  for (struct lane *lane = lanes->table; lane != NULL; lane = lane->hh.next)
    if (lane->hash == hash)
      return lane;
  return NULL;
}

void
lanes_forget_peers (struct lanes *lanes)
{
  for (struct lane *lane = lanes->table; lane != NULL; lane = lane->hh.next)
    {
      lane->peer_running = 0;
      lane->peer_reading = 0;
    }
}

struct lane *
lanes_get (struct lanes *lanes, struct endpoint *endpoint)
{
  struct lane *lane = endpoint->link;

  if (lane != NULL)
    return lane;
  lane = find (lanes, endpoint->id);
  if (lane == NULL)
    {
      lane = calloc (1, sizeof *lane);
      if (lane == NULL)
        return NULL;
      memcpy (lane->id, endpoint->id, sizeof lane->id);
      lane->hash = hash_string (lane->id, 0);
      HASH_ADD_STR (lanes->table, id, lane);
    }
  lane->endpoint = endpoint;
  endpoint->link = lane;
  return lane;
}

/* Lanes with signals are left to lanes_expire. */
static void
drop (struct lanes *lanes, struct lane *lane)
{
  if (lane->references > 0 || lane->endpoint != NULL || lane->leaving_ms != 0
      || lane->back_off_ms != 0)
    return;
  HASH_DELETE (hh, lanes->table, lane);
  free (lane);
}

void
lanes_detach (struct lanes *lanes, struct lane *lane)
{
  if (lane->endpoint != NULL)
    lane->endpoint->link = NULL;
  lane->endpoint = NULL;
  drop (lanes, lane);
}

void
lanes_expire (struct lanes *lanes, int64_t now_ms)
{
  struct lane *lane = lanes->table;

  while (lane != NULL)
    {
      struct lane *next = lane->hh.next;

      if (lane->endpoint == NULL && !balance_is_retained (lane, now_ms))
        {
          lane->leaving_ms = 0;
          lane->back_off_ms = 0;
          drop (lanes, lane);
        }
      lane = next;
    }
}

void
lanes_ref (struct lane *lane)
{
  lane->references++;
}

void
lanes_unref (struct lanes *lanes, struct lane *lane)
{
  lane->references--;
  drop (lanes, lane);
}
