#include "fleet.h"
#include "jsonutil.h"

#include <stdio.h>
#include <string.h>

static enum fleet_engine_state
parse_state (const char *name)
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

/* Joins a JSON array of names by ';'.  Names that do not fit are left out. */
static void
read_names (const json_t *array, char *out, size_t size)
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
  struct fleet_attestation read = { .seen_ms = seen_ms };
  char state[16];

  if (!json_is_object (json)
      || !json_read_string (json, "state", state, sizeof state))
    return RESULT_INVALID;
  json_read_string (json, "boot_id", read.boot_id, sizeof read.boot_id);
  json_read_string (json, "group", read.group, sizeof read.group);
  json_read_string (json, "model", read.model, sizeof read.model);
  json_read_string (json, "version", read.version, sizeof read.version);
  json_read_string (json, "role", read.role, sizeof read.role);
  read_names (json_object_get (json, "adapters"), read.adapters,
              sizeof read.adapters);
  json_read_u64 (json, "generation", &read.generation);
  json_read_u64 (json, "fence", &read.fence);
  read.rank = read_unsigned (json, "rank");
  read.span = read_unsigned (json, "span");
  read.running = read_unsigned (json, "running");
  read.queued = read_unsigned (json, "queued");
  read.slots = read_unsigned (json, "slots");
  read.load_age_ms = read_unsigned (json, "load_age_ms");
  read.state = parse_state (state);
  read.leaving = json_read_bool (json, "leaving", false);
  *attested = read;
  return RESULT_OK;
}
