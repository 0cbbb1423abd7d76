/*
 * The order protocol for one order key, with a caller that repeats and withdraws the order, two entry processes and one
 * backend server. Process HOME issued the token. It may pause at any step, restart with a new incarnation, or stay down.
 * Messages are delivered in any order, late, or twice.
 *
 * Asserted:
 * - The order of the key runs at most once.
 * - After a caller received "not run", the order has not run and never runs.
 * - No process forwards a call that was forwarded to it.
 *
 * Each of these symbols removes one rule, and an assertion must then fail:
 *   NO_INCARNATION_CHECK     a restarted home accepts a token of its earlier incarnation
 *   NO_TOMBSTONE             a withdrawal is answered without leaving a tombstone
 *   REPEAT_AFTER_UNKNOWN     the home dispatches again after the answer was lost
 *   SECOND_FORWARD           a process that is not the home forwards a call that was forwarded to it
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

/* Calls from the caller that arrive at an ingress, and forwarded calls that arrive at the other process. */
chan arrived[2] = [2] of { mtype };
chan forwarded[2] = [2] of { mtype, byte };  /* call, number of times it was forwarded */
chan toServer = [4] of { byte };             /* incarnation that dispatched the order */

byte runs = 0;
byte incarnation = 0;        /* of the process at HOME; the token names incarnation 0 */
bool isHomeUp = true;
mtype order = NONE;          /* state of the order in the memory of the process at HOME */
bool toldNotRun = false;
byte maxForwards = 0;

inline sayNotRun() {
    toldNotRun = true;
    assert(runs == 0)
}

inline dispatch() {
    if
    :: toServer!incarnation; order = DISPATCHED
    :: order = DISPATCHED    /* the connection breaks before the server reads the order */
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
        skip                 /* not found, but it may still run: unknown */
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

/* Handles a call at HOME. The process keeps its state in `order`, which a restart clears. */
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

/* Handles a call at OTHER that must not be forwarded. */
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

/* The steps of the process at HOME are separate, so that the model covers a pause between any two of them. */
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
        /* The lookup ended: not found, found, failed, or past its deadline. */
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
        /* A restart loses the state, but messages sent before are still delivered. */
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
        :: atOther(call, 0)  /* the home is considered dead */
#ifdef INGRESS_SAYS_NOT_RUN
        :: sayNotRun()
#endif
        fi }
    :: atomic { forwarded[OTHER]?call, count -> atOther(call, count) }
    od
}

/* The network between the processes may deliver a forwarded call twice, or to a process that is not the home. */
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

/* The backend server does not check keys. It executes every order that arrives, at any later time. */
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
