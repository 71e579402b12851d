#ifndef CLI_OBJECT_H
#define CLI_OBJECT_H

#include "cli.h"

#include <jansson.h>

/* The platform's objects, as synchronous calls. */

struct object
{
  json_t *value;    /* owned; NULL if there is no such object */
  uint64_t version; /* 0 if there is no such object */
};

void object_init (struct object *object);
void object_finish (struct object *object);

/* Replaces *object.  RESULT_OK also if the object does not exist. */
enum result
object_read (struct cli *cli, const char *key, struct object *object);

/*
 * Writes value if the object still has the version of *object, which is then
 * replaced.  has_token tells whether a value includes the write named by
 * token: when an answer is lost, the object is read back, and the write is
 * repeated while the version is unchanged, so that the outcome is known.
 *
 * RESULT_OK: written.  RESULT_PLATFORM_CONFLICT: another write came first, and
 * *object is what it left.  RESULT_PLATFORM_LOST_ANSWER: unknown.  Any other:
 * certainly not written.
 */
enum result object_update (struct cli *cli,
                           const char *key,
                           struct object *object,
                           const json_t *value,
                           bool (*has_token) (const json_t *value,
                                              const char *token),
                           const char *token);

/* GET /v1/hosts.  The caller owns *json. */
enum result object_hosts (struct cli *cli, json_t **json);

#endif
