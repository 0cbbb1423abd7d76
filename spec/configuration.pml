/*
 * Distribution of the configuration: two operators publish patches, and processes fold the numbered log. The service may
 * be stale or down, peers deliver entries and snapshots late, twice, out of order or not at all, and a restart loses all
 * state. Anything that was ever published may be delivered at any time, so no queue is modelled.
 *
 * Checked: position and version of a process never go down between its restarts; two processes at one position hold the
 * same verdicts; a restarted process that can hear its peers does not begin to serve at a position that is older than the
 * positions of all of them when it started. The 2 s wait is modelled by its meaning: it ends without an answer only when
 * no peer can be heard or none has a configuration.
 *
 * Each variant symbol removes one rule, and the check must then fail:
 *   NO_SUCCESSOR_CHECK       an entry after a gap is taken
 *   OLDER_SNAPSHOT           a snapshot with a lower sequence is taken
 *   ARRIVAL_ORDER            entries are judged in the order of their arrival
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
    bool isCutOff;           /* from all peers, while it starts */
    byte sequence;
    byte version;
    byte accepted;           /* one bit for each accepted entry */
    byte taken;              /* one bit for each entry taken, for ARRIVAL_ORDER only */
    byte floor               /* lowest position of a peer when this process started */
};

Process process[PROCESSES];

/* The log, and the state after each of its entries. */
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

/* A peer that restarts no longer holds the position that others could have learned from it. */
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

/* An operator reads the version and publishes later, so that its base may be outdated by then. */
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
        /* From the service, which may be stale, or from a peer, late. */
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
        /* A peer answers the question that this start asked. */
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
        /* 2 s after the first snapshot without an answer. */
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
