#include "peer-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECEIVERS_LIMIT 128 /* entry hosts of one data centre */

/* One strike or answer that is sent to live members of our data centre. */
struct peer_broadcast
{
  /* PEER_STRIKES, PEER_ANSWERS or PEER_TOLD_STRIKES */
  uint32_t procedure;
  char trait[MEMBER_NAME_SIZE];
  char host[MEMBER_NAME_SIZE];
  char boot_id[MEMBER_NAME_SIZE];
  int64_t at_ms; /* of a strike that is told to a peer that joins */
  int64_t started_ms;
  int64_t next_send_ms;
  struct
  {
    char host[MEMBER_NAME_SIZE];
    bool acknowledged;
  } receivers[RECEIVERS_LIMIT];
  size_t receiver_count;
  size_t unacknowledged_count;
  void (*done) (void *context);
  void *context;
  struct peer_broadcast *next;
};

void
peer_record_strike_ack (struct peer_broadcast *broadcast, const char *host)
{
  for (size_t i = 0; i < broadcast->receiver_count; i++)
    if (!broadcast->receivers[i].acknowledged
        && strcmp (broadcast->receivers[i].host, host) == 0)
      {
        broadcast->receivers[i].acknowledged = true;
        broadcast->unacknowledged_count--;
      }
}

/* Sends the strikes with their ages, or that these were all. */
static void
send_told_strike (struct peer_node *node,
                  const struct peer_broadcast *broadcast,
                  const struct peer_strike *strike,
                  const struct member *member,
                  const struct peer_header *header,
                  int64_t now_ms)
{
  struct peer_told_strike told
      = { .strike = *strike, .age_ms = (u_int)(now_ms - broadcast->at_ms) };
  peer_told_strikes strikes
      = { .entries = { .entries_len = strike->fingerprint[0] != '\0' ? 1 : 0,
                       .entries_val = &told } };

  peer_udp_send_member (node, member, header, (xdrproc_t)xdr_peer_told_strikes,
                        &strikes);
}

static void
send_strike (struct peer_node *node,
             struct peer_broadcast *broadcast,
             const char *receiver,
             int64_t now_ms)
{
  const struct member *member = member_find (node->members, receiver);
  struct peer_strike strike = { .fingerprint = broadcast->trait,
                                .host = broadcast->host,
                                .boot_id = broadcast->boot_id };
  peer_strikes strikes
      = { .entries = { .entries_len = 1, .entries_val = &strike } };
  struct peer_header header;
  struct peer_call *call;

  if (member == NULL)
    return;
  call = peer_call_add (node, PEER_CALL_STRIKE, now_ms);
  if (call == NULL)
    return;
  call->broadcast = broadcast;
  peer_fill_header (node, &header, true, call->xid, broadcast->procedure);
  if (broadcast->procedure == PEER_TOLD_STRIKES)
    send_told_strike (node, broadcast, &strike, member, &header, now_ms);
  else
    peer_udp_send_member (node, member, &header, (xdrproc_t)xdr_peer_strikes,
                          &strikes);
}

static void
send_unacknowledged (struct peer_node *node,
                     struct peer_broadcast *broadcast,
                     int64_t now_ms)
{
  broadcast->next_send_ms = now_ms + PEER_STRIKE_RETRY_INTERVAL_MS;
  for (size_t i = 0; i < broadcast->receiver_count; i++)
    if (!broadcast->receivers[i].acknowledged)
      send_strike (node, broadcast, broadcast->receivers[i].host, now_ms);
}

static void
collect_receivers (struct peer_node *node,
                   struct peer_broadcast *broadcast,
                   const char *receiver)
{
  for (const struct member *member = node->members->members; member != NULL;
       member = member->hh.next)
    if (broadcast->receiver_count < RECEIVERS_LIMIT && member_is_live (member)
        && strcmp (member->info.data_centre, node->members->self.data_centre)
               == 0
        && (receiver == NULL || strcmp (member->info.host, receiver) == 0))
      snprintf (broadcast->receivers[broadcast->receiver_count++].host,
                MEMBER_NAME_SIZE, "%s", member->info.host);
  broadcast->unacknowledged_count = broadcast->receiver_count;
}

/* receiver is NULL for all live members; done may be NULL. */
static void
start_broadcast (struct peer_node *node,
                 uint32_t procedure,
                 const char *receiver,
                 const struct peer_strike *strike,
                 int64_t at_ms,
                 int64_t now_ms,
                 void (*done) (void *context),
                 void *context)
{
  struct peer_broadcast *broadcast = calloc (1, sizeof *broadcast);

  if (broadcast == NULL)
    {
      /* Memory is short, so the acknowledgements cannot be awaited; the two
       * candidate groups of a request still bound the damage. */
      if (done != NULL)
        done (context);
      return;
    }
  broadcast->procedure = procedure;
  snprintf (broadcast->trait, sizeof broadcast->trait, "%s",
            strike->fingerprint);
  snprintf (broadcast->host, sizeof broadcast->host, "%s", strike->host);
  snprintf (broadcast->boot_id, sizeof broadcast->boot_id, "%s",
            strike->boot_id);
  broadcast->at_ms = at_ms;
  broadcast->started_ms = now_ms;
  broadcast->done = done;
  broadcast->context = context;
  collect_receivers (node, broadcast, receiver);
  broadcast->next = node->broadcasts;
  node->broadcasts = broadcast;
  send_unacknowledged (node, broadcast, now_ms);
}

void
peer_send_strike (struct peer_node *node,
                  const char *trait,
                  const char *host,
                  const char *boot_id,
                  int64_t now_ms,
                  void (*done) (void *context),
                  void *context)
{
  const struct peer_strike strike = { .fingerprint = (char *)trait,
                                      .host = (char *)host,
                                      .boot_id = (char *)boot_id };

  start_broadcast (node, PEER_STRIKES, NULL, &strike, now_ms, now_ms, done,
                   context);
}

void
peer_tell_strike (struct peer_node *node,
                  const char *receiver,
                  const char *trait,
                  const char *host,
                  const char *boot_id,
                  int64_t at_ms,
                  int64_t now_ms,
                  void (*done) (void *context),
                  void *context)
{
  const struct peer_strike strike = { .fingerprint = (char *)trait,
                                      .host = (char *)host,
                                      .boot_id = (char *)boot_id };

  start_broadcast (node, PEER_TOLD_STRIKES, receiver, &strike, at_ms, now_ms,
                   done, context);
}

void
peer_send_answer (struct peer_node *node, const char *trait, int64_t now_ms)
{
  char none[] = "";
  const struct peer_strike strike
      = { .fingerprint = (char *)trait, .host = none, .boot_id = none };

  start_broadcast (node, PEER_ANSWERS, NULL, &strike, now_ms, now_ms, NULL,
                   NULL);
}

void
peer_send_strikes_told (struct peer_node *node,
                        const char *receiver,
                        int64_t now_ms)
{
  char none[] = "";
  const struct peer_strike strike
      = { .fingerprint = none, .host = none, .boot_id = none };

  start_broadcast (node, PEER_TOLD_STRIKES, receiver, &strike, now_ms, now_ms,
                   NULL, NULL);
}

/* Removes the pending calls that refer to this broadcast. */
static void
remove_calls (struct peer_node *node, const struct peer_broadcast *broadcast)
{
  struct peer_call *call = node->calls;

  while (call != NULL)
    {
      struct peer_call *next = call->hh.next;

      if (call->kind == PEER_CALL_STRIKE && call->broadcast == broadcast)
        peer_call_remove (node, call);
      call = next;
    }
}

void
peer_strikes_tick (struct peer_node *node, int64_t now_ms)
{
  struct peer_broadcast **link = &node->broadcasts;

  while (*link != NULL)
    {
      struct peer_broadcast *broadcast = *link;

      if (broadcast->unacknowledged_count == 0
          || now_ms - broadcast->started_ms >= PEER_CALL_TIMEOUT_MS)
        {
          *link = broadcast->next;
          remove_calls (node, broadcast);
          if (broadcast->done != NULL)
            broadcast->done (broadcast->context);
          free (broadcast);
          continue;
        }
      if (now_ms >= broadcast->next_send_ms)
        send_unacknowledged (node, broadcast, now_ms);
      link = &broadcast->next;
    }
}

void
peer_strikes_finish (struct peer_node *node)
{
  while (node->broadcasts != NULL)
    {
      struct peer_broadcast *broadcast = node->broadcasts;

      node->broadcasts = broadcast->next;
      free (broadcast);
    }
}
