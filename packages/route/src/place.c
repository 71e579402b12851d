#include "place.h"

#include <string.h>

static bool
is_permitted_by_row (const struct sheet_list *customers,
                     const struct sheet_customer *customer)
{
  return customers->count == 0 || sheet_list_has (customers, customer->name);
}

enum result
place_check_customer (const struct sheet *sheet,
                      const struct sheet_customer *customer,
                      const char *data_centre)
{
  if (sheet == NULL || sheet->number == 0)
    return RESULT_NO_CONFIGURATION;
  if (customer == NULL || customer->data_centres.count == 0)
    return RESULT_PLACE_UNKNOWN;
#ifndef BREAK_GUARD_PLACE
  if (data_centre == NULL
      || !sheet_list_has (&customer->data_centres, data_centre))
    return RESULT_WRONG_DATA_CENTRE;
#endif
  return RESULT_OK;
}

static bool
can_model_run_in (const struct sheet *sheet,
                  const struct sheet_customer *customer,
                  const char *model,
                  const char *data_centre)
{
  for (size_t i = 0; i < sheet->group_count; i++)
    {
      const struct sheet_group *row = &sheet->groups[i];

      if (strcmp (row->model, model) == 0
          && is_permitted_by_row (&row->customers, customer)
          && sheet_list_has (&row->data_centres, data_centre))
        return true;
    }
  return false;
}

static bool
can_service_run_in (const struct sheet *sheet,
                    const struct sheet_customer *customer,
                    const char *name,
                    const char *data_centre)
{
  const struct sheet_service *service = sheet_find_service (sheet, name);

  return service != NULL && is_permitted_by_row (&service->customers, customer)
         && sheet_list_has (&service->data_centres, data_centre);
}

static bool
can_target_run_in (const struct sheet *sheet,
                   const struct sheet_customer *customer,
                   const char *model,
                   const char *service,
                   const char *data_centre)
{
  if (model != NULL)
    return can_model_run_in (sheet, customer, model, data_centre);
  if (service != NULL)
    return can_service_run_in (sheet, customer, service, data_centre);
  return true;
}

/*
 * WRONG_DATA_CENTRE is returned only if another data centre may handle the
 * request; otherwise the caller would have nowhere to send it.
 */
static enum result
check_target_placement (const struct sheet *sheet,
                        const struct sheet_customer *customer,
                        const char *model,
                        const char *service,
                        const char *data_centre)
{
  const struct sheet_list *permitted = &customer->data_centres;

  if (can_target_run_in (sheet, customer, model, service, data_centre))
    return RESULT_OK;
  for (size_t i = 0; i < permitted->count; i++)
    if (can_target_run_in (sheet, customer, model, service,
                           permitted->names[i]))
      return RESULT_WRONG_DATA_CENTRE;
  return RESULT_PLACE_UNKNOWN;
}

enum result
place_check_model (const struct sheet *sheet,
                   const struct sheet_customer *customer,
                   const char *model,
                   const char *data_centre)
{
  enum result result = place_check_customer (sheet, customer, data_centre);
  bool has_rows = false;
  bool permitted = false;

  if (result != RESULT_OK)
    return result;
  if (sheet_find_model (sheet, model) == NULL)
    return RESULT_UNKNOWN_TARGET;
  for (size_t i = 0; i < sheet->group_count; i++)
    if (strcmp (sheet->groups[i].model, model) == 0)
      {
        has_rows = true;
        permitted
            = permitted
              || is_permitted_by_row (&sheet->groups[i].customers, customer);
      }
  if (!has_rows)
    return RESULT_UNKNOWN_TARGET;
  if (!permitted)
    return RESULT_NOT_PERMITTED;
  return check_target_placement (sheet, customer, model, NULL, data_centre);
}

enum result
place_check_service (const struct sheet *sheet,
                     const struct sheet_customer *customer,
                     const char *service,
                     const char *data_centre)
{
  enum result result = place_check_customer (sheet, customer, data_centre);
  const struct sheet_service *row;

  if (result != RESULT_OK)
    return result;
  row = sheet_find_service (sheet, service);
  if (row == NULL)
    return RESULT_UNKNOWN_TARGET;
  if (!is_permitted_by_row (&row->customers, customer))
    return RESULT_NOT_PERMITTED;
  return check_target_placement (sheet, customer, NULL, service, data_centre);
}

static bool
is_named_before (const struct sheet_list *list, size_t index)
{
  for (size_t i = 0; i < index; i++)
    if (strcmp (list->names[i], list->names[index]) == 0)
      return true;
  return false;
}

void
place_for_each_permitted (const struct sheet *sheet,
                          const struct sheet_customer *customer,
                          const char *model,
                          const char *service,
                          void (*visit) (void *context,
                                         const char *data_centre),
                          void *context)
{
  if (sheet == NULL || customer == NULL)
    return;
  for (size_t i = 0; i < customer->data_centres.count; i++)
    {
      const char *name = customer->data_centres.names[i];

      if (!is_named_before (&customer->data_centres, i)
          && can_target_run_in (sheet, customer, model, service, name))
        visit (context, name);
    }
}
