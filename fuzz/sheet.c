#include "sheet-read.h"
#include "sheet-version.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Oracle for the sheet reader:
 * - a valid sheet goes through JSON unchanged, and so does its hash;
 * - a valid sheet that is cut is valid again only if nothing but line ends or
 *   the quotation marks of an empty last cell were cut, and then it has the
 *   same contents.
 */

#define REQUIRE(condition)                                                     \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        abort ();                                                              \
    }                                                                          \
  while (0)

/* The end row decides, so most cuts are in it; the others are spread. */
#define END_CUTS 24
#define SPREAD_CUTS 4

/* Longer inputs are not cut, which would take most of the fuzzer's time. */
#define CUT_SIZE_LIMIT 2048

/* Bytes that the wrapped rows get in front and behind. */
#define WRAP_SIZE 512
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
check_json (const struct sheet *sheet)
{
  struct sheet copy;
  char hash[HASH_HEX_SIZE];
  char copy_hash[HASH_HEX_SIZE];
  json_t *json = sheet_to_json (sheet);
  json_t *again;

  REQUIRE (json != NULL);
  sheet_init (&copy);
  REQUIRE (sheet_from_json (&copy, json) == RESULT_OK);
  again = sheet_to_json (&copy);
  REQUIRE (json_equal (json, again));
  REQUIRE (sheet_hash (sheet, hash) == RESULT_OK);
  REQUIRE (sheet_hash (&copy, copy_hash) == RESULT_OK);
  REQUIRE (strcmp (hash, copy_hash) == 0);
  json_decref (again);
  json_decref (json);
  sheet_finish (&copy);
}

static void
check_cut (const char *text, size_t size, size_t cut, const char *hash)
{
  struct sheet sheet;
  char cut_hash[HASH_HEX_SIZE];

  if (read_bytes (&sheet, text, cut, false, NULL) == RESULT_OK)
    {
      for (size_t i = cut; i < size; i++)
        REQUIRE (strchr ("\r\n\"", text[i]) != NULL && text[i] != '\0');
      REQUIRE (sheet_hash (&sheet, cut_hash) == RESULT_OK);
      REQUIRE (strcmp (hash, cut_hash) == 0);
    }
  sheet_finish (&sheet);
}

static void
check_text (const char *text, size_t size)
{
  struct sheet sheet;
  char hash[HASH_HEX_SIZE];

  read_bytes (&sheet, text, size, true, NULL);
  sheet_finish (&sheet);
  if (read_bytes (&sheet, text, size, false, NULL) == RESULT_OK)
    {
      check_json (&sheet);
      REQUIRE (sheet_hash (&sheet, hash) == RESULT_OK);
      for (size_t i = 1; i <= END_CUTS && i <= size && size <= CUT_SIZE_LIMIT;
           i++)
        check_cut (text, size, size - i, hash);
      for (size_t i = 0; i < SPREAD_CUTS && size <= CUT_SIZE_LIMIT; i++)
        check_cut (text, size, size * i / SPREAD_CUTS, hash);
    }
  sheet_finish (&sheet);
}

/*
 * Takes the input as rows between a good header and a good end row, since
 * mutations of a whole sheet seldom leave both intact.
 */
static void
check_rows (const uint8_t *data, size_t size)
{
  char *text = malloc (size + WRAP_SIZE);
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
  check_text (text, (size_t)(end - text));
  free (text);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_text ((const char *)data, size);
  check_rows (data, size);
  return 0;
}

/* Each run plays a long history; fuzz-runs: 8000 */
