#include "daemon.h"

#include <stdio.h>
#include <string.h>

#define TARGET_SIZE DEMAND_NAME_SIZE

/* This entry host's part of a target's slots. */
static unsigned
own_slots (struct daemon *daemon, const char *target, unsigned total)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  size_t count = demand_peers (&daemon->demand, target, peers);
  size_t live
      = member_count_live (&daemon->members, daemon->members.self.data_centre);

  return shares_slots (total, admission_demand (&daemon->admission, target),
                       peers, count, live - 1, daemon->now_ms);
}

static void
divide_target (struct daemon *daemon, const char *model, const char *service)
{
  char target[TARGET_SIZE];
  unsigned total = choose_total_slots (&daemon->fleet, &daemon->config.sheet,
                                       daemon->members.self.data_centre, model,
                                       service, daemon->now_ms);

  snprintf (target, sizeof target, "%s/%s", model != NULL ? "model" : "service",
            model != NULL ? model : service);
  admission_set_slots (&daemon->admission, target,
                       own_slots (daemon, target, total));
}

static void
divide_customer (struct daemon *daemon, const struct sheet_customer *customer)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  char name[TARGET_SIZE];
  unsigned in_flight = customer->in_flight;
  unsigned demand;
  size_t count;
  size_t live
      = member_count_live (&daemon->members, daemon->members.self.data_centre);

  snprintf (name, sizeof name, "customer/%s", customer->name);
  count = demand_peers (&daemon->demand, name, peers);
  demand = admission_customer_demand (&daemon->admission, customer->name);
  if (in_flight > 0)
    in_flight = shares_slots (in_flight, demand, peers, count, live - 1,
                              daemon->now_ms);
  admission_set_customer (&daemon->admission, customer->name, customer->weight,
                          shares_rate (customer->rate, demand, peers, count,
                                       live - 1, daemon->now_ms),
                          in_flight);
}

void
daemon_divide (struct daemon *daemon)
{
  const struct sheet *sheet = &daemon->config.sheet;

  for (size_t i = 0; i < sheet->model_count; i++)
    divide_target (daemon, sheet->models[i].name, NULL);
  for (size_t i = 0; i < sheet->service_count; i++)
    divide_target (daemon, NULL, sheet->services[i].name);
  for (size_t i = 0; i < sheet->customer_count; i++)
    divide_customer (daemon, &sheet->customers[i]);
}

static size_t
add_demand (struct demand_sent *sent,
            size_t used,
            struct peer_demand_entry *entries,
            size_t count,
            const char *kind,
            const char *name,
            unsigned demand)
{
  struct demand_sent *slot = &sent[used];
  char text[TARGET_SIZE];

  snprintf (text, sizeof text, "%s/%s", kind, name);
  if (strcmp (slot->name, text) != 0)
    {
      memcpy (slot->name, text, sizeof text);
      slot->was_zero = false;
    }
  if (demand == 0 && slot->was_zero)
    return count;
  slot->was_zero = demand == 0;
  entries[count].name = slot->name;
  entries[count].demand = demand;
  return count + 1;
}

void
daemon_send_demand (struct daemon *daemon)
{
  struct demand_sent *sent = daemon->sent;
  struct peer_demand_entry entries[DEMAND_SENT_LIMIT];
  const struct sheet *sheet = &daemon->config.sheet;
  char target[TARGET_SIZE];
  size_t used = 0;
  size_t count = 0;

  for (size_t i = 0; i < sheet->model_count && used < DEMAND_SENT_LIMIT; i++)
    {
      snprintf (target, sizeof target, "model/%s", sheet->models[i].name);
      count = add_demand (sent, used++, entries, count, "model",
                          sheet->models[i].name,
                          admission_demand (&daemon->admission, target));
    }
  for (size_t i = 0; i < sheet->service_count && used < DEMAND_SENT_LIMIT; i++)
    {
      snprintf (target, sizeof target, "service/%s", sheet->services[i].name);
      count = add_demand (sent, used++, entries, count, "service",
                          sheet->services[i].name,
                          admission_demand (&daemon->admission, target));
    }
  for (size_t i = 0; i < sheet->customer_count && used < DEMAND_SENT_LIMIT; i++)
    {
      const char *name = sheet->customers[i].name;

      count = add_demand (sent, used++, entries, count, "customer", name,
                          admission_customer_demand (&daemon->admission, name));
    }
  if (count > 0)
    peer_send_demand (&daemon->peers, entries, count);
}
