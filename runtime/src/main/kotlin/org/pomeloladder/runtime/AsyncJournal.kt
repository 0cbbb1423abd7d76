/*
 * Asynchronous logging: a bounded queue and a writer thread, so that the control thread never waits
 * for log output.
 */
package org.pomeloladder.runtime

import java.util.concurrent.ArrayBlockingQueue
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** Holds about two seconds of log lines at the highest rate of one VM. */
private const val QUEUE_CAPACITY = 2_048

/**
 * Passes log events to [delegate] on a writer thread. When the queue is full, new lines are dropped
 * and counted as [Counter.LOG_LINES_DROPPED]; the queued ones are kept because they show how a
 * fault began.
 */
class AsyncJournal(private val delegate: Journal) :
    Journal,
    AutoCloseable {
    private class LogLine(val event: LogEvent, val details: Map<String, Any?>)

    private val queue = ArrayBlockingQueue<LogLine>(QUEUE_CAPACITY)
    private val writer = Thread(::writeLines, "journal").apply { isDaemon = true }

    @Volatile
    private var isOpen = true

    fun start() = writer.start()

    override fun log(event: LogEvent, details: Map<String, Any?>) {
        if (!queue.offer(LogLine(event, details))) {
            delegate.count(Counter.LOG_LINES_DROPPED, "queue-full")
        }
    }

    override fun count(counter: Counter, reason: String, amount: Long) =
        delegate.count(counter, reason, amount)

    override fun observe(latency: Latency, durationMs: Long) = delegate.observe(latency, durationMs)

    /** Stops the writer thread after the queued lines. Waits at most [CLOSE_TIMEOUT_MS] for it. */
    override fun close() {
        isOpen = false
        writer.interrupt()
        writer.join(CLOSE_TIMEOUT_MS)
    }

    private fun writeLines() {
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
        const val CLOSE_TIMEOUT_MS = 200L
    }
}
