#ifndef RELAY_RETRY_SHARE_H
#define RELAY_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Share of the fleet's retry slack that one entry host may use.  The shares of
 * all processes that retry in one window of the budget must not exceed the
 * slack, also while hosts start, end and lose touch with each other.
 */
struct retry_share_view
{
  double slack; /* retries per window of the whole fleet */
  int64_t window_ms;
  int64_t uptime_ms;     /* of this process */
  unsigned most_hosts;   /* live at the same time, as far as ever known; 1 = it
                            has heard of no other */
  unsigned local_hosts;  /* known in its data centre, this one included */
  unsigned data_centres; /* of the fleet */
  bool is_alone;         /* the platform lists no other host */
};

double retry_share_compute (const struct retry_share_view *view);

#endif
