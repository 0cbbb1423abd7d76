/*
 * Follows sends: what they tell about servers, and what becomes of a call whose send ended without a usable answer.
 */
package org.pomeloladder.gateway

import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent

/** Handles what traffic threads report of sends. */
class SendSystem(private val placer: CallPlacer) : GatewaySystem {
    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is AnswerStarted -> start(world, tick, event)
                is SendNotWritten -> unsent(world, tick, event)
                is SendEnded -> end(world, tick, event)
                is SendStalled -> quiet(world, tick, event)
                is SendReplaced -> replaced(world, tick, event)
                else -> Unit
            }
        }
    }

    private fun start(world: GatewayWorld, tick: GatewayTick, event: AnswerStarted) {
        val send = world.sends[event.send] ?: return
        val call = world.calls[send.call] ?: return
        if (!call.isStreamStarted) {
            tick.journal.observe(Latency.FIRST_TOKEN, tick.nowMs - call.arrivedMs)
        }
        send.isStarted = true
        send.firstEventMs = tick.nowMs - send.startedMs
        call.isStreamStarted = true
        call.mayHaveRun = true
        val backend = backendOf(world, send) ?: return
        backend.lastHeardMs = tick.nowMs
        note(backend, event.load, tick.nowMs)
        backend.pending.add(send.priority, -send.pendingTokens)
        learnPromptRate(world.service(call.service), send, tick.nowMs)
        send.pendingTokens = 0
    }

    /** Moves the estimate of prompt time towards what was seen, as far as prompt work explains it. */
    private fun learnPromptRate(state: ServiceState, send: Send, nowMs: Long) {
        if (send.workTokens < LEAST_TOKENS_TO_LEARN) return
        val seen = (nowMs - send.startedMs).toDouble() / send.workTokens
        val bounded = seen.coerceIn(state.msPerPromptToken / 2, state.msPerPromptToken * 2)
        state.msPerPromptToken += PROMPT_RATE_WEIGHT * (bounded - state.msPerPromptToken)
        state.msPerPromptToken =
            state.msPerPromptToken.coerceIn(LEAST_MS_PER_TOKEN, MOST_MS_PER_TOKEN)
    }

    private fun unsent(world: GatewayWorld, tick: GatewayTick, event: SendNotWritten) {
        val send = world.sends.remove(event.send) ?: return
        release(world, send)
        if (event.reason == NotWrittenReason.CONNECT_FAILED) unreachable(world, tick, send)
        val call = world.calls[send.call] ?: return
        tick.journal.count(Counter.RETRIES, event.reason.name.lowercase())
        logEnd(tick, call, send, event.reason)
        if (event.reason != NotWrittenReason.NOT_NEEDED) avoid(call, send)
        if (call.next == send.id) {
            call.next = null
            return world.service(call.service).budget.giveBack()
        }
        placer.place(world, tick, call)
    }

    private fun unreachable(world: GatewayWorld, tick: GatewayTick, send: Send) {
        when (val place = send.place) {
            is SendPlace.AtPeer ->
                world.peers[place.vm]?.unreachableUntilMs = tick.nowMs + FIRST_BACK_OFF_MS
            is SendPlace.AtServer -> {
                val backend = world.backends[place.server] ?: return
                val shift = backend.connectFailures.coerceAtMost(MOST_DOUBLINGS)
                backend.connectFailures++
                backend.unreachableUntilMs = tick.nowMs + (FIRST_BACK_OFF_MS shl shift)
                tick.journal.log(
                    LogEvent.BACKEND_UNREACHABLE,
                    mapOf("server" to backend.id, "failures" to backend.connectFailures),
                )
            }
        }
    }

    private fun end(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        val send = world.sends.remove(event.send) ?: return
        release(world, send)
        val call = world.calls[send.call]
        val backend = backendOf(world, send)
        if (backend != null) {
            note(backend, event.load, tick.nowMs)
            learnFailure(backend, event.outcome)
        }
        if (call == null) return
        if (call.next != null) {
            // The other send can no longer take this one's place, so it never leaves.
            stopNext(world, tick, call)
            world.service(call.service).budget.giveBack()
        }
        call.current = null
        logEnd(tick, call, send, event.outcome, event)
        if (event.outcome is SendOutcome.Answered && call.arrivals == 0) {
            val expectedTokens = call.spec.prompt?.outputTokens ?: 0
            world.service(call.service).answers.addSample(expectedTokens, event.events)
        }
        when (val outcome = event.outcome) {
            is SendOutcome.Answered -> answered(world, tick, call, send, outcome.status)
            is SendOutcome.NotRun -> notRun(world, tick, call, send, outcome)
            is SendOutcome.Broken -> broken(world, tick, call, send)
            SendOutcome.Cancelled -> broken(world, tick, call, send)
        }
    }

    private fun answered(
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
            state.callMs = if (state.callMs == 0.0) {
                tookMs.toDouble()
            } else {
                state.callMs + CALL_WEIGHT * (tookMs - state.callMs)
            }
        }
        if (call.isStreamStarted && !send.isStarted && status !in SUCCESS) {
            // A resumed stream got another answer than events or their end.
            avoid(call, send)
            return placer.place(world, tick, call)
        }
        val isFailure = status >= SERVER_ERROR
        if (isFailure && call.route.isRepeatable && !call.isStreamStarted) {
            call.heldAnswer = send.id
            avoid(call, send)
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

    private fun notRun(
        world: GatewayWorld,
        tick: GatewayTick,
        call: Call,
        send: Send,
        outcome: SendOutcome.NotRun,
    ) {
        if (outcome.hasArrived) call.arrivals++
        avoid(call, send)
        tick.journal.count(Counter.RETRIES, outcome.reason.name.lowercase())
        if (outcome.reason == NotRunReason.WRONG_INSTANCE) {
            val backend = backendOf(world, send)
            if (backend != null) {
                backend.isReplaced = true
                tick.emit(CloseIdleConnections(backend.id))
            }
        }
        placer.place(world, tick, call)
    }

    private fun broken(world: GatewayWorld, tick: GatewayTick, call: Call, send: Send) {
        call.arrivals++
        call.runs++
        call.mayHaveRun = true
        avoid(call, send)
        if (!call.route.isRepeatable) {
            return placer.fail(world, tick, call, CallRefusal.OUTCOME_UNKNOWN)
        }
        tick.journal.count(Counter.RETRIES, if (call.isStreamStarted) "resume" else "broken")
        placer.place(world, tick, call)
    }

    /** Moves a call that may be repeated away from a server that has gone silent. */
    private fun quiet(world: GatewayWorld, tick: GatewayTick, event: SendStalled) {
        val send = world.sends[event.send] ?: return
        val call = world.calls[send.call] ?: return
        if (call.current != send.id || call.next != null) return
        val backend = backendOf(world, send) ?: return
        val isAlive = tick.nowMs - backend.lastHeardMs < SILENT_SERVER_MS
        val patienceMs = if (isAlive) slowPatienceMs(call, send, tick.nowMs) else SILENT_SERVER_MS
        if (event.idleMs < patienceMs) return
        if (!isAlive) {
            if (backend.lastHealthTimeoutMs <= maxOf(backend.lastHeardMs, send.startedMs)) {
                return ask(world, tick, backend)
            }
            suspect(tick, backend)
        }
        if (!call.route.isRepeatable) return
        placer.move(world, tick, call, backend, ReplacedSend(send.id, event.idleMs), isAlive)
    }

    /** Asks for the health of [backend], since one that reads long prompts is as silent as one that is gone. */
    private fun ask(world: GatewayWorld, tick: GatewayTick, backend: Backend) {
        if (tick.nowMs - backend.lastHealthCheckMs < ASK_INTERVAL_MS) return
        val service = world.catalog?.service(backend.record.service) ?: return
        backend.lastHealthCheckMs = tick.nowMs
        tick.emit(CheckHealth(backend.id, backend.record.address, service.healthPath))
    }

    private fun replaced(world: GatewayWorld, tick: GatewayTick, event: SendReplaced) {
        val send = world.sends.remove(event.send) ?: return
        release(world, send)
        val call = world.calls[send.call] ?: return
        call.current = event.by
        call.next = null
        call.arrivals++
        call.runs++
        call.mayHaveRun = true
        if (event.hasStarted) call.isStreamStarted = true
        avoid(call, send)
        tick.journal.count(Counter.RETRIES, if (call.isStreamStarted) "resume" else "broken")
        logEnd(tick, call, send, "quiet for ${event.idleMs} ms")
    }

    private fun suspect(tick: GatewayTick, backend: Backend) {
        if (tick.nowMs < backend.unreachableUntilMs) return
        backend.unreachableUntilMs = tick.nowMs + FIRST_BACK_OFF_MS
        tick.emit(CloseIdleConnections(backend.id))
        val details = mapOf("server" to backend.id, "silentMs" to tick.nowMs - backend.lastHeardMs)
        tick.journal.log(LogEvent.BACKEND_SILENT, details)
    }

    /**
     * How long a server that is alive may be silent. Another one would read the prompt of [call] from its beginning, so a
     * call with a prompt is moved only after a silence as long as the time that is left.
     */
    private fun slowPatienceMs(call: Call, send: Send, nowMs: Long): Long {
        val expectedMs = (send.expectedFirstEventMs * SLOW_FACTOR).toLong()
        val promptMs = if (call.spec.prompt == null) 0 else call.remainingMs(nowMs)
        return maxOf(call.route.objectiveMs, expectedMs, promptMs)
    }

    private fun learnFailure(backend: Backend, outcome: SendOutcome) {
        val failure = when (outcome) {
            is SendOutcome.Answered -> if (outcome.status >= SERVER_ERROR) 1.0 else 0.0
            is SendOutcome.Broken -> 1.0
            is SendOutcome.NotRun, SendOutcome.Cancelled -> return
        }
        if (failure == 0.0) backend.connectFailures = 0
        backend.failureRate += FAILURE_WEIGHT * (failure - backend.failureRate)
    }

    private fun note(backend: Backend, load: LoadReport?, nowMs: Long) {
        if (load == null) return
        backend.reported = load
        backend.reportedMs = nowMs
    }

    private fun avoid(call: Call, send: Send) {
        when (val place = send.place) {
            is SendPlace.AtServer -> call.avoided += place.server
            is SendPlace.AtPeer -> call.avoidedPeers += place.vm
        }
    }

    private fun backendOf(world: GatewayWorld, send: Send): Backend? =
        (send.place as? SendPlace.AtServer)?.let { world.backends[it.server] }

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
            "firstEventMs" to send.firstEventMs,
            "events" to ended?.events,
            "longestGapMs" to ended?.longestGapMs,
            "promptTokens" to call.spec.prompt?.promptTokens,
        )
        tick.journal.log(LogEvent.SEND_ENDED, details)
    }

    private companion object {
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        /** Below this many tokens the time to the first event says little about the prompt. */
        const val LEAST_TOKENS_TO_LEARN = 500L
        const val PROMPT_RATE_WEIGHT = 0.05
        const val LEAST_MS_PER_TOKEN = 0.002
        const val MOST_MS_PER_TOKEN = 0.5
        const val CALL_WEIGHT = 0.05
        const val FAILURE_WEIGHT = 0.15

        /** First back-off after a failed connection; doubled up to four times. */
        const val FIRST_BACK_OFF_MS = 500L
        const val MOST_DOUBLINGS = 3

        /** A server of which this process heard nothing for this long is asked whether it is there. */
        const val SILENT_SERVER_MS = 1_000L

        /** Longer than a health check may take. */
        const val ASK_INTERVAL_MS = 500L
    }
}
