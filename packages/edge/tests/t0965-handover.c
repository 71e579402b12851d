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

/* A hub hands a new configuration on to a host that has an earlier one. */

#define TEXT_BYTES 60000
#define PIECES_MOST 40
#define REVISION 77

static char *
make_text (unsigned changed, size_t *size)
{
  char *text = malloc (TEXT_BYTES);

  *size = 0;
  assert_non_null (text);
  for (unsigned i = 0; *size < TEXT_BYTES - 80; i++)
    *size += (size_t)snprintf (text + *size, TEXT_BYTES - *size,
                               "{\"route\":%u,\"to\":\"%s-%u\"},", i,
                               i < changed ? "other" : "llm", i * 31);
  return text;
}

static void
keep (struct config_distribution *distribution,
      int64_t version,
      unsigned changed)
{
  size_t size;
  char *text = make_text (changed, &size);

  config_distribution_add (distribution, version, REVISION, text, size);
}

enum damage
{
  NO_DAMAGE,
  PIECE_LOST,
  PIECE_TWICE,
  REVERSED,
  BYTE_CHANGED,
  OTHER_DIGEST,
  PAST_THE_END,
};

struct handover_case
{
  const char *guards;
  int64_t host_version;
  unsigned changed; /* routes, between versions 3 and 4 of the hub */
  enum damage damage;
  bool has_patch;
  bool is_taken;
};

static const struct handover_case cases[] = {
  { "a small change needs a read", 3, 1, NO_DAMAGE, true, true },
  { "a large change loses its order", 3, 400, NO_DAMAGE, true, true },
  { "pieces that overtake each other are lost", 3, 400, REVERSED, true, true },
  { "a repeated piece counts for another", 3, 400, PIECE_TWICE, true, true },
  { "half a patch is taken", 3, 400, PIECE_LOST, true, false },
  { "a damaged patch is taken", 3, 400, BYTE_CHANGED, true, false },
  { "another text is taken", 3, 400, OTHER_DIGEST, true, false },
  { "memory past the patch is written", 3, 400, PAST_THE_END, true, false },
  { "an earlier version is not kept", 2, 1, NO_DAMAGE, true, true },
  { "an unknown version gets a patch", 1, 1, NO_DAMAGE, false, false },
  { "the newest version gets a patch", 4, 1, NO_DAMAGE, false, false },
  { "a patch as long as the text is sent", 3, 9999, NO_DAMAGE, false, false },
};

static unsigned
collect (struct config_distribution *hub,
         int64_t from,
         struct gossip_patch *chunks)
{
  unsigned count = 0;

  while (count < PIECES_MOST
         && config_distribution_get_chunk (hub, from, count, &chunks[count]))
    count++;
  return count;
}

static unsigned
damage (enum damage what, struct gossip_patch *chunks, unsigned count)
{
  struct gossip_patch first = chunks[0];

  switch (what)
    {
    case NO_DAMAGE:
      break;
    case PIECE_LOST:
      return count - 1;
    case PIECE_TWICE:
      chunks[count] = first;
      return count + 1;
    case REVERSED:
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
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct handover_case *c = &cases[i];
      static struct gossip_patch chunks[PIECES_MOST + 1];
      struct config_distribution hub;
      struct config_distribution host;
      char *text = NULL;
      size_t size;
      unsigned count;

      config_distribution_init (&hub);
      config_distribution_init (&host);
      hub.serves_other_hosts = true;
      keep (&hub, 2, 7);
      keep (&hub, 3, 0);
      keep (&hub, 4, c->changed);
      keep (&host, c->host_version, c->host_version == 2 ? 7 : 0);
      count = collect (&hub, c->host_version, chunks);
      if ((count > 0) != c->has_patch)
        fail_msg ("%s: %u pieces", c->guards, count);
      count = count > 0 ? damage (c->damage, chunks, count) : 0;
      for (unsigned p = 0; p < count && text == NULL; p++)
        config_distribution_receive_chunk (&host, &chunks[p], &text, &size);
      if ((text != NULL) != c->is_taken)
        fail_msg ("%s", c->guards);
      if (text != NULL)
        {
          size_t expected_size;
          char *expected = make_text (c->changed, &expected_size);

          assert_int_equal (size, expected_size);
          assert_memory_equal (text, expected, size);
          free (expected);
          free (text);
        }
      config_distribution_finish (&hub);
      config_distribution_finish (&host);
    }
}

/* A patch is for the configuration in force, and never leads back. */
static void
test_other_configuration (void **state)
{
  static struct gossip_patch chunks[PIECES_MOST];
  struct config_distribution hub;
  struct config_distribution host;
  char *text;
  size_t size;

  (void)state;
  config_distribution_init (&hub);
  config_distribution_init (&host);
  hub.serves_other_hosts = true;
  keep (&hub, 3, 0);
  keep (&hub, 4, 1);
  assert_int_equal (collect (&hub, 3, chunks), 1);
  assert_int_equal (
      config_distribution_receive_chunk (&host, &chunks[0], &text, &size),
      RESULT_INVALID);
  keep (&host, 3, 0);
  keep (&host, 5, 2);
  assert_int_equal (
      config_distribution_receive_chunk (&host, &chunks[0], &text, &size),
      RESULT_INVALID);
  assert_null (text);
  assert_int_equal (host.count, 1);
  /* Kept texts stay bounded, and an older one is not kept. */
  host.serves_other_hosts = true;
  for (int64_t version = 1; version < 100; version++)
    keep (&host, version, 0);
  assert_in_range (host.count, 2, CONFIG_DISTRIBUTION_VERSIONS);
  assert_int_equal (host.kept[0].version, 99);
  config_distribution_finish (&hub);
  config_distribution_finish (&host);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_other_configuration),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
