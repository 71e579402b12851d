#ifndef EDGE_HANDOVER_H
#define EDGE_HANDOVER_H

#include "gossip.h"
#include "text-patch.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How a hub hands new configurations on: as the difference to the one that the
 * asker has.  Hosts that cannot reach the platform get them too, and the
 * others save a call each and the time of a large answer on a small link.
 *
 * A patch that is not known or too long is not handed over; the asker reads
 * the platform then.
 */

#define HANDOVER_KEPT 8

struct handover_text
{
  int64_t version;
  uint64_t revision; /* of the record on the platform */
  char *text;
  size_t size;
};

struct handover
{
  /* The configurations in force lately, the newest first. */
  struct handover_text kept[HANDOVER_KEPT];
  unsigned count;
  bool serves; /* other hosts ask this one: earlier configurations are kept */
  /* The patch made last, and the versions that it is between. */
  struct text_patch patch;
  int64_t patch_from;
  int64_t patch_to;
  uint64_t patch_digest; /* of the newer one's text */
  /* The patch that is arriving. */
  int64_t arriving_from;
  int64_t arriving_to;
  uint32_t pieces; /* a bit for each that has arrived */
  char *arriving;
};

void handover_init (struct handover *handover);
void handover_finish (struct handover *handover);

/* A configuration came into force; the text is the handover's from now on. */
void handover_keep (struct handover *handover,
                    int64_t version,
                    uint64_t revision,
                    char *text,
                    size_t size);

/*
 * The pieces of the patch from this version to the newest, one by one from
 * index 0 on; false after the last one, and at once if there is no patch.
 */
bool handover_piece (struct handover *handover,
                     int64_t from,
                     unsigned index,
                     struct gossip_patch *piece);

/*
 * Takes a piece.  Once all are there, text is that of the new configuration, to
 * be freed by the caller; before that it is NULL.  RESULT_INVALID for a patch
 * that does not fit the configuration in force.
 */
enum result handover_take (struct handover *handover,
                           const struct gossip_patch *piece,
                           char **text,
                           size_t *size);

#endif
