/*
 * Keeps the control thread from waiting for the log's output: lines go through a bounded queue to a thread of their own.
 */
package org.pomeloladder.runtime

import java.util.concurrent.ArrayBlockingQueue
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** About two seconds of lines at the highest rate of one VM. */
private const val QUEUE_LINES = 2_048

/**
 * Hands events to [delegate] on a thread of its own. When the queue is full the newest line is dropped and counted under
 * [Counter.LOG_LINES_DROPPED], so that lines about how a fault began are kept.
 */
class AsyncJournal(private val delegate: Journal) :
    Journal,
    AutoCloseable {
    private class Line(val event: LogEvent, val details: Map<String, Any?>)

    private val queue = ArrayBlockingQueue<Line>(QUEUE_LINES)
    private val writer = Thread(::write, "journal").apply { isDaemon = true }

    @Volatile
    private var isOpen = true

    fun start() = writer.start()

    override fun log(event: LogEvent, details: Map<String, Any?>) {
        if (!queue.offer(Line(event, details))) {
            delegate.count(Counter.LOG_LINES_DROPPED, "queue-full")
        }
    }

    override fun count(counter: Counter, reason: String, amount: Long) =
        delegate.count(counter, reason, amount)

    override fun observe(latency: Latency, durationMs: Long) = delegate.observe(latency, durationMs)

    /** Writes what is queued and ends the thread, at the latest after [CLOSE_MS]. */
    override fun close() {
        isOpen = false
        writer.interrupt()
        writer.join(CLOSE_MS)
    }

    private fun write() {
        while (isOpen) {
            try {
                val line = queue.take()
                delegate.log(line.event, line.details)
            } catch (_: InterruptedException) {
                break
            }
        }
        generateSequence { queue.poll() }.forEach { delegate.log(it.event, it.details) }
    }

    private companion object {
        const val CLOSE_MS = 200L
    }
}
