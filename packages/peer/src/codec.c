#include "peercodec.h"

#include "generated/peer_xdr.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>

bool_t
peer_xdr_void (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

/* Bytes of the status word between the verifier and the body of a reply. */
#define REPLY_STATUS_SIZE 4

enum result
peer_keys_add (struct peer_keys *keys, const char *text)
{
  struct peer_key key = { .id = 0 };
  const char *hex;
  char *end;
  size_t length;

  if (keys->count == PEER_KEYS_LIMIT)
    return RESULT_TOO_LARGE;
  key.id = (uint32_t)strtoul (text, &end, 10);
  if (end == text || *end != ':')
    return RESULT_INVALID;
  hex = end + 1;
  length = strlen (hex);
  if (length % 2 != 0 || length / 2 < PEER_KEY_SIZE_MIN
      || length / 2 > PEER_KEY_SIZE_MAX)
    return RESULT_INVALID;
  for (size_t i = 0; i < length; i += 2)
    {
      char digits[3] = { hex[i], hex[i + 1], '\0' };

      key.secret[i / 2] = (unsigned char)strtoul (digits, &end, 16);
      if (*end != '\0' || digits[0] == '+' || digits[0] == '-')
        return RESULT_INVALID;
    }
  key.size = length / 2;
  keys->list[keys->count++] = key;
  return RESULT_OK;
}

static const struct peer_key *
find_key (const struct peer_keys *keys, uint32_t id)
{
  for (size_t i = 0; i < keys->count; i++)
    if (keys->list[i].id == id)
      return &keys->list[i];
  return NULL;
}

static void
compute_mac (const struct peer_key *key,
             const char *buffer,
             size_t size,
             unsigned char mac[PEER_MAC_SIZE])
{
  unsigned length = PEER_MAC_SIZE;

  HMAC (EVP_sha256 (), key->secret, (int)key->size,
        (const unsigned char *)buffer, size, mac, &length);
}

static bool
convert_verifier (enum xdr_op op,
                  peer_verifier *verifier,
                  char *buffer,
                  u_int *size)
{
  XDR xdr;
  bool good;

  xdrmem_create (&xdr, buffer, *size, op);
  good = xdr_peer_verifier (&xdr, verifier);
  if (op == XDR_DECODE)
    good = good && xdr_getpos (&xdr) == *size;
  else
    *size = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return good;
}

static void
fill_call_message (struct rpc_msg *message,
                   const struct peer_header *header,
                   const struct opaque_auth *verifier)
{
  message->rm_xid = header->xid;
  message->rm_direction = CALL;
  message->rm_call.cb_rpcvers = RPC_MSG_VERSION;
  message->rm_call.cb_prog = PEER_PROGRAM;
  message->rm_call.cb_vers = PEER_VERSION;
  message->rm_call.cb_proc = header->procedure;
  message->rm_call.cb_cred.oa_flavor = AUTH_NONE;
  message->rm_call.cb_verf = *verifier;
}

static void
fill_reply_message (struct rpc_msg *message,
                    const struct peer_header *header,
                    const struct opaque_auth *verifier)
{
  message->rm_xid = header->xid;
  message->rm_direction = REPLY;
  message->rm_reply.rp_stat = MSG_ACCEPTED;
  message->acpted_rply.ar_verf = *verifier;
  message->acpted_rply.ar_stat = SUCCESS;
  message->acpted_rply.ar_results.where = NULL;
  message->acpted_rply.ar_results.proc = peer_xdr_void;
}

static bool
encode_header (XDR *xdr,
               const struct peer_header *header,
               struct opaque_auth *verifier)
{
  struct rpc_msg message = { 0 };

  if (header->is_call)
    {
      fill_call_message (&message, header, verifier);
      return xdr_callmsg (xdr, &message);
    }
  fill_reply_message (&message, header, verifier);
  return xdr_replymsg (xdr, &message);
}

static size_t
compute_mac_offset (size_t body_offset, bool is_call)
{
  return body_offset - PEER_MAC_SIZE - (is_call ? 0 : REPLY_STATUS_SIZE);
}

enum result
peer_encode (const struct peer_keys *keys,
             const struct peer_header *header,
             xdrproc_t body,
             void *arguments,
             char *buffer,
             size_t size,
             size_t *used)
{
  char verifier_bytes[MAX_AUTH_BYTES];
  char sender[PEER_SENDER_SIZE];
  struct opaque_auth auth = { .oa_flavor = PEER_AUTH_FLAVOR };
  peer_verifier verifier = { 0 };
  enum result result = RESULT_PEER_TOO_LARGE;
  u_int verifier_size = sizeof verifier_bytes;
  u_int body_offset;
  XDR xdr;

  if (keys->count == 0)
    return RESULT_INVALID;
  memcpy (sender, header->sender, sizeof sender);
  verifier.key_id = keys->list[0].id;
  verifier.sender = sender;
  verifier.boot = header->boot;
  verifier.sequence = header->sequence;
  verifier.sent_wall_ms = header->sent_wall_ms;
  xdrmem_create (&xdr, buffer, (u_int)size, XDR_ENCODE);
  if (!convert_verifier (XDR_ENCODE, &verifier, verifier_bytes, &verifier_size))
    goto out;
  auth.oa_base = verifier_bytes;
  auth.oa_length = verifier_size;
  if (!encode_header (&xdr, header, &auth))
    goto out;
  body_offset = xdr_getpos (&xdr);
  if (!body (&xdr, arguments))
    goto out;
  *used = xdr_getpos (&xdr);
  compute_mac (&keys->list[0], buffer, *used,
               (unsigned char *)buffer
                   + compute_mac_offset (body_offset, header->is_call));
  result = RESULT_OK;

out:
  xdr_destroy (&xdr);
  return result;
}

/* Decodes the RPC header and copies the body of the verifier. */
static bool
decode_header (XDR *xdr,
               const char *buffer,
               size_t size,
               struct peer_header *header,
               char *verifier_bytes,
               u_int *verifier_size)
{
  struct rpc_msg message = { 0 };
  struct opaque_auth *verifier;
  char credential[MAX_AUTH_BYTES];
  uint32_t direction;

  if (size < 8)
    return false;
  memcpy (&direction, buffer + 4, sizeof direction);
  header->is_call = ntohl (direction) == CALL;
  if (header->is_call)
    {
      verifier = &message.rm_call.cb_verf;
      message.rm_call.cb_cred.oa_base = credential;
      verifier->oa_base = verifier_bytes;
      if (!xdr_callmsg (xdr, &message)
          || message.rm_call.cb_prog != PEER_PROGRAM
          || message.rm_call.cb_vers != PEER_VERSION
          || message.rm_call.cb_cred.oa_length != 0)
        return false;
      header->procedure = message.rm_call.cb_proc;
    }
  else
    {
      verifier = &message.acpted_rply.ar_verf;
      verifier->oa_base = verifier_bytes;
      message.acpted_rply.ar_results.proc = peer_xdr_void;
      if (!xdr_replymsg (xdr, &message)
          || message.rm_reply.rp_stat != MSG_ACCEPTED
          || message.acpted_rply.ar_stat != SUCCESS)
        return false;
    }
  header->xid = message.rm_xid;
  *verifier_size = verifier->oa_length;
  return verifier->oa_flavor == PEER_AUTH_FLAVOR;
}

static bool
is_mac_valid (const struct peer_keys *keys,
              char *buffer,
              size_t size,
              size_t offset,
              uint32_t key_id)
{
  const struct peer_key *key = find_key (keys, key_id);
  unsigned char given[PEER_MAC_SIZE];
  unsigned char expected[PEER_MAC_SIZE];

  if (key == NULL)
    return false;
  memcpy (given, buffer + offset, sizeof given);
  memset (buffer + offset, 0, sizeof given);
  compute_mac (key, buffer, size, expected);
  memcpy (buffer + offset, given, sizeof given);
  return CRYPTO_memcmp (given, expected, sizeof given) == 0;
}

enum result
peer_decode (const struct peer_keys *keys,
             char *buffer,
             size_t size,
             struct peer_header *header,
             size_t *body_offset)
{
  char verifier_bytes[MAX_AUTH_BYTES];
  char sender[PEER_SENDER_SIZE] = "";
  peer_verifier verifier = { .sender = sender };
  enum result result = RESULT_PEER_BAD_MESSAGE;
  u_int verifier_size = 0;
  XDR xdr;

  memset (header, 0, sizeof *header);
  xdrmem_create (&xdr, buffer, (u_int)size, XDR_DECODE);
  if (!decode_header (&xdr, buffer, size, header, verifier_bytes,
                      &verifier_size)
      || !convert_verifier (XDR_DECODE, &verifier, verifier_bytes,
                            &verifier_size))
    goto out;
  *body_offset = xdr_getpos (&xdr);
  result = RESULT_PEER_BAD_MAC;
  if (!is_mac_valid (keys, buffer, size,
                     compute_mac_offset (*body_offset, header->is_call),
                     verifier.key_id))
    goto out;
  memcpy (header->sender, sender, sizeof header->sender);
  header->boot = verifier.boot;
  header->sequence = verifier.sequence;
  header->sent_wall_ms = verifier.sent_wall_ms;
  result = RESULT_OK;

out:
  xdr_destroy (&xdr);
  return result;
}

bool
peer_decode_body (const char *buffer,
                  size_t size,
                  size_t offset,
                  xdrproc_t body,
                  void *arguments)
{
  XDR xdr;
  bool good;

  /* Decoding does not write, although xdrmem_create takes a char pointer. */
  xdrmem_create (&xdr, (char *)buffer + offset, (u_int)(size - offset),
                 XDR_DECODE);
  good = body (&xdr, arguments) && xdr_getpos (&xdr) == size - offset;
  xdr_destroy (&xdr);
  return good;
}
