/*
 * Chooses where a call goes: the backend server of this region that is expected to serve it first, or another region
 * when that serves its caller better.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.rendezvousOrder

/** Chooses places for calls. */
interface PlacementPolicy {
    fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice

    /** The expected wait and the places of [service] in this region, for peers of other regions. */
    fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad
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
        val there = bestOwnerThere(world, call, owners.there, nowMs, random)
        return listOfNotNull(here, there).minByOrNull { it.costMs }
    }

    private fun chooseAny(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Choice {
        val here = chooseHere(world, call, nowMs, random, ::isUsable)
        if (call.spec.origin is CallOrigin.Peer) return here ?: orElse(world, call, nowMs, random)
        // No other region can be better by the margin.
        if (here != null && here.costMs <= REGION_MARGIN_MS) return here
        val there = bestThere(world, call, nowMs, random)
        return when {
            here == null && there == null -> orElse(world, call, nowMs, random)
            here == null -> checkNotNull(there)
            there == null || here.costMs <= there.costMs + REGION_MARGIN_MS -> here
            else -> there
        }
    }

    override fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad =
        serviceSummary(world, service, nowMs)

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
        if (!call.route.allowsRegion(world.self.region)) return null
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
            rank += backend.failureRate * CallCosts.failureMs(call)
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
        val answer = CallCosts.answerMs(call, state, backend.gapEstimator.gapMs(nowMs), nowMs)
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

    private fun nowhere(world: GatewayWorld, call: Call, nowMs: Long): Choice.Nowhere {
        val isKnown = world.backends.any { it.record.service == call.service }
        val reason = if (isKnown) CallRefusal.OVERLOADED else CallRefusal.NO_BACKEND
        val reachableMs = world.backends
            .filter { it.record.service == call.service }
            .minOfOrNull { it.unreachableUntilMs - nowMs } ?: RETRY_AFTER_MS
        return Choice.Nowhere(reason, reachableMs.coerceIn(RETRY_AFTER_MS, MOST_RETRY_AFTER_MS))
    }

    companion object {
        /** Servers that a call compares. Two at random already avoid most of the crowding that one would meet. */
        private const val MOST_COMPARED = 3

        /** Servers of them that rendezvous prefers for the call's shared parts. */
        private const val PREFERRED_COMPARED = 1

        /** Equal servers are told apart at random, by less than the shortest prompt takes. */
        private const val TIE_SPREAD_MS = 4.0

        /** Another region must be better by this, since its caches are cold for this region's prompts. */
        private const val REGION_MARGIN_MS = 60.0

        /** A server whose entry is missing is probably leaving. */
        private const val MISSING_COST_MS = 2_000.0

        /** A cold server is used when the others are busy for longer than it takes to start. */
        private const val COLD_COST_MS = 300.0

        private const val RETRY_AFTER_MS = 300L
        private const val MOST_RETRY_AFTER_MS = 1_000L
    }
}
