/*
 * Limits the retries of one service by its calls and extra arrivals within a sliding window. All
 * entry VMs share the budget.
 */
package org.pomeloladder.gateway

/**
 * Fraction of the allowed extra arrivals that is used, since the windows of different VMs are not
 * aligned.
 */
private const val USED_FRACTION = 0.85

/**
 * Maximum time from the start of a send to its arrival: connecting to a peer in another region, and
 * from there to a server.
 */
internal const val MAX_ARRIVAL_DELAY_MS = 1_050L

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

    fun addCall(nowMs: Long) {
        callTimes.addLast(nowMs)
    }

    /**
     * Takes one extra arrival from this process's share of the budget, or returns null when none is
     * left. The share is a ratio of its own calls, plus [slack].
     */
    fun tryAcquire(nowMs: Long, bounds: GatewayBounds, slack: Double): SendPermit.Retry? {
        expire(nowMs, bounds)
        val allowed =
            USED_FRACTION * (bounds.retryRatio * callTimes.size + slack)
        if (extraTimes.size + 1 > allowed) return null
        extraTimes.addLast(nowMs)
        return SendPermit.Retry(nowMs)
    }

    /** The extra arrivals within the window of [nowMs], for the log. */
    fun extraArrivals(nowMs: Long, bounds: GatewayBounds): Int {
        expire(nowMs, bounds)
        return extraTimes.size
    }

    /** Returns [permit] to the budget, since its send reached no server. */
    fun refund(permit: SendPermit) {
        if (permit is SendPermit.Retry) extraTimes.remove(permit.takenMs)
    }

    private fun expire(nowMs: Long, bounds: GatewayBounds) {
        val windowStartMs = nowMs - bounds.retryWindowMs
        while (callTimes.isNotEmpty() && callTimes.first() < windowStartMs) callTimes.removeFirst()
        // What was sent before the window may arrive within it.
        val sentSinceMs = windowStartMs - MAX_ARRIVAL_DELAY_MS
        while (extraTimes.isNotEmpty() && extraTimes.first() < sentSinceMs) extraTimes.removeFirst()
    }
}
