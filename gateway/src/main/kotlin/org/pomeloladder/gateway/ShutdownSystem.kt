/*
 * Graceful shutdown: the process leaves the directory at once, continues to serve calls until
 * callers have switched to other entry VMs, and stops when no call is left or the grace period
 * ends.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/**
 * Part of the grace period that is reserved for stopping the process. With 500 ms, 3 of 18
 * processes were killed at the end of the grace period in a test of the Krabia deployment.
 */
internal const val STOP_RESERVE_MS = 1_000L

/** Part of the grace period that remains reserved while the last answers are written. */
private const val CLOSE_RESERVE_MS = 500L

/** Interval at which the conditions for stopping are checked. */
private const val CHECK_INTERVAL_MS = 50L

/** Stops the process after a shutdown request. */
class ShutdownSystem(private val placer: CallPlacer) : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        val process = world.process
        tick.each<ShutdownRequested> {
            if (!process.isDraining) {
                process.isDraining = true
                process.drainStartedMs = tick.nowMs
                tick.journal.log(LogEvent.DRAINING, mapOf("calls" to world.calls.size))
            }
        }
        if (!process.isDraining || process.isStopped) return
        val elapsedMs = tick.nowMs - process.drainStartedMs
        val haveCallersSwitched = elapsedMs >= world.bounds.entryTtlMs + SWITCH_MARGIN_MS
        val isTimeUp = elapsedMs >= world.bounds.shutdownGraceMs - STOP_RESERVE_MS
        if (isTimeUp || haveCallersSwitched && world.calls.size == 0) {
            process.isStopped = true
            if (isTimeUp) abandonCalls(world, tick)
            val remainingMs = world.bounds.shutdownGraceMs - elapsedMs
            val stop = StopGateway(
                answerGraceMs = (remainingMs - CLOSE_RESERVE_MS).coerceAtLeast(0),
                callGraceMs = (remainingMs - STOP_RESERVE_MS).coerceAtLeast(0),
            )
            tick.emit(stop)
        }
        tick.wakeAt(tick.nowMs + CHECK_INTERVAL_MS)
    }

    /**
     * Answers the calls that are not answered yet, since a closed connection would not even tell
     * their callers that the process has seen them. Started streams are cut off.
     */
    private fun abandonCalls(world: GatewayWorld, tick: GatewayTick) {
        for (call in world.calls.filterNot { it.isStreamStarted }) {
            placer.abandon(world, tick, call, CallRefusal.DRAINING)
        }
    }

    private companion object {
        /** Allows for a directory response in transit and a request that is sent because of it. */
        const val SWITCH_MARGIN_MS = 500L
    }
}
