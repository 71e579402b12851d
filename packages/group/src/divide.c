#include "hash.h"
#include "placement.h"

#include <stdlib.h>
#include <string.h>

/* A fabric domain of a data centre with the hosts that are not given out. */
struct place
{
  const char *data_centre;
  const char *domain;
  unsigned free;
};

struct division
{
  const struct sheet *sheet;
  const struct fleet *fleet;
  const struct fleet_host **hosts; /* usable, sorted by place */
  size_t host_count;
  struct place *places;
  size_t place_count;
};

static int
compare_hosts (const void *a, const void *b)
{
  const struct fleet_host *x = *(const struct fleet_host *const *)a;
  const struct fleet_host *y = *(const struct fleet_host *const *)b;
  int order = strcmp (x->data_centre, y->data_centre);

  if (order == 0)
    order = strcmp (x->domain, y->domain);
  return order != 0 ? order : strcmp (x->id, y->id);
}

static enum result
collect_places (struct division *division)
{
  size_t count = HASH_COUNT (division->fleet->hosts);
  const struct fleet_host *host;

  division->hosts = calloc (count + 1, sizeof (struct fleet_host *));
  division->places = calloc (count + 1, sizeof *division->places);
  if (division->hosts == NULL || division->places == NULL)
    return RESULT_NO_MEMORY;
  for (host = division->fleet->hosts; host != NULL; host = host->hh.next)
    if (!host->is_service && host->listed && !host->listed_leaving
        && !host->drained)
      division->hosts[division->host_count++] = host;
  qsort (division->hosts, division->host_count, sizeof (struct fleet_host *),
         compare_hosts);
  for (size_t i = 0; i < division->host_count; i++)
    {
      struct place *place = division->places + division->place_count;

      host = division->hosts[i];
      if (division->place_count == 0
          || strcmp (place[-1].data_centre, host->data_centre) != 0
          || strcmp (place[-1].domain, host->domain) != 0)
        {
          place->data_centre = host->data_centre;
          place->domain = host->domain;
          division->place_count++;
        }
      division->places[division->place_count - 1].free++;
    }
  return RESULT_OK;
}

/* How many hosts of a place the spec may use, whoever uses them now. */
static unsigned
permitted_hosts (const struct division *division,
                 const struct sheet_group *spec,
                 const struct place *place)
{
  unsigned count = 0;

  if (spec->domains.count > 0
      && !sheet_list_has (&spec->domains, place->domain))
    return 0;
  if (spec->hosts.count == 0)
    return place->free;
  for (size_t i = 0; i < division->host_count; i++)
    {
      const struct fleet_host *host = division->hosts[i];

      if (strcmp (host->data_centre, place->data_centre) == 0
          && strcmp (host->domain, place->domain) == 0
          && sheet_list_has (&spec->hosts, host->id))
        count++;
    }
  return count < place->free ? count : place->free;
}

/* Takes span hosts of the data centre's best fitting domain. */
static bool
take_room (struct division *division,
           const struct sheet_group *spec,
           const char *data_centre)
{
  struct place *best = NULL;

  for (size_t i = 0; i < division->place_count; i++)
    {
      struct place *place = division->places + i;

      if (strcmp (place->data_centre, data_centre) != 0
          || place->free < spec->span
          || permitted_hosts (division, spec, place) < spec->span)
        continue;
      if (best == NULL || place->free < best->free)
        best = place;
    }
  if (best == NULL)
    return false;
  best->free -= spec->span;
  return true;
}

/* The data centre of a given rank for the spec. */
static const char *
ranked_data_centre (const struct sheet_group *spec, size_t rank)
{
  const struct sheet_list *list = &spec->data_centres;

  if (list->names == NULL)
    return NULL;
  for (size_t i = 0; i < list->count; i++)
    {
      uint64_t own = hash_rendezvous (list->names[i], spec->name);
      size_t before = 0;

      for (size_t j = 0; j < list->count; j++)
        {
          uint64_t other = hash_rendezvous (list->names[j], spec->name);

          if (other > own
              || (other == own && strcmp (list->names[j], list->names[i]) < 0))
            before++;
        }
      if (before == rank)
        return list->names[i];
    }
  return NULL;
}

/* Gives the spec one more group; false if no data centre has room. */
static bool
give_group (struct division *division,
            const struct sheet_group *spec,
            size_t *turn,
            const char *data_centre,
            unsigned *part)
{
  for (size_t tried = 0; tried < spec->data_centres.count; tried++)
    {
      size_t rank = (*turn + tried) % spec->data_centres.count;
      const char *name = ranked_data_centre (spec, rank);

      if (name == NULL || !take_room (division, spec, name))
        continue;
      *turn = rank + 1;
      if (strcmp (name, data_centre) == 0)
        (*part)++;
      return true;
    }
  return false;
}

enum result
placement_divide (const struct sheet *sheet,
                  const struct fleet *fleet,
                  const char *data_centre,
                  unsigned *parts,
                  unsigned *unplaced)
{
  struct division division = { .sheet = sheet, .fleet = fleet };
  size_t *turns = calloc (sheet->group_count + 1, sizeof *turns);
  bool *full = calloc (sheet->group_count + 1, sizeof *full);
  enum result result = RESULT_NO_MEMORY;
  bool given = true;

  for (size_t i = 0; i < sheet->group_count; i++)
    {
      const char *first = ranked_data_centre (&sheet->groups[i], 0);
      bool reports = first != NULL && strcmp (first, data_centre) == 0;

      parts[i] = 0;
      unplaced[i] = reports ? sheet->groups[i].count : 0;
    }
  if (turns == NULL || full == NULL)
    goto out;
  result = collect_places (&division);
  if (result != RESULT_OK)
    goto out;
  for (unsigned level = 1; given; level++)
    {
      given = false;
      for (size_t i = 0; i < sheet->group_count; i++)
        {
          const struct sheet_group *spec = &sheet->groups[i];

          if (full[i] || spec->count < level || spec->span == 0
              || spec->data_centres.count == 0)
            continue;
          if (!give_group (&division, spec, &turns[i], data_centre, &parts[i]))
            {
              full[i] = true;
              continue;
            }
          given = true;
          if (unplaced[i] > 0)
            unplaced[i]--;
        }
    }

out:
  free (division.places);
  free ((void *)division.hosts);
  free (full);
  free (turns);
  return result;
}
