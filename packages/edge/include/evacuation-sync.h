#ifndef EDGE_EVACUATION_SYNC_H
#define EDGE_EVACUATION_SYNC_H

#include "evacuations.h"
#include "follower.h"
#include "mesh.h"
#include "settings.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Keeps the evacuated data centres current.  The reader of each data centre
 * watches them in the store and distributes them with their age.  A host that
 * hears nothing recent reads the store itself.
 *
 * Without a bound nothing is read, sent or taken over.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

struct evacuation_sync
{
  struct mesh *mesh;
  const struct settings_list *data_centres; /* of the deployment */
  /* An evacuation is complete this long after its acknowledgement; 0 = off. */
  int64_t complete_ms;
  struct evacuations table;
  struct follower follower;
  struct evacuation_set read;   /* by the follower, as of its revision */
  struct evacuation_set listed; /* by the list that is being read */
  /* The last list had entries without a readable name; it is read again. */
  bool is_list_partial;
  bool reads;            /* this host reads them itself */
  uint64_t sent_changes; /* table.changes when it was last sent */
  int64_t next_send_ms;
};

void evacuation_sync_init (struct evacuation_sync *sync,
                           struct mesh *mesh,
                           struct records *records,
                           const struct settings_list *data_centres,
                           int64_t complete_ms);

void evacuation_sync_tick (struct evacuation_sync *sync, int64_t now_ms);

void evacuation_sync_handle_message (struct evacuation_sync *sync,
                                     const struct gossip_evacuations *message,
                                     int64_t now_ms);

/* Another host has started; it gets the evacuations soon. */
void evacuation_sync_host_started (struct evacuation_sync *sync);

/* Writes the name of a data centre, or its hash if the name is not known. */
#define EVACUATION_NAME_SIZE SETTINGS_TEXT_SIZE
void evacuation_sync_format_name (const struct evacuation_sync *sync,
                                  uint64_t data_centre,
                                  char name[EVACUATION_NAME_SIZE]);

/* True if the evacuations are known, or not followed. */
bool evacuation_sync_is_ready (const struct evacuation_sync *sync);

/* Timing that follows from the bound. */
int evacuation_sync_wait_ms (int64_t complete_ms);
int64_t evacuation_sync_send_interval_ms (int64_t complete_ms);
int64_t evacuation_sync_age_limit_ms (int64_t complete_ms);

#endif
