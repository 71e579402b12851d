#include "balance-internal.h"
#include "balance.h"

/*
 * What endpoints say of themselves in their answers.  It goes before their
 * entries on the platform, which may be late or, of an endpoint that leaves
 * without a word there, never say so.
 */

/*
 * An endpoint that said that it leaves is remembered this long after its entry
 * is gone: it serves on for the drain time, at times for many seconds more,
 * and an entry may lapse and come back meanwhile.
 */
#define LEAVING_KEPT_MS 60000

void
balance_note_life (struct lane *lane)
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
balance_is_withheld (const struct lane *lane, int64_t now_ms)
{
  return lane->leaving_ms != 0 || lane->back_off_ms > now_ms
         || lane->peer_leaving_ms > now_ms;
}

bool
balance_is_remembered (const struct lane *lane, int64_t now_ms)
{
  return lane->back_off_ms > now_ms
         || (lane->leaving_ms != 0
             && now_ms - lane->leaving_ms < LEAVING_KEPT_MS);
}
