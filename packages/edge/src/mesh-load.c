#include "mesh-internal.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Loads are told this often by a small fleet, and less often by a large one:
 * totals of 380 hosts each 200 ms leave a host within 24 KB/s.
 */
#define LOAD_INTERVAL_MS 60
#define LOAD_INTERVAL_PER_HOST_MS 0.5
#define LOAD_INTERVAL_LIMIT_MS 200
/* What a host told is forgotten after this time. */
#define LOAD_LIFE_MS 800
/*
 * Without a total for this long the first hub counts as dead: a hub that
 * decodes a large configuration is silent for 0.3 s.
 */
#define HUB_SILENT_MS 500
/* Without one for this long a host takes itself for a hub. */
#define ALONE_MS 1200
/* A hub that fell silent is not chosen again for this long. */
#define HUB_DEAD_MS 2000
/* Hosts greet each other more often than this. */
#define HEARD_LATELY_MS 4000
/* Entries of all hosts that one sum is made from. */
#define MERGE_LIMIT 16384

static int64_t
interval_ms (const struct mesh *mesh)
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
  /* To the hub, on to the hosts, and half of a round until used. */
  return 5 * interval_ms (mesh) / 2;
}

/* The order of candidates for a hub: the same on all hosts. */
static bool
goes_before (const struct gossip_host *a, const struct gossip_host *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return strcmp (a->name, b->name) < 0;
}

static bool
is_alive (const struct mesh *mesh, const struct mesh_host *host)
{
  return host->dead_ms <= mesh->now_ms;
}

static bool
same_data_centre (const struct gossip_host *a, const struct gossip_host *b)
{
  return strcmp (a->data_centre, b->data_centre) == 0;
}

/* Live hosts of its data centre that go before it; this host is not counted. */
static unsigned
rank_of (const struct mesh *mesh, const struct gossip_host *ranked)
{
  unsigned rank = 0;

  for (const struct mesh_host *host = mesh->hosts; host != NULL;
       host = host->hh.next)
    if (is_alive (mesh, host) && same_data_centre (&host->self, ranked)
        && goes_before (&host->self, ranked))
      rank++;
  return rank;
}

static bool
hears_totals (const struct mesh *mesh)
{
  return mesh->now_ms - mesh->total_ms < HUB_SILENT_MS;
}

/* No hub serves this host; it has to do without. */
static bool
is_alone (const struct mesh *mesh)
{
  return mesh->now_ms - mesh->total_ms > ALONE_MS;
}

bool
mesh_is_hub (const struct mesh *mesh)
{
  return rank_of (mesh, &mesh->self) < MESH_HUBS || is_alone (mesh);
}

bool
mesh_is_reader (const struct mesh *mesh)
{
  return rank_of (mesh, &mesh->self) == 0 || is_alone (mesh);
}

struct mesh_host *
mesh_hub (struct mesh *mesh, unsigned rank)
{
  struct mesh_host *best = NULL;

  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    {
      unsigned own;

      if (!is_alive (mesh, host)
          || !same_data_centre (&host->self, &mesh->self))
        continue;
      own = rank_of (mesh, &host->self);
      if (own == rank)
        return host;
      if (own == 0)
        best = host;
    }
  return best;
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
keep_loads (struct mesh_loads *loads,
            const struct gossip_loads *told,
            int64_t now_ms)
{
  /* The decoder has checked that the entries lie within the total. */
  if (told->total > MESH_LOAD_LIMIT)
    return false;
  memcpy (&loads->list[told->first], told->list,
          told->count * sizeof told->list[0]);
  loads->count = told->total;
  loads->hosts = told->hosts;
  loads->heard_ms = now_ms;
  return true;
}

static struct mesh_sum *
sum_of (struct mesh *mesh, const char *data_centre)
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

/* The total less what this host itself has told. */
static void
give_others (struct mesh *mesh, const struct mesh_loads *total)
{
  struct mesh_loads *others = &mesh->work;

  others->count = total->count;
  for (unsigned i = 0; i < total->count; i++)
    {
      struct gossip_load *load = &others->list[i];

      *load = total->list[i];
      for (unsigned j = 0; j < mesh->own.count; j++)
        {
          const struct gossip_load *own = &mesh->own.list[j];

          if (own->endpoint != load->endpoint)
            continue;
          load->running
              -= own->running < load->running ? own->running : load->running;
          load->reading
              -= own->reading < load->reading ? own->reading : load->reading;
        }
    }
  mesh->live_hosts = total->hosts > 0 ? total->hosts : 1;
  mesh->hooks.loads (mesh->hooks.context, others->list, others->count);
}

/*
 * Hosts that have just started or hear no hub send totals, too.  Accepts totals
 * of the two highest-ranked hosts only, and none from a lower-ranked host.
 */
static bool
accepts_totals (const struct mesh *mesh, const struct mesh_host *from)
{
  return goes_before (&from->self, &mesh->self)
         && rank_of (mesh, &from->self) < MESH_HUBS;
}

void
mesh_take_loads (struct mesh *mesh,
                 struct mesh_host *from,
                 const struct gossip_message *message)
{
  const struct gossip_loads *told = &message->body.loads;
  bool own = same_data_centre (&from->self, &mesh->self);
  struct mesh_sum *sum;

  if (own && told->lease_version != 0)
    {
      mesh_set_lease (mesh, &told->lease, told->lease_version);
      mesh->hooks.lease (mesh->hooks.context, &told->lease,
                         told->lease_version);
    }
  if (message->kind == GOSSIP_LOAD)
    {
      if (from->loads == NULL)
        from->loads = calloc (1, sizeof *from->loads);
      if (from->loads != NULL)
        keep_loads (from->loads, told, mesh->now_ms);
      return;
    }
  /* A total is for the own data centre, a sum for the others. */
  if ((message->kind == GOSSIP_TOTAL) != own)
    return;
  if (own)
    {
      mesh->any_total_ms = mesh->now_ms;
      if (!accepts_totals (mesh, from))
        return;
    }
  sum = sum_of (mesh, from->self.data_centre);
  if (sum == NULL || !keep_loads (&sum->loads, told, mesh->now_ms))
    return;
  if (own)
    {
      mesh->total_ms = mesh->now_ms;
      if (told->first + told->count == told->total)
        give_others (mesh, &sum->loads);
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

struct merge
{
  struct gossip_load *list;
  unsigned count;
  unsigned hosts;
};

static void
merge_add (struct merge *merge, const struct mesh_loads *loads)
{
  unsigned count = loads->count;

  if (count > MERGE_LIMIT - merge->count)
    count = MERGE_LIMIT - merge->count;
  memcpy (&merge->list[merge->count], loads->list,
          count * sizeof loads->list[0]);
  merge->count += count;
  merge->hosts += loads->hosts;
}

/* Adds up the entries of each endpoint. */
static void
merge_into (struct merge *merge, struct mesh_loads *sum)
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
      last->reading += load->reading;
      if (load->silent_ms < last->silent_ms)
        last->silent_ms = load->silent_ms;
      last->stands_still = last->stands_still || load->stands_still;
      last->leaves = last->leaves || load->leaves;
    }
}

static bool
is_fresh (const struct mesh *mesh, const struct mesh_loads *loads)
{
  return loads != NULL && loads->heard_ms != 0
         && mesh->now_ms - loads->heard_ms < LOAD_LIFE_MS;
}

/* What the hosts of this data centre run, as far as they told. */
static void
add_own_hosts (struct mesh *mesh, struct merge *merge)
{
  merge_add (merge, &mesh->own);
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    if (same_data_centre (&host->self, &mesh->self)
        && is_fresh (mesh, host->loads))
      merge_add (merge, host->loads);
}

static void
add_other_sums (struct mesh *mesh, struct merge *merge)
{
  for (struct mesh_sum *sum = mesh->sums; sum != NULL; sum = sum->hh.next)
    if (strcmp (sum->data_centre, mesh->self.data_centre) != 0
        && is_fresh (mesh, &sum->loads))
      merge_add (merge, &sum->loads);
}

static void
send_loads (struct mesh *mesh,
            enum gossip_kind kind,
            const struct mesh_loads *loads,
            bool (*wanted) (const struct mesh *mesh,
                            const struct mesh_host *host))
{
  struct gossip_message *message = &mesh->message;
  struct gossip_loads *told = &message->body.loads;
  bool any = false;

  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    {
      host->is_receiver = wanted (mesh, host);
      any = any || host->is_receiver;
    }
  if (!any)
    return;
  for (unsigned first = 0; first == 0 || first < loads->count;
       first += GOSSIP_LOADS)
    {
      message->kind = kind;
      told->hosts = loads->hosts;
      told->first = first;
      told->total = loads->count;
      told->count = loads->count - first;
      if (told->count > GOSSIP_LOADS)
        told->count = GOSSIP_LOADS;
      memcpy (told->list, &loads->list[first],
              told->count * sizeof told->list[0]);
      told->lease_version = mesh->lease_version;
      told->lease = mesh->lease;
      mesh_send_receivers (mesh, message);
    }
}

/*
 * Hosts of this data centre that were heard recently, including those that
 * report to another hub: they learn of a restarted hub by its totals.
 */
static bool
is_own_host (const struct mesh *mesh, const struct mesh_host *host)
{
  return same_data_centre (&host->self, &mesh->self)
         && (is_fresh (mesh, host->loads)
             || (host->heard_ms != 0
                 && mesh->now_ms - host->heard_ms < HEARD_LATELY_MS));
}

/* The first candidates of each data centre. */
static bool
is_hub_host (const struct mesh *mesh, const struct mesh_host *host)
{
  return is_alive (mesh, host) && rank_of (mesh, &host->self) < MESH_HUBS;
}

static bool
is_other_hub (const struct mesh *mesh, const struct mesh_host *host)
{
  return !same_data_centre (&host->self, &mesh->self)
         && is_hub_host (mesh, host);
}

static bool
is_own_hub (const struct mesh *mesh, const struct mesh_host *host)
{
  return same_data_centre (&host->self, &mesh->self)
         && is_hub_host (mesh, host);
}

static void
act_as_hub (struct mesh *mesh)
{
  struct merge merge = { .count = 0 };

  merge.list = malloc (MERGE_LIMIT * sizeof merge.list[0]);
  if (merge.list == NULL)
    return;
  add_own_hosts (mesh, &merge);
  merge_into (&merge, &mesh->work);
  send_loads (mesh, GOSSIP_SUM, &mesh->work, is_other_hub);
  merge.count = 0;
  merge.hosts = 0;
  merge_add (&merge, &mesh->work);
  add_other_sums (mesh, &merge);
  merge_into (&merge, &mesh->work);
  send_loads (mesh, GOSSIP_TOTAL, &mesh->work, is_own_host);
  free (merge.list);
  give_others (mesh, &mesh->work);
}

/* Marks the first hub dead if it sends no totals. */
static void
check_hub (struct mesh *mesh)
{
  struct mesh_host *hub = mesh_hub (mesh, 0);

  if (hub != mesh->first_hub)
    {
      mesh->first_hub = hub;
      mesh->first_hub_ms = mesh->now_ms;
    }
  if (hears_totals (mesh) || hub == NULL
      || !goes_before (&hub->self, &mesh->self))
    return;
  /* Grants a successor the same timeout as its predecessor. */
  if (mesh->now_ms - mesh->first_hub_ms < HUB_SILENT_MS)
    return;
  if (hub->heard_ms != 0 && mesh->now_ms - hub->heard_ms < HUB_SILENT_MS)
    return;
  hub->dead_ms = mesh->now_ms + HUB_DEAD_MS;
  LOG_EVENT (LOG_LEVEL_NOTICE, "hub-silent", LOG_STR ("hub", hub->self.name),
             LOG_INT ("heard_ms_ago", mesh->now_ms - hub->heard_ms));
}

/*
 * The second hub stands by until the first one times out.  A restarted first
 * hub defers to any other sender of totals until the hosts have reported to it.
 */
static bool
must_act (const struct mesh *mesh)
{
  if (rank_of (mesh, &mesh->self) == 0)
    return mesh_is_settled (mesh)
           || mesh->now_ms - mesh->any_total_ms >= HUB_SILENT_MS;
  return !hears_totals (mesh);
}

void
mesh_exchange_loads (struct mesh *mesh,
                     void (*collect) (void *context, struct mesh_loads *own),
                     void *context)
{
  if (mesh->now_ms < mesh->send_ms)
    return;
  mesh->send_ms = mesh->now_ms + interval_ms (mesh);
  collect (context, &mesh->own);
  mesh->own.hosts = 1;
  send_loads (mesh, GOSSIP_LOAD, &mesh->own, is_own_hub);
  if (must_act (mesh))
    act_as_hub (mesh);
  check_hub (mesh);
}
