#include "daemon.h"

#include <stdio.h>
#include <string.h>

#define TARGET_SIZE (SHEET_NAME_SIZE + 16)
#define DEMANDS_LIMIT 256

/*
 * Slots that the endpoints of a plain service have; its own report counts
 * when it gives one.
 */
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

void
daemon_tell_demand (struct daemon *daemon)
{
  static char names[DEMANDS_LIMIT][TARGET_SIZE];
  struct peer_demand_entry entries[DEMANDS_LIMIT];
  const struct sheet *sheet = &daemon->config.sheet;
  size_t count = 0;

  for (size_t i = 0; i < sheet->model_count && count < DEMANDS_LIMIT; i++)
    {
      snprintf (names[count], TARGET_SIZE, "model/%s", sheet->models[i].name);
      entries[count].demand
          = admission_demand (&daemon->admission, names[count]);
      count++;
    }
  for (size_t i = 0; i < sheet->service_count && count < DEMANDS_LIMIT; i++)
    {
      snprintf (names[count], TARGET_SIZE, "service/%s",
                sheet->services[i].name);
      entries[count].demand
          = admission_demand (&daemon->admission, names[count]);
      count++;
    }
  for (size_t i = 0; i < sheet->customer_count && count < DEMANDS_LIMIT; i++)
    {
      snprintf (names[count], TARGET_SIZE, "customer/%s",
                sheet->customers[i].name);
      entries[count].demand = admission_customer_demand (
          &daemon->admission, sheet->customers[i].name);
      count++;
    }
  for (size_t i = 0; i < count; i++)
    entries[i].name = names[i];
  peer_send_demand (&daemon->peers, entries, count);
}
