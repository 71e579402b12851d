#ifndef SHEET_SHEET_H
#define SHEET_SHEET_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The sheet: the models, customers, groups and services that the operators
 * want in the fleet.  All text is NUL-terminated UTF-8.  Rows and lists are
 * owned by the sheet; pointers to them are valid until sheet_finish.
 */

#define SHEET_NAME_SIZE 64     /* bytes of the longest name, with its NUL */
#define SHEET_TOKEN_SIZE 40    /* bytes, with the NUL */
#define SHEET_HISTORY_LIMIT 50 /* entries */

struct sheet_list
{
  char (*names)[SHEET_NAME_SIZE];
  size_t count;
};

struct sheet_model
{
  char name[SHEET_NAME_SIZE];
  char version[SHEET_NAME_SIZE];
  struct sheet_list adapters;
};

struct sheet_customer
{
  char name[SHEET_NAME_SIZE];
  char credential_sha256[65]; /* lower-case hexadecimal */
  unsigned weight;            /* relative share of scarce capacity, 1 to 1000 */
  unsigned rate;              /* requests per second, 0 = no limit */
  unsigned in_flight;         /* concurrent requests, 0 = no limit */
  struct sheet_list data_centres; /* that may handle its requests */
};

/* Specifies that count groups of one model shall run. */
struct sheet_group
{
  char name[SHEET_NAME_SIZE];
  char model[SHEET_NAME_SIZE];
  char version[SHEET_NAME_SIZE];
  struct sheet_list adapters;
  unsigned span;  /* hosts per group */
  unsigned count; /* wanted groups in all permitted data centres together */
  struct sheet_list data_centres;
  struct sheet_list domains;   /* empty = any fabric domain */
  struct sheet_list hosts;     /* empty = any host */
  struct sheet_list customers; /* empty = every customer */
};

struct sheet_service
{
  char name[SHEET_NAME_SIZE];
  struct sheet_list data_centres;
  struct sheet_list customers; /* empty = every customer */
  /*
   * Calls that must not be repeated: each entry is "METHOD /path-prefix", or
   * "*" for every method other than GET and HEAD.
   */
  struct sheet_list non_idempotent;
};

/* History entry: an accepted sheet. */
struct sheet_change
{
  uint64_t number; /* number of the accepted sheet */
  char operator_name[SHEET_NAME_SIZE];
  char token[SHEET_TOKEN_SIZE]; /* identifies the run of "sheet apply" */
  char hash[33];                /* computed by sheet_hash */
  int64_t applied_wall_ms;
};

struct sheet
{
  uint64_t number; /* 0 = none accepted yet; +1 per accepted change */
  struct sheet_model *models;
  size_t model_count;
  struct sheet_customer *customers;
  size_t customer_count;
  struct sheet_group *groups;
  size_t group_count;
  struct sheet_service *services;
  size_t service_count;
  struct sheet_change *history; /* newest first */
  size_t history_count;
};

void sheet_init (struct sheet *sheet);
void sheet_finish (struct sheet *sheet);

bool sheet_list_has (const struct sheet_list *list, const char *name);

/* Return NULL if the sheet has no such row. */
const struct sheet_customer *sheet_find_customer (const struct sheet *sheet,
                                                  const char *name);
const struct sheet_customer *sheet_find_credential (const struct sheet *sheet,
                                                    const char *sha256_hex);
const struct sheet_service *sheet_find_service (const struct sheet *sheet,
                                                const char *name);
const struct sheet_model *sheet_find_model (const struct sheet *sheet,
                                            const char *name);

/*
 * True if the call may run at most once.  path is relative to the service and
 * may have a query.
 */
bool sheet_call_is_non_idempotent (const struct sheet_service *service,
                                   const char *method,
                                   const char *path);

/*
 * Encodes the sheet as its platform object.  Returns a new reference, or NULL
 * if memory is short.
 */
json_t *sheet_to_json (const struct sheet *sheet);

/*
 * Decodes a platform object into a newly initialised sheet, which must be
 * finished also after an error.
 */
enum result sheet_from_json (struct sheet *sheet, const json_t *json);

#endif
