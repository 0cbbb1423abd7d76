/*
 * Routes by prefix affinity with bounded load within this process's failure domain. Requests go to
 * another allowed failure domain when this one has no available server or a clearly longer wait.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** A server may hold this multiple of the mean backlog before its prefixes move to the next one. */
const val BOUNDED_LOAD_FACTOR = 1.25

/**
 * The bound on a server's expected time also allows the request itself this multiple of the median
 * service time, so that the cost of the request alone does not make a server count as overloaded.
 */
private const val REQUEST_SLACK_FACTOR = 2.0

/**
 * Time after a long prompt was routed in which long prompts and other work use separate servers.
 */
private const val LONG_PROMPT_SEPARATION_MS = 10_000L

/** One in this many servers of a service is in the pool for long prompts. */
private const val LONG_POOL_DIVISOR = 2

/**
 * A request goes to a server of the other pool when its expected time in its own pool is longer by
 * more than this factor.
 */
private const val CROSS_POOL_FACTOR = 3.0

/**
 * Expected time until the queued and running work is done. [defaultMs] per cost token is used while
 * the server has no observation of its own.
 */
fun BackendServer.backlogMs(defaultMs: Double): Double =
    (queuedCostTokens + inFlightCostTokens) * msPerCostToken(defaultMs) / windowSize

/** Expected time until a new request with [spec] is done on this server. */
private fun BackendServer.expectedMs(spec: RequestSpec, defaultMs: Double): Double =
    backlogMs(defaultMs) + spec.costTokens * msPerCostToken(defaultMs)

private fun BackendServer.msPerCostToken(defaultMs: Double) =
    if (serviceMsPerCostToken > 0) serviceMsPerCostToken else defaultMs

/** The default routing policy: prefix affinity with bounded load. */
class RealRoutePolicy(private val overflow: OverflowPolicy = RealOverflowPolicy()) : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val spec = request.spec
        if (world.mayProcessInOwnRegion(spec.subscriber)) {
            val servers = world.availableServers(spec.service, tick.nowMs)
                .filter { it.owner != null && it.id !in request.triedServers }
            pick(world, servers, spec, tick)?.let { own ->
                val vm = overflow.choose(world, request, tick, hasOwnServer = true)
                return if (vm == null) routeToServer(world, own) else Route.Peer(vm.id, null)
            }
        }
        return routeToOtherDomain(world, request, tick)
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? {
        val owned = world.availableServers(attempt.spec.service, tick.nowMs)
            .filter { it.owner == world.self.vm }
        val wanted = (attempt.place as? Place.Arrived)?.chosenServer
        if (wanted != null) return owned.firstOrNull { it.id == wanted }?.id
        return pick(world, owned, attempt.spec, tick)?.id
    }

    private fun routeToServer(world: World, server: BackendServer): Route {
        val owner = server.owner
        if (owner == null || owner == world.self.vm) return Route.Own(server.id)
        return Route.Peer(owner, server.id)
    }

    /**
     * An engine processes prompts one after another, and each chunk of a long prompt slows down its
     * whole batch. While there are long prompts, one pool of servers takes them and the other pool
     * takes everything else, unless the preferred pool is overloaded.
     */
    private fun pick(
        world: World,
        servers: List<BackendServer>,
        spec: RequestSpec,
        tick: Tick,
    ): BackendServer? {
        if (spec.hasLongPrompt) world.process.longPromptRoutedAtMs[spec.service] = tick.nowMs
        val routedMs = world.process.longPromptRoutedAtMs[spec.service]
        val hasRecentLongPrompt =
            routedMs != null && tick.nowMs - routedMs < LONG_PROMPT_SEPARATION_MS
        if (!hasRecentLongPrompt || servers.size < LONG_POOL_DIVISOR) return pick(servers, spec)
        val order = servers.rendezvousOrder(hashKey(spec.service.value)) { it.id.value }
        val (longPool, generalPool) = order.withIndex()
            .partition { it.index < servers.size / LONG_POOL_DIVISOR }
        val (preferred, fallback) =
            if (spec.hasLongPrompt) longPool to generalPool else generalPool to longPool
        return pickAcrossPools(preferred.map { it.value }, fallback.map { it.value }, spec)
    }

    private fun pickAcrossPools(
        preferred: List<BackendServer>,
        fallback: List<BackendServer>,
        spec: RequestSpec,
    ): BackendServer? {
        val best = pick(preferred, spec) ?: return pick(fallback, spec)
        val alternative = pick(fallback, spec) ?: return best
        val defaultMs = medianMs(preferred + fallback)
        val limitMs = alternative.expectedMs(spec, defaultMs) * CROSS_POOL_FACTOR
        return if (best.expectedMs(spec, defaultMs) > limitMs) alternative else best
    }

    /**
     * Returns the first server in the rendezvous order of the prefix whose expected time is within
     * the bound, or the one with the shortest expected time. An idle server is within the bound
     * when it is at most twice as slow as the median, so small differences in speed do not move a
     * prefix away from its cache.
     */
    private fun pick(servers: List<BackendServer>, spec: RequestSpec): BackendServer? {
        if (servers.isEmpty()) return null
        val medianMs = medianMs(servers)
        val slackMs = spec.costTokens * medianMs * REQUEST_SLACK_FACTOR
        val boundMs =
            servers.map { it.backlogMs(medianMs) }.average() * BOUNDED_LOAD_FACTOR + slackMs
        val order = servers.rendezvousOrder(spec.prefix.value) { it.id.value }
        return order.firstOrNull { it.expectedMs(spec, medianMs) <= boundMs }
            ?: order.minBy { it.expectedMs(spec, medianMs) }
    }

    /** Returns the median service time per cost token, or 1 ms while no server was observed. */
    private fun medianMs(servers: List<BackendServer>): Double {
        val knownMs = medianOf(servers) { it.serviceMsPerCostToken }
        return if (knownMs > 0) knownMs else 1.0
    }

    private fun routeToOtherDomain(world: World, request: Request, tick: Tick): Route {
        val vm = overflow.choose(world, request, tick, hasOwnServer = false)
            ?: return Route.None(
                request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
            )
        return Route.Peer(vm.id, null)
    }
}
