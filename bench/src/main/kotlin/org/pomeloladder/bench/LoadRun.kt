/*
 * Runs calls open-loop. Latencies are measured from the time at which a call was due, so that a
 * late start of a call counts as latency.
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
private const val MAX_RECORDED_MICROS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3

/** Maximum wait for measured calls after the last call was started. */
private const val FINISH_TIMEOUT_MS = 20_000L

/** Outcome counts and latencies of one kind of call. Thread-safe. */
class KindStatistics {
    private val firstToken = ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
    private val total = ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
    private val countsByEnd = ConcurrentHashMap<CallEnd, Int>()

    fun record(dueNanos: Long, outcome: CallOutcome) {
        countsByEnd.merge(outcome.end, 1, Int::plus)
        // Without a token, the end of the call is a lower bound of the time to first token.
        record(firstToken, (outcome.firstTokenNanos ?: outcome.endNanos) - dueNanos)
        record(total, outcome.endNanos - dueNanos)
    }

    fun count(end: CallEnd): Int = countsByEnd[end] ?: 0

    val count: Int
        get() = countsByEnd.values.sum()

    fun firstTokenMs(percentile: Double) =
        firstToken.getValueAtPercentile(percentile) / MICROS_PER_MS

    fun totalMs(percentile: Double) = total.getValueAtPercentile(percentile) / MICROS_PER_MS

    private fun record(histogram: ConcurrentHistogram, nanos: Long) =
        histogram.recordValue((nanos / NANOS_PER_MICRO).coerceIn(0, MAX_RECORDED_MICROS))
}

/** The statistics of a run by kind of call. */
class LoadResult {
    private val kinds = ConcurrentHashMap<String, KindStatistics>()

    fun kind(name: String): KindStatistics = kinds.computeIfAbsent(name) { KindStatistics() }

    fun count(end: CallEnd): Int = kinds.values.sumOf { it.count(end) }

    /**
     * The number of measured calls that had not ended when the wait timed out. They are also
     * counted as refused at that time.
     */
    @Volatile
    var unfinished = 0
        internal set
}

/**
 * Runs [calls] with [caller]. Returns when all measured calls have ended, or 20 s after the last
 * call was started.
 */
fun runLoad(caller: StreamCaller, calls: List<Call>): LoadResult {
    val result = LoadResult()
    val measured = calls.filter { it.isMeasured }
    val pending = ConcurrentHashMap<Call, Long>()
    val remaining = CountDownLatch(measured.size)
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
            if (call.isMeasured) remaining.countDown()
        }
    }
    remaining.await(FINISH_TIMEOUT_MS, TimeUnit.MILLISECONDS)
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
