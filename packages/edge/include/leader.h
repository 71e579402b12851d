#ifndef EDGE_LEADER_H
#define EDGE_LEADER_H

#include "adapter.h"
#include "checker.h"
#include "endpoints.h"
#include "formation.h"
#include "lease.h"
#include "orders.h"
#include "records.h"

#include <stdbool.h>
#include <stdint.h>

/* Who goes before whom when the lease is free. */
enum leader_role
{
  LEADER_READER, /* the hub that reads the platform for its data centre */
  LEADER_HUB,
  LEADER_OTHER,
};

/*
 * Competes for the lease of the data centre and, while it holds it, carries
 * out the formation of groups.
 */
struct leader
{
  struct event_base *base;
  const struct adapter *adapter;
  struct records *records;
  const struct endpoints *endpoints;
  struct lease lease;
  struct formation formation;
  struct orders orders;
  struct checker checker;
  char lease_name[CATALOG_NAME_SIZE];
  unsigned rank; /* among the hubs that compete for the lease */
  bool acting;
  int64_t acquired_ms; /* since when it acts */
  int64_t now_ms;
};

void leader_init (struct leader *leader,
                  struct event_base *base,
                  const struct adapter *adapter,
                  struct records *records,
                  const struct endpoints *endpoints,
                  const struct formation_settings *settings,
                  const char *self);
void leader_finish (struct leader *leader);

/*
 * traffic: requests have been seen.  candidate: this host may take the lease;
 * one that holds it keeps it.
 * known_ms: when the table was last known to hold all endpoints as they were.
 */
void leader_tick (struct leader *leader,
                  const struct catalog *catalog,
                  bool traffic,
                  bool candidate,
                  enum leader_role role,
                  int64_t known_ms,
                  int64_t now_ms);

/*
 * True if groups may be formed.  What was known before the lease was acquired
 * does not show what its former holder ordered last.
 */
bool leader_may_form (const struct leader *leader, int64_t known_ms);

/* Another host told what the lease is. */
void leader_take_lease (struct leader *leader,
                        const struct lease_value *value,
                        uint64_t version,
                        int64_t now_ms);

/* Requests at this endpoint stand still: its group is to be looked at. */
void leader_suspect (struct leader *leader, const char *endpoint);

/* Gives the lease back; done when leader_is_done. */
void leader_leave (struct leader *leader);
bool leader_is_done (const struct leader *leader);

#endif
