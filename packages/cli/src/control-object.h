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
 * "recent" holds the last changes, newest first, so that a write whose response
 * was lost is found even after another operator's write.
 */

#define CONTROL_RECENT_LIMIT 20 /* changes in "recent" */

/*
 * Fingerprints in "releases".  Daemons keep a quarantine for 10 min, so older
 * releases have no effect.
 */
#define CONTROL_RELEASE_LIMIT 256

enum control_action
{
  CONTROL_DRAIN,
  CONTROL_UNDRAIN,
  CONTROL_RELEASE,
};

const char *control_action_name (enum control_action action);

/*
 * Makes the successor of current (NULL = no object yet) in *next, which the
 * caller owns.  subject is a host, or the fingerprint to release.  With
 * RESULT_OK, *next is NULL if there is nothing to change.  Returns
 * RESULT_INVALID if current is malformed.
 */
enum result control_make_next (const json_t *current,
                               enum control_action action,
                               const char *subject,
                               const char *operator_name,
                               const char *token,
                               int64_t wall_ms,
                               json_t **next);

/* True if the object contains the change with this token. */
bool control_has_token (const json_t *object, const char *token);

#endif
