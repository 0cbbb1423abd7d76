/*
 * Counts calls and extra arrivals of one service in a sliding window, for the retry budget that all entry VMs share.
 */
package org.pomeloladder.gateway

/** Part of the allowed extra arrivals that is used, since windows of different VMs do not line up. */
private const val USED_FRACTION = 0.85

/** The window of one service at one process. */
class RetryBudget {
    private val callTimesMs = ArrayDeque<Long>()
    private val extraTimesMs = ArrayDeque<Long>()

    fun recordCall(nowMs: Long) {
        callTimesMs.addLast(nowMs)
    }

    /**
     * Takes one extra arrival when this process's share allows it: its own calls by ratio, and an equal part of the
     * slack for each of [vms] entry VMs.
     */
    fun tryAcquire(nowMs: Long, bounds: GatewayBounds, vms: Int): Boolean {
        expire(nowMs - bounds.retryWindowMs)
        val allowed = USED_FRACTION * (bounds.retryRatio * callTimesMs.size + bounds.retrySlack / vms)
        if (extraTimesMs.size + 1 > allowed) return false
        extraTimesMs.addLast(nowMs)
        return true
    }

    /** Gives the last extra arrival back, which was not sent. */
    fun refund() {
        extraTimesMs.removeLastOrNull()
    }

    private fun expire(beforeMs: Long) {
        while (callTimesMs.isNotEmpty() && callTimesMs.first() < beforeMs) callTimesMs.removeFirst()
        while (extraTimesMs.isNotEmpty() && extraTimesMs.first() < beforeMs) extraTimesMs.removeFirst()
    }
}
