#ifndef GATEWAY_CLAIMIO_H
#define GATEWAY_CLAIMIO_H

#include "claim.h"
#include "gateway.h"
#include "platform.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Implements the gateway's hooks for at-most-once calls with the claim table
 * and the platform's client.  Finish it after the gateway and before the
 * platform.
 */

/* Longest wait of a caller for the decision on its claim. */
#define CLAIMIO_DECISION_TIMEOUT_MS 5000

struct claimio_transfer; /* a read or write in flight; private */
TAILQ_HEAD (claimio_transfers, claimio_transfer);
TAILQ_HEAD (claimio_claims, gateway_claim);

struct claimio
{
  struct claim_table table;
  struct gateway_claim_hooks hooks; /* for struct gateway_tables */
  struct platform *platform;        /* borrowed */

  /* Private. */
  struct claimio_transfers transfers;
  struct claimio_claims claims; /* not settled yet */
  bool starting_transfers;      /* start_transfers is running */
  bool stopped;                 /* the platform's client is being finished */
};

void claimio_init (struct claimio *claimio,
                   struct platform *platform,
                   const char *host,
                   uint64_t seed);
void claimio_finish (struct claimio *claimio);

/* Run each tick, also while draining. */
void claimio_tick (struct claimio *claimio, int64_t now_ms);

/* Counts claims and outcomes to be written; a stop waits until it is 0. */
size_t claimio_unwritten_count (const struct claimio *claimio);

#endif
