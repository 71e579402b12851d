#include "daemon.h"

#include <stdio.h>
#include <string.h>

/* Computes this entry host's share of a target's slots. */
static unsigned
compute_own_slots (struct daemon *daemon, const char *target, unsigned total)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  size_t count = demand_table_find_peers (&daemon->demand_table, target, peers);
  size_t live_host_count
      = member_count_live (&daemon->members, daemon->members.self.data_centre);

  return shares_slots (total, admission_demand (&daemon->admission, target),
                       peers, count, live_host_count - 1, daemon->now_ms);
}

static void
divide_target (struct daemon *daemon, const char *model, const char *service)
{
  char target[DEMAND_NAME_SIZE];
  unsigned total = choose_total_slots (&daemon->fleet, &daemon->config.sheet,
                                       daemon->members.self.data_centre, model,
                                       service, daemon->now_ms);

  snprintf (target, sizeof target, "%s/%s", model != NULL ? "model" : "service",
            model != NULL ? model : service);
  admission_set_slots (&daemon->admission, target,
                       compute_own_slots (daemon, target, total));
}

static void
divide_customer (struct daemon *daemon, const struct sheet_customer *customer)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  char name[DEMAND_NAME_SIZE];
  unsigned in_flight = customer->in_flight;
  unsigned demand;
  size_t count;
  size_t live_host_count
      = member_count_live (&daemon->members, daemon->members.self.data_centre);

  snprintf (name, sizeof name, "customer/%s", customer->name);
  count = demand_table_find_peers (&daemon->demand_table, name, peers);
  demand = admission_customer_demand (&daemon->admission, customer->name);
  if (in_flight > 0)
    in_flight = shares_slots (in_flight, demand, peers, count,
                              live_host_count - 1, daemon->now_ms);
  admission_set_customer (&daemon->admission, customer->name, customer->weight,
                          shares_rate (customer->rate, demand, peers, count,
                                       live_host_count - 1, daemon->now_ms),
                          in_flight);
}

void
daemon_divide_quotas (struct daemon *daemon)
{
  const struct sheet *sheet = &daemon->config.sheet;

  for (size_t i = 0; i < sheet->model_count; i++)
    divide_target (daemon, sheet->models[i].name, NULL);
  for (size_t i = 0; i < sheet->service_count; i++)
    divide_target (daemon, NULL, sheet->services[i].name);
  for (size_t i = 0; i < sheet->customer_count; i++)
    divide_customer (daemon, &sheet->customers[i]);
}

/*
 * Appends the demand for one target or customer to the report, unless it is
 * zero and the last report was zero too.  Returns the new number of entries.
 */
static size_t
append_demand (struct sent_demand *sent_demand,
               size_t index,
               struct peer_demand_entry *entries,
               size_t count,
               const char *kind,
               const char *name,
               unsigned demand)
{
  struct sent_demand *last = &sent_demand[index];
  char key[DEMAND_NAME_SIZE];

  snprintf (key, sizeof key, "%s/%s", kind, name);
  if (strcmp (last->name, key) != 0)
    {
      memcpy (last->name, key, sizeof key);
      last->was_zero = false;
    }
  if (demand == 0 && last->was_zero)
    return count;
  last->was_zero = demand == 0;
  entries[count].name = last->name;
  entries[count].demand = demand;
  return count + 1;
}

void
daemon_send_demand (struct daemon *daemon)
{
  struct sent_demand *sent_demand = daemon->sent_demand;
  struct peer_demand_entry entries[SENT_DEMAND_LIMIT];
  const struct sheet *sheet = &daemon->config.sheet;
  char target[DEMAND_NAME_SIZE];
  size_t index = 0;
  size_t count = 0;

  for (size_t i = 0; i < sheet->model_count && index < SENT_DEMAND_LIMIT; i++)
    {
      snprintf (target, sizeof target, "model/%s", sheet->models[i].name);
      count = append_demand (sent_demand, index++, entries, count, "model",
                             sheet->models[i].name,
                             admission_demand (&daemon->admission, target));
    }
  for (size_t i = 0; i < sheet->service_count && index < SENT_DEMAND_LIMIT; i++)
    {
      snprintf (target, sizeof target, "service/%s", sheet->services[i].name);
      count = append_demand (sent_demand, index++, entries, count, "service",
                             sheet->services[i].name,
                             admission_demand (&daemon->admission, target));
    }
  for (size_t i = 0; i < sheet->customer_count && index < SENT_DEMAND_LIMIT;
       i++)
    {
      const char *name = sheet->customers[i].name;

      count = append_demand (
          sent_demand, index++, entries, count, "customer", name,
          admission_customer_demand (&daemon->admission, name));
    }
  if (count > 0)
    peer_send_demand (&daemon->peers, entries, count);
}
