#include "fleet.h"
#include "jsonutil.h"

#include <stdio.h>
#include <string.h>

static enum fleet_engine_state
parse_engine_state (const char *name)
{
  if (strcmp (name, "idle") == 0)
    return FLEET_ENGINE_IDLE;
  if (strcmp (name, "loading") == 0)
    return FLEET_ENGINE_LOADING;
  if (strcmp (name, "ready") == 0)
    return FLEET_ENGINE_READY;
  return FLEET_ENGINE_UNKNOWN;
}

static unsigned
read_unsigned (const json_t *json, const char *key)
{
  uint64_t value;

  json_read_u64 (json, key, &value);
  return value > UINT32_MAX ? UINT32_MAX : (unsigned)value;
}

/* Joins a JSON array of names with ';'; omits names that do not fit. */
static void
join_names (const json_t *array, char *out, size_t size)
{
  const json_t *name;
  size_t used = 0;
  size_t i;

  out[0] = '\0';
  json_array_foreach (array, i, name)
    {
      const char *text = json_string_value (name);
      size_t length = text != NULL ? strlen (text) : 0;

      if (length == 0 || used + length + 2 > size)
        continue;
      if (used > 0)
        out[used++] = ';';
      memcpy (out + used, text, length + 1);
      used += length;
    }
}

enum result
fleet_attestation_from_json (struct fleet_attestation *attested,
                             const json_t *json,
                             int64_t seen_ms)
{
  struct fleet_attestation parsed = { .seen_ms = seen_ms };
  char state[16];

  if (!json_is_object (json)
      || !json_read_string (json, "state", state, sizeof state))
    return RESULT_INVALID;
  json_read_string (json, "boot_id", parsed.boot_id, sizeof parsed.boot_id);
  json_read_string (json, "group", parsed.group, sizeof parsed.group);
  json_read_string (json, "model", parsed.model, sizeof parsed.model);
  json_read_string (json, "version", parsed.version, sizeof parsed.version);
  json_read_string (json, "role", parsed.role, sizeof parsed.role);
  join_names (json_object_get (json, "adapters"), parsed.adapters,
              sizeof parsed.adapters);
  json_read_u64 (json, "generation", &parsed.generation);
  json_read_u64 (json, "fence", &parsed.fence);
  parsed.rank = read_unsigned (json, "rank");
  parsed.span = read_unsigned (json, "span");
  parsed.running = read_unsigned (json, "running");
  parsed.queued = read_unsigned (json, "queued");
  parsed.slots = read_unsigned (json, "slots");
  parsed.load_age_ms = read_unsigned (json, "load_age_ms");
  parsed.state = parse_engine_state (state);
  parsed.leaving = json_read_bool (json, "leaving", false);
  *attested = parsed;
  return RESULT_OK;
}
