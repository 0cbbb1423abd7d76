/*
 * Routing by the load that the servers themselves report: the baseline that trusts late reports.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/**
 * Chooses the server with the least reported load, at random among equals; another domain when the
 * own has none.
 */
class LeastReportedLoadRoutePolicy : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val server = least(world.untriedServers(request, tick.nowMs), tick)
        if (server != null) return world.routeToOwner(server)
        val other = world.allowedVms(request)
            .filter { it.record.domain != world.self.domain }
            .randomOrNull(tick.random)
        return other?.let { Route.Peer(it.id, null) } ?: world.noRoute(request)
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? =
        world.placeAtOwned(attempt, tick) { least(it, tick) }

    private fun least(servers: List<BackendServer>, tick: Tick): BackendServer? {
        val lowest = servers.minOfOrNull { it.reportedLoad } ?: return null
        return servers.filter { it.reportedLoad == lowest }.random(tick.random)
    }
}
