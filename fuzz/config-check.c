#include "config-check.h"
#include "check.h"
#include "users-platform.h"

#include <stdint.h>
#include <string.h>

/*
 * "config check" on any text.  It must not crash, and must agree with hosts:
 * it yields a catalog if and only if they would accept the text, and reports a
 * finding if they would refuse it.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct config_report report;
  enum result result;
  json_t *json;

  config_report_init (&report);
  result = config_check_text ((const char *)data, size, NULL, &report);
  json = json_loadb ((const char *)data, size, 0, NULL);
  CHECK ((result == RESULT_OK) == (json != NULL));
  CHECK (result == RESULT_OK || report.problem[0] != '\0');
  if (json != NULL)
    {
      struct catalog *catalog = NULL;
      enum result accepted = users_platform.decode_catalog (json, &catalog);

      CHECK ((accepted == RESULT_OK) == (report.catalog != NULL));
      CHECK (accepted == RESULT_OK || report.total > 0);
      if (catalog != NULL && report.total == 0)
        {
          /* A clean file is read whole. */
          CHECK (catalog->route_count
                 == json_array_size (json_object_get (json, "routes")));
          CHECK (catalog->service_count
                 == json_array_size (json_object_get (json, "services")));
        }
      for (size_t i = 0; i < report.count; i++)
        CHECK (report.findings[i].line > 0);
      catalog_unref (catalog);
    }
  json_decref (json);
  config_report_finish (&report);
  return 0;
}
