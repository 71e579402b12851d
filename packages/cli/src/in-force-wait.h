#ifndef CLI_IN_FORCE_WAIT_H
#define CLI_IN_FORCE_WAIT_H

#include "cli.h"
#include "in-force.h"

/*
 * Queries the entry hosts until the sheet or control object of that number is
 * in force in every data centre, or cli->wait_ms has passed.  The wait ends
 * early if the remaining data centres cannot be reached.
 */
enum result in_force_wait (struct cli *cli,
                           enum in_force_object object,
                           uint64_t number,
                           struct in_force *in_force,
                           int64_t *waited_ms);

/* Queries the entry hosts once. */
enum result in_force_query (struct cli *cli,
                            enum in_force_object object,
                            uint64_t number,
                            struct in_force *in_force);

/*
 * Prints a table for the operator, with a sentence for each data centre in
 * which the number is not in force.
 */
void in_force_print (const struct in_force *in_force,
                     enum in_force_object object,
                     uint64_t number);

/*
 * Returns the JSON array
 * [{"data_centre","state","live","have","lowest","by_peers","lagging"}].
 */
json_t *in_force_to_json (const struct in_force *in_force);

/* Returns CLI_GOOD if the number is in force everywhere, else CLI_REFUSED. */
enum cli_exit in_force_exit_status (const struct in_force *in_force);

#endif
