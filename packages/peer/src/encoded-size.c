#include "peer-internal.h"

#include <string.h>

/* Length word, bytes and padding to a multiple of four bytes (RFC 4506). */
size_t
peer_text_size (const char *text)
{
  return 4 + (strlen (text) + 3) / 4 * 4;
}

size_t
peer_update_size (const struct member_update *update)
{
  return peer_text_size (update->host) + peer_text_size (update->data_centre)
         + peer_text_size (update->address) + 16;
}
