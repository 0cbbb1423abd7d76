/*
 * Which engines read the shared parts of long prompts. A part is read by a few engines of the whole fleet: every process
 * that knows the same servers picks the same ones, so that the memory of all engines keeps each part about once.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.rendezvousOrder

/** Engines that read one part. A second one takes calls while the first is busy, and is there when the first is gone. */
private const val OWNERS = 2

/** Reading fewer shared tokens again takes less time than the way to another region. */
private const val LEAST_OWNED_TOKENS = 2_000

/** Owners of the shared parts of a call's prompt: servers of this region, and other regions that have some. */
internal class PartOwners(val here: List<Backend>, val there: Set<RegionId>)

/** The owners of the last shared part of [call]'s prompt; null when its parts are too short to be owned. */
internal fun partOwners(world: GatewayWorld, call: Call, nowMs: Long): PartOwners? {
    val shared = call.spec.prompt?.sharedParts.orEmpty()
    if (shared.sumOf { it.tokens } < LEAST_OWNED_TOKENS) return null
    val reachable = relayPeers(world, call, nowMs).keys
    val ranked = world.backends
        .filter { isOwnerCandidate(world, call, it, reachable, nowMs) }
        .rendezvousOrder(shared.last().id.value) { it.id.value }
    val (here, there) = ranked.take(OWNERS).partition { isHere(world, it) }
    val isRelayed = call.spec.origin is CallOrigin.Peer
    return when {
        !isRelayed -> PartOwners(here, there.mapNotNull { regionOf(world, it) }.toSet())
        here.isNotEmpty() -> PartOwners(here, emptySet())
        // The sender of a relayed call may know other servers than this process.
        else -> PartOwners(ranked.filter { isHere(world, it) }.take(OWNERS), emptySet())
    }
}

private fun isOwnerCandidate(
    world: GatewayWorld,
    call: Call,
    backend: Backend,
    reachable: Set<RegionId>,
    nowMs: Long,
): Boolean {
    if (backend.record.service != call.service || backend.id in call.avoided) return false
    if (!isSettled(world, backend, nowMs)) return false
    val region = regionOf(world, backend) ?: return false
    return when (region) {
        world.self.region -> call.route.allowsRegion(region) && isUsable(world, backend, nowMs)
        else -> region in reachable
    }
}

private fun regionOf(world: GatewayWorld, backend: Backend) = world.regionOf(backend.record.domain)

private fun isHere(world: GatewayWorld, backend: Backend) =
    regionOf(world, backend) == world.self.region
