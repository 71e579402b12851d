#ifndef EDGE_LEADER_H
#define EDGE_LEADER_H

#include "checker.h"
#include "endpoints.h"
#include "evacuations.h"
#include "formation.h"
#include "lease.h"
#include "orders.h"
#include "platform-adapter.h"
#include "records.h"

#include <stdbool.h>
#include <stdint.h>

/* Precedence of the hosts that compete for a free lease, first to last. */
enum leader_role
{
  LEADER_READER, /* the hub that reads the platform for its data centre */
  LEADER_HUB,
  LEADER_OTHER,
};

/*
 * Competes for the lease of the data centre and forms its groups while the
 * lease is held.
 */
struct leader
{
  struct event_base *base;
  const struct platform_adapter *adapter;
  struct records *records;
  const struct endpoints *endpoints;
  struct lease lease;
  struct formation formation;
  struct orders orders;
  struct checker checker;
  /* Set by the owner after leader_init; NULL = there are none. */
  const struct evacuations *evacuations;
  const char *lease_name; /* the data centre; see formation_settings */
  unsigned rank;          /* delays this host's attempts to acquire the lease */
  bool acting;            /* the lease is held */
  bool is_releasing;      /* sends no more orders; see leader_release_lease */
  bool is_paused;         /* the data centre is evacuated: groups stay as is */
  int64_t acquired_ms;    /* when acting last became true */
  uint64_t era;           /* of the store, as far as the lease knows it */
  int64_t next_fence_scan_ms;
  uint64_t unreadable_revision; /* of the lease, when last read as such */
  unsigned unreadable_reads;    /* of that revision */
  int64_t now_ms;
};

void leader_init (struct leader *leader,
                  struct event_base *base,
                  const struct platform_adapter *adapter,
                  struct records *records,
                  const struct endpoints *endpoints,
                  const struct formation_settings *settings,
                  const char *self);
void leader_finish (struct leader *leader);

/*
 * has_traffic: some host has seen requests.
 * is_candidate: this host may acquire the lease; a holder keeps it in any case.
 * endpoints_current_at_ms: when the table last held all endpoints as they were.
 */
void leader_tick (struct leader *leader,
                  const struct catalog *catalog,
                  bool has_traffic,
                  bool is_candidate,
                  enum leader_role role,
                  int64_t endpoints_current_at_ms,
                  int64_t now_ms);

/*
 * True if groups may be formed: not while the lease is released.  A table that
 * is older than the lease may lack the effect of the last orders of the former
 * holder.
 */
bool leader_may_form (const struct leader *leader,
                      int64_t endpoints_current_at_ms);

/* Handles the value of the lease that another host reported. */
void leader_observe_lease (struct leader *leader,
                           const struct lease_value *value,
                           uint64_t version,
                           int64_t now_ms);

/* Checks the group that this endpoint heads: requests there are stalled. */
void leader_suspect_group (struct leader *leader, const char *endpoint);

/*
 * Starts to release the lease, which ends once the orders that were sent are
 * answered; see leader_has_released_lease.
 */
void leader_release_lease (struct leader *leader);
bool leader_has_released_lease (const struct leader *leader);

#endif
