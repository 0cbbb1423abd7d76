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
    fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement

    /** The expected wait and the places of [service] in this region, for peers of other regions. */
    fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad
}

/** The policy of production. */
class RealPlacementPolicy : PlacementPolicy {
    override fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement {
        val owner = chooseCacheOwner(world, call, nowMs, random)
        if (owner != null && owner.waitMs <= call.remainingMs(nowMs)) return owner
        return chooseAmongAll(world, call, nowMs, random)
    }

    /** The best engine, or the best region with an engine, that keeps the shared parts of a long prompt. */
    private fun chooseCacheOwner(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
    ): Placement.Candidate? {
        val owners = partOwners(world, call, nowMs) ?: return null
        val local = cheapestOf(world, call, owners.localServers, owners.localServers, nowMs, random)
        val remote = bestRemoteOwner(world, call, owners.remoteRegions, nowMs, random)
        return listOfNotNull(local, remote).minByOrNull { it.costMs }
    }

    private fun chooseAmongAll(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement {
        val local = chooseLocal(world, call, nowMs, random, ::isUsable)
        if (call.spec.origin is CallOrigin.Peer) return local ?: chooseDrainingOrRefuse(world, call, nowMs, random)
        // No other region can be better by the margin.
        if (local != null && local.costMs <= REMOTE_MARGIN_MS) return local
        val remote = bestRemote(world, call, nowMs, random)
        return when {
            local == null && remote == null -> chooseDrainingOrRefuse(world, call, nowMs, random)
            local == null -> checkNotNull(remote)
            remote == null || local.costMs <= remote.costMs + REMOTE_MARGIN_MS -> local
            else -> remote
        }
    }

    override fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad =
        serviceSummary(world, service, nowMs)

    /** A server that is leaving, when no other can be had. */
    private fun chooseDrainingOrRefuse(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement =
        chooseLocal(world, call, nowMs, random, ::isDrainingButUsable) ?: unavailable(world, call, nowMs)

    private fun chooseLocal(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
        isCandidate: (GatewayWorld, Backend, Long) -> Boolean,
    ): Placement.Local? {
        if (!call.route.allows(world.self.region)) return null
        val usable = world.backends.filter {
            it.record.service == call.service &&
                it.id !in call.avoidedServers &&
                isCandidate(world, it, nowMs) &&
                hasColdCapacity(world, it, nowMs)
        }
        if (usable.isEmpty()) return null
        val ranked = call.spec.prompt?.sharedParts?.lastOrNull()?.let { part ->
            usable.rendezvousOrder(part.id.value) { it.id.value }
        }
        val candidates = sampleCandidates(usable, ranked, random)
        return cheapestOf(world, call, candidates, listOfNotNull(ranked?.first()), nowMs, random)
    }

    /** The cheapest of [candidates]; every process chooses [preferred] for the shared parts of the call. */
    private fun cheapestOf(
        world: GatewayWorld,
        call: Call,
        candidates: Collection<Backend>,
        preferred: List<Backend>,
        nowMs: Long,
        random: Random,
    ): Placement.Local? {
        val state = world.service(call.service)
        val shared = call.spec.prompt?.sharedParts.orEmpty()
        var best: Placement.Local? = null
        var bestScoreMs = Double.MAX_VALUE
        for (backend in candidates) {
            val candidate = evaluateLocal(world, call, backend, nowMs)
            var scoreMs = candidate.costMs + random.nextDouble() * TIE_BREAK_JITTER_MS
            scoreMs += backend.failureRate * CallCosts.failureCostMs(call)
            if (backend.missingSinceMs != null) scoreMs += MISSING_ENTRY_PENALTY_MS
            if (nowMs < backend.coldUntilMs) scoreMs += COLD_PENALTY_MS
            scoreMs -= CallCosts.cacheSavingMs(shared, backend, backend in preferred, state)
            if (scoreMs < bestScoreMs) {
                best = candidate
                bestScoreMs = scoreMs
            }
        }
        return best
    }

    private fun evaluateLocal(
        world: GatewayWorld,
        call: Call,
        backend: Backend,
        nowMs: Long,
    ): Placement.Local {
        val state = world.service(call.service)
        val prompt = call.spec.prompt
        val source = partSource(world, call, backend, nowMs)
        val tokens = CallCosts.uncachedTokens(prompt, backend) - (source?.tokens ?: 0)
        val priority = call.route.priority
        val totalWaitMs = (source?.copyMs ?: 0.0) +
            CallCosts.firstEventMs(backend, state, tokens, priority, prompt != null, nowMs)
        val answerCostMs = CallCosts.answerDelayMs(call, state, backend.gapEstimator.gapMs(nowMs), nowMs)
        val interferenceCostMs =
            prompt?.let { CallCosts.interferenceMs(backend, it, tokens, state) } ?: 0.0
        return Placement.Local(backend, totalWaitMs, totalWaitMs + answerCostMs + interferenceCostMs, source)
    }

    /**
     * The servers that are compared: all of a few, otherwise some at random beside the first in rendezvous order. What
     * other processes placed is known late, so all of them would take the same server that was best a moment ago.
     */
    private fun sampleCandidates(
        usable: List<Backend>,
        ranked: List<Backend>?,
        random: Random,
    ): Collection<Backend> {
        if (usable.size <= MAX_CANDIDATES) return usable
        val chosen = LinkedHashSet<Backend>()
        ranked?.let { chosen += it.subList(0, PREFERRED_CANDIDATES) }
        while (chosen.size < MAX_CANDIDATES) chosen += usable[random.nextInt(usable.size)]
        return chosen
    }

    private fun unavailable(world: GatewayWorld, call: Call, nowMs: Long): Placement.Unavailable {
        val hasServers = world.backends.any { it.record.service == call.service }
        val reason = if (hasServers) CallRefusal.OVERLOADED else CallRefusal.NO_BACKEND
        val reachableInMs = world.backends
            .filter { it.record.service == call.service }
            .minOfOrNull { it.unreachableUntilMs - nowMs } ?: MIN_RETRY_AFTER_MS
        return Placement.Unavailable(reason, reachableInMs.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
    }

    companion object {
        /** Servers that a call compares. Two at random already avoid most of the crowding that one would meet. */
        private const val MAX_CANDIDATES = 3

        /** Servers of them that rendezvous prefers for the call's shared parts. */
        private const val PREFERRED_CANDIDATES = 1

        /** Equal servers are told apart at random, by less than the shortest prompt takes. */
        private const val TIE_BREAK_JITTER_MS = 4.0

        /** Another region must be better by this, since its caches are cold for this region's prompts. */
        private const val REMOTE_MARGIN_MS = 60.0

        /** A server whose entry is missing is probably leaving. */
        private const val MISSING_ENTRY_PENALTY_MS = 2_000.0

        /** A cold server is used when the others are busy for longer than it takes to start. */
        private const val COLD_PENALTY_MS = 300.0

        private const val MIN_RETRY_AFTER_MS = 300L
        private const val MAX_RETRY_AFTER_MS = 1_000L
    }
}
