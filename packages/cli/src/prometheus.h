#ifndef CLI_PROMETHEUS_H
#define CLI_PROMETHEUS_H

#include <stdbool.h>
#include <stddef.h>

/* Reader of the Prometheus text format, for counters only. */

/*
 * Calls visit for each sample of the metric.  labels is the text between the
 * braces, or "" without braces.  Malformed lines are skipped.
 */
void prometheus_for_each_sample (const char *text,
                                 const char *name,
                                 void (*visit) (void *context,
                                                const char *labels,
                                                double value),
                                 void *context);

/* Copies the unescaped value of a label; false if absent or too long. */
bool prometheus_get_label (const char *labels,
                           const char *label,
                           char *out,
                           size_t size);

#endif
