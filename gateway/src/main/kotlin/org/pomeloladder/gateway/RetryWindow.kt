/*
 * Counts calls and extra arrivals of one service in a sliding window, for the retry budget that all entry VMs share.
 */
package org.pomeloladder.gateway

/** Part of the allowed extra arrivals that is used, since windows of different VMs do not line up. */
private const val USED_SHARE = 0.85

/** The window of one service at one process. */
class RetryWindow {
    private val calls = ArrayDeque<Long>()
    private val extras = ArrayDeque<Long>()

    fun call(nowMs: Long) {
        calls.addLast(nowMs)
    }

    /**
     * Takes one extra arrival when this process's share allows it: its own calls by ratio, and an equal part of the
     * slack for each of [vms] entry VMs.
     */
    fun take(nowMs: Long, bounds: GatewayBounds, vms: Int): Boolean {
        expire(nowMs - bounds.retryWindowMs)
        val allowed = USED_SHARE * (bounds.retryRatio * calls.size + bounds.retrySlack / vms)
        if (extras.size + 1 > allowed) return false
        extras.addLast(nowMs)
        return true
    }

    /** Gives the last extra arrival back, which was not sent. */
    fun giveBack() {
        extras.removeLastOrNull()
    }

    private fun expire(beforeMs: Long) {
        while (calls.isNotEmpty() && calls.first() < beforeMs) calls.removeFirst()
        while (extras.isNotEmpty() && extras.first() < beforeMs) extras.removeFirst()
    }
}
