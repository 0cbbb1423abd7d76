/*
 * Prefix affinity with bounded load inside the own failure domain; other allowed regions when the own one has nothing.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** A server may hold this multiple of the mean load before its keys move to the next server. */
const val BOUNDED_LOAD_FACTOR = 1.25

/** A server may take this multiple of the median time for a request's own work before it counts as loaded. */
private const val OWN_WORK_FACTOR = 2.0

/** Servers are kept apart for long prompts while this process routed one within this time. */
private const val LONG_PROMPTS_RECENT_MS = 10_000L

/** One server in this many takes the long prompts. */
private const val LONG_PROMPT_DIVISOR = 2

/** Work crosses between servers for long prompts and the others when its expected time there is shorter by this factor. */
private const val CROSSING_FACTOR = 3.0

/** Expected time until work accepted so far is done. [defaultMs] a token stands in for a missing observation. */
fun BackendServer.backlogMs(defaultMs: Double): Double =
    (queuedCostTokens + inFlightCostTokens) * msPerCostToken(defaultMs) / windowSize

private fun BackendServer.expectedMs(spec: RequestSpec, defaultMs: Double): Double =
    backlogMs(defaultMs) + spec.costTokens * msPerCostToken(defaultMs)

private fun BackendServer.msPerCostToken(defaultMs: Double) =
    if (serviceMsPerCostToken > 0) serviceMsPerCostToken else defaultMs

/** The policy of production. */
class RealRoutePolicy(private val overflow: OverflowPolicy = RealOverflowPolicy()) : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val spec = request.spec
        if (world.mayProcessInOwnRegion(spec.subscriber)) {
            val servers = world.availableServers(spec.service, tick.nowMs)
                .filter { it.owner != null && it.id !in request.triedServers }
            pick(world, servers, spec, tick)?.let { own ->
                val vm = overflow.choose(world, request, tick, hasOwnServer = true)
                return if (vm == null) routeTo(world, own) else Route.Peer(vm.id, null)
            }
        }
        return elsewhere(world, request, tick)
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? {
        val owned = world.availableServers(attempt.spec.service, tick.nowMs)
            .filter { it.owner == world.self.vm }
        val wanted = (attempt.place as? Place.Arrived)?.chosenServer
        if (wanted != null) return owned.firstOrNull { it.id == wanted }?.id
        return pick(world, owned, attempt.spec, tick)?.id
    }

    private fun routeTo(world: World, server: BackendServer): Route {
        val owner = server.owner
        if (owner == null || owner == world.self.vm) return Route.Own(server.id)
        return Route.Peer(owner, server.id)
    }

    /**
     * An engine processes prompts one after another, and each chunk of a long one slows its whole batch. While there are
     * long prompts, they go to one part of the servers and everything else to the other, unless that part is overloaded.
     */
    private fun pick(
        world: World,
        servers: List<BackendServer>,
        spec: RequestSpec,
        tick: Tick,
    ): BackendServer? {
        if (spec.hasLongPrompt) world.process.longPromptRoutedAtMs[spec.service] = tick.nowMs
        val routedMs = world.process.longPromptRoutedAtMs[spec.service]
        val isMixed = routedMs != null && tick.nowMs - routedMs < LONG_PROMPTS_RECENT_MS
        if (!isMixed || servers.size < LONG_PROMPT_DIVISOR) return pick(servers, spec)
        val order = servers.rendezvousOrder(hashKey(spec.service.value)) { it.id.value }
        val (forLong, others) = order.withIndex()
            .partition { it.index < servers.size / LONG_PROMPT_DIVISOR }
        val (preferred, second) = if (spec.hasLongPrompt) forLong to others else others to forLong
        return pickOf(preferred.map { it.value }, second.map { it.value }, spec)
    }

    private fun pickOf(
        preferred: List<BackendServer>,
        second: List<BackendServer>,
        spec: RequestSpec,
    ): BackendServer? {
        val best = pick(preferred, spec) ?: return pick(second, spec)
        val other = pick(second, spec) ?: return best
        val defaultMs = medianMs(preferred + second)
        val limitMs = other.expectedMs(spec, defaultMs) * CROSSING_FACTOR
        return if (best.expectedMs(spec, defaultMs) > limitMs) other else best
    }

    /**
     * The first server in the order of the prefix whose expected time is within bounds. An idle server only has to be
     * no slower than twice the median, so that small differences do not move a prefix away from its cache.
     */
    private fun pick(servers: List<BackendServer>, spec: RequestSpec): BackendServer? {
        if (servers.isEmpty()) return null
        val medianMs = medianMs(servers)
        val slackMs = spec.costTokens * medianMs * OWN_WORK_FACTOR
        val boundMs =
            servers.map { it.backlogMs(medianMs) }.average() * BOUNDED_LOAD_FACTOR + slackMs
        val order = servers.rendezvousOrder(spec.prefix.value) { it.id.value }
        return order.firstOrNull { it.expectedMs(spec, medianMs) <= boundMs }
            ?: order.minBy { it.expectedMs(spec, medianMs) }
    }

    /** Without any observation, tokens are compared as if each took 1 ms everywhere. */
    private fun medianMs(servers: List<BackendServer>): Double {
        val knownMs = medianOf(servers) { it.serviceMsPerCostToken }
        return if (knownMs > 0) knownMs else 1.0
    }

    private fun elsewhere(world: World, request: Request, tick: Tick): Route {
        val vm = overflow.choose(world, request, tick, hasOwnServer = false)
            ?: return Route.None(
                request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
            )
        return Route.Peer(vm.id, null)
    }
}
