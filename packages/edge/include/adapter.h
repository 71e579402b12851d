#ifndef EDGE_ADAPTER_H
#define EDGE_ADAPTER_H

#include "catalog.h"
#include "endpoints.h"
#include "formation.h"
#include "http-text.h"
#include "records.h"
#include "relay.h"
#include "result.h"

#include <jansson.h>

/*
 * What a platform has to provide for entry hosts to run on it: names on the
 * wire, and translations between its messages and the product's types.  An
 * adapter has no state and takes no decisions.
 */
struct adapter
{
  const struct relay_names *names;
  const struct records_codec *records;

  /* Name of the record that holds the operator's configuration. */
  const char *configuration;

  /* RESULT_INVALID if the configuration cannot be understood. */
  enum result (*decode_catalog) (const json_t *value, struct catalog **catalog);

  /* RESULT_INVALID if the entry names no endpoint that can be used. */
  enum result (*decode_endpoint) (const json_t *value,
                                  struct endpoint_report *report);

  /* An order to an endpoint: target and JSON body of a POST. */
  void (*encode_order) (const struct formation_order *order,
                        uint64_t fence,
                        struct http_text *target,
                        struct http_text *body);

  /* RESULT_OK, ORDER_FENCED, ORDER_FAILED or ENDPOINT_WRONG_GROUP. */
  enum result (*decode_order_status) (unsigned status);

  /* Target of a GET that an endpoint answers while it lives. */
  const char *endpoint_report_target;

  /* Path on which the platform asks whether this host takes requests. */
  const char *ready_path;
};

#endif
