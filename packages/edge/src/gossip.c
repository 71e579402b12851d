#include "gossip.h"

#include <rpc/rpc.h>
#include <string.h>

/*
 * A datagram is late by so many others at most, about a minute at 1,000 a
 * second.  One that seems to be later follows a newer number that was damaged
 * on the way, and its process must not be ignored until it comes to that
 * number.
 */
#define LATE_LIMIT 65536

bool
gossip_is_late (uint32_t newest, uint32_t sequence)
{
  return newest - sequence < LATE_LIMIT;
}

/*
 * The code_ functions encode or decode, according to the direction of the XDR
 * stream.  They return false if the data does not fit or is invalid.
 */

static bool
code_text (XDR *xdr, char *text, u_int size)
{
  return xdr_string (xdr, &text, size - 1) != 0;
}

/*
 * The texts of a report have any length; those that are received are kept in
 * the message.  Each takes more bytes encoded than in texts.
 */
static bool
code_report_text (XDR *xdr, struct gossip_report *report, const char **text)
{
  char *bytes;
  size_t left;

  if (xdr->x_op == XDR_ENCODE)
    {
      bytes = (char *)(*text != NULL ? *text : "");
      return xdr_string (xdr, &bytes, GOSSIP_DATAGRAM_LIMIT_BYTES) != 0;
    }
  left = sizeof report->texts - report->texts_size;
  bytes = report->texts + report->texts_size;
  if (left == 0 || !xdr_string (xdr, &bytes, (u_int)left - 1))
    return false;
  report->texts_size += strlen (bytes) + 1;
  *text = bytes;
  return true;
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
code_count (XDR *xdr, uint32_t *count, unsigned limit)
{
  return xdr_uint32_t (xdr, count) && *count <= limit;
}

static bool
code_lease (XDR *xdr, struct gossip_loads *loads)
{
  struct lease_value *lease = &loads->lease;

  if (!xdr_uint64_t (xdr, &loads->lease_version))
    return false;
  return loads->lease_version == 0
         || (code_text (xdr, lease->holder, sizeof lease->holder)
             && xdr_uint64_t (xdr, &lease->fence)
             && xdr_uint64_t (xdr, &lease->ttl_ms)
             && xdr_uint64_t (xdr, &lease->seq));
}

/* Flags of a load. */
#define LOAD_FLAG_STALLED 1U
#define LOAD_FLAG_LEAVING 2U
#define LOAD_FLAG_LIMIT 4U
/* Encoded sizes of a load, and of its request limit. */
#define LOAD_BYTES 24
#define LOAD_LIMIT_BYTES 16

static bool
code_load_flags (XDR *xdr, struct gossip_load *load)
{
  uint32_t flags = (load->is_stalled ? LOAD_FLAG_STALLED : 0)
                   | (load->is_leaving ? LOAD_FLAG_LEAVING : 0)
                   | (load->has_limit ? LOAD_FLAG_LIMIT : 0);
  const uint32_t known
      = LOAD_FLAG_STALLED | LOAD_FLAG_LEAVING | LOAD_FLAG_LIMIT;

  if (!xdr_uint32_t (xdr, &flags) || (flags & ~known) != 0)
    return false;
  load->is_stalled = (flags & LOAD_FLAG_STALLED) != 0;
  load->is_leaving = (flags & LOAD_FLAG_LEAVING) != 0;
  load->has_limit = (flags & LOAD_FLAG_LIMIT) != 0;
  return true;
}

static bool
code_load_limit (XDR *xdr, struct gossip_load *load)
{
  return !load->has_limit
         || (xdr_uint32_t (xdr, &load->limit_per_1000_s)
             && xdr_uint32_t (xdr, &load->limit_age_ms)
             && xdr_uint32_t (xdr, &load->sent_millionths)
             && xdr_uint32_t (xdr, &load->wanted_millionths));
}

unsigned
gossip_count_fitting_loads (const struct gossip_load *loads, unsigned count)
{
  unsigned bytes = 0;
  unsigned fitting = 0;

  while (fitting < count)
    {
      bytes += LOAD_BYTES + (loads[fitting].has_limit ? LOAD_LIMIT_BYTES : 0);
      if (bytes > GOSSIP_LOAD_LIMIT * LOAD_BYTES)
        break;
      fitting++;
    }
  return fitting;
}

static bool
code_load (XDR *xdr, struct gossip_load *load)
{
  return xdr_uint64_t (xdr, &load->endpoint)
         && xdr_uint32_t (xdr, &load->running)
         && xdr_uint32_t (xdr, &load->prefill_tokens)
         && xdr_uint32_t (xdr, &load->inactive_ms)
         && code_load_flags (xdr, load) && code_load_limit (xdr, load);
}

static bool
code_loads (XDR *xdr, struct gossip_loads *loads)
{
  if (!xdr_uint32_t (xdr, &loads->hosts) || !xdr_uint32_t (xdr, &loads->first)
      || !xdr_uint32_t (xdr, &loads->total)
      || !code_count (xdr, &loads->count, GOSSIP_LOAD_LIMIT)
      || loads->first > loads->total
      || loads->count > loads->total - loads->first)
    return false;
  for (unsigned i = 0; i < loads->count; i++)
    if (!code_load (xdr, &loads->list[i]))
      return false;
  return code_lease (xdr, loads);
}

static bool
code_host (XDR *xdr, struct gossip_host *host)
{
  return code_text (xdr, host->name, sizeof host->name)
         && code_text (xdr, host->data_centre, sizeof host->data_centre)
         && code_text (xdr, host->address, sizeof host->address)
         && xdr_u_short (xdr, &host->port)
         && xdr_uint32_t (xdr, &host->capacity);
}

static bool
code_hosts (XDR *xdr, struct gossip_hosts *hosts)
{
  if (!xdr_uint32_t (xdr, &hosts->known)
      || !code_count (xdr, &hosts->count, GOSSIP_HOST_LIMIT))
    return false;
  for (unsigned i = 0; i < hosts->count; i++)
    if (!code_host (xdr, &hosts->list[i]))
      return false;
  return true;
}

static bool
code_sync_response (XDR *xdr, struct gossip_sync_response *response)
{
  return xdr_uint64_t (xdr, &response->nonce)
         && xdr_int64_t (xdr, &response->configuration_version)
         && xdr_uint32_t (xdr, &response->configuration_age_ms)
         && xdr_uint32_t (xdr, &response->entries_age_ms)
         && xdr_uint64_t (xdr, &response->revision)
         && xdr_uint64_t (xdr, &response->digest)
         && code_flag (xdr, &response->is_patch_sent);
}

static bool
code_cached_models (XDR *xdr, struct gossip_report *message)
{
  struct endpoint_report *report = &message->report;

  if (!code_count (xdr, &report->cached_model_count,
                   ENDPOINTS_CACHED_MODEL_LIMIT))
    return false;
  for (unsigned i = 0; i < report->cached_model_count; i++)
    if (!code_report_text (xdr, message, &report->cached_models[i]))
      return false;
  return true;
}

static bool
code_endpoint (XDR *xdr, struct gossip_report *message)
{
  struct endpoint_report *report = &message->report;
  int state = (int)report->state;
  bool is_valid = code_report_text (xdr, message, &report->service)
                  && code_text (xdr, report->address, sizeof report->address)
                  && xdr_u_short (xdr, &report->port)
                  && code_report_text (xdr, message, &report->data_centre)
                  && code_report_text (xdr, message, &report->domain)
                  && xdr_u_int (xdr, &report->slots)
                  && code_flag (xdr, &report->leaving)
                  && xdr_int64_t (xdr, &report->started_ms)
                  && xdr_uint64_t (xdr, &report->orders)
                  && code_cached_models (xdr, message)
                  && code_report_text (xdr, message, &report->model)
                  && code_report_text (xdr, message, &report->group)
                  && xdr_uint64_t (xdr, &report->epoch)
                  && xdr_u_int (xdr, &report->rank) && xdr_int (xdr, &state);

  if (!is_valid || state < ENDPOINT_GROUP_NONE || state > ENDPOINT_GROUP_BROKEN)
    return false;
  report->state = (enum endpoint_group_state)state;
  return true;
}

/*
 * The cold time stands at the end of a report, only if there is one, so that
 * all others are as before.
 */
static bool
code_cold_time (XDR *xdr, struct endpoint_report *report)
{
  uint32_t cold_ms = (uint32_t)report->cold_ms;

  if (xdr->x_op == XDR_ENCODE ? report->cold_ms == 0 : xdr->x_handy == 0)
    return true;
  if (!xdr_uint32_t (xdr, &cold_ms) || cold_ms == 0)
    return false;
  report->has_cold = true;
  report->cold_ms = cold_ms;
  return true;
}

static bool
code_report (XDR *xdr, struct gossip_report *report, bool has_report)
{
  return code_report_text (xdr, report, &report->endpoint)
         && xdr_uint64_t (xdr, &report->revision)
         && (!has_report
             || (code_endpoint (xdr, report)
                 && code_cold_time (xdr, &report->report)));
}

static bool
code_sync_request (XDR *xdr, struct gossip_sync_request *request)
{
  return xdr_uint64_t (xdr, &request->nonce)
         && xdr_uint64_t (xdr, &request->revision)
         && xdr_int64_t (xdr, &request->configuration_version);
}

static bool
code_patch (XDR *xdr, struct gossip_patch *patch)
{
  char *bytes = patch->bytes;

  return xdr_int64_t (xdr, &patch->from) && xdr_int64_t (xdr, &patch->to)
         && xdr_uint64_t (xdr, &patch->revision)
         && xdr_uint64_t (xdr, &patch->digest)
         && xdr_uint32_t (xdr, &patch->total)
         && xdr_uint32_t (xdr, &patch->first)
         && xdr_bytes (xdr, &bytes, &patch->count, sizeof patch->bytes);
}

static bool
code_routed (XDR *xdr, struct gossip_routed *routed)
{
  if (!xdr_uint64_t (xdr, &routed->nonce)
      || !xdr_uint64_t (xdr, &routed->revision)
      || !xdr_uint32_t (xdr, &routed->total)
      || !xdr_uint32_t (xdr, &routed->first)
      || !code_count (xdr, &routed->count, GOSSIP_ROUTED_LIMIT)
      || routed->first > routed->total
      || routed->count > routed->total - routed->first)
    return false;
  for (unsigned i = 0; i < routed->count; i++)
    if (!xdr_uint64_t (xdr, &routed->list[i]))
      return false;
  return true;
}

static bool
code_strikes (XDR *xdr, struct gossip_strikes *strikes)
{
  if (!code_count (xdr, &strikes->count, GOSSIP_STRIKE_LIMIT))
    return false;
  for (unsigned i = 0; i < strikes->count; i++)
    {
      struct gossip_strike *strike = &strikes->list[i];

      if (!code_text (xdr, strike->trait, sizeof strike->trait)
          || !code_flag (xdr, &strike->is_part)
          || !xdr_uint64_t (xdr, &strike->crash)
          || !xdr_uint32_t (xdr, &strike->age_ms))
        return false;
    }
  return true;
}

static bool
code_evacuations (XDR *xdr, struct gossip_evacuations *evacuations)
{
  if (!xdr_uint64_t (xdr, &evacuations->revision)
      || !xdr_uint32_t (xdr, &evacuations->age_ms)
      || !code_count (xdr, &evacuations->count, EVACUATIONS_LIMIT))
    return false;
  for (unsigned i = 0; i < evacuations->count; i++)
    if (!xdr_uint64_t (xdr, &evacuations->list[i]))
      return false;
  return true;
}

static bool
code_cold (XDR *xdr, struct gossip_cold *cold)
{
  if (!code_count (xdr, &cold->count, GOSSIP_COLD_LIMIT))
    return false;
  for (unsigned i = 0; i < cold->count; i++)
    if (!xdr_uint64_t (xdr, &cold->list[i].endpoint)
        || !xdr_uint32_t (xdr, &cold->list[i].left_ms))
      return false;
  return true;
}

static bool
code_body (XDR *xdr, struct gossip_message *message)
{
  switch (message->kind)
    {
    case GOSSIP_LOAD:
    case GOSSIP_SUM:
    case GOSSIP_TOTAL:
      return code_loads (xdr, &message->body.loads);
    case GOSSIP_HELLO:
    case GOSSIP_KNOWN_HOSTS:
      return code_hosts (xdr, &message->body.hosts);
    case GOSSIP_SYNC_REQUEST:
    case GOSSIP_ROUTED_REQUEST:
      return code_sync_request (xdr, &message->body.sync_request);
    case GOSSIP_SYNC_RESPONSE:
      return code_sync_response (xdr, &message->body.sync_response);
    case GOSSIP_REPORT:
    case GOSSIP_DELETED:
      return code_report (xdr, &message->body.report,
                          message->kind == GOSSIP_REPORT);
    case GOSSIP_PATCH:
      return code_patch (xdr, &message->body.patch);
    case GOSSIP_ROUTED_RESPONSE:
      return code_routed (xdr, &message->body.routed);
    case GOSSIP_STRIKES:
      return code_strikes (xdr, &message->body.strikes);
    case GOSSIP_EVACUATIONS:
      return code_evacuations (xdr, &message->body.evacuations);
    case GOSSIP_COLD:
      return code_cold (xdr, &message->body.cold);
    case GOSSIP_KINDS:
      break;
    }
  return false;
}

static bool
code_message (XDR *xdr, struct gossip_message *message)
{
  uint32_t version = GOSSIP_VERSION;
  int kind = (int)message->kind;

  if (!xdr_uint32_t (xdr, &version) || version != GOSSIP_VERSION
      || !xdr_int (xdr, &kind) || !code_host (xdr, &message->sender)
      || !xdr_uint64_t (xdr, &message->boot)
      || !xdr_uint32_t (xdr, &message->sequence)
      || !code_flag (xdr, &message->has_traffic) || kind < GOSSIP_LOAD
      || kind >= GOSSIP_KINDS)
    return false;
  message->kind = (enum gossip_kind)kind;
  return code_body (xdr, message);
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
