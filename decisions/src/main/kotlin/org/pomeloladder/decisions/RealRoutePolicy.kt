/*
 * Prefix affinity with bounded load inside the own failure domain; other allowed regions when the own one has nothing.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** A server may hold this multiple of the mean load before its keys move to the next server. */
const val BOUNDED_LOAD_FACTOR = 1.25

/** A server may take this multiple of the median time for a request's own work before it counts as loaded. */
private const val OWN_WORK_FACTOR = 2.0

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
        if (world.mayProcessHere(spec.subscriber)) {
            val servers = world.availableServers(spec.service, tick.nowMs)
                .filter { it.owner != null && it.id !in request.triedServers }
            pick(servers, spec)?.let { own ->
                val vm = overflow.choose(world, request, tick, hasOwnServer = true)
                return if (vm == null) routeTo(world, own) else Route.Peer(vm.id, null)
            }
        }
        return elsewhere(world, request, tick)
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? {
        val owned = world.availableServers(attempt.spec.service, tick.nowMs)
            .filter { it.owner == world.self.vm }
        val wanted = (attempt.place as? Place.Arrived)?.wanted
        if (wanted != null) return owned.firstOrNull { it.id == wanted }?.id
        return pick(owned, attempt.spec)?.id
    }

    private fun routeTo(world: World, server: BackendServer): Route {
        val owner = server.owner
        if (owner == null || owner == world.self.vm) return Route.Own(server.id)
        return Route.Peer(owner, server.id)
    }

    /**
     * The first server in the order of the prefix whose expected time is within bounds. An idle server only has to be
     * no slower than twice the median, so that small differences do not move a prefix away from its cache.
     */
    private fun pick(servers: List<BackendServer>, spec: RequestSpec): BackendServer? {
        if (servers.isEmpty()) return null
        val knownMs = medianOf(servers) { it.serviceMsPerCostToken }
        // Without any observation, tokens are compared as if each took 1 ms everywhere.
        val medianMs = if (knownMs > 0) knownMs else 1.0
        val slackMs = spec.costTokens * medianMs * OWN_WORK_FACTOR
        val boundMs =
            servers.map { it.backlogMs(medianMs) }.average() * BOUNDED_LOAD_FACTOR + slackMs
        val order = servers.rendezvousOrder(spec.prefix.value) { it.id.value }
        return order.firstOrNull { it.expectedMs(spec, medianMs) <= boundMs }
            ?: order.minBy { it.expectedMs(spec, medianMs) }
    }

    private fun elsewhere(world: World, request: Request, tick: Tick): Route {
        val vm = overflow.choose(world, request, tick, hasOwnServer = false)
            ?: return Route.None(
                request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
            )
        return Route.Peer(vm.id, null)
    }
}
