#ifndef ROUTE_PLACE_H
#define ROUTE_PLACE_H

#include "result.h"
#include "sheet.h"

/*
 * Decides from the accepted sheet in which data centres a customer's request
 * may be handled.  Every step that forwards a request checks this again, since
 * the sheet may have changed meanwhile.
 */

/*
 * RESULT_OK if data_centre may handle the customer's requests;
 * WRONG_DATA_CENTRE if only others may (customer->data_centres names them);
 * PLACE_UNKNOWN if the sheet permits none; NO_CONFIGURATION without a sheet.
 */
enum result place_check_customer (const struct sheet *sheet,
                                  const struct sheet_customer *customer,
                                  const char *data_centre);

/*
 * Does place_check_customer and then checks whether the customer may use the
 * model or service in data_centre: RESULT_OK, UNKNOWN_TARGET, NOT_PERMITTED or
 * WRONG_DATA_CENTRE (the target runs only in other data centres).  Without any
 * data centre that both permit, the result is PLACE_UNKNOWN.
 */
enum result place_check_model (const struct sheet *sheet,
                               const struct sheet_customer *customer,
                               const char *model,
                               const char *data_centre);
enum result place_check_service (const struct sheet *sheet,
                                 const struct sheet_customer *customer,
                                 const char *service,
                                 const char *data_centre);

/*
 * Calls visit for each data centre that the customer permits and in which the
 * target (group rows of a model, or a service) runs.  With model and service
 * NULL, every data centre that the customer permits is visited.
 */
void place_for_each_permitted (const struct sheet *sheet,
                               const struct sheet_customer *customer,
                               const char *model,
                               const char *service,
                               void (*visit) (void *context,
                                              const char *data_centre),
                               void *context);

#endif
