#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include "catalog.h"
#include "host.h"
#include "operator.h"
#include "standin-endpoint.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Every request, what ran it and what its caller got, held against what the
 * system promises.  A broken promise is printed and counted.
 */

#define LEDGER_TEXT 96
#define LEDGER_RUNS 8

enum ledger_end
{
  LEDGER_OPEN,
  LEDGER_ANSWERED, /* a whole answer */
  LEDGER_BROKEN,   /* the connection ended without one */
  LEDGER_GIVEN_UP, /* by the caller */
};

/* One attempt of a caller. */
struct ledger_attempt
{
  char id[LEDGER_TEXT];
  enum catalog_kind kind;
  bool resumable;
  char method[8];
  char target[LEDGER_TEXT];
  char body[LEDGER_TEXT];
  char model[LEDGER_TEXT]; /* "" = none */
  char key[LEDGER_TEXT];
  char customer[LEDGER_TEXT];
  uint64_t first_event; /* that the caller still needs; 0 = no stream */
  uint64_t events;      /* in all */
  int64_t deadline_ms;  /* that the caller waits */
  int64_t sent_ms;
  struct host *host;

  enum ledger_end end;
  int64_t end_ms;
  unsigned status;
  bool promised; /* the caller was told that it did not run */
  bool held;     /* it has no answer long after its time */
  unsigned run_count;
  uint64_t runs[LEDGER_RUNS];
  uint64_t next_event; /* of the stream that the caller reads */
  uint64_t stream_run; /* that its last event came from */
  UT_hash_handle hh;
};

struct ledger_run
{
  uint64_t number;
  struct ledger_attempt *attempt;
  struct standin_endpoint *endpoint;
  unsigned status; /* of its answer; 0 = none yet */
  bool broke_off;  /* the endpoint ended it without a whole answer */
  char body[512];
  UT_hash_handle hh;
};

/* An endpoint told a host with an answer that it leaves. */
struct ledger_word
{
  char endpoint[LEDGER_TEXT];
  int64_t born_ms; /* of its life */
  const struct host *host;
  int64_t said_ms;
  struct ledger_word *next;
};

struct ledger
{
  const struct operator* operator;
  struct ledger_attempt *attempts; /* uthash by id */
  struct ledger_run *runs;         /* uthash by number */
  struct ledger_word *words;
  int64_t now_ms;
  int64_t started_ms;
  int64_t store_disturbed_ms; /* a fault acted on the store until then */
  uint64_t violations;
  uint64_t served;
  uint64_t refused;
  uint64_t failed;
  uint64_t lost; /* broken off on sound hosts at sound endpoints */
};

void ledger_init (struct ledger *ledger, const struct operator* operator);
void ledger_finish (struct ledger *ledger);

/* A broken promise; rule is its short name. */
void ledger_violate (struct ledger *ledger,
                     const char *rule,
                     const char *format,
                     ...) __attribute__ ((format (printf, 3, 4)));

/* A zeroed attempt of this id. */
struct ledger_attempt *ledger_add (struct ledger *ledger, const char *id);

/*
 * True if a request may run more than once.  By its own reading of the sheets,
 * so that the product is not judged by itself.
 */
bool ledger_is_repeatable (enum catalog_kind kind, bool resumable);

/* True if an answer that no endpoint made says that the request did not run. */
bool ledger_is_promise (unsigned status);

/* The stand-ins' hooks; context is the ledger. */
extern const struct standin_hooks ledger_hooks;

/* Events and ends, as the caller sees them. */
void ledger_event (struct ledger *ledger,
                   struct ledger_attempt *attempt,
                   const char *text);
void ledger_answer (struct ledger *ledger,
                    struct ledger_attempt *attempt,
                    unsigned status,
                    const char *seal,
                    const char *body);
void ledger_end (struct ledger *ledger,
                 struct ledger_attempt *attempt,
                 enum ledger_end end);

/* Attempts that should long have ended. */
void ledger_tick (struct ledger *ledger, int64_t now_ms);

/* True if no fault acts on the host or the store since a while before. */
bool ledger_was_calm (const struct ledger *ledger,
                      const struct host *host,
                      int64_t since_ms);

#endif
