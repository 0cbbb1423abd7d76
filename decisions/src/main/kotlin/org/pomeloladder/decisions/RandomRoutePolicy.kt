/*
 * Random routing: the baseline that knows neither load nor prefixes nor regions, other than what
 * residency forbids.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmState

/**
 * Chooses a random entry VM of the allowed regions, and a random server when that VM is in the own
 * failure domain.
 */
class RandomRoutePolicy : RoutePolicy {
    override fun route(world: World, request: Request, tick: Tick): Route {
        val own = world.untriedServers(request, tick.nowMs)
        val vms = world.allowedVms(request)
        val isOwnDomain = { vm: EntryVm -> vm.record.domain == world.self.domain }
        val vm = vms.filter { own.isNotEmpty() || !isOwnDomain(it) }.randomOrNull(tick.random)
        return when {
            vm == null -> world.noRoute(request)
            isOwnDomain(vm) -> world.routeToOwner(own.random(tick.random))
            else -> Route.Peer(vm.id, null)
        }
    }

    override fun place(world: World, attempt: Attempt, tick: Tick): BackendServerId? =
        world.placeAtOwned(attempt, tick) { it.randomOrNull(tick.random) }
}

/**
 * Available servers of the own domain that [request] has not tried; none when it may not be
 * processed here.
 */
internal fun World.untriedServers(request: Request, nowMs: Long): List<BackendServer> {
    if (!mayProcessInOwnRegion(request.spec.subscriber)) return emptyList()
    return availableServers(request.spec.service, nowMs)
        .filter { it.owner != null && it.id !in request.triedServers }
}

/** Entry VMs in service in the regions that [request] allows, of the own domain too. */
internal fun World.allowedVms(request: Request): List<EntryVm> {
    val document = configuration.document ?: return emptyList()
    val regions = document.processingRegions(request.spec.subscriber)
    return entryVms.filter { vm ->
        vm.record.state == VmState.LIVE &&
            vm.id !in request.triedVms &&
            document.regionOf(vm.record.domain) in regions
    }
}

/** The route to [server] through its owner. */
internal fun World.routeToOwner(server: BackendServer): Route {
    val owner = server.owner
    return if (owner == null || owner == self.vm) {
        Route.Own(server.id)
    } else {
        Route.Peer(owner, server.id)
    }
}

/** The refusal of a [request] that has no route left. */
internal fun World.noRoute(request: Request) = Route.None(
    request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
)

/** The server that the ingress of [attempt] wanted, or else what [pick] takes of the owned ones. */
internal fun World.placeAtOwned(
    attempt: Attempt,
    tick: Tick,
    pick: (List<BackendServer>) -> BackendServer?,
): BackendServerId? {
    val owned = availableServers(attempt.spec.service, tick.nowMs).filter { it.owner == self.vm }
    val wanted = (attempt.place as? Place.Arrived)?.chosenServer ?: return pick(owned)?.id
    return owned.firstOrNull { it.id == wanted }?.id
}
