#ifndef EDGE_CONFIGURATION_STATE_H
#define EDGE_CONFIGURATION_STATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides what a host does about a configuration that may not be the newest.
 *
 * Load: up to 3 versions of 1 MB a second, which a host that stood still or was
 * cut off for some seconds has missed.  The store's response to its watch holds
 * all of them and is over the limit for one response, or is unreadable.
 */

struct configuration_facts
{
  int64_t now_ms;
  int64_t in_force_ms;    /* a change must be in force after this time */
  bool reads_platform;    /* this host follows the store itself */
  int64_t own_version;    /* in force here; 0 = none */
  int64_t newest_version; /* newest that a hub reported; 0 = none did */
  bool is_patch_awaited;  /* a hub has sent the patch to it just now */
  /* Since when hubs report a newer version than this one; 0 = they do not. */
  int64_t newer_since_ms;
  int64_t newer_at_ms; /* time of the last such report */
  /* Since when the store's responses cannot be used; 0 = they can. */
  int64_t unusable_since_ms;
  /*
   * When this host first had a configuration, if it came from a store that was
   * restored before; else 0.
   */
  int64_t copy_read_ms;
  /* A newer one came since, or a hub has no newer one than this host. */
  bool is_confirmed;
  /* Since when this host lacks changes that it could not read; 0 = none. */
  int64_t missed_since_ms;
};

struct configuration_action
{
  bool reads_record; /* read the one record, apart from lists and watches */
  /*
   * No request may be handled as the present configuration says.  Either a
   * newer one exists, and time has passed in which it had to be in force; a
   * host that hears nothing of a newer one, as in an outage, goes on.  Or it
   * comes from a copy, to which the operator may still add, and names keys and
   * routes that were taken away.
   */
  bool is_outdated;
};

struct configuration_action
configuration_decide (const struct configuration_facts *facts);

#endif
