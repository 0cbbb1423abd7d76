/*
 * Counts arrivals at a backend server as the platform's rule on limits does: in any 4 s, half as
 * much again as the limit allows, and five requests, summed over all entry VMs.
 */
package org.pomeloladder.bench

import org.pomeloladder.standins.RouteServer

/** Time in which all VMs learn of a limit; the platform allows more. */
private const val NOTICE_MS = 2_000L
private const val WINDOW_MS = 4_000L
private const val WINDOW_S = 4
private const val OVERAGE = 1.5
private const val SLACK = 5

/** A time during which [server] named a limit of [perS] requests a second. */
internal class LimitPeriod(
    private val server: RouteServer,
    private val perS: Double,
    private val fromMs: Long,
    private val untilMs: Long,
) {
    val allowed = perS * OVERAGE * WINDOW_S + SLACK

    /** The most requests in a window that began when the VMs had to know the limit. */
    fun worstCount(): Int {
        val period = fromMs + NOTICE_MS until untilMs
        val timesMs = server.arrivals.map { it.atMs }.filter { it in period }
        return timesMs.maxOfOrNull { start ->
            timesMs.count { it in start until start + WINDOW_MS }
        } ?: 0
    }

    override fun toString() = "${server.instance} with a limit of $perS, allowed $allowed"
}
