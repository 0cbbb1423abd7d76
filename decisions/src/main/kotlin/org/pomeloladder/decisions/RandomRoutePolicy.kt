/*
 * A baseline for experiments: random routing that ignores load, prefixes and regions, but respects
 * residency rules.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmState

/**
 * Chooses a random entry VM of the allowed regions, and then a random backend server when that VM
 * is in this process's failure domain.
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
 * Returns the available servers of this process's domain that [request] has not tried, or none when
 * residency rules forbid processing it in this region.
 */
internal fun World.untriedServers(request: Request, nowMs: Long): List<BackendServer> {
    if (!mayProcessInOwnRegion(request.spec.subscriber)) return emptyList()
    return availableServers(request.spec.service, nowMs)
        .filter { it.owner != null && it.id !in request.triedServers }
}

/**
 * Returns the listed live entry VMs that [request] has not tried in the regions where it may be
 * processed, including those of this process's domain.
 */
internal fun World.allowedVms(request: Request): List<EntryVm> {
    val document = configuration.document ?: return emptyList()
    val regions = document.processingRegions(request.spec.subscriber)
    return entryVms.filter { vm ->
        vm.record.state == VmState.LIVE &&
            vm.id !in request.triedVms &&
            document.regionOf(vm.record.domain) in regions
    }
}

/** Returns the route to [server]: directly when this process owns it, else through its owner. */
internal fun World.routeToOwner(server: BackendServer): Route {
    val owner = server.owner
    return if (owner == null || owner == self.vm) {
        Route.Own(server.id)
    } else {
        Route.Peer(owner, server.id)
    }
}

/** Returns the refusal of a [request] that has no route left. */
internal fun World.noRoute(request: Request) = Route.None(
    request.lastRefusal ?: Refusal(RefusalReason.NO_BACKEND, retryAfterMs = 1_000),
)

/**
 * Returns the server that the ingress of [attempt] chose, or null when this process does not own
 * it. Without such a choice, [pick] selects one of the owned servers.
 */
internal fun World.placeAtOwned(
    attempt: Attempt,
    tick: Tick,
    pick: (List<BackendServer>) -> BackendServer?,
): BackendServerId? {
    val owned = availableServers(attempt.spec.service, tick.nowMs).filter { it.owner == self.vm }
    val wanted = (attempt.place as? Place.Arrived)?.chosenServer ?: return pick(owned)?.id
    return owned.firstOrNull { it.id == wanted }?.id
}
