#ifndef CLI_CONTROL_OBJECT_H
#define CLI_CONTROL_OBJECT_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The object control/current:
 *
 *   {"number","token","drains":[host],"releases":[fingerprint],
 *    "recent":[{"token","number","operator","action","subject",
 *      "applied_wall_ms"}]}
 *
 * recent holds the last changes, newest first, so that a write whose answer
 * was lost is found even after another operator's write.
 */

#define CONTROL_RECENT_LIMIT 20

/* Daemons keep a quarantine for 10 min, so that old releases mean nothing. */
#define CONTROL_RELEASE_LIMIT 256

enum control_action
{
  CONTROL_DRAIN,
  CONTROL_UNDRAIN,
  CONTROL_RELEASE,
};

const char *control_action_name (enum control_action action);

/*
 * Makes the successor of current (NULL = none yet) in *next, which the caller
 * owns.  *next is NULL with RESULT_OK if there is nothing to change.
 * RESULT_INVALID if current has another form.
 */
enum result control_next (const json_t *current,
                          enum control_action action,
                          const char *subject,
                          const char *operator_name,
                          const char *token,
                          int64_t wall_ms,
                          json_t **next);

/* True if the object includes the write with this token. */
bool control_has_token (const json_t *object, const char *token);

#endif
