#include "mesh-internal.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Interval at which hosts send loads; it grows with the fleet: totals of 380
 * hosts every 200 ms keep a host within 24 KB/s.
 */
#define LOAD_INTERVAL_MS 60
#define LOAD_INTERVAL_PER_HOST_MS 0.5
#define LOAD_INTERVAL_LIMIT_MS 200
/* Loads that a host sent are ignored after this time. */
#define LOAD_EXPIRY_MS 800
/*
 * The first hub counts as dead if neither a total nor any message from it
 * arrives for this long.  A hub that decodes a large configuration sends
 * nothing for 0.3 s.
 */
#define HUB_SILENT_MS 500
/* A host that receives no total for this long acts as a hub itself. */
#define NO_HUB_MS 1200
/* A hub that counts as dead is not chosen again for this long. */
#define HUB_EXCLUSION_MS 2000
/*
 * A host counts as recently seen for this long; more than the interval of
 * hellos.
 */
#define RECENTLY_SEEN_MS 4000
/* Hosts that are missing in totals count as lost, not gone, for this long. */
#define LOST_HOST_RETENTION_MS 30000
/* Hosts that are assumed to exist while a newly started host knows none. */
#define INITIAL_HOST_COUNT 400
/* Limit of the entries that are merged into one sum. */
#define MERGE_LIMIT 16384

static int64_t
compute_load_interval_ms (const struct mesh *mesh)
{
  int64_t interval
      = (int64_t)(HASH_COUNT (mesh->hosts) * LOAD_INTERVAL_PER_HOST_MS);

  if (interval < LOAD_INTERVAL_MS)
    return LOAD_INTERVAL_MS;
  return interval < LOAD_INTERVAL_LIMIT_MS ? interval : LOAD_INTERVAL_LIMIT_MS;
}

int64_t
mesh_load_age_ms (const struct mesh *mesh)
{
  /*
   * One interval until the hub has the loads, one until the hosts have the
   * total, and half of one on average until it is used.
   */
  return 5 * compute_load_interval_ms (mesh) / 2;
}

/* Order of the hub candidates; all hosts agree on it. */
static bool
ranks_before (const struct gossip_host *a, const struct gossip_host *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return strcmp (a->name, b->name) < 0;
}

static bool
is_alive (const struct mesh *mesh, const struct mesh_host *host)
{
  return host->dead_until_ms <= mesh->now_ms;
}

static bool
is_same_data_centre (const struct gossip_host *a, const struct gossip_host *b)
{
  return strcmp (a->data_centre, b->data_centre) == 0;
}

/*
 * Counts the live hosts of the same data centre that rank before the host.
 * This host itself is not counted.
 */
static unsigned
compute_rank (const struct mesh *mesh, const struct gossip_host *ranked)
{
  unsigned rank = 0;

  for (const struct mesh_host *host = mesh->hosts; host != NULL;
       host = host->hh.next)
    if (is_alive (mesh, host) && is_same_data_centre (&host->info, ranked)
        && ranks_before (&host->info, ranked))
      rank++;
  return rank;
}

static bool
has_recent_total (const struct mesh *mesh)
{
  return mesh->now_ms - mesh->last_total_ms < HUB_SILENT_MS;
}

/* True if no hub has sent this host a total for a while. */
static bool
has_no_hub (const struct mesh *mesh)
{
  return mesh->now_ms - mesh->last_total_ms > NO_HUB_MS;
}

bool
mesh_is_hub (const struct mesh *mesh)
{
  return compute_rank (mesh, &mesh->self) < MESH_HUBS || has_no_hub (mesh);
}

bool
mesh_is_reader (const struct mesh *mesh)
{
  return compute_rank (mesh, &mesh->self) == 0 || has_no_hub (mesh);
}

struct mesh_host *
mesh_find_hub (struct mesh *mesh, unsigned rank)
{
  struct mesh_host *first = NULL;

  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    {
      unsigned host_rank;

      if (!is_alive (mesh, host)
          || !is_same_data_centre (&host->info, &mesh->self))
        continue;
      host_rank = compute_rank (mesh, &host->info);
      if (host_rank == rank)
        return host;
      if (host_rank == 0)
        first = host;
    }
  return first;
}

unsigned
mesh_known_hosts (const struct mesh *mesh)
{
  if (mesh->peak_hosts > 1)
    return mesh->peak_hosts;
  return mesh_is_settled (mesh) ? HASH_COUNT (mesh->hosts) + 1
                                : INITIAL_HOST_COUNT;
}

unsigned
mesh_count_local_hosts (const struct mesh *mesh)
{
  unsigned count = 1;

  for (const struct mesh_host *host = mesh->hosts; host != NULL;
       host = host->hh.next)
    if (is_same_data_centre (&host->info, &mesh->self))
      count++;
  return count;
}

void
mesh_set_lease (struct mesh *mesh,
                const struct lease_value *value,
                uint64_t version)
{
  if (version <= mesh->lease_version)
    return;
  mesh->lease = *value;
  mesh->lease_version = version;
}

static bool
store_loads (struct mesh_loads *loads,
             const struct gossip_loads *received,
             int64_t now_ms)
{
  /* The decoder has checked that the entries lie within the total. */
  if (received->total > MESH_LOAD_LIMIT)
    return false;
  memcpy (&loads->list[received->first], received->list,
          received->count * sizeof received->list[0]);
  loads->count = received->total;
  loads->hosts = received->hosts;
  loads->received_ms = now_ms;
  return true;
}

static struct mesh_sum *
find_or_add_sum (struct mesh *mesh, const char *data_centre)
{
  struct mesh_sum *sum;

  HASH_FIND_STR (mesh->sums, data_centre, sum);
  if (sum == NULL)
    {
      sum = calloc (1, sizeof *sum);
      if (sum == NULL)
        return NULL;
      memcpy (sum->data_centre, data_centre, sizeof sum->data_centre);
      HASH_ADD_STR (mesh->sums, data_centre, sum);
    }
  return sum;
}

static uint32_t
add_count (uint32_t count, uint32_t added)
{
  return added < UINT32_MAX - count ? count + added : UINT32_MAX;
}

static uint32_t
subtract_count (uint32_t count, uint32_t subtracted)
{
  return subtracted < count ? count - subtracted : 0;
}

static void
subtract_limit_counts (struct gossip_load *load, const struct gossip_load *own)
{
  load->sent_millionths
      = subtract_count (load->sent_millionths, own->sent_millionths);
  load->wanted_millionths
      = subtract_count (load->wanted_millionths, own->wanted_millionths);
}

/*
 * Counts the hosts that the total is from.  Hosts that it lacks may be cut off
 * and serve on; they are remembered for a while.
 */
static void
note_live_hosts (struct mesh *mesh, unsigned hosts)
{
  mesh->live_hosts = hosts > 0 ? hosts : 1;
  if (mesh->live_hosts >= mesh->peak_hosts
      || mesh->now_ms - mesh->peak_hosts_ms >= LOST_HOST_RETENTION_MS)
    {
      mesh->peak_hosts = mesh->live_hosts;
      mesh->peak_hosts_ms = mesh->now_ms;
    }
}

/* Reports the total without the loads that this host itself has sent. */
static void
report_other_loads (struct mesh *mesh, const struct mesh_loads *total)
{
  struct mesh_loads *others = &mesh->merge_buffer;

  others->count = total->count;
  for (unsigned i = 0; i < total->count; i++)
    {
      struct gossip_load *load = &others->list[i];

      *load = total->list[i];
      for (unsigned j = 0; j < mesh->own_loads.count; j++)
        {
          const struct gossip_load *own = &mesh->own_loads.list[j];

          if (own->endpoint != load->endpoint)
            continue;
          load->running
              -= own->running < load->running ? own->running : load->running;
          load->prefill_tokens -= own->prefill_tokens < load->prefill_tokens
                                      ? own->prefill_tokens
                                      : load->prefill_tokens;
          if (own->has_limit && load->has_limit)
            subtract_limit_counts (load, own);
        }
    }
  note_live_hosts (mesh, total->hosts);
  mesh->hooks.loads (mesh->hooks.context, others->list, others->count);
}

/*
 * Hosts that have just started or that receive no totals send totals too.
 * Accepts those of the two highest-ranked hosts only, and none from a host that
 * ranks after this one.
 */
static bool
can_accept_total (const struct mesh *mesh, const struct mesh_host *from)
{
  return ranks_before (&from->info, &mesh->self)
         && compute_rank (mesh, &from->info) < MESH_HUBS;
}

void
mesh_handle_loads (struct mesh *mesh,
                   struct mesh_host *from,
                   const struct gossip_message *message)
{
  const struct gossip_loads *received = &message->body.loads;
  bool is_own_data_centre = is_same_data_centre (&from->info, &mesh->self);
  struct mesh_sum *sum;

  if (is_own_data_centre && received->lease_version != 0)
    {
      mesh_set_lease (mesh, &received->lease, received->lease_version);
      mesh->hooks.lease (mesh->hooks.context, &received->lease,
                         received->lease_version);
    }
  if (message->kind == GOSSIP_LOAD)
    {
      if (from->loads == NULL)
        from->loads = calloc (1, sizeof *from->loads);
      if (from->loads != NULL)
        store_loads (from->loads, received, mesh->now_ms);
      return;
    }
  /* Totals come from the own data centre, sums from the others. */
  if ((message->kind == GOSSIP_TOTAL) != is_own_data_centre)
    return;
  if (is_own_data_centre)
    {
      mesh->last_any_total_ms = mesh->now_ms;
      if (!can_accept_total (mesh, from))
        return;
    }
  sum = find_or_add_sum (mesh, from->info.data_centre);
  if (sum == NULL || !store_loads (&sum->loads, received, mesh->now_ms))
    return;
  if (is_own_data_centre)
    {
      mesh->last_total_ms = mesh->now_ms;
      if (received->first + received->count == received->total)
        report_other_loads (mesh, &sum->loads);
    }
}

static int
compare_endpoints (const void *a, const void *b)
{
  const struct gossip_load *left = a;
  const struct gossip_load *right = b;

  if (left->endpoint == right->endpoint)
    return 0;
  return left->endpoint < right->endpoint ? -1 : 1;
}

/* Loads that are merged into a sum. */
struct merge
{
  struct gossip_load *list; /* MERGE_LIMIT entries */
  unsigned count;
  unsigned hosts; /* number of hosts that the loads are from */
};

/* Copies loads that were received some time ago, so that their ages hold. */
static void
add_to_merge (struct merge *merge,
              const struct mesh_loads *loads,
              int64_t held_ms)
{
  unsigned count = loads->count;

  if (count > MERGE_LIMIT - merge->count)
    count = MERGE_LIMIT - merge->count;
  memcpy (&merge->list[merge->count], loads->list,
          count * sizeof loads->list[0]);
  for (unsigned i = 0; i < count; i++)
    merge->list[merge->count + i].limit_age_ms
        = add_count (loads->list[i].limit_age_ms, (uint32_t)held_ms);
  merge->count += count;
  merge->hosts += loads->hosts;
}

/* Adds a host's counts, and takes over what was stated last. */
static void
merge_limit (struct gossip_load *sum, const struct gossip_load *load)
{
  if (!load->has_limit)
    return;
  if (!sum->has_limit || load->limit_age_ms < sum->limit_age_ms)
    {
      sum->limit_per_1000_s = load->limit_per_1000_s;
      sum->limit_age_ms = load->limit_age_ms;
    }
  sum->has_limit = true;
  sum->sent_millionths
      = add_count (sum->sent_millionths, load->sent_millionths);
  sum->wanted_millionths
      = add_count (sum->wanted_millionths, load->wanted_millionths);
}

/* Adds up the entries of each endpoint. */
static void
write_merged_sum (struct merge *merge, struct mesh_loads *sum)
{
  sum->count = 0;
  sum->hosts = merge->hosts;
  qsort (merge->list, merge->count, sizeof merge->list[0], compare_endpoints);
  for (unsigned i = 0; i < merge->count; i++)
    {
      const struct gossip_load *load = &merge->list[i];
      struct gossip_load *last
          = sum->count > 0 ? &sum->list[sum->count - 1] : NULL;

      if (last == NULL || last->endpoint != load->endpoint)
        {
          if (sum->count == MESH_LOAD_LIMIT)
            return;
          sum->list[sum->count++] = *load;
          continue;
        }
      last->running += load->running;
      last->prefill_tokens += load->prefill_tokens;
      if (load->inactive_ms < last->inactive_ms)
        last->inactive_ms = load->inactive_ms;
      last->is_stalled = last->is_stalled || load->is_stalled;
      last->is_leaving = last->is_leaving || load->is_leaving;
      merge_limit (last, load);
    }
}

static bool
is_fresh (const struct mesh *mesh, const struct mesh_loads *loads)
{
  return loads != NULL && loads->received_ms != 0
         && mesh->now_ms - loads->received_ms < LOAD_EXPIRY_MS;
}

/* Adds the loads that hosts of this data centre have sent recently. */
static void
add_own_data_centre (struct mesh *mesh, struct merge *merge)
{
  add_to_merge (merge, &mesh->own_loads, 0);
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    if (is_same_data_centre (&host->info, &mesh->self)
        && is_fresh (mesh, host->loads))
      add_to_merge (merge, host->loads,
                    mesh->now_ms - host->loads->received_ms);
}

static void
add_other_sums (struct mesh *mesh, struct merge *merge)
{
  for (struct mesh_sum *sum = mesh->sums; sum != NULL; sum = sum->hh.next)
    if (strcmp (sum->data_centre, mesh->self.data_centre) != 0
        && is_fresh (mesh, &sum->loads))
      add_to_merge (merge, &sum->loads, mesh->now_ms - sum->loads.received_ms);
}

static void
send_loads (struct mesh *mesh,
            enum gossip_kind kind,
            const struct mesh_loads *loads,
            bool (*is_receiver) (const struct mesh *mesh,
                                 const struct mesh_host *host))
{
  struct gossip_message *message = &mesh->message;
  struct gossip_loads *body = &message->body.loads;
  bool has_receivers = false;
  unsigned first = 0;

  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    {
      host->is_receiver = is_receiver (mesh, host);
      has_receivers = has_receivers || host->is_receiver;
    }
  if (!has_receivers)
    return;
  do
    {
      message->kind = kind;
      body->hosts = loads->hosts;
      body->first = first;
      body->total = loads->count;
      body->count = gossip_count_fitting_loads (&loads->list[first],
                                                loads->count - first);
      memcpy (body->list, &loads->list[first],
              body->count * sizeof body->list[0]);
      body->lease_version = mesh->lease_version;
      body->lease = mesh->lease;
      mesh_send_receivers (mesh, message);
      first += body->count;
    }
  while (first < loads->count);
}

/*
 * True for hosts of this data centre that were seen recently.  Those that send
 * loads to another hub are included: they learn from a total that a hub has
 * restarted.
 */
static bool
is_total_receiver (const struct mesh *mesh, const struct mesh_host *host)
{
  return is_same_data_centre (&host->info, &mesh->self)
         && (is_fresh (mesh, host->loads)
             || (host->last_seen_ms != 0
                 && mesh->now_ms - host->last_seen_ms < RECENTLY_SEEN_MS));
}

/* True for the first MESH_HUBS candidates of each data centre. */
static bool
is_hub_host (const struct mesh *mesh, const struct mesh_host *host)
{
  return is_alive (mesh, host) && compute_rank (mesh, &host->info) < MESH_HUBS;
}

static bool
is_other_hub (const struct mesh *mesh, const struct mesh_host *host)
{
  return !is_same_data_centre (&host->info, &mesh->self)
         && is_hub_host (mesh, host);
}

bool
mesh_is_own_hub (const struct mesh *mesh, const struct mesh_host *host)
{
  return is_same_data_centre (&host->info, &mesh->self)
         && is_hub_host (mesh, host);
}

void
mesh_distribute (struct mesh *mesh, struct gossip_message *message)
{
  bool is_hub = mesh_is_hub (mesh);

  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    host->is_receiver
        = mesh_is_own_hub (mesh, host)
          || (is_hub
              && (is_total_receiver (mesh, host) || is_other_hub (mesh, host)));
  mesh_send_receivers (mesh, message);
}

static void
publish_totals (struct mesh *mesh)
{
  struct merge merge = { .count = 0 };

  merge.list = malloc (MERGE_LIMIT * sizeof merge.list[0]);
  if (merge.list == NULL)
    return;
  add_own_data_centre (mesh, &merge);
  write_merged_sum (&merge, &mesh->merge_buffer);
  send_loads (mesh, GOSSIP_SUM, &mesh->merge_buffer, is_other_hub);
  merge.count = 0;
  merge.hosts = 0;
  add_to_merge (&merge, &mesh->merge_buffer, 0);
  add_other_sums (mesh, &merge);
  write_merged_sum (&merge, &mesh->merge_buffer);
  send_loads (mesh, GOSSIP_TOTAL, &mesh->merge_buffer, is_total_receiver);
  free (merge.list);
  report_other_loads (mesh, &mesh->merge_buffer);
}

/* Marks the first hub dead if totals and its messages are missing. */
static void
detect_silent_hub (struct mesh *mesh)
{
  struct mesh_host *hub = mesh_find_hub (mesh, 0);

  if (hub != mesh->first_hub)
    {
      mesh->first_hub = hub;
      mesh->first_hub_since_ms = mesh->now_ms;
    }
  if (has_recent_total (mesh) || hub == NULL
      || !ranks_before (&hub->info, &mesh->self))
    return;
  /* A new first hub gets the whole timeout, as its predecessor did. */
  if (mesh->now_ms - mesh->first_hub_since_ms < HUB_SILENT_MS)
    return;
  if (hub->last_seen_ms != 0
      && mesh->now_ms - hub->last_seen_ms < HUB_SILENT_MS)
    return;
  hub->dead_until_ms = mesh->now_ms + HUB_EXCLUSION_MS;
  LOG_EVENT (LOG_LEVEL_NOTICE, "hub-silent", LOG_STR ("hub", hub->info.name),
             LOG_INT ("heard_ms_ago", mesh->now_ms - hub->last_seen_ms));
}

/*
 * Hosts after the first hub publish totals only while they receive none.  A
 * restarted first hub publishes none while another host does, until hosts had
 * time to send it their loads.
 */
static bool
has_to_publish_totals (const struct mesh *mesh)
{
  if (compute_rank (mesh, &mesh->self) == 0)
    return mesh_is_settled (mesh)
           || mesh->now_ms - mesh->last_any_total_ms >= HUB_SILENT_MS;
  return !has_recent_total (mesh);
}

void
mesh_exchange_loads (struct mesh *mesh,
                     void (*collect) (void *context, struct mesh_loads *own),
                     void *context)
{
  if (mesh->now_ms < mesh->next_send_ms)
    return;
  mesh->next_send_ms = mesh->now_ms + compute_load_interval_ms (mesh);
  collect (context, &mesh->own_loads);
  mesh->own_loads.hosts = 1;
  send_loads (mesh, GOSSIP_LOAD, &mesh->own_loads, mesh_is_own_hub);
  if (has_to_publish_totals (mesh))
    publish_totals (mesh);
  detect_silent_hub (mesh);
}
