/*
 * Runs calls open-loop. Latencies count from the time when a call was due, so that waiting before a
 * call is not hidden.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.HdrHistogram.ConcurrentHistogram

private const val NANOS_PER_MS = 1_000_000.0
private const val MICROS_PER_MS = 1_000.0
private const val NANOS_PER_MICRO = 1_000L
private const val HIGHEST_MICROS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3

/** Longest wait for measured calls after the last one was due. */
private const val FINISH_TIMEOUT_MS = 20_000L

/** What one kind of call experienced. Safe for many threads. */
class KindResult {
    private val firstToken = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val total = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val ends = ConcurrentHashMap<CallEnd, Int>()

    fun record(dueNanos: Long, outcome: CallOutcome) {
        ends.merge(outcome.end, 1, Int::plus)
        // A call without a token waited at least until its end.
        record(firstToken, (outcome.firstTokenNanos ?: outcome.endNanos) - dueNanos)
        record(total, outcome.endNanos - dueNanos)
    }

    fun count(end: CallEnd): Int = ends[end] ?: 0

    val count: Int
        get() = ends.values.sum()

    fun firstTokenMs(percentile: Double) =
        firstToken.getValueAtPercentile(percentile) / MICROS_PER_MS

    fun totalMs(percentile: Double) = total.getValueAtPercentile(percentile) / MICROS_PER_MS

    private fun record(histogram: ConcurrentHistogram, nanos: Long) =
        histogram.recordValue((nanos / NANOS_PER_MICRO).coerceIn(0, HIGHEST_MICROS))
}

/** What all calls of a run experienced, by kind. */
class LoadResult {
    private val kinds = ConcurrentHashMap<String, KindResult>()

    fun kind(name: String): KindResult = kinds.computeIfAbsent(name) { KindResult() }

    fun count(end: CallEnd): Int = kinds.values.sumOf { it.count(end) }

    /**
     * Measured calls that had not ended when the run gave up waiting; included as refused at that
     * time.
     */
    @Volatile
    var unfinished = 0
        internal set
}

/**
 * Runs [calls] with [caller] and returns when all measured ones have ended, or 20 s after the last
 * was due.
 */
fun runLoad(caller: StreamCaller, calls: List<Call>): LoadResult {
    val result = LoadResult()
    val measured = calls.filter { it.isMeasured }
    val pending = ConcurrentHashMap<Call, Long>()
    val left = CountDownLatch(measured.size)
    val threads = Executors.newCachedThreadPool { Thread(it, "caller").apply { isDaemon = true } }
    val startNanos = System.nanoTime()
    for (call in calls.sortedBy { it.atMs }) {
        val dueNanos = startNanos + (call.atMs * NANOS_PER_MS).toLong()
        val waitNanos = dueNanos - System.nanoTime()
        if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos)
        pending[call] = dueNanos
        threads.execute {
            val outcome = caller.call(call)
            if (pending.remove(call) == null) return@execute
            result.kind(call.kind).record(dueNanos, outcome)
            if (call.isMeasured) left.countDown()
        }
    }
    left.await(FINISH_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    for (call in pending.keys) {
        val dueNanos = pending.remove(call) ?: continue
        if (!call.isMeasured) continue
        result.unfinished += 1
        result.kind(call.kind)
            .record(dueNanos, CallOutcome(CallEnd.REFUSED, null, System.nanoTime()))
    }
    threads.shutdownNow()
    return result
}
