#ifndef CLI_FORCE_WAIT_H
#define CLI_FORCE_WAIT_H

#include "cli.h"
#include "in-force.h"

/*
 * Asks the entry hosts until the number is in force in every data centre or
 * cli->wait_ms has passed.  Data centres that cannot be reached end the wait
 * early, once the others have it.
 */
enum result force_wait (struct cli *cli,
                        enum in_force_subject subject,
                        uint64_t number,
                        struct in_force *in_force,
                        int64_t *waited_ms);

/* Asks once. */
enum result force_ask (struct cli *cli,
                       enum in_force_subject subject,
                       uint64_t number,
                       struct in_force *in_force);

/* Table for people, with a sentence for each data centre not in force. */
void force_print (const struct in_force *in_force,
                  enum in_force_subject subject,
                  uint64_t number);

/* [{"data_centre","state","live","have","lowest","by_peers","lagging"}] */
json_t *force_to_json (const struct in_force *in_force);

/* CLI_GOOD if in force everywhere, else CLI_REFUSED. */
enum cli_exit force_exit (const struct in_force *in_force);

#endif
