#ifndef DAEMON_DEMAND_TABLE_H
#define DAEMON_DEMAND_TABLE_H

#include "shares.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The demand that the other entry hosts of the data centre last reported, per
 * target ("model/NAME", "service/NAME") and customer ("customer/NAME").
 */

#define DEMAND_KEY_SIZE 192    /* bytes, with the NUL */
#define DEMAND_PEERS_LIMIT 128 /* reports per target or customer */

#define DEMAND_NAME_SIZE 80   /* bytes, with the NUL */
#define SENT_DEMAND_LIMIT 256 /* targets and customers that are reported */

/* The last report of this entry host on one target or customer. */
struct sent_demand
{
  char name[DEMAND_NAME_SIZE];
  bool was_zero; /* zero was reported and is not repeated: peers treat a
                    missing report as zero */
};

struct demand_entry
{
  char key[DEMAND_KEY_SIZE]; /* name, newline, host that reported */
  unsigned demand;           /* requests running or queued */
  int64_t received_ms;       /* time of the report */
  UT_hash_handle hh;
};

struct demand_table
{
  struct demand_entry *entries; /* uthash by key */
};

void demand_table_init (struct demand_table *table);
void demand_table_finish (struct demand_table *table);
void demand_table_record (struct demand_table *table,
                          const char *from,
                          const char *name,
                          unsigned demand,
                          int64_t now_ms);

/*
 * Fills peers, of DEMAND_PEERS_LIMIT entries, with the reports on a target or
 * customer; returns their number.
 */
size_t demand_table_find_peers (const struct demand_table *table,
                                const char *name,
                                struct shares_peer *peers);

#endif
