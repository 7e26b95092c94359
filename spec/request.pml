/*
 * The life cycle of one request at its router, from arrival to its single final answer.
 *
 * Bounds: ATTEMPTS attempts. An attempt may never leave the VM, be refused, be executed and answered, be
 * executed and answered with a failure, or lose its connection; in the last case it may have been executed
 * already, be executed later or never. The end of an attempt may be reported twice. The claim decision,
 * grants, ends of attempts, the deadline, the caller's disconnection, a full queue and a drain occur in every
 * order. The request is either keyed (not repeatable) or not.
 *
 * Checked: "not run" is reported only for a request that was never executed and never will be; the key is
 * abandoned only in that case; the request gets at most one final answer, and exactly one if the caller stays
 * connected; a keyed request is executed at most once and is not sent again unless the previous attempt
 * provably did not leave the VM; a request that has ended is not sent.
 *
 * Mutants: NOT_RUN_AFTER_SENT, FORGET_MAYBE_RUN, RETRY_KEYED, ANY_ATTEMPT_ENDS, ABANDON_ANY_END,
 * ANSWER_TWICE, SEND_IN_ANY_STATE, REFUSED_IS_FREE.
 *
 * Reached: REACH_DONE, REACH_NOT_RUN, REACH_UNKNOWN, REACH_SECOND_ATTEMPT, REACH_LATE_RUN,
 * REACH_CALLER_GONE.
 */
#define ATTEMPTS 3

mtype = { CLAIMING, QUEUED, SENT, ENDED };
mtype = { NOT_SENT, REFUSED, COMPLETE, FAILED, BROKEN };
mtype = { DONE, NOT_RUN, UNKNOWN, REJECTED, NOTHING };

bool keyed;
mtype state;            /* RequestLife::state_ */
bool maybeRun = false;  /* RequestLife::mayHaveRun_ */
bool detached = false;  /* ActiveRequest::detached */
bool draining = false;
bool queued = false;    /* in the entry queue */
byte attempt = 0;
bool abandoned = false;
bool settled = false;
bool callerGone = false;
bool late = false;      /* the deadline has passed */

byte answers = 0;
mtype answer = NOTHING;
byte runs = 0;
bool provablyUnsent[ATTEMPTS];
bool lateRun[ATTEMPTS]; /* connection lost, may still be executed */

/* Ends of attempts in flight to the scheduler: attempt number, result. */
chan ended = [4] of { byte, mtype };

inline tell(what)
{
    assert(!callerGone || late);
    answers++;
    answer = what;
    assert(answers <= 1);
    assert(what != NOT_RUN || runs == 0)
}

/* RequestFlow::conclude */
inline conclude(what)
{
    if
#ifdef ANSWER_TWICE
    :: true -> tell(what)
#else
    :: !detached -> tell(what)
    :: detached -> skip
#endif
    fi
}

inline abandon()
{
    if
    :: keyed -> abandoned = true; assert(runs == 0)
    :: !keyed -> skip
    fi
}

/* RequestLife::endNotRun */
#ifdef NOT_RUN_AFTER_SENT
#define mayEndNotRun (!maybeRun && state != ENDED)
#else
#define mayEndNotRun (!maybeRun && state != SENT && state != ENDED)
#endif

/* RequestFlow::refuse */
inline refuse()
{
    if
    :: mayEndNotRun -> state = ENDED; queued = false; tell(NOT_RUN); abandon()
    :: !mayEndNotRun -> conclude(UNKNOWN); state = ENDED; queued = false
    fi
}

/* RequestFlow::enqueue */
inline enqueue()
{
    if
    :: queued = true
    :: refuse()
    fi
}

/* RequestFlow::handleNoAnswer */
inline no_answer(result)
{
    if
#ifndef REFUSED_IS_FREE
    :: keyed && result == REFUSED ->
        conclude(REJECTED); state = ENDED; settled = true
    :: !(keyed && result == REFUSED) ->
#else
    :: true ->
#endif
        again = false;
        if
#ifdef RETRY_KEYED
        :: attempt < ATTEMPTS && !draining && !late -> again = true
#else
        :: attempt < ATTEMPTS && !draining && !late && (!keyed || result != BROKEN) -> again = true
#endif
        :: skip /* no retry budget */
        fi;
        state = QUEUED;
#ifndef FORGET_MAYBE_RUN
        maybeRun = maybeRun || result == BROKEN;
#endif
        if
        :: again -> enqueue()
        :: !again && mayEndNotRun -> state = ENDED; tell(NOT_RUN); abandon()
        :: !again && !mayEndNotRun -> conclude(UNKNOWN); state = ENDED
        fi;
        again = false
    fi
}

/* RequestFlow::handle(AttemptEnded) and finishAttempt */
inline finish(number, result)
{
    if
#ifdef ANY_ATTEMPT_ENDS
    :: state == SENT ->
#else
    :: state == SENT && number == attempt ->
#endif
        if
        :: result == COMPLETE || result == FAILED ->
            if
            :: result == COMPLETE -> conclude(DONE)
            :: result == FAILED -> conclude(REJECTED)
            fi;
            state = ENDED;
            settled = keyed
        :: result != COMPLETE && result != FAILED && detached ->
            state = ENDED;
            if
#ifdef ABANDON_ANY_END
            :: true -> abandon()
#else
            :: result == NOT_SENT -> abandon()
            :: result != NOT_SENT -> skip
#endif
            fi
        :: result != COMPLETE && result != FAILED && !detached -> no_answer(result)
        fi
#ifdef ANY_ATTEMPT_ENDS
    :: state != SENT -> skip
#else
    :: !(state == SENT && number == attempt) -> skip
#endif
    fi
}

inline execute()
{
    runs++;
    assert(answer != NOT_RUN);
    assert(!abandoned);
    assert(!keyed || runs <= 1)
}

/* One attempt at an upstream. `number` starts at 1. */
proctype Attempt(byte number)
{
    mtype result;
    if
    :: atomic { result = NOT_SENT; provablyUnsent[number - 1] = true }
    :: result = REFUSED
    :: atomic { execute(); result = COMPLETE }
    :: atomic { execute(); result = FAILED }
    :: atomic { execute(); result = BROKEN }
    :: atomic { lateRun[number - 1] = true; result = BROKEN }
    fi;
    ended ! number, result;
    if
    :: ended ! number, result
    :: skip
    fi;
    if
    :: atomic { lateRun[number - 1] -> execute() }
    :: skip
    fi
}
/* RequestFlow::send */
inline send()
{
    queued = false;
    if
#ifdef SEND_IN_ANY_STATE
    :: attempt < ATTEMPTS ->
#else
    :: state == QUEUED && attempt < ATTEMPTS ->
#endif
        assert(answers == 0 && !callerGone);
        assert(!keyed || attempt == 0 || provablyUnsent[attempt - 1]);
        assert(!abandoned && !settled);
        state = SENT;
        attempt++;
        run Attempt(attempt)
#ifdef SEND_IN_ANY_STATE
    :: attempt == ATTEMPTS -> skip
#else
    :: !(state == QUEUED && attempt < ATTEMPTS) -> skip
#endif
    fi
}

/* The scheduler handles one event at a time, in any order. */
proctype Scheduler()
{
    byte number; mtype result; bool again; bool claimed = false; bool granted = false;

    atomic {
        if
        :: keyed = true; state = CLAIMING
        :: keyed = false; state = QUEUED; enqueue()
        fi
    };
end:
    do
    /* RequestFlow::applyClaimDecision */
    :: atomic { keyed && !claimed ->
        claimed = true;
        if
        :: state == CLAIMING ->
            if
            :: state = QUEUED; enqueue()
            :: state = ENDED; tell(UNKNOWN)         /* claim lost: the answer reports the known state of the key */
            :: state = ENDED; tell(NOT_RUN)         /* claims unavailable */
            fi
        :: state != CLAIMING -> skip
        fi
       }
    /* RequestFlow::assign: a grant sends the waiting request; a retry needs another grant. */
    :: atomic { queued -> send() }
#ifdef SEND_IN_ANY_STATE
    :: atomic { !granted && state == ENDED -> granted = true; send() }
#endif
    :: atomic { ended ? number, result -> finish(number, result); number = 0; result = 0 }
    /* RequestFlow::expire */
    :: atomic { !late ->
        late = true;
        if
        :: state == ENDED || detached -> skip
        :: state != ENDED && !detached && mayEndNotRun ->
            state = ENDED; queued = false; tell(NOT_RUN); abandon()
        :: state != ENDED && !detached && !mayEndNotRun ->
            conclude(UNKNOWN);
            detached = true;
            if
            :: state == QUEUED -> queued = false; state = ENDED
            :: state != QUEUED -> skip
            fi
        fi
       }
    /* RequestFlow::handle(CallerGone) */
    :: atomic { !callerGone && answers == 0 ->
        callerGone = true;
        if
        :: state == ENDED || detached -> skip
        :: state != ENDED && !detached && mayEndNotRun -> state = ENDED; queued = false; abandon()
        :: state != ENDED && !detached && !mayEndNotRun ->
            detached = true;
            if
            :: state == QUEUED -> queued = false; state = ENDED
            :: state != QUEUED -> skip
            fi
        fi
       }
    :: atomic { !draining -> draining = true }
    /* EntryQueue::push dropped the request in favour of another one. */
    :: atomic { queued -> queued = false; refuse() }
    od
}

proctype Observer()
{
end:
    do
    :: d_step { state == ENDED ->
        assert(callerGone || answers == 1);
        assert(!(answer == NOT_RUN && runs));
        assert(!(abandoned && settled));
        assert(!queued);
#ifdef REACH_DONE
        assert(answer != DONE)
#endif
#ifdef REACH_NOT_RUN
        assert(!(answer == NOT_RUN && attempt > 0))
#endif
#ifdef REACH_UNKNOWN
        assert(answer != UNKNOWN)
#endif
#ifdef REACH_SECOND_ATTEMPT
        assert(!(keyed && attempt == 2 && answer == DONE))
#endif
#ifdef REACH_LATE_RUN
        assert(!(lateRun[0] && runs == 1 && attempt == 1 && answer == UNKNOWN))
#endif
#ifdef REACH_CALLER_GONE
        assert(!(callerGone && settled))
#endif
       }
    od
}

init { atomic { run Scheduler(); run Observer() } }
