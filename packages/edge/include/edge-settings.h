#ifndef EDGE_EDGE_SETTINGS_H
#define EDGE_EDGE_SETTINGS_H

#include "settings.h"

#include <stdint.h>

/*
 * Settings of an entry host on the users' platform; docs/settings.md lists
 * them.  Addresses are "IP:PORT".
 */
struct edge_settings
{
  char host[SETTINGS_TEXT_SIZE];
  char data_centre[SETTINGS_TEXT_SIZE];
  struct settings_list data_centres;
  char log_level[SETTINGS_TEXT_SIZE];
  char callers_listen[SETTINGS_TEXT_SIZE];
  char readiness_listen[SETTINGS_TEXT_SIZE];
  char peers_address[SETTINGS_TEXT_SIZE];
  int64_t peers_port;
  struct settings_list peers_seeds;
  double host_cores;
  char platform_store[SETTINGS_TEXT_SIZE];
  double drain_limit_s;
  int64_t keys_revoke_ms;
  int64_t configuration_in_force_ms;
  int64_t endpoints_leave_ms;
  int64_t endpoints_back_off_limit_s;
  double retry_ratio;
  int64_t retry_slack;
  int64_t retry_window_s;
  int64_t evacuation_complete_ms; /* 0 = evacuations are not followed */
  double cold_over;
  double cold_slack;
  int64_t memory_limit_mb;
  double memory_tight_share;
  double memory_full_share;
};

/*
 * Timing of a host that reads the platform: how long one watch of the
 * configuration waits, and how long changes of the endpoints are batched, ms.
 * Other hosts get the changes from this host, so both stay below the bounds in
 * the settings by the time of the distribution.
 */
int edge_configuration_wait_ms (const struct edge_settings *settings);
int edge_entries_interval_ms (const struct edge_settings *settings);

/*
 * Age limit of data that is passed on to other hosts, ms: the wait of a watch
 * plus the time of a call.
 */
int64_t edge_freshness_limit_ms (const struct edge_settings *settings);

extern const struct settings_table edge_settings_table;

#endif
