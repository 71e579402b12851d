#ifndef CONTROL_CONFIG_INTERNAL_H
#define CONTROL_CONFIG_INTERNAL_H

#include "config.h"

/* Marks the hosts that the control object drains. */
void config_apply_drains (struct config *config);

/* config-watch.c: starts a watch call on the platform unless one is open. */
void config_start_watch (struct config *config);

/* config-watch.c: reads the host list when it is due. */
void config_read_hosts (struct config *config);

/* config-fetch.c: fetches objects from peers that hold a higher number. */
void config_fetch_newer (struct config *config);

#endif
