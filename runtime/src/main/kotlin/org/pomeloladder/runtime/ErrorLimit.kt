/*
 * Limits how often a process goes on after an internal error. Errors that come with single messages
 * are rare; if they come often, the state of the process cannot be trusted.
 */
package org.pomeloladder.runtime

/** Allows [maxErrors] errors within [windowMs]. Confined to one thread. */
class ErrorLimit(
    private val maxErrors: Int,
    private val windowMs: Long,
    private val clock: MonotonicClock,
) {
    private val timesMs = ArrayDeque<Long>()

    /** Records an error and returns whether the process may go on. */
    fun tryContinue(): Boolean {
        val nowMs = clock.nowMs()
        while (timesMs.isNotEmpty() && nowMs - timesMs.first() > windowMs) timesMs.removeFirst()
        timesMs.addLast(nowMs)
        return timesMs.size <= maxErrors
    }
}
