#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "generated/peer_xdr.h"
#include "peercodec.h"

/*
 * Decodes arbitrary bytes, and checks that no message is accepted that was not
 * signed with the key.  The oracle: a message is authentic only if it equals
 * one that peer_encode made with the same key.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static struct peer_keys keys;

static void
add_key (void)
{
  if (keys.count == 0
      && peer_keys_add (&keys, "1:00112233445566778899aabbccddeeff")
             != RESULT_OK)
    abort ();
}

static void
check_decode_body (const char *buffer,
                   size_t size,
                   size_t offset,
                   xdrproc_t filter,
                   size_t body_size)
{
  void *arguments = calloc (1, body_size);

  if (arguments == NULL)
    abort ();
  peer_decode_body (buffer, size, offset, filter, arguments);
  xdr_free (filter, arguments);
  free (arguments);
}

static void
check_decode_bodies (const uint8_t *data, size_t size)
{
  const char *buffer = (const char *)data;

  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_ping,
                     sizeof (peer_ping));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_ping_req,
                     sizeof (peer_ping_req));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_health_report,
                     sizeof (peer_health_report));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_fresh_report,
                     sizeof (peer_fresh_report));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_shares,
                     sizeof (peer_shares));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_strikes,
                     sizeof (peer_strikes));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_told_strikes,
                     sizeof (peer_told_strikes));
  check_decode_body (buffer, size, 0, (xdrproc_t)xdr_peer_object,
                     sizeof (peer_object));
}

/* Changes bytes of a signed message as the input says, and checks that it is
   accepted only if it is the same as before. */
static void
check_modified_message (const uint8_t *data, size_t size)
{
  struct peer_header header = { .is_call = (data[0] & 1) != 0,
                                .xid = 9,
                                .procedure = 1,
                                .sender = "e1",
                                .boot = 1,
                                .sequence = data[1] };
  struct peer_header decoded;
  char original[512];
  char modified[512];
  size_t used;
  size_t offset;

  if (peer_encode (&keys, &header, peer_xdr_void, NULL, original,
                   sizeof original, &used)
      != RESULT_OK)
    abort ();
  memcpy (modified, original, used);
  for (size_t i = 2; i + 2 < size; i += 3)
    modified[(size_t)(data[i] << 8 | data[i + 1]) % used] ^= (char)data[i + 2];
  if ((peer_decode (&keys, modified, used, &decoded, &offset) == RESULT_OK)
      != (memcmp (original, modified, used) == 0))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct peer_header header;
  size_t offset;
  char *copy;

  add_key ();
  if (size < 2)
    return 0;
  check_modified_message (data, size);
  check_decode_bodies (data, size);
  copy = malloc (size);
  if (copy == NULL)
    abort ();
  memcpy (copy, data, size);
  /* The input carries no valid signature, as that would need the key. */
  if (peer_decode (&keys, copy, size, &header, &offset) == RESULT_OK)
    abort ();
  if (memcmp (copy, data, size) != 0)
    abort ();
  free (copy);
  return 0;
}
