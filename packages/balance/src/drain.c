#include "balance-internal.h"
#include "balance.h"

/*
 * Drain and back-off signals in responses of endpoints.  They take precedence
 * over the platform's entries, which may lag or omit a drain.
 */

/*
 * Retention of a drain signal after the entry of its endpoint was deleted.  A
 * draining endpoint serves on for the drain time or longer, and its entry may
 * expire and return meanwhile.
 */
#define LEAVING_KEPT_MS 60000

void
balance_note_restart (struct lane *lane)
{
  int64_t started_ms = lane->endpoint->report.started_ms;

  if (lane->started_ms == started_ms)
    return;
  lane->started_ms = started_ms;
  lane->leaving_ms = 0;
  lane->back_off_ms = 0;
  lane->peer_leaving_ms = 0;
}

void
balance_note_leaving (struct lane *lane, int64_t now_ms)
{
  if (lane->leaving_ms == 0)
    lane->leaving_ms = now_ms;
}

void
balance_note_back_off (struct lane *lane, int64_t until_ms)
{
  if (until_ms > lane->back_off_ms)
    lane->back_off_ms = until_ms;
}

void
balance_note_peer_leaving (struct lane *lane, int64_t until_ms)
{
  lane->peer_leaving_ms = until_ms;
}

bool
balance_is_leaving (const struct lane *lane)
{
  return lane->leaving_ms != 0;
}

bool
balance_is_unavailable (const struct lane *lane, int64_t now_ms)
{
  return lane->leaving_ms != 0 || lane->back_off_ms > now_ms
         || lane->peer_leaving_ms > now_ms;
}

bool
balance_is_retained (const struct lane *lane, int64_t now_ms)
{
  return lane->back_off_ms > now_ms
         || (lane->leaving_ms != 0
             && now_ms - lane->leaving_ms < LEAVING_KEPT_MS);
}
