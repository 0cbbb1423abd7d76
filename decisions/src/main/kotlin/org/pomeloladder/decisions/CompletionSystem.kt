/*
 * Ends requests: completes a request when one of its attempts has completed, retries or refuses it
 * when its last attempt was lost, and refuses it at its deadline.
 */
package org.pomeloladder.decisions

/** Deadlines of requests are checked at this interval and not at every event. */
private const val DEADLINE_SCAN_MS = 100L

/** Ends attempts and requests. */
class CompletionSystem : TickSystem {
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<RequestArrived> { world.retryBudget.deposit() }
        tick.each<AttemptFirstToken> { selectWinner(world, tick, it.attempt) }
        tick.each<AttemptProgress> { recordProgress(world, it) }
        tick.each<AttemptEnded> { handleEnded(world, tick, it) }
        tick.each<CallerDisconnected> { handleCallerDisconnected(world, tick, it.request) }
        tick.each<ForwardCancelled> { event ->
            world.attempts[event.attempt]?.let { world.cancel(tick, it, RefusalReason.WITHDRAWN) }
        }
        expireRequests(world, tick)
    }

    private fun selectWinner(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        if (attempt.origin != Origin.Local) return
        val request = world.requests[attempt.spec.id] ?: return
        if (request.winner != null) return
        request.winner = id
        if (request.firstTokenAtMs == 0L) {
            request.firstTokenAtMs = tick.nowMs
            tick.journal.observe(Latency.FIRST_TOKEN, tick.nowMs - request.arrivedMs)
        }
        cancelOthers(world, tick, request, id)
    }

    private fun recordProgress(world: World, event: AttemptProgress) {
        val attempt = world.attempts[event.attempt] ?: return
        attempt.deliveredTokens = event.deliveredTokens
        if (attempt.origin != Origin.Local) return
        world.requests[attempt.spec.id]?.deliveredTokens = event.deliveredTokens
    }

    private fun handleEnded(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts.remove(event.attempt) ?: return
        if (attempt.origin != Origin.Local) return
        val request = world.requests[attempt.spec.id] ?: return
        request.attempts -= attempt.id
        when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> complete(world, tick, request, attempt.id)
            is AttemptOutcome.NotSent ->
                world.retryOrRefuse(tick, request, provableRefusal(world, tick, attempt, outcome))
            is AttemptOutcome.Failed -> {
                if (request.winner == attempt.id) request.winner = null
                request.deliveredTokens = maxOf(request.deliveredTokens, outcome.deliveredTokens)
                world.retryOrRefuse(tick, request, outcome.refusal)
            }
            AttemptOutcome.Cancelled -> Unit
        }
    }

    /**
     * Returns the refusal of an attempt that was not sent. When this process itself refused a
     * forward, only the home of the order can prove that the order has not run.
     */
    private fun provableRefusal(
        world: World,
        tick: Tick,
        attempt: Attempt,
        outcome: AttemptOutcome.NotSent,
    ): Refusal {
        val isFromThisProcess = attempt.place is Place.Forwarded && outcome.refusal.isFromIngress
        if (!isFromThisProcess) return outcome.refusal
        return world.withProvableRunState(tick, attempt.spec, outcome.refusal)
    }

    private fun complete(world: World, tick: Tick, request: Request, winner: AttemptId) {
        cancelOthers(world, tick, request, winner)
        world.requests.remove(request.spec.id)
        tick.emit(CompleteRequest(request.spec.id))
        tick.journal.count(Counter.REQUESTS, "completed")
        tick.journal.observe(Latency.REQUEST, tick.nowMs - request.arrivedMs)
    }

    private fun cancelOthers(world: World, tick: Tick, request: Request, winner: AttemptId) {
        for (id in request.attempts.filter { it != winner }) {
            world.attempts[id]?.let { world.cancel(tick, it, RefusalReason.WITHDRAWN) }
        }
    }

    private fun handleCallerDisconnected(world: World, tick: Tick, id: RequestId) {
        val request = world.requests[id] ?: return
        if (request.spec.order != null) return
        world.requests.remove(id)
        for (attempt in request.attempts.toList()) {
            world.attempts[attempt]?.let { world.cancel(tick, it, RefusalReason.CALLER_GONE) }
        }
        tick.journal.count(Counter.REQUESTS, "caller-gone")
    }

    private fun expireRequests(world: World, tick: Tick) {
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + DEADLINE_SCAN_MS
            val expired = world.requests.filter { tick.nowMs >= it.deadlineMs }
            for (request in expired) expireRequest(world, tick, request)
        }
        if (world.requests.size > 0) tick.wakeAt(nextScanMs)
    }

    private fun expireRequest(world: World, tick: Tick, request: Request) {
        if (request.spec.order != null) {
            world.expireOrder(tick, request)
            return
        }
        val wasSent = request.attempts.any { id ->
            world.attempts[id]?.place.let { it is Place.Dispatched || it is Place.Forwarded }
        }
        world.requests.remove(request.spec.id)
        for (id in request.attempts.toList()) {
            world.attempts[id]?.let { world.cancel(tick, it, RefusalReason.DEADLINE_EXCEEDED) }
        }
        val runState = if (wasSent) RunState.UNKNOWN else RunState.NOT_RUN
        tick.refuse(request.spec.id, Refusal(RefusalReason.DEADLINE_EXCEEDED, runState))
    }
}

/**
 * Retries or refuses a request after one of its attempts was lost. Does nothing while another
 * attempt is still running.
 */
fun World.retryOrRefuse(tick: Tick, request: Request, refusal: Refusal) {
    request.lastRefusal = refusal
    if (request.attempts.isNotEmpty()) return
    if (retryPolicy.mayRetry(request, refusal, tick.nowMs)) {
        if (!refusal.isPlaceLost && !retryBudget.tryWithdraw()) {
            tick.journal.count(Counter.RETRIES, "over-budget")
            requests.remove(request.spec.id)
            tick.refuse(request.spec.id, refusal)
            return
        }
        request.retries += 1
        tick.journal.count(Counter.RETRIES, refusal.reason.code)
        routeQueue.addLast(request.spec.id)
        tick.wakeAt(tick.nowMs)
        return
    }
    requests.remove(request.spec.id)
    tick.refuse(request.spec.id, refusal)
}

/** Whether the ingress refused the forward itself, without an answer from the other process. */
private val Refusal.isFromIngress: Boolean
    get() = reason == RefusalReason.PEER_UNREACHABLE || reason == RefusalReason.CALLER_GONE

/**
 * Cancels [attempt]. A queued attempt ends at once and has provably not run. An attempt that was
 * sent is cancelled by the traffic threads, except for orders, which must not be interrupted.
 */
fun World.cancel(tick: Tick, attempt: Attempt, reason: RefusalReason) {
    if (attempt.spec.order != null) {
        cancelOrder(tick, attempt, reason)
        return
    }
    when (attempt.place) {
        is Place.Queued -> endQueuedAttempt(tick, attempt, Refusal(reason))
        is Place.Arrived -> endUnsentAttempt(tick, attempt, Refusal(reason))
        is Place.Dispatched -> tick.emit(CancelAttempt(attempt.id))
        is Place.Forwarded -> tick.emit(CancelAttempt(attempt.id))
    }
}
