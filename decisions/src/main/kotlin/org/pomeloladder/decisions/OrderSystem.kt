/*
 * Runs orders at most once. Only the home process named in an order key may dispatch the order,
 * and it does so at most once. Every other process forwards the order to the home or, when the
 * home is gone, looks it up at the backend server.
 *
 * Only the home may report "not run", and only for a key for which it has a tombstone or whose
 * order never left its queue.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/**
 * Time after the caller's deadline for which an ingress waits for the home's answer to a
 * withdrawal.
 */
const val WITHDRAW_WAIT_MS = 1_000L

/** Maximum number of orders that one home queues for one server. */
const val MAX_QUEUED_ORDERS = 256

private const val FORWARD_DEADLINE_SCAN_MS = 100L

/**
 * Maintains the table of orders, routes order calls and dispatches orders. Orders have a
 * concurrency window per server that is separate from the window of other requests.
 */
class OrderSystem : TickSystem {
    private val deferredRequests = LinkedHashSet<RequestId>()
    private val deferredAttempts = LinkedHashSet<AttemptId>()
    private var nextScanMs = 0L
    private var lastEpoch = 0L

    override fun run(world: World, tick: Tick) {
        removeExpired(world)
        if (!world.isDispatchHeld(tick.nowMs)) resumeDeferred(world, tick)
        tick.each<RequestArrived> { event ->
            val request = world.requests[event.spec.id]
            if (request != null && event.spec.order != null) routeToHome(world, tick, request)
        }
        tick.each<ForwardArrived> { event ->
            val attempt = world.attempts[event.attempt]
            val isNew = attempt?.place is Place.Arrived && attempt.spec.order != null
            if (attempt != null && isNew) handleCall(world, tick, attempt)
        }
        tick.each<OrderAbsent> { handleAbsent(world, tick, it.attempt) }
        tick.each<OrderLookupFailed> { handleLookupFailed(world, tick, it) }
        tick.each<AttemptEnded> { handleEnded(world, tick, it) }
        expireForwarded(world, tick)
        for (window in world.orderWindows) dispatchQueued(world, tick, window)
    }

    /**
     * Removes orders of epochs before the previous one, which are only looked up and need no row.
     */
    private fun removeExpired(world: World) {
        val epoch = world.entryVms[world.self.vm]?.epoch ?: 0
        if (epoch == lastEpoch) return
        lastEpoch = epoch
        world.orders.removeIf { it.attempt == null && world.isExpired(it.key) }
    }

    private fun resumeDeferred(world: World, tick: Tick) {
        val requests = deferredRequests.mapNotNull { world.requests[it] }
        val attempts = deferredAttempts.mapNotNull { world.attempts[it] }
        deferredRequests.clear()
        deferredAttempts.clear()
        for (request in requests) routeToHome(world, tick, request)
        for (attempt in attempts) handleCall(world, tick, attempt)
    }

    private fun routeToHome(world: World, tick: Tick, request: Request) {
        val key = request.spec.order ?: return
        if (world.isDispatchHeld(tick.nowMs)) {
            deferredRequests += request.spec.id
            tick.wakeAt(world.process.heldUntilMs)
            return
        }
        if (!world.isHomeRegionAllowed(key, request.spec)) {
            refuse(world, tick, request, RefusalReason.RESIDENCY)
            return
        }
        if (key.home.domain == world.self.domain && !shouldAskRemoteHome(world, request, key)) {
            handleCall(world, tick, world.createAttempt(tick, request, Place.Arrived(null)))
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
     * Whether the home is another process that may still be running and was not tried yet. A home
     * that this process has not heard from, or has only heard from in an older incarnation, is
     * asked.
     */
    private fun shouldAskRemoteHome(world: World, request: Request, key: OrderKey): Boolean {
        val home = world.entryVms[key.home.vm] ?: return false
        val known = home.incarnation
        return home.id != world.self.vm &&
            home.id !in request.triedVms &&
            (known == null || known <= key.home.incarnation) &&
            (home.liveness == Liveness.LIVE || home.liveness == Liveness.UNKNOWN)
    }

    /** Returns the home, or else another VM of its failure domain, which only looks up the key. */
    private fun forwardTarget(world: World, request: Request, key: OrderKey): EntryVm? {
        val candidates = world.entryVms.filter {
            it.record.domain == key.home.domain && it.id !in request.triedVms
        }
        return candidates.firstOrNull { it.id == key.home.vm }
            ?: candidates.rendezvousFirst(hashKey(key.toString())) { it.id.value }
    }

    private fun handleCall(world: World, tick: Tick, attempt: Attempt) {
        val key = attempt.spec.order ?: return
        if (world.isDispatchHeld(tick.nowMs)) {
            deferredAttempts += attempt.id
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
            order != null -> handleRepeat(world, tick, attempt, order)
            attempt.spec.orderCall == OrderCall.LOOK_UP -> lookUp(world, tick, attempt)
            else -> {
                val row = Order(key, attempt.spec, tick.nowMs)
                row.attempt = attempt.id
                world.orders[key] = row
                lookUp(world, tick, attempt)
            }
        }
    }

    private fun handleRepeat(world: World, tick: Tick, attempt: Attempt, order: Order) {
        when (order.state) {
            OrderState.LOOKING_UP, OrderState.QUEUED, OrderState.DISPATCHED ->
                world.endUnsentOrder(tick, attempt, inProgressRefusal())
            OrderState.WITHDRAWN ->
                world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
            OrderState.DONE, OrderState.UNKNOWN -> lookUp(world, tick, attempt)
        }
    }

    private fun withdraw(world: World, tick: Tick, attempt: Attempt, order: Order?) {
        val key = attempt.spec.order ?: return
        when (order?.state) {
            OrderState.DISPATCHED -> {
                world.endUnsentOrder(tick, attempt, inProgressRefusal())
                return
            }
            OrderState.DONE, OrderState.UNKNOWN -> {
                lookUp(world, tick, attempt)
                return
            }
            else -> Unit
        }
        val running = order?.attempt?.let { world.attempts[it] }
        if (order == null) world.createTombstone(tick, attempt.spec)
        running?.let { world.endUnsentOrder(tick, it, Refusal(RefusalReason.WITHDRAWN)) }
        tick.journal.log(LogEvent.ORDER_WITHDRAWN, mapOf("key" to key))
        world.endUnsentOrder(tick, attempt, Refusal(RefusalReason.WITHDRAWN))
    }

    private fun inProgressRefusal() =
        Refusal(RefusalReason.ORDER_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = 1_000)

    /**
     * Looks up the key at the first server that may know it, or at the server following [after].
     */
    private fun lookUp(
        world: World,
        tick: Tick,
        attempt: Attempt,
        after: BackendServerId? = null,
    ) {
        val servers = lookupTargets(world, attempt)
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
     * Returns the servers for a lookup, in order. For an order that was dispatched, the home asks
     * only the server that it sent the order to. Otherwise every process derives the same server
     * from the key. Leaving servers before it in rendezvous order are asked first, because they
     * may have run the order before they began to leave.
     */
    private fun lookupTargets(world: World, attempt: Attempt): List<BackendServer> {
        val key = attempt.spec.order ?: return emptyList()
        val sentTo = world.orders[key]?.sentTo
        if (sentTo != null) return listOfNotNull(world.backends[sentTo])
        val ordered = world.backends
            .filter { attempt.spec.service in it.record.services }
            .rendezvousOrder(hashKey(key.toString())) { it.id.value }
        val leaving = ordered.takeWhile { it.isLeaving }
        return leaving + listOfNotNull(ordered.getOrNull(leaving.size))
    }

    private fun handleAbsent(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val place = attempt.place as? Place.Dispatched ?: return
        if (!attempt.isOrderLookup) return
        attempt.isOrderLookup = false
        val servers = lookupTargets(world, attempt)
        val isLast = servers.none { it.id == place.server } || servers.last().id == place.server
        when {
            !isLast -> lookUp(world, tick, attempt, after = place.server)
            world.activeOrderOf(attempt)?.state == OrderState.LOOKING_UP ->
                enqueue(world, tick, attempt, place.server)
            else -> world.endUnsentOrder(tick, attempt, absenceRefusal(world, attempt))
        }
    }

    /**
     * Returns the refusal for an order that the plain service does not know. The run state is
     * unknown, because a call that is still in transit may arrive later.
     */
    private fun absenceRefusal(world: World, attempt: Attempt): Refusal {
        val key = attempt.spec.order
        val reason = when {
            key == null || !world.isHomeOf(key) -> RefusalReason.HOME_GONE
            world.isExpired(key) -> RefusalReason.ORDER_EXPIRED
            else -> RefusalReason.ORDER_NOT_FOUND
        }
        return Refusal(reason, RunState.UNKNOWN, "not known to the service so far")
    }

    private fun handleLookupFailed(world: World, tick: Tick, event: OrderLookupFailed) {
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

    private fun dispatchQueued(world: World, tick: Tick, window: OrderWindow) {
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

    private fun handleEnded(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        if (attempt.spec.order == null) return
        val place = attempt.place
        if (place is Place.Dispatched) world.orderWindows[place.server]?.running?.remove(attempt.id)
        if (place is Place.Forwarded) retryUnreachableHome(world, tick, attempt, event.outcome)
        world.activeOrderOf(attempt)?.let { recordOutcome(tick, it, event.outcome) }
    }

    /**
     * Routes the order again when the home was unreachable. No byte reached the home, so
     * forwarding to another VM of its failure domain does not forward the order twice.
     */
    private fun retryUnreachableHome(
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
        routeToHome(world, tick, request)
    }

    private fun recordOutcome(tick: Tick, order: Order, outcome: AttemptOutcome) {
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

    /**
     * Cancels expired order calls that peers forwarded. They have no request in this process, so
     * the deadlines of their attempts are checked.
     */
    private fun expireForwarded(world: World, tick: Tick) {
        if (tick.nowMs < nextScanMs) return
        nextScanMs = tick.nowMs + FORWARD_DEADLINE_SCAN_MS
        world.orderWindows.removeIf { it.queue.isEmpty() && it.running.isEmpty() }
        val expired = world.attempts.filter {
            it.spec.order != null && it.origin is Origin.Peer && tick.nowMs >= it.deadlineMs
        }
        for (attempt in expired) world.cancelOrder(tick, attempt, RefusalReason.DEADLINE_EXCEEDED)
    }
}

/**
 * Whether this incarnation of this process is the home of [key], the only one that may dispatch
 * it.
 */
fun World.isHomeOf(key: OrderKey): Boolean = key.home.domain == self.domain &&
    key.home.vm == self.vm &&
    key.home.incarnation == self.incarnation

/**
 * Whether the epoch of [key] is older than the previous one, or in the future. The row of an
 * expired key may have been removed, so the key must never be dispatched.
 */
fun World.isExpired(key: OrderKey): Boolean {
    val epoch = entryVms[self.vm]?.epoch ?: 0
    return key.home.epoch < epoch - 1 || key.home.epoch > epoch
}

/**
 * Returns the order that [attempt] runs, or null when this process is not its home or the attempt
 * has ended.
 */
fun World.activeOrderOf(attempt: Attempt): Order? =
    attempt.spec.order?.let { orders[it] }?.takeIf { it.attempt == attempt.id }

/** Whether data of the subscriber of [spec] may be processed in the region of the home of [key]. */
private fun World.isHomeRegionAllowed(key: OrderKey, spec: RequestSpec): Boolean {
    val document = configuration.document ?: return false
    val region = document.regionOf(key.home.domain) ?: return false
    return region in document.processingRegions(spec.subscriber)
}

/** Adds a tombstone for a key that has no row, so that its order is never dispatched. */
private fun World.createTombstone(tick: Tick, spec: RequestSpec) {
    val key = spec.order ?: return
    orders[key] = Order(key, spec, tick.nowMs).also { it.state = OrderState.WITHDRAWN }
}

/**
 * Refusal reasons that can apply to the subscriber that owns the key. Only these may leave a
 * tombstone, so that a call that is not authorized cannot block the key.
 */
private val TOMBSTONE_REASONS = setOf(
    RefusalReason.DRAINING,
    RefusalReason.CONFIGURATION_BEHIND,
    RefusalReason.RESIDENCY,
    RefusalReason.DEADLINE_EXCEEDED,
    RefusalReason.WITHDRAWN,
)

/**
 * Returns [refusal] of the call [spec] with the run state that this process can prove. Only the
 * home can prove that an order has not run; it leaves a tombstone so that the order cannot run
 * later either. The refusal of a repeated call proves nothing about the first one.
 */
fun World.withProvableRunState(tick: Tick, spec: RequestSpec, refusal: Refusal): Refusal {
    val key = spec.order ?: return refusal
    val unknown = refusal.copy(runState = RunState.UNKNOWN)
    if (refusal.runState == RunState.UNKNOWN || !isHomeOf(key) || isExpired(key)) return unknown
    val isNewRun = key !in orders && spec.orderCall == OrderCall.RUN
    if (isNewRun && refusal.reason in TOMBSTONE_REASONS) createTombstone(tick, spec)
    val row = orders[key] ?: return unknown
    val isProven = row.state == OrderState.WITHDRAWN && row.matchesCall(spec)
    return if (isProven) refusal else unknown
}

/**
 * Ends an order call whose order was not sent, and answers with [refusal] and the run state that
 * can be proven.
 */
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

/**
 * Cancels an order call. A forwarded call is withdrawn at the home, and a call whose order was not
 * sent ends here. An order that was sent to a backend server is not interrupted.
 */
fun World.cancelOrder(tick: Tick, attempt: Attempt, reason: RefusalReason) {
    val place = attempt.place
    when {
        place is Place.Forwarded -> tick.emit(WithdrawForward(attempt.id, place.vm))
        place is Place.Dispatched && !attempt.isOrderLookup -> Unit
        else -> endUnsentOrder(tick, attempt, Refusal(reason))
    }
}

/**
 * Handles the deadline of a caller's order call. A forwarded call is first withdrawn at the home,
 * and the refusal is delayed by up to [WITHDRAW_WAIT_MS], because the home's answer may prove that
 * the order has not run.
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
