#include "peer-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECEIVERS_LIMIT 128 /* entry hosts of one data centre */

/* One strike on its way to the live members of our data centre. */
struct peer_spread
{
  char fingerprint[MEMBER_NAME_SIZE];
  char host[MEMBER_NAME_SIZE];
  char boot_id[MEMBER_NAME_SIZE];
  int64_t started_ms;
  int64_t next_send_ms;
  struct
  {
    char host[MEMBER_NAME_SIZE];
    bool acknowledged;
  } receivers[RECEIVERS_LIMIT];
  size_t receiver_count;
  size_t missing;
  void (*done) (void *context);
  void *context;
  struct peer_spread *next;
};

void
peer_strike_acknowledged (struct peer_node *node,
                          struct peer_spread *spread,
                          const char *host)
{
  (void)node;
  for (size_t i = 0; i < spread->receiver_count; i++)
    if (!spread->receivers[i].acknowledged
        && strcmp (spread->receivers[i].host, host) == 0)
      {
        spread->receivers[i].acknowledged = true;
        spread->missing--;
      }
}

static void
send_strike (struct peer_node *node,
             struct peer_spread *spread,
             const char *receiver,
             int64_t now_ms)
{
  const struct member *member = member_find (node->members, receiver);
  struct peer_strike strike = { .fingerprint = spread->fingerprint,
                                .host = spread->host,
                                .boot_id = spread->boot_id };
  peer_strikes strikes
      = { .entries = { .entries_len = 1, .entries_val = &strike } };
  struct peer_header header;
  struct peer_call *call;

  if (member == NULL)
    return;
  call = peer_call_add (node, PEER_CALL_STRIKE, now_ms);
  if (call == NULL)
    return;
  call->spread = spread;
  peer_fill_header (node, &header, true, call->xid, PEER_STRIKES);
  peer_udp_send_member (node, member, &header, (xdrproc_t)xdr_peer_strikes,
                        &strikes);
}

static void
send_missing (struct peer_node *node,
              struct peer_spread *spread,
              int64_t now_ms)
{
  spread->next_send_ms = now_ms + PEER_STRIKE_RETRY_MS;
  for (size_t i = 0; i < spread->receiver_count; i++)
    if (!spread->receivers[i].acknowledged)
      send_strike (node, spread, spread->receivers[i].host, now_ms);
}

static void
collect_receivers (struct peer_node *node, struct peer_spread *spread)
{
  for (const struct member *member = node->members->members; member != NULL;
       member = member->hh.next)
    if (spread->receiver_count < RECEIVERS_LIMIT && member_is_live (member)
        && strcmp (member->info.data_centre, node->members->self.data_centre)
               == 0)
      snprintf (spread->receivers[spread->receiver_count++].host,
                MEMBER_NAME_SIZE, "%s", member->info.host);
  spread->missing = spread->receiver_count;
}

void
peer_send_strike (struct peer_node *node,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id,
                  int64_t now_ms,
                  void (*done) (void *context),
                  void *context)
{
  struct peer_spread *spread = calloc (1, sizeof *spread);

  if (spread == NULL)
    {
      /* Without memory the waiting time cannot be kept; the two candidate
       * groups of a request still bound the damage. */
      if (done != NULL)
        done (context);
      return;
    }
  snprintf (spread->fingerprint, sizeof spread->fingerprint, "%s", fingerprint);
  snprintf (spread->host, sizeof spread->host, "%s", host);
  snprintf (spread->boot_id, sizeof spread->boot_id, "%s", boot_id);
  spread->started_ms = now_ms;
  spread->done = done;
  spread->context = context;
  collect_receivers (node, spread);
  spread->next = node->spreads;
  node->spreads = spread;
  send_missing (node, spread, now_ms);
}

/* Calls that still wait for this spread lose their reference to it. */
static void
drop_calls (struct peer_node *node, const struct peer_spread *spread)
{
  struct peer_call *call = node->calls;

  while (call != NULL)
    {
      struct peer_call *next = call->hh.next;

      if (call->kind == PEER_CALL_STRIKE && call->spread == spread)
        peer_call_remove (node, call);
      call = next;
    }
}

void
peer_strikes_tick (struct peer_node *node, int64_t now_ms)
{
  struct peer_spread **link = &node->spreads;

  while (*link != NULL)
    {
      struct peer_spread *spread = *link;

      if (spread->missing == 0
          || now_ms - spread->started_ms >= PEER_CALL_TIMEOUT_MS)
        {
          *link = spread->next;
          drop_calls (node, spread);
          if (spread->done != NULL)
            spread->done (spread->context);
          free (spread);
          continue;
        }
      if (now_ms >= spread->next_send_ms)
        send_missing (node, spread, now_ms);
      link = &spread->next;
    }
}

void
peer_strikes_finish (struct peer_node *node)
{
  while (node->spreads != NULL)
    {
      struct peer_spread *spread = node->spreads;

      node->spreads = spread->next;
      free (spread);
    }
}
