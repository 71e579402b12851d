#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config-distribution.h"
#include "log.h"

/* A hub sends a new configuration as a patch to a host with an earlier one. */

#define TEXT_BYTES 60000
#define MAX_CHUNKS 40
#define RECORD_REVISION 77

static char *
make_text (unsigned changed_routes, size_t *size)
{
  char *text = malloc (TEXT_BYTES);

  *size = 0;
  assert_non_null (text);
  for (unsigned i = 0; *size < TEXT_BYTES - 80; i++)
    *size += (size_t)snprintf (text + *size, TEXT_BYTES - *size,
                               "{\"route\":%u,\"to\":\"%s-%u\"},", i,
                               i < changed_routes ? "other" : "llm", i * 31);
  return text;
}

static void
add_version (struct config_distribution *distribution,
             int64_t version,
             unsigned changed_routes)
{
  size_t size;
  char *text = make_text (changed_routes, &size);

  config_distribution_add (distribution, version, RECORD_REVISION, text, size);
}

enum damage_kind
{
  NO_DAMAGE,
  CHUNK_LOST,
  CHUNK_REPEATED,
  CHUNKS_REVERSED,
  BYTE_CHANGED,
  OTHER_DIGEST,
  PAST_THE_END,
};

struct distribution_case
{
  const char *guards; /* failure that the case guards against */
  int64_t host_version;
  unsigned changed_routes; /* routes, between versions 3 and 4 of the hub */
  enum damage_kind damage_kind;
  bool has_patch;
  bool is_applied;
};

static const struct distribution_case distribution_cases[] = {
  { "a small change is not patched", 3, 1, NO_DAMAGE, true, true },
  { "a patch of several chunks fails", 3, 400, NO_DAMAGE, true, true },
  { "chunks in another order are lost", 3, 400, CHUNKS_REVERSED, true, true },
  { "a repeated chunk counts as another one", 3, 400, CHUNK_REPEATED, true,
    true },
  { "an incomplete patch is applied", 3, 400, CHUNK_LOST, true, false },
  { "a damaged patch is applied", 3, 400, BYTE_CHANGED, true, false },
  { "a text with another digest is accepted", 3, 400, OTHER_DIGEST, true,
    false },
  { "a chunk past the end is written", 3, 400, PAST_THE_END, true, false },
  { "an earlier version is not kept", 2, 1, NO_DAMAGE, true, true },
  { "a patch from an unknown version is sent", 1, 1, NO_DAMAGE, false, false },
  { "a patch from the newest version is sent", 4, 1, NO_DAMAGE, false, false },
  { "a patch as long as the text is sent", 3, 9999, NO_DAMAGE, false, false },
};

static unsigned
collect_chunks (struct config_distribution *hub,
                int64_t from,
                struct gossip_patch *chunks)
{
  unsigned count = 0;

  while (count < MAX_CHUNKS
         && config_distribution_get_chunk (hub, from, count, &chunks[count]))
    count++;
  return count;
}

static unsigned
damage_chunks (enum damage_kind kind,
               struct gossip_patch *chunks,
               unsigned count)
{
  struct gossip_patch first = chunks[0];

  switch (kind)
    {
    case NO_DAMAGE:
      break;
    case CHUNK_LOST:
      return count - 1;
    case CHUNK_REPEATED:
      chunks[count] = first;
      return count + 1;
    case CHUNKS_REVERSED:
      for (unsigned i = 0; i < count / 2; i++)
        {
          struct gossip_patch other = chunks[i];

          chunks[i] = chunks[count - 1 - i];
          chunks[count - 1 - i] = other;
        }
      break;
    case BYTE_CHANGED:
      chunks[0].bytes[40] ^= 1;
      break;
    case OTHER_DIGEST:
      for (unsigned i = 0; i < count; i++)
        chunks[i].digest++;
      break;
    case PAST_THE_END:
      for (unsigned i = 0; i < count; i++)
        chunks[i].count = GOSSIP_PATCH_BYTES + chunks[i].total;
      break;
    }
  return count;
}

static void
test_distribution (void **state)
{
  (void)state;
  for (size_t i = 0;
       i < sizeof distribution_cases / sizeof distribution_cases[0]; i++)
    {
      const struct distribution_case *c = &distribution_cases[i];
      static struct gossip_patch chunks[MAX_CHUNKS + 1];
      struct config_distribution hub;
      struct config_distribution host;
      char *text = NULL;
      size_t size;
      unsigned count;

      config_distribution_init (&hub);
      config_distribution_init (&host);
      hub.serves_other_hosts = true;
      add_version (&hub, 2, 7);
      add_version (&hub, 3, 0);
      add_version (&hub, 4, c->changed_routes);
      add_version (&host, c->host_version, c->host_version == 2 ? 7 : 0);
      count = collect_chunks (&hub, c->host_version, chunks);
      if ((count > 0) != c->has_patch)
        fail_msg ("%s: %u chunks", c->guards, count);
      count = count > 0 ? damage_chunks (c->damage_kind, chunks, count) : 0;
      for (unsigned n = 0; n < count && text == NULL; n++)
        config_distribution_receive_chunk (&host, &chunks[n], &text, &size);
      if ((text != NULL) != c->is_applied)
        fail_msg ("%s", c->guards);
      if (text != NULL)
        {
          size_t expected_size;
          char *expected = make_text (c->changed_routes, &expected_size);

          assert_int_equal (size, expected_size);
          assert_memory_equal (text, expected, size);
          free (expected);
          free (text);
        }
      config_distribution_finish (&hub);
      config_distribution_finish (&host);
    }
}

/* A patch must start at the version in force and lead to a newer one. */
static void
test_wrong_version (void **state)
{
  static struct gossip_patch chunks[MAX_CHUNKS];
  struct config_distribution hub;
  struct config_distribution host;
  char *text;
  size_t size;

  (void)state;
  config_distribution_init (&hub);
  config_distribution_init (&host);
  hub.serves_other_hosts = true;
  add_version (&hub, 3, 0);
  add_version (&hub, 4, 1);
  assert_int_equal (collect_chunks (&hub, 3, chunks), 1);
  assert_int_equal (
      config_distribution_receive_chunk (&host, &chunks[0], &text, &size),
      RESULT_INVALID);
  add_version (&host, 3, 0);
  add_version (&host, 5, 2);
  assert_int_equal (
      config_distribution_receive_chunk (&host, &chunks[0], &text, &size),
      RESULT_INVALID);
  assert_null (text);
  assert_int_equal (host.count, 1);
  /* The number of kept texts is bounded; an older version is not kept. */
  host.serves_other_hosts = true;
  for (int64_t version = 1; version < 100; version++)
    add_version (&host, version, 0);
  assert_in_range (host.count, 2, CONFIG_DISTRIBUTION_VERSIONS);
  assert_int_equal (host.kept[0].version, 99);
  config_distribution_finish (&hub);
  config_distribution_finish (&host);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_distribution),
    cmocka_unit_test (test_wrong_version),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
