#include "lease.h"
#include "hash.h"
#include "jsonutil.h"

#include <string.h>

/* More takeovers than can have been lost with a restored store. */
#define FENCE_JUMP_LIMIT 1000

void
lease_settings_init (struct lease_settings *settings)
{
  *settings = (struct lease_settings){
    .ttl_ms = 8000,
    .renew_interval_ms = 2000,
    .margin_ms = 2000,
    .takeover_wait_ms = 2000,
    .stagger_ms = 1000,
    .poll_interval_ms = 2000,
    .slow_poll_interval_ms = 10000,
    .poll_ranks = 3,
    .retry_delay_ms = 500,
  };
}

json_t *
lease_value_to_json (const struct lease_value *value)
{
  return json_pack ("{s:s, s:I, s:I, s:I}", "holder", value->holder, "fence",
                    (json_int_t)value->fence, "ttl_ms",
                    (json_int_t)value->ttl_ms, "seq", (json_int_t)value->seq);
}

enum result
lease_value_from_json (struct lease_value *value, const json_t *json)
{
  if (!json_read_string (json, "holder", value->holder, sizeof value->holder)
      || !json_read_u64 (json, "fence", &value->fence)
      || !json_read_u64 (json, "ttl_ms", &value->ttl_ms)
      || !json_read_u64 (json, "seq", &value->seq))
    return RESULT_PLATFORM_BAD_ANSWER;
  return RESULT_OK;
}

void
lease_init (struct lease *lease,
            const struct lease_settings *settings,
            const char *self,
            unsigned rank)
{
  size_t size = strnlen (self, sizeof lease->self - 1);

  memset (lease, 0, sizeof *lease);
  lease->settings = *settings;
  memcpy (lease->self, self, size);
  lease->rank = rank;
  lease->next_request_ms = INT64_MIN;
  lease->not_before_ms = INT64_MIN;
  lease->valid_until_ms = INT64_MIN;
  lease->reclaim_until_ms = INT64_MIN;
}

void
lease_set_rank (struct lease *lease, unsigned rank)
{
  lease->rank = rank;
}

unsigned
lease_rank (const char *self,
            const char *const *names,
            unsigned count,
            const char *data_centre)
{
  uint64_t own = hash_rendezvous (self, data_centre);
  unsigned rank = 0;

  for (unsigned i = 0; i < count; i++)
    {
      uint64_t score = hash_rendezvous (names[i], data_centre);

      if (score > own || (score == own && strcmp (names[i], self) < 0))
        rank++;
    }
  return rank;
}

void
lease_observe_fence (struct lease *lease, uint64_t fence)
{
  if (fence > lease->fence_floor)
    lease->fence_floor = fence;
}

void
lease_observe_reported_fence (struct lease *lease, uint64_t fence)
{
  uint64_t known = lease->fence_floor > lease->value.fence ? lease->fence_floor
                                                           : lease->value.fence;

  if (fence <= known || fence - known <= FENCE_JUMP_LIMIT)
    lease_observe_fence (lease, fence);
}

/* Earliest time at which this candidate may overwrite the known version. */
static int64_t
compute_takeover_ms (const struct lease *lease)
{
  int64_t wait = (int64_t)lease->rank * lease->settings.stagger_ms;

  if (lease->is_copy || (lease->version != 0 && lease->value.holder[0] != '\0'))
    {
      int64_t ttl = (int64_t)lease->value.ttl_ms;

      if (ttl < lease->settings.ttl_ms)
        ttl = lease->settings.ttl_ms;
      wait += ttl + lease->settings.takeover_wait_ms;
    }
  return lease->version_first_seen_ms + wait;
}

static struct lease_action
request_read (struct lease *lease, int64_t now_ms)
{
  struct lease_action action = { .kind = LEASE_READ };

  lease->request_in_flight = LEASE_READ;
  lease->known_at_read = lease->version;
  lease->next_request_ms = now_ms
                           + (lease->rank < lease->settings.poll_ranks
                                  ? lease->settings.poll_interval_ms
                                  : lease->settings.slow_poll_interval_ms);
  return action;
}

static struct lease_action
request_write (struct lease *lease, const char *holder, int64_t now_ms)
{
  struct lease_action action = { .kind = LEASE_WRITE };

  memcpy (action.value.holder, holder, strlen (holder) + 1);
  action.value.fence = lease->value.fence;
  if (lease->phase == LEASE_FOLLOWING)
    {
      if (action.value.fence < lease->fence_floor)
        action.value.fence = lease->fence_floor;
      action.value.fence++;
    }
  action.value.ttl_ms = (uint64_t)lease->settings.ttl_ms;
  /*
   * Never reuse the seq of an earlier write whose response was lost: that write
   * may still take effect, and its validity began when it was sent.
   */
  action.value.seq = lease->value.seq > lease->last_sent.seq
                         ? lease->value.seq
                         : lease->last_sent.seq;
  action.value.seq++;
  action.version = lease->version;
  lease->request_in_flight = LEASE_WRITE;
  lease->last_sent = action.value;
  lease->last_sent_ms = now_ms;
  lease->next_request_ms = now_ms + lease->settings.renew_interval_ms;
  return action;
}

/* True if this candidate may write its lease again after a restoration. */
static bool
can_reclaim (const struct lease *lease, int64_t now_ms)
{
  return lease->is_copy && !lease->releasing && now_ms < lease->reclaim_until_ms
         && lease->fence_floor <= lease->reclaim_fence;
}

static struct lease_action
request_reclaim (struct lease *lease, int64_t now_ms)
{
  struct lease_action action = request_write (lease, lease->self, now_ms);

  action.value.fence = lease->reclaim_fence;
  lease->last_sent = action.value;
  return action;
}

struct lease_action
lease_tick (struct lease *lease, int64_t now_ms)
{
  const struct lease_action nothing = { .kind = LEASE_NO_ACTION };

  if (lease->request_in_flight != LEASE_NO_ACTION
      || lease->phase == LEASE_RELEASED)
    return nothing;
  if (lease->releasing && lease->phase == LEASE_FOLLOWING
      && !lease->needs_read_back)
    {
      lease->phase = LEASE_RELEASED;
      return nothing;
    }
  if (now_ms < lease->not_before_ms)
    return nothing;
  if (!lease->was_read || lease->needs_read_back)
    return request_read (lease, now_ms);
  if (lease->phase == LEASE_HOLDING)
    {
      if (lease->releasing)
        return request_write (lease, "", now_ms);
      if (now_ms >= lease->next_request_ms)
        return request_write (lease, lease->self, now_ms);
      return nothing;
    }
  if (can_reclaim (lease, now_ms))
    return request_reclaim (lease, now_ms);
  if (now_ms >= compute_takeover_ms (lease))
    return request_write (lease, lease->self, now_ms);
  if (now_ms >= lease->next_request_ms)
    return request_read (lease, now_ms);
  return nothing;
}

/* Records the lease as the platform shows it and derives the phase from it. */
static void
apply_value (struct lease *lease,
             const struct lease_value *value,
             uint64_t version,
             int64_t now_ms)
{
  bool newer = version != lease->version;

  /* What is read first may be the copy; what changes then was written since. */
  if (newer && lease->was_read)
    lease->is_copy = false;
  lease->value = *value;
  lease->version = version;
  if (!lease->was_read || newer)
    lease->version_first_seen_ms = now_ms;
  lease->was_read = true;
  if (lease->phase == LEASE_RELEASED)
    return;
  if (lease->is_copy)
    {
      lease->phase = LEASE_FOLLOWING;
      return;
    }
  if (version == 0 || strcmp (value->holder, lease->self) != 0)
    {
      lease->phase = LEASE_FOLLOWING;
      lease->valid_until_ms = INT64_MIN;
      return;
    }
  if (lease->phase != LEASE_HOLDING || newer)
    lease->next_request_ms = now_ms;
  lease->phase = LEASE_HOLDING;
  /*
   * Only the sending time of the last write is known.  An older write of this
   * candidate gives no validity; the next renewal does.
   */
  if (value->seq == lease->last_sent.seq
      && value->fence == lease->last_sent.fence)
    {
      lease->valid_until_ms = lease->last_sent_ms + lease->settings.ttl_ms
                              - lease->settings.margin_ms;
      lease->next_request_ms
          = lease->last_sent_ms + lease->settings.renew_interval_ms;
    }
}

void
lease_on_restore (struct lease *lease)
{
  lease_observe_fence (lease, lease->value.fence);
  if (lease->phase == LEASE_HOLDING && lease->valid_until_ms != INT64_MIN)
    {
      /* Others could take over this long after the last renewal was sent. */
      lease->reclaim_until_ms = lease->valid_until_ms
                                + lease->settings.margin_ms
                                + lease->settings.takeover_wait_ms;
      lease->reclaim_fence = lease->value.fence;
    }
  if (lease->phase == LEASE_HOLDING)
    lease->phase = LEASE_FOLLOWING;
  lease->is_copy = true;
  lease->was_read = false;
  lease->version = 0;
}

void
lease_on_read (struct lease *lease,
               enum result result,
               const struct lease_value *value,
               uint64_t version,
               int64_t now_ms)
{
  const struct lease_value missing = { .fence = 0 };

  lease->request_in_flight = LEASE_NO_ACTION;
  if (result == RESULT_PLATFORM_NOT_FOUND)
    {
      value = &missing;
      version = 0;
    }
  else if (result != RESULT_OK)
    {
      lease->not_before_ms = now_ms + lease->settings.retry_delay_ms;
      return;
    }
  lease->needs_read_back = false;
  if (version < lease->known_at_read && lease->was_read)
    lease_on_restore (lease);
  if (version != 0 && version < lease->version)
    return; /* a watch has already delivered a later version */
  apply_value (lease, value, version, now_ms);
}

void
lease_on_watch (struct lease *lease,
                const struct lease_value *value,
                uint64_t version,
                int64_t now_ms)
{
  if (version > lease->version || !lease->was_read)
    apply_value (lease, value, version, now_ms);
}

void
lease_on_write (struct lease *lease,
                enum result result,
                uint64_t version,
                int64_t now_ms)
{
  lease->request_in_flight = LEASE_NO_ACTION;
  switch (result)
    {
    case RESULT_OK:
      if (version < lease->version)
        break; /* a watch has already delivered a later write */
      apply_value (lease, &lease->last_sent, version, now_ms);
      break;
    case RESULT_PLATFORM_CONFLICT:
      lease->needs_read_back = true;
      break;
    case RESULT_PLATFORM_UNREACHABLE:
    case RESULT_PLATFORM_OVERLOADED:
    case RESULT_PLATFORM_OUTAGE:
      lease->not_before_ms = now_ms + lease->settings.retry_delay_ms;
      lease->next_request_ms = lease->not_before_ms;
      break;
    default:
      lease->needs_read_back = true;
      lease->not_before_ms = now_ms + lease->settings.retry_delay_ms;
      break;
    }
}

bool
lease_may_act (const struct lease *lease, int64_t now_ms)
{
  return lease->phase == LEASE_HOLDING && !lease->releasing
         && now_ms < lease->valid_until_ms;
}

uint64_t
lease_fence (const struct lease *lease)
{
  return lease->value.fence;
}

void
lease_release (struct lease *lease)
{
  lease->releasing = true;
}
