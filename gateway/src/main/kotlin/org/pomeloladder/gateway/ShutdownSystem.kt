/*
 * Graceful shutdown: the process leaves the directory at once, serves what still comes until callers have moved, and
 * stops when no call is left or the grace period ends.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.LogEvent

/**
 * Kept of the grace period for ending the process. With half a second, 3 of 18 processes were killed at its end on a day
 * of Krabia.
 */
internal const val STOP_RESERVE_MS = 1_000L

/** Kept of it once all answers are written. */
private const val CLOSE_RESERVE_MS = 500L

/** Interval at which the end of the last call is looked for. */
private const val CHECK_INTERVAL_MS = 50L

/** Ends the process after a shutdown request. */
class ShutdownSystem : GatewaySystem {
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
        val haveCallersMoved = elapsedMs >= world.bounds.entryTtlMs + MOVE_MARGIN_MS
        val isTimeUp = elapsedMs >= world.bounds.shutdownGraceMs - STOP_RESERVE_MS
        if (isTimeUp || haveCallersMoved && world.calls.size == 0) {
            process.isStopped = true
            val leftMs = world.bounds.shutdownGraceMs - elapsedMs
            val stop = StopGateway(
                answerGraceMs = (leftMs - CLOSE_RESERVE_MS).coerceAtLeast(0),
                callGraceMs = (leftMs - STOP_RESERVE_MS).coerceAtLeast(0),
            )
            tick.emit(stop)
        }
        tick.wakeAt(tick.nowMs + CHECK_INTERVAL_MS)
    }

    private companion object {
        /** Time for a directory answer under way and a request that was sent on it. */
        const val MOVE_MARGIN_MS = 500L
    }
}
