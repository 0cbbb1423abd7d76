/*
 * The control thread: the only thread that runs the scheduler. It blocks until an event arrives or the next timer is
 * due, and hands commands to the traffic side, which must not block.
 */
package org.pomeloladder.runtime

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.pomeloladder.decisions.SchedulerOf

/** Most events of one tick, so that a burst cannot starve timers. */
private const val MAX_EVENTS_PER_TICK = 256

/** Longest time between two ticks, well below the pause threshold. */
private const val MAX_IDLE_MS = 500L

private const val NANOS_PER_MS = 1_000_000L

/** Takes events for the control thread. */
fun interface EventSinkOf<E : Any> {
    fun post(event: E)
}

/** Runs [scheduler] until [stop]. [execute] carries out commands and must not block. */
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

    /** Ends the thread after the current tick. Safe to call from the thread itself. */
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
                await(batch, nextTickMs)
                nextTickMs = tick(batch)
            } catch (_: InterruptedException) {
                continue
            } catch (@Suppress("TooGenericExceptionCaught") broken: RuntimeException) {
                // Outcomes are values; an exception here means that an invariant is broken.
                isRunning = false
                onFailure(broken)
            }
        }
    }

    private fun await(batch: MutableList<E>, untilMs: Long) {
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

/** Milliseconds since an arbitrary start; never goes back. */
fun interface MonotonicClock {
    fun nowMs(): Long
}

/** Receives the duration and the size of each tick. */
fun interface TickMeter {
    fun observe(durationNanos: Long, events: Int)
}

/** The clock of production. */
object SystemMonotonicClock : MonotonicClock {
    private val startNanos = System.nanoTime()

    override fun nowMs(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MS
}
