/*
 * The claim protocol of packages/claim: two entry hosts and one idempotency
 * key.  Each host may attempt the call twice.  The store may lose the response
 * to a write whether or not the write took effect, a write whose response was
 * lost may take effect late, and a host may crash.
 *
 * Checked: the call runs at most once, an attempt that was reported as not run
 * never runs, and a finished cleanup leaves no claim behind.
 *
 * The labels of a host, but for dispatch, cleaned and stop, are names of
 * functions in packages/claim/src.
 */
/* broken: BROKEN_TAKE_OVER */
/* broken: NO_READ_BACK */
/* broken: NO_CLEANUP */

#define HOSTS 2
#define ATTEMPTS 2

mtype = { ABSENT, CLAIMED, DONE, NOT_RUN };
mtype = { OK, CONFLICT, LOST };

/* The stored record; token 0 means that no claim was written yet. */
mtype state = ABSENT;
byte token = 0;
byte version = 0;

/* Writes without a response that may still take effect, one per host. */
bool late[HOSTS];
byte late_version[HOSTS];
byte late_token[HOSTS];
mtype late_state[HOSTS];

byte executed = 0;
/* By token, which names one attempt of one host. */
bool reported_not_run[5]; /* to the caller */
bool ran[5];

/* Conditional write at version at. */
inline put (new_state, new_token, at, result)
{
  atomic {
    if
    :: version == at ->
         state = new_state; token = new_token; version++;
         if
         :: result = OK
         :: losses > 0 -> losses--; result = LOST
         fi
    :: version != at -> result = CONFLICT
    :: losses > 0 && !late[me] -> /* lost before it took effect, or delayed */
         losses--; result = LOST;
         late[me] = true; late_version[me] = at;
         late_token[me] = new_token; late_state[me] = new_state
    fi
  }
}

inline claim_shard_read_done ()
{
  atomic { seen_state = state; seen_token = token; seen_version = version }
}

byte losses = 2; /* writes whose response the store may still lose */

/* Delayed writes take effect late, or never. */
proctype network ()
{
  byte h;

end:
  do
  :: atomic {
       select (h : 0 .. 1);
       if
       :: late[h] && version == late_version[h] ->
            state = late_state[h]; token = late_token[h]; version++;
            late[h] = false
       :: late[h] -> late[h] = false
       :: else -> skip
       fi
     }
  od
}

proctype host (byte me)
{
  byte attempt = 0;
  byte mine; /* token of the current attempt */
  byte seen_token;
  byte seen_version;
  byte lost_version; /* version at which the lost write was sent */
  mtype seen_state;
  mtype result;
  bool lost; /* a lost write may still take effect */

claim_submit:
  if
  :: attempt == ATTEMPTS -> goto stop
  :: else ->
       attempt++;
       mine = me * ATTEMPTS + attempt;
       lost = false
  fi;

evaluate_claim:
  claim_shard_read_done ();
  if
  :: lost && seen_version != lost_version -> lost = false
  :: else -> skip
  fi;
  if
  :: true -> goto claim_operation_refuse /* the deadline has passed */
  :: true -> goto stop                   /* the host crashes */
  :: seen_token == mine && seen_state == CLAIMED -> goto dispatch
  :: seen_token != mine && seen_state == DONE -> goto claim_submit /* replayed */
#ifdef BROKEN_TAKE_OVER
  :: seen_token != mine && seen_state == CLAIMED -> goto start_write
#else
  :: seen_token != mine && seen_state == CLAIMED ->
       goto claim_operation_refuse /* CLAIM_IN_PROGRESS */
#endif
  :: seen_state == ABSENT || seen_state == NOT_RUN -> goto start_write
  fi;

start_write:
  put (CLAIMED, mine, seen_version, result);
  if
  :: result == OK -> goto claim_operation_grant
  :: result == CONFLICT -> goto evaluate_claim
  :: result == LOST ->
       lost = true; lost_version = seen_version;
#ifdef NO_READ_BACK
       goto claim_operation_grant
#else
       goto evaluate_claim
#endif
  fi;

claim_operation_grant:
  if
  :: true -> goto dispatch
  :: true -> goto claim_operation_abandon /* too late: the deadline has passed */
  :: true -> goto stop
  fi;

dispatch:
  atomic {
    assert (!reported_not_run[mine]);
    ran[mine] = true;
    executed++;
    assert (executed <= 1)
  }
claim_settle:
  claim_shard_read_done ();
  if
  :: true -> goto stop
  :: seen_token == mine && seen_state == CLAIMED ->
       put (DONE, mine, seen_version, result);
       goto claim_settle
  :: seen_token != mine || seen_state != CLAIMED -> goto claim_submit
  fi;

claim_operation_abandon:
claim_operation_refuse:
  atomic { assert (!ran[mine]); reported_not_run[mine] = true }
#ifdef NO_CLEANUP
  goto cleaned;
#endif

evaluate_cleanup:
  claim_shard_read_done ();
  if
  :: lost && seen_version != lost_version -> lost = false
  :: else -> skip
  fi;
  if
  :: true -> goto stop
  :: seen_token == mine && seen_state == CLAIMED ->
       put (NOT_RUN, mine, seen_version, result);
       goto evaluate_cleanup
  :: (lost && seen_token != mine
      && (seen_state == ABSENT || seen_state == NOT_RUN)) ->
       put (NOT_RUN, mine, seen_version, result);
       goto evaluate_cleanup
  :: ((seen_token != mine || seen_state != CLAIMED)
      && !(lost && seen_token != mine
           && (seen_state == ABSENT || seen_state == NOT_RUN))) ->
       goto cleaned
  fi;

cleaned:
  /* A finished cleanup leaves no claim behind; only a crash may leave one. */
  atomic {
    assert (!(token == mine && state == CLAIMED));
    assert (!(late[me] && late_token[me] == mine && late_state[me] == CLAIMED
              && late_version[me] == version))
  }
  goto claim_submit;

stop:
  skip
}

init
{
  atomic { run network (); run host (0); run host (1) }
}
