/*
 * Estimates what other regions offer for a call, from the datagrams of their entry VMs, and what the
 * own one offers at a VM that reaches more of its servers. The peer to which the call is relayed
 * chooses the server.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId

/**
 * Random jitter that spreads calls over regions with similar figures; smaller than the changes of
 * the figures between two datagrams.
 */
private const val REGION_JITTER_MS = 20.0

/** Returns the peers to which [call] may be relayed, by region. */
internal fun relayPeersByRegion(
    world: GatewayWorld,
    call: Call,
    nowMs: Long,
): Map<RegionId, List<Peer>> = world.peers.filter { canRelayTo(world, call, it, nowMs) }
    .groupBy { it.identity.region }
    .filterKeys { hasServerFor(world, call, it) }

/** Whether [call] may be relayed to [peer]. */
private fun canRelayTo(world: GatewayWorld, call: Call, peer: Peer, nowMs: Long): Boolean {
    val region = peer.identity.region
    return !call.isProbe &&
        call.allowsRegion(region) &&
        peer.isLive &&
        peer.isReady &&
        !peer.isDraining &&
        peer.vm !in call.avoidedPeers &&
        nowMs >= peer.unreachableUntilMs &&
        reaches(world, peer, call.service)
}

/** Whether [peer] reaches servers of [service], in this region more of them than this VM. */
private fun reaches(world: GatewayWorld, peer: Peer, service: ServiceId): Boolean {
    if (peer.identity.region == world.self.region) {
        return isBetterConnected(world, peer, service)
    }
    return (peer.services[service]?.reachedSlots ?: 0) > 0
}

/** Returns the cheapest region to relay a call to that any engine there may serve. */
internal fun bestRemote(
    world: GatewayWorld,
    call: Call,
    nowMs: Long,
    random: Random,
): Placement.Remote? = relayPeersByRegion(world, call, nowMs).values
    .mapNotNull { remoteCandidate(world, call, it, nowMs, random) }
    .minByOrNull { it.costMs }

private fun remoteCandidate(
    world: GatewayWorld,
    call: Call,
    peers: List<Peer>,
    nowMs: Long,
    random: Random,
): Placement.Remote? {
    val latest = peers.maxBy { it.lastHeardMs }
    val load = latest.services[call.service]?.takeIf { it.totalSlots > 0 } ?: return null
    val relayedPerSlot = peers.sumOf { it.relayedSinceDatagram }.toDouble() / load.totalSlots
    val waitMs = remoteWaitMs(world, call, load)
    val totalWaitMs = latest.roundTripMs + waitMs + CallCosts.remoteExtraPromptMs(world, call) +
        (1 + waitMs) * relayedPerSlot + random.nextDouble() * REGION_JITTER_MS
    return placementAt(peers[random.nextInt(peers.size)], world, call, load, totalWaitMs, nowMs)
}

/** Returns [peer], whose region has [load], as the place of [call], which waits there for [waitMs]. */
private fun placementAt(
    peer: Peer,
    world: GatewayWorld,
    call: Call,
    load: ServiceLoad,
    waitMs: Double,
    nowMs: Long,
): Placement.Remote {
    val state = world.service(call.service)
    val gapMs = load.eventGapMs.toDouble()
    val costMs = waitMs + CallCosts.answerDelayMs(call, state, gapMs, nowMs) +
        CallCosts.remoteInterferenceMs(world, call, load)
    val endMs = waitMs + CallCosts.answerMs(call, state, gapMs)
    return Placement.Remote(peer, waitMs, costMs, endMs)
}

/** Returns the cheapest of the regions [owners], whose engines own the shared parts of [call]. */
internal fun bestRemoteOwner(
    world: GatewayWorld,
    call: Call,
    owners: Set<RegionId>,
    nowMs: Long,
    random: Random,
): Placement.Remote? {
    if (owners.isEmpty()) return null
    return relayPeersByRegion(world, call, nowMs)
        .filterKeys { it in owners }
        .values
        .mapNotNull { remoteOwnerCandidate(world, call, it, nowMs, random) }
        .minByOrNull { it.costMs }
}

private fun remoteOwnerCandidate(
    world: GatewayWorld,
    call: Call,
    peers: List<Peer>,
    nowMs: Long,
    random: Random,
): Placement.Remote? {
    val latest = peers.maxBy { it.lastHeardMs }
    val load = latest.services[call.service]?.takeIf { it.totalSlots > 0 } ?: return null
    val relayed = peers.sumOf { it.relayedSinceDatagram }
    val totalWaitMs = latest.roundTripMs + CallCosts.remoteOwnerWaitMs(world, call, load, relayed)
    return placementAt(peers[random.nextInt(peers.size)], world, call, load, totalWaitMs, nowMs)
}

private fun remoteWaitMs(world: GatewayWorld, call: Call, load: ServiceLoad): Long {
    val urgentPriority = world.catalog?.mostUrgentPriority(call.service) ?: 0
    return if (call.route.priority <= urgentPriority) load.urgentWaitMs else load.waitMs
}
