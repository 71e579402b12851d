#include "balance-internal.h"
#include "balance.h"

#include <stdlib.h>
#include <string.h>

/* Unresponsive endpoints in a row that make a data centre partitioned. */
#define PARTITION_ENDPOINTS 3
/*
 * Longest time between two failures in a row.  Small hosts send a request to
 * another data centre only once a second.
 */
#define PARTITION_WINDOW_MS 4000
/* Time between two probes of a partitioned data centre. */
#define PARTITION_PROBE_INTERVAL_MS 800

struct remote_data_centre *
balance_find_remote (const struct load_table *loads, const char *data_centre)
{
  struct remote_data_centre *remote;

  HASH_FIND_STR (loads->remotes, data_centre, remote);
  return remote;
}

static struct remote_data_centre *
find_or_add_remote (struct load_table *loads, const char *data_centre)
{
  struct remote_data_centre *remote = balance_find_remote (loads, data_centre);
  const char *name;

  if (remote != NULL)
    return remote;
  remote = text_allocate_with (sizeof *remote, data_centre, &name);
  if (remote == NULL)
    return NULL;
  remote->data_centre = name;
  HASH_ADD_KEYPTR (hh, loads->remotes, remote->data_centre, strlen (name),
                   remote);
  return remote;
}

void
balance_note_unreached (struct load_table *loads,
                        const struct endpoint_load *load,
                        int64_t now_ms)
{
  struct remote_data_centre *remote;

  if (load->endpoint == NULL
      || strcmp (load->endpoint->report.data_centre, loads->data_centre) == 0)
    return;
  remote = find_or_add_remote (loads, load->endpoint->report.data_centre);
  if (remote == NULL)
    return;
  if (now_ms - remote->last_unreached_ms > PARTITION_WINDOW_MS)
    remote->unreached_in_a_row = 0;
  if (remote->unreached_in_a_row == 0 || remote->last_unreached != load)
    remote->unreached_in_a_row++;
  remote->last_unreached = load;
  remote->last_unreached_ms = now_ms;
  if (remote->unreached_in_a_row < PARTITION_ENDPOINTS
      || remote->is_partitioned)
    return;
  remote->is_partitioned = true;
  /* Probed at once: the three endpoints may have failed for other reasons. */
  remote->next_probe_ms = now_ms;
}

void
balance_note_reached (struct load_table *loads,
                      const struct endpoint_load *load)
{
  struct remote_data_centre *remote;

  if (loads->remotes == NULL || load->endpoint == NULL)
    return;
  remote = balance_find_remote (loads, load->endpoint->report.data_centre);
  if (remote == NULL)
    return;
  remote->unreached_in_a_row = 0;
  remote->is_partitioned = false;
}

/* Picks a usable endpoint of the data centre; NULL if it has none. */
static struct endpoint_load *
pick_random_endpoint (struct load_table *loads,
                      const struct endpoints *endpoints,
                      const struct remote_data_centre *remote)
{
  struct endpoint *chosen = NULL;
  uint64_t count = 0;

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (endpoint_is_usable (endpoint) && endpoint_is_routed (endpoint)
        && strcmp (endpoint->report.data_centre, remote->data_centre) == 0
        && rng_below (&loads->rng, ++count) == 0)
      chosen = endpoint;
  return chosen != NULL ? load_table_get (loads, chosen) : NULL;
}

struct endpoint_load *
balance_next_probe (struct load_table *loads,
                    const struct endpoints *endpoints,
                    int64_t now_ms)
{
  for (struct remote_data_centre *remote = loads->remotes; remote != NULL;
       remote = remote->hh.next)
    {
      struct endpoint_load *load;

      if (!remote->is_partitioned || now_ms < remote->next_probe_ms)
        continue;
      remote->next_probe_ms = now_ms + PARTITION_PROBE_INTERVAL_MS;
      load = pick_random_endpoint (loads, endpoints, remote);
      if (load != NULL)
        return load;
      /* The data centre has no usable endpoint that a probe could reach. */
      remote->is_partitioned = false;
    }
  return NULL;
}
