/*
 * Takes calls in, and ends those whose caller left or whose time is up.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** Accuracy of time limits; a call may be held half a second past its own. */
private const val SCAN_INTERVAL_MS = 50L

/** Handles arrivals, departures and time limits. */
class CallSystem(private val placer: CallPlacer) : GatewaySystem {
    private class Early(val event: CallArrived, val arrivedMs: Long)

    /** Calls that came before the first view. */
    private val early = ArrayDeque<Early>()
    private var scannedMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<CallerDisconnected> { left ->
            early.removeIf { it.event.call == left.call }
            leave(world, tick, left.call)
        }
        if (tick.nowMs - scannedMs >= SCAN_INTERVAL_MS) {
            scannedMs = tick.nowMs
            expire(world, tick)
        }
        admitEarly(world, tick)
        tick.each<CallArrived> { arrive(world, tick, it, tick.nowMs) }
        if (world.calls.size > 0 || early.isNotEmpty()) tick.wakeAt(tick.nowMs + SCAN_INTERVAL_MS)
    }

    /** A start takes a moment; a call that comes in it is kept for no longer than a retry would take. */
    private fun admitEarly(world: GatewayWorld, tick: GatewayTick) {
        while (early.isNotEmpty()) {
            val first = early.first()
            when {
                world.catalog != null -> arrive(world, tick, first.event, first.arrivedMs)
                tick.nowMs - first.arrivedMs >= EARLY_MS ->
                    refuse(tick, first.event, CallRefusal.STARTING)
                else -> return
            }
            early.removeFirst()
        }
    }

    private fun arrive(
        world: GatewayWorld,
        tick: GatewayTick,
        event: CallArrived,
        arrivedMs: Long,
    ) {
        val catalog = world.catalog
        if (catalog == null) {
            early.addLast(Early(event, arrivedMs))
            return
        }
        val origin = event.spec.origin
        if (origin is CallOrigin.Peer && origin.catalogVersion > catalog.version) {
            // The peer decided by rules that are not known here; it places the call elsewhere.
            return refuse(tick, event, CallRefusal.STARTING)
        }
        val route = catalog.findRoute(event.spec.host, event.spec.path)
            ?: return refuse(tick, event, CallRefusal.NO_ROUTE)
        if (!isFinishable(world, tick, route)) return refuse(tick, event, CallRefusal.DRAINING)
        val service = chooseService(tick, route)
        val call = Call(event.call, event.spec, route, service, arrivedMs)
        call.timeoutAtMs = arrivedMs + route.timeoutMs
        event.spec.budgetMs?.let { call.deadlineAtMs = arrivedMs + it }
        world.calls[call.id] = call
        if (origin is CallOrigin.Caller) world.service(call.service).budget.call(tick.nowMs)
        placer.place(world, tick, call)
    }

    /**
     * Whether a call that arrives during a shutdown can end before the process does. Callers of the first moments have
     * no newer directory answer yet; theirs are taken, and only the longest of them are cut off.
     */
    private fun isFinishable(world: GatewayWorld, tick: GatewayTick, route: Route): Boolean {
        if (!world.process.isDraining) return true
        val elapsedMs = tick.nowMs - world.process.drainStartedMs
        val leftMs = world.bounds.shutdownGraceMs - STOP_RESERVE_MS - elapsedMs
        return elapsedMs <= world.bounds.entryTtlMs || route.timeoutMs < leftMs
    }

    private fun chooseService(tick: GatewayTick, route: Route) =
        route.targets.first().service.takeIf { route.targets.size == 1 } ?: run {
            var left = tick.random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
            route.targets.first {
                left -= it.weight
                left < 0
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

    private fun leave(world: GatewayWorld, tick: GatewayTick, id: CallId) {
        val call = world.calls.remove(id) ?: return
        stopSend(world, tick, call)
        tick.journal.count(Counter.REQUESTS, "caller-left")
        val details = mapOf(
            "request" to call.spec.requestId,
            "ageMs" to tick.nowMs - call.arrivedMs,
            "hasStarted" to call.isStreamStarted,
        )
        tick.journal.log(LogEvent.CALLER_LEFT, details)
    }

    private fun expire(world: GatewayWorld, tick: GatewayTick) {
        val expired = world.calls.filter { it.remainingMs(tick.nowMs) <= 0 }
        for (call in expired) {
            stopSend(world, tick, call)
            tick.journal.observe(Latency.REQUEST, tick.nowMs - call.arrivedMs)
            placer.fail(world, tick, call, CallRefusal.TIMED_OUT)
        }
    }

    private companion object {
        /** Another VM is usually ready; this one is within a second or two. */
        const val STARTING_RETRY_AFTER_MS = 200L

        /** The first view is read within a tenth of a second of a start unless the store is in trouble. */
        const val EARLY_MS = 300L
    }
}

/** Stops the sends of [call] and takes them off their servers. */
internal fun stopSend(world: GatewayWorld, tick: GatewayTick, call: Call) {
    stopNext(world, tick, call)
    val id = call.current ?: return
    call.current = null
    stop(world, tick, id)
}

/** Stops the send that was to take the place of the current one of [call]. */
internal fun stopNext(world: GatewayWorld, tick: GatewayTick, call: Call) {
    val id = call.next ?: return
    call.next = null
    stop(world, tick, id)
}

private fun stop(world: GatewayWorld, tick: GatewayTick, id: SendId) {
    val send = world.sends.remove(id) ?: return
    release(world, send)
    tick.emit(CancelSend(id))
}

/** Takes [send] off the counts of its server. */
internal fun release(world: GatewayWorld, send: Send) {
    val place = send.place as? SendPlace.AtServer ?: return
    val backend = world.backends[place.server] ?: return
    backend.inFlight--
    backend.pending.add(send.priority, -send.pendingTokens)
    send.pendingTokens = 0
}
