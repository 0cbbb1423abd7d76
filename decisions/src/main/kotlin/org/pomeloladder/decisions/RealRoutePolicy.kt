/*
 * Prefix affinity with bounded load inside the own failure domain; other allowed regions when the own one has nothing.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** A server may hold this multiple of the mean load before its keys move to the next server. */
const val BOUNDED_LOAD_FACTOR = 1.25

/** The policy of production. */
class RealRoutePolicy(private val overflow: OverflowPolicy = RealOverflowPolicy()) : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val spec = request.spec
        if (world.mayProcessHere(spec.subscriber)) {
            val servers = world.availableServers(spec.service, tick.nowMs)
                .filter { it.owner != null && it.id !in request.triedServers }
            pick(servers, spec.prefix)?.let { own ->
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
        return pick(owned, attempt.spec.prefix)?.id
    }

    private fun routeTo(world: World, server: BackendServer): Route {
        val owner = server.owner
        if (owner == null || owner == world.self.vm) return Route.Own(server.id)
        return Route.Peer(owner, server.id)
    }

    private fun pick(servers: List<BackendServer>, prefix: PrefixKey): BackendServer? {
        if (servers.isEmpty()) return null
        val meanLoad = servers.sumOf { it.load + 1 }.toDouble() / servers.size
        val bound = meanLoad * BOUNDED_LOAD_FACTOR
        val order = servers.rendezvousOrder(prefix.value) { it.id.value }
        return order.firstOrNull { it.load < bound } ?: order.minBy { it.load }
    }

    private fun elsewhere(world: World, request: Request, tick: Tick): Route {
        val vm = overflow.choose(world, request, tick, hasOwnServer = false)
            ?: return Route.None(
                request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
            )
        return Route.Peer(vm.id, null)
    }
}
