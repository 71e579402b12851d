#ifndef DAEMON_DEMAND_H
#define DAEMON_DEMAND_H

#include "shares.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * What the other entry hosts of the data centre last told of their demand,
 * by target ("model/NAME", "service/NAME") or customer ("customer/NAME").
 */

#define DEMAND_KEY_SIZE 192
#define DEMAND_PEERS_LIMIT 128

#define DEMAND_NAME_SIZE 80
#define DEMAND_SENT_LIMIT 256

/* What we told of one name last. */
struct demand_sent
{
  char name[DEMAND_NAME_SIZE];
  bool was_zero; /* zero was told already; peers take silence for zero */
};

struct demand_entry
{
  char key[DEMAND_KEY_SIZE]; /* "NAME\nFROM" */
  unsigned demand;
  int64_t heard_ms;
  UT_hash_handle hh;
};

struct demand
{
  struct demand_entry *entries; /* uthash by key */
};

void demand_init (struct demand *demand);
void demand_finish (struct demand *demand);
void demand_take (struct demand *demand,
                  const char *from,
                  const char *name,
                  unsigned value,
                  int64_t now_ms);

/* Fills peers (DEMAND_PEERS_LIMIT entries) with what is known of a name. */
size_t demand_peers (const struct demand *demand,
                     const char *name,
                     struct shares_peer *peers);

#endif
