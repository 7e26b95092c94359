/*
 * The document of one service: concurrent editors append to one stream that all routers fold.
 *
 * An edit is accepted only if its base is the version in force at its own offset. A version is the offset
 * of the record that created it, plus 1.
 *
 * Bounds: 2 routers, EDITORS editors, a log of LOG records of which at most SNAPSHOTS are snapshots, trims at
 * any time, RESTARTS restarts of router 0 that lose its memory, and one snapshot in flight from router 1 to
 * router 0, which may arrive late. An editor that does not receive its answer appends the same edit again. A
 * network partition or an outage is modelled as a router that does not read for an arbitrary time. A snapshot
 * is either of this service or of another service whose document does not change; the record of the latter
 * shows only whether this service has a document ("complete").
 *
 * Checked: the version of a running router never decreases; a router that considers its state exact has the
 * version that the whole log gives at that offset; a router that does not has a version that was once in
 * force; a snapshot is correct as of its offset.
 *
 * Mutants: NO_BASE_CHECK, TRIM_IS_EMPTY, PEER_ANY_VERSION, ANY_SNAPSHOT_IS_EXACT,
 * COMPLETE_ALWAYS, APPLY_WHILE_WAITING.
 *
 * Reached: REACH_CONFLICT, REACH_SECOND_VERSION, REACH_RECOVERED_FROM_LOG, REACH_RECOVERED_FROM_PEER,
 * REACH_REPLAY, REACH_ABSENT_LEARNT.
 */
#ifndef LOG
#define LOG 4
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 2
#endif
#define EDITORS 2
#if defined(REACH_RECOVERED_FROM_LOG) || defined(REACH_RECOVERED_FROM_PEER) || defined(REACH_REPLAY) || defined(REACH_ABSENT_LEARNT)
#define REACHING
#endif

mtype = { EDIT, SNAPSHOT, OTHER };

mtype kind[LOG];
byte base[LOG];         /* EDIT: base; SNAPSHOT: version; OTHER: nonzero if it lists the service */
byte asOfOf[LOG];
bool completeOf[LOG];
byte length = 0;
byte first = 0;
byte truth[LOG + 1];    /* index n: the version in force after n records */
#ifdef REACH_CONFLICT
bool conflict = false;
#endif

/* The DocumentFold of each router, for one service. */
byte next[2];
byte runStart[2];
bool complete[2];
byte absentAsOf[2];
bool known[2];          /* services_ has an entry */
byte version[2];
bool exact[2];
byte asOf[2];
byte waiting[2];        /* bit mask of the offsets of deferred edits */
byte waitingSince[2];
#ifdef REACHING
bool gap[2];
bool replayed[2];
#endif
byte restarts[2];
byte snapshots = 0;

/* A snapshot in flight from the other router. */
bool transfer[2];
byte transferVersion[2];
byte transferAsOf[2];
bool transferComplete[2];

inline append(k, b, s, c)
{
    kind[length] = k; base[length] = b; asOfOf[length] = s; completeOf[length] = c;
    if
    :: k == EDIT && b == truth[length] -> truth[length + 1] = length + 1
    :: !(k == EDIT && b == truth[length]) -> truth[length + 1] = truth[length]
    fi;
    length++
}

/* DocumentFold::serviceOf */
inline entry(r)
{
    if
    :: !known[r] ->
        known[r] = true; waitingSince[r] = runStart[r]; exact[r] = complete[r]; asOf[r] = absentAsOf[r]
    :: known[r] -> skip
    fi
}

/* DocumentFold::applyEdit */
inline apply_edit(r, offset)
{
    if
#ifdef NO_BASE_CHECK
    :: offset >= asOf[r] ->
#else
    :: offset >= asOf[r] && base[offset] == version[r] ->
#endif
        version[r] = offset + 1
#ifdef NO_BASE_CHECK
    :: offset < asOf[r] -> skip
#else
    :: offset < asOf[r] || base[offset] != version[r] -> skip
#endif
    fi
}

/* DocumentFold::applyDeferredEdits */
inline replay(r)
{
    w = 0;
    do
    :: w < LOG ->
        if
        :: waiting[r] & (1 << w) ->
#ifdef REACHING
            replayed[r] = true;
#endif
            apply_edit(r, w)
        :: !(waiting[r] & (1 << w)) -> skip
        fi;
        w++
    :: w >= LOG -> break
    od;
    w = 0;
    waiting[r] = 0
}

/* DocumentFold::applySnapshot, install and applyServiceList */
inline take(r, v, s, c)
{
    if
#ifdef PEER_ANY_VERSION
    :: v > 0 ->
#else
    :: v >= version[r] ->
#endif
        entry(r);
#ifdef PEER_ANY_VERSION
        version[r] = v;
#else
        if
        :: v > version[r] -> version[r] = v
        :: v <= version[r] -> skip
        fi;
#endif
        if
        :: exact[r] && s > asOf[r] -> asOf[r] = s
        :: exact[r] && s <= asOf[r] -> skip
#ifdef ANY_SNAPSHOT_IS_EXACT
        :: !exact[r] ->
#else
        :: !exact[r] && s < waitingSince[r] -> skip
        :: !exact[r] && s >= waitingSince[r] ->
#endif
            exact[r] = true; asOf[r] = s; replay(r)
        fi;
        if
        :: !complete[r] && c && s >= runStart[r] -> complete[r] = true; absentAsOf[r] = s
        :: !(!complete[r] && c && s >= runStart[r]) -> skip
        fi
#ifdef PEER_ANY_VERSION
    :: v == 0 -> skip
#else
    :: v < version[r] -> skip
#endif
    fi
}

/* DocumentFold::applyServiceList, for the snapshot of another service. */
inline learn(r, listed, s, c)
{
    if
    :: !complete[r] && c && s >= runStart[r] ->
        complete[r] = true; absentAsOf[r] = s;
        if
        :: listed && !known[r] -> known[r] = true; waitingSince[r] = runStart[r]; exact[r] = false
        :: !listed && known[r] && !exact[r] && version[r] == 0 && waitingSince[r] <= s ->
            exact[r] = true; asOf[r] = s; replay(r)
        :: !(listed && !known[r]) && !(!listed && known[r] && !exact[r] && version[r] == 0 && waitingSince[r] <= s) -> skip
        fi
    :: !(!complete[r] && c && s >= runStart[r]) -> skip
    fi
}

#define isExact(r) (known[r] && exact[r] || !known[r] && complete[r])
#define at(r) (known[r] -> (asOf[r] > next[r] -> asOf[r] : next[r]) : (absentAsOf[r] > next[r] -> absentAsOf[r] : next[r]))
#ifdef COMPLETE_ALWAYS
#define isComplete(r) (complete[r])
#else
#define isComplete(r) (complete[r] && (!known[r] || exact[r]) && absentAsOf[r] <= next[r])
#endif

/* Clears values that no longer matter, so that equivalent routers share one state. */
inline tidy(r)
{
    if
    :: known[r] && (!exact[r] || asOf[r] <= next[r]) -> asOf[r] = 0
    :: !(known[r] && (!exact[r] || asOf[r] <= next[r])) -> skip
    fi;
    if
    :: !complete[r] || absentAsOf[r] <= next[r] -> absentAsOf[r] = 0
    :: !(!complete[r] || absentAsOf[r] <= next[r]) -> skip
    fi;
    if
    :: exact[r] || !known[r] -> waitingSince[r] = 0
    :: !(exact[r] || !known[r]) -> skip
    fi;
    if
    :: complete[r] -> runStart[r] = 0
    :: !complete[r] -> skip
    fi
}

proctype Router(byte r)
{
    byte before; byte j; byte w; byte v; byte s; bool c; byte o = 1 - r;
end:
    do
    /* DocumentFold::restartAfterGap */
    :: d_step { next[r] < first ->
        next[r] = first; runStart[r] = first;
#ifdef REACHING
        gap[r] = true;
#endif
#ifndef TRIM_IS_EMPTY
        complete[r] = complete[r] && absentAsOf[r] >= first;
        exact[r] = exact[r] && asOf[r] >= first;
#endif
        waiting[r] = 0;
        waitingSince[r] = first;
        tidy(r)
       }
    /* DocumentFold::applyRecord */
    :: d_step { next[r] >= first && next[r] < length ->
        before = version[r];
        j = next[r];
        next[r]++;
        if
        :: kind[j] == EDIT ->
            entry(r);
            if
#ifdef APPLY_WHILE_WAITING
            :: true -> apply_edit(r, j)
#else
            :: exact[r] -> apply_edit(r, j)
            :: !exact[r] -> waiting[r] = waiting[r] | (1 << j)
#endif
            fi
        :: kind[j] == SNAPSHOT ->
            /* The code rejects a snapshot whose version or as-of offset is beyond its own offset. */
            if
            :: base[j] <= j && asOfOf[j] <= j ->
                v = base[j]; s = asOfOf[j]; c = completeOf[j];
                take(r, v, s, c)
            :: !(base[j] <= j && asOfOf[j] <= j) -> skip
            fi
        :: kind[j] == OTHER ->
            v = base[j]; s = asOfOf[j]; c = completeOf[j];
            learn(r, v, s, c)
        fi;
        v = 0; s = 0; c = false;
        assert(version[r] >= before);
        before = 0; j = 0;
        tidy(r)
       }
    /* LogDocumentManager::appendSnapshotIfDue, for this service and for the other one */
    :: d_step { known[r] && version[r] > 0 && exact[r] && complete[r] && next[r] == length && length < LOG && snapshots < SNAPSHOTS ->
        snapshots++;
        s = at(r); c = isComplete(r) && asOf[r] <= next[r];
        assert(s > length || version[r] == truth[s]);
        append(SNAPSHOT, version[r], s, c);
        s = 0; c = false
       }
    :: d_step { complete[r] && next[r] == length && length < LOG && snapshots < SNAPSHOTS ->
        snapshots++;
        c = isComplete(r);
        append(OTHER, version[r], next[r], c);
        c = false
       }
    /* LogDocumentManager::handle(DocumentRequest): router 0 may receive the answer at any later time, router 1
       receives it immediately. */
    :: d_step { r == 0 && known[o] && version[o] > 0 && !transfer[r] && (version[o] > version[r] || !exact[r]) ->
        transfer[r] = true;
        transferVersion[r] = version[o];
        if
        :: exact[o] -> transferAsOf[r] = at(o)
        :: !exact[o] -> transferAsOf[r] = version[o]
        fi;
        transferComplete[r] = isComplete(o) && asOf[o] <= next[o]
       }
    :: d_step { transfer[r] ->
        before = version[r];
        v = transferVersion[r]; s = transferAsOf[r]; c = transferComplete[r];
        take(r, v, s, c);
        v = 0; s = 0; c = false;
        transfer[r] = false; transferVersion[r] = 0; transferAsOf[r] = 0; transferComplete[r] = false;
        assert(version[r] >= before);
        before = 0;
        tidy(r)
       }
    :: d_step { r == 1 && known[o] && version[o] > 0 && (version[o] > version[r] || !exact[r]) ->
        before = version[r];
        v = version[o]; c = isComplete(o) && asOf[o] <= next[o];
        if
        :: exact[o] -> s = at(o)
        :: !exact[o] -> s = version[o]
        fi;
        take(r, v, s, c);
        v = 0; s = 0; c = false;
        assert(version[r] >= before);
        before = 0;
        tidy(r)
       }
    /* Router 0 restarts and loses its memory. */
    :: d_step { r == 0 && restarts[r] < RESTARTS ->
        restarts[r]++;
        next[r] = 0; runStart[r] = 0; complete[r] = true; absentAsOf[r] = 0; known[r] = false;
        version[r] = 0; exact[r] = false; asOf[r] = 0; waiting[r] = 0; waitingSince[r] = 0
#ifdef REACHING
        ; gap[r] = false; replayed[r] = false
#endif
       }
    od
}

bool reading[EDITORS];

proctype Editor(byte me)
{
    byte seen; byte tries = 0;
    /* Reads the version in force at either router, at any time. Editors are interchangeable, so they read in order. */
    atomic { me == 0 || reading[me - 1] ->
        reading[me] = true;
        if
        :: seen = version[0]
        :: seen = version[1]
        fi
    };
    do
    :: atomic { tries < 2 && length < LOG ->
#ifdef REACH_CONFLICT
        conflict = conflict || (seen != truth[length] && tries == 0);
#endif
        append(EDIT, seen, 0, false);
        tries++;
        if
        :: tries = 2
        :: skip /* the answer was lost: the editor appends the same edit again */
        fi
       }
    :: atomic { tries > 0 -> seen = 0; tries = 0; break }
    od
}

proctype Retention()
{
end:
    do
    :: d_step { first < length ->
        /* Clears a trimmed record that no router has deferred, because it can no longer be read. */
        if
        :: (waiting[0] | waiting[1]) & (1 << first) -> skip
        :: !((waiting[0] | waiting[1]) & (1 << first)) ->
            kind[first] = 0; base[first] = 0; asOfOf[first] = 0; completeOf[first] = false
        fi;
        first++
       }
    od
}

#define wasInForce(v) (v == 0 || truth[v] == v)
#define right(r) (!isExact(r) || at(r) > length || version[r] == truth[at(r)])

proctype Observer()
{
end:
    do
    :: d_step { length > 0 ->
        assert(right(0) && right(1));
        assert(at(0) <= length && at(1) <= length);
        assert(wasInForce(version[0]) && wasInForce(version[1]));
#ifdef REACH_CONFLICT
        assert(!(conflict && version[0] && version[1]));
#endif
#ifdef REACH_SECOND_VERSION
        assert(!(version[0] > 1));
#endif
#ifdef REACH_RECOVERED_FROM_LOG
        assert(!(gap[0] && exact[0] && version[0] && restarts[0] && !known[1] && next[0] == length));
#endif
#ifdef REACH_RECOVERED_FROM_PEER
        assert(!(gap[0] && exact[0] && version[0] && first == length));
#endif
#ifdef REACH_REPLAY
        assert(!(replayed[0] && exact[0] && version[0] > 1));
#endif
#ifdef REACH_ABSENT_LEARNT
        assert(!(gap[0] && complete[0] && absentAsOf[0] > 0 && exact[0] && version[0]));
#endif
       }
    od
}

init { atomic {
    complete[0] = true; complete[1] = true;
    run Router(0); run Router(1); run Editor(0); run Editor(1); run Retention(); run Observer()
} }
