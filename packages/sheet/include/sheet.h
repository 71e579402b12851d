#ifndef SHEET_SHEET_H
#define SHEET_SHEET_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The accepted sheet: what the operators want.  All text is NUL-terminated
 * UTF-8.  Lists are arrays owned by the sheet; pointers into it are valid
 * until sheet_finish.
 */

#define SHEET_NAME_SIZE 64 /* longest name, with its NUL */
#define SHEET_TOKEN_SIZE 40
#define SHEET_HISTORY_LIMIT 50

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
  char credential_sha256[65];     /* lower-case hexadecimal */
  unsigned weight;                /* share when capacity is short, 1 to 1000 */
  unsigned rate;                  /* requests per second, 0 = no limit */
  unsigned in_flight;             /* concurrent requests, 0 = no limit */
  struct sheet_list data_centres; /* where its requests may be handled */
};

/* A wish for count groups of one model. */
struct sheet_group
{
  char name[SHEET_NAME_SIZE];
  char model[SHEET_NAME_SIZE];
  char version[SHEET_NAME_SIZE];
  struct sheet_list adapters;
  unsigned span;  /* hosts per group */
  unsigned count; /* groups wanted, over all permitted data centres */
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
   * Calls that may not be repeated, each "METHOD /path-prefix", or "*" for
   * every call that is not GET or HEAD.
   */
  struct sheet_list non_idempotent;
};

struct sheet_change
{
  uint64_t number;
  char operator_name[SHEET_NAME_SIZE];
  char token[SHEET_TOKEN_SIZE]; /* unique per apply */
  char hash[33];
  int64_t applied_wall_ms;
};

struct sheet
{
  uint64_t number; /* 0 = none accepted yet; rises by one per change */
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

/* NULL if there is none. */
const struct sheet_customer *sheet_find_customer (const struct sheet *sheet,
                                                  const char *name);
const struct sheet_customer *sheet_find_credential (const struct sheet *sheet,
                                                    const char *sha256_hex);
const struct sheet_service *sheet_find_service (const struct sheet *sheet,
                                                const char *name);
const struct sheet_model *sheet_find_model (const struct sheet *sheet,
                                            const char *name);

/* True if the call may run at most once; path is that after the service. */
bool sheet_call_is_non_idempotent (const struct sheet_service *service,
                                   const char *method,
                                   const char *path);

/* JSON codec for the platform object.  A new reference, NULL on no memory. */
json_t *sheet_to_json (const struct sheet *sheet);

/* Fills a sheet that was just initialised; finish it in any case. */
enum result sheet_from_json (struct sheet *sheet, const json_t *json);

#endif
