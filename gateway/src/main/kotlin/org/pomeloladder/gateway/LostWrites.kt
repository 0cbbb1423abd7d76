/*
 * What this process knows that the platform lost when it came back from an older copy of itself. The
 * copy undoes drains, evacuations and removals that were acknowledged, and names earlier lives of
 * servers. What is known stays in force until its writer has written again, or for a limited time if
 * nobody does.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId

/**
 * Time for which a lost write stays in force. Servers write again with their next heartbeat, and the
 * entry of one that has left expires after three; operators take a few seconds.
 */
private const val RETENTION_MS = 9_000L

/** Lives of servers that ended are remembered for longer than a copy is old. */
private const val ENDED_LIFE_RETENTION_MS = 300_000L

/** Keeps lost writes in force on top of what the platform says. */
internal class LostWrites {
    /** The [copied] entry of a server is followed only once it changes; [known] stays until then. */
    private class LostEntry(
        val copied: BackendRecord,
        val known: BackendRecord?,
        val untilMs: Long,
    )

    private data class Life(val server: BackendServerId, val startedAtUnixMs: Long)

    private val entries = HashMap<BackendServerId, LostEntry>()
    private val evacuationsUntilMs = HashMap<FailureDomainId, Long>()
    private val endedLivesMs = LinkedHashMap<Life, Long>()

    /** Time at which the next lost write ends, or null if none is in force. */
    val nextEndMs: Long?
        get() = (entries.values.map { it.untilMs } + evacuationsUntilMs.values).minOrNull()

    /** Number of lost writes in force. */
    val size: Int
        get() = entries.size + evacuationsUntilMs.size

    /** Remembers that the life of [server] that began at [startedAtUnixMs] has ended. */
    fun recordEndedLife(server: BackendServerId, startedAtUnixMs: Long, nowMs: Long) {
        endedLivesMs[Life(server, startedAtUnixMs)] = nowMs
    }

    /** Remembers the lives that ended between [before] and [after], two views of one era. */
    fun recordEndedLives(before: PublishedView, after: PublishedView, nowMs: Long) {
        endedLivesMs.values.removeIf { nowMs - it > ENDED_LIFE_RETENTION_MS }
        val startedAt = after.backends.associate { it.id to it.startedAtUnixMs }
        for (record in before.backends) {
            if (startedAt[record.id] == record.startedAtUnixMs) continue
            recordEndedLife(record.id, record.startedAtUnixMs, nowMs)
        }
    }

    /** Finds what [copy], the first view of a new era, has lost of what was [known] before. */
    fun compare(known: PublishedView, copy: PublishedView, nowMs: Long) {
        val untilMs = nowMs + RETENTION_MS
        for (domain in known.evacuated - copy.evacuated) evacuationsUntilMs[domain] = untilMs
        val knownById = known.backends.associateBy { it.id }
        for (copied in copy.backends) {
            val record = knownById[copied.id]
            val isSameLife = record?.startedAtUnixMs == copied.startedAtUnixMs
            val isDrainLost = isSameLife && record?.isDraining == true && !copied.isDraining
            val isEarlier = record != null && record.startedAtUnixMs > copied.startedAtUnixMs
            val isLifeEnded = isEarlier ||
                !isSameLife &&
                Life(copied.id, copied.startedAtUnixMs) in endedLivesMs
            if (isDrainLost || isLifeEnded) {
                entries[copied.id] = LostEntry(copied, record, untilMs)
            }
        }
    }

    /** Returns [view] with the lost writes that nobody has written again. */
    fun applyTo(view: PublishedView, nowMs: Long): PublishedView {
        evacuationsUntilMs.entries.removeIf { (domain, untilMs) ->
            domain in view.evacuated || nowMs >= untilMs
        }
        if (entries.isNotEmpty()) {
            val current = view.backends.associateBy { it.id }
            entries.entries.removeIf { (id, lost) ->
                current[id] != lost.copied || nowMs >= lost.untilMs
            }
        }
        if (size == 0) return view
        return view.copy(
            backends = view.backends.mapNotNull { record ->
                val lost = entries[record.id]
                if (lost == null) record else lost.known
            },
            evacuated = view.evacuated + evacuationsUntilMs.keys,
        )
    }
}
