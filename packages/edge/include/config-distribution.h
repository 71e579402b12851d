#ifndef EDGE_CONFIG_DISTRIBUTION_H
#define EDGE_CONFIG_DISTRIBUTION_H

#include "gossip.h"
#include "text-patch.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Distribution of new configurations from a hub to other hosts, as a patch to
 * the version that the requesting host has.  Hosts that cannot reach the
 * platform get new configurations too, and the others save a call each and the
 * time of a large response on a small link.
 *
 * If the hub no longer has that version, or the patch is too long, nothing is
 * sent; the requesting host reads the platform then.
 */

#define CONFIG_DISTRIBUTION_VERSIONS 8

/* Text of one version of the configuration. */
struct config_text
{
  int64_t version;
  uint64_t revision; /* of the record on the platform */
  char *text;
  size_t size; /* bytes */
};

struct config_distribution
{
  /* The configuration in force and earlier ones, the newest first. */
  struct config_text kept[CONFIG_DISTRIBUTION_VERSIONS];
  unsigned count;
  /* Other hosts request patches from this one: earlier versions are kept. */
  bool serves_other_hosts;
  /* The patch made last, and its versions. */
  struct text_patch patch;
  int64_t patch_from;
  int64_t patch_to;
  uint64_t patch_digest; /* of the newer version's text */
  /* The patch that is being received. */
  int64_t incoming_from;
  int64_t incoming_to;
  uint32_t incoming_total;
  uint64_t incoming_digest;
  uint32_t incoming_chunks; /* one bit per received chunk */
  char *incoming;
};

void config_distribution_init (struct config_distribution *distribution);
void config_distribution_finish (struct config_distribution *distribution);

/* Stores a configuration that came into force; takes ownership of the text. */
void config_distribution_add (struct config_distribution *distribution,
                              int64_t version,
                              uint64_t revision,
                              char *text,
                              size_t size);

/*
 * Fills in one chunk of the patch from this version to the newest; index counts
 * from 0.  False after the last chunk, or if there is no patch.
 */
bool config_distribution_get_chunk (struct config_distribution *distribution,
                                    int64_t from,
                                    unsigned index,
                                    struct gossip_patch *chunk);

/*
 * Adds a received chunk.  After the last missing chunk, *text is the new
 * configuration, to be freed by the caller; before that it is NULL.
 * RESULT_INVALID for a patch that does not fit the configuration in force.
 */
enum result
config_distribution_receive_chunk (struct config_distribution *distribution,
                                   const struct gossip_patch *chunk,
                                   char **text,
                                   size_t *size);

#endif
