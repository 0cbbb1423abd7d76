/*
 * Counts arrivals at backend servers as the platform's rule on retries does: in any window, one
 * service may get a share of the requests for it, plus a slack, as arrivals beyond the first of each
 * request, summed over all entry VMs. Rejected arrivals count too.
 */
package org.pomeloladder.bench

import org.pomeloladder.standins.Arrival

/** The rule's bounds. The settings of [GatewayProcess] get the same. */
internal class RetryBounds(
    val ratio: Double = 0.2,
    val slack: Double = 56.0,
    val windowMs: Long = 10_000,
)

/** The window that exceeds the bound by most, or comes closest to it. */
internal data class RetryWindow(
    val fromMs: Long,
    val extraArrivals: Int,
    val requests: Int,
    val allowed: Double,
) {
    val isExceeded: Boolean
        get() = extraArrivals > allowed
}

/**
 * Judges one service by the times at which callers sent requests on its routes, [requestTimesMs],
 * and by all [arrivals] at its servers.
 */
internal class RetryBudgetAudit(
    requestTimesMs: Collection<Long>,
    arrivals: Collection<Arrival>,
    private val bounds: RetryBounds = RetryBounds(),
) {
    private val requestTimesMs = requestTimesMs.sorted()
    private val extraTimesMs = arrivals.groupBy { it.requestId }
        .values
        .flatMap { sameRequest -> sameRequest.map { it.atMs }.sorted().drop(1) }
        .sorted()

    /** Number of arrivals beyond the first of each request in the whole time. */
    val extraArrivals: Int
        get() = extraTimesMs.size

    /** Returns the worst window, or null when no request arrived twice. */
    fun worstWindow(): RetryWindow? =
        extraTimesMs.map { windowFrom(it) }.maxByOrNull { it.extraArrivals - it.allowed }

    private fun windowFrom(fromMs: Long): RetryWindow {
        val extraArrivals = countWithin(extraTimesMs, fromMs)
        // Requests count in the window itself, the one before it, or the one half a window before.
        val requests = listOf(0L, bounds.windowMs / 2, bounds.windowMs)
            .maxOf { countWithin(requestTimesMs, fromMs - it) }
        return RetryWindow(
            fromMs,
            extraArrivals,
            requests,
            bounds.ratio * requests + bounds.slack,
        )
    }

    private fun countWithin(timesMs: List<Long>, fromMs: Long): Int =
        timesMs.count { it >= fromMs && it < fromMs + bounds.windowMs }
}
