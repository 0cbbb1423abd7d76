/*
 * Turns admitted requests into attempts, and queues forwarded attempts at a backend server owned by
 * this process. A forwarded attempt is never forwarded again, so requests cannot loop.
 */
package org.pomeloladder.decisions

/** Routes the requests in the route queue and places the attempts that peers forwarded. */
class RoutingSystem(private val policy: RoutePolicy = RealRoutePolicy()) : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<ForwardArrived> { event ->
            val attempt = world.attempts[event.attempt]
            val isNew = attempt?.place is Place.Arrived && attempt.spec.order == null
            if (attempt != null && isNew) placeForwarded(world, tick, attempt)
        }
        if (world.isDispatchHeld(tick.nowMs)) {
            // While the configuration is behind, the end of the hold is unknown and heldUntilMs may
            // be in the past; the timer must not be.
            tick.wakeAt(maxOf(world.process.heldUntilMs, tick.nowMs + CONFIG_REQUEST_INTERVAL_MS))
            return
        }
        while (true) {
            val id = world.routeQueue.removeFirstOrNull() ?: break
            world.requests[id]?.let { route(world, tick, it) }
        }
    }

    private fun placeForwarded(world: World, tick: Tick, attempt: Attempt) {
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

/** Creates an attempt of [request] and queues or forwards it according to [route]. */
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
                backends[server]?.countForwardedWork(request.spec)
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

/** Creates and registers an attempt of a caller's [request] at [place]. */
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

/**
 * Returns the command that forwards [attempt], with its remaining time budget and the configuration
 * sequence of this process.
 */
fun World.forwardCommand(tick: Tick, attempt: Attempt, route: Route.Peer): StartForward {
    val sequence = configuration.snapshot?.sequence ?: attempt.spec.sequence
    val spec = attempt.spec.copy(
        budgetMs = attempt.deadlineMs - tick.nowMs,
        sequence = sequence,
    )
    return StartForward(attempt.id, spec, route.vm, route.server, attempt.fromToken)
}

/** Refuses a forwarded attempt that was not dispatched and removes it. */
fun World.refuseForward(tick: Tick, attempt: Attempt, refusal: Refusal) {
    val origin = attempt.origin as? Origin.Peer ?: return
    attempts.remove(attempt.id)
    tick.emit(RefuseForward(attempt.id, origin.vm, refusal))
    tick.journal.count(Counter.REFUSALS, refusal.reason.code)
}

/**
 * Adds forwarded work to the server's load at once. Many more requests may be routed before the
 * owner's next heartbeat reports it.
 */
private fun BackendServer.countForwardedWork(spec: RequestSpec) {
    queued += 1
    inFlightCostTokens += spec.costTokens
}
