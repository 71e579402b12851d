#include "peer-internal.h"

#include <stdlib.h>
#include <string.h>

struct peer_call *
peer_call_add (struct peer_node *node, enum peer_call_kind kind, int64_t now_ms)
{
  struct peer_call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->xid = ++node->next_xid;
  call->kind = kind;
  call->sent_ms = now_ms;
  HASH_ADD (hh, node->calls, xid, sizeof call->xid, call);
  return call;
}

struct peer_call *
peer_call_find (struct peer_node *node, uint32_t xid)
{
  struct peer_call *call;

  HASH_FIND (hh, node->calls, &xid, sizeof xid, call);
  return call;
}

void
peer_call_remove (struct peer_node *node, struct peer_call *call)
{
  HASH_DEL (node->calls, call);
  free (call);
}
