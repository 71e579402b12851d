#include "strikes.h"

#include "strikes-table.h"

#include <stdio.h>
#include <string.h>

/* A correction of a strike's time is told to other hosts from this on. */
#define CORRECTION_MS 250

bool
strikes_is_expired (const struct strike_entry *entry, int64_t now_ms)
{
  return now_ms - entry->changed_ms >= STRIKES_EXPIRY_MS;
}

unsigned
strikes_first_live (const struct strike_entry *entry)
{
  unsigned first = 0;

  while (first < entry->strike_count
         && entry->strikes[first].at_ms <= entry->answered_ms)
    first++;
  return first;
}

enum strikes_kind
strikes_get_kind (const char *trait)
{
  return strlen (trait) > STRIKES_PART_DIGITS ? STRIKES_REQUEST : STRIKES_PART;
}

uint64_t
strikes_crash_id (const char *host, const char *boot_id)
{
  return hash_string (boot_id, hash_string (host, 0));
}

static unsigned
get_strike_limit (enum strikes_kind kind)
{
  return kind == STRIKES_PART ? STRIKES_PART_CRASH_LIMIT : STRIKES_CRASH_LIMIT;
}

static struct strike *
find_strike (struct strike_entry *entry, uint64_t crash)
{
  for (unsigned i = 0; i < entry->strike_count; i++)
    if (entry->strikes[i].crash == crash)
      return &entry->strikes[i];
  return NULL;
}

static void
remove_strike (struct strike_entry *entry, unsigned index)
{
  entry->strike_count--;
  memmove (&entry->strikes[index], &entry->strikes[index + 1],
           (entry->strike_count - index) * sizeof entry->strikes[0]);
}

/* Keeps the newest strikes; false if this one is older than all of them. */
static bool
insert_strike (struct strike_entry *entry, uint64_t crash, int64_t at_ms)
{
  unsigned index = entry->strike_count;

  while (index > 0 && entry->strikes[index - 1].at_ms > at_ms)
    index--;
  if (entry->strike_count == get_strike_limit (entry->kind))
    {
      if (index == 0)
        return false;
      remove_strike (entry, 0);
      index--;
    }
  memmove (&entry->strikes[index + 1], &entry->strikes[index],
           (entry->strike_count - index) * sizeof entry->strikes[0]);
  entry->strikes[index] = (struct strike){ crash, at_ms };
  entry->strike_count++;
  if (at_ms > entry->changed_ms)
    entry->changed_ms = at_ms;
  return true;
}

/* A host may learn of a crash late, so the earliest time is the best. */
static void
correct_strike (struct strikes *strikes,
                struct strike_entry *entry,
                struct strike *strike,
                const struct strike_report *report)
{
  if (report->at_ms >= strike->at_ms)
    return;
  strikes->changes++;
  if (strike->at_ms - report->at_ms >= CORRECTION_MS)
    entry->unsent = report->copies;
  remove_strike (entry, (unsigned)(strike - entry->strikes));
  insert_strike (entry, report->crash, report->at_ms);
}

static struct strikes_answered *
get_history_slot (struct strikes *strikes,
                  enum strikes_kind kind,
                  uint64_t trait)
{
  return &strikes->history[kind][trait % STRIKES_HISTORY_SIZE];
}

static struct strike_entry *
create_entry (struct strikes *strikes,
              const char *trait,
              enum strikes_kind kind)
{
  struct strike_entry *entry = strikes_create (strikes, trait, kind);
  uint64_t hash = hash_string (trait, 0);
  const struct strikes_answered *answered
      = get_history_slot (strikes, kind, hash);

  if (entry != NULL && answered->trait == hash)
    {
      entry->answered_ms = answered->at_ms;
      entry->unsent = strikes->copies;
    }
  return entry;
}

static void
set_unsent (struct strike_entry *entry, unsigned copies)
{
  if (entry->unsent < copies)
    entry->unsent = copies;
}

bool
strikes_add_report (struct strikes *strikes,
                    const struct strike_report *report,
                    int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, report->trait);
  struct strike *known;

  if (now_ms - report->at_ms >= STRIKES_EXPIRY_MS)
    return false;
  if (entry != NULL && strikes_is_expired (entry, now_ms))
    entry->strike_count = 0;
  known = entry != NULL ? find_strike (entry, report->crash) : NULL;
  if (known != NULL)
    {
      correct_strike (strikes, entry, known, report);
      return false;
    }
  if (entry == NULL)
    entry = create_entry (strikes, report->trait, report->kind);
  /* Memory is short: true, so that the caller still notifies the peers. */
  if (entry == NULL)
    return true;
  if (!insert_strike (entry, report->crash, report->at_ms))
    return false;
  strikes->changes++;
  set_unsent (entry, report->copies);
  return true;
}

bool
strikes_add (struct strikes *strikes,
             const char *fingerprint,
             const char *host,
             const char *boot_id,
             int64_t now_ms)
{
  const struct strike_report report = {
    .kind = STRIKES_REQUEST,
    .trait = fingerprint,
    .crash = strikes_crash_id (host, boot_id),
    .at_ms = now_ms,
    .copies = strikes->copies,
  };

  return strikes_add_report (strikes, &report, now_ms);
}

void
strikes_add_crash (struct strikes *strikes,
                   const struct strikes_traits *traits,
                   uint64_t crash,
                   int64_t at_ms,
                   int64_t now_ms)
{
  struct strike_report report
      = { STRIKES_REQUEST, traits->fingerprint, crash, at_ms, strikes->copies };

  if (traits->fingerprint[0] != '\0')
    strikes_add_report (strikes, &report, now_ms);
  report.kind = STRIKES_PART;
  for (unsigned i = 0; i < traits->part_count; i++)
    {
      report.trait = traits->parts[i];
      strikes_add_report (strikes, &report, now_ms);
    }
}

static bool
clear_entry (struct strikes *strikes,
             struct strike_entry *entry,
             int64_t at_ms,
             unsigned copies)
{
  unsigned live = entry->strike_count - strikes_first_live (entry);
  bool is_first = entry->answered_ms == STRIKES_NEVER;

  if (at_ms <= entry->answered_ms)
    return false;
  entry->answered_ms = at_ms;
  if (!is_first && entry->strike_count - strikes_first_live (entry) == live)
    return false;
  strikes->changes++;
  set_unsent (entry, copies);
  return true;
}

/*
 * The crashes stay recorded: a peer that reports them again later must not
 * restore the strikes.
 */
bool
strikes_clear (struct strikes *strikes,
               const char *trait,
               int64_t at_ms,
               unsigned copies)
{
  struct strike_entry *entry = strikes_find (strikes, trait);

  return entry != NULL && clear_entry (strikes, entry, at_ms, copies);
}

bool
strikes_note_answered (struct strikes *strikes,
                       const char *trait,
                       enum strikes_kind kind,
                       int64_t now_ms)
{
  uint64_t hash = hash_string (trait, 0);

  *get_history_slot (strikes, kind, hash)
      = (struct strikes_answered){ hash, now_ms };
  return strikes_clear (strikes, trait, now_ms, strikes->copies);
}

void
strikes_note_answer (struct strikes *strikes,
                     const struct strikes_traits *traits,
                     int64_t now_ms)
{
  for (unsigned i = 0; i < traits->part_count; i++)
    strikes_note_answered (strikes, traits->parts[i], STRIKES_PART, now_ms);
  if (traits->fingerprint[0] != '\0')
    strikes_note_answered (strikes, traits->fingerprint, STRIKES_REQUEST,
                           now_ms);
}

void
strikes_release (struct strikes *strikes, const char *trait, int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, trait);

  if (entry == NULL)
    return;
  entry->changed_ms = now_ms;
  strikes_clear (strikes, trait, now_ms, strikes->copies);
}

unsigned
strikes_count (const struct strikes *strikes, const char *trait, int64_t now_ms)
{
  const struct strike_entry *entry = strikes_find (strikes, trait);

  if (entry == NULL || strikes_is_expired (entry, now_ms))
    return 0;
  return strikes_count_unexplained (strikes, entry, NULL, 0, NULL);
}

static int64_t
get_retry_after_ms (const struct strike_entry *entry, int64_t now_ms)
{
  return entry->changed_ms + STRIKES_EXPIRY_MS - now_ms;
}

enum result
strikes_check (struct strikes *strikes,
               const char *fingerprint,
               int64_t now_ms,
               int64_t *retry_after_ms)
{
  const struct strike_entry *entry = strikes_find (strikes, fingerprint);

  *retry_after_ms = 0;
  strikes_refresh (strikes, now_ms);
  if (entry == NULL || !strikes_is_quarantined (entry, now_ms))
    return RESULT_OK;
  *retry_after_ms = get_retry_after_ms (entry, now_ms);
  return RESULT_QUARANTINED;
}

enum result
strikes_check_traits (struct strikes *strikes,
                      const struct strikes_traits *traits,
                      int64_t now_ms,
                      int64_t *retry_after_ms)
{
  const struct strike_entry *part;

  *retry_after_ms = 0;
  if (strikes->entries == NULL)
    return RESULT_OK;
  if (strikes_check (strikes, traits->fingerprint, now_ms, retry_after_ms)
      != RESULT_OK)
    return RESULT_QUARANTINED;
  part = strikes_find_refused_part (strikes, traits, now_ms);
  if (part == NULL)
    return RESULT_OK;
  *retry_after_ms = get_retry_after_ms (part, now_ms);
  return RESULT_QUARANTINED;
}

bool
strikes_is_quarantined (const struct strike_entry *entry, int64_t now_ms)
{
  return entry->is_quarantined && !strikes_is_expired (entry, now_ms);
}

void
strikes_tick (struct strikes *strikes, int64_t now_ms)
{
  struct strike_entry *entry = strikes->entries;

  while (entry != NULL)
    {
      struct strike_entry *next = entry->hh.next;

      if (strikes_is_expired (entry, now_ms))
        {
          strikes_remove (strikes, entry);
          strikes->changes++;
        }
      entry = next;
    }
}
