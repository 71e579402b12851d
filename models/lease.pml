/*
 * Lease, takeover, fencing token and orders of one data centre.  The names of
 * the steps are those of the functions in packages/group.
 *
 * An old holder and a candidate share the lease and the assignment at the
 * platform.  Time is
 * counted in ticks by one process; a candidate may be paused at any moment
 * for any number of ticks, between the check of lease_may_act and the sending
 * of an order too, but there for at most SLIP ticks: that is the pause which
 * the fence wait covers.  A candidate's clock may run DRIFT ticks ahead over
 * the time of a takeover, one less than margin and quiet time together.  An order is in flight for up to ORDER ticks.
 * The engine ignores the fencing token, which is the harder case.
 *
 * Checked: an order of an old holder never takes effect after the first order
 * of a newer holder, and two candidates never believe at the same time that
 * they may act.
 */
/* broken: NO_MARGIN */
/* broken: NO_FENCE_WAIT */
/* broken: NO_QUIET */

#define TTL 4
#define SLIP 1
#define DRIFT 3
#define ORDER 2
#define RENEW 2
#define LAST_TICK 9

#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#ifdef NO_QUIET
#define QUIET 0
#else
#define QUIET 2
#endif

#ifdef NO_FENCE_WAIT
#define FENCE_WAIT 0
#else
#define FENCE_WAIT 2
#endif

#define NOBODY 2

byte now = 0;

/* lease/DC at the platform */
byte holder = NOBODY;
byte fence = 0;
byte version = 0;

/* assignment/DC at the platform */
byte assignment_fence = 0;

/* What each candidate knows. */
byte known_version[2];
byte known_since[2];
bool known[2];
bool holding[2];
byte valid_until[2];
byte own_fence[2];
byte took_over[2];
bool stamped[2];

/* Orders in flight, one per candidate, and what the engine did last. */
byte order_fence[2];
byte order_until[2];
byte engine_fence = 0;

inline lease_on_read (i)
{
  atomic {
    if
    :: !known[i] || known_version[i] != version ->
       known[i] = true;
       known_version[i] = version;
       known_since[i] = now;
       if
       :: holder != i -> holding[i] = false; valid_until[i] = 0
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

/* The write carries the version that was read; validity counts from sent. */
inline lease_on_write (i, sent)
{
  atomic {
    if
    :: known_version[i] == version ->
       if
       :: holder != i ->
          fence++;
          own_fence[i] = fence;
          took_over[i] = now;
          stamped[i] = false
       :: else -> skip
       fi;
       holder = i;
       version++;
       known_version[i] = version;
       known_since[i] = now;
       holding[i] = true;
       valid_until[i] = sent + TTL - MARGIN
    :: else ->
       known[i] = false;
       holding[i] = false;
       valid_until[i] = 0
    fi
  }
}

#define takeover_ms(i) \
  (holder == NOBODY || now + DRIFT >= known_since[i] + TTL + QUIET)
#define lease_may_act(i) (holding[i] && now < valid_until[i])

/* Conditional write: it fails once a newer token was stamped. */
inline stamp_fence (i)
{
  atomic {
    if
    :: assignment_fence < own_fence[i] ->
       assignment_fence = own_fence[i];
       stamped[i] = true
    :: else -> skip
    fi
  }
}

#define fence_wait_over(i) (now >= took_over[i] + FENCE_WAIT + 1)

/* The order leaves the process; the engine carries it out later. */
inline order_hosts (i, checked)
{
  atomic {
    (now <= checked + SLIP);
    order_fence[i] = own_fence[i];
    order_until[i] = now + ORDER
  }
}

/* The holder at the start: it renews, orders, and may be paused. */
proctype old_holder ()
{
  byte sent = 0;
  byte checked;

  do
  :: (now >= LAST_TICK) -> break
  :: atomic { (holding[0] && now >= sent + RENEW) -> sent = now };
     lease_on_write (0, sent)
  :: atomic { (lease_may_act(0) && order_fence[0] == 0) -> checked = now };
     if
     :: atomic { (now > checked + SLIP) -> skip } /* too late: not modelled */
     :: order_hosts (0, checked)
     fi
  od
}

/* The candidate that takes over. */
proctype candidate (byte i)
{
  byte sent;
  byte checked;

  do
  :: (now >= LAST_TICK) -> break
  :: lease_on_read (i)
  :: atomic { ((known[i] && holding[i] && now >= sent + RENEW) || (known[i] && !holding[i] && takeover_ms(i))) ->
       sent = now };
     lease_on_write (i, sent)
  :: (lease_may_act(i) && !stamped[i]) -> stamp_fence (i)
  :: atomic {
       (lease_may_act(i) && stamped[i] && order_fence[i] == 0 && fence_wait_over(i)) ->
       checked = now
     };
     if
     :: atomic { now > checked + SLIP -> skip } /* too late: not modelled */
     :: order_hosts (i, checked)
     fi
  od
}

/* The engine carries out an order in flight, whatever its token. */
proctype engine ()
{
  do
  :: (now >= LAST_TICK) -> break
  :: atomic { order_fence[0] != 0 ->
       assert (order_fence[0] >= engine_fence);
       engine_fence = order_fence[0];
       order_fence[0] = 0 }
  :: atomic { order_fence[1] != 0 ->
       assert (order_fence[1] >= engine_fence);
       engine_fence = order_fence[1];
       order_fence[1] = 0 }
  od
}

/* Time does not pass an order's longest time in flight. */
proctype clock ()
{
  do
  :: (now >= LAST_TICK) -> break
  :: atomic {
       (now < LAST_TICK && (order_fence[0] == 0 || now < order_until[0]) && (order_fence[1] == 0 || now < order_until[1])) ->
       now++;
       assert (!(lease_may_act(0) && lease_may_act(1)))
     }
  od
}

init
{
  atomic {
    known[0] = true; holding[0] = true; stamped[0] = true;
    holder = 0; fence = 1; own_fence[0] = 1; assignment_fence = 1;
    valid_until[0] = TTL - MARGIN;
    run old_holder ();
    run candidate (1);
    run engine ();
    run clock ()
  }
}
