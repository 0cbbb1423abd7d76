/*
 * Chooses where a call goes: the backend server of this region with the lowest expected cost, or
 * another region when it serves the caller better by a margin.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.rendezvousOrder

/** Chooses the backend server or the region that serves a call. */
interface PlacementPolicy {
    fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement

    /** Returns the expected waits and the capacity of [service] in this region, for peers. */
    fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad
}

/** The policy used in production. It compares the estimated costs of [CallCosts]. */
class RealPlacementPolicy : PlacementPolicy {
    override fun choose(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement {
        val owner = chooseCacheOwner(world, call, nowMs, random)
        // An owner whose answer would come too late saves nothing.
        if (owner != null && owner.endMs <= call.remainingMs(nowMs)) return owner
        return chooseAmongAll(world, call, nowMs, random)
    }

    /**
     * Returns the cheapest engine, or region with an engine, that owns the shared parts of a long
     * prompt.
     */
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

    private fun chooseAmongAll(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
    ): Placement {
        val local = chooseLocal(world, call, nowMs, random) { _, backend, _ ->
            isUsable(world, backend)
        }
        if (call.spec.origin is CallOrigin.Peer) return local ?: backup(world, call, nowMs, random)
        // Remote costs are not negative, so no other region can be cheaper by the margin.
        if (local != null && local.costMs <= REMOTE_MARGIN_MS) return local
        val remote = bestRemote(world, call, nowMs, random)
        return when {
            local == null && remote == null -> backup(world, call, nowMs, random)
            local == null -> checkNotNull(remote)
            remote == null || local.costMs <= remote.costMs + REMOTE_MARGIN_MS -> local
            else -> remote
        }
    }

    override fun summarizeLoad(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad =
        serviceSummary(world, service, nowMs)

    /** Returns a draining server as a last resort, or else a refusal of the call. */
    private fun backup(world: GatewayWorld, call: Call, nowMs: Long, random: Random): Placement =
        chooseLocal(world, call, nowMs, random, ::isDrainingButUsable)
            ?: unavailable(world, call, nowMs)

    private fun chooseLocal(
        world: GatewayWorld,
        call: Call,
        nowMs: Long,
        random: Random,
        isCandidate: (GatewayWorld, Backend, Long) -> Boolean,
    ): Placement.Local? {
        if (!call.allowsRegion(world.self.region)) return null
        val usable = world.backends.filter {
            mayServe(call, it) &&
                isCandidate(world, it, nowMs) &&
                hasColdCapacity(world, it, nowMs) &&
                hasRoom(world, it, nowMs, isModest = !hasOwners(call))
        }
        if (usable.isEmpty()) return null
        val ranked = call.spec.prompt?.sharedParts?.lastOrNull()?.let { part ->
            usable.rendezvousOrder(part.id.value) { it.id.value }
        }
        val candidates = sampleCandidates(usable, ranked, random)
        return cheapestOf(world, call, candidates, listOfNotNull(ranked?.first()), nowMs, random)
    }

    /**
     * Returns the cheapest of [candidates]. All processes send the shared parts of the call to
     * [preferred], so these servers are credited with a warm cache.
     */
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
            scoreMs += backend.life.failureRate * CallCosts.failureCostMs(call)
            if (backend.missingSinceMs != null) scoreMs += MISSING_ENTRY_PENALTY_MS
            if (mayBeCold(backend, nowMs)) scoreMs += COLD_PENALTY_MS
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
        val gapMs = backend.life.gapEstimator.gapMs(nowMs)
        val answerCostMs = CallCosts.answerDelayMs(call, state, gapMs, nowMs)
        val interferenceCostMs =
            prompt?.let { CallCosts.interferenceMs(backend, it, tokens, state) } ?: 0.0
        return Placement.Local(
            backend = backend,
            waitMs = totalWaitMs,
            costMs = totalWaitMs + answerCostMs + interferenceCostMs,
            endMs = totalWaitMs + CallCosts.answerMs(call, state, gapMs),
            source = source,
        )
    }

    /**
     * Returns the servers to compare: all of them when they are few, otherwise the first in
     * rendezvous order and a random sample. Processes learn of each other's sends with a delay, so
     * if each compared all servers, all of them would pick the one that was best a moment ago.
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
        val usableInMs = limitWaitMs(world, call.service, nowMs)
        return Placement.Unavailable(
            reason,
            usableInMs.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        )
    }

    companion object {
        /**
         * Maximum number of servers to compare. Two random choices already avoid most of the
         * crowding that a single random choice causes.
         */
        private const val MAX_CANDIDATES = 3

        /** How many of the compared servers come from the rendezvous order of the shared parts. */
        private const val PREFERRED_CANDIDATES = 1

        /** Random jitter that breaks ties; less than the shortest prompt takes. */
        private const val TIE_BREAK_JITTER_MS = 4.0

        /** Minimum advantage of another region, whose caches are cold for this region's prompts. */
        private const val REMOTE_MARGIN_MS = 60.0

        /** Penalty for a server whose entry has disappeared: it is probably shutting down. */
        private const val MISSING_ENTRY_PENALTY_MS = 2_000.0

        /**
         * Penalty for a cold server: it is used when the others are busy for longer than it takes
         * to start.
         */
        private const val COLD_PENALTY_MS = 300.0

        private const val MIN_RETRY_AFTER_MS = 300L
        private const val MAX_RETRY_AFTER_MS = 1_000L
    }
}
