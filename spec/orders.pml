/*
 * The order protocol for one order key: a caller that repeats and withdraws, two entry processes, one backend server.
 * Process HOME gave out the token. It may pause at any step, restart with a new incarnation, or stay away. Messages are
 * delivered in any order, late, or twice.
 *
 * Checked: the key runs at most once; once a caller is told "not run" it has not run and never runs; no call is
 * forwarded by a process that received it as a forward.
 *
 * Each variant symbol removes one rule, and the check must then fail:
 *   NO_INCARNATION_CHECK     a restarted home takes a token of its earlier incarnation for its own
 *   NO_TOMBSTONE             a withdrawal answers without leaving a tombstone
 *   REPEAT_AFTER_UNKNOWN     the home dispatches again after the answer was lost
 *   SECOND_FORWARD           a process that is not the home forwards what was forwarded to it
 *   DISPATCH_AT_OTHER        a process that is not the home dispatches when the home is gone
 *   ABSENT_IS_PROOF          a negative lookup is reported as "not run"
 *   CUT_IS_PROOF             the home reports "not run" when the connection breaks after dispatch
 *   INGRESS_SAYS_NOT_RUN     an ingress that cannot reach the home reports "not run"
 */

#define HOME 0
#define OTHER 1
#define CALLS 4

mtype = { RUN, WITHDRAW };
mtype = { NONE, LOOKING_UP, DISPATCHED, DONE, WITHDRAWN, UNKNOWN };

/* A call of the caller at an ingress, and a forwarded call at the receiving process. */
chan arrived[2] = [2] of { mtype };
chan forwarded[2] = [2] of { mtype, byte };  /* call, number of forwards so far */
chan toServer = [4] of { byte };             /* incarnation that dispatched */

byte runs = 0;
byte incarnation = 0;        /* of the process at HOME; the token names incarnation 0 */
bool isHomeUp = true;
mtype order = NONE;          /* row of the key in the memory of the process at HOME */
bool toldNotRun = false;
byte maxForwards = 0;

inline sayNotRun() {
    toldNotRun = true;
    assert(runs == 0)
}

inline dispatch() {
    if
    :: toServer!incarnation; order = DISPATCHED
    :: order = DISPATCHED    /* the connection is cut before the server reads the order */
    :: order = WITHDRAWN; sayNotRun()  /* the connection is refused */
    fi
}

inline lookUp() {
    if
    :: runs > 0 -> skip      /* found */
    :: runs == 0 ->
#ifdef ABSENT_IS_PROOF
        sayNotRun();
#endif
        skip                 /* absent so far: unknown */
    fi
}

inline forward(target, call, count) {
    if
    :: nfull(forwarded[target]) ->
        forwarded[target]!call, count + 1;
        if
        :: count + 1 > maxForwards -> maxForwards = count + 1
        :: else -> skip
        fi;
        assert(maxForwards <= 1)
    :: skip                  /* lost */
    fi
}

/* What the process at HOME does with a call. Its memory is the row `order`; a restart clears it. */
inline atHome(call) {
    if
#ifndef NO_INCARNATION_CHECK
    :: incarnation != 0 -> lookUp()
    :: incarnation == 0 && call == WITHDRAW ->
#else
    :: call == WITHDRAW ->
#endif
        if
        :: order == NONE || order == LOOKING_UP || order == WITHDRAWN ->
#ifndef NO_TOMBSTONE
            order = WITHDRAWN;
#endif
            sayNotRun()
        :: else -> lookUp()
        fi
#ifndef NO_INCARNATION_CHECK
    :: incarnation == 0 && call == RUN ->
#else
    :: call == RUN ->
#endif
        if
        :: order == NONE -> order = LOOKING_UP
        :: order == WITHDRAWN -> sayNotRun()
#ifdef REPEAT_AFTER_UNKNOWN
        :: order == UNKNOWN -> order = LOOKING_UP
        :: order == LOOKING_UP || order == DISPATCHED || order == DONE -> lookUp()
#else
        :: else -> lookUp()
#endif
        fi
    fi
}

/* What the process at OTHER does with a call that it may not forward. */
inline atOther(call, count) {
#ifdef DISPATCH_AT_OTHER
    if
    :: call == RUN && runs == 0 -> toServer!1
    :: else -> lookUp()
    fi
#else
#ifdef SECOND_FORWARD
    if
    :: count > 0 -> forward(HOME, call, count)
    :: else -> lookUp()
    fi
#else
    lookUp()
#endif
#endif
}

active proctype Caller() {
    byte i;
    for (i : 1 .. CALLS) {
        if
        :: arrived[HOME]!RUN
        :: arrived[OTHER]!RUN
        :: arrived[HOME]!WITHDRAW
        :: arrived[OTHER]!WITHDRAW
        fi
    }
}

/* Steps of the process at HOME are separate, so that a pause between any two of them is covered. */
active proctype Home() {
    mtype call;
    byte count;
end:
    do
    :: atomic { isHomeUp && nempty(arrived[HOME]) -> arrived[HOME]?call; atHome(call) }
    :: atomic { isHomeUp && nempty(forwarded[HOME]) ->
        forwarded[HOME]?call, count;
        atHome(call) }
    :: atomic { isHomeUp && order == LOOKING_UP ->
        /* The lookup was answered: absent, found, failed, or past its deadline. */
        if
        :: runs == 0 -> dispatch()
        :: runs > 0 -> order = DONE
        :: order = WITHDRAWN; sayNotRun()
        fi }
    :: atomic { isHomeUp && order == DISPATCHED ->
        if
        :: runs > 0 -> order = DONE
#ifdef CUT_IS_PROOF
        :: order = WITHDRAWN; sayNotRun()
#endif
        :: order = UNKNOWN
        fi }
    :: atomic { isHomeUp && incarnation < 1 ->
        /* Restart: the memory is lost, what was sent is still on its way. */
        incarnation = incarnation + 1;
        order = NONE }
    :: atomic { isHomeUp -> isHomeUp = false }
    od
}

active proctype Other() {
    mtype call;
    byte count;
end:
    do
    :: atomic { arrived[OTHER]?call ->
        if
        :: forward(HOME, call, 0)
        :: atOther(call, 0)  /* the home is believed to be gone */
#ifdef INGRESS_SAYS_NOT_RUN
        :: sayNotRun()
#endif
        fi }
    :: atomic { forwarded[OTHER]?call, count -> atOther(call, count) }
    od
}

/* The network between the processes delivers a forward twice, or to a process that is not the home. */
active proctype Network() {
    mtype call;
    byte count;
    bool isRepeated = false;
end:
    do
    :: atomic { !isRepeated && nempty(forwarded[HOME]) && nfull(forwarded[HOME]) ->
        forwarded[HOME]?<call, count>;
        forwarded[HOME]!call, count;
        isRepeated = true }
    :: atomic { nempty(forwarded[HOME]) && nfull(forwarded[OTHER]) ->
        forwarded[HOME]?call, count;
        forwarded[OTHER]!call, count }
    od
}

/* The server does not check keys: whatever arrives is executed, at any later time. */
active proctype Server() {
    byte by;
end:
    do
    :: atomic { toServer?by ->
        runs++;
        assert(runs <= 1);
        assert(!toldNotRun) }
    od
}
