#ifndef CLI_CONFIG_STORE_H
#define CLI_CONFIG_STORE_H

#include "cli.h"
#include "config-check.h"

/* Reads what "config check" compares with from the store. */
struct config_store
{
  struct catalog *catalog; /* in force; NULL = none */
  struct config_supply supply;
  struct text_pool texts; /* of the supply */
  unsigned skipped;       /* endpoint entries that hosts cannot read either */
};

void config_store_init (struct config_store *store);
void config_store_finish (struct config_store *store);

/*
 * Reads the configuration in force and all endpoints.  Each call ends within
 * cli->timeout_ms.  RESULT_OK also if no configuration is in force.
 */
enum result config_store_read (struct cli *cli, struct config_store *store);

#endif
