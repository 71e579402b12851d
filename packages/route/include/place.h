#ifndef ROUTE_PLACE_H
#define ROUTE_PLACE_H

#include "result.h"
#include "sheet.h"

/*
 * Where a customer's request may be handled, from the accepted sheet.  Every
 * step that sends a request on calls this again, since the sheet may have
 * changed meanwhile.
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
 * The same for a model or service that the customer wants to use there, and
 * whether it may: UNKNOWN_TARGET, NOT_PERMITTED, WRONG_DATA_CENTRE (the
 * target runs only elsewhere) or RESULT_OK.
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
 * Calls visit for each data centre that the customer permits and that the
 * target (group rows of a model, or a service) runs in; target may be NULL.
 */
void place_permitted (const struct sheet *sheet,
                      const struct sheet_customer *customer,
                      const char *model,
                      const char *service,
                      void (*visit) (void *context, const char *data_centre),
                      void *context);

#endif
