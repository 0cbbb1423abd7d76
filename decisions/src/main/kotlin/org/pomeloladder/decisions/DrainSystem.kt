/*
 * Ends the process after a graceful shutdown was asked for and nothing is in flight any more.
 */
package org.pomeloladder.decisions

/** Time after the start of draining in which peers may still forward by their old view. */
const val DRAIN_LINGER_MS = 1_500L

/** Stops the process when it is drained. */
class DrainSystem : TickSystem {
    private var drainingSinceMs: Long? = null

    override fun run(world: World, tick: Tick) {
        if (!world.process.isDraining || world.process.isStopped) return
        val since = drainingSinceMs ?: tick.nowMs.also { drainingSinceMs = it }
        val isIdle = world.requests.size == 0 && world.attempts.size == 0
        if (isIdle && tick.nowMs >= since + DRAIN_LINGER_MS) {
            world.process.isStopped = true
            tick.emit(StopProcess)
            return
        }
        tick.wakeAt(maxOf(since + DRAIN_LINGER_MS, tick.nowMs + HEARTBEAT_INTERVAL_MS))
    }
}
