/*
 * Starts sends for calls and ends calls that cannot be served. Every way to a second send goes through here, so that the
 * rules on repeats stand in one place.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/** A call with less time than this is not sent any more; a plain call takes longer. */
private const val LEAST_SEND_MS = 20L

/** A server of the same region answers an open within a millisecond or two; the opening packet may be lost once. */
private const val CONNECT_TIMEOUT_MS = 350L

/** Opening a connection to another region takes one round trip between regions. */
private const val PEER_CONNECT_TIMEOUT_MS = 700L

/** A send counts as slow after this many times the time that was expected; estimates are often off by less. */
internal const val SLOW_FACTOR = 4.0

/** Places calls. */
class CallPlacer(private val placement: PlacementPolicy) {
    /** Sends [call] to the best place, or ends it. */
    fun place(world: GatewayWorld, tick: GatewayTick, call: Call) {
        val remainingMs = call.remainingMs(tick.nowMs)
        if (remainingMs < LEAST_SEND_MS) return fail(world, tick, call, CallRefusal.TIMED_OUT)
        if (call.runs >= call.mostRuns) {
            return fail(world, tick, call, CallRefusal.OUTCOME_UNKNOWN)
        }
        when (val choice = placement.choose(world, call, tick.nowMs, tick.random)) {
            is Choice.Nowhere -> when {
                call.isStreamStarted && !call.isSecondRound -> placeAgain(world, tick, call)
                else -> fail(world, tick, call, choice.reason, choice.retryAfterMs)
            }
            is Choice.Here -> when {
                // An estimate spares a caller the wait; one that has events already is better off with a late end.
                choice.waitMs > remainingMs && !call.isStreamStarted ->
                    fail(world, tick, call, CallRefusal.OVERLOADED, retryAfterMs(choice.waitMs))
                isPaid(world, tick, call) -> sendHere(world, tick, call, choice, null)
                else -> fail(world, tick, call, CallRefusal.NO_BUDGET, RETRY_AFTER_MS)
            }
            is Choice.There -> when {
                isPaid(world, tick, call) -> sendThere(world, tick, call, choice, null)
                else -> fail(world, tick, call, CallRefusal.NO_BUDGET, RETRY_AFTER_MS)
            }
        }
    }

    /** Tries places where a started stream failed before, since its connection may have been all that broke. */
    private fun placeAgain(world: GatewayWorld, tick: GatewayTick, call: Call) {
        call.isSecondRound = true
        call.avoided.clear()
        call.avoidedPeers.clear()
        place(world, tick, call)
    }

    /**
     * Sends [call] to another place than [server], whose send [replaced] gives no sign of life. That send goes on until a
     * connection to the other place is open, and for good when there is no other place, no budget for it, or no time: its
     * answer may still come. While the server itself is alive, the other place must be expected to answer well within the
     * time left.
     */
    fun move(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        server: Backend,
        replaced: ReplacedSend,
        isServerAlive: Boolean,
    ) {
        val remainingMs = call.remainingMs(tick.nowMs)
        if (remainingMs < LEAST_SEND_MS || call.runs + 1 >= call.mostRuns) return
        call.avoided += server.id
        val choice = placement.choose(world, call, tick.nowMs, tick.random)
        call.avoided -= server.id
        val waitMs = when (choice) {
            is Choice.Nowhere -> return
            is Choice.Here -> choice.waitMs
            is Choice.There -> choice.waitMs
        }
        if (isServerAlive && waitMs * SLOW_FACTOR > remainingMs) return
        if (!isPaid(world, tick, call, call.arrivals + 1)) return
        when (choice) {
            is Choice.Here -> sendHere(world, tick, call, choice, replaced)
            is Choice.There -> sendThere(world, tick, call, choice, replaced)
            is Choice.Nowhere -> Unit
        }
    }

    /**
     * Ends [call] with the best answer there is; [reason] when no server gave one. A started stream is broken off, since a
     * whole answer cannot follow its events.
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
        val told = when {
            call.isStreamStarted -> CallRefusal.STREAM_BROKEN
            call.mayHaveRun && reason.runState == RunState.NOT_RUN -> CallRefusal.OUTCOME_UNKNOWN
            else -> reason
        }
        tick.journal.count(Counter.REFUSALS, told.name.lowercase())
        tick.journal.log(LogEvent.CALL_REFUSED, detailsOf(world, tick, call, reason, told))
        tick.emit(RefuseCall(call.id, told, retryAfterMs))
    }

    private fun detailsOf(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        reason: CallRefusal,
        told: CallRefusal,
    ): Map<String, Any?> {
        val servers = world.backends.filter { it.record.service == call.service }
        return mapOf(
            "request" to call.spec.requestId,
            "route" to call.route.id,
            "reason" to reason,
            "told" to told,
            "ageMs" to tick.nowMs - call.arrivedMs,
            "remainingMs" to call.remainingMs(tick.nowMs),
            "hasStarted" to call.isStreamStarted,
            "arrivals" to call.arrivals,
            "runs" to call.runs,
            "servers" to servers.joinToString(" ") { describe(world, it, tick.nowMs) },
            "revision" to world.process.view?.revision,
        )
    }

    private fun describe(world: GatewayWorld, backend: Backend, nowMs: Long): String {
        val reportAgeMs = if (backend.reported == null) -1 else nowMs - backend.reportedMs
        val isUsable = isUsable(world, backend, nowMs)
        return "${backend.id}:${backend.load}/${backend.record.slots},report=${reportAgeMs}ms," +
            "usable=$isUsable"
    }

    /** Whether an arrival after [arrivals] others is within the retry budget. The first one is always free. */
    private fun isPaid(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        arrivals: Int = call.arrivals,
    ): Boolean {
        if (arrivals == 0) return true
        val vms = maxOf(world.process.knownVms + 1, world.seeds.size)
        val isPaid = world.service(call.service).budget.take(tick.nowMs, world.bounds, vms)
        tick.journal.count(Counter.RETRIES, if (isPaid) "sent" else "no-budget")
        return isPaid
    }

    private fun sendHere(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Choice.Here,
        replaced: ReplacedSend?,
    ) {
        val backend = choice.backend
        val service = world.catalog?.service(call.service)
        val send = newSend(world, tick, call, SendPlace.AtServer(backend.id))
        send.expectedFirstEventMs = choice.waitMs
        val known = knownOf(choice, call.spec.prompt, call.route.priority)
        if (tick.nowMs < backend.coldUntilMs) backend.coldSends.addLast(tick.nowMs)
        backend.inFlight++
        call.spec.prompt?.let { prompt -> chargePrompt(world, choice, send, prompt, service) }
        val region = world.liveRegionPeers().size + 1
        val target = SendTarget.Server(
            id = backend.id,
            address = backend.record.address,
            maxConnections = (service?.maxConnections ?: 1) / region,
            needsFreshConnection = !call.route.isRepeatable,
            kvCopySource = choice.source?.from?.record?.address,
        )
        give(tick, call, send, target, CONNECT_TIMEOUT_MS, replaced, known)
    }

    /** What this process knows of the server when it sends [prompt] there. */
    private fun knownOf(choice: Choice.Here, prompt: Prompt?, priority: Int): Map<String, Any?> {
        val backend = choice.backend
        return mapOf(
            "load" to backend.load,
            "uncachedTokens" to CallCosts.uncachedTokens(prompt, backend),
            "copiedTokens" to choice.source?.tokens,
            "aheadTokens" to backend.tokensAhead(priority),
            "recentTokens" to backend.recentPromptTokens.toLong() + backend.peerRecentPromptTokens,
        )
    }

    private fun chargePrompt(
        world: GatewayWorld,
        choice: Choice.Here,
        send: Send,
        prompt: Prompt,
        service: ServiceSpec?,
    ) {
        val backend = choice.backend
        val copied = choice.source?.tokens ?: 0
        val uncached = CallCosts.uncachedTokens(prompt, backend) - copied
        send.pendingTokens = uncached.toLong()
        send.workTokens = uncached + backend.tokensAhead(send.priority)
        backend.pending.add(send.priority, send.pendingTokens)
        backend.recentPromptTokens += uncached
        val capacity = service?.engine?.kvCapacityTokens ?: return
        for (part in prompt.sharedParts) {
            backend.cache.add(part, capacity)
            if (part.tokens < LEAST_TOLD_TOKENS) continue
            world.recentlyCached += CachedPart(backend.id, part.id, part.tokens)
        }
    }

    private fun sendThere(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        choice: Choice.There,
        replaced: ReplacedSend?,
    ) {
        val peer = choice.peer
        peer.relayedSinceDatagram++
        val send = newSend(world, tick, call, SendPlace.AtPeer(peer.vm))
        send.expectedFirstEventMs = choice.waitMs
        val target = SendTarget.Peer(
            vm = peer.vm,
            address = peer.identity.relay,
            catalogVersion = world.catalog?.version ?: 0,
        )
        give(tick, call, send, target, PEER_CONNECT_TIMEOUT_MS, replaced)
    }

    private fun newSend(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        place: SendPlace,
    ): Send {
        val id = SendId(++world.process.nextSend)
        val send = Send(id, call.id, place, tick.nowMs, call.route.priority)
        world.sends[send.id] = send
        return send
    }

    private fun give(
        tick: GatewayTick,
        call: Call,
        send: Send,
        target: SendTarget,
        connectTimeoutMs: Long,
        replaced: ReplacedSend?,
        known: Map<String, Any?> = emptyMap(),
    ) {
        if (replaced == null) call.current = send.id else call.next = send.id
        val remainingMs = call.remainingMs(tick.nowMs)
        tick.emit(
            StartSend(
                send = send.id,
                call = call.id,
                target = target,
                remainingMs = remainingMs,
                priority = call.route.priority,
                isStream = call.route.kind == RouteKind.STREAMING,
                connectTimeoutMs = minOf(connectTimeoutMs, remainingMs),
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
        tick.journal.log(LogEvent.CALL_SENT, details + known)
    }

    private fun retryAfterMs(waitMs: Double) =
        (waitMs / 2).toLong().coerceIn(RETRY_AFTER_MS, MOST_RETRY_AFTER_MS)

    private companion object {
        /** Smaller parts are read again in a few milliseconds; telling them would crowd out the others. */
        const val LEAST_TOLD_TOKENS = 256
        const val RETRY_AFTER_MS = 300L
        const val MOST_RETRY_AFTER_MS = 1_500L
    }
}
