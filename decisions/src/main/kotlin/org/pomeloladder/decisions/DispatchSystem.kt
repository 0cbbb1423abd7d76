/*
 * Dispatches queued attempts to the backend servers that this process owns, limited by each
 * server's concurrency window, and maintains the window and exact load counts.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.Service

/** Time for which a server that refused a connection gets no new work. */
const val UNREACHABLE_BACKOFF_MS = 1_000L

/** Maximum number of attempts in the queue of one server. */
const val MAX_QUEUED_PER_SERVER = 256

/**
 * Bounds of Retry-After. The minimum gives the load time to change, and the maximum lets a caller
 * notice a recovery soon.
 */
private val RETRY_AFTER_MS = 100L..30_000L

/** Deadlines of queued attempts are checked at this interval and not at every event. */
private const val DEADLINE_SCAN_MS = 100L

/** Weight of the newest observation in an exponential moving average. */
private const val AVERAGE_WEIGHT = 0.2

/** Moves attempts from the queues into the servers' concurrency windows. */
class DispatchSystem(private val queuePolicy: QueuePolicy = QueuePolicy(::FairQueue)) : TickSystem {
    private var nextDeadlineScanMs = 0L

    override fun run(world: World, tick: Tick) {
        for (server in world.backends) {
            if (server.id !in world.queues) world.queues[server.id] = queuePolicy.newQueue()
        }
        tick.each<AttemptFirstToken> { observeFirstToken(world, tick, it.attempt) }
        tick.each<AttemptEnded> { releaseSlot(world, tick, it) }
        scanDeadlines(world, tick)
        for (server in world.backends) dispatchQueued(world, tick, server)
    }

    private fun observeFirstToken(world: World, tick: Tick, id: AttemptId) {
        val attempt = world.attempts[id] ?: return
        val place = attempt.place as? Place.Dispatched ?: return
        val server = world.backends[place.server] ?: return
        if (attempt.spec.order != null) return
        attempt.firstTokenMs = tick.nowMs
        server.endPrompt(attempt)
        server.firstTokenMs =
            movingAverage(server.firstTokenMs, (tick.nowMs - attempt.dispatchedMs).toDouble())
    }

    private fun releaseSlot(world: World, tick: Tick, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        if (attempt.spec.order != null) return
        val place = attempt.place as? Place.Dispatched ?: return
        val server = world.backends[place.server] ?: return
        server.inFlight -= 1
        server.inFlightCostTokens -= attempt.spec.costTokens
        server.inFlightBySubscriber.computeIfPresent(attempt.spec.subscriber) { _, count ->
            (count - 1).takeIf { it > 0 }
        }
        if (attempt.isCountedAsLong) server.longAttemptsInFlight -= 1
        server.endPrompt(attempt)
        server.observeService(tick, attempt, event.outcome)
        val outcome = event.outcome
        if (outcome is AttemptOutcome.Completed) growWindow(server)
        if (outcome is AttemptOutcome.NotSent &&
            outcome.refusal.reason == RefusalReason.BACKEND_UNREACHABLE
        ) {
            server.unreachableUntilMs = tick.nowMs + UNREACHABLE_BACKOFF_MS
            tick.journal.log(LogEvent.BACKEND_UNREACHABLE, mapOf("server" to server.id))
            tick.wakeAt(server.unreachableUntilMs)
        }
    }

    private fun growWindow(server: BackendServer) {
        server.windowSize = minOf(server.windowSize * 2, server.record.concurrency)
    }

    private fun scanDeadlines(world: World, tick: Tick) {
        if (tick.nowMs >= nextDeadlineScanMs) {
            nextDeadlineScanMs = tick.nowMs + DEADLINE_SCAN_MS
            expireQueued(world, tick)
        }
        if (world.queues.any { it.size > 0 }) tick.wakeAt(nextDeadlineScanMs)
    }

    private fun expireQueued(world: World, tick: Tick) {
        for (queue in world.queues) {
            if (queue.size == 0) continue
            for (attempt in queue.waiting()) {
                if (tick.nowMs < attempt.deadlineMs) continue
                world.endQueuedAttempt(tick, attempt, Refusal(RefusalReason.DEADLINE_EXCEEDED))
            }
        }
    }

    private fun dispatchQueued(world: World, tick: Tick, server: BackendServer) {
        val queue = world.queues[server.id] ?: return
        if (queue.size == 0) return
        if (world.isDispatchHeld(tick.nowMs)) return
        if (server.isLeaving) {
            for (attempt in queue.waiting()) {
                world.endQueuedAttempt(
                    tick,
                    attempt,
                    Refusal(RefusalReason.NOT_OWNER, retryAfterMs = 0),
                )
            }
            return
        }
        if (server.owner != world.self.vm) refuseQueued(world, tick, queue)
        while (true) {
            val attempt = queue.poll(world, server) ?: break
            server.queued -= 1
            server.queuedCostTokens -= attempt.spec.costTokens
            dispatch(world, tick, attempt, server)
        }
    }

    /**
     * Refuses the work queued for a server that another process owns now. Orders stay, because
     * their home dispatches them to servers that it does not own.
     */
    private fun refuseQueued(world: World, tick: Tick, queue: WorkQueue) {
        for (attempt in queue.waiting().filter { it.spec.order == null }) {
            world.endQueuedAttempt(
                tick,
                attempt,
                Refusal(RefusalReason.NOT_OWNER, retryAfterMs = 0),
            )
        }
    }

    private fun dispatch(world: World, tick: Tick, attempt: Attempt, server: BackendServer) {
        if (!world.mayProcessInOwnRegion(attempt.spec.subscriber)) {
            world.endUnsentAttempt(tick, attempt, Refusal(RefusalReason.RESIDENCY))
            return
        }
        attempt.place = Place.Dispatched(server.id)
        attempt.dispatchedMs = tick.nowMs
        server.inFlight += 1
        server.inFlightCostTokens += attempt.spec.costTokens
        server.inFlightBySubscriber.merge(attempt.spec.subscriber, 1, Int::plus)
        server.startPrompt(attempt)
        attempt.chargedTokens = attempt.spec.costTokens
        world.charge(attempt.spec.subscriber, attempt.spec.costTokens, tick.nowMs)
        val call = world.backendCall(attempt.spec)
        tick.emit(StartAttempt(attempt.id, attempt.spec, server.record, call, attempt.fromToken))
    }
}

private fun BackendServer.startPrompt(attempt: Attempt) {
    val spec = attempt.spec
    pendingPromptTokens += spec.promptTokens
    attempt.promptAheadTokens = pendingPromptTokens
    attempt.isPromptPending = true
    attempt.isCountedAsLong = !spec.isShort
    if (attempt.isCountedAsLong) longAttemptsInFlight += 1
    if (spec.hasLongPrompt) longPromptsPending += 1
}

private fun BackendServer.endPrompt(attempt: Attempt) {
    if (!attempt.isPromptPending) return
    attempt.isPromptPending = false
    pendingPromptTokens -= attempt.spec.promptTokens
    if (attempt.spec.hasLongPrompt) longPromptsPending -= 1
}

/**
 * Updates the service time averages. Time and cost are averaged separately and then divided,
 * because the ratio of a single attempt differs by a factor of ten and more between a long prompt
 * and a short question.
 */
private fun BackendServer.observeService(tick: Tick, attempt: Attempt, outcome: AttemptOutcome) {
    if (outcome !is AttemptOutcome.Completed) return
    serviceMs = movingAverage(serviceMs, (tick.nowMs - attempt.dispatchedMs).toDouble())
    serviceCostTokens = movingAverage(serviceCostTokens, attempt.spec.costTokens.toDouble())
    serviceMsPerCostToken = serviceMs / maxOf(1.0, serviceCostTokens)
    if (attempt.firstTokenMs == 0L || outcome.outputTokens <= 1) return
    val streamMs = (tick.nowMs - attempt.firstTokenMs).toDouble()
    interTokenMs = movingAverage(interTokenMs, streamMs / (outcome.outputTokens - 1))
}

/**
 * Returns the expected time until a new attempt with [spec] is dispatched to [server]; zero while
 * no service time was observed there.
 */
fun World.expectedWaitMs(server: BackendServer, spec: RequestSpec): Double {
    val queue = queues[server.id] ?: return 0.0
    if (queue.size == 0 && server.freeSlots > 0) return 0.0
    // On average, half of the work in flight is done.
    val aheadTokens = queue.costAhead(spec) + server.inFlightCostTokens / 2
    return aheadTokens * server.serviceMsPerCostToken / server.windowSize
}

/**
 * Returns the refusal of an [attempt] that is not expected to be dispatched before its deadline, or
 * null when it may wait for [server].
 */
private fun World.deadlineRefusal(tick: Tick, attempt: Attempt, server: BackendServer): Refusal? {
    val waitMs = expectedWaitMs(server, attempt.spec)
    val remainingMs = attempt.deadlineMs - tick.nowMs
    if (waitMs <= remainingMs) return null
    val retryAfterMs = (waitMs - remainingMs).toLong().coerceIn(RETRY_AFTER_MS)
    return Refusal(RefusalReason.DEADLINE_UNREACHABLE, retryAfterMs = retryAfterMs)
}

internal fun movingAverage(old: Double, observed: Double): Double =
    if (old == 0.0) observed else old + AVERAGE_WEIGHT * (observed - old)

/**
 * Adds [attempt] to the queue of [server]. When the queue is full, either a waiting attempt that
 * the queue selects or [attempt] itself ends. [attempt] also ends when its deadline is out of
 * reach.
 */
fun World.enqueue(tick: Tick, attempt: Attempt, server: BackendServerId) {
    val serverRow = backends[server]
    val queue = queues[server]
    attempt.place = Place.Queued(server)
    if (serverRow == null || queue == null) {
        endUnsentAttempt(tick, attempt, Refusal(RefusalReason.NOT_OWNER, retryAfterMs = 0))
        return
    }
    deadlineRefusal(tick, attempt, serverRow)?.let { refusal ->
        endUnsentAttempt(tick, attempt, refusal)
        return
    }
    if (queue.size >= MAX_QUEUED_PER_SERVER) {
        val displaced = queue.displacedBy(attempt)
        val waitMs = expectedWaitMs(serverRow, attempt.spec).toLong().coerceIn(RETRY_AFTER_MS)
        val refusal = Refusal(RefusalReason.QUEUE_FULL, retryAfterMs = waitMs)
        if (displaced == null) {
            endUnsentAttempt(tick, attempt, refusal)
            return
        }
        endQueuedAttempt(tick, displaced, refusal)
    }
    serverRow.queued += 1
    serverRow.queuedCostTokens += attempt.spec.costTokens
    queue.offer(this, attempt)
}

/** Removes a queued [attempt] from its queue and ends it as not sent. */
fun World.endQueuedAttempt(tick: Tick, attempt: Attempt, refusal: Refusal) {
    val place = attempt.place as? Place.Queued ?: return
    if (queues[place.server]?.remove(attempt.id) == true) {
        backends[place.server]?.let { server ->
            server.queued -= 1
            server.queuedCostTokens -= attempt.spec.costTokens
        }
    }
    endUnsentAttempt(tick, attempt, refusal)
}

/**
 * Ends an attempt of which no byte was sent. A forwarded attempt is refused to the peer; the
 * request of a caller is retried or refused.
 */
fun World.endUnsentAttempt(tick: Tick, attempt: Attempt, refusal: Refusal) {
    if (attempt.origin is Origin.Peer) {
        refuseForward(tick, attempt, refusal)
        return
    }
    attempts.remove(attempt.id)
    val request = requests[attempt.spec.id] ?: return
    request.attempts -= attempt.id
    retryOrRefuse(tick, request, refusal)
}

/** Returns the backend call for idempotent work of [spec], which depends on the kind of service. */
private fun World.backendCall(spec: RequestSpec): BackendCall {
    val service = configuration.document?.services?.get(spec.service)
    return if (service is Service.Plain) BackendCall.CALL_SERVICE else BackendCall.SERVE
}

/**
 * Recomputes the counts of [server] from this process's own attempts. They replace the counts that
 * the previous owner reported.
 */
fun World.recountAttempts(server: BackendServer) {
    val running = attempts.filter { it.place == Place.Dispatched(server.id) }
    val waiting = queues[server.id]?.waiting().orEmpty()
    server.inFlight = running.size
    server.inFlightCostTokens = running.sumOf { it.spec.costTokens }
    server.inFlightBySubscriber.clear()
    running.groupingBy { it.spec.subscriber }.eachCountTo(server.inFlightBySubscriber)
    server.longAttemptsInFlight = running.count { it.isCountedAsLong }
    server.queued = waiting.size
    server.queuedCostTokens = waiting.sumOf { it.spec.costTokens }
}
