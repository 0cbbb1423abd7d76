/*
 * Distribution of the configuration. Two operators publish patches to a numbered log, and each process applies the
 * entries of the log in order. The service may be stale or down. Peers deliver entries and snapshots late, twice, out of
 * order or not at all. A restart loses all state. Anything that was ever published may be delivered at any time, so the
 * model has no queues.
 *
 * Asserted:
 * - The position and the version of a process never decrease between its restarts.
 * - Two processes at the same position have accepted the same entries and have the same version.
 * - A restarted process that can reach its peers does not start to serve at a position older than the positions that all
 *   of them had when it started.
 *
 * The 2 s wait for a peer's answer has no clock in the model: it ends without an answer only when no peer can be reached
 * or none has a configuration.
 *
 * Each of these symbols removes one rule, and an assertion must then fail:
 *   NO_SUCCESSOR_CHECK       an entry after a gap in the sequence is applied
 *   OLDER_SNAPSHOT           a snapshot with a lower sequence is applied
 *   ARRIVAL_ORDER            entries are evaluated in the order of their arrival
 *   SERVE_BEFORE_ASKING      a restarted process serves as soon as it has a snapshot
 *   ANSWER_WITHOUT_NONCE     a late snapshot from before the restart counts as a peer's answer
 */

#define PROCESSES 3
#define OPERATORS 2
#define ENTRIES 3
#define RESTARTS 2

typedef Process {
    bool hasSnapshot;
    bool isServing;
    bool isCutOff;           /* cannot reach any peer while it starts */
    byte sequence;
    byte version;
    byte accepted;           /* bit set of the accepted entries */
    byte taken;              /* bit set of the entries evaluated, for ARRIVAL_ORDER only */
    byte floor               /* lowest position among the peers when this process started */
};

Process process[PROCESSES];

/* The log, and the state that results from each of its entries. */
byte base[ENTRIES + 1];
byte versionAfter[ENTRIES + 1];
byte acceptedAfter[ENTRIES + 1];
byte published = 0;
byte restarts = 0;

inline publish(patchBase) {
    base[published + 1] = patchBase;
    versionAfter[published + 1] = versionAfter[published];
    acceptedAfter[published + 1] = acceptedAfter[published];
    if
    :: patchBase == versionAfter[published] ->
        versionAfter[published + 1] = versionAfter[published] + 1;
        acceptedAfter[published + 1] = acceptedAfter[published] | (1 << published)
    :: else -> skip
    fi;
    published++
}

inline checkVerdicts(self) {
    for (i : 0 .. PROCESSES - 1) {
        if
        :: process[i].hasSnapshot && process[i].sequence == process[self].sequence ->
            assert(process[i].accepted == process[self].accepted);
            assert(process[i].version == process[self].version)
        :: else -> skip
        fi
    };
    i = 0
}

inline moveTo(self, newSequence, newVersion, newAccepted) {
    assert(!process[self].hasSnapshot || newSequence >= process[self].sequence);
    assert(!process[self].hasSnapshot || newVersion >= process[self].version);
    process[self].sequence = newSequence;
    process[self].version = newVersion;
    process[self].accepted = newAccepted;
    process[self].hasSnapshot = true;
    checkVerdicts(self)
}

inline takeSnapshot(self, newSequence, newVersion, newAccepted) {
    if
#ifdef OLDER_SNAPSHOT
    :: true ->
#else
    :: !process[self].hasSnapshot || newSequence > process[self].sequence ->
#endif
        moveTo(self, newSequence, newVersion, newAccepted)
    :: else -> skip
    fi
}

inline judgeEntry(self, entry, newSequence) {
    if
    :: base[entry] == process[self].version ->
        moveTo(self, newSequence, process[self].version + 1,
            process[self].accepted | (1 << (entry - 1)))
    :: else -> moveTo(self, newSequence, process[self].version, process[self].accepted)
    fi
}

inline takeEntry(self, entry) {
    if
#ifdef ARRIVAL_ORDER
    :: process[self].hasSnapshot && !(process[self].taken & (1 << entry)) &&
        process[self].sequence < published ->
        process[self].taken = process[self].taken | (1 << entry);
        judgeEntry(self, entry, process[self].sequence + 1)
#else
#ifdef NO_SUCCESSOR_CHECK
    :: process[self].hasSnapshot && entry > process[self].sequence ->
#else
    :: process[self].hasSnapshot && entry == process[self].sequence + 1 ->
#endif
        judgeEntry(self, entry, entry)
#endif
    :: else -> skip
    fi
}

inline beginToServe(self) {
    assert(process[self].isCutOff || process[self].sequence >= process[self].floor);
    process[self].isServing = true;
    process[self].floor = 0
}

/*
 * A peer that restarts loses the position that other processes could have learned from it, so it resets their floors.
 */
inline restart(self) {
    restarts++;
    process[self].hasSnapshot = false;
    process[self].isServing = false;
    process[self].sequence = 0;
    process[self].version = 0;
    process[self].accepted = 0;
    process[self].taken = 0;
    process[self].floor = published;
    for (i : 0 .. PROCESSES - 1) {
        if
        :: i != self ->
            process[i].floor = 0;
            if
            :: !process[i].hasSnapshot -> process[self].floor = 0
            :: process[i].hasSnapshot && process[i].sequence < process[self].floor ->
                process[self].floor = process[i].sequence
            :: else -> skip
            fi
        :: else -> skip
        fi
    };
    i = 0;
    if
    :: process[self].isCutOff = true
    :: process[self].isCutOff = false
    fi
}

/* An operator reads the version first and publishes later, so the base of its patch may be outdated by then. */
active [OPERATORS] proctype Operator() {
    byte read;
end:
    do
    :: atomic { published < ENTRIES -> read = versionAfter[published] }
       atomic {
           if
           :: published < ENTRIES -> publish(read)
           :: else -> skip
           fi;
           read = 0 }
    od
}

proctype Entry(byte self) {
    byte i = 0;
    byte picked = 0;
end:
    do
    :: atomic { select(picked : 0 .. published);
        /* A snapshot from the service, which may be stale, or a late one from a peer. */
        takeSnapshot(self, picked, versionAfter[picked], acceptedAfter[picked]);
#ifdef ANSWER_WITHOUT_NONCE
        if
        :: !process[self].isServing -> beginToServe(self)
        :: else -> skip
        fi;
#endif
        picked = 0 }
    :: atomic { published > 0 -> select(picked : 1 .. published);
        takeEntry(self, picked);
        picked = 0 }
    :: atomic { !process[self].isServing && !process[self].isCutOff ->
        /* A peer answers the request that this process sent after its start. */
        select(picked : 0 .. PROCESSES - 1);
        if
        :: picked != self && process[picked].hasSnapshot ->
            takeSnapshot(self, process[picked].sequence, process[picked].version,
                process[picked].accepted);
            beginToServe(self)
        :: else -> skip
        fi;
        picked = 0 }
    :: atomic { !process[self].isServing && process[self].hasSnapshot ->
        /* No answer came within 2 s after the first snapshot. */
        for (i : 0 .. PROCESSES - 1) {
            if
            :: i != self && process[i].hasSnapshot -> picked = 1
            :: else -> skip
            fi
        };
        i = 0;
        if
#ifdef SERVE_BEFORE_ASKING
        :: true -> beginToServe(self)
#else
        :: process[self].isCutOff || picked == 0 -> beginToServe(self)
#endif
        :: else -> skip
        fi;
        picked = 0 }
    :: atomic { restarts < RESTARTS -> restart(self) }
    od
}

init {
    atomic {
        run Entry(0);
        run Entry(1);
        run Entry(2)
    }
}
