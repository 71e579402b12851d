#include "balance-internal.h"
#include "balance.h"

#include <stdlib.h>
#include <string.h>

/* Endpoints of a data centre in a row without an answer that mean a cut. */
#define CUT_ENDPOINTS 3
/* No longer apart than this; small hosts send there once a second. */
#define CUT_WINDOW_MS 4000
/* A cut data centre is tried again after this time. */
#define CUT_PROBE_MS 800

struct lane_place *
balance_find_place (const struct lanes *lanes, const char *data_centre)
{
  struct lane_place *place;

  HASH_FIND_STR (lanes->places, data_centre, place);
  return place;
}

static struct lane_place *
get_place (struct lanes *lanes, const char *data_centre)
{
  struct lane_place *place = balance_find_place (lanes, data_centre);

  if (place != NULL)
    return place;
  place = calloc (1, sizeof *place);
  if (place == NULL)
    return NULL;
  memcpy (place->data_centre, data_centre, sizeof place->data_centre);
  HASH_ADD_STR (lanes->places, data_centre, place);
  return place;
}

void
balance_note_unreached (struct lanes *lanes,
                        const struct lane *lane,
                        int64_t now_ms)
{
  struct lane_place *place;

  if (lane->endpoint == NULL
      || strcmp (lane->endpoint->report.data_centre, lanes->data_centre) == 0)
    return;
  place = get_place (lanes, lane->endpoint->report.data_centre);
  if (place == NULL)
    return;
  if (now_ms - place->unreached_ms > CUT_WINDOW_MS)
    place->unreached = 0;
  if (place->unreached == 0 || place->last != lane)
    place->unreached++;
  place->last = lane;
  place->unreached_ms = now_ms;
  if (place->unreached < CUT_ENDPOINTS || place->cut)
    return;
  place->cut = true;
  /* Tried at once: the three may have failed for other reasons. */
  place->probe_ms = now_ms;
}

void
balance_note_reached (struct lanes *lanes, const struct lane *lane)
{
  struct lane_place *place;

  if (lanes->places == NULL || lane->endpoint == NULL)
    return;
  place = balance_find_place (lanes, lane->endpoint->report.data_centre);
  if (place == NULL)
    return;
  place->unreached = 0;
  place->cut = false;
}

/* One of the endpoints there, another one each time. */
static struct lane *
draw_lane (struct lanes *lanes,
           const struct endpoints *endpoints,
           const struct lane_place *place)
{
  struct endpoint *chosen = NULL;
  uint64_t count = 0;

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (endpoint_is_usable (endpoint) && endpoint_is_routed (endpoint)
        && strcmp (endpoint->report.data_centre, place->data_centre) == 0
        && rng_below (&lanes->rng, ++count) == 0)
      chosen = endpoint;
  return chosen != NULL ? lanes_get (lanes, chosen) : NULL;
}

struct lane *
balance_probe (struct lanes *lanes,
               const struct endpoints *endpoints,
               int64_t now_ms)
{
  for (struct lane_place *place = lanes->places; place != NULL;
       place = place->hh.next)
    {
      struct lane *lane;

      if (!place->cut || now_ms < place->probe_ms)
        continue;
      place->probe_ms = now_ms + CUT_PROBE_MS;
      lane = draw_lane (lanes, endpoints, place);
      if (lane != NULL)
        return lane;
      /* Nothing there that could be reached. */
      place->cut = false;
    }
  return NULL;
}
