/*
 * At-most-once execution of one idempotency key: several attempts, each by its own router, share one log.
 *
 * Bounds: ATTEMPTS attempts by as many routers, a log of LOG records, TRIMS trims at any position. Each
 * attempt appends its claim at most APPENDS times, with at most RETRIES repeated appends in total. An append
 * may be refused, land and be acknowledged, land with its answer lost, or land late, at any time after its
 * sender stopped waiting. A router may start before or after a trim, crash at any step, or be paused at any
 * step for ever. A crash loses the whole state of the router; anything it would do afterwards is modelled as
 * another attempt. A router that has not read all records of the key may adopt the fold of a peer that has.
 * Every such fold is the fold of a prefix of the log, so the model picks any such prefix.
 *
 * Checked: the key is executed at most once; an attempt that was reported as "not run" is never executed;
 * the holder of the key has no landed abandon; routers that have read all records of the key up to the same
 * offset agree on the holder; the claim of an executed attempt won at its own offset.
 *
 * Mutants: SEND_ON_ACK, SEND_AFTER_ABANDON, ABANDON_AFTER_SEND, LATE_WIN, IGNORE_TRIM, FORGET_NONCE,
 * FORGET_ABANDON.
 *
 * Reached: REACH_RUN, REACH_RUN_AFTER_ABANDON, REACH_RUN_BY_PEER_MEMORY, REACH_LATE_CLAIM,
 * REACH_THIRD_LOSES.
 */
#define ATTEMPTS 3
#ifndef LOG
#define LOG 4
#endif
#ifndef TRIMS
#define TRIMS 1
#endif
#define APPENDS 2
#ifndef RETRIES
#define RETRIES 1
#endif
#define NONE 9

mtype = { CLAIM, ABANDON };
mtype = { OUT, CLAIMING, HELD, RAN, OVER };

mtype kind[LOG];
byte who[LOG];
byte length = 0;
byte first = 0;
byte trims = 0;
byte lateClaims[ATTEMPTS];      /* appends in flight */
bool lateAbandon[ATTEMPTS];

/* The fold of each router (ClaimsFold) and its attempt (ClaimsStream::Attempt). */
byte next[ATTEMPTS];
bool covered[ATTEMPTS];
byte holder[ATTEMPTS];
byte landed[ATTEMPTS];          /* bit mask of the attempts whose claim was read */
byte gone[ATTEMPTS];            /* bit mask of the attempts whose abandon was read */
mtype step[ATTEMPTS];
byte appends[ATTEMPTS];
bool queued[ATTEMPTS];          /* the claim waits to be appended, for the first time or again */
bool maybeLanded[ATTEMPTS];
bool abandoning[ATTEMPTS];
bool ran[ATTEMPTS];
bool toldNotRun[ATTEMPTS];
#ifdef REACH_RUN_BY_PEER_MEMORY
bool borrowed[ATTEMPTS];
#endif
byte runs = 0;
byte retries = 0;

/* The fold of the whole log, including trimmed records. */
byte trueHolder = NONE;
byte trueLanded = 0;
byte trueGone = 0;
byte wonAtOffset = 0;
#ifdef REACH_RUN_AFTER_ABANDON
bool freed = false;
#endif

/* ClaimsFold::applyClaim and ClaimsFold::applyAbandon, applied to the given fold. */
inline fold(h, l, g, k, a)
{
    if
    :: k == CLAIM ->
        if
#ifdef FORGET_NONCE
        :: h == NONE -> h = a
        :: h != NONE -> skip
#else
#ifdef FORGET_ABANDON
        :: h == NONE && !(l & (1 << a)) -> h = a
        :: !(h == NONE && !(l & (1 << a))) -> skip
#else
        :: h == NONE && !(l & (1 << a)) && !(g & (1 << a)) -> h = a
        :: !(h == NONE && !(l & (1 << a)) && !(g & (1 << a))) -> skip
#endif
#endif
        fi;
        l = l | (1 << a)
    :: k == ABANDON ->
        g = g | (1 << a);
        if
        :: h == a -> h = NONE
        :: h != a -> skip
        fi
    fi
}

/* The log accepts a record. */
inline land(k, a)
{
    kind[length] = k; who[length] = a; length++;
#ifdef REACH_RUN_AFTER_ABANDON
    freed = freed || (k == ABANDON && trueHolder == a);
#endif
    fold(trueHolder, trueLanded, trueGone, k, a);
    if
    :: trueHolder != NONE -> wonAtOffset = wonAtOffset | (1 << trueHolder)
    :: trueHolder == NONE -> skip
    fi
}

/* Clears a router's view of the log, which no longer matters once its attempt is decided. */
inline forget(a)
{
    next[a] = 0; covered[a] = false; holder[a] = NONE; landed[a] = 0; gone[a] = 0;
    queued[a] = false; maybeLanded[a] = false; appends[a] = 0
}

inline give_up(a)
{
    toldNotRun[a] = true;
    assert(!ran[a]);
    abandoning[a] = maybeLanded[a];
    step[a] = OVER;
    forget(a)
}

inline run_key(a)
{
    assert(!toldNotRun[a]);
    runs++; ran[a] = true; step[a] = RAN; forget(a);
    assert(runs <= 1);
    assert(wonAtOffset & (1 << a))
#ifdef ABANDON_AFTER_SEND
    ; abandoning[a] = true
#endif
}

/* ClaimsStream::decideAttempt, called after the fold has read the claim. */
inline decide(a)
{
    if
    :: step[a] == CLAIMING && (landed[a] & (1 << a)) ->
        if
        :: holder[a] == a && covered[a] -> step[a] = HELD; forget(a); maybeLanded[a] = true
        :: holder[a] == a && !covered[a] -> give_up(a)
#ifdef LATE_WIN
        :: holder[a] == NONE && !(gone[a] & (1 << a)) -> step[a] = HELD; forget(a); maybeLanded[a] = true
        :: holder[a] != a && !(holder[a] == NONE && !(gone[a] & (1 << a))) -> skip
#else
        :: holder[a] != a -> step[a] = OVER; forget(a)   /* lost permanently */
#endif
        fi
    :: !(step[a] == CLAIMING && (landed[a] & (1 << a))) -> skip
    fi
}

proctype Router(byte a)
{
    byte n;
end:
    do
    /* ClaimsFold::apply with a gap in the log; ClaimsStream::refuseMaybeLanded */
    :: d_step { step[a] == CLAIMING && next[a] < first ->
        next[a] = first;
#ifndef IGNORE_TRIM
        covered[a] = false;
#endif
        if
        :: maybeLanded[a] -> give_up(a)
        :: !maybeLanded[a] -> skip
        fi
       }
    /* ClaimsFold::applyRecord, ClaimsStream::decideAttempts */
    :: d_step { step[a] == CLAIMING && next[a] >= first && next[a] < length ->
        do
        :: next[a] < length ->
            fold(holder[a], landed[a], gone[a], kind[next[a]], who[next[a]]);
            next[a]++
        :: next[a] == length -> break
        od;
        decide(a)
       }
    /* LogClaimsManager::beginClaim: the key must be free in the records that the router knows, either from
       reading the log itself or from the fold of a peer (ClaimsStream::adopt), which may be outdated.
       Attempts are interchangeable, so they begin in order. */
    :: atomic { step[a] == OUT && (a == 0 || step[a - 1] != OUT) ->
        next[a] = 0;
        do
        :: next[a] < length ->
            fold(holder[a], landed[a], gone[a], kind[next[a]], who[next[a]]);
            next[a]++
        :: next[a] >= first -> break
        od;
        covered[a] = true;
#ifdef REACH_RUN_BY_PEER_MEMORY
        borrowed[a] = (first > 0);
#endif
        if
        :: holder[a] == NONE -> step[a] = CLAIMING; queued[a] = true
        :: holder[a] != NONE -> step[a] = OVER; forget(a)
        fi
       }
#ifdef IGNORE_TRIM
    /* The router treats records that were trimmed before it started as if they had never existed. */
    :: d_step { step[a] == OUT && (a == 0 || step[a - 1] != OUT) && first > 0 ->
        next[a] = first; covered[a] = true; step[a] = CLAIMING; queued[a] = true
       }
#endif
    /* ClaimsStream::adopt while the claim is undecided */
    :: atomic { step[a] == CLAIMING && !covered[a] ->
        next[a] = 0; holder[a] = NONE; landed[a] = 0; gone[a] = 0;
        do
        :: next[a] < length ->
            fold(holder[a], landed[a], gone[a], kind[next[a]], who[next[a]]);
            next[a]++
        :: next[a] >= first -> break
        od;
        covered[a] = true;
#ifdef REACH_RUN_BY_PEER_MEMORY
        borrowed[a] = true;
#endif
        decide(a)
       }
    /* ClaimsStream::takeAppend and appendEnded: one append in flight at a time, always with the same nonce. */
    :: atomic { step[a] == CLAIMING && queued[a] && (appends[a] == 0 || appends[a] < APPENDS && retries < RETRIES) ->
        retries = retries + (appends[a] > 0 -> 1 : 0);
        appends[a]++;
        if
        :: length < LOG ->                          /* acknowledged */
            land(CLAIM, a); maybeLanded[a] = true; queued[a] = false
#ifdef SEND_ON_ACK
            ; run_key(a)
#endif
        :: length < LOG -> land(CLAIM, a); maybeLanded[a] = true    /* its answer is lost */
        :: lateClaims[a]++; maybeLanded[a] = true   /* the append lands later, or never */
        :: skip                                     /* refused */
        fi
       }
    /* ClaimsStream::expireAttempts; also a deadline, a drain or a disconnected caller before the request was sent. */
    :: d_step { step[a] == CLAIMING || step[a] == HELD -> give_up(a) }
#ifdef SEND_AFTER_ABANDON
    :: d_step { step[a] == OVER && toldNotRun[a] && (trueLanded & (1 << a)) -> run_key(a) }
#endif
    :: d_step { step[a] == HELD -> run_key(a) }
    :: atomic { abandoning[a] ->
        if
        :: length < LOG -> land(ABANDON, a); abandoning[a] = false
        :: length < LOG && !(trueGone & (1 << a)) -> land(ABANDON, a)   /* its answer is lost */
        :: lateAbandon[a] = true; abandoning[a] = false
        fi
       }
    /* The router crashes. */
    :: d_step { step[a] == CLAIMING || step[a] == HELD -> step[a] = OVER; forget(a) }
    od
}

proctype Network()
{
    byte a;
end:
    do
    :: atomic { length < LOG ->
        if
        :: a = 0
        :: a = 1
        :: a = 2
        fi;
        if
        :: lateClaims[a] > 0 -> lateClaims[a]--; land(CLAIM, a)
        :: lateAbandon[a] -> lateAbandon[a] = false; land(ABANDON, a)
        :: lateClaims[a] == 0 && !lateAbandon[a] -> skip
        fi;
        a = 0
       }
    :: atomic { trims < TRIMS && first < length ->
        trims++;
        do
        :: first < length -> first++
        :: first > 0 -> break
        od
       }
    od
}

#define agree(a, b) (!(covered[a] && covered[b] && next[a] == next[b]) || holder[a] == holder[b])

proctype Observer()
{
end:
    do
    :: d_step { length > 0 ->
        assert(trueHolder == NONE || !(trueGone & (1 << trueHolder)));
        assert(agree(0, 1) && agree(0, 2) && agree(1, 2));
#ifdef REACH_RUN
        assert(runs == 0);
#endif
#ifdef REACH_RUN_AFTER_ABANDON
        assert(!(freed && runs));
#endif
#ifdef REACH_RUN_BY_PEER_MEMORY
        assert(!(borrowed[2] && ran[2] && first > 0));
#endif
#ifdef REACH_LATE_CLAIM
        assert(!(toldNotRun[0] && (trueGone & 1) && kind[0] == ABANDON && (trueLanded & 1)));
#endif
#ifdef REACH_THIRD_LOSES
        assert(!(ran[0] && trueLanded == 7 && step[1] == OVER && step[2] == OVER));
#endif
       }
    od
}

init { atomic {
    holder[0] = NONE; holder[1] = NONE; holder[2] = NONE;
    step[0] = OUT; step[1] = OUT; step[2] = OUT;
    run Router(0); run Router(1); run Router(2); run Network(); run Observer()
} }
