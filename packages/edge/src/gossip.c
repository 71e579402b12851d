#include "gossip.h"

#include <rpc/rpc.h>
#include <string.h>

static bool
code_text (XDR *xdr, char *text, u_int size)
{
  return xdr_string (xdr, &text, size - 1) != 0;
}

static bool
code_flag (XDR *xdr, bool *flag)
{
  bool_t value = *flag;

  if (!xdr_bool (xdr, &value))
    return false;
  *flag = value != 0;
  return true;
}

static bool
code_count (XDR *xdr, unsigned *count, unsigned limit)
{
  return xdr_u_int (xdr, count) && *count <= limit;
}

static bool
code_load (XDR *xdr, struct gossip_load *load)
{
  return xdr_uint64_t (xdr, &load->endpoint)
         && xdr_uint32_t (xdr, &load->running)
         && xdr_uint32_t (xdr, &load->reading)
         && xdr_uint32_t (xdr, &load->silent_ms)
         && code_flag (xdr, &load->stands_still);
}

static bool
code_loads (XDR *xdr, struct gossip_message *message)
{
  if (!xdr_uint32_t (xdr, &message->first)
      || !xdr_uint32_t (xdr, &message->total)
      || !code_count (xdr, &message->load_count, GOSSIP_LOADS))
    return false;
  for (unsigned i = 0; i < message->load_count; i++)
    if (!code_load (xdr, &message->loads[i]))
      return false;
  return true;
}

static bool
code_staged (XDR *xdr, struct endpoint_report *report)
{
  if (!code_count (xdr, &report->staged_count, ENDPOINTS_STAGED_LIMIT))
    return false;
  for (unsigned i = 0; i < report->staged_count; i++)
    if (!code_text (xdr, report->staged[i], sizeof report->staged[i]))
      return false;
  return true;
}

static bool
code_report (XDR *xdr, struct gossip_message *message)
{
  struct endpoint_report *report = &message->report;
  int state = (int)report->state;
  bool good = code_text (xdr, message->endpoint, sizeof message->endpoint)
              && xdr_uint64_t (xdr, &message->revision)
              && code_text (xdr, report->service, sizeof report->service)
              && code_text (xdr, report->address, sizeof report->address)
              && xdr_u_short (xdr, &report->port)
              && code_text (xdr, report->data_centre,
                            sizeof report->data_centre)
              && code_text (xdr, report->domain, sizeof report->domain)
              && xdr_u_int (xdr, &report->slots)
              && code_flag (xdr, &report->leaving)
              && xdr_int64_t (xdr, &report->started_ms)
              && xdr_uint64_t (xdr, &report->orders)
              && code_staged (xdr, report)
              && code_text (xdr, report->model, sizeof report->model)
              && code_text (xdr, report->group, sizeof report->group)
              && xdr_uint64_t (xdr, &report->epoch)
              && xdr_u_int (xdr, &report->rank) && xdr_int (xdr, &state);

  if (!good || state < ENDPOINT_GROUP_NONE || state > ENDPOINT_GROUP_BROKEN)
    return false;
  report->state = (enum endpoint_group_state)state;
  return true;
}

static bool
code_message (XDR *xdr, struct gossip_message *message)
{
  uint32_t version = GOSSIP_VERSION;
  int kind = (int)message->kind;

  if (!xdr_uint32_t (xdr, &version) || version != GOSSIP_VERSION
      || !xdr_int (xdr, &kind)
      || !code_text (xdr, message->host, sizeof message->host)
      || !code_text (xdr, message->data_centre, sizeof message->data_centre)
      || !xdr_uint64_t (xdr, &message->boot)
      || !xdr_uint32_t (xdr, &message->sequence)
      || !code_flag (xdr, &message->traffic))
    return false;
  message->kind = (enum gossip_kind)kind;
  switch (message->kind)
    {
    case GOSSIP_LOAD:
      return code_loads (xdr, message);
    case GOSSIP_REPORT:
      return code_report (xdr, message);
    }
  return false;
}

size_t
gossip_encode (struct gossip_message *message, void *buffer, size_t size)
{
  XDR xdr;

  xdrmem_create (&xdr, buffer, (u_int)size, XDR_ENCODE);
  return code_message (&xdr, message) ? xdr_getpos (&xdr) : 0;
}

enum result
gossip_decode (struct gossip_message *message, const void *buffer, size_t size)
{
  XDR xdr;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)buffer, (u_int)size, XDR_DECODE);
  if (!code_message (&xdr, message) || xdr_getpos (&xdr) != size)
    return RESULT_PEER_BAD_MESSAGE;
  return RESULT_OK;
}
