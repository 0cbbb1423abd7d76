/*
 * Measures how late the threads of this process run. This shows whether a pause in a stream was
 * caused by this process or occurred before the bytes reached it.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/**
 * Delays from this value on are logged: they are a noticeable part of the pause that callers of a
 * stream accept.
 */
private const val LOGGED_MS = 100L

/** Minimum time between two log lines about delays. */
private const val LOG_INTERVAL_MS = 1_000L

/** Records the delays of the traffic thread and the control thread. */
class DelaySystem : GatewaySystem {
    private var lastLogMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) = tick.each<TrafficDelay> { delay ->
        val controlMs = (tick.nowMs - delay.atMs).coerceAtLeast(0)
        tick.journal.observe(Latency.TRAFFIC_DELAY, delay.lateMs)
        tick.journal.observe(Latency.CONTROL_DELAY, controlMs)
        if (maxOf(delay.lateMs, controlMs) >= LOGGED_MS) log(world, tick, delay.lateMs, controlMs)
    }

    private fun log(world: GatewayWorld, tick: GatewayTick, trafficMs: Long, controlMs: Long) {
        if (tick.nowMs - lastLogMs < LOG_INTERVAL_MS) return
        lastLogMs = tick.nowMs
        val details = mapOf(
            "trafficMs" to trafficMs,
            "controlMs" to controlMs,
            "calls" to world.calls.size,
        )
        tick.journal.log(LogEvent.THREADS_LATE, details)
    }
}
