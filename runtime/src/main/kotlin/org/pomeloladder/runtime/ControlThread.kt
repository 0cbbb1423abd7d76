/*
 * The event loop of the control state. Only the control thread runs the scheduler. It blocks until
 * an event arrives or the next timer is due, and passes the resulting commands to the traffic
 * threads without waiting for them.
 */
package org.pomeloladder.runtime

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.pomeloladder.decisions.SchedulerOf

/** Maximum number of events per tick, so that a burst of events cannot starve timers. */
private const val MAX_EVENTS_PER_TICK = 256

/**
 * Maximum time that the thread waits for an event. It is well below the pause threshold, so that an
 * idle process is not taken for a paused one.
 */
private const val MAX_IDLE_MS = 500L

private const val NANOS_PER_MS = 1_000_000L

/** Accepts events for the control thread. Safe to call from any thread; does not block. */
fun interface EventSinkOf<E : Any> {
    fun post(event: E)
}

/**
 * Runs [scheduler] on a thread of its own from [start] to [stop]. [execute] is called on that
 * thread with each command and must not block. [onFailure] is called on it with an unexpected
 * exception, after which no tick runs.
 */
class ControlThread<W : Any, E : Any, C : Any>(
    private val scheduler: SchedulerOf<W, E, C>,
    private val clock: MonotonicClock,
    private val metrics: TickMeter,
    private val execute: (C) -> Unit,
    private val onFailure: (Throwable) -> Unit,
) : EventSinkOf<E> {
    private val inbox = LinkedBlockingQueue<E>()
    private val thread = Thread(::run, "control")

    @Volatile
    private var isRunning = true

    fun start() = thread.start()

    override fun post(event: E) {
        inbox.add(event)
    }

    /** Ends the thread after the current tick and waits for it, except on the thread itself. */
    fun stop() {
        isRunning = false
        thread.interrupt()
        if (Thread.currentThread() != thread) thread.join()
    }

    private fun run() {
        var nextTickMs = clock.nowMs()
        val batch = ArrayList<E>(MAX_EVENTS_PER_TICK)
        while (isRunning) {
            try {
                batch.clear()
                awaitEvents(batch, nextTickMs)
                nextTickMs = tick(batch)
            } catch (_: InterruptedException) {
                continue
            } catch (@Suppress("TooGenericExceptionCaught") failure: Throwable) {
                // Expected failures are values, so an exception here means a violated invariant. An
                // error must not end this thread alone: the process would go on without decisions.
                isRunning = false
                onFailure(failure)
            }
        }
    }

    /** Waits for an event until [untilMs] at the latest and moves what has arrived into [batch]. */
    private fun awaitEvents(batch: MutableList<E>, untilMs: Long) {
        val waitMs = minOf(untilMs - clock.nowMs(), MAX_IDLE_MS)
        val first = if (waitMs > 0) inbox.poll(waitMs, TimeUnit.MILLISECONDS) else inbox.poll()
        if (first == null) return
        batch += first
        inbox.drainTo(batch, MAX_EVENTS_PER_TICK - 1)
    }

    private fun tick(batch: List<E>): Long {
        val nowMs = clock.nowMs()
        val startNanos = System.nanoTime()
        val result = scheduler.tick(nowMs, batch)
        result.commands.forEach(execute)
        metrics.observe(System.nanoTime() - startNanos, batch.size)
        return result.nextTickMs
    }
}

/** Milliseconds since an arbitrary origin; never decreases. */
fun interface MonotonicClock {
    fun nowMs(): Long
}

/** Receives the duration and the number of events of each tick. */
fun interface TickMeter {
    fun observe(durationNanos: Long, events: Int)
}

/** The clock of the JVM. Its origin is the first use in the process. */
object SystemMonotonicClock : MonotonicClock {
    private val startNanos = System.nanoTime()

    override fun nowMs(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MS
}
