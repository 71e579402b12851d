#ifndef EDGE_STRIKE_RECORD_H
#define EDGE_STRIKE_RECORD_H

#include "follower.h"
#include "records.h"
#include "strikes.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Keeps the strikes that led to quarantines in the platform's store, so that
 * they outlast a loss of all entry hosts, and reach data centres that are cut
 * off from each other but not from the store.
 *
 * There is one record per data centre, {"strikes":[{"trait","part","crash",
 * "age_ms"}]}, written by the hosts that read the platform.  It holds strikes
 * and not verdicts, so that hosts still tell harmful parts from sound ones that
 * were at the same crashes.  It is rewritten when the quarantines change, and
 * is empty when there are none.  A started host counts the age of the strikes
 * from the time of the write, as the time since then is not known.
 */

#define STRIKE_RECORD_LIMIT 256 /* strikes */

struct strike_record
{
  struct records *records;
  struct strikes *strikes;
  struct follower follower;
  char name[64];           /* the data centre */
  uint64_t revision;       /* of the record; 0 = there is none */
  uint64_t written_digest; /* of the strikes in it; 0 = none */
  uint64_t digest;         /* of the strikes that are being written */
  bool is_writing;
  int64_t next_write_ms;
  int64_t now_ms;
};

void strike_record_init (struct strike_record *record,
                         struct records *records,
                         struct strikes *strikes,
                         const char *data_centre);

/* Call every tick of a host that reads the platform. */
void strike_record_tick (struct strike_record *record, int64_t now_ms);

#endif
