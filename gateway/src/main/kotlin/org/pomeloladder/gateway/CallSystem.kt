/*
 * Admits calls, and ends those whose caller left or whose time limit has passed.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** Interval between checks of time limits; a call may be kept for half a second beyond its own. */
private const val SCAN_INTERVAL_MS = 50L

/** Handles arriving calls, callers that leave and time limits. */
class CallSystem(private val placer: CallPlacer) : GatewaySystem {
    private class EarlyCall(val event: CallArrived, val arrivedMs: Long)

    /** Calls that arrived before the first view of the configuration. */
    private val early = ArrayDeque<EarlyCall>()
    private var lastScanMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<CallerDisconnected> { departure ->
            early.removeIf { it.event.call == departure.call }
            onCallerLeft(world, tick, departure.call)
        }
        if (tick.nowMs - lastScanMs >= SCAN_INTERVAL_MS) {
            lastScanMs = tick.nowMs
            expireCalls(world, tick)
        }
        admitEarly(world, tick)
        tick.each<CallArrived> { admit(world, tick, it, tick.nowMs) }
        if (world.calls.size > 0 || early.isNotEmpty()) tick.wakeAt(tick.nowMs + SCAN_INTERVAL_MS)
    }

    /**
     * Admits the calls that arrived during the start of the process, or refuses those that waited
     * as long as a retry at another VM would take.
     */
    private fun admitEarly(world: GatewayWorld, tick: GatewayTick) {
        while (early.isNotEmpty()) {
            val first = early.first()
            when {
                world.catalog != null -> admit(world, tick, first.event, first.arrivedMs)
                tick.nowMs - first.arrivedMs >= MAX_EARLY_WAIT_MS ->
                    refuse(tick, first.event, CallRefusal.STARTING)
                else -> return
            }
            early.removeFirst()
        }
    }

    private fun admit(
        world: GatewayWorld,
        tick: GatewayTick,
        event: CallArrived,
        arrivedMs: Long,
    ) {
        val catalog = world.catalog
        if (catalog == null) {
            early.addLast(EarlyCall(event, arrivedMs))
            return
        }
        val origin = event.spec.origin
        if (origin is CallOrigin.Peer && origin.catalogVersion > catalog.version) {
            // The peer chose by a catalog that is not known here yet; it places the call elsewhere
            // after this refusal.
            return refuse(tick, event, CallRefusal.STARTING)
        }
        val route = catalog.findRoute(event.spec.host, event.spec.path)
            ?: return refuse(tick, event, CallRefusal.NO_ROUTE)
        if (!canFinish(world, tick, route)) return refuse(tick, event, CallRefusal.DRAINING)
        val service = relayedService(origin, route) ?: chooseService(tick, route)
            ?: return refuse(tick, event, CallRefusal.NO_BACKEND)
        val call = Call(event.call, event.spec, route, service, arrivedMs)
        call.timeoutAtMs = arrivedMs + route.timeoutMs
        event.spec.budgetMs?.let { call.deadlineAtMs = arrivedMs + it }
        world.calls[call.id] = call
        if (origin is CallOrigin.Caller) {
            world.service(call.service).retryBudget.addCall(tick.nowMs, world.bounds)
        }
        if (bindTakeUp(world, tick, call)) placer.place(world, tick, call)
    }

    /**
     * Whether a call that arrives during a shutdown can end before the process does. Callers that
     * still hold an older directory answer are admitted in any case, and only the longest of their
     * calls are cut off.
     */
    private fun canFinish(world: GatewayWorld, tick: GatewayTick, route: Route): Boolean {
        if (!world.process.isDraining) return true
        val elapsedMs = tick.nowMs - world.process.drainStartedMs
        val availableMs = world.bounds.shutdownGraceMs - STOP_RESERVE_MS - elapsedMs
        return elapsedMs <= world.bounds.entryTtlMs || route.timeoutMs < availableMs
    }

    /** Returns the service that a peer has chosen for its call, if [route] still has it. */
    private fun relayedService(origin: CallOrigin, route: Route): ServiceId? =
        (origin as? CallOrigin.Peer)?.service?.takeIf { chosen ->
            route.targets.any { it.service == chosen }
        }

    /** Returns a service of [route] by weight, or null if it has none. */
    private fun chooseService(tick: GatewayTick, route: Route): ServiceId? {
        if (route.targets.size == 1) return route.targets.single().service
        val targets = route.targets.filter { it.weight > 0 }
        if (targets.isEmpty()) return null
        var weightLeft = tick.random.nextLong(targets.sumOf { it.weight.toLong() })
        return targets.first {
            weightLeft -= it.weight
            weightLeft < 0
        }.service
    }

    private fun refuse(tick: GatewayTick, event: CallArrived, reason: CallRefusal) {
        val details = mapOf(
            "request" to event.spec.requestId,
            "reason" to reason,
            "host" to event.spec.host,
            "path" to event.spec.path,
        )
        tick.journal.log(LogEvent.CALL_REFUSED, details)
        tick.journal.count(Counter.REFUSALS, reason.name.lowercase())
        tick.emit(RefuseCall(event.call, reason, STARTING_RETRY_AFTER_MS))
    }

    private fun onCallerLeft(world: GatewayWorld, tick: GatewayTick, id: CallId) {
        val call = world.calls.remove(id) ?: return
        stopSends(world, tick, call)
        tick.journal.count(Counter.REQUESTS, "caller-left")
        val details = mapOf(
            "request" to call.spec.requestId,
            "ageMs" to tick.nowMs - call.arrivedMs,
            "hasStarted" to call.isStreamStarted,
        )
        tick.journal.log(LogEvent.CALLER_LEFT, details)
    }

    private fun expireCalls(world: GatewayWorld, tick: GatewayTick) {
        val expired = world.calls.filter { it.remainingMs(tick.nowMs) <= 0 }
        for (call in expired) {
            stopSends(world, tick, call)
            tick.journal.observe(Latency.REQUEST, tick.nowMs - call.arrivedMs)
            placer.fail(world, tick, call, CallRefusal.TIMED_OUT)
        }
    }

    private companion object {
        /** Another VM is usually ready now, and this one within a second or two. */
        const val STARTING_RETRY_AFTER_MS = 200L

        /**
         * Maximum wait for the first view, which is read within a tenth of a second of the start
         * unless the store has problems.
         */
        const val MAX_EARLY_WAIT_MS = 300L
    }
}

/** Cancels the sends of [call] and removes them from the counts of their servers. */
internal fun stopSends(world: GatewayWorld, tick: GatewayTick, call: Call) {
    stopReplacement(world, tick, call)
    val id = call.currentSend ?: return
    call.currentSend = null
    cancel(world, tick, id)
}

/** Cancels the send that was to replace the current send of [call]. */
internal fun stopReplacement(world: GatewayWorld, tick: GatewayTick, call: Call) {
    val id = call.replacementSend ?: return
    call.replacementSend = null
    cancel(world, tick, id)
}

private fun cancel(world: GatewayWorld, tick: GatewayTick, id: SendId) {
    val send = world.sends.remove(id) ?: return
    releaseServer(world, send)
    tick.emit(CancelSend(id))
}

/** Removes [send] from the counts of its server. */
internal fun releaseServer(world: GatewayWorld, send: Send) {
    val backend = world.serverOf(send) ?: return
    backend.inFlight--
    backend.pending.add(send.priority, -send.pendingTokens)
    send.pendingTokens = 0
}
