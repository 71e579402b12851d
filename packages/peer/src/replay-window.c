#include "peercodec.h"

#include <stdlib.h>
#include <string.h>

void
peer_windows_init (struct peer_windows *windows)
{
  windows->table = NULL;
}

void
peer_windows_finish (struct peer_windows *windows)
{
  struct peer_window *window = windows->table;

  HASH_CLEAR (hh, windows->table);
  while (window != NULL)
    {
      struct peer_window *next = window->hh.next;

      free (window);
      window = next;
    }
}

static struct peer_window *
find_or_add_window (struct peer_windows *windows, const char *sender)
{
  struct peer_window *window;

  HASH_FIND_STR (windows->table, sender, window);
  if (window != NULL
      || HASH_COUNT (windows->table) >= PEER_WINDOW_SENDERS_LIMIT)
    return window;
  window = calloc (1, sizeof *window);
  if (window == NULL)
    return NULL;
  memcpy (window->sender, sender, strlen (sender) + 1);
  HASH_ADD_STR (windows->table, sender, window);
  return window;
}

enum result
peer_windows_accept (struct peer_windows *windows,
                     const struct peer_header *header,
                     int64_t wall_ms)
{
  struct peer_window *window;
  uint64_t behind;

  if (header->sent_wall_ms < wall_ms - PEER_CLOCK_TOLERANCE_MS
      || header->sent_wall_ms > wall_ms + PEER_CLOCK_TOLERANCE_MS)
    return RESULT_PEER_REPLAY;
  window = find_or_add_window (windows, header->sender);
  if (window == NULL || header->boot < window->boot)
    return RESULT_PEER_REPLAY;
  if (header->boot > window->boot)
    {
      window->boot = header->boot;
      window->highest = header->sequence;
      window->seen = 1;
      return RESULT_OK;
    }
  if (header->sequence > window->highest)
    {
      uint64_t ahead = header->sequence - window->highest;

      window->seen = ahead < PEER_WINDOW_BITS ? window->seen << ahead : 0;
      window->seen |= 1;
      window->highest = header->sequence;
      return RESULT_OK;
    }
  behind = window->highest - header->sequence;
  if (behind >= PEER_WINDOW_BITS || (window->seen >> behind & 1) != 0)
    return RESULT_PEER_REPLAY;
  window->seen |= UINT64_C (1) << behind;
  return RESULT_OK;
}
