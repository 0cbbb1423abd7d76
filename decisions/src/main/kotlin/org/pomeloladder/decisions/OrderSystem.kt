/*
 * Orders run at most once. Only the home that an order key names may dispatch it, and it does so once; every other
 * process forwards the order there or, when the home is gone, looks it up.
 *
 * "Not run" is said by the home alone, and only of a key that it has made a tombstone of or that never left its queue.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** How long an ingress waits for the home's answer to a withdrawal after the caller's deadline. */
const val WITHDRAW_WAIT_MS = 1_000L

/** Most orders that wait for one server at one home. */
const val MAX_QUEUED_ORDERS = 256

private const val ATTEMPT_SCAN_MS = 100L

/** Keeps the table of orders, routes order calls and dispatches orders within windows of their own. */
class OrderSystem : TickSystem {
    private val heldRequests = LinkedHashSet<RequestId>()
    private val heldAttempts = LinkedHashSet<AttemptId>()
    private var nextScanMs = 0L
    private var lastEpoch = 0L

    override fun run(world: World, tick: Tick) {
        forgetExpired(world)
        if (!world.isDispatchHeld(tick.nowMs)) releaseHeld(world, tick)
        tick.each<RequestArrived> { event ->
            val request = world.requests[event.spec.id]
            if (request != null && event.spec.order != null) start(world, tick, request)
        }
        tick.each<ForwardArrived> { event ->
            val attempt = world.attempts[event.attempt]
            val isNew = attempt?.place is Place.Arrived && attempt.spec.order != null
            if (attempt != null && isNew) handle(world, tick, attempt)
        }
        tick.each<OrderAbsent> { absent(world, tick, it.attempt) }
        tick.each<OrderLookupFailed> { lookUpFailed(world, tick, it) }
        tick.each<AttemptEnded> { ended(world, tick, it) }
        expireForwarded(world, tick)
        for (window in world.orderWindows) fill(world, tick, window)
    }

    /** Orders of epochs before the previous one are only looked up, so their rows decide nothing. */
    private fun forgetExpired(world: World) {
        val epoch = world.entryVms[world.self.vm]?.epoch ?: 0
        if (epoch == lastEpoch) return
        lastEpoch = epoch
        world.orders.removeIf { it.attempt == null && world.isExpired(it.key) }
    }

    private fun releaseHeld(world: World, tick: Tick) {
        val requests = heldRequests.mapNotNull { world.requests[it] }
        val attempts = heldAttempts.mapNotNull { world.attempts[it] }
        heldRequests.clear()
        heldAttempts.clear()
        for (request in requests) start(world, tick, request)
        for (attempt in attempts) handle(world, tick, attempt)
    }

    private fun start(world: World, tick: Tick, request: Request) {
        val key = request.spec.order ?: return
        if (world.isDispatchHeld(tick.nowMs)) {
            heldRequests += request.spec.id
            tick.wakeAt(world.process.heldUntilMs)
            return
        }
        if (!world.mayBeHomed(key, request.spec)) {
            refuse(world, tick, request, RefusalReason.RESIDENCY)
            return
        }
        if (key.home.domain == world.self.domain && !isElsewhere(world, request, key)) {
            handle(world, tick, world.createAttempt(tick, request, Place.Arrived(null)))
            return
        }
        val target = forwardTarget(world, request, key)
        if (target == null) {
            refuse(world, tick, request, RefusalReason.HOME_GONE)
            return
        }
        request.triedVms += target.id
        val attempt = world.createAttempt(tick, request, Place.Forwarded(target.id))
        tick.emit(world.forwardCommand(tick, attempt, Route.Peer(target.id, null)))
    }

    private fun refuse(world: World, tick: Tick, request: Request, reason: RefusalReason) {
        world.requests.remove(request.spec.id)
        tick.refuse(request.spec.id, Refusal(reason, RunState.UNKNOWN))
    }

    /**
     * Whether the home is another process that may still be there. A home that this process has not heard of yet, or
     * has last heard of in an older incarnation, is asked.
     */
    private fun isElsewhere(world: World, request: Request, key: OrderKey): Boolean {
        val home = world.entryVms[key.home.vm] ?: return false
        val known = home.incarnation
        return home.id != world.self.vm &&
            home.id !in request.triedVms &&
            (known == null || known <= key.home.incarnation) &&
            (home.liveness == Liveness.LIVE || home.liveness == Liveness.UNKNOWN)
    }

    /** The home, or another VM of its domain, which only looks the key up. */
    private fun forwardTarget(world: World, request: Request, key: OrderKey): EntryVm? {
        val candidates = world.entryVms.filter {
            it.record.domain == key.home.domain && it.id !in request.triedVms
        }
        return candidates.firstOrNull { it.id == key.home.vm }
            ?: candidates.rendezvousFirst(hashKey(key.toString())) { it.id.value }
    }

    private fun handle(world: World, tick: Tick, attempt: Attempt) {
        val key = attempt.spec.order ?: return
        if (world.isDispatchHeld(tick.nowMs)) {
            heldAttempts += attempt.id
            tick.wakeAt(world.process.heldUntilMs)
            return
        }
        val order = world.orders[key]
        when {
            !world.mayProcessInOwnRegion(attempt.spec.subscriber) ->
                world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.RESIDENCY))
            !world.isHomeOf(key) || world.isExpired(key) -> lookUp(world, tick, attempt)
            order != null && !order.matchesCall(attempt.spec) -> {
                val detail = "the key belongs to another subscriber or service"
                val refusal = Refusal(RefusalReason.BAD_REQUEST, RunState.UNKNOWN, detail)
                world.endUnsentOrder(tick, attempt, refusal)
            }
            attempt.spec.orderCall == OrderCall.WITHDRAW -> withdraw(world, tick, attempt, order)
            order != null -> repeat(world, tick, attempt, order)
            attempt.spec.orderCall == OrderCall.LOOK_UP -> lookUp(world, tick, attempt)
            else -> {
                val row = Order(key, attempt.spec, tick.nowMs)
                row.attempt = attempt.id
                world.orders[key] = row
                lookUp(world, tick, attempt)
            }
        }
    }

    private fun repeat(world: World, tick: Tick, attempt: Attempt, order: Order) {
        when (order.state) {
            OrderState.LOOKING_UP, OrderState.QUEUED, OrderState.DISPATCHED ->
                world.endUnsentOrder(tick, attempt, inProgress())
            OrderState.WITHDRAWN ->
                world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
            OrderState.DONE, OrderState.UNKNOWN -> lookUp(world, tick, attempt)
        }
    }

    private fun withdraw(world: World, tick: Tick, attempt: Attempt, order: Order?) {
        val key = attempt.spec.order ?: return
        when (order?.state) {
            OrderState.DISPATCHED -> {
                world.endUnsentOrder(tick, attempt, inProgress())
                return
            }
            OrderState.DONE, OrderState.UNKNOWN -> {
                lookUp(world, tick, attempt)
                return
            }
            else -> Unit
        }
        val running = order?.attempt?.let { world.attempts[it] }
        if (order == null) world.entomb(tick, attempt.spec)
        running?.let { world.endUnsentOrder(tick, it, Refusal(RefusalReason.WITHDRAWN)) }
        tick.journal.log(LogEvent.ORDER_WITHDRAWN, mapOf("key" to key))
        world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
    }

    private fun inProgress() =
        Refusal(RefusalReason.ORDER_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = 1_000)

    /** Asks the first server that may know the key, or the next one after [after]. */
    private fun lookUp(
        world: World,
        tick: Tick,
        attempt: Attempt,
        after: BackendServerId? = null,
    ) {
        val servers = serversOf(world, attempt)
        val server = servers.getOrNull(servers.indexOfFirst { it.id == after } + 1)
        if (server == null) {
            world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.NO_BACKEND))
            return
        }
        attempt.place = Place.Dispatched(server.id)
        attempt.isOrderLookup = true
        attempt.dispatchedMs = tick.nowMs
        val call = BackendCall.LOOK_UP_ORDER
        tick.emit(StartAttempt(attempt.id, attempt.spec, server.record, call, fromToken = 0))
    }

    /**
     * Servers to ask, in order. The home knows the server that it sent the order to. Otherwise a key maps to the same
     * server everywhere; leaving servers come first, because they may have run the key before they began to leave.
     */
    private fun serversOf(world: World, attempt: Attempt): List<BackendServer> {
        val key = attempt.spec.order ?: return emptyList()
        val sentTo = world.orders[key]?.sentTo
        if (sentTo != null) return listOfNotNull(world.backends[sentTo])
        val ordered = world.backends
            .filter { attempt.spec.service in it.record.services }
            .rendezvousOrder(hashKey(key.toString())) { it.id.value }
        val leaving = ordered.takeWhile { it.isLeaving }
        return leaving + listOfNotNull(ordered.getOrNull(leaving.size))
    }

    private fun absent(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val place = attempt.place as? Place.Dispatched ?: return
        if (!attempt.isOrderLookup) return
        attempt.isOrderLookup = false
        val servers = serversOf(world, attempt)
        val isLast = servers.none { it.id == place.server } || servers.last().id == place.server
        when {
            !isLast -> lookUp(world, tick, attempt, after = place.server)
            world.activeOrderOf(attempt)?.state == OrderState.LOOKING_UP ->
                enqueue(world, tick, attempt, place.server)
            else -> world.endUnsentOrder(tick, attempt, absence(world, attempt))
        }
    }

    /** What may be said of an order that the plain service does not know: a call on its way may still arrive. */
    private fun absence(world: World, attempt: Attempt): Refusal {
        val key = attempt.spec.order
        val reason = when {
            key == null || !world.isHomeOf(key) -> RefusalReason.HOME_GONE
            world.isExpired(key) -> RefusalReason.ORDER_EXPIRED
            else -> RefusalReason.ORDER_NOT_FOUND
        }
        return Refusal(reason, RunState.UNKNOWN, "not known to the service so far")
    }

    private fun lookUpFailed(world: World, tick: Tick, event: OrderLookupFailed) {
        val attempt = world.attempts[event.attempt] ?: return
        if (!attempt.isOrderLookup) return
        world.endUnsentOrder(tick, attempt, event.refusal.copy(runState = RunState.NOT_RUN))
    }

    private fun enqueue(world: World, tick: Tick, attempt: Attempt, server: BackendServerId) {
        val window = world.orderWindows.getOrPut(server) { OrderWindow(server) }
        if (window.queue.size >= MAX_QUEUED_ORDERS) {
            val refusal = Refusal(RefusalReason.QUEUE_FULL, retryAfterMs = 1_000)
            world.endUnsentOrder(tick, attempt, refusal)
            return
        }
        world.activeOrderOf(attempt)?.state = OrderState.QUEUED
        attempt.place = Place.Queued(server)
        window.queue.addLast(attempt.id)
        tick.wakeAt(attempt.deadlineMs)
    }

    private fun fill(world: World, tick: Tick, window: OrderWindow) {
        if (window.queue.isEmpty()) return
        if (world.isDispatchHeld(tick.nowMs)) {
            tick.wakeAt(world.process.heldUntilMs)
            return
        }
        val server = world.backends[window.server]
        while (server == null || window.running.size < server.record.concurrency) {
            val id = window.queue.removeFirstOrNull() ?: break
            val attempt = world.attempts[id] ?: continue
            val order = world.activeOrderOf(attempt) ?: continue
            if (order.state == OrderState.QUEUED) dispatch(world, tick, attempt, order, window)
        }
    }

    private fun dispatch(
        world: World,
        tick: Tick,
        attempt: Attempt,
        order: Order,
        window: OrderWindow,
    ) {
        val server = world.backends[window.server]
        val reason = when {
            tick.nowMs >= attempt.deadlineMs -> RefusalReason.DEADLINE_EXCEEDED
            !world.mayProcessInOwnRegion(attempt.spec.subscriber) -> RefusalReason.RESIDENCY
            server == null || server.isLeaving -> RefusalReason.NO_BACKEND
            else -> null
        }
        if (reason != null || server == null) {
            world.endUnsentOrder(tick, attempt, Refusal(reason ?: RefusalReason.NO_BACKEND))
            return
        }
        attempt.place = Place.Dispatched(server.id)
        attempt.dispatchedMs = tick.nowMs
        order.state = OrderState.DISPATCHED
        order.sentTo = server.id
        window.running += attempt.id
        val call = BackendCall.RUN_ORDER
        tick.emit(StartAttempt(attempt.id, attempt.spec, server.record, call, fromToken = 0))
    }

    private fun ended(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        if (attempt.spec.order == null) return
        val place = attempt.place
        if (place is Place.Dispatched) world.orderWindows[place.server]?.running?.remove(attempt.id)
        if (place is Place.Forwarded) homeUnreachable(world, tick, attempt, event.outcome)
        world.activeOrderOf(attempt)?.let { settle(tick, it, event.outcome) }
    }

    /** No byte reached the home, so asking another VM of its domain is still the first forward. */
    private fun homeUnreachable(
        world: World,
        tick: Tick,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) {
        val refusal = (outcome as? AttemptOutcome.NotSent)?.refusal ?: return
        if (refusal.reason != RefusalReason.PEER_UNREACHABLE) return
        val request = world.requests[attempt.spec.id] ?: return
        if (request.isWithdrawing || tick.nowMs >= request.deadlineMs) return
        request.attempts -= attempt.id
        start(world, tick, request)
    }

    private fun settle(tick: Tick, order: Order, outcome: AttemptOutcome) {
        val wasDispatched = order.state == OrderState.DISPATCHED
        order.attempt = null
        order.state = when (outcome) {
            is AttemptOutcome.Completed -> OrderState.DONE
            is AttemptOutcome.NotSent -> OrderState.WITHDRAWN
            else -> if (wasDispatched) OrderState.UNKNOWN else OrderState.WITHDRAWN
        }
        tick.journal.count(Counter.ORDERS, order.state.name.lowercase())
        if (order.state == OrderState.UNKNOWN) {
            tick.journal.log(LogEvent.ORDER_UNKNOWN, mapOf("key" to order.key))
        }
    }

    /** Calls of peers have no request here, so their deadlines are checked on the attempts. */
    private fun expireForwarded(world: World, tick: Tick) {
        if (tick.nowMs < nextScanMs) return
        nextScanMs = tick.nowMs + ATTEMPT_SCAN_MS
        world.orderWindows.removeIf { it.queue.isEmpty() && it.running.isEmpty() }
        val expired = world.attempts.filter {
            it.spec.order != null && it.origin is Origin.Peer && tick.nowMs >= it.deadlineMs
        }
        for (attempt in expired) world.cancelOrder(tick, attempt, RefusalReason.DEADLINE_EXCEEDED)
    }
}

/** Whether this process, in this incarnation, is the only one that may dispatch [key]. */
fun World.isHomeOf(key: OrderKey): Boolean = key.home.domain == self.domain &&
    key.home.vm == self.vm &&
    key.home.incarnation == self.incarnation

/** Keys of epochs before the previous one may have been forgotten, so they are never dispatched. */
fun World.isExpired(key: OrderKey): Boolean {
    val epoch = entryVms[self.vm]?.epoch ?: 0
    return key.home.epoch < epoch - 1 || key.home.epoch > epoch
}

/** The order that [attempt] runs, when this process is its home and the attempt is not over. */
fun World.activeOrderOf(attempt: Attempt): Order? =
    attempt.spec.order?.let { orders[it] }?.takeIf { it.attempt == attempt.id }

/** Whether the subscriber of [spec] may have its data processed in the region of the key's home. */
private fun World.mayBeHomed(key: OrderKey, spec: RequestSpec): Boolean {
    val document = configuration.document ?: return false
    val region = document.regionOf(key.home.domain) ?: return false
    return region in document.processingRegions(spec.subscriber)
}

/** Makes a tombstone of a key that has no row, so that it is never dispatched. */
private fun World.entomb(tick: Tick, spec: RequestSpec) {
    val key = spec.order ?: return
    orders[key] = Order(key, spec, tick.nowMs).also { it.state = OrderState.WITHDRAWN }
}

/** Reasons that may hold for a subscriber who is entitled to the key, so that its refusal may leave a tombstone. */
private val ENTITLED_REASONS = setOf(
    RefusalReason.DRAINING,
    RefusalReason.CONFIGURATION_BEHIND,
    RefusalReason.RESIDENCY,
    RefusalReason.DEADLINE_EXCEEDED,
    RefusalReason.WITHDRAWN,
)

/**
 * [refusal] of the call [spec] with what is provable. Only the home can prove that a key has not run, and it keeps the
 * key from running later. A refusal of a repeat says nothing about the first call.
 */
fun World.withProvableRunState(tick: Tick, spec: RequestSpec, refusal: Refusal): Refusal {
    val key = spec.order ?: return refusal
    val unknown = refusal.copy(runState = RunState.UNKNOWN)
    if (refusal.runState == RunState.UNKNOWN || !isHomeOf(key) || isExpired(key)) return unknown
    val isNewRun = key !in orders && spec.orderCall == OrderCall.RUN
    if (isNewRun && refusal.reason in ENTITLED_REASONS) entomb(tick, spec)
    val row = orders[key] ?: return unknown
    val isProven = row.state == OrderState.WITHDRAWN && row.matchesCall(spec)
    return if (isProven) refusal else unknown
}

/** Ends an order call of which no order was sent, and answers with what is provable of [refusal]. */
fun World.endUnsentOrder(tick: Tick, attempt: Attempt, refusal: Refusal) {
    activeOrderOf(attempt)?.let { order ->
        check(order.isUnsent) { "order ${order.key} ended as unsent in state ${order.state}" }
        order.state = OrderState.WITHDRAWN
        order.attempt = null
    }
    val answer = withProvableRunState(tick, attempt.spec, refusal)
    attempts.remove(attempt.id)
    tick.journal.count(Counter.ORDERS, answer.reason.code)
    if (attempt.origin is Origin.Peer) {
        refuseForward(tick, attempt, answer)
        return
    }
    requests.remove(attempt.spec.id) ?: return
    tick.refuse(attempt.spec.id, answer)
}

/** Stops an order call where nothing was sent yet. An order that was sent is left to end by itself. */
fun World.cancelOrder(tick: Tick, attempt: Attempt, reason: RefusalReason) {
    val place = attempt.place
    when {
        place is Place.Forwarded -> tick.emit(WithdrawForward(attempt.id, place.vm))
        place is Place.Dispatched && !attempt.isOrderLookup -> Unit
        else -> endUnsentOrder(tick, attempt, Refusal(reason))
    }
}

/**
 * Handles the deadline of a caller's order call. A forwarded call is withdrawn at the home first; its answer is awaited
 * for [WITHDRAW_WAIT_MS], because it may prove that the order has not run.
 */
fun World.expireOrder(tick: Tick, request: Request) {
    val running = request.attempts.mapNotNull { attempts[it] }
    val forwarded = running.firstOrNull { it.place is Place.Forwarded }
    if (forwarded != null && !request.isWithdrawing) {
        request.isWithdrawing = true
        cancelOrder(tick, forwarded, RefusalReason.DEADLINE_EXCEEDED)
    }
    if (forwarded != null && tick.nowMs < request.deadlineMs + WITHDRAW_WAIT_MS) return
    for (attempt in running) {
        if (attempt == forwarded) {
            tick.emit(CancelAttempt(attempt.id))
        } else {
            cancelOrder(tick, attempt, RefusalReason.DEADLINE_EXCEEDED)
        }
    }
    requests.remove(request.spec.id) ?: return
    val refusal = Refusal(RefusalReason.DEADLINE_EXCEEDED)
    val answer = if (running.isEmpty()) withProvableRunState(tick, request.spec, refusal) else null
    tick.refuse(request.spec.id, answer ?: refusal.copy(runState = RunState.UNKNOWN))
}
