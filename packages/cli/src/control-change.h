#ifndef CLI_CONTROL_CHANGE_H
#define CLI_CONTROL_CHANGE_H

#include "cli.h"
#include "control-object.h"

/*
 * Changes control/current by conditional update and waits until it is in
 * force.  A conflict is resolved by making the change again on top of the
 * other one, since the changes do not depend on each other.
 */
enum cli_exit control_change (struct cli *cli,
                              enum control_action action,
                              const char *subject);

#endif
