/*
 * Ejects slow and failing backend servers from routing, for a time that doubles with each
 * ejection. The owner of a server decides and announces ejections in its heartbeats. Work queued
 * for an ejected server is routed again.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.ServiceId

/** Duration of the first ejection; each further one lasts twice as long. */
const val BASE_EJECTION_MS = 5_000L
private const val MAX_EJECTION_DOUBLINGS = 6

/** Time after the end of an ejection that resets the duration of the next one. */
private const val EJECTION_RESET_MS = 60_000L

private const val OUTLIER_SCAN_MS = 250L

/**
 * At most one in this many servers of a service is ejected at the same time, so that the others can
 * carry the load.
 */
private const val MAX_EJECTED_DIVISOR = 3

/**
 * Fixed cost of a first token, in prompt tokens. Without it, very short prompts would look slow per
 * token.
 */
const val FIRST_TOKEN_BASE_TOKENS = 200L

/**
 * Observes the attempts at this process's servers and ejects outliers. Runs before the completion
 * system, which removes the rows of ended attempts.
 */
class OutlierSystem(private val policy: OutlierPolicy = RealOutlierPolicy()) : TickSystem {
    private var nextScanMs = 0L

    override fun run(world: World, tick: Tick) {
        tick.each<PeerControl> { event ->
            val message = event.message
            if (message is Heartbeat) applyHeartbeat(world, tick, event, message)
        }
        tick.each<AttemptEnded> { countOutcome(world, it) }
        if (tick.nowMs >= nextScanMs) {
            nextScanMs = tick.nowMs + OUTLIER_SCAN_MS
            scan(world, tick)
        }
        if (world.attempts.size > 0) tick.wakeAt(nextScanMs)
    }

    private fun applyHeartbeat(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        for (load in heartbeat.servers) {
            val row = world.backends[load.server] ?: continue
            if (row.owner == world.self.vm || row.owner != event.from) continue
            row.firstTokenMsPerToken = load.firstTokenMsPerToken
            row.interTokenMs = load.interTokenMs
            row.ejectedUntilMs = if (load.isEjected) tick.nowMs + SUSPECT_AFTER_MS else 0
        }
    }

    /**
     * Updates the averages of [server] with a completed [attempt]. Cached tokens take no time to
     * process, and their number is known only at the end. If they counted as processed, a server
     * with a cold cache would look slow.
     */
    private fun recordFirstToken(server: BackendServer, attempt: Attempt, cachedTokens: Int) {
        server.consecutiveFailures = 0
        if (attempt.firstTokenMs == 0L) return
        val waitMs = (attempt.firstTokenMs - attempt.dispatchedMs).toDouble()
        val freshTokens = maxOf(0, attempt.promptAheadTokens - cachedTokens)
        val msPerToken = waitMs / (FIRST_TOKEN_BASE_TOKENS + freshTokens)
        server.observations += 1
        server.firstTokenMsPerToken = movingAverage(server.firstTokenMsPerToken, msPerToken)
    }

    private fun countOutcome(world: World, event: AttemptEnded) {
        val attempt = world.attempts[event.attempt] ?: return
        val server = world.serverOf(attempt) ?: return
        when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> recordFirstToken(server, attempt, outcome.cachedTokens)
            is AttemptOutcome.NotSent ->
                if (outcome.refusal.isFault) server.consecutiveFailures += 1
            is AttemptOutcome.Failed -> if (outcome.refusal.isFault) server.consecutiveFailures += 1
            AttemptOutcome.Cancelled -> Unit
        }
    }

    private fun scan(world: World, tick: Tick) {
        for (server in world.backends) {
            server.firstTokenWaitMs = 0.0
            server.firstTokenWaitMsPerToken = 0.0
        }
        for (attempt in world.attempts) {
            if (attempt.isPromptPending) recordPendingWait(world, tick, attempt)
        }
        for (server in world.backends) {
            if (server.owner != world.self.vm) continue
            endEjection(tick, server)
            if (server.isAvailable(tick.nowMs)) ejectIfOutlier(world, tick, server)
        }
    }

    private fun recordPendingWait(world: World, tick: Tick, attempt: Attempt) {
        val server = world.serverOf(attempt) ?: return
        val waitMs = (tick.nowMs - attempt.dispatchedMs).toDouble()
        server.firstTokenWaitMs = maxOf(server.firstTokenWaitMs, waitMs)
        server.firstTokenWaitMsPerToken =
            maxOf(server.firstTokenWaitMsPerToken, waitMs / pendingCostTokens(attempt))
    }

    private fun endEjection(tick: Tick, server: BackendServer) {
        if (server.ejections == 0 || tick.nowMs < server.ejectedUntilMs) return
        if (server.isReturnPending) {
            server.isReturnPending = false
            // The averages date from before the ejection; only new observations count from here on.
            server.resetObservations()
            server.windowSize = 1
            tick.journal.log(LogEvent.BACKEND_RETURNED, mapOf("server" to server.id))
        }
        if (tick.nowMs >= server.ejectedUntilMs + EJECTION_RESET_MS) server.ejections = 0
    }

    private fun ejectIfOutlier(world: World, tick: Tick, server: BackendServer) {
        val others = world.backends.filter { other ->
            other.id != server.id && other.record.services.any { it in server.record.services }
        }
        val reason = policy.reason(server.health(), median(others)) ?: return
        if (server.record.services.any { !world.mayEject(it, tick.nowMs) }) return
        val durationMs = BASE_EJECTION_MS shl minOf(server.ejections, MAX_EJECTION_DOUBLINGS)
        server.ejections += 1
        server.isReturnPending = true
        server.ejectedUntilMs = tick.nowMs + durationMs
        tick.wakeAt(server.ejectedUntilMs)
        tick.journal.count(Counter.EJECTIONS, reason)
        val details = mapOf("server" to server.id, "reason" to reason, "durationMs" to durationMs)
        tick.journal.log(LogEvent.BACKEND_EJECTED, details)
        rerouteQueued(world, tick, server)
    }

    /**
     * Routes the queued work of [server] again, except orders, whose keys are bound to the server.
     */
    private fun rerouteQueued(world: World, tick: Tick, server: BackendServer) {
        val waiting = world.queues[server.id]?.waiting().orEmpty()
        for (attempt in waiting.filter { it.spec.order == null }) {
            world.endQueuedAttempt(tick, attempt, Refusal(RefusalReason.EJECTED, retryAfterMs = 0))
        }
    }
}

private fun World.serverOf(attempt: Attempt): BackendServer? =
    (attempt.place as? Place.Dispatched)?.let { backends[it.server] }

private fun World.mayEject(service: ServiceId, nowMs: Long): Boolean {
    val servers = backends.filter { service in it.record.services }
    val ejected = servers.count { nowMs < it.ejectedUntilMs }
    return ejected + 1 <= servers.size / MAX_EJECTED_DIVISOR
}

private fun pendingCostTokens(attempt: Attempt) =
    (FIRST_TOKEN_BASE_TOKENS + attempt.promptAheadTokens).toDouble()

private fun BackendServer.health() = ServerHealth(
    firstTokenMsPerToken = firstTokenMsPerToken,
    pendingMsPerToken = firstTokenWaitMsPerToken,
    pendingMs = firstTokenWaitMs,
    firstTokenMs = firstTokenMs,
    betweenTokensMs = interTokenMs,
    observations = observations,
    failuresInARow = consecutiveFailures,
)

private fun BackendServer.resetObservations() {
    observations = 0
    consecutiveFailures = 0
    firstTokenMs = 0.0
    firstTokenMsPerToken = 0.0
    interTokenMs = 0.0
}

private fun median(servers: List<BackendServer>) = ServerHealth(
    firstTokenMsPerToken = medianOf(servers) { it.firstTokenMsPerToken },
    pendingMsPerToken = 0.0,
    pendingMs = 0.0,
    firstTokenMs = medianOf(servers) { it.firstTokenMs },
    betweenTokensMs = medianOf(servers) { it.interTokenMs },
    observations = 0,
    failuresInARow = 0,
)

/**
 * Returns the median of [value] over the servers with an observation, or zero when there is none.
 */
internal fun medianOf(servers: List<BackendServer>, value: (BackendServer) -> Double): Double {
    val sorted = servers.map(value).filter { it > 0 }.sorted()
    return if (sorted.isEmpty()) 0.0 else sorted[sorted.size / 2]
}

/** Whether the refusal was caused by the server itself. */
private val Refusal.isFault: Boolean
    get() = reason == RefusalReason.BACKEND_FAILED ||
        reason == RefusalReason.BACKEND_UNREACHABLE ||
        reason == RefusalReason.CONNECTION_LOST
