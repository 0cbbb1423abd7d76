/*
 * Turns admitted requests into attempts, and places forwarded attempts at an own backend server. A forwarded attempt has
 * no way to another forward, so no request can go in a loop.
 */
package org.pomeloladder.decisions

/** Routes what waits in the route queue and what peers forwarded. */
class RoutingSystem(private val policy: RoutePolicy = RealRoutePolicy()) : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<ForwardArrived> { event ->
            val attempt = world.attempts[event.attempt]
            val isNew = attempt?.place is Place.Arrived && attempt.spec.order == null
            if (attempt != null && isNew) place(world, tick, attempt)
        }
        if (world.isDispatchHeld(tick.nowMs)) {
            // A configuration that is behind has no known end, so the timer is never in the past.
            tick.wakeAt(maxOf(world.process.heldUntilMs, tick.nowMs + CONFIG_REQUEST_INTERVAL_MS))
            return
        }
        while (true) {
            val id = world.routeQueue.removeFirstOrNull() ?: break
            world.requests[id]?.let { route(world, tick, it) }
        }
    }

    private fun place(world: World, tick: Tick, attempt: Attempt) {
        val server =
            if (world.isDispatchHeld(tick.nowMs)) null else policy.place(world, attempt, tick)
        if (server != null) {
            world.enqueue(tick, attempt, server)
            return
        }
        val reason = when {
            !world.process.isStartConfirmed -> RefusalReason.NOT_READY
            world.isPaused(tick.nowMs) -> RefusalReason.PAUSED
            world.configuration.isBehind -> RefusalReason.CONFIGURATION_BEHIND
            else -> RefusalReason.NOT_OWNER
        }
        world.refuseForward(tick, attempt, Refusal(reason, retryAfterMs = 0))
    }

    private fun route(world: World, tick: Tick, request: Request) {
        val route = policy.route(world, request, tick)
        if (route is Route.None) {
            world.requests.remove(request.spec.id)
            tick.refuse(request.spec.id, route.refusal)
            return
        }
        world.startAttempt(tick, request, route, isHedge = false)
    }
}

/** Starts an attempt of [request] on [route]. */
fun World.startAttempt(tick: Tick, request: Request, route: Route, isHedge: Boolean) {
    when (route) {
        is Route.Own -> {
            val attempt = createAttempt(tick, request, Place.Queued(route.server))
            attempt.isHedge = isHedge
            request.triedServers += route.server
            tick.journal.count(Counter.ROUTES, "own")
            enqueue(tick, attempt, route.server)
        }
        is Route.Peer -> {
            val attempt = createAttempt(tick, request, Place.Forwarded(route.vm))
            attempt.isHedge = isHedge
            route.server?.let { server ->
                request.triedServers += server
                backends[server]?.expectForwarded(request.spec)
            }
            if (route.server == null) {
                request.triedVms += route.vm
                entryVms[route.vm]?.let { recordOverflow(it, request) }
            }
            tick.emit(forwardCommand(tick, attempt, route))
            tick.journal.count(Counter.ROUTES, if (route.server == null) "domain" else "peer")
        }
        is Route.None -> Unit
    }
}

/** A new attempt of a caller's [request] at [place]. */
fun World.createAttempt(tick: Tick, request: Request, place: Place): Attempt {
    val number = process.nextAttempt++
    val attempt = Attempt(
        id = AttemptId("${self.vm}.${self.incarnation}.$number"),
        spec = request.spec,
        origin = Origin.Local,
        place = place,
        createdMs = tick.nowMs,
        deadlineMs = request.deadlineMs,
    )
    attempt.fromToken = request.deliveredTokens
    attempts[attempt.id] = attempt
    request.attempts += attempt.id
    return attempt
}

/** The command that forwards [attempt], with the time that remains and the own configuration position. */
fun World.forwardCommand(tick: Tick, attempt: Attempt, route: Route.Peer): StartForward {
    val sequence = configuration.snapshot?.sequence ?: attempt.spec.sequence
    val spec = attempt.spec.copy(
        budgetMs = attempt.deadlineMs - tick.nowMs,
        sequence = sequence,
    )
    return StartForward(attempt.id, spec, route.vm, route.server, attempt.fromToken)
}

/** Refuses a forwarded attempt that was not dispatched, and forgets it. */
fun World.refuseForward(tick: Tick, attempt: Attempt, refusal: Refusal) {
    val origin = attempt.origin as? Origin.Peer ?: return
    attempts.remove(attempt.id)
    tick.emit(RefuseForward(attempt.id, origin.vm, refusal))
    tick.journal.count(Counter.REFUSALS, refusal.reason.code)
}

/** Counts forwarded work at once, because the owner's next heartbeat may come after many more decisions. */
private fun BackendServer.expectForwarded(spec: RequestSpec) {
    queued += 1
    inFlightCostTokens += spec.costTokens
}
