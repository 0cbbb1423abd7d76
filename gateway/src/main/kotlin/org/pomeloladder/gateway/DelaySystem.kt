/*
 * Watches how late the threads of this process run, so that pauses of a stream can be told apart: made here, or before
 * its bytes arrived.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** A delay from this on is a noticeable part of the pause that callers of a stream accept. */
private const val LATE_MS = 100L

/** Shortest time between two lines about delays. */
private const val LOG_INTERVAL_MS = 1_000L

/** Observes the delays of both threads. */
class DelaySystem : GatewaySystem {
    private var loggedMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) = tick.each<TrafficDelay> { timed ->
        val controlMs = (tick.nowMs - timed.atMs).coerceAtLeast(0)
        tick.journal.observe(Latency.TRAFFIC_DELAY, timed.lateMs)
        tick.journal.observe(Latency.CONTROL_DELAY, controlMs)
        if (maxOf(timed.lateMs, controlMs) >= LATE_MS) log(world, tick, timed.lateMs, controlMs)
    }

    private fun log(world: GatewayWorld, tick: GatewayTick, trafficMs: Long, controlMs: Long) {
        if (tick.nowMs - loggedMs < LOG_INTERVAL_MS) return
        loggedMs = tick.nowMs
        val details = mapOf(
            "trafficMs" to trafficMs,
            "controlMs" to controlMs,
            "calls" to world.calls.size,
        )
        tick.journal.log(LogEvent.THREADS_LATE, details)
    }
}
