/*
 * Records what was decided about each request, so that operators can ask why it went where it went. The decisions are
 * read from the events and commands of the tick; other systems need not know about the trace.
 */
package org.pomeloladder.decisions

/** Requests that a process remembers. Older ones are forgotten first. */
const val MAX_TRACES = 4_096

/** Steps kept of one request, enough for the most retries and hedges. */
const val MAX_TRACE_STEPS = 32

/** Kinds of trace steps. */
enum class TraceKind(val code: String) {
    ARRIVED("arrived"),
    ARRIVED_FROM_PEER("arrived-from-peer"),
    DISPATCHED("dispatched"),
    FORWARDED("forwarded"),
    FIRST_TOKEN("first-token"),
    ENDED("ended"),
    COMPLETED("completed"),
    REFUSED("refused"),
    FORWARD_REFUSED("forward-refused"),
}

/** One step; [target] names the VM or backend server that it is about, if any. */
data class TraceStep(
    val atMs: Long,
    val kind: TraceKind,
    val target: String? = null,
    val detail: String = "",
)

/** What is remembered of one request at this process. */
class RequestTrace(val id: RequestId) {
    var spec: RequestSpec? = null
    val attempts = ArrayList<AttemptId>()
    val steps = ArrayList<TraceStep>()
}

/** Fills the trace tables of the world. Runs after all systems that give commands. */
class TraceSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        for (event in tick.events) note(world, tick, event)
        for (command in tick.commands) note(world, tick, command)
    }

    private fun note(world: World, tick: Tick, event: Event) {
        when (event) {
            is RequestArrived -> {
                world.trace(event.spec.id).spec = event.spec
                val detail = "service ${event.spec.service}, ${event.spec.costTokens} tokens"
                world.note(tick, event.spec.id, TraceKind.ARRIVED, detail = detail)
            }
            is ForwardArrived -> {
                world.trace(event.spec.id).spec = event.spec
                world.tie(event.attempt, event.spec.id)
                val kind = TraceKind.ARRIVED_FROM_PEER
                world.note(tick, event.spec.id, kind, event.from.value)
            }
            is AttemptFirstToken -> world.tracedAttempts[event.attempt]?.let {
                world.note(tick, it, TraceKind.FIRST_TOKEN, event.attempt.value)
            }
            is AttemptEnded -> world.tracedAttempts[event.attempt]?.let {
                val detail = describe(event.outcome)
                world.note(tick, it, TraceKind.ENDED, event.attempt.value, detail)
            }
            else -> Unit
        }
    }

    private fun note(world: World, tick: Tick, command: Command) {
        when (command) {
            is StartAttempt -> {
                world.tie(command.attempt, command.spec.id)
                val detail = describe(world, command)
                val target = command.server.id.value
                world.note(tick, command.spec.id, TraceKind.DISPATCHED, target, detail)
            }
            is StartForward -> {
                world.tie(command.attempt, command.spec.id)
                val detail = describe(world, command)
                val target = command.to.value
                world.note(tick, command.spec.id, TraceKind.FORWARDED, target, detail)
            }
            is RefuseRequest -> {
                val detail = describe(command.refusal)
                world.note(tick, command.request, TraceKind.REFUSED, detail = detail)
            }
            is CompleteRequest -> world.note(tick, command.request, TraceKind.COMPLETED)
            is RefuseForward -> world.tracedAttempts[command.attempt]?.let {
                val detail = describe(command.refusal)
                world.note(tick, it, TraceKind.FORWARD_REFUSED, command.to.value, detail)
            }
            else -> Unit
        }
    }

    private fun describe(world: World, command: StartAttempt): String {
        val server = world.backends[command.server.id]
        val load = server?.let { "load ${it.load}, window ${it.windowSize}" } ?: "no longer listed"
        val call = if (command.call == BackendCall.SERVE) "" else ", ${command.call}"
        return "own server, $load$call, from token ${command.fromToken}"
    }

    private fun describe(world: World, command: StartForward): String {
        val domain = world.entryVms[command.to]?.record?.domain
        val region = domain?.let { world.configuration.document?.regionOf(it) }
        val choice = command.chosenServer?.let { "owner of $it" } ?: "chooses the server itself"
        return "domain $domain in region $region, $choice"
    }

    private fun describe(outcome: AttemptOutcome): String = when (outcome) {
        is AttemptOutcome.Completed -> "completed, ${outcome.outputTokens} output tokens"
        is AttemptOutcome.NotSent -> "not sent: ${describe(outcome.refusal)}"
        is AttemptOutcome.Failed -> "failed: ${describe(outcome.refusal)}"
        AttemptOutcome.Cancelled -> "cancelled"
    }

    private fun describe(refusal: Refusal): String {
        val detail = if (refusal.detail.isEmpty()) "" else ": ${refusal.detail}"
        return "${refusal.reason.code} (${refusal.runState.code})$detail"
    }
}

private fun World.trace(id: RequestId): RequestTrace {
    val row = traces.getOrPut(id) { RequestTrace(id) }
    while (traces.size > MAX_TRACES) {
        val oldest = traces.remove(traces.keys.first()) ?: break
        oldest.attempts.forEach(tracedAttempts::remove)
    }
    return row
}

private fun World.tie(attempt: AttemptId, request: RequestId) {
    if (attempt in tracedAttempts) return
    val row = trace(request)
    if (row.attempts.size >= MAX_TRACE_STEPS) return
    row.attempts += attempt
    tracedAttempts[attempt] = request
}

private fun World.note(
    tick: Tick,
    id: RequestId,
    kind: TraceKind,
    target: String? = null,
    detail: String = "",
) {
    val steps = trace(id).steps
    if (steps.size < MAX_TRACE_STEPS) steps += TraceStep(tick.nowMs, kind, target, detail)
}
