#include "strikes.h"

#include "strikes-table.h"

#include <stdio.h>
#include <string.h>

static bool
is_past (const struct strike_entry *entry, int64_t now_ms)
{
  return now_ms - entry->last_ms >= STRIKES_HOLD_MS;
}

static bool
knows_death (const struct strike_entry *entry, const char *death)
{
  for (size_t i = 0; i < entry->death_count; i++)
    if (strcmp (entry->deaths[i], death) == 0)
      return true;
  return false;
}

static void
drop_first_death (struct strike_entry *entry)
{
  memmove (entry->deaths[0], entry->deaths[1],
           (entry->death_count - 1) * sizeof entry->deaths[0]);
  entry->death_count--;
  if (entry->forgiven > 0)
    entry->forgiven--;
}

bool
strikes_add (struct strikes *strikes,
             const char *fingerprint,
             const char *host,
             const char *boot_id,
             int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);
  char death[STRIKES_DEATH_SIZE];

  snprintf (death, sizeof death, "%s/%s", host, boot_id);
  if (entry != NULL && is_past (entry, now_ms))
    {
      entry->death_count = 0;
      entry->forgiven = 0;
    }
  if (entry != NULL && knows_death (entry, death))
    return false;
  if (entry == NULL)
    entry = strikes_create (strikes, fingerprint);
  /* Out of memory: true, so that the caller still tells the peers. */
  if (entry == NULL)
    return true;
  if (entry->death_count == STRIKES_DEATHS)
    drop_first_death (entry);
  memcpy (entry->deaths[entry->death_count], death, sizeof death);
  entry->death_count++;
  entry->last_ms = now_ms;
  entry->released = false;
  return true;
}

/*
 * The deaths stay known: a peer that tells of them again later must not bring
 * the strikes back.
 */
void
strikes_clear (struct strikes *strikes, const char *fingerprint)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry != NULL)
    entry->forgiven = entry->death_count;
}

void
strikes_release (struct strikes *strikes,
                 const char *fingerprint,
                 int64_t now_ms)
{
  struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry == NULL)
    return;
  entry->forgiven = entry->death_count;
  entry->released = true;
  entry->last_ms = now_ms;
}

unsigned
strikes_count (const struct strikes *strikes,
               const char *fingerprint,
               int64_t now_ms)
{
  const struct strike_entry *entry = strikes_find (strikes, fingerprint);

  if (entry == NULL || is_past (entry, now_ms))
    return 0;
  return (unsigned)(entry->death_count - entry->forgiven);
}

enum result
strikes_check (const struct strikes *strikes,
               const char *fingerprint,
               int64_t now_ms,
               int64_t *retry_after_ms)
{
  *retry_after_ms = 0;
  if (strikes_count (strikes, fingerprint, now_ms) < STRIKES_QUARANTINE)
    return RESULT_OK;
  *retry_after_ms
      = strikes_find (strikes, fingerprint)->last_ms + STRIKES_HOLD_MS - now_ms;
  return RESULT_QUARANTINED;
}

void
strikes_tick (struct strikes *strikes, int64_t now_ms)
{
  struct strike_entry *entry = strikes->entries;

  while (entry != NULL)
    {
      struct strike_entry *next = entry->hh.next;

      if (is_past (entry, now_ms))
        strikes_remove (strikes, entry);
      entry = next;
    }
}
