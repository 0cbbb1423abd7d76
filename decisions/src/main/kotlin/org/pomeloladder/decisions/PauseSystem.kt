/*
 * Detects that the process was paused. Its state may be outdated then: peers may have become owners
 * of its backend servers, and the configuration may have changed. Nothing is dispatched until the
 * state is refreshed.
 */
package org.pomeloladder.decisions

/**
 * Gap between ticks that counts as a pause. Without a pause, gaps are much shorter, because
 * heartbeats cause a tick every 500 ms.
 */
const val PAUSE_THRESHOLD_MS = 2_000L

/**
 * Maximum time that a process waits after a pause for a peer to confirm the configuration position.
 * After that it continues with the configuration that it has.
 */
const val PAUSE_HOLD_MS = 1_000L

/** Maximum time that a started process waits for a peer to confirm its configuration. */
const val START_HOLD_MS = 2_000L

/** Holds dispatch after a pause, and resets the liveness of peers and the owners of servers. */
class PauseSystem : TickSystem {
    private var lastTickMs: Long? = null
    private var startHoldUntilMs: Long? = null

    override fun run(world: World, tick: Tick) {
        val previousTickMs = lastTickMs
        lastTickMs = tick.nowMs
        if (!world.process.isStartConfirmed) {
            confirmStart(world, tick)
            return
        }
        if (previousTickMs == null || tick.nowMs - previousTickMs < PAUSE_THRESHOLD_MS) {
            endHoldIfDue(world, tick)
            return
        }
        world.process.heldUntilMs = tick.nowMs + PAUSE_HOLD_MS
        requestPositions(world, tick)
        for (vm in world.entryVms) {
            if (vm.id != world.self.vm) vm.liveness = Liveness.UNKNOWN
        }
        for (server in world.backends) server.owner = null
        tick.wakeAt(world.process.heldUntilMs)
        tick.journal.count(Counter.PAUSES, "control")
        tick.journal.log(LogEvent.PAUSE_DETECTED, mapOf("gapMs" to tick.nowMs - previousTickMs))
    }

    /**
     * Requests the configuration position from peers. The nonce identifies their replies, because
     * messages that were in the inbox during the pause may be outdated.
     */
    private fun requestPositions(world: World, tick: Tick) {
        world.process.holdNonce = tick.random.nextLong(1, Long.MAX_VALUE)
        val query = ConfigRequest(world.configuration.snapshot?.sequence, world.process.holdNonce)
        for (vm in world.entryVms) {
            val isPeer = vm.id != world.self.vm && vm.record.domain == world.self.domain
            if (isPeer) tick.emit(SendControl(vm.id, query))
        }
    }

    private fun endHoldIfDue(world: World, tick: Tick) {
        if (world.process.holdNonce == 0L) return
        if (hasPeerAnswered(world, tick)) world.process.heldUntilMs = tick.nowMs
        if (tick.nowMs >= world.process.heldUntilMs) world.process.holdNonce = 0
    }

    /**
     * Ends the hold at startup after a reply to a request of `ConfigurationSystem` or a timeout.
     */
    private fun confirmStart(world: World, tick: Tick) {
        val process = world.process
        if (process.holdNonce == 0L) process.holdNonce = tick.random.nextLong(1, Long.MAX_VALUE)
        if (world.configuration.snapshot == null && !hasPeerAnswered(world, tick)) return
        val until = startHoldUntilMs ?: (tick.nowMs + START_HOLD_MS).also { startHoldUntilMs = it }
        if (hasPeerAnswered(world, tick) || tick.nowMs >= until) {
            process.isStartConfirmed = true
            process.holdNonce = 0
        } else {
            tick.wakeAt(until)
        }
    }

    private fun hasPeerAnswered(world: World, tick: Tick) = tick.events.any { event ->
        val answer = (event as? PeerControl)?.message as? ConfigEntries
        answer != null && answer.nonce == world.process.holdNonce
    }
}

/** Returns whether the process is held because of a recent pause, and so owns no servers. */
fun World.isPaused(nowMs: Long): Boolean = nowMs < process.heldUntilMs

/**
 * Returns whether forwarding and dispatch are held at [nowMs]: until the configuration is confirmed
 * after startup, after a pause, and while a newer configuration is known to exist, since its
 * residency rules may be stricter.
 */
fun World.isDispatchHeld(nowMs: Long): Boolean =
    !process.isStartConfirmed || isPaused(nowMs) || configuration.isBehind
