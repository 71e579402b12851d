/*
 * Lease, takeover, fencing token and orders of one data centre.  The steps and
 * conditions, but for is_takeover_due, have the names of functions in lease.c
 * and plan.c of packages/group/src.
 *
 * An old holder and a candidate share the lease and the assignment at the
 * platform.  One process counts time in ticks.  A candidate may be paused at
 * any moment for any number of ticks.  Between the check of lease_may_act and
 * the sending of an order, however, a pause lasts at most SLIP ticks: the fence
 * wait covers no longer pause.  During a takeover a candidate's clock may run
 * ahead by DRIFT ticks, which MARGIN and QUIET together allow for.  An order is
 * in flight for up to ORDER ticks.  The engine ignores the fencing token, which
 * is the harder case.
 *
 * Checked: an order of an old holder never takes effect after the first order
 * of a newer holder, and the two hosts never both believe that they may act.
 */
/* broken: NO_MARGIN */
/* broken: NO_FENCE_WAIT */
/* broken: NO_QUIET */

#define TTL 4       /* validity of the lease from the sending of its write */
#define SLIP 1      /* longest pause between the check and its order */
#define DRIFT 3     /* a candidate's clock may run ahead by this */
#define ORDER 2     /* longest time of an order in flight */
#define RENEW 2     /* interval of renewals */
#define LAST_TICK 9 /* the model ends here */

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

/* Object lease/DC at the platform. */
byte holder = NOBODY;
byte fence = 0;
byte version = 0;

/* Object assignment/DC at the platform. */
byte assignment_fence = 0;

/* What the old holder (0) and the candidate (1) know. */
byte known_version[2];
byte known_since[2];
bool known[2];
bool holding[2];
byte valid_until[2];
byte own_fence[2];
byte took_over[2];
bool stamped[2]; /* its fencing token is in the assignment */

/*
 * Tokens of the orders in flight, one per host, 0 for none; the token of the
 * order that the engine carried out last.
 */
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

/*
 * Writes on condition that the version is still the one that was read.  The
 * lease is valid from the moment at which the write was sent.
 */
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

/* True once the time that compute_takeover_ms returns has come. */
#define is_takeover_due(i) \
  (holder == NOBODY || now + DRIFT >= known_since[i] + TTL + QUIET)
#define lease_may_act(i) (holding[i] && now < valid_until[i])

/* Conditional write: fails once the assignment has a newer token. */
inline prepare_fence_stamp (i)
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

#define is_fence_wait_over(i) (now >= took_over[i] + FENCE_WAIT + 1)

/* Sends the order; the engine carries it out later. */
inline order_hosts (i, checked)
{
  atomic {
    (now <= checked + SLIP);
    order_fence[i] = own_fence[i];
    order_until[i] = now + ORDER
  }
}

/* The first holder: it renews the lease, sends orders and may be paused. */
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
     :: atomic { (now > checked + SLIP) -> skip } /* pause too long: not modelled */
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
  :: atomic { ((known[i] && holding[i] && now >= sent + RENEW) || (known[i] && !holding[i] && is_takeover_due(i))) ->
       sent = now };
     lease_on_write (i, sent)
  :: (lease_may_act(i) && !stamped[i]) -> prepare_fence_stamp (i)
  :: atomic {
       (lease_may_act(i) && stamped[i] && order_fence[i] == 0 && is_fence_wait_over(i)) ->
       checked = now
     };
     if
     :: atomic { now > checked + SLIP -> skip } /* pause too long: not modelled */
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

/* Time does not advance past the longest time of an order in flight. */
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
