/*
 * Limits the retries of one service by its calls and extra arrivals within any sliding window. All
 * entry VMs share the budget without asking each other: each keeps the bound for its own calls, and
 * every window is measured by the calls around its start, so that the bounds of all processes,
 * earlier ones of the same VM included, add up to that of the fleet.
 */
package org.pomeloladder.gateway

/** Fraction of the bound that is used. The rest covers sends that are under way for long. */
private const val USED_FRACTION = 0.95

/**
 * Usual maximum time from the start of a send to its arrival: connecting to a peer in another region,
 * and from there to a server.
 */
internal const val MAX_ARRIVAL_DELAY_MS = 1_050L

/** Distance between the starts of the windows that are checked. */
private const val STEP_MS = 100L

/** Permission for one send. */
sealed interface SendPermit {
    /** The first send of a call needs no budget. */
    data object First : SendPermit

    /** A retry, taken from the budget at [takenMs]. */
    data class Retry(val takenMs: Long) : SendPermit
}

/** The retry budget of one service at one process. */
class RetryBudget {
    private val callTimes = ArrayDeque<Long>()
    private val extraTimes = ArrayDeque<Long>()

    fun addCall(nowMs: Long, bounds: GatewayBounds) {
        callTimes.addLast(nowMs)
        expire(nowMs, bounds)
    }

    /**
     * Takes one extra arrival from this process's share of the budget, or returns null when none is
     * left. The share is a ratio of its own calls, plus [slack].
     */
    fun tryAcquire(nowMs: Long, bounds: GatewayBounds, slack: Double): SendPermit.Retry? {
        expire(nowMs, bounds)
        var lastStartMs = nowMs + MAX_ARRIVAL_DELAY_MS
        while (lastStartMs > nowMs - bounds.retryWindowMs) {
            val firstStartMs = lastStartMs - STEP_MS
            if (!isFree(firstStartMs, lastStartMs, bounds, slack)) return null
            lastStartMs = firstStartMs
        }
        extraTimes.addLast(nowMs)
        return SendPermit.Retry(nowMs)
    }

    /** Returns the number of extra arrivals that count at [nowMs], for the log. */
    fun extraArrivals(nowMs: Long, bounds: GatewayBounds): Int =
        extraTimes.countSince(oldestExtraMs(nowMs, bounds))

    /** Returns [permit] to the budget, since its send reached no server. */
    fun refund(permit: SendPermit) {
        if (permit is SendPermit.Retry) extraTimes.remove(permit.takenMs)
    }

    /** Whether each window that starts within the given span has room for one more arrival. */
    private fun isFree(
        firstStartMs: Long,
        lastStartMs: Long,
        bounds: GatewayBounds,
        slack: Double,
    ): Boolean {
        val halfWindowMs = bounds.retryWindowMs / 2
        // What was sent before the window may arrive within it.
        val extras = extraTimes.countSince(firstStartMs - MAX_ARRIVAL_DELAY_MS)
        val calls = callTimes.countSince(lastStartMs - halfWindowMs) -
            callTimes.countSince(firstStartMs + halfWindowMs)
        return extras + 1 <= USED_FRACTION * (bounds.retryRatio * maxOf(calls, 0) + slack)
    }

    private fun expire(nowMs: Long, bounds: GatewayBounds) {
        val oldestCallMs = nowMs - bounds.retryWindowMs - bounds.retryWindowMs / 2 - STEP_MS
        while (callTimes.isNotEmpty() && callTimes.first() < oldestCallMs) callTimes.removeFirst()
        val oldestExtraMs = oldestExtraMs(nowMs, bounds)
        while (extraTimes.isNotEmpty() && extraTimes.first() < oldestExtraMs) {
            extraTimes.removeFirst()
        }
    }

    private fun oldestExtraMs(nowMs: Long, bounds: GatewayBounds) =
        nowMs - bounds.retryWindowMs - STEP_MS - MAX_ARRIVAL_DELAY_MS

    /** Number of elements of this sorted list that are at least [timeMs]. */
    private fun List<Long>.countSince(timeMs: Long): Int {
        val position = binarySearch { if (it < timeMs) -1 else 1 }
        return size - (-position - 1)
    }
}
