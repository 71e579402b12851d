#ifndef BASE_MEMORY_ACCOUNT_H
#define BASE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Account of the bytes that clients and endpoints make a host hold, and the
 * decision what to do when they are too many.  It answers crowds of clients
 * that send bodies of legal size at once and stop short of their end, chunks
 * of one byte, pipelined requests, and clients that never read responses.
 *
 * The account knows two watermarks.  Above the first, bodies that are not
 * small wait unread, except for those that were admitted; above the second, the
 * holder ends what costs clients least.  The space between the two is given to
 * admitted bodies only, so that a body that was begun can always be completed.
 *
 * No clock, no sockets, no allocation; times are milliseconds of any clock.
 */

/* What the bytes are part of. */
enum memory_kind
{
  MEMORY_CONNECTIONS,  /* state, heads, and input that is not yet parsed */
  MEMORY_BODIES,       /* request bodies, and the fields to forward */
  MEMORY_TO_ENDPOINTS, /* written, but not yet accepted by a socket */
  MEMORY_RESPONSES,    /* received from endpoints, not yet forwarded */
  MEMORY_TO_CLIENTS,   /* written, but not yet accepted by a socket */
  MEMORY_KINDS,
};

enum memory_level
{
  MEMORY_CALM,
  MEMORY_TIGHT, /* the first watermark was reached */
  MEMORY_FULL,  /* the second watermark was reached */
};

struct memory_account
{
  size_t limit_bytes; /* memory of the process */
  size_t tight_bytes; /* first watermark */
  size_t full_bytes;  /* second watermark */
  size_t held[MEMORY_KINDS];
  size_t total;
  size_t peak;
  uint64_t tight_count; /* times that the first watermark was passed upwards */
  uint64_t full_count;  /* the same, of the second */
};

/* Bytes that one holder has charged of one kind; zero at the start. */
struct memory_charge
{
  size_t bytes;
};

/* Shares are of limit_bytes, between 0 and 1, tight_share < full_share. */
void memory_account_init (struct memory_account *account,
                          size_t limit_bytes,
                          double tight_share,
                          double full_share);

/*
 * The holder now holds this many bytes; 0 releases the charge.  To be called
 * whenever the number has changed.  A charge that is set twice counts once.
 */
void memory_account_set (struct memory_account *account,
                         enum memory_kind kind,
                         struct memory_charge *charge,
                         size_t bytes);

enum memory_level memory_account_level (const struct memory_account *account);

/* "connections", "bodies", ... for metrics and log lines. */
const char *memory_kind_name (enum memory_kind kind);

/* Largest body that is read in spite of the first watermark. */
#define MEMORY_SMALL_BYTES 65536
/* Large bodies leave this part of the space between the watermarks free. */
#define MEMORY_SMALL_SHARE_DIVISOR 4
/*
 * A body that gave no byte for this long is stalled.  A link that loses the
 * same segment twice resumes within 600 ms (RFC 6298 with a minimum of 200 ms).
 */
#define MEMORY_STALL_MS 1000
/* A body that waits unread for this long is refused. */
#define MEMORY_WAIT_MS 3000

/* State of a request, from what costs its client least to what costs most. */
enum memory_stage
{
  MEMORY_UNFINISHED, /* the body has not come completely */
  MEMORY_WHOLE,      /* not sent to an endpoint yet */
  MEMORY_RUNNING,    /* an endpoint may have begun to run it; never ended */
};

/* One request that holds bytes. */
struct memory_holder
{
  enum memory_stage stage;
  size_t bytes;            /* held; ending the request releases them */
  size_t rest_bytes;       /* most that the body can still grow by */
  int64_t progress_ms;     /* time of the last byte of an unfinished body */
  int64_t unread_since_ms; /* reading is suspended since; 0 = it is read */
  bool is_admitted;        /* the space for rest_bytes is kept free for it */
};

enum memory_action
{
  MEMORY_READ,  /* go on reading */
  MEMORY_WAIT,  /* suspend reading */
  MEMORY_ADMIT, /* resume reading, and keep rest_bytes free for it */
  MEMORY_END,   /* end it: refused as not run, or closed */
};

/*
 * Bytes that the holder may still come to hold without being asked: the rest of
 * an admitted body, or what a small one may grow by.
 */
size_t memory_reserved_bytes (const struct memory_holder *holder,
                              int64_t now_ms);

/*
 * What to do with one request.  reserved_bytes is the sum of
 * memory_reserved_bytes of all other holders.  Ask again after each received
 * part, and at intervals.
 */
enum memory_action memory_account_decide (const struct memory_account *account,
                                          const struct memory_holder *holder,
                                          size_t reserved_bytes,
                                          int64_t now_ms);

/*
 * Above the second watermark, requests are ended in this order: true if a is
 * ended before b.  Running requests come last and are not to be ended.
 */
bool memory_ends_before (const struct memory_holder *a,
                         const struct memory_holder *b,
                         int64_t now_ms);

#endif
