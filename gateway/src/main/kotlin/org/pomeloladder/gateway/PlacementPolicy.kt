/*
 * Chooses where a call goes: the backend server of this region that is expected to serve it first, or another region
 * when that serves its caller better.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.rendezvousOrder

/** Where a call should go. */
sealed interface Choice {
    /**
     * A server of this region; [waitMs] is the expected time to its first event. [costMs] adds what the time of the rest
     * of the answer and the delay of other calls weigh against it.
     */
    data class Here(val backend: Backend, val waitMs: Double, val costMs: Double) : Choice

    /** A peer in another region. */
    data class There(val peer: Peer, val waitMs: Double, val costMs: Double) : Choice

    /** No place at the moment. [retryAfterMs] says when one is expected. */
    data class Nowhere(val reason: CallRefusal, val retryAfterMs: Long) : Choice
}

/** Chooses places for calls. */
interface PlacementPolicy {
    fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice

    /** The expected wait and the places of [service] in this region, for peers of other regions. */
    fun summary(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad
}

/** The policy of production. */
class RealPlacementPolicy : PlacementPolicy {
    override fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice {
        val here = chooseHere(world, call, nowMs, random, ::isUsable)
        if (call.spec.origin is CallOrigin.Peer) return here ?: orElse(world, call, nowMs, random)
        // No other region can be better by the margin.
        if (here != null && here.costMs <= REGION_MARGIN_MS) return here
        val there = chooseThere(world, call, nowMs, random)
        return when {
            here == null && there == null -> orElse(world, call, nowMs, random)
            here == null -> checkNotNull(there)
            there == null || here.costMs <= there.costMs + REGION_MARGIN_MS -> here
            else -> there
        }
    }

    override fun summary(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad {
        val usable = world.backends.filter {
            it.record.service == service && isUsable(world, it, nowMs)
        }
        val state = world.service(service)
        val typical = usable
            .map { expectedMs(it, state, TYPICAL_PROMPT_TOKENS, isEngine(world, it)) to it }
            .sortedBy { it.first }
            .getOrNull(usable.size / TYPICAL_WAIT_PART)
        return ServiceLoad(
            service = service,
            places = usable.sumOf { it.record.slots },
            inUse = usable.sumOf { it.load },
            waitMs = typical?.first?.toLong() ?: NO_WAIT_KNOWN_MS,
            eventGapMs = typical?.second?.pace?.gapMs(nowMs)?.toFloat() ?: 0f,
        )
    }

    /**
     * What the time for the events after the first one weighs. It counts little while the answer can be finished, and
     * in full where it comes close to the caller's time limit, since most of a long answer is lost then.
     */
    private fun answerCostMs(
        call: Call,
        state: ServiceState,
        eventGapMs: Double,
        nowMs: Long,
    ): Double {
        val tokens = call.spec.prompt?.outputTokens ?: return 0.0
        val answerMs = state.answers.expectedEvents(tokens) * eventGapMs
        val beyondMs = answerMs - call.remainingMs(nowMs) * SAFE_SHARE
        return answerMs * ANSWER_WEIGHT + beyondMs.coerceAtLeast(0.0)
    }

    /** A server that is leaving, when no other can be had. */
    private fun orElse(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice =
        chooseHere(world, call, nowMs, random, ::isLastResort) ?: nowhere(world, call, nowMs)

    private fun chooseHere(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
        isCandidate: (GatewayWorld, Backend, Long) -> Boolean,
    ): Choice.Here? {
        if (!call.route.allows(world.self.region)) return null
        val state = world.service(call.service)
        val usable = world.backends.filter {
            it.record.service == call.service &&
                it.id !in call.avoided &&
                isCandidate(world, it, nowMs) &&
                hasColdRoom(world, it, nowMs)
        }
        if (usable.isEmpty()) return null
        val shared = call.spec.prompt?.sharedParts.orEmpty()
        val order = shared.lastOrNull()?.let { part ->
            usable.rendezvousOrder(part.id.value) { it.id.value }
        }
        val preferred = order?.first()
        var best: Backend? = null
        var bestCost = Double.MAX_VALUE
        var bestWait = 0.0
        var bestBeside = 0.0
        for (backend in candidates(usable, order, random)) {
            val tokens = uncachedTokens(call.spec.prompt, backend)
            val wait = expectedMs(backend, state, tokens, call.spec.prompt != null)
            var cost = wait + random.nextDouble() * TIE_SPREAD_MS
            cost += backend.failureShare * failureCostMs(call)
            val answer = answerCostMs(call, state, backend.pace.gapMs(nowMs), nowMs)
            val interference =
                call.spec.prompt?.let { interferenceMs(backend, it, tokens, state) } ?: 0.0
            cost += answer + interference
            if (backend.missingSinceMs != null) cost += MISSING_COST_MS
            if (nowMs < backend.coldUntilMs) cost += COLD_COST_MS
            cost -= cachedShare(shared, backend, preferred) * state.msPerPromptToken * CACHE_WEIGHT
            if (cost < bestCost) {
                best = backend
                bestCost = cost
                bestWait = wait
                bestBeside = answer + interference
            }
        }
        return Choice.Here(checkNotNull(best), bestWait, bestWait + bestBeside)
    }

    /**
     * The servers that are compared: all of a few, otherwise some at random beside the first in rendezvous order. What
     * other processes placed is known late, so all of them would take the same server that was best a moment ago.
     */
    private fun candidates(
        usable: List<Backend>,
        order: List<Backend>?,
        random: Random,
    ): Collection<Backend> {
        if (usable.size <= MOST_COMPARED) return usable
        val chosen = LinkedHashSet<Backend>()
        order?.let { chosen += it.subList(0, PREFERRED_COMPARED) }
        while (chosen.size < MOST_COMPARED) chosen += usable[random.nextInt(usable.size)]
        return chosen
    }

    /**
     * What this call and the others of [backend] do to each other: a long answer is held up by the prompts that arrive
     * while it is made, and a prompt holds up every running answer.
     */
    private fun interferenceMs(
        backend: Backend,
        prompt: Prompt,
        uncachedTokens: Int,
        state: ServiceState,
    ): Double {
        val recentTokens = backend.recentPromptTokens + backend.peerRecentTokens
        val promptMsPerS = recentTokens * state.msPerPromptToken / RECENT_PROMPTS_S
        val promptShare = (promptMsPerS / MS_PER_S).coerceAtMost(1.0)
        val heldUpMs = promptShare * prompt.outputTokens * MS_PER_OUTPUT_TOKEN
        val holdsUpMs = uncachedTokens * state.msPerPromptToken * backend.load
        return INTERFERENCE_WEIGHT * (heldUpMs + holdsUpMs)
    }

    /** What the prompt of [call] does to the answers of an engine with the mean load of another region. */
    private fun interferenceThereMs(world: GatewayWorld, call: Call, load: ServiceLoad): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val slots = world.catalog?.service(call.service)?.engine?.slots ?: return 0.0
        val running = slots.toDouble() * load.inUse / load.places
        return INTERFERENCE_WEIGHT * tokens * world.service(call.service).msPerPromptToken * running
    }

    /** Shared tokens that [backend] has, or would get if every process chose the same server for them. */
    private fun cachedShare(
        shared: List<PromptPart>,
        backend: Backend,
        preferred: Backend?,
    ): Double {
        val cached = backend.cache.cachedTokens(shared).toDouble()
        if (backend !== preferred) return cached
        return maxOf(cached, shared.sumOf { it.tokens } * PREFERRED_SHARE)
    }

    private fun chooseThere(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
    ): Choice.There? {
        val byRegion = world.peers
            .filter { canRelay(world, call, it, nowMs) }
            .groupBy { it.identity.region }
        var best: Choice.There? = null
        for (peers in byRegion.values) {
            val newest = peers.maxBy { it.heardMs }
            val load = newest.services[call.service] ?: continue
            if (load.places == 0) continue
            val relayed = peers.sumOf { it.relayedSince }
            val crowding = relayed.toDouble() / load.places
            val wait = newest.roundTripMs + load.waitMs + coldPromptMs(world, call) +
                (1 + load.waitMs) * crowding + random.nextDouble() * REGION_SPREAD_MS
            val gapMs = load.eventGapMs.toDouble()
            val state = world.service(call.service)
            val cost = wait + answerCostMs(call, state, gapMs, nowMs) +
                interferenceThereMs(world, call, load)
            if (best == null || cost < best.costMs) {
                best = Choice.There(peers[random.nextInt(peers.size)], wait, cost)
            }
        }
        return best
    }

    private fun nowhere(world: GatewayWorld, call: Call, nowMs: Long): Choice.Nowhere {
        val isKnown = world.backends.any { it.record.service == call.service }
        val reason = if (isKnown) CallRefusal.OVERLOADED else CallRefusal.NO_BACKEND
        val reachableMs = world.backends
            .filter { it.record.service == call.service }
            .minOfOrNull { it.unreachableUntilMs - nowMs } ?: RETRY_AFTER_MS
        return Choice.Nowhere(reason, reachableMs.coerceIn(RETRY_AFTER_MS, MOST_RETRY_AFTER_MS))
    }

    private fun canRelay(world: GatewayWorld, call: Call, peer: Peer, nowMs: Long): Boolean {
        val region = peer.identity.region
        return region != world.self.region &&
            call.route.allows(region) &&
            peer.isLive &&
            peer.isReady &&
            !peer.isDraining &&
            peer.vm !in call.avoidedPeers &&
            nowMs >= peer.unreachableUntilMs
    }

    /** What the prompt takes beyond the typical one of the summary, since another region's caches may lack all of it. */
    private fun coldPromptMs(world: GatewayWorld, call: Call): Double {
        val tokens = call.spec.prompt?.promptTokens ?: return 0.0
        val beyond = (tokens - TYPICAL_PROMPT_TOKENS).coerceAtLeast(0)
        return beyond * world.service(call.service).msPerPromptToken
    }

    private fun isEngine(world: GatewayWorld, backend: Backend) =
        world.catalog?.service(backend.record.service)?.engine != null

    private fun uncachedTokens(prompt: Prompt?, backend: Backend): Int {
        if (prompt == null) return 0
        return prompt.promptTokens - backend.cache.cachedTokens(prompt.parts)
    }

    /** Expected time in milliseconds until [backend] gives its first event for a prompt of [tokens] uncached tokens. */
    private fun expectedMs(
        backend: Backend,
        state: ServiceState,
        tokens: Int,
        isEngine: Boolean,
    ): Double {
        val slots = backend.record.slots.coerceAtLeast(1)
        val load = maxOf(backend.load, reportedLoad(backend))
        val slowdown = backend.reported?.slowdown ?: 1.0
        val waiting = (load + 1 - slots).coerceAtLeast(0)
        val callMs = state.callMs.coerceAtLeast(LEAST_CALL_MS)
        val queueMs = waiting * callMs / slots
        if (!isEngine) {
            val crowdMs = callMs * load / slots * PLAIN_CROWDING
            return slowdown * (callMs + queueMs + crowdMs)
        }
        val ahead = backend.pendingPromptTokens + backend.peerPendingTokens
        val promptMs = (tokens + ahead) * state.msPerPromptToken
        val busy = load.toDouble() / slots
        return slowdown * (promptMs + FULL_BATCH_MS * busy * busy + queueMs)
    }

    private fun reportedLoad(backend: Backend): Int {
        val report = backend.reported ?: return 0
        return if (report.waiting > 0) report.running + report.waiting else 0
    }

    private fun failureCostMs(call: Call): Double =
        call.route.objectiveMs * if (call.route.isRepeatable) 1.0 else UNSAFE_FAILURE_WEIGHT

    companion object {
        /** Servers that a call compares. Two at random already avoid most of the crowding that one would meet. */
        private const val MOST_COMPARED = 6

        /** Servers of them that rendezvous prefers for the call's shared parts. */
        private const val PREFERRED_COMPARED = 2

        /** A call that compares a few servers meets about the wait that a quarter of them are below. */
        private const val TYPICAL_WAIT_PART = 4

        /** A delay of the whole answer weighs less than one of its first event. */
        private const val INTERFERENCE_WEIGHT = 0.08

        /** Time for which recent prompt tokens stand. */
        private const val RECENT_PROMPTS_S = 2.0
        private const val MS_PER_S = 1_000.0

        /** Order of magnitude of a batch step. */
        private const val MS_PER_OUTPUT_TOKEN = 8.0

        /** Weight of the time that an answer takes after its first event, while it ends well within its limit. */
        private const val ANSWER_WEIGHT = 0.2

        /** Part of the time left that an expected answer may take: estimates of its length are often far off. */
        private const val SAFE_SHARE = 0.5

        /** Equal servers are told apart at random, by less than the shortest prompt takes. */
        private const val TIE_SPREAD_MS = 4.0

        /** Spread over regions whose figures are alike, by less than their figures vary within one datagram interval. */
        private const val REGION_SPREAD_MS = 20.0

        /** Another region must be better by this, since its caches are cold for this region's prompts. */
        private const val REGION_MARGIN_MS = 60.0

        /** Weight of the rendezvous choice against a server that is known to have the parts. */
        private const val PREFERRED_SHARE = 0.8

        /** Reading shared parts again also holds up the other calls of a batch, beside the call itself. */
        private const val CACHE_WEIGHT = 1.5

        /** A server whose entry is missing is probably leaving. */
        private const val MISSING_COST_MS = 2_000.0

        /** A cold server is used when the others are busy for longer than it takes to start. */
        private const val COLD_COST_MS = 300.0

        /** Weight of failures for calls that cannot be repeated. */
        private const val UNSAFE_FAILURE_WEIGHT = 4.0

        /** What a full batch adds for all of its calls: steps take about three times as long as in an empty one. */
        private const val FULL_BATCH_MS = 400.0

        /** Part of a plain call's time that each busy place adds. */
        private const val PLAIN_CROWDING = 0.2

        /** Used until calls were seen to end. */
        private const val LEAST_CALL_MS = 20.0

        /** Prompt of the summary that other regions compare with. */
        private const val TYPICAL_PROMPT_TOKENS = 1_000

        /** Stands for a service that has no server here. */
        private const val NO_WAIT_KNOWN_MS = 60_000L

        private const val RETRY_AFTER_MS = 300L
        private const val MOST_RETRY_AFTER_MS = 1_000L
    }
}
