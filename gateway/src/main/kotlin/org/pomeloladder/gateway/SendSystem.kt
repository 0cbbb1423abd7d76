/*
 * Handles the progress of sends: updates what is known about their servers, and retries or ends a
 * call whose send ended without a usable answer.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** Handles the events that traffic threads report about sends. */
class SendSystem(private val placer: CallPlacer) : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is AnswerStarted -> onStarted(world, tick, event)
                is SendNotWritten -> onNotWritten(world, tick, event)
                is SendEnded -> onEnded(world, tick, event)
                is SendStalled -> onStalled(world, tick, event)
                is SendReplaced -> onReplaced(world, tick, event)
                else -> Unit
            }
        }
    }

    private fun onStarted(world: GatewayWorld, tick: GatewayTick, event: AnswerStarted) {
        val send = world.sends[event.send] ?: return
        val call = world.calls[send.call] ?: return
        if (!call.isStreamStarted) {
            tick.journal.observe(Latency.FIRST_TOKEN, tick.nowMs - call.arrivedMs)
        }
        recordOrigin(world, tick, call, send, event)
        send.isStarted = true
        send.firstEventMs = tick.nowMs - send.startedMs
        call.isStreamStarted = true
        call.mayHaveRun = true
        val backend = world.serverOf(send) ?: return
        backend.life.lastHeardMs = tick.nowMs
        recordReport(backend, event.load, tick.nowMs)
        recordLimit(tick, backend, send, event.limitPerS, isComplete = true)
        backend.pending.add(send.priority, -send.pendingTokens)
        updatePromptRate(world.service(call.service), send, tick.nowMs)
        send.pendingTokens = 0
    }

    /** Binds the stream of [call] to the version of the server that has sent its first event. */
    private fun recordOrigin(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        send: Send,
        event: AnswerStarted,
    ) {
        if (!call.route.isResumableStream) return
        if (call.binding == StreamBinding.Free) {
            val version = event.peerVersion ?: versionOf(world, send, tick.nowMs)
            call.binding = StreamBinding.of(version)
            if (version == null && send.life != null) world.streams.unprovenSends += send
        }
        val request = call.spec.resumedRequest ?: call.spec.requestId
        val origin = StreamOrigin(request, call.service, call.requiredVersion)
        if (send.place is SendPlace.AtServer) {
            world.streams.addOwn(origin, tick.nowMs)
        } else {
            // The peer that sent the call to the server tells the others.
            world.streams.put(origin, tick.nowMs).isTold = true
        }
    }

    /**
     * Updates the estimated time per prompt token. A sample is limited to between half and twice
     * the estimate, since other work than prompts may have delayed the first event.
     */
    private fun updatePromptRate(state: ServiceState, send: Send, nowMs: Long) {
        if (send.tokensBeforeFirstEvent < MIN_SAMPLE_TOKENS) return
        val observed = (nowMs - send.startedMs).toDouble() / send.tokensBeforeFirstEvent
        val bounded = observed.coerceIn(state.msPerPromptToken / 2, state.msPerPromptToken * 2)
        state.msPerPromptToken += PROMPT_RATE_WEIGHT * (bounded - state.msPerPromptToken)
        state.msPerPromptToken =
            state.msPerPromptToken.coerceIn(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
    }

    private fun onNotWritten(world: GatewayWorld, tick: GatewayTick, event: SendNotWritten) {
        val send = world.sends.remove(event.send) ?: return
        releaseServer(world, send)
        if (event.reason == NotWrittenReason.CONNECT_FAILED) backOffFromPeer(world, tick, send)
        val call = world.calls[send.call] ?: return
        tick.journal.count(Counter.RETRIES, event.reason.name.lowercase())
        logEnd(tick, call, send, event.reason)
        if (event.reason != NotWrittenReason.NOT_NEEDED) markAvoided(call, send)
        world.service(call.service).retryBudget.refund(send.permit)
        world.serverOf(send)?.let { backend ->
            backend.life.limit.refund()
            backend.recentSends.remove(send.id)
        }
        if (call.replacementSend == send.id) {
            call.replacementSend = null
            return
        }
        placer.place(world, tick, call)
    }

    private fun backOffFromPeer(world: GatewayWorld, tick: GatewayTick, send: Send) {
        val place = send.place as? SendPlace.AtPeer ?: return
        world.peers[place.vm]?.unreachableUntilMs = tick.nowMs + PEER_BACK_OFF_MS
    }

    private fun onEnded(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        val send = world.sends.remove(event.send) ?: return
        releaseServer(world, send)
        val call = world.calls[send.call]
        val backend = world.serverOf(send)
        if (backend != null) {
            recordReport(backend, event.load, tick.nowMs)
            updateFailureRate(backend, event.outcome)
            // The head of a stream was recorded when it started, and may be old by now.
            if (!send.isStarted && isOwnAnswer(event.outcome)) {
                val isComplete = event.outcome is SendOutcome.Answered
                recordLimit(tick, backend, send, event.limitPerS, isComplete)
            }
        }
        if (call == null) return
        call.replacementSend?.let { replacement ->
            // It can no longer take over from this send, so nothing of it is sent.
            val permit = world.sends[replacement]?.permit
            stopReplacement(world, tick, call)
            permit?.let { world.service(call.service).retryBudget.refund(it) }
        }
        call.currentSend = null
        logEnd(tick, call, send, event.outcome, event)
        if (event.outcome is SendOutcome.Answered && call.arrivals == 0) {
            val expectedTokens = call.spec.prompt?.outputTokens ?: 0
            world.service(call.service).answerLengths.addSample(expectedTokens, event.events)
        }
        when (val outcome = event.outcome) {
            is SendOutcome.Answered -> onAnswered(world, tick, call, send, outcome.status)
            is SendOutcome.NotRun -> onNotRun(world, tick, call, send, outcome)
            is SendOutcome.Broken, SendOutcome.Cancelled -> onBroken(world, tick, call, send, event)
        }
    }

    private fun onAnswered(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        send: Send,
        status: Int,
    ) {
        call.arrivals++
        call.runs++
        call.mayHaveRun = true
        val state = world.service(call.service)
        val tookMs = tick.nowMs - send.startedMs
        if (send.place is SendPlace.AtServer) {
            state.meanCallMs = if (state.meanCallMs == 0.0) {
                tookMs.toDouble()
            } else {
                state.meanCallMs + CALL_TIME_WEIGHT * (tookMs - state.meanCallMs)
            }
        }
        if (call.isStreamStarted && !send.isStarted && status !in SUCCESS) {
            // The attempt to resume a stream was answered with something other than its events or
            // its end.
            markAvoided(call, send)
            return placer.place(world, tick, call)
        }
        val isFailure = status >= SERVER_ERROR
        if (isFailure && call.route.isRepeatable && !call.isStreamStarted) {
            call.heldAnswer = send.id
            markAvoided(call, send)
            tick.journal.count(Counter.RETRIES, "server-error")
            return placer.place(world, tick, call)
        }
        world.calls.remove(call.id)
        tick.journal.observe(Latency.REQUEST, tick.nowMs - call.arrivedMs)
        tick.journal.count(Counter.REQUESTS, if (isFailure) "server-error" else "answered")
        if (call.isStreamStarted) {
            tick.emit(EndStream(call.id))
        } else {
            tick.emit(DeliverAnswer(call.id, send.id))
        }
    }

    private fun onNotRun(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        send: Send,
        outcome: SendOutcome.NotRun,
    ) {
        call.arrivals += outcome.arrivals
        if (outcome.arrivals == 0) world.service(call.service).retryBudget.refund(send.permit)
        markAvoided(call, send)
        tick.journal.count(Counter.RETRIES, outcome.reason.name.lowercase())
        if (outcome.reason == NotRunReason.WRONG_INSTANCE) {
            val backend = world.serverOf(send)
            if (backend != null) {
                backend.life.isReplaced = true
                tick.emit(CloseIdleConnections(backend.id))
            }
        }
        placer.place(world, tick, call)
    }

    private fun onBroken(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        send: Send,
        event: SendEnded,
    ) {
        call.arrivals++
        call.runs++
        call.mayHaveRun = true
        markAvoided(call, send)
        if (!call.route.isRepeatable) {
            return placer.fail(world, tick, call, CallRefusal.OUTCOME_UNKNOWN)
        }
        tick.journal.count(Counter.RETRIES, if (call.isStreamStarted) "resume" else "broken")
        when {
            !mayCrashServers(world, call, send, event) -> placer.place(world, tick, call)
            // The process that received the call from its caller holds it.
            call.spec.origin is CallOrigin.Peer ->
                placer.fail(world, tick, call, CallRefusal.SERVER_CRASHED)
            else -> {
                call.heldUntilMs = tick.nowMs + HOLD_MS
                world.heldCalls += call.id
                tick.wakeAt(tick.nowMs + HOLD_MS)
            }
        }
    }

    /**
     * Whether [call] may be the reason for the crash of the server that it was lost with, so that
     * the next server may crash as well.
     */
    private fun mayCrashServers(
        world: GatewayWorld,
        call: Call,
        send: Send,
        event: SendEnded,
    ): Boolean {
        // A peer cannot report the crash of a server whose answer it has begun to pass on.
        val mayHaveCrashedAtPeer = send.place is SendPlace.AtPeer &&
            (event.outcome == CRASHED_AT_PEER || wasLostAtBeginning(event))
        return mayHaveCrashedAtPeer && !isProven(world, call) || isSuspect(world, call)
    }

    /** Starts a replacement for a repeatable call whose server has been silent for too long. */
    private fun onStalled(world: GatewayWorld, tick: GatewayTick, event: SendStalled) {
        val send = world.sends[event.send] ?: return
        val call = world.calls[send.call] ?: return
        if (call.currentSend != send.id || call.replacementSend != null) return
        val backend = world.serverOf(send) ?: return
        val isAlive = tick.nowMs - backend.life.lastHeardMs < SILENCE_TIMEOUT_MS
        val allowedMs = if (isAlive) maxSilenceMs(call, send, tick.nowMs) else SILENCE_TIMEOUT_MS
        if (event.idleMs < allowedMs) return
        if (!isAlive) {
            if (backend.life.lastHealthTimeoutMs <=
                maxOf(backend.life.lastHeardMs, send.startedMs)
            ) {
                return requestHealthCheck(world, tick, backend)
            }
            losePath(world, tick, backend, LogEvent.BACKEND_SILENT)
        }
        if (!call.route.isRepeatable) return
        placer.startReplacement(
            world,
            tick,
            call,
            backend,
            ReplacedSend(send.id, event.idleMs, call.isStreamStarted),
            isAlive,
        )
    }

    /**
     * Requests a health check of [backend]: a server that processes long prompts is as silent as
     * one that is gone.
     */
    private fun requestHealthCheck(world: GatewayWorld, tick: GatewayTick, backend: Backend) {
        if (tick.nowMs - backend.life.lastHealthCheckMs < HEALTH_CHECK_INTERVAL_MS) return
        val service = world.catalog?.service(backend.record.service) ?: return
        backend.life.lastHealthCheckMs = tick.nowMs
        tick.emit(CheckHealth(backend.id, backend.record.address, service.healthPath, tick.nowMs))
    }

    private fun onReplaced(world: GatewayWorld, tick: GatewayTick, event: SendReplaced) {
        val send = world.sends.remove(event.send) ?: return
        releaseServer(world, send)
        val call = world.calls[send.call] ?: return
        call.currentSend = event.by
        call.replacementSend = null
        call.arrivals++
        call.runs++
        call.mayHaveRun = true
        if (event.hasStarted) call.isStreamStarted = true
        markAvoided(call, send)
        tick.journal.count(Counter.RETRIES, if (call.isStreamStarted) "resume" else "broken")
        logEnd(tick, call, send, "quiet for ${event.idleMs} ms")
    }

    /**
     * How long a server that is alive may be silent. Another server would process the prompt of
     * [call] from its start, so a call with a prompt is moved only after a silence as long as its
     * remaining time.
     */
    private fun maxSilenceMs(call: Call, send: Send, nowMs: Long): Long {
        val expectedMs = (send.expectedFirstEventMs * SLOW_FACTOR).toLong()
        val promptMs = if (call.spec.prompt == null) 0 else call.remainingMs(nowMs)
        return maxOf(call.route.objectiveMs, expectedMs, promptMs)
    }

    private fun updateFailureRate(backend: Backend, outcome: SendOutcome) {
        val failure = when (outcome) {
            is SendOutcome.Answered -> if (outcome.status >= SERVER_ERROR) 1.0 else 0.0
            is SendOutcome.Broken -> 1.0
            is SendOutcome.NotRun, SendOutcome.Cancelled -> return
        }
        backend.life.failureRate += FAILURE_WEIGHT * (failure - backend.life.failureRate)
    }

    private fun recordReport(backend: Backend, load: LoadReport?, nowMs: Long) {
        if (load == null) return
        backend.life.lastReport = load
        backend.life.lastReportMs = nowMs
    }

    /** Whether [outcome] is an answer of the server that the send was meant for. */
    private fun isOwnAnswer(outcome: SendOutcome) = outcome is SendOutcome.Answered ||
        outcome is SendOutcome.NotRun &&
        outcome.reason != NotRunReason.WRONG_INSTANCE

    /**
     * Records the limit that an answer of [backend] named. One without a limit ends it only when
     * the answer [isComplete] and its send began after the limit was last named.
     */
    private fun recordLimit(
        tick: GatewayTick,
        backend: Backend,
        send: Send,
        limitPerS: Double?,
        isComplete: Boolean,
    ) {
        val isAfterLimit = send.startedMs > backend.life.limit.lastLimitedMs
        if (limitPerS == null && !(isComplete && isAfterLimit)) return
        recordLimit(tick, backend, limitPerS, tick.nowMs)
    }

    private fun markAvoided(call: Call, send: Send) {
        when (val place = send.place) {
            is SendPlace.AtServer -> call.avoidedServers += place.server
            is SendPlace.AtPeer -> call.avoidedPeers += place.vm
        }
    }

    private fun logEnd(
        tick: GatewayTick,
        call: Call,
        send: Send,
        outcome: Any,
        ended: SendEnded? = null,
    ) {
        val details = mapOf(
            "request" to call.spec.requestId,
            "send" to send.id,
            "to" to send.place,
            "outcome" to outcome,
            "tookMs" to tick.nowMs - send.startedMs,
            "hasStarted" to call.isStreamStarted,
            "remainingMs" to call.remainingMs(tick.nowMs),
            "arrivals" to call.arrivals,
            "headMs" to ended?.headMs,
            "hasBegun" to ended?.hasBegun,
            "contentAgeMs" to ended?.contentAgeMs,
            "firstEventMs" to send.firstEventMs,
            "events" to ended?.events,
            "longestGapMs" to ended?.longestGapMs,
            "promptTokens" to call.spec.prompt?.promptTokens,
        )
        tick.journal.log(LogEvent.SEND_ENDED, details)
    }

    private companion object {
        val CRASHED_AT_PEER = SendOutcome.Broken(BreakReason.CRASHED_AT_PEER)
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        /** With fewer tokens, the time to the first event says little about prompt processing. */
        const val MIN_SAMPLE_TOKENS = 500L
        const val PROMPT_RATE_WEIGHT = 0.05
        const val MIN_MS_PER_TOKEN = 0.002
        const val MAX_MS_PER_TOKEN = 0.5
        const val CALL_TIME_WEIGHT = 0.05
        const val FAILURE_WEIGHT = 0.15

        /** Time for which a peer gets no calls after a failed connection. */
        const val PEER_BACK_OFF_MS = 500L

        /** A server that this process has not heard from for this long gets a health check. */
        const val SILENCE_TIMEOUT_MS = 1_000L

        /**
         * How long a call that may crash servers waits for evidence of other VMs. It arrives within
         * two intervals between datagrams to other regions.
         */
        const val HOLD_MS = 1_000L

        /** Minimum time between health checks of one server; longer than one may take. */
        const val HEALTH_CHECK_INTERVAL_MS = 500L
    }
}
