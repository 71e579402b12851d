#include "hash.h"
#include "placement.h"

#include <stdlib.h>
#include <string.h>

/* The hosts of one fabric domain that are not allocated to a group yet. */
struct domain_capacity
{
  const char *data_centre;
  const char *domain;
  unsigned free_hosts;
};

struct division
{
  const struct sheet *sheet;
  const struct fleet *fleet;
  const struct fleet_host *
      *hosts; /* usable, sorted by data centre and domain */
  size_t host_count;
  struct domain_capacity *domains;
  size_t domain_count;
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
collect_domains (struct division *division)
{
  size_t count = HASH_COUNT (division->fleet->hosts);
  const struct fleet_host *host;

  division->hosts = calloc (count + 1, sizeof (struct fleet_host *));
  division->domains = calloc (count + 1, sizeof *division->domains);
  if (division->hosts == NULL || division->domains == NULL)
    return RESULT_NO_MEMORY;
  for (host = division->fleet->hosts; host != NULL; host = host->hh.next)
    if (!host->is_service && host->listed && !host->listed_leaving
        && !host->drained)
      division->hosts[division->host_count++] = host;
  qsort (division->hosts, division->host_count, sizeof (struct fleet_host *),
         compare_hosts);
  for (size_t i = 0; i < division->host_count; i++)
    {
      struct domain_capacity *capacity
          = division->domains + division->domain_count;

      host = division->hosts[i];
      if (division->domain_count == 0
          || strcmp (capacity[-1].data_centre, host->data_centre) != 0
          || strcmp (capacity[-1].domain, host->domain) != 0)
        {
          capacity->data_centre = host->data_centre;
          capacity->domain = host->domain;
          division->domain_count++;
        }
      division->domains[division->domain_count - 1].free_hosts++;
    }
  return RESULT_OK;
}

/* Counts the hosts of the domain that the spec may use, at most those that are
   not allocated. */
static unsigned
count_permitted_hosts (const struct division *division,
                       const struct sheet_group *spec,
                       const struct domain_capacity *capacity)
{
  unsigned count = 0;

  if (spec->domains.count > 0
      && !sheet_list_has (&spec->domains, capacity->domain))
    return 0;
  if (spec->hosts.count == 0)
    return capacity->free_hosts;
  for (size_t i = 0; i < division->host_count; i++)
    {
      const struct fleet_host *host = division->hosts[i];

      if (strcmp (host->data_centre, capacity->data_centre) == 0
          && strcmp (host->domain, capacity->domain) == 0
          && sheet_list_has (&spec->hosts, host->id))
        count++;
    }
  return count < capacity->free_hosts ? count : capacity->free_hosts;
}

/* Allocates span hosts in the data centre's domain with the fewest free hosts
   that suffice. */
static bool
allocate_hosts (struct division *division,
                const struct sheet_group *spec,
                const char *data_centre)
{
  struct domain_capacity *best = NULL;

  for (size_t i = 0; i < division->domain_count; i++)
    {
      struct domain_capacity *capacity = division->domains + i;

      if (strcmp (capacity->data_centre, data_centre) != 0
          || capacity->free_hosts < spec->span
          || count_permitted_hosts (division, spec, capacity) < spec->span)
        continue;
      if (best == NULL || capacity->free_hosts < best->free_hosts)
        best = capacity;
    }
  if (best == NULL)
    return false;
  best->free_hosts -= spec->span;
  return true;
}

/* Finds the data centre of this rendezvous rank for the spec; NULL if none. */
static const char *
find_ranked_data_centre (const struct sheet_group *spec, size_t rank)
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

/* Assigns one more group of the spec to a data centre, starting at next_rank.
   False if no data centre has the capacity. */
static bool
assign_group (struct division *division,
              const struct sheet_group *spec,
              size_t *next_rank,
              const char *data_centre,
              unsigned *target_count)
{
  for (size_t attempt = 0; attempt < spec->data_centres.count; attempt++)
    {
      size_t rank = (*next_rank + attempt) % spec->data_centres.count;
      const char *name = find_ranked_data_centre (spec, rank);

      if (name == NULL || !allocate_hosts (division, spec, name))
        continue;
      *next_rank = rank + 1;
      if (strcmp (name, data_centre) == 0)
        (*target_count)++;
      return true;
    }
  return false;
}

enum result
placement_divide_groups (const struct sheet *sheet,
                         const struct fleet *fleet,
                         const char *data_centre,
                         unsigned *target_counts,
                         unsigned *unplaced)
{
  struct division division = { .sheet = sheet, .fleet = fleet };
  size_t *next_ranks = calloc (sheet->group_count + 1, sizeof *next_ranks);
  bool *full = calloc (sheet->group_count + 1, sizeof *full);
  enum result result = RESULT_NO_MEMORY;
  bool assigned = true;

  for (size_t i = 0; i < sheet->group_count; i++)
    {
      const char *first = find_ranked_data_centre (&sheet->groups[i], 0);
      bool reports = first != NULL && strcmp (first, data_centre) == 0;

      target_counts[i] = 0;
      unplaced[i] = reports ? sheet->groups[i].count : 0;
    }
  if (next_ranks == NULL || full == NULL)
    goto out;
  result = collect_domains (&division);
  if (result != RESULT_OK)
    goto out;
  for (unsigned level = 1; assigned; level++)
    {
      assigned = false;
      for (size_t i = 0; i < sheet->group_count; i++)
        {
          const struct sheet_group *spec = &sheet->groups[i];

          if (full[i] || spec->count < level || spec->span == 0
              || spec->data_centres.count == 0)
            continue;
          if (!assign_group (&division, spec, &next_ranks[i], data_centre,
                             &target_counts[i]))
            {
              full[i] = true;
              continue;
            }
          assigned = true;
          if (unplaced[i] > 0)
            unplaced[i]--;
        }
    }

out:
  free (division.domains);
  free ((void *)division.hosts);
  free (full);
  free (next_ranks);
  return result;
}
