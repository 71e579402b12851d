#include "memory-account.h"

#include <string.h>

void
memory_account_init (struct memory_account *account,
                     size_t limit_bytes,
                     double tight_share,
                     double full_share)
{
  memset (account, 0, sizeof *account);
  account->limit_bytes = limit_bytes;
  account->tight_bytes = (size_t)((double)limit_bytes * tight_share);
  account->full_bytes = (size_t)((double)limit_bytes * full_share);
}

enum memory_level
memory_account_level (const struct memory_account *account)
{
  if (account->total >= account->full_bytes)
    return MEMORY_FULL;
  return account->total >= account->tight_bytes ? MEMORY_TIGHT : MEMORY_CALM;
}

void
memory_account_set (struct memory_account *account,
                    enum memory_kind kind,
                    struct memory_charge *charge,
                    size_t bytes)
{
  enum memory_level before = memory_account_level (account);
  enum memory_level after;

  account->held[kind] += bytes - charge->bytes;
  account->total += bytes - charge->bytes;
  charge->bytes = bytes;
  if (account->total > account->peak)
    account->peak = account->total;
  after = memory_account_level (account);
  if (before < MEMORY_TIGHT && after >= MEMORY_TIGHT)
    account->tight_count++;
  if (before < MEMORY_FULL && after >= MEMORY_FULL)
    account->full_count++;
}

const char *
memory_kind_name (enum memory_kind kind)
{
  static const char *const names[MEMORY_KINDS] = {
    [MEMORY_CONNECTIONS] = "connections",   [MEMORY_BODIES] = "bodies",
    [MEMORY_TO_ENDPOINTS] = "to-endpoints", [MEMORY_RESPONSES] = "responses",
    [MEMORY_TO_CLIENTS] = "to-clients",
  };

  return names[kind];
}

/* True if a body that is read gave no byte for too long. */
static bool
is_stalled (const struct memory_holder *holder, int64_t now_ms)
{
  return holder->stage == MEMORY_UNFINISHED && holder->unread_since_ms == 0
         && now_ms - holder->progress_ms >= MEMORY_STALL_MS;
}

static bool
has_space (const struct memory_account *account,
           const struct memory_holder *holder,
           size_t reserved_bytes)
{
  return account->total + reserved_bytes + holder->rest_bytes
         < account->full_bytes;
}

enum memory_action
memory_account_decide (const struct memory_account *account,
                       const struct memory_holder *holder,
                       size_t reserved_bytes,
                       int64_t now_ms)
{
  enum memory_level level = memory_account_level (account);

  if (holder->stage != MEMORY_UNFINISHED || level == MEMORY_CALM)
    return MEMORY_READ;
  /* Ordinary requests go on while large bodies hold the memory. */
  if (holder->bytes <= MEMORY_SMALL_BYTES && level < MEMORY_FULL)
    return MEMORY_READ;
  if (is_stalled (holder, now_ms))
    return MEMORY_END;
  if (holder->is_admitted)
    return MEMORY_READ;
  if (has_space (account, holder, reserved_bytes))
    return MEMORY_ADMIT;
  if (holder->unread_since_ms != 0
      && now_ms - holder->unread_since_ms >= MEMORY_WAIT_MS)
    return MEMORY_END;
  return MEMORY_WAIT;
}

bool
memory_ends_before (const struct memory_holder *a,
                    const struct memory_holder *b,
                    int64_t now_ms)
{
  bool a_stalled = is_stalled (a, now_ms);
  bool b_stalled = is_stalled (b, now_ms);

  if (a->stage != b->stage)
    return a->stage < b->stage;
  if (a_stalled != b_stalled)
    return a_stalled;
  if (a->is_admitted != b->is_admitted)
    return b->is_admitted;
  return a->bytes > b->bytes;
}
