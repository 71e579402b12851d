#ifndef CLI_CONTROL_CHANGE_H
#define CLI_CONTROL_CHANGE_H

#include "cli.h"
#include "control-object.h"

/*
 * Changes the object control/current by a conditional write and waits until the
 * change is in force.  After a conflict the change is repeated on top of the
 * other operator's change, since changes do not depend on each other.
 */
enum cli_exit control_apply_change (struct cli *cli,
                                    enum control_action action,
                                    const char *subject);

#endif
