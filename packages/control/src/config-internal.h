#ifndef CONTROL_CONFIG_INTERNAL_H
#define CONTROL_CONFIG_INTERNAL_H

#include "config.h"

/* Marks the hosts that the control object drains. */
void config_apply_drains (struct config *config);

/* watch.c: keeps one watch call waiting at the platform. */
void config_watch (struct config *config);

/* watch.c: reads the host list when it is due. */
void config_read_hosts (struct config *config);

/* follow.c: fetches from peers what they hold in a newer number. */
void config_follow (struct config *config);

#endif
