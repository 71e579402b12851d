#ifndef STRIKES_STRIKES_H
#define STRIKES_STRIKES_H

#include "hash.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Finds the requests, and the parts of prompts, that crash the endpoints which
 * run them, and quarantines them.
 *
 * A request has traits: its fingerprint, and the ids of the parts of its prompt
 * that other requests may share.  When an endpoint crashes, each trait of the
 * requests that it had begun to run gets a strike.  A request that was answered
 * shows that none of its traits crashes endpoints, so its strikes until then
 * are void.
 *
 * A fingerprint is quarantined after STRIKES_TO_QUARANTINE strikes.  A part is
 * quarantined after STRIKES_TO_QUARANTINE_PART strikes, and only in requests
 * that also have its companions, the other traits that were at all of the same
 * crashes: sound requests share parts with harmful ones.  A request with some
 * of these traits is sent, and its answer or crash tells them apart.  Crashes
 * that a quarantined part explains do not count against other traits.
 *
 * Entry hosts report strikes and answers to each other.  Merging is idempotent
 * and commutative: a strike names the crash, and keeps its earliest time.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

#define STRIKES_TO_QUARANTINE 2
#define STRIKES_TO_QUARANTINE_PART 3
/* Of a part that was in an answer before: it is probably sound. */
#define STRIKES_TO_QUARANTINE_ANSWERED_PART 5
#define STRIKES_EXPIRY_MS 600000 /* 10 minutes after the last strike */
#define STRIKES_CRASH_LIMIT 4    /* distinct crashes kept per fingerprint */
#define STRIKES_PART_CRASH_LIMIT 8
/*
 * Crashes closer together than this count once for a part: a failure of many
 * endpoints at the same time is not caused by one request at each of them.  A
 * request that is sent again after a crash needs longer to cause the next one.
 */
#define STRIKES_SPACING_MS 25
/* Digits of the id of a part, at most; a fingerprint has more. */
#define STRIKES_PART_DIGITS 16
#define STRIKES_PART_LIMIT 32 /* parts of one prompt that are considered */
#define STRIKES_COMPANION_LIMIT 16
#define STRIKES_HISTORY_SIZE 1024
#define STRIKES_NEVER (INT64_MIN / 2)

enum strikes_kind
{
  STRIKES_REQUEST, /* the trait is a fingerprint */
  STRIKES_PART,
  STRIKES_KINDS,
};

struct strike
{
  uint64_t crash; /* see strikes_crash_id */
  int64_t at_ms;
};

struct strike_entry
{
  char trait[HASH_HEX_SIZE]; /* hexadecimal */
  enum strikes_kind kind;
  struct strike strikes[STRIKES_PART_CRASH_LIMIT]; /* the oldest first */
  unsigned strike_count;
  /* Strikes up to this time are void: it was answered, or released. */
  int64_t answered_ms;
  int64_t changed_ms;  /* when the last crash or release was recorded */
  bool is_quarantined; /* as of the last strikes_refresh */
  /* Of a part: only requests that have these traits too are refused. */
  uint64_t companions[STRIKES_COMPANION_LIMIT]; /* hash_string of the traits */
  unsigned companion_count;
  /* For the owner: copies still to be sent to other hosts, and the log. */
  unsigned unsent;
  bool was_quarantined; /* as last logged */
  UT_hash_handle hh;
};

/*
 * When a request with the trait was last answered, for traits without an entry:
 * the crash before may become known later.
 */
struct strikes_answered
{
  uint64_t trait; /* hash_string of the trait */
  int64_t at_ms;
};

struct strikes
{
  struct strike_entry *entries; /* uthash by trait */
  size_t count;
  size_t limit; /* entries; a full table replaces its least important */
  /* Crashes closer together count once for a fingerprint; 0 = each counts. */
  int64_t request_spacing_ms;
  unsigned copies;  /* value of unsent after a change seen here */
  uint64_t changes; /* of what counts; verdicts hold while it is the same */
  uint64_t refreshed_changes; /* as of the last strikes_refresh */
  /* Direct-mapped caches. */
  struct strikes_answered history[STRIKES_KINDS][STRIKES_HISTORY_SIZE];
};

/* The traits of one request. */
struct strikes_traits
{
  char fingerprint[HASH_HEX_SIZE]; /* "" = none */
  char parts[STRIKES_PART_LIMIT][HASH_HEX_SIZE];
  unsigned part_count;
};

/* One strike against a trait, as hosts tell it to each other. */
struct strike_report
{
  enum strikes_kind kind;
  const char *trait;
  uint64_t crash;
  int64_t at_ms;
  unsigned copies; /* value of unsent if it changes the entry */
};

/* The kind of a trait, by its length. */
enum strikes_kind strikes_get_kind (const char *trait);

void strikes_init (struct strikes *strikes, size_t limit);
void strikes_finish (struct strikes *strikes);

/* Identifies the crash of one incarnation of an endpoint. */
uint64_t strikes_crash_id (const char *host, const char *boot_id);

/*
 * Records one crash of a fingerprint; false if it was known already.  True when
 * memory is short, although nothing was recorded: the peers must still be
 * notified.
 */
bool strikes_add (struct strikes *strikes,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id,
                  int64_t now_ms);

/*
 * Records a strike that another host reports.  False if it was known already,
 * except with a later time, which is then corrected.
 */
bool strikes_add_report (struct strikes *strikes,
                         const struct strike_report *report,
                         int64_t now_ms);

/* Records a crash of an endpoint that had begun to run the request. */
void strikes_add_crash (struct strikes *strikes,
                        const struct strikes_traits *traits,
                        uint64_t crash,
                        int64_t at_ms,
                        int64_t now_ms);

/*
 * Another host reports that a request with the trait was answered at this time.
 * True if the entry of the trait has changed; copies is its unsent then.
 */
bool strikes_clear (struct strikes *strikes,
                    const char *trait,
                    int64_t at_ms,
                    unsigned copies);

/* A request with the trait was answered.  True if its entry has changed. */
bool strikes_note_answered (struct strikes *strikes,
                            const char *trait,
                            enum strikes_kind kind,
                            int64_t now_ms);

/* The same for all traits of a request. */
void strikes_note_answer (struct strikes *strikes,
                          const struct strikes_traits *traits,
                          int64_t now_ms);

/* Clears the strikes for an operator; later crashes count again from zero. */
void
strikes_release (struct strikes *strikes, const char *trait, int64_t now_ms);

/* Strikes that count now. */
unsigned strikes_count (const struct strikes *strikes,
                        const char *trait,
                        int64_t now_ms);

/* RESULT_QUARANTINED, with *retry_after_ms set, or RESULT_OK. */
enum result strikes_check (struct strikes *strikes,
                           const char *fingerprint,
                           int64_t now_ms,
                           int64_t *retry_after_ms);

/* The same for all traits of a request. */
enum result strikes_check_traits (struct strikes *strikes,
                                  const struct strikes_traits *traits,
                                  int64_t now_ms,
                                  int64_t *retry_after_ms);

/* Decides anew what is quarantined, if any strike has changed. */
void strikes_refresh (struct strikes *strikes, int64_t now_ms);

/*
 * True if requests with this trait are refused, for a part those that have its
 * companions too, as of the last strikes_refresh.
 */
bool strikes_is_quarantined (const struct strike_entry *entry, int64_t now_ms);

/* Removes entries whose last crash is older than STRIKES_EXPIRY_MS. */
void strikes_tick (struct strikes *strikes, int64_t now_ms);

#endif
