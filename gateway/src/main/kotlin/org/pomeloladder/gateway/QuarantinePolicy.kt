/*
 * Decides which suspect prompt parts are quarantined and when a quarantined part is tested. The
 * decisions follow from the evidence alone, so processes with the same evidence decide alike.
 */
package org.pomeloladder.gateway

/** Decides about suspect prompt parts. */
interface QuarantinePolicy {
    /**
     * Returns groups of [parts] that crash servers. No call with all parts of a group may be sent.
     * The parts of one group cannot be told apart by their crashes.
     */
    fun select(parts: Iterable<SuspectPart>, answered: AnsweredParts): List<Set<PartId>>

    /** Returns the time from which one call may test the quarantined [part]. */
    fun probeAtMs(part: SuspectPart): Long
}

/**
 * Quarantines a part after crashes of different servers without an answer in between. A crash that
 * another quarantined part explains does not count, and crashes at about the same moment count as
 * one: a failure domain that fails takes answers on many sound parts along. Parts with the same
 * crashes are quarantined as a group: calls with some of them are still sent and show which of them
 * is sound.
 */
class RealQuarantinePolicy : QuarantinePolicy {
    override fun select(parts: Iterable<SuspectPart>, answered: AnsweredParts): List<Set<PartId>> {
        val (proven, unproven) = parts.partition { answered.lastMs(it.id) != null }
        val explained = HashSet<CrashId>()
        return selectGroups(unproven, answered, CRASHES_OF_UNPROVEN_PART, explained) +
            selectGroups(proven, answered, CRASHES_OF_PROVEN_PART, explained)
    }

    /** Adds the crashes that the returned groups explain to [explained]. */
    private fun selectGroups(
        parts: List<SuspectPart>,
        answered: AnsweredParts,
        neededCrashes: Int,
        explained: MutableSet<CrashId>,
    ): List<Set<PartId>> {
        val byCrashes = parts.groupBy { openCrashes(it, answered) }
        return byCrashes.entries.sortedByDescending { it.key.size }.mapNotNull { (crashes, group) ->
            val unexplainedTimesMs =
                (crashes - explained).map { group.first().crashes.getValue(it).atMs }
            if (countMoments(unexplainedTimesMs) < neededCrashes) return@mapNotNull null
            explained += crashes
            group.map { it.id }.toSet()
        }
    }

    /** Counts the [timesMs], of which those within [MOMENT_MS] of an earlier one count as one. */
    private fun countMoments(timesMs: List<Long>): Int {
        var count = 0
        var momentMs = Long.MIN_VALUE / 2
        for (timeMs in timesMs.sorted()) {
            if (timeMs - momentMs < MOMENT_MS) continue
            momentMs = timeMs
            count++
        }
        return count
    }

    override fun probeAtMs(part: SuspectPart): Long {
        val lastCrashMs = part.crashes.values.maxOfOrNull { it.atMs } ?: 0
        return lastCrashMs + (FIRST_PROBE_DELAY_MS shl part.probes.coerceIn(0, MAX_DOUBLINGS))
    }

    private companion object {
        /** One crash may have another cause, such as a server that was about to fail. */
        const val CRASHES_OF_UNPROVEN_PART = 2

        /** A part that has been answered stands beside the cause more often than it is the cause. */
        const val CRASHES_OF_PROVEN_PART = 4

        /** Exceeds the time in which all VMs notice the servers of a domain that fails. */
        const val MOMENT_MS = 250L

        /** Time for which a part is quarantined before the first test, which may cost a server. */
        const val FIRST_PROBE_DELAY_MS = 60_000L
        const val MAX_DOUBLINGS = 5
    }
}

/** Returns the confirmed crashes of [part] since an answer last began on it. */
internal fun openCrashes(part: SuspectPart, answered: AnsweredParts): Set<CrashId> {
    val answeredMs = answered.lastMs(part.id) ?: Long.MIN_VALUE
    return part.crashes.filterValues { it.isConfirmed && it.atMs > answeredMs }.keys
}
