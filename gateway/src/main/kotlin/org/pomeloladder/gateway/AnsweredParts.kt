/*
 * Remembers which shared prompt parts are proven: an answer has begun on a prompt with them. The
 * memory is bounded; a part that has been forgotten only counts as unproven again.
 */
package org.pomeloladder.gateway

/** Times of the last answers by part, for the most recently answered parts. */
class AnsweredParts {
    private val timesMs = object : LinkedHashMap<PartId, Long>(INITIAL_PARTS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PartId, Long>) = size > MAX_PARTS
    }

    /** Returns the time of the last known answer on [part], or null if none is known. */
    fun lastMs(part: PartId): Long? = timesMs[part]

    /** Records that an answer on [part] began at [atMs]. Returns whether this is news. */
    fun record(part: PartId, atMs: Long): Boolean {
        val previousMs = timesMs[part]
        if (previousMs != null && previousMs >= atMs) return false
        timesMs[part] = atMs
        return true
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_PARTS = 4_096
    }
}
