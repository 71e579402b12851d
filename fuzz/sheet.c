#include "sheet-read.h"
#include "sheet-version.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Oracle for the sheet reader:
 * - a valid sheet and its hash are unchanged after conversion to JSON and back;
 * - a truncated sheet is valid only if nothing but line ends or the quotation
 *   marks of an empty last cell were removed, and then it has the same
 *   contents.
 */

#define REQUIRE(condition)                                                     \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        abort ();                                                              \
    }                                                                          \
  while (0)

/* Most truncations are inside the end row, which shows that a sheet is whole;
   the others are spread over the sheet. */
#define END_TRUNCATIONS 24
#define SPREAD_TRUNCATIONS 4

/* Longer inputs are not truncated, as that would take most of the fuzzer's
   time. */
#define TRUNCATION_SIZE_LIMIT 2048

/* Enough bytes for the header and the end row that check_rows adds. */
#define HEADER_AND_END_SIZE 512
#define HEADER                                                                 \
  "kind,name,model,version,adapters,span,count,data_centres,domains,hosts,"    \
  "customers,credential_sha256,weight,rate,in_flight,non_idempotent\n"

static const struct sheet_inventory_host hosts[] = {
  { "a1", "casa-1", "r1", false }, { "a2", "casa-1", "r1", false },
  { "b1", "casa-1", "r2", false }, { "c1", "casa-2", "r1", false },
  { "s1", "casa-1", "r1", true },
};

static enum result
read_bytes (struct sheet *sheet,
            const char *text,
            size_t size,
            bool with_inventory,
            size_t *rows)
{
  const struct sheet_inventory inventory
      = { (struct sheet_inventory_host *)hosts,
          sizeof hosts / sizeof hosts[0] };
  const struct sheet_read_options options
      = { .inventory = with_inventory ? &inventory : NULL, .force = true };
  struct sheet_report report;
  enum result result;

  sheet_init (sheet);
  sheet_report_init (&report);
  result = sheet_read (sheet, text, size, &options, &report);
  REQUIRE ((result == RESULT_OK) == (report.error_total == 0));
  REQUIRE (report.error_count <= report.error_total);
  for (size_t i = 0; i < report.error_count; i++)
    {
      /* Errors are written as JSON, which needs valid UTF-8. */
      json_t *value = json_string (report.errors[i].value);

      REQUIRE (value != NULL);
      json_decref (value);
    }
  if (rows != NULL)
    *rows = report.rows;
  sheet_report_finish (&report);
  return result;
}

static void
check_json_round_trip (const struct sheet *sheet)
{
  struct sheet copy;
  char hash[HASH_HEX_SIZE];
  char copy_hash[HASH_HEX_SIZE];
  json_t *json = sheet_to_json (sheet);
  json_t *copy_json;

  REQUIRE (json != NULL);
  sheet_init (&copy);
  REQUIRE (sheet_from_json (&copy, json) == RESULT_OK);
  copy_json = sheet_to_json (&copy);
  REQUIRE (json_equal (json, copy_json));
  REQUIRE (sheet_hash (sheet, hash) == RESULT_OK);
  REQUIRE (sheet_hash (&copy, copy_hash) == RESULT_OK);
  REQUIRE (strcmp (hash, copy_hash) == 0);
  json_decref (copy_json);
  json_decref (json);
  sheet_finish (&copy);
}

static void
check_truncated (const char *text,
                 size_t size,
                 size_t truncated_size,
                 const char *hash)
{
  struct sheet sheet;
  char truncated_hash[HASH_HEX_SIZE];

  if (read_bytes (&sheet, text, truncated_size, false, NULL) == RESULT_OK)
    {
      for (size_t i = truncated_size; i < size; i++)
        REQUIRE (strchr ("\r\n\"", text[i]) != NULL && text[i] != '\0');
      REQUIRE (sheet_hash (&sheet, truncated_hash) == RESULT_OK);
      REQUIRE (strcmp (hash, truncated_hash) == 0);
    }
  sheet_finish (&sheet);
}

static void
check_sheet (const char *text, size_t size)
{
  struct sheet sheet;
  char hash[HASH_HEX_SIZE];

  read_bytes (&sheet, text, size, true, NULL);
  sheet_finish (&sheet);
  if (read_bytes (&sheet, text, size, false, NULL) == RESULT_OK)
    {
      check_json_round_trip (&sheet);
      REQUIRE (sheet_hash (&sheet, hash) == RESULT_OK);
      for (size_t i = 1;
           i <= END_TRUNCATIONS && i <= size && size <= TRUNCATION_SIZE_LIMIT;
           i++)
        check_truncated (text, size, size - i, hash);
      for (size_t i = 0;
           i < SPREAD_TRUNCATIONS && size <= TRUNCATION_SIZE_LIMIT; i++)
        check_truncated (text, size, size * i / SPREAD_TRUNCATIONS, hash);
    }
  sheet_finish (&sheet);
}

/*
 * Checks the input as rows between a valid header and a valid end row, since
 * mutations of a whole sheet seldom leave both intact.
 */
static void
check_rows (const uint8_t *data, size_t size)
{
  char *text = malloc (size + HEADER_AND_END_SIZE);
  char *end;
  struct sheet sheet;
  size_t rows;

  REQUIRE (text != NULL);
  memcpy (text, HEADER, strlen (HEADER));
  end = text + strlen (HEADER);
  memcpy (end, data, size);
  end += size;
  *end++ = '\n';
  read_bytes (&sheet, text, (size_t)(end - text), false, &rows);
  sheet_finish (&sheet);
  end += sprintf (end, "end,,,,,,%zu,,,,,,,,,\n", rows);
  check_sheet (text, (size_t)(end - text));
  free (text);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_sheet ((const char *)data, size);
  check_rows (data, size);
  return 0;
}

/* One run reads the sheet and many truncations of it; fuzz-runs: 8000 */
