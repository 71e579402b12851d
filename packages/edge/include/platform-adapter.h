#ifndef EDGE_PLATFORM_ADAPTER_H
#define EDGE_PLATFORM_ADAPTER_H

#include "catalog.h"
#include "endpoints.h"
#include "formation.h"
#include "http-text.h"
#include "records.h"
#include "relay.h"
#include "result.h"

#include <jansson.h>

/*
 * Connects entry hosts to a platform: its names on the wire, and translations
 * between its messages and the product's types.  An adapter has no state and
 * makes no decisions.
 */
struct platform_adapter
{
  const struct relay_names *header_names; /* of HTTP headers */
  const struct records_codec *records; /* for calls to the platform's store */

  /* Name of the record that holds the operator's configuration. */
  const char *configuration_name;

  /* RESULT_INVALID if the configuration cannot be decoded. */
  enum result (*decode_catalog) (const json_t *value, struct catalog **catalog);

  /*
   * RESULT_INVALID if the entry does not describe a usable endpoint.  The texts
   * of the report are those of value.
   */
  enum result (*decode_endpoint) (const json_t *value,
                                  struct endpoint_report *report);

  /*
   * Writes the target and the JSON body of the POST that sends an order.  The
   * endpoint refuses it unless it has accepted *expected_orders orders since
   * its start; NULL = any number.
   */
  void (*encode_order) (const struct formation_order *order,
                        uint64_t fence,
                        const uint64_t *expected_orders,
                        struct http_text *target,
                        struct http_text *body);

  /*
   * RESULT_OK, RESULT_ORDER_FENCED, RESULT_ORDER_FAILED or
   * RESULT_ENDPOINT_WRONG_GROUP.
   */
  enum result (*decode_order_status) (unsigned status);

  /* Target of a GET that every running endpoint answers with its report. */
  const char *endpoint_report_target;

  /*
   * Reads the start, the group and the number of accepted orders from that
   * report; other members of *report are zero or "".  Its texts are those of
   * value.  RESULT_INVALID without a number of orders.
   */
  enum result (*decode_endpoint_state) (const json_t *value,
                                        struct endpoint_report *report);

  /* Path of the platform's readiness check of this host. */
  const char *ready_path;
};

#endif
