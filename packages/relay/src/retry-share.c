#include "retry-share.h"

/* Share of the slack that is used; the rest allows for unequal data centres. */
#define SLACK_SHARE 0.8
/* Hosts that share the slack as long as a host has heard of no other. */
#define UNKNOWN_HOST_COUNT 400

double
retry_share_compute (const struct retry_share_view *view)
{
  /* A host that is cut off with its data centre hears only of those in it. */
  unsigned hosts = view->local_hosts * view->data_centres;

  if (view->most_hosts > hosts)
    hosts = view->most_hosts;
  if (view->most_hosts <= 1)
    hosts = view->is_alone ? 1 : UNKNOWN_HOST_COUNT;
  /* An earlier process of this host may have used its share in this window. */
  if (view->uptime_ms < view->window_ms)
    return 0;
  return view->slack * SLACK_SHARE / hosts;
}
