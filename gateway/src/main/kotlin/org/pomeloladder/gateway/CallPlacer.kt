/*
 * Starts sends for calls and ends calls that cannot be served. All retries start here, so that the
 * rules for retries are in one place.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/** Minimum remaining time for a send; even a plain call takes longer. */
private const val MIN_SEND_MS = 20L

/**
 * A server of the same region accepts a connection within one or two milliseconds; the timeout
 * allows for one lost SYN packet.
 */
private const val CONNECT_TIMEOUT_MS = 350L

/** Connecting to another region takes one round trip between regions. */
private const val PEER_CONNECT_TIMEOUT_MS = 700L

/**
 * A send is slow after this many times its expected duration; estimates are often off by smaller
 * factors.
 */
internal const val SLOW_FACTOR = 4.0

/**
 * Part of the time left by which an answer must be expected to end. Under load, engines slow down
 * while it runs, since more calls come to them.
 */
private const val MAX_END_FRACTION = 0.7

/** Sends calls to the places that the policy chooses, within the limits for runs and retries. */
class CallPlacer(
    private val placement: PlacementPolicy,
    private val quarantine: QuarantinePolicy = RealQuarantinePolicy(),
) {
    /** Sends [call] to the place that the policy chooses, or ends it when it cannot be sent. */
    fun place(world: GatewayWorld, tick: GatewayTick, call: Call) {
        val remainingMs = call.remainingMs(tick.nowMs)
        if (remainingMs < MIN_SEND_MS) return fail(world, tick, call, CallRefusal.TIMED_OUT)
        if (call.runs >= call.maxRuns) {
            return fail(world, tick, call, CallRefusal.OUTCOME_UNKNOWN)
        }
        if (call.binding == StreamBinding.Unknown) {
            return fail(world, tick, call, CallRefusal.VERSION_UNKNOWN)
        }
        val quarantined = quarantinedParts(world, call)
        // A test that waited for the health check of its server is still due.
        val isUnsentProbe = call.isProbe && call.arrivals == 0
        if (quarantined.isNotEmpty() &&
            !isUnsentProbe &&
            !tryProbe(world, tick, call, quarantined)
        ) {
            val retryAfterMs = quarantined.maxOf { quarantine.probeAtMs(it) } - tick.nowMs
            val reason = CallRefusal.QUARANTINED
            return fail(world, tick, call, reason, maxOf(retryAfterMs, MIN_RETRY_AFTER_MS))
        }
        when (val choice = choose(world, tick, call)) {
            is Placement.Unavailable -> when {
                call.isStreamStarted && !call.isRetryingAvoided -> retryAvoided(world, tick, call)
                awaitsProof(world, tick, call) -> Unit
                else -> fail(world, tick, call, choice.reason, choice.retryAfterMs)
            }
            is Placement.Local -> when {
                // Refuses at once instead of letting the caller wait for a timeout. A caller that
                // already has events is better served by a late end of the stream.
                isTooLate(world, call, choice, remainingMs) ->
                    fail(world, tick, call, CallRefusal.OVERLOADED, retryAfterMs(choice.waitMs))
                tryAdmit(
                    world,
                    tick,
                    call,
                    choice.backend,
                ) -> sendIfPermitted(world, tick, call, choice)
                // The server was asked for its health just now.
                awaitsProof(world, tick, call) -> Unit
                else -> fail(world, tick, call, CallRefusal.OVERLOADED, MIN_RETRY_AFTER_MS)
            }
            is Placement.Remote -> sendIfPermitted(world, tick, call, choice)
        }
    }

    /**
     * Whether an answer that begins and ends as expected at [choice] is of no use to its caller. The
     * most urgent calls are only held to its beginning: nothing more urgent waits behind them, and
     * many of their answers end sooner than expected. So are take-ups, as their callers have a part of
     * the answer already.
     */
    private fun isTooLate(
        world: GatewayWorld,
        call: Call,
        choice: Placement.Local,
        remainingMs: Long,
    ): Boolean {
        if (call.isStreamStarted) return false
        if (choice.waitMs > remainingMs) return true
        val urgentPriority = world.catalog?.mostUrgentPriority(call.service) ?: 0
        val isMostUrgent = call.route.priority <= urgentPriority
        return !isMostUrgent &&
            !isTakeUp(call.spec) &&
            choice.endMs > remainingMs * MAX_END_FRACTION
    }

    /**
     * Asks [backend] for its health if there was no recent contact, since it may have started again
     * unnoticed. Returns whether [call] may go there before the answer.
     */
    private fun tryAdmit(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        backend: Backend,
    ): Boolean {
        doubtWithoutContact(world, tick, backend)
        return mayServe(call, backend) && hasColdCapacity(world, backend, tick.nowMs)
    }

    /**
     * Lets [call] wait when a server for it is in doubt and its health check will show at once
     * whether it may be used. A lost connection of this process puts all its servers in doubt.
     */
    private fun awaitsProof(world: GatewayWorld, tick: GatewayTick, call: Call): Boolean {
        val mayBeProven = world.doubtedServers.any { id ->
            val backend = world.backends[id]
            backend != null && id !in call.avoidedServers && isFreshDoubt(backend, call, tick.nowMs)
        }
        val sinceMs = call.proofSinceMs ?: tick.nowMs
        if (!mayBeProven || tick.nowMs - sinceMs >= MAX_PROOF_WAIT_MS) return false
        call.proofSinceMs = sinceMs
        call.proofUntilMs = tick.nowMs + FRESH_DOUBT_MS
        world.callsAwaitingProof += call.id
        tick.wakeAt(call.proofUntilMs)
        return true
    }

    private fun isFreshDoubt(backend: Backend, call: Call, nowMs: Long): Boolean {
        val doubt = backend.doubt ?: return false
        val isFresh = !doubt.isRefused && nowMs - doubt.sinceMs < FRESH_DOUBT_MS
        return isFresh && backend.record.service == call.service
    }

    private fun sendIfPermitted(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Placement.Candidate,
    ) {
        val permit = acquirePermit(world, tick, call)
            ?: return fail(world, tick, call, CallRefusal.NO_BUDGET, MIN_RETRY_AFTER_MS)
        send(world, tick, call, choice, permit)
    }

    private fun send(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Placement.Candidate,
        permit: SendPermit,
        replaced: ReplacedSend? = null,
    ) = when (choice) {
        is Placement.Local -> sendToServer(world, tick, call, choice, permit, replaced)
        is Placement.Remote -> sendToPeer(world, tick, call, choice, permit, replaced)
    }

    private fun choose(world: GatewayWorld, tick: GatewayTick, call: Call): Placement {
        // The catalog may have given the route homes while the call waited or ran.
        world.catalog?.findRoute(call.spec.host, call.spec.path)?.let { call.latestRoute = it }
        return placement.choose(world, call, tick.nowMs, tick.random)
    }

    /**
     * Lets [call] test its quarantined parts if a test is due. One process of the fleet does it, with
     * a call that has not been sent yet, at a server of its own region: the other processes refuse
     * calls with the part.
     */
    private fun tryProbe(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        quarantined: List<SuspectPart>,
    ): Boolean {
        val part = quarantined.minBy { it.id.value }
        if (quarantined.any { it.quarantine != part.quarantine }) return false
        val isFirstSend = call.arrivals == 0 && call.spec.origin is CallOrigin.Caller
        if (!isFirstSend || tick.nowMs < quarantine.probeAtMs(part)) return false
        if (!isProber(world, part)) return false
        quarantined.forEach { it.probes++ }
        world.process.evidenceVersion++
        call.isProbe = true
        tick.journal.count(Counter.QUARANTINE, "probe")
        val details = mapOf(
            "part" to part.id,
            "request" to call.spec.requestId,
            "probes" to part.probes,
        )
        tick.journal.log(LogEvent.PART_PROBED, details)
        return true
    }

    /**
     * Retries places where a started stream failed before, since maybe only its connection broke.
     */
    private fun retryAvoided(world: GatewayWorld, tick: GatewayTick, call: Call) {
        call.isRetryingAvoided = true
        call.avoidedServers.clear()
        call.avoidedPeers.clear()
        place(world, tick, call)
    }

    /**
     * Starts a send of [call] to another place than [server], whose send [replaced] is silent. The
     * silent send continues until a connection to the other place is open, since its answer may
     * still come; it also continues when there is no other place, no retry budget or no time. While
     * the server itself is alive, the other place must be expected to answer well within the
     * remaining time.
     */
    fun startReplacement(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        server: Backend,
        replaced: ReplacedSend,
        isServerAlive: Boolean,
    ) {
        val remainingMs = call.remainingMs(tick.nowMs)
        if (remainingMs < MIN_SEND_MS || call.runs + 1 >= call.maxRuns) return
        call.avoidedServers += server.id
        val choice = choose(world, tick, call)
        call.avoidedServers -= server.id
        if (choice !is Placement.Candidate) return
        if (isServerAlive && choice.waitMs * SLOW_FACTOR > remainingMs) return
        if (choice is Placement.Local && !tryAdmit(world, tick, call, choice.backend)) return
        val permit = acquirePermit(world, tick, call, call.arrivals + 1) ?: return
        send(world, tick, call, choice, permit, replaced)
    }

    /** Ends [call], which a server may be working on, with [reason] or as perhaps run. */
    fun abandon(world: GatewayWorld, tick: GatewayTick, call: Call, reason: CallRefusal) {
        if (call.currentSend != null) call.mayHaveRun = true
        stopSends(world, tick, call)
        fail(world, tick, call, reason)
    }

    /**
     * Ends [call] with the held answer of a server if there is one, otherwise with [reason]. A
     * started stream is aborted, since a complete answer cannot follow its events.
     */
    fun fail(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        reason: CallRefusal,
        retryAfterMs: Long? = null,
    ) {
        world.calls.remove(call.id)
        val held = call.heldAnswer
        if (held != null && !call.isStreamStarted) {
            tick.journal.count(Counter.REQUESTS, "held-answer")
            tick.emit(DeliverAnswer(call.id, held))
            return
        }
        val publicReason = when {
            call.isStreamStarted -> CallRefusal.STREAM_BROKEN
            call.mayHaveRun && reason.runState == RunState.NOT_RUN -> CallRefusal.OUTCOME_UNKNOWN
            else -> reason
        }
        tick.journal.count(Counter.REFUSALS, publicReason.name.lowercase())
        tick.journal.log(
            LogEvent.CALL_REFUSED,
            refusalDetails(world, tick, call, reason, publicReason),
        )
        tick.emit(RefuseCall(call.id, publicReason, retryAfterMs, call.arrivals))
    }

    private fun refusalDetails(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        reason: CallRefusal,
        publicReason: CallRefusal,
    ): Map<String, Any?> {
        val servers = world.backends.filter { it.record.service == call.service }
        return mapOf(
            "request" to call.spec.requestId,
            "route" to call.route.id,
            "reason" to reason,
            "told" to publicReason,
            "ageMs" to tick.nowMs - call.arrivedMs,
            "remainingMs" to call.remainingMs(tick.nowMs),
            "hasStarted" to call.isStreamStarted,
            "arrivals" to call.arrivals,
            "runs" to call.runs,
            "quarantined" to quarantinedParts(world, call).joinToString(" ") { it.id.toString() },
            "servers" to servers.joinToString(" ") { describeServer(world, it, tick.nowMs) },
            "revision" to world.process.view?.revision,
        ) + retryDetails(world, tick, call)
    }

    /** Log fields for who counts the arrivals of [call], and the state of its retry budget here. */
    private fun retryDetails(world: GatewayWorld, tick: GatewayTick, call: Call) = mapOf(
        "origin" to call.spec.origin,
        "extraArrivals" to
            world.service(call.service).retryBudget.extraArrivals(tick.nowMs, world.bounds),
        "retrySlack" to retrySlackShare(world, tick.nowMs),
    )

    private fun describeServer(world: GatewayWorld, backend: Backend, nowMs: Long): String {
        val life = backend.life
        val reportAgeMs = if (life.lastReport == null) -1 else nowMs - life.lastReportMs
        val isUsable = isUsable(world, backend)
        return "${backend.id}:${backend.load}/${backend.record.slots},report=${reportAgeMs}ms," +
            "usable=$isUsable"
    }

    /**
     * Returns the permission for a send of [call], which already has [arrivals] at servers, or null
     * if it needs a retry and the budget has none left.
     */
    private fun acquirePermit(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        arrivals: Int = call.arrivals,
    ): SendPermit? {
        if (arrivals == 0) return SendPermit.First
        val slack = retrySlackShare(world, tick.nowMs)
        val permit =
            world.service(call.service).retryBudget.tryAcquire(tick.nowMs, world.bounds, slack)
        tick.journal.count(Counter.RETRIES, if (permit != null) "sent" else "no-budget")
        return permit
    }

    private fun sendToServer(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Placement.Local,
        permit: SendPermit,
        replaced: ReplacedSend?,
    ) {
        val backend = choice.backend
        val service = world.catalog?.service(call.service)
        val place = SendPlace.AtServer(backend.id)
        val send = newSend(world, tick, call, place, permit, backend.life)
        send.expectedFirstEventMs = choice.waitMs
        val details = retryDetails(world, tick, call) +
            serverDetails(choice, call, tick.nowMs) +
            answerDetails(world, call, backend, tick.nowMs)
        backend.recentSends.add(send.id, tick.nowMs)
        backend.life.limit.take()
        backend.inFlight++
        call.spec.prompt?.let { prompt -> addPromptLoad(world, choice, send, prompt, service) }
        val liveVms = world.liveRegionPeers().size + 1
        val target = SendTarget.Server(
            id = backend.id,
            address = backend.record.address,
            maxConnections = (service?.maxConnections ?: 1) / liveVms,
            needsFreshConnection = !call.route.isRepeatable,
            kvCopySource = choice.source?.holder?.record?.address,
            version = backend.life.version.takeIf { backend.doubt == null },
        )
        issueSend(tick, call, send, target, replaced, details)
    }

    /** Log fields for what this process knows of the chosen server when it sends [prompt] there. */
    private fun serverDetails(
        choice: Placement.Local,
        call: Call,
        nowMs: Long,
    ): Map<String, Any?> {
        val backend = choice.backend
        val prompt = call.spec.prompt
        val priority = call.route.priority
        return mapOf(
            "load" to backend.load,
            "coldForMs" to (backend.life.coldUntilMs - nowMs).coerceAtLeast(0),
            "uncachedTokens" to CallCosts.uncachedTokens(prompt, backend),
            "copiedTokens" to choice.source?.tokens,
            "aheadTokens" to backend.tokensAhead(priority),
            "recentTokens" to
                backend.life.recentPromptTokens.toLong() + backend.peerRecentPromptTokens,
        )
    }

    /** Log fields for the end that the answer to [call] was expected to have at [backend]. */
    private fun answerDetails(
        world: GatewayWorld,
        call: Call,
        backend: Backend,
        nowMs: Long,
    ): Map<String, Any?> {
        val outputTokens = call.spec.prompt?.outputTokens ?: return emptyMap()
        val state = world.service(call.service)
        return mapOf(
            "outputTokens" to outputTokens,
            "expectedEvents" to state.answerLengths.expectedEvents(outputTokens).toInt(),
            "eventGapMs" to backend.life.gapEstimator.gapMs(nowMs).toInt(),
            "promptTokensPerMs" to (1 / state.msPerPromptToken).toInt(),
        )
    }

    private fun addPromptLoad(
        world: GatewayWorld,
        choice: Placement.Local,
        send: Send,
        prompt: Prompt,
        service: ServiceSpec?,
    ) {
        val backend = choice.backend
        val copiedTokens = choice.source?.tokens ?: 0
        val tokensToProcess = CallCosts.uncachedTokens(prompt, backend) - copiedTokens
        send.pendingTokens = tokensToProcess.toLong()
        send.tokensBeforeFirstEvent = tokensToProcess + backend.tokensAhead(send.priority)
        backend.pending.add(send.priority, send.pendingTokens)
        backend.life.recentPromptTokens += tokensToProcess
        val capacity = service?.engine?.kvCapacityTokens ?: return
        for (part in prompt.sharedParts) {
            backend.life.cache.add(part, capacity)
            if (part.tokens < MIN_GOSSIPED_TOKENS) continue
            world.recentlyCached += CachedPart(backend.id, part.id, part.tokens)
        }
    }

    private fun sendToPeer(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Placement.Remote,
        permit: SendPermit,
        replaced: ReplacedSend?,
    ) {
        val peer = choice.peer
        peer.relayedSinceDatagram++
        val send = newSend(world, tick, call, SendPlace.AtPeer(peer.vm), permit)
        send.expectedFirstEventMs = choice.waitMs
        val target = SendTarget.Peer(
            vm = peer.vm,
            address = peer.identity.relay,
            catalogVersion = world.catalog?.version ?: 0,
            service = call.service,
            version = call.requiredVersion,
        )
        val details = retryDetails(world, tick, call)
        issueSend(tick, call, send, target, replaced, details)
    }

    private fun newSend(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        place: SendPlace,
        permit: SendPermit,
        life: ServerLife? = null,
    ): Send {
        val id = SendId(++world.process.nextSend)
        val send = Send(id, call.id, place, tick.nowMs, call.route.priority, permit, life)
        world.sends[send.id] = send
        return send
    }

    private fun issueSend(
        tick: GatewayTick,
        call: Call,
        send: Send,
        target: SendTarget,
        replaced: ReplacedSend?,
        extraDetails: Map<String, Any?>,
    ) {
        if (replaced == null) call.currentSend = send.id else call.replacementSend = send.id
        val remainingMs = call.remainingMs(tick.nowMs)
        tick.emit(
            StartSend(
                send = send.id,
                call = call.id,
                target = target,
                remainingMs = remainingMs,
                priority = call.route.priority,
                isStream = call.route.kind == RouteKind.STREAMING,
                connectTimeoutMs = minOf(connectTimeoutMs(target), remainingMs),
                replaces = replaced,
            ),
        )
        val details = mapOf(
            "request" to call.spec.requestId,
            "send" to send.id,
            "to" to send.place,
            "route" to call.route.id,
            "expectedMs" to send.expectedFirstEventMs.toLong(),
            "remainingMs" to remainingMs,
            "arrivals" to call.arrivals,
            "promptTokens" to call.spec.prompt?.promptTokens,
            "sharedPart" to call.spec.prompt?.sharedParts?.lastOrNull()?.id,
        )
        tick.journal.log(LogEvent.CALL_SENT, details + extraDetails)
    }

    private fun connectTimeoutMs(target: SendTarget) = when (target) {
        is SendTarget.Server -> CONNECT_TIMEOUT_MS
        is SendTarget.Peer -> PEER_CONNECT_TIMEOUT_MS
    }

    private fun retryAfterMs(waitMs: Double) =
        (waitMs / 2).toLong().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    private companion object {
        /**
         * Smaller parts are processed again in a few milliseconds; announcing them would crowd out
         * larger ones.
         */
        const val MIN_GOSSIPED_TOKENS = 256
        const val MIN_RETRY_AFTER_MS = 300L
        const val MAX_RETRY_AFTER_MS = 1_500L

        /** A health check is answered within a few milliseconds, or soon after a lost packet. */
        const val FRESH_DOUBT_MS = 100L

        /** Limits the wait of a call that tries several servers whose checks get no answer. */
        const val MAX_PROOF_WAIT_MS = 400L
    }
}
