/*
 * Notices that the process was paused. What it believed before the pause may be outdated: peers may have taken its
 * backend servers and the configuration may have changed. Nothing is dispatched until that is refreshed.
 */
package org.pomeloladder.decisions

/** A longer gap between ticks counts as a pause. Heartbeats run every 500 ms, so idle gaps are much shorter. */
const val PAUSE_THRESHOLD_MS = 2_000L

/** How long a process waits for a fresh position after a pause before it goes on with what it has. */
const val PAUSE_HOLD_MS = 1_000L

/** Holds dispatch after a pause and forgets what was known of peers. */
class PauseSystem : TickSystem {
    private var lastTickMs: Long? = null

    override fun run(world: World, tick: Tick) {
        val last = lastTickMs
        lastTickMs = tick.nowMs
        if (last == null || tick.nowMs - last < PAUSE_THRESHOLD_MS) return
        world.process.heldUntilMs = tick.nowMs + PAUSE_HOLD_MS
        for (vm in world.entryVms) {
            if (vm.id != world.self.vm) vm.liveness = Liveness.UNKNOWN
        }
        for (server in world.backends) server.owner = null
        tick.wakeAt(world.process.heldUntilMs)
        tick.journal.count(Counter.PAUSES, "control")
        tick.journal.log(LogEvent.PAUSE_DETECTED, mapOf("gapMs" to tick.nowMs - last))
    }
}

/** Whether dispatch is held because of a recent pause. */
fun World.isHeld(nowMs: Long): Boolean = nowMs < process.heldUntilMs
