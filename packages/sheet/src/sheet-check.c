#include "sheet-read-internal.h"

#include <stdlib.h>
#include <string.h>

/* A fabric domain of the inventory. */
struct domain
{
  const char *data_centre;
  const char *name;
  unsigned eligible; /* number of hosts that the checked group row may use */
};

/* State of one call of sheet_check. */
struct sheet_validation
{
  const struct sheet *sheet;
  unsigned *const *row_lines;
  const struct sheet_inventory *inventory; /* may be NULL */
  struct sheet_report *report;
  struct domain *domains;
  size_t domain_count;
  size_t *host_domains; /* for each inventory host, its index in domains */
};

static void
add_error (struct sheet_validation *check,
           enum result code,
           enum sheet_kind kind,
           size_t index,
           enum sheet_column column,
           const char *value,
           const char *detail)
{
  sheet_report_add (check->report, code, check->row_lines[kind][index],
                    sheet_column_name (column), value, strlen (value), "%s",
                    detail);
}

/* Fills domains and host_domains.  Returns false if memory is short. */
static bool
index_domains (struct sheet_validation *check)
{
  const struct sheet_inventory *inventory = check->inventory;

  check->domains = calloc (inventory->count + 1, sizeof *check->domains);
  check->host_domains
      = calloc (inventory->count + 1, sizeof *check->host_domains);
  if (check->domains == NULL || check->host_domains == NULL)
    return false;
  for (size_t i = 0; i < inventory->count; i++)
    {
      const struct sheet_inventory_host *host = &inventory->hosts[i];
      size_t j = 0;

      while (j < check->domain_count
             && (strcmp (check->domains[j].data_centre, host->data_centre) != 0
                 || strcmp (check->domains[j].name, host->domain) != 0))
        j++;
      if (j == check->domain_count)
        {
          check->domains[j].data_centre = host->data_centre;
          check->domains[j].name = host->domain;
          check->domain_count++;
        }
      check->host_domains[i] = j;
    }
  return true;
}

static void
check_customers (struct sheet_validation *check,
                 enum sheet_kind kind,
                 size_t index,
                 const struct sheet_list *customers)
{
  for (size_t i = 0; i < customers->count; i++)
    if (sheet_find_customer (check->sheet, customers->names[i]) == NULL)
      add_error (check, RESULT_SHEET_UNKNOWN_CUSTOMER, kind, index,
                 SHEET_COLUMN_CUSTOMERS, customers->names[i],
                 "The sheet has no row for this customer.");
}

static bool
lists_overlap (const struct sheet_list *a, const struct sheet_list *b)
{
  for (size_t i = 0; i < a->count; i++)
    if (sheet_list_has (b, a->names[i]))
      return true;
  return false;
}

/*
 * Reports a row that no customer can use, since none of its customers permits
 * one of its data centres.  Skips the row if its own data centres or those of
 * one of its customers are invalid, since that error is reported already.
 */
static void
check_customer_permission (struct sheet_validation *check,
                           enum sheet_kind kind,
                           size_t index,
                           const struct sheet_list *customers,
                           const struct sheet_list *data_centres)
{
  size_t checked_customer_count = 0;

  if (data_centres->count == 0)
    return;
  for (size_t i = 0; i < check->sheet->customer_count; i++)
    {
      const struct sheet_customer *customer = &check->sheet->customers[i];

      if (customers->count > 0 && !sheet_list_has (customers, customer->name))
        continue;
      if (customer->data_centres.count == 0
          || lists_overlap (&customer->data_centres, data_centres))
        return;
      checked_customer_count++;
    }
  if (checked_customer_count > 0)
    add_error (check, RESULT_SHEET_FORBIDDEN_PLACE, kind, index,
               SHEET_COLUMN_DATA_CENTRES, data_centres->names[0],
               "None of its customers permits any of its data centres.");
}

static bool
has_data_centre (const struct sheet_validation *check, const char *name)
{
  for (size_t i = 0; i < check->domain_count; i++)
    if (strcmp (check->domains[i].data_centre, name) == 0)
      return true;
  return false;
}

static void
check_data_centres (struct sheet_validation *check,
                    enum sheet_kind kind,
                    size_t index,
                    const struct sheet_list *data_centres)
{
  for (size_t i = 0; i < data_centres->count; i++)
    if (!has_data_centre (check, data_centres->names[i]))
      add_error (check, RESULT_SHEET_UNKNOWN_PLACE, kind, index,
                 SHEET_COLUMN_DATA_CENTRES, data_centres->names[i],
                 "The platform lists no host in this data centre.");
}

static bool
is_domain_permitted (const struct sheet_group *group,
                     const struct domain *domain)
{
  return sheet_list_has (&group->data_centres, domain->data_centre)
         && (group->domains.count == 0
             || sheet_list_has (&group->domains, domain->name));
}

static void
check_domains (struct sheet_validation *check, size_t index)
{
  const struct sheet_group *group = &check->sheet->groups[index];

  for (size_t i = 0; i < group->domains.count; i++)
    {
      const char *name = group->domains.names[i];
      size_t j = 0;

      while (j < check->domain_count
             && (strcmp (check->domains[j].name, name) != 0
                 || !sheet_list_has (&group->data_centres,
                                     check->domains[j].data_centre)))
        j++;
      if (j == check->domain_count)
        add_error (check, RESULT_SHEET_UNKNOWN_PLACE, SHEET_KIND_GROUP, index,
                   SHEET_COLUMN_DOMAINS, name,
                   "The row's data centres have no such fabric domain.");
    }
}

static void
check_hosts (struct sheet_validation *check, size_t index)
{
  const struct sheet_group *group = &check->sheet->groups[index];

  for (size_t i = 0; i < group->hosts.count; i++)
    {
      const char *id = group->hosts.names[i];
      const char *detail = "The platform does not list this host.";

      for (size_t j = 0; j < check->inventory->count && detail != NULL; j++)
        {
          const struct sheet_inventory_host *host = &check->inventory->hosts[j];

          if (strcmp (host->id, id) != 0)
            continue;
          if (host->is_service)
            detail = "This host runs a plain service.";
          else if (!is_domain_permitted (
                       group, &check->domains[check->host_domains[j]]))
            detail = "This host is outside the row's data centres or domains.";
          else
            detail = NULL;
          break;
        }
      if (detail != NULL)
        add_error (check, RESULT_SHEET_UNKNOWN_PLACE, SHEET_KIND_GROUP, index,
                   SHEET_COLUMN_HOSTS, id, detail);
    }
}

/* Reports a group row that does not fit into the hosts that it permits. */
static void
check_capacity (struct sheet_validation *check, size_t index)
{
  const struct sheet_group *group = &check->sheet->groups[index];
  unsigned line = check->row_lines[SHEET_KIND_GROUP][index];
  unsigned largest_domain_hosts = 0;
  size_t possible_groups = 0;

  for (size_t i = 0; i < check->domain_count; i++)
    check->domains[i].eligible = 0;
  for (size_t i = 0; i < check->inventory->count; i++)
    {
      const struct sheet_inventory_host *host = &check->inventory->hosts[i];
      struct domain *domain = &check->domains[check->host_domains[i]];

      if (!host->is_service && is_domain_permitted (group, domain)
          && (group->hosts.count == 0
              || sheet_list_has (&group->hosts, host->id)))
        domain->eligible++;
    }
  for (size_t i = 0; i < check->domain_count; i++)
    {
      unsigned eligible = check->domains[i].eligible;

      if (eligible > largest_domain_hosts)
        largest_domain_hosts = eligible;
      possible_groups += eligible / group->span;
    }
  if (group->span > largest_domain_hosts)
    sheet_report_add (check->report, RESULT_SHEET_SPAN_TOO_LARGE, line,
                      sheet_column_name (SHEET_COLUMN_SPAN), "", 0,
                      "The span is %u; the largest permitted domain has %u"
                      " hosts.",
                      group->span, largest_domain_hosts);
  else if (group->count > possible_groups)
    sheet_report_add (check->report, RESULT_SHEET_TOO_MANY_HOSTS, line,
                      sheet_column_name (SHEET_COLUMN_COUNT), "", 0,
                      "The row wants %u groups; its hosts make %zu.",
                      group->count, possible_groups);
}

/*
 * Reports group rows that together want more hosts than exist, once, at the
 * first row that exceeds the number.  With data_centre NULL all rows and hosts
 * count; otherwise the hosts of that data centre and the rows that permit no
 * other data centre.
 */
static void
check_total_hosts (struct sheet_validation *check, const char *data_centre)
{
  uint64_t existing_hosts = 0;
  uint64_t wanted_hosts = 0;

  for (size_t i = 0; i < check->inventory->count; i++)
    {
      const struct sheet_inventory_host *host = &check->inventory->hosts[i];

      if (!host->is_service
          && (data_centre == NULL
              || strcmp (host->data_centre, data_centre) == 0))
        existing_hosts++;
    }
  for (size_t i = 0; i < check->sheet->group_count; i++)
    {
      const struct sheet_group *group = &check->sheet->groups[i];

      if (data_centre != NULL
          && (group->data_centres.count != 1
              || strcmp (group->data_centres.names[0], data_centre) != 0))
        continue;
      wanted_hosts += (uint64_t)group->span * group->count;
      if (wanted_hosts <= existing_hosts)
        continue;
      sheet_report_add (check->report, RESULT_SHEET_TOO_MANY_HOSTS,
                        check->row_lines[SHEET_KIND_GROUP][i],
                        sheet_column_name (SHEET_COLUMN_COUNT), "", 0,
                        "The rows up to here want %llu hosts%s%s; %llu exist.",
                        (unsigned long long)wanted_hosts,
                        data_centre != NULL ? " in " : "",
                        data_centre != NULL ? data_centre : "",
                        (unsigned long long)existing_hosts);
      return;
    }
}

/* Checks data centres, domains, hosts and capacity against the inventory. */
static void
check_places (struct sheet_validation *check)
{
  const struct sheet *sheet = check->sheet;
  size_t errors_before = check->report->error_total;

  for (size_t i = 0; i < sheet->customer_count; i++)
    check_data_centres (check, SHEET_KIND_CUSTOMER, i,
                        &sheet->customers[i].data_centres);
  for (size_t i = 0; i < sheet->service_count; i++)
    check_data_centres (check, SHEET_KIND_SERVICE, i,
                        &sheet->services[i].data_centres);
  for (size_t i = 0; i < sheet->group_count; i++)
    {
      size_t row_errors_before = check->report->error_total;

      check_data_centres (check, SHEET_KIND_GROUP, i,
                          &sheet->groups[i].data_centres);
      check_domains (check, i);
      check_hosts (check, i);
      /* With an unknown place the capacity is unknown; one error is enough. */
      if (check->report->error_total == row_errors_before
          && sheet->groups[i].span > 0)
        check_capacity (check, i);
    }
  if (check->report->error_total > errors_before)
    return;
  check_total_hosts (check, NULL);
  for (size_t i = 0; i < check->domain_count; i++)
    {
      /* Check each data centre once, and only until the first error. */
      const char *data_centre = check->domains[i].data_centre;
      size_t first = 0;

      while (strcmp (check->domains[first].data_centre, data_centre) != 0)
        first++;
      if (first == i && check->report->error_total == errors_before)
        check_total_hosts (check, data_centre);
    }
}

void
sheet_check (const struct sheet *sheet,
             unsigned *const row_lines[SHEET_KIND_COUNT],
             const struct sheet_read_options *options,
             struct sheet_report *report)
{
  struct sheet_validation check = { .sheet = sheet,
                                    .row_lines = row_lines,
                                    .inventory = options->inventory,
                                    .report = report };

  for (size_t i = 0; i < sheet->group_count; i++)
    {
      const struct sheet_group *group = &sheet->groups[i];

      if (group->model[0] != '\0'
          && sheet_find_model (sheet, group->model) == NULL)
        add_error (&check, RESULT_SHEET_UNKNOWN_MODEL, SHEET_KIND_GROUP, i,
                   SHEET_COLUMN_MODEL, group->model,
                   "The sheet has no row for this model.");
      if (group->hosts.count > 0
          && (uint64_t)group->span * group->count > group->hosts.count
          && check.inventory == NULL)
        add_error (&check, RESULT_SHEET_TOO_MANY_HOSTS, SHEET_KIND_GROUP, i,
                   SHEET_COLUMN_HOSTS, "",
                   "The row names fewer hosts than span times count.");
      check_customers (&check, SHEET_KIND_GROUP, i, &group->customers);
      check_customer_permission (&check, SHEET_KIND_GROUP, i, &group->customers,
                                 &group->data_centres);
    }
  for (size_t i = 0; i < sheet->service_count; i++)
    {
      const struct sheet_service *service = &sheet->services[i];

      check_customers (&check, SHEET_KIND_SERVICE, i, &service->customers);
      check_customer_permission (&check, SHEET_KIND_SERVICE, i,
                                 &service->customers, &service->data_centres);
    }
  if (check.inventory != NULL)
    {
      if (index_domains (&check))
        check_places (&check);
      else
        report->no_memory = true;
    }
  free (check.domains);
  free (check.host_domains);
}
