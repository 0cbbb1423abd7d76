/*
 * Notices that the process was paused. What it believed before the pause may be outdated: peers may have taken its
 * backend servers and the configuration may have changed. Nothing is dispatched until that is refreshed.
 */
package org.pomeloladder.decisions

/** A longer gap between ticks counts as a pause. Heartbeats run every 500 ms, so idle gaps are much shorter. */
const val PAUSE_THRESHOLD_MS = 2_000L

/** How long a process waits for a fresh position after a pause before it goes on with what it has. */
const val PAUSE_HOLD_MS = 1_000L

/** How long a process with a configuration waits after its start for a peer to confirm it. */
const val START_HOLD_MS = 2_000L

/** Holds dispatch after a pause and forgets what was known of peers. */
class PauseSystem : TickSystem {
    private var lastTickMs: Long? = null
    private var confirmUntilMs: Long? = null

    override fun run(world: World, tick: Tick) {
        val last = lastTickMs
        lastTickMs = tick.nowMs
        if (!world.process.isStartConfirmed) {
            confirmStart(world, tick)
            return
        }
        if (last == null || tick.nowMs - last < PAUSE_THRESHOLD_MS) {
            endHold(world, tick)
            return
        }
        world.process.heldUntilMs = tick.nowMs + PAUSE_HOLD_MS
        askPeers(world, tick)
        for (vm in world.entryVms) {
            if (vm.id != world.self.vm) vm.liveness = Liveness.UNKNOWN
        }
        for (server in world.backends) server.owner = null
        tick.wakeAt(world.process.heldUntilMs)
        tick.journal.count(Counter.PAUSES, "control")
        tick.journal.log(LogEvent.PAUSE_DETECTED, mapOf("gapMs" to tick.nowMs - last))
    }

    /**
     * Messages that waited in the inbox during the pause prove nothing, so only the answer to this question counts.
     */
    private fun askPeers(world: World, tick: Tick) {
        world.process.holdNonce = tick.random.nextLong(1, Long.MAX_VALUE)
        val ask = ConfigRequest(world.configuration.snapshot?.sequence, world.process.holdNonce)
        for (vm in world.entryVms) {
            val isPeer = vm.id != world.self.vm && vm.record.domain == world.self.domain
            if (isPeer) tick.emit(SendControl(vm.id, ask))
        }
    }

    private fun endHold(world: World, tick: Tick) {
        if (world.process.holdNonce == 0L) return
        if (isAnswered(world, tick)) world.process.heldUntilMs = tick.nowMs
        if (tick.nowMs >= world.process.heldUntilMs) world.process.holdNonce = 0
    }

    /** `ConfigurationSystem` asks; here the answer, or the time without one, ends the hold. */
    private fun confirmStart(world: World, tick: Tick) {
        val process = world.process
        if (process.holdNonce == 0L) process.holdNonce = tick.random.nextLong(1, Long.MAX_VALUE)
        if (world.configuration.snapshot == null && !isAnswered(world, tick)) return
        val until = confirmUntilMs ?: (tick.nowMs + START_HOLD_MS).also { confirmUntilMs = it }
        if (isAnswered(world, tick) || tick.nowMs >= until) {
            process.isStartConfirmed = true
            process.holdNonce = 0
        } else {
            tick.wakeAt(until)
        }
    }

    private fun isAnswered(world: World, tick: Tick) = tick.events.any { event ->
        val answer = (event as? PeerControl)?.message as? ConfigEntries
        answer != null && answer.nonce == world.process.holdNonce
    }
}

/** Whether the process is held because of a recent pause and owns nothing. */
fun World.isPaused(nowMs: Long): Boolean = nowMs < process.heldUntilMs

/**
 * Whether nothing may be forwarded or dispatched at [nowMs]: before the start is confirmed, after a pause, or while a newer configuration is known to
 * exist, whose residency rules may be stricter than the own ones.
 */
fun World.isDispatchHeld(nowMs: Long): Boolean =
    !process.isStartConfirmed || isPaused(nowMs) || configuration.isBehind
