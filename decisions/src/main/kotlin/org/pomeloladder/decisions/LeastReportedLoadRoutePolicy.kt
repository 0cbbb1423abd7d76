/*
 * A baseline for experiments: routes by the load that backend servers report, which is out of date
 * when it arrives.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/**
 * Chooses the server with the least reported load, at random among equals. Chooses another failure
 * domain when this process's domain has no available server.
 */
class LeastReportedLoadRoutePolicy : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val server = leastLoaded(world.untriedServers(request, tick.nowMs), tick)
        if (server != null) return world.routeToOwner(server)
        val other = world.allowedVms(request)
            .filter { it.record.domain != world.self.domain }
            .randomOrNull(tick.random)
        return other?.let { Route.Peer(it.id, null) } ?: world.noRoute(request)
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? =
        world.placeAtOwned(attempt, tick) { leastLoaded(it, tick) }

    private fun leastLoaded(servers: List<BackendServer>, tick: Tick): BackendServer? {
        val lowest = servers.minOfOrNull { it.reportedLoad } ?: return null
        return servers.filter { it.reportedLoad == lowest }.random(tick.random)
    }
}
