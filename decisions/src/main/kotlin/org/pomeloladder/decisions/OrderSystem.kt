/*
 * Orders run at most once. Only the home that an order key names may dispatch it, and it does so once; every other
 * process forwards the order there or, when the home is gone, looks it up.
 */
package org.pomeloladder.decisions

/** Keeps the table of orders and routes order calls. */
class OrderSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        tick.each<RequestArrived> { event ->
            val request = world.requests[event.spec.id]
            if (request != null && event.spec.order != null) start(world, tick, request)
        }
        tick.each<ForwardArrived> { event ->
            val attempt = world.attempts[event.attempt]
            if (attempt != null && event.spec.order != null) handle(world, tick, attempt)
        }
        tick.each<OrderAbsent> { absent(world, tick, it.attempt) }
        tick.each<AttemptEnded> { settle(world, tick, it) }
    }

    private fun start(world: World, tick: Tick, request: Request) {
        val key = request.spec.order ?: return
        if (key.home.domain == world.self.domain && !isElsewhere(world, key)) {
            val attempt = world.newAttempt(tick, request, Place.Arrived(null))
            handle(world, tick, attempt)
            return
        }
        val target = forwardTarget(world, key)
        if (target == null) {
            world.requests.remove(request.spec.id)
            tick.refuse(request.spec.id, Refusal(RefusalReason.HOME_GONE, RunState.UNKNOWN))
            return
        }
        val attempt = world.newAttempt(tick, request, Place.Forwarded(target.id))
        tick.give(world.forward(tick, attempt, Route.Peer(target.id, null)))
    }

    /** Whether the home is another process that is still there. */
    private fun isElsewhere(world: World, key: OrderKey): Boolean {
        val home = world.entryVms[key.home.vm] ?: return false
        return home.id != world.self.vm &&
            home.incarnation == key.home.incarnation &&
            home.liveness == Liveness.LIVE
    }

    private fun forwardTarget(world: World, key: OrderKey): EntryVm? {
        world.entryVms[key.home.vm]?.let { return it }
        return world.entryVms
            .filter { it.record.domain == key.home.domain }
            .rendezvousFirst(hashKey(key.toString())) { it.id.value }
    }

    private fun handle(world: World, tick: Tick, attempt: Attempt) {
        val key = attempt.spec.order ?: return
        val isHome = key.home.vm == world.self.vm && key.home.incarnation == world.self.incarnation
        val order = world.orders[key]
        when {
            !isHome || isExpired(world, key) -> lookUp(world, tick, attempt)
            attempt.spec.orderCall == OrderCall.WITHDRAW -> withdraw(world, tick, attempt, order)
            attempt.spec.orderCall == OrderCall.LOOK_UP -> lookUp(world, tick, attempt)
            order != null -> repeat(world, tick, attempt, order)
            else -> {
                val row = Order(key, attempt.spec, tick.nowMs)
                row.attempt = attempt.id
                world.orders[key] = row
                lookUp(world, tick, attempt)
            }
        }
    }

    /** Keys of epochs before the previous one may have been forgotten, so they are never dispatched. */
    private fun isExpired(world: World, key: OrderKey): Boolean {
        val epoch = world.entryVms[world.self.vm]?.epoch ?: 0
        return key.home.epoch < epoch - 1 || key.home.epoch > epoch
    }

    private fun repeat(world: World, tick: Tick, attempt: Attempt, order: Order) {
        when (order.state) {
            OrderState.LOOKING_UP, OrderState.QUEUED, OrderState.DISPATCHED -> {
                val refusal =
                    Refusal(RefusalReason.ORDER_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = 1_000)
                world.endOrderAttempt(tick, attempt, refusal)
            }
            OrderState.WITHDRAWN ->
                world.endOrderAttempt(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
            OrderState.DONE, OrderState.UNKNOWN -> lookUp(world, tick, attempt)
        }
    }

    private fun withdraw(world: World, tick: Tick, attempt: Attempt, order: Order?) {
        val key = attempt.spec.order ?: return
        val state = order?.state
        if (state == OrderState.DISPATCHED ||
            state == OrderState.DONE ||
            state == OrderState.UNKNOWN
        ) {
            lookUp(world, tick, attempt)
            return
        }
        val running = order?.attempt?.let { world.attempts[it] }
        val row = order ?: Order(key, attempt.spec, tick.nowMs).also { world.orders[key] = it }
        row.state = OrderState.WITHDRAWN
        running?.let { world.cancel(tick, it, RefusalReason.WITHDRAWN) }
        tick.journal.log(LogEvent.ORDER_WITHDRAWN, mapOf("key" to key))
        world.endOrderAttempt(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
    }

    private fun lookUp(world: World, tick: Tick, attempt: Attempt) {
        val server = serverOf(world, attempt)
        if (server == null) {
            val isUnsent = world.orderOf(attempt) != null
            val runState = if (isUnsent) RunState.NOT_RUN else RunState.UNKNOWN
            world.endOrderAttempt(tick, attempt, Refusal(RefusalReason.NO_BACKEND, runState))
            return
        }
        attempt.place = Place.Dispatched(server.id)
        attempt.dispatchedMs = tick.nowMs
        server.inFlight += 1
        server.inFlightCostTokens += attempt.spec.costTokens
        val call = BackendCall.LOOK_UP_ORDER
        tick.give(StartAttempt(attempt.id, attempt.spec, server.record, call, fromToken = 0))
    }

    /** A key always maps to the same server, so that a lookup asks the one that would have run it. */
    private fun serverOf(world: World, attempt: Attempt): BackendServer? {
        val key = attempt.spec.order ?: return null
        return world.backends
            .filter { attempt.spec.service in it.record.services }
            .rendezvousFirst(hashKey(key.toString())) { it.id.value }
    }

    private fun absent(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val place = attempt.place as? Place.Dispatched ?: return
        world.backends[place.server]?.let { server ->
            server.inFlight -= 1
            server.inFlightCostTokens -= attempt.spec.costTokens
        }
        val order = world.orderOf(attempt)
        if (order == null || order.state != OrderState.LOOKING_UP) {
            world.endOrderAttempt(tick, attempt, world.absence(attempt))
            return
        }
        order.state = OrderState.QUEUED
        world.enqueue(tick, attempt, place.server)
    }

    private fun settle(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        val order = world.orderOf(attempt) ?: return
        val wasDispatched = order.state == OrderState.DISPATCHED
        order.state = when (event.outcome) {
            is AttemptOutcome.Completed -> OrderState.DONE
            is AttemptOutcome.NotSent -> OrderState.WITHDRAWN
            else -> if (wasDispatched) OrderState.UNKNOWN else OrderState.WITHDRAWN
        }
        tick.journal.count(Counter.ORDERS, order.state.name.lowercase())
        if (order.state == OrderState.UNKNOWN) {
            tick.journal.log(LogEvent.ORDER_UNKNOWN, mapOf("key" to order.key))
        }
    }
}

/** What may be said of an order that the plain service does not know. */
private fun World.absence(attempt: Attempt): Refusal {
    val key = attempt.spec.order
    val isWithdrawn = key != null && orders[key]?.state == OrderState.WITHDRAWN
    if (isWithdrawn) return Refusal(RefusalReason.WITHDRAWN)
    return Refusal(RefusalReason.HOME_GONE, RunState.UNKNOWN, "not known to the service so far")
}

/** Ends an order call that was not sent to the plain service, and answers with [refusal]. */
fun World.endOrderAttempt(tick: Tick, attempt: Attempt, refusal: Refusal) {
    orderOf(attempt)?.state = OrderState.WITHDRAWN
    attempts.remove(attempt.id)
    tick.journal.count(Counter.ORDERS, refusal.reason.code)
    if (attempt.origin is Origin.Peer) {
        refuseForward(tick, attempt, refusal)
        return
    }
    requests.remove(attempt.spec.id) ?: return
    tick.refuse(attempt.spec.id, refusal)
}
