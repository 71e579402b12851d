#include "config-store.h"

#include "records.h"
#include "timeutil.h"
#include "users-platform.h"

#include <stdlib.h>
#include <string.h>

/* How often calls that timed out are ended. */
#define TICK_US 50000L
/* A list of more pages is refused, since it might never end. */
#define PAGE_LIMIT 1000

struct read
{
  struct cli *cli;
  struct config_store *store;
  struct records records;
  enum result result;
  bool more;
  char *last_name; /* of the page, if there are more */
};

void
config_store_init (struct config_store *store)
{
  memset (store, 0, sizeof *store);
  text_pool_init (&store->texts);
}

void
config_store_finish (struct config_store *store)
{
  catalog_unref (store->catalog);
  free (store->supply.endpoints);
  text_pool_finish (&store->texts);
  memset (store, 0, sizeof *store);
}

static void
end_call (struct read *read, enum result result)
{
  read->result = result;
  event_base_loopbreak (read->cli->base);
}

static void
on_tick (evutil_socket_t fd, short events, void *context)
{
  struct read *read = context;

  (void)fd;
  (void)events;
  records_tick (&read->records, time_boot_ms ());
}

static void
call (struct read *read,
      const struct records_request *request,
      void (*done) (void *context, const struct records_response *response))
{
  /* A callback that runs inside records_call sets the result at once. */
  read->result = RESULT_CANCELLED;
  records_call (&read->records, request, read->cli->timeout_ms, done, read);
  while (read->result == RESULT_CANCELLED)
    event_base_dispatch (read->cli->base);
}

static void
on_configuration (void *context, const struct records_response *response)
{
  struct read *read = context;
  enum result result = response->result;

  if (result == RESULT_OK && response->record == NULL)
    result = RESULT_PLATFORM_BAD_ANSWER;
  if (result == RESULT_OK
      && users_platform.decode_catalog (response->record->value,
                                        &read->store->catalog)
             != RESULT_OK)
    result = RESULT_PLATFORM_BAD_ANSWER;
  end_call (read, result == RESULT_PLATFORM_NOT_FOUND ? RESULT_OK : result);
}

static void
on_endpoints (void *context, const struct records_response *response)
{
  struct read *read = context;
  struct config_supply *supply = &read->store->supply;
  struct endpoint_report *grown;

  read->more = response->more;
  if (response->result != RESULT_OK)
    {
      end_call (read, response->result);
      return;
    }
  if (response->more && response->last_name == NULL)
    {
      end_call (read, RESULT_PLATFORM_BAD_ANSWER);
      return;
    }
  free (read->last_name);
  read->last_name = response->more ? strdup (response->last_name) : NULL;
  if (response->more && read->last_name == NULL)
    {
      end_call (read, RESULT_NO_MEMORY);
      return;
    }
  grown = reallocarray (supply->endpoints, supply->count + response->count + 1,
                        sizeof *grown);
  if (grown == NULL)
    {
      end_call (read, RESULT_NO_MEMORY);
      return;
    }
  supply->endpoints = grown;
  read->store->skipped += response->skipped;
  for (unsigned i = 0; i < response->count; i++)
    if (users_platform.decode_endpoint (response->list[i].value,
                                        &grown[supply->count])
        == RESULT_OK)
      endpoint_report_keep (&grown[supply->count++], &read->store->texts);
    else
      read->store->skipped++;
  end_call (read, read->store->texts.failed ? RESULT_NO_MEMORY : RESULT_OK);
}

static enum result
read_endpoints (struct read *read)
{
  struct records_request request
      = { .verb = RECORDS_LIST, .kind = RECORDS_ENDPOINTS };

  for (unsigned page = 0; page < PAGE_LIMIT; page++)
    {
      call (read, &request, on_endpoints);
      if (read->result != RESULT_OK || !read->more)
        return read->result;
      request.after = read->last_name;
    }
  return RESULT_PLATFORM_BAD_ANSWER;
}

enum result
config_store_read (struct cli *cli, struct config_store *store)
{
  const struct records_request request
      = { .verb = RECORDS_READ,
          .kind = RECORDS_CONFIGURATION,
          .name = users_platform.configuration_name };
  const struct timeval interval = { .tv_usec = TICK_US };
  struct read read = { .cli = cli, .store = store };
  struct event *tick = event_new (cli->base, -1, EV_PERSIST, on_tick, &read);

  if (tick == NULL || event_add (tick, &interval) != 0)
    {
      if (tick != NULL)
        event_free (tick);
      return RESULT_NO_MEMORY;
    }
  records_init (&read.records, cli->base, users_platform.records,
                cli->store.host, cli->store.port);
  call (&read, &request, on_configuration);
  if (read.result == RESULT_OK)
    read.result = read_endpoints (&read);
  records_finish (&read.records);
  free (read.last_name);
  event_free (tick);
  /* Connections free their memory from the event loop. */
  event_base_loop (cli->base, EVLOOP_NONBLOCK);
  return read.result;
}
