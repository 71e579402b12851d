#ifndef CLI_PLATFORM_OBJECT_H
#define CLI_PLATFORM_OBJECT_H

#include "cli.h"

#include <jansson.h>

/* Synchronous calls to the platform's object service. */

struct platform_object
{
  json_t *value;    /* owned; NULL if the object does not exist */
  uint64_t version; /* 0 if the object does not exist */
};

void platform_object_init (struct platform_object *object);
void platform_object_finish (struct platform_object *object);

/* Reads into *object.  Returns RESULT_OK also if the object does not exist. */
enum result platform_object_read (struct cli *cli,
                                  const char *key,
                                  struct platform_object *object);

/*
 * Writes value if the object still has the version of *object, which then
 * receives the written object.  If a response is lost, the object is read back
 * and the write is repeated while the version is unchanged, so that the outcome
 * becomes known.  has_token returns whether a value includes the write
 * identified by token.
 *
 * RESULT_OK: written.  RESULT_PLATFORM_CONFLICT: another write was first, and
 * *object is the object after it.  RESULT_PLATFORM_LOST_ANSWER: the outcome is
 * unknown.  Any other result: certainly not written.
 */
enum result platform_object_update (struct cli *cli,
                                    const char *key,
                                    struct platform_object *object,
                                    const json_t *value,
                                    bool (*has_token) (const json_t *value,
                                                       const char *token),
                                    const char *token);

/* Reads the host list, GET /v1/hosts.  The caller owns *json. */
enum result platform_read_hosts (struct cli *cli, json_t **json);

#endif
