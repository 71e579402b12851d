#include "balance-internal.h"
#include "balance.h"

/*
 * Drain and back-off signals in responses of endpoints, and their request
 * limits.  They take precedence over the platform's entries, which may lag or
 * omit a drain.
 */

/*
 * Retention of a drain signal after the entry of its endpoint was deleted.  A
 * draining endpoint continues to serve for the drain time or longer, and its
 * entry may expire and return meanwhile.
 */
#define LEAVING_RETENTION_MS 60000
/* Retention of a request limit and its counts after that. */
#define LIMIT_RETENTION_MS 10000

void
balance_note_restart (struct endpoint_load *load, int64_t now_ms)
{
  int64_t started_ms = load->endpoint->report.started_ms;

  if (load->started_ms == started_ms)
    return;
  if (load->started_ms != 0)
    request_limit_reset (&load->request_limit, now_ms);
  load->started_ms = started_ms;
  load->leaving_since_ms = 0;
  load->back_off_until_ms = 0;
  load->peer_leaving_until_ms = 0;
}

void
balance_note_leaving (struct endpoint_load *load, int64_t now_ms)
{
  if (load->leaving_since_ms == 0)
    load->leaving_since_ms = now_ms;
}

void
balance_note_back_off (struct endpoint_load *load, int64_t until_ms)
{
  if (until_ms > load->back_off_until_ms)
    load->back_off_until_ms = until_ms;
}

void
balance_note_peer_leaving (struct endpoint_load *load, int64_t until_ms)
{
  load->peer_leaving_until_ms = until_ms;
}

bool
balance_is_leaving (const struct endpoint_load *load)
{
  return load->leaving_since_ms != 0;
}

bool
balance_is_unavailable (const struct endpoint_load *load, int64_t now_ms)
{
  return load->leaving_since_ms != 0 || load->back_off_until_ms > now_ms
         || load->peer_leaving_until_ms > now_ms;
}

bool
balance_is_retained (const struct endpoint_load *load, int64_t now_ms)
{
  const struct request_limit *limit = &load->request_limit;

  return load->back_off_until_ms > now_ms
         || (limit->per_s > 0 && now_ms - limit->stated_ms < LIMIT_RETENTION_MS)
         || (load->leaving_since_ms != 0
             && now_ms - load->leaving_since_ms < LEAVING_RETENTION_MS);
}
