#include "strikes.h"

#include "strikes-table.h"

#include <stdio.h>
#include <string.h>

static bool
is_expired (const struct strike_entry *entry, int64_t now_ms)
{
  return now_ms - entry->last_crash_ms >= STRIKES_EXPIRY_MS;
}

static bool
has_crash (const struct strike_entry *entry, const char *crash)
{
  for (size_t i = 0; i < entry->crash_count; i++)
    if (strcmp (entry->crashes[i], crash) == 0)
      return true;
  return false;
}

static void
drop_oldest_crash (struct strike_entry *entry)
{
  memmove (entry->crashes[0], entry->crashes[1],
           (entry->crash_count - 1) * sizeof entry->crashes[0]);
  entry->crash_count--;
  if (entry->cleared_count > 0)
    entry->cleared_count--;
}

bool
strikes_add (struct strikes *strikes,
             const char *fingerprint,
             const char *host,
             const char *boot_id,
             int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);
  char crash[STRIKES_CRASH_SIZE];

  snprintf (crash, sizeof crash, "%s/%s", host, boot_id);
  if (entry != NULL && is_expired (entry, now_ms))
    {
      entry->crash_count = 0;
      entry->cleared_count = 0;
    }
  if (entry != NULL && has_crash (entry, crash))
    return false;
  if (entry == NULL)
    entry = strikes_create (strikes, fingerprint);
  /* Memory is short: true, so that the caller still notifies the peers. */
  if (entry == NULL)
    return true;
  if (entry->crash_count == STRIKES_CRASH_LIMIT)
    drop_oldest_crash (entry);
  memcpy (entry->crashes[entry->crash_count], crash, sizeof crash);
  entry->crash_count++;
  entry->last_crash_ms = now_ms;
  entry->released = false;
  return true;
}

/*
 * The crashes stay recorded: a peer that reports them again later must not
 * restore the strikes.
 */
void
strikes_clear (struct strikes *strikes, const char *fingerprint)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry != NULL)
    entry->cleared_count = entry->crash_count;
}

void
strikes_release (struct strikes *strikes,
                 const char *fingerprint,
                 int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry == NULL)
    return;
  entry->cleared_count = entry->crash_count;
  entry->released = true;
  entry->last_crash_ms = now_ms;
}

unsigned
strikes_count (const struct strikes *strikes,
               const char *fingerprint,
               int64_t now_ms)
{
  const struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry == NULL || is_expired (entry, now_ms))
    return 0;
  return (unsigned)(entry->crash_count - entry->cleared_count);
}

enum result
strikes_check (const struct strikes *strikes,
               const char *fingerprint,
               int64_t now_ms,
               int64_t *retry_after_ms)
{
  *retry_after_ms = 0;
  if (strikes_count (strikes, fingerprint, now_ms) < STRIKES_TO_QUARANTINE)
    return RESULT_OK;
  *retry_after_ms = strikes_find (strikes, fingerprint)->last_crash_ms
                    + STRIKES_EXPIRY_MS - now_ms;
  return RESULT_QUARANTINED;
}

void
strikes_tick (struct strikes *strikes, int64_t now_ms)
{
  struct strike_entry *entry = strikes->entries;

  while (entry != NULL)
    {
      struct strike_entry *next = entry->hh.next;

      if (is_expired (entry, now_ms))
        strikes_remove (strikes, entry);
      entry = next;
    }
}
