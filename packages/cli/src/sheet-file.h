#ifndef CLI_SHEET_FILE_H
#define CLI_SHEET_FILE_H

#include "cli.h"
#include "platform-object.h"
#include "sheet-diff.h"
#include "sheet-read.h"

/* Functions that the sheet subcommands share. */

/*
 * Reads and validates a file.  The report receives the errors.  Returns
 * RESULT_NOT_FOUND after a message if the file cannot be read.
 */
enum result sheet_file_read (const char *path,
                             const struct sheet_read_options *options,
                             struct sheet *sheet,
                             struct sheet_report *report);

/*
 * Reads the accepted sheet, the object sheet/current.  The sheet has number 0
 * if none is accepted yet.  object receives the object for a later conditional
 * write.
 */
enum result sheet_accepted_read (struct cli *cli,
                                 struct platform_object *object,
                                 struct sheet *sheet);

/* Reads the platform's host list into a newly initialised inventory. */
enum result sheet_inventory_read (struct cli *cli,
                                  struct sheet_inventory *inventory);

void sheet_report_print (const char *path, const struct sheet_report *report);
json_t *sheet_report_to_json (const struct sheet_report *report);

void sheet_diff_print (const struct sheet_diff *diff);
json_t *sheet_diff_to_json (const struct sheet_diff *diff);

/* Prints JSON and a newline to standard output, and drops the reference. */
void json_print (json_t *json);

#endif
