/*
 * Chooses the engines that own the shared parts of long prompts. Few engines of the whole fleet
 * process and cache each part: all processes that know the same servers choose the same owners, so
 * that the fleet's engines together cache each part about once.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.rendezvousOrder

/**
 * Number of engines that own one part. The second one takes calls while the first is busy or gone.
 */
private const val OWNERS_PER_PART = 2

/** Processing fewer shared tokens again takes less time than relaying to another region. */
private const val MIN_OWNED_TOKENS = 2_000

/**
 * Owners of the shared parts of a call's prompt: servers of this region that this VM reaches, and
 * the regions with other owners.
 */
internal class PartOwners(val localServers: List<Backend>, val remoteRegions: Set<RegionId>)

/** Whether the shared parts of [call]'s prompt are long enough to have owners. */
internal fun hasOwners(call: Call): Boolean =
    call.spec.prompt?.sharedParts.orEmpty().sumOf { it.tokens } >= MIN_OWNED_TOKENS

/**
 * Returns the owners of the last shared part of [call]'s prompt, or null when its shared parts are
 * too short to have owners.
 */
internal fun partOwners(world: GatewayWorld, call: Call, nowMs: Long): PartOwners? {
    if (!hasOwners(call)) return null
    val shared = call.spec.prompt?.sharedParts.orEmpty()
    val reachableRegions = relayPeersByRegion(world, call, nowMs).keys
    val ranked = world.backends
        .filter { isOwnerCandidate(world, call, it, reachableRegions, nowMs) }
        .rendezvousOrder(shared.last().id.value) { it.id.value }
    val (localServers, remoteServers) = ranked.take(OWNERS_PER_PART)
        .partition { isLocal(world, it) && isUsable(world, it) }
    val isRelayed = call.spec.origin is CallOrigin.Peer
    return when {
        !isRelayed -> PartOwners(
            localServers,
            remoteServers.mapNotNull { regionOf(world, it) }.toSet(),
        )
        localServers.isNotEmpty() -> PartOwners(localServers, emptySet())
        // The process that relayed the call may know other servers than this one.
        else -> PartOwners(
            ranked.filter { isLocal(world, it) && isUsable(world, it) }
                .take(OWNERS_PER_PART),
            emptySet(),
        )
    }
}

private fun isOwnerCandidate(
    world: GatewayWorld,
    call: Call,
    backend: Backend,
    reachableRegions: Set<RegionId>,
    nowMs: Long,
): Boolean {
    if (!mayServe(call, backend)) return false
    if (!isStable(world, backend, nowMs)) return false
    val region = regionOf(world, backend) ?: return false
    val isReachedByNeighbour = backend.unreachedSinceMs != null && region in reachableRegions
    return when (region) {
        world.self.region -> call.allowsRegion(region) &&
            (isUsable(world, backend) || isReachedByNeighbour) &&
            hasRoom(world, backend, nowMs)
        else -> region in reachableRegions
    }
}

private fun regionOf(world: GatewayWorld, backend: Backend) = world.regionOf(backend.record.domain)

private fun isLocal(world: GatewayWorld, backend: Backend) =
    regionOf(world, backend) == world.self.region
