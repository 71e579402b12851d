#include "balance-internal.h"
#include "balance.h"

#include <stdlib.h>
#include <string.h>

/* Endpoints of a data centre in a row without an answer that mean a cut. */
#define CUT_ENDPOINTS 3
/* They have to fail within this time. */
#define CUT_WINDOW_MS 1500
/* A cut data centre is tried again after this time. */
#define CUT_AVOID_MS 800

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
  if (place->unreached >= CUT_ENDPOINTS)
    place->avoid_ms = now_ms + CUT_AVOID_MS;
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
  place->avoid_ms = 0;
}
