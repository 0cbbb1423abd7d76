/*
 * Runs the steps of the soak's faults at their times and keeps a record of them.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** The steps of all faults of one run. */
internal class FaultSchedule {
    private val scheduler = Executors.newScheduledThreadPool(THREADS)
    private val startedNanos = System.nanoTime()

    /** The injected faults with their times, for the report of a failed run. */
    val history = ConcurrentLinkedQueue<String>()

    /** Records [what] with the current time in [history], then runs [action]. */
    fun record(what: String, action: () -> Unit) {
        val atMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS
        history += "$atMs ms: $what"
        action()
    }

    fun runAfter(delayMs: Long, action: () -> Unit) {
        scheduler.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    /** Waits until all steps have run. No further ones can be added. */
    fun awaitEnd() {
        scheduler.shutdown()
        scheduler.awaitTermination(END_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** Some steps wait for a process or for the next step of their fault. */
        const val THREADS = 16
        const val END_TIMEOUT_S = 60L
    }
}
