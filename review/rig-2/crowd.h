#ifndef REVIEW_CROWD_H
#define REVIEW_CROWD_H

#include <stdbool.h>
#include <stdint.h>

/* Clients of one kind that stay outside the limits of an entry host. */
struct crowd_kind
{
  unsigned count;
  int64_t delay_ms;     /* they connect this much after the crowd has begun */
  int64_t spread_ms;    /* the last one comes this much after the first */
  int64_t idle_ms;      /* time for which they are connected and send nothing */
  unsigned pad_bytes;   /* size of a field of the head that nobody needs */
  unsigned field_count; /* further fields of the head, as short as can be */
  /* Announced; they stop a byte short of it.  Chunked: they do not end it. */
  unsigned body_bytes;
  unsigned chunk_bytes;   /* data of each chunk; 0 = the length is announced */
  unsigned at_once_bytes; /* sent at once, framing included */
  unsigned bytes_per_s;   /* of the rest */
  unsigned piece_bytes;   /* of the rest at a time */
  bool stays_away;        /* does not connect again */
  /*
   * So many whole requests without a body instead, one behind the other, whose
   * responses are not read; the fields on bodies do not apply.
   */
  unsigned request_count;
};

struct crowd_plan
{
  const char *address;
  uint16_t port;
  const char *target; /* of the requests */
  struct crowd_kind kinds[4];
};

/* Plays the crowd until the process is killed. */
void crowd_play (const struct crowd_plan *plan);

#endif
