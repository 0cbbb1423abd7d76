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
    /** A place that can be had; it is expected to give its first event after [waitMs]. */
    sealed interface Place : Choice {
        val waitMs: Double
        val costMs: Double
    }

    /**
     * A server of this region; [waitMs] is the expected time to its first event. [costMs] adds what the time of the rest
     * of the answer and the delay of other calls weigh against it. The server copies shared parts from [source].
     */
    data class Here(
        val backend: Backend,
        override val waitMs: Double,
        override val costMs: Double,
        val source: PartSource? = null,
    ) : Place

    /** A peer in another region. */
    data class There(val peer: Peer, override val waitMs: Double, override val costMs: Double) :
        Place

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
        val owner = chooseOwner(world, call, nowMs, random)
        if (owner != null && owner.waitMs <= call.remainingMs(nowMs)) return owner
        return chooseAny(world, call, nowMs, random)
    }

    /** The best engine, or the best region with an engine, that keeps the shared parts of a long prompt. */
    private fun chooseOwner(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
    ): Choice.Place? {
        val owners = partOwners(world, call, nowMs) ?: return null
        val here = bestOf(world, call, owners.here, owners.here, nowMs, random)
        val there = bestOwnerThere(world, call, owners, nowMs, random)
        return listOfNotNull(here, there).minByOrNull { it.costMs }
    }

    private fun bestOwnerThere(
        world: GatewayWorld,
        call: Call,
        owners: PartOwners,
        nowMs: Long,
        random: Random,
    ): Choice.There? {
        if (owners.there.isEmpty()) return null
        return world.peers
            .filter { it.identity.region in owners.there && canRelay(world, call, it, nowMs) }
            .groupBy { it.identity.region }
            .values
            .mapNotNull { ownerThere(world, call, it, random) }
            .minByOrNull { it.costMs }
    }

    private fun ownerThere(
        world: GatewayWorld,
        call: Call,
        peers: List<Peer>,
        random: Random,
    ): Choice.There? {
        val newest = peers.maxBy { it.heardMs }
        val load = newest.services[call.service] ?: return null
        val relayed = peers.sumOf { it.relayedSince }
        val wait = newest.roundTripMs + CallCosts.ownerThereMs(world, call, load, relayed)
        val cost = wait + CallCosts.interferenceThereMs(world, call, load)
        return Choice.There(peers[random.nextInt(peers.size)], wait, cost)
    }

    private fun chooseAny(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice {
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
        val urgent = world.catalog?.mostUrgentPriority(service) ?: 0
        val waits = typicalWaits(world, usable, Int.MAX_VALUE, nowMs)
        val urgentWaits = typicalWaits(world, usable, urgent, nowMs)
        val typical = wellPlaced(waits)
        return ServiceLoad(
            service = service,
            places = usable.sumOf { it.record.slots },
            inUse = usable.sumOf { it.load },
            waitMs = typical?.second?.toLong() ?: NO_WAIT_KNOWN_MS,
            eventGapMs = typical?.first?.pace?.gapMs(nowMs)?.toFloat() ?: 0f,
            meanWaitMs = meanMs(waits) ?: NO_WAIT_KNOWN_MS,
            urgentWaitMs = wellPlaced(urgentWaits)?.second?.toLong() ?: NO_WAIT_KNOWN_MS,
        )
    }

    /** The expected wait of a typical prompt of [priority] at each of [usable], the shortest first. */
    private fun typicalWaits(
        world: GatewayWorld,
        usable: List<Backend>,
        priority: Int,
        nowMs: Long,
    ): List<Pair<Backend, Double>> = usable
        .map { it to typicalWaitMs(world, it, priority, nowMs) }
        .sortedBy { it.second }

    private fun typicalWaitMs(world: GatewayWorld, backend: Backend, priority: Int, nowMs: Long) =
        CallCosts.firstEventMs(
            backend,
            world.service(backend.record.service),
            CallCosts.TYPICAL_PROMPT_TOKENS,
            priority,
            isEngine(world, backend),
            nowMs,
        )

    /** What a call meets that compares a few servers. */
    private fun wellPlaced(waits: List<Pair<Backend, Double>>) =
        waits.getOrNull(waits.size / TYPICAL_WAIT_PART)

    private fun meanMs(waits: List<Pair<Backend, Double>>): Long? =
        if (waits.isEmpty()) null else waits.sumOf { it.second / waits.size }.toLong()

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
        val usable = world.backends.filter {
            it.record.service == call.service &&
                it.id !in call.avoided &&
                isCandidate(world, it, nowMs) &&
                hasColdRoom(world, it, nowMs)
        }
        if (usable.isEmpty()) return null
        val order = call.spec.prompt?.sharedParts?.lastOrNull()?.let { part ->
            usable.rendezvousOrder(part.id.value) { it.id.value }
        }
        val compared = candidates(usable, order, random)
        return bestOf(world, call, compared, listOfNotNull(order?.first()), nowMs, random)
    }

    /** The cheapest of [compared]; every process chooses [preferred] for the shared parts of the call. */
    private fun bestOf(
        world: GatewayWorld,
        call: Call,
        compared: Collection<Backend>,
        preferred: List<Backend>,
        nowMs: Long,
        random: Random,
    ): Choice.Here? {
        val state = world.service(call.service)
        val shared = call.spec.prompt?.sharedParts.orEmpty()
        var best: Choice.Here? = null
        var bestRank = Double.MAX_VALUE
        for (backend in compared) {
            val place = placeAt(world, call, backend, nowMs)
            var rank = place.costMs + random.nextDouble() * TIE_SPREAD_MS
            rank += backend.failureShare * CallCosts.failureMs(call)
            if (backend.missingSinceMs != null) rank += MISSING_COST_MS
            if (nowMs < backend.coldUntilMs) rank += COLD_COST_MS
            rank -= CallCosts.cachedMs(shared, backend, backend in preferred, state)
            if (rank < bestRank) {
                best = place
                bestRank = rank
            }
        }
        return best
    }

    private fun placeAt(
        world: GatewayWorld,
        call: Call,
        backend: Backend,
        nowMs: Long,
    ): Choice.Here {
        val state = world.service(call.service)
        val prompt = call.spec.prompt
        val source = partSource(world, call, backend, nowMs)
        val tokens = CallCosts.uncachedTokens(prompt, backend) - (source?.tokens ?: 0)
        val priority = call.route.priority
        val wait = (source?.copyMs ?: 0.0) +
            CallCosts.firstEventMs(backend, state, tokens, priority, prompt != null, nowMs)
        val answer = CallCosts.answerMs(call, state, backend.pace.gapMs(nowMs), nowMs)
        val interference =
            prompt?.let { CallCosts.interferenceMs(backend, it, tokens, state) } ?: 0.0
        return Choice.Here(backend, wait, wait + answer + interference, source)
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
            val waitMs = waitThereMs(world, call, load)
            val wait = newest.roundTripMs + waitMs + CallCosts.coldPromptMs(world, call) +
                (1 + waitMs) * crowding + random.nextDouble() * REGION_SPREAD_MS
            val gapMs = load.eventGapMs.toDouble()
            val state = world.service(call.service)
            val cost = wait + CallCosts.answerMs(call, state, gapMs, nowMs) +
                CallCosts.interferenceThereMs(world, call, load)
            if (best == null || cost < best.costMs) {
                best = Choice.There(peers[random.nextInt(peers.size)], wait, cost)
            }
        }
        return best
    }

    private fun waitThereMs(world: GatewayWorld, call: Call, load: ServiceLoad): Long {
        val urgent = world.catalog?.mostUrgentPriority(call.service) ?: 0
        return if (call.route.priority <= urgent) load.urgentWaitMs else load.waitMs
    }

    private fun nowhere(world: GatewayWorld, call: Call, nowMs: Long): Choice.Nowhere {
        val isKnown = world.backends.any { it.record.service == call.service }
        val reason = if (isKnown) CallRefusal.OVERLOADED else CallRefusal.NO_BACKEND
        val reachableMs = world.backends
            .filter { it.record.service == call.service }
            .minOfOrNull { it.unreachableUntilMs - nowMs } ?: RETRY_AFTER_MS
        return Choice.Nowhere(reason, reachableMs.coerceIn(RETRY_AFTER_MS, MOST_RETRY_AFTER_MS))
    }

    private fun isEngine(world: GatewayWorld, backend: Backend) =
        world.catalog?.service(backend.record.service)?.engine != null

    companion object {
        /** Servers that a call compares. Two at random already avoid most of the crowding that one would meet. */
        private const val MOST_COMPARED = 3

        /** Servers of them that rendezvous prefers for the call's shared parts. */
        private const val PREFERRED_COMPARED = 1

        /** A call that compares a few servers meets about the wait that a quarter of them are below. */
        private const val TYPICAL_WAIT_PART = 4

        /** Equal servers are told apart at random, by less than the shortest prompt takes. */
        private const val TIE_SPREAD_MS = 4.0

        /** Spread over regions whose figures are alike, by less than their figures vary within one datagram interval. */
        private const val REGION_SPREAD_MS = 20.0

        /** Another region must be better by this, since its caches are cold for this region's prompts. */
        private const val REGION_MARGIN_MS = 60.0

        /** A server whose entry is missing is probably leaving. */
        private const val MISSING_COST_MS = 2_000.0

        /** A cold server is used when the others are busy for longer than it takes to start. */
        private const val COLD_COST_MS = 300.0

        /** Stands for a service that has no server here. */
        private const val NO_WAIT_KNOWN_MS = 60_000L

        private const val RETRY_AFTER_MS = 300L
        private const val MOST_RETRY_AFTER_MS = 1_000L
    }
}
