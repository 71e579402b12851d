#ifndef CLI_PROMETHEUS_H
#define CLI_PROMETHEUS_H

#include <stdbool.h>
#include <stddef.h>

/* Reader of the Prometheus text format, as far as counters need it. */

/*
 * Calls visit for each sample of the metric; labels is the text between the
 * braces, "" if there are none.  Lines that cannot be read are skipped.
 */
void prometheus_each (const char *text,
                      const char *name,
                      void (*visit) (void *context,
                                     const char *labels,
                                     double value),
                      void *context);

/* Copies the value of a label, unescaped; false if absent or too long. */
bool prometheus_label (const char *labels,
                       const char *label,
                       char *out,
                       size_t size);

#endif
