#include "catalog-diff.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Keys of this length and more are named by their last characters. */
#define NAMED_KEY_SIZE 16
#define NAMED_KEY_PART 4

/* First entry of each name; a list may hold tens of thousands. */
struct name_entry
{
  const char *name;
  unsigned index;
  UT_hash_handle hh;
};

struct name_index
{
  struct name_entry *entries;
  struct name_entry *names;
};

struct side
{
  const struct catalog *catalog;
  struct name_index services;
  struct name_index customers;
};

struct diff
{
  struct side before;
  struct side after;
  enum catalog_effect effect; /* that this pass reports */
  void (*report) (void *context, const struct catalog_difference *difference);
  void *context;
  bool failed; /* memory is short */
};

/* An entry that both sides have. */
struct subject
{
  struct diff *diff;
  const char *kind;
  const char *name;
};

const char *
catalog_change_name (enum catalog_change change)
{
  static const char *const names[] = {
    [CATALOG_ADDED] = "added",
    [CATALOG_DROPPED] = "dropped",
    [CATALOG_CHANGED] = "changed",
  };

  return names[change];
}

const char *
catalog_effect_name (enum catalog_effect effect)
{
  static const char *const names[] = {
    [CATALOG_REFUSES] = "refuses",
    [CATALOG_TIGHTENS] = "tightens",
    [CATALOG_OTHER] = "other",
  };

  return names[effect];
}

static void
emit (struct diff *diff,
      enum catalog_effect effect,
      enum catalog_change change,
      const char *kind,
      const char *name,
      const char *field,
      const char *before,
      const char *after)
{
  struct catalog_difference difference = { .effect = effect,
                                           .change = change,
                                           .kind = kind,
                                           .field = field,
                                           .name = name,
                                           .before = before,
                                           .after = after };

  if (effect == diff->effect)
    diff->report (diff->context, &difference);
}

/* Returns a text that the caller frees; NULL, noted in diff, without memory. */
static char *__attribute__ ((format (printf, 2, 3)))
format_text (struct diff *diff, const char *format, ...)
{
  va_list arguments;
  char *text;

  va_start (arguments, format);
  if (vasprintf (&text, format, arguments) < 0)
    {
      text = NULL;
      diff->failed = true;
    }
  va_end (arguments);
  return text;
}

static void
emit_entry (struct diff *diff,
            enum catalog_change change,
            const char *kind,
            const char *name)
{
  emit (diff, change == CATALOG_DROPPED ? CATALOG_REFUSES : CATALOG_OTHER,
        change, kind, name, "", "", "");
}

static void
compare_text (const struct subject *subject,
              const char *field,
              const char *before,
              const char *after,
              bool tightens)
{
  if (strcmp (before, after) != 0)
    emit (subject->diff, tightens ? CATALOG_TIGHTENS : CATALOG_OTHER,
          CATALOG_CHANGED, subject->kind, subject->name, field, before, after);
}

/* Which direction of a figure clients notice. */
enum direction
{
  NEITHER,
  LOWER_TIGHTENS,
  HIGHER_TIGHTENS,
  LOWER_TIGHTENS_0_NONE, /* 0 = no limit */
};

static void
compare_number (const struct subject *subject,
                const char *field,
                double before,
                double after,
                enum direction direction)
{
  char old_text[40];
  char new_text[40];
  bool tightens = false;

  if (before == after)
    return;
  switch (direction)
    {
    case NEITHER:
      break;
    case LOWER_TIGHTENS:
      tightens = after < before;
      break;
    case HIGHER_TIGHTENS:
      tightens = after > before;
      break;
    case LOWER_TIGHTENS_0_NONE:
      tightens = after != 0 && (before == 0 || after < before);
      break;
    }
  /* 17 digits tell any two values apart. */
  snprintf (old_text, sizeof old_text, "%.17g", before);
  snprintf (new_text, sizeof new_text, "%.17g", after);
  compare_text (subject, field, old_text, new_text, tightens);
}

static enum result
index_names (struct name_index *index,
             const void *list,
             unsigned count,
             size_t entry_size,
             size_t name_offset)
{
  const char *field = (const char *)list + name_offset;

  index->entries = calloc (count + 1, sizeof *index->entries);
  if (index->entries == NULL)
    return RESULT_NO_MEMORY;
  for (unsigned i = 0; i < count; i++, field += entry_size)
    {
      const char *name = *(const char *const *)field;
      struct name_entry *entry = &index->entries[i];
      struct name_entry *existing;

      entry->name = name;
      entry->index = i;
      HASH_FIND_STR (index->names, name, existing);
      if (existing == NULL)
        HASH_ADD_KEYPTR (hh, index->names, entry->name, strlen (name), entry);
    }
  return RESULT_OK;
}

static const struct name_entry *
find_name (const struct name_index *index, const char *name)
{
  struct name_entry *entry;

  HASH_FIND_STR (index->names, name, entry);
  return entry;
}

static enum result
side_init (struct side *side, const struct catalog *catalog)
{
  enum result result;

  side->catalog = catalog;
  result = index_names (&side->services, catalog->services,
                        catalog->service_count, sizeof *catalog->services,
                        offsetof (struct catalog_service, name));
  if (result == RESULT_OK)
    result = index_names (&side->customers, catalog->customers,
                          catalog->customer_count, sizeof *catalog->customers,
                          offsetof (struct catalog_customer, name));
  return result;
}

static void
side_finish (struct side *side)
{
  HASH_CLEAR (hh, side->services.names);
  HASH_CLEAR (hh, side->customers.names);
  free (side->services.entries);
  free (side->customers.entries);
}

/* A key is a secret; the last characters tell the owner which one it is. */
static char *
format_key (struct diff *diff,
            const struct catalog *catalog,
            const struct catalog_key *key)
{
  size_t length = strlen (key->text);
  bool is_named = length >= NAMED_KEY_SIZE;

  return format_text (diff, "%s%s%s", catalog->customers[key->customer].name,
                      is_named ? " ..." : "",
                      is_named ? key->text + length - NAMED_KEY_PART : "");
}

static void
diff_keys (struct diff *diff)
{
  const struct catalog *before = diff->before.catalog;
  const struct catalog *after = diff->after.catalog;
  struct catalog_key *other;

  for (struct catalog_key *key = before->keys; key != NULL; key = key->hh.next)
    {
      const char *old_owner = before->customers[key->customer].name;
      char *name = format_key (diff, before, key);

      if (name == NULL)
        return;
      HASH_FIND_STR (after->keys, key->text, other);
      if (other == NULL)
        emit_entry (diff, CATALOG_DROPPED, "API key", name);
      else if (strcmp (old_owner, after->customers[other->customer].name) != 0)
        emit (diff, CATALOG_TIGHTENS, CATALOG_CHANGED, "API key", name,
              "customer", old_owner, after->customers[other->customer].name);
      free (name);
    }
  for (struct catalog_key *key = after->keys; key != NULL; key = key->hh.next)
    {
      char *name = format_key (diff, after, key);

      if (name == NULL)
        return;
      HASH_FIND_STR (before->keys, key->text, other);
      if (other == NULL)
        emit_entry (diff, CATALOG_ADDED, "API key", name);
      free (name);
    }
}

static const char *
get_kind_name (enum catalog_kind kind)
{
  static const char *const names[] = {
    [CATALOG_SAFE] = "safe",
    [CATALOG_UNSAFE] = "unsafe",
    [CATALOG_STREAM] = "stream",
  };

  return names[kind];
}

/* Returns a text that the caller frees; NULL, noted in diff, without memory. */
static char *
format_targets (struct diff *diff, const struct catalog_route *route)
{
  char *text = NULL;
  size_t size;
  FILE *stream = open_memstream (&text, &size);
  bool is_written = stream != NULL;

  for (unsigned i = 0; i < route->target_count && is_written; i++)
    is_written = fprintf (stream, "%s%s (%u)", i > 0 ? ", " : "",
                          route->targets[i].service, route->targets[i].weight)
                 >= 0;
  if (stream != NULL && fclose (stream) != 0)
    is_written = false;
  if (is_written)
    return text;
  free (text);
  diff->failed = true;
  return NULL;
}

static void
compare_targets (const struct subject *subject,
                 const struct catalog_route *before,
                 const struct catalog_route *after)
{
  char *old_targets = format_targets (subject->diff, before);
  char *new_targets = format_targets (subject->diff, after);

  if (old_targets != NULL && new_targets != NULL)
    compare_text (subject, "services (weight)", old_targets, new_targets,
                  false);
  free (old_targets);
  free (new_targets);
}

static void
diff_route (const struct subject *subject,
            const struct catalog_route *before,
            const struct catalog_route *after)
{
  if (before->open != after->open)
    emit (subject->diff, before->open ? CATALOG_REFUSES : CATALOG_OTHER,
          CATALOG_CHANGED, subject->kind, subject->name, "needs a key",
          before->open ? "no" : "yes", after->open ? "no" : "yes");
  compare_text (subject, "name", before->name, after->name, false);
  compare_text (subject, "kind", get_kind_name (before->kind),
                get_kind_name (after->kind),
                catalog_is_repeatable (before)
                    && !catalog_is_repeatable (after));
  compare_number (subject, "timeout ms", (double)before->timeout_ms,
                  (double)after->timeout_ms, LOWER_TIGHTENS);
  /* A longer objective is a weaker promise to clients. */
  compare_number (subject, "objective ms", (double)before->objective_ms,
                  (double)after->objective_ms, HIGHER_TIGHTENS);
  compare_number (subject, "objective for gaps ms",
                  (double)before->event_gap_objective_ms,
                  (double)after->event_gap_objective_ms, HIGHER_TIGHTENS);
  compare_number (subject, "priority", before->priority, after->priority,
                  HIGHER_TIGHTENS);
  compare_number (subject, "attempts", before->attempts, after->attempts,
                  LOWER_TIGHTENS);
  compare_text (subject, "resumable", before->resumable ? "yes" : "no",
                after->resumable ? "yes" : "no", before->resumable);
  compare_targets (subject, before, after);
}

static char *
format_route (struct diff *diff, const struct catalog_route *route)
{
  return format_text (diff, "%s%s", route->host, route->prefix);
}

/* True unless another route of the same host and prefix is used instead. */
static bool
is_used (const struct catalog *catalog, const struct catalog_route *route)
{
  return catalog_find_same_route (catalog, route) == route;
}

static void
diff_routes (struct diff *diff)
{
  const struct catalog *before = diff->before.catalog;
  const struct catalog *after = diff->after.catalog;

  for (unsigned i = 0; i < before->route_count; i++)
    {
      const struct catalog_route *route = &before->routes[i];
      const struct catalog_route *other
          = catalog_find_same_route (after, route);
      char *name;

      if (!is_used (before, route))
        continue;
      name = format_route (diff, route);
      if (name == NULL)
        return;
      if (other == NULL)
        emit_entry (diff, CATALOG_DROPPED, "route", name);
      else
        diff_route (&(struct subject){ diff, "route", name }, route, other);
      free (name);
    }
  for (unsigned i = 0; i < after->route_count; i++)
    {
      const struct catalog_route *route = &after->routes[i];
      char *name;

      if (!is_used (after, route)
          || catalog_find_same_route (before, route) != NULL)
        continue;
      name = format_route (diff, route);
      if (name == NULL)
        return;
      emit_entry (diff, CATALOG_ADDED, "route", name);
      free (name);
    }
}

static void
diff_model (const struct subject *subject,
            const struct catalog_model *before,
            const struct catalog_model *after)
{
  compare_number (subject, "endpoints per group", before->size, after->size,
                  NEITHER);
  compare_number (subject, "share", before->share, after->share,
                  LOWER_TIGHTENS);
  compare_number (subject, "time factor", before->time_factor,
                  after->time_factor, HIGHER_TIGHTENS);
  compare_number (subject, "load ms", (double)before->load_ms,
                  (double)after->load_ms, NEITHER);
  compare_number (subject, "cached load ms", (double)before->cached_load_ms,
                  (double)after->cached_load_ms, NEITHER);
}

static char *
format_model (struct diff *diff,
              const struct catalog_model *model,
              const struct catalog_service *service)
{
  return format_text (diff, "%s of %s", model->name, service->name);
}

static void
diff_models (struct diff *diff,
             const struct catalog_service *before,
             const struct catalog_service *after)
{
  for (unsigned i = 0; i < before->model_count; i++)
    {
      const struct catalog_model *model = &before->models[i];
      const struct catalog_model *other
          = catalog_find_model (after, model->name);
      char *name;

      if (catalog_find_model (before, model->name) != model)
        continue;
      name = format_model (diff, model, before);
      if (name == NULL)
        return;
      if (other == NULL)
        emit_entry (diff, CATALOG_DROPPED, "model", name);
      else
        diff_model (&(struct subject){ diff, "model", name }, model, other);
      free (name);
    }
  for (unsigned i = 0; i < after->model_count; i++)
    {
      const struct catalog_model *model = &after->models[i];
      char *name;

      if (catalog_find_model (after, model->name) != model
          || catalog_find_model (before, model->name) != NULL)
        continue;
      name = format_model (diff, model, after);
      if (name == NULL)
        return;
      emit_entry (diff, CATALOG_ADDED, "model", name);
      free (name);
    }
}

static void
diff_service (const struct subject *subject,
              const struct catalog_service *before,
              const struct catalog_service *after)
{
  compare_number (subject, "connections per endpoint", before->connection_limit,
                  after->connection_limit, LOWER_TIGHTENS_0_NONE);
  compare_number (subject, "slots", before->slots, after->slots,
                  LOWER_TIGHTENS_0_NONE);
  compare_number (subject, "cold ms", (double)before->cold_ms,
                  (double)after->cold_ms, HIGHER_TIGHTENS);
  compare_number (subject, "cold requests per s", before->cold_requests_per_s,
                  after->cold_requests_per_s, LOWER_TIGHTENS_0_NONE);
  compare_number (subject, "loads per s", before->loads_per_s,
                  after->loads_per_s, NEITHER);
  compare_number (subject, "concurrent loads", before->concurrent_loads,
                  after->concurrent_loads, NEITHER);
  compare_number (subject, "cached models", before->cached_model_limit,
                  after->cached_model_limit, NEITHER);
  compare_number (subject, "open ms", (double)before->open_ms,
                  (double)after->open_ms, NEITHER);
  compare_number (subject, "step ms", before->step_ms, after->step_ms, NEITHER);
  compare_number (subject, "step per request ms", before->step_per_request_ms,
                  after->step_per_request_ms, NEITHER);
  compare_number (subject, "prompt tokens per ms",
                  before->prefill_tokens_per_ms, after->prefill_tokens_per_ms,
                  NEITHER);
  compare_number (subject, "tokens per event", before->tokens_per_event,
                  after->tokens_per_event, NEITHER);
  diff_models (subject->diff, before, after);
}

static void
diff_services (struct diff *diff)
{
  const struct name_entry *other;

  for (struct name_entry *entry = diff->before.services.names; entry != NULL;
       entry = entry->hh.next)
    {
      const struct subject subject = { diff, "service", entry->name };

      other = find_name (&diff->after.services, entry->name);
      if (other == NULL)
        emit_entry (diff, CATALOG_DROPPED, "service", entry->name);
      else
        diff_service (&subject, &diff->before.catalog->services[entry->index],
                      &diff->after.catalog->services[other->index]);
    }
  for (struct name_entry *entry = diff->after.services.names; entry != NULL;
       entry = entry->hh.next)
    if (find_name (&diff->before.services, entry->name) == NULL)
      emit_entry (diff, CATALOG_ADDED, "service", entry->name);
}

static void
format_priority (const struct catalog_customer *customer,
                 char *out,
                 size_t size)
{
  if (customer->has_priority)
    snprintf (out, size, "%u", customer->priority);
  else
    snprintf (out, size, "the route's");
}

static void
diff_customers (struct diff *diff)
{
  const struct name_entry *other;

  for (struct name_entry *entry = diff->before.customers.names; entry != NULL;
       entry = entry->hh.next)
    {
      const struct subject subject = { diff, "customer", entry->name };
      const struct catalog_customer *before
          = &diff->before.catalog->customers[entry->index];
      const struct catalog_customer *after;
      char old_priority[16];
      char new_priority[16];

      other = find_name (&diff->after.customers, entry->name);
      if (other == NULL)
        {
          emit_entry (diff, CATALOG_DROPPED, "customer", entry->name);
          continue;
        }
      after = &diff->after.catalog->customers[other->index];
      format_priority (before, old_priority, sizeof old_priority);
      format_priority (after, new_priority, sizeof new_priority);
      compare_text (&subject, "priority", old_priority, new_priority,
                    before->has_priority && after->has_priority
                        && after->priority > before->priority);
    }
  for (struct name_entry *entry = diff->after.customers.names; entry != NULL;
       entry = entry->hh.next)
    if (find_name (&diff->before.customers, entry->name) == NULL)
      emit_entry (diff, CATALOG_ADDED, "customer", entry->name);
}

static void
diff_limits (struct diff *diff)
{
  const struct catalog *before = diff->before.catalog;
  const struct catalog *after = diff->after.catalog;
  const struct subject subject = { diff, "limit", "all routes" };
  const struct subject whole = { diff, "configuration", "" };
  char old_version[24];
  char new_version[24];

  if (before->needs_keys != after->needs_keys)
    emit (diff, after->needs_keys ? CATALOG_REFUSES : CATALOG_OTHER,
          CATALOG_CHANGED, "limit", "all routes", "needs a key",
          before->needs_keys ? "yes" : "no", after->needs_keys ? "yes" : "no");
  compare_number (&subject, "head bytes", (double)before->limits.header_bytes,
                  (double)after->limits.header_bytes, LOWER_TIGHTENS);
  compare_number (&subject, "body bytes", (double)before->limits.body_bytes,
                  (double)after->limits.body_bytes, LOWER_TIGHTENS);
  compare_number (&subject, "head timeout ms",
                  (double)before->limits.header_timeout_ms,
                  (double)after->limits.header_timeout_ms, LOWER_TIGHTENS);
  compare_number (&subject, "idle timeout ms",
                  (double)before->limits.idle_timeout_ms,
                  (double)after->limits.idle_timeout_ms, LOWER_TIGHTENS);
  snprintf (old_version, sizeof old_version, "%" PRId64, before->version);
  snprintf (new_version, sizeof new_version, "%" PRId64, after->version);
  compare_text (&whole, "version", old_version, new_version, false);
}

enum result
catalog_diff (const struct catalog *before,
              const struct catalog *after,
              void (*report) (void *context,
                              const struct catalog_difference *difference),
              void *context)
{
  struct diff diff = { .report = report, .context = context };
  enum result result = side_init (&diff.before, before);

  if (result == RESULT_OK)
    result = side_init (&diff.after, after);
  for (unsigned effect = 0; effect < CATALOG_EFFECTS && result == RESULT_OK;
       effect++)
    {
      diff.effect = (enum catalog_effect)effect;
      diff_keys (&diff);
      diff_routes (&diff);
      diff_customers (&diff);
      diff_services (&diff);
      diff_limits (&diff);
    }
  side_finish (&diff.before);
  side_finish (&diff.after);
  return diff.failed ? RESULT_NO_MEMORY : result;
}
