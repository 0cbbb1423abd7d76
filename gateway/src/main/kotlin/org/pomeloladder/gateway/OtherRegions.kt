/*
 * What other regions offer for a call, as far as their datagrams tell. The peer that takes the call chooses its server.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.RegionId

/** Spread over regions whose figures are alike, by less than their figures vary within one datagram interval. */
private const val REGION_SPREAD_MS = 20.0

/** Peers that may take [call], by region. */
internal fun relayPeers(world: GatewayWorld, call: Call, nowMs: Long): Map<RegionId, List<Peer>> =
    world.peers.filter { canRelay(world, call, it, nowMs) }.groupBy { it.identity.region }

/** Whether [call] may be relayed to [peer]. */
private fun canRelay(world: GatewayWorld, call: Call, peer: Peer, nowMs: Long): Boolean {
    val region = peer.identity.region
    return region != world.self.region &&
        call.route.allowsRegion(region) &&
        peer.isLive &&
        peer.isReady &&
        !peer.isDraining &&
        peer.vm !in call.avoidedPeers &&
        nowMs >= peer.unreachableUntilMs
}

/** The best other region for a call that any engine there may serve. */
internal fun bestThere(
    world: GatewayWorld,
    call: Call,
    nowMs: Long,
    random: Random,
): Choice.There? = relayPeers(world, call, nowMs).values
    .mapNotNull { anyThere(world, call, it, nowMs, random) }
    .minByOrNull { it.costMs }

private fun anyThere(
    world: GatewayWorld,
    call: Call,
    peers: List<Peer>,
    nowMs: Long,
    random: Random,
): Choice.There? {
    val newest = peers.maxBy { it.lastHeardMs }
    val load = newest.services[call.service]?.takeIf { it.totalSlots > 0 } ?: return null
    val crowding = peers.sumOf { it.relayedSinceDatagram }.toDouble() / load.totalSlots
    val waitMs = waitThereMs(world, call, load)
    val wait = newest.roundTripMs + waitMs + CallCosts.coldPromptMs(world, call) +
        (1 + waitMs) * crowding + random.nextDouble() * REGION_SPREAD_MS
    val gapMs = load.eventGapMs.toDouble()
    val cost = wait + CallCosts.answerMs(call, world.service(call.service), gapMs, nowMs) +
        CallCosts.interferenceThereMs(world, call, load)
    return Choice.There(peers[random.nextInt(peers.size)], wait, cost)
}

/** The best of the regions [owners] for a call whose shared parts an engine there keeps. */
internal fun bestOwnerThere(
    world: GatewayWorld,
    call: Call,
    owners: Set<RegionId>,
    nowMs: Long,
    random: Random,
): Choice.There? {
    if (owners.isEmpty()) return null
    return relayPeers(world, call, nowMs)
        .filterKeys { it in owners }
        .values
        .mapNotNull { ownerThere(world, call, it, random) }
        .minByOrNull { it.costMs }
}

private fun ownerThere(
    world: GatewayWorld,
    call: Call,
    peers: List<Peer>,
    random: Random,
): Choice.There? {
    val newest = peers.maxBy { it.lastHeardMs }
    val load = newest.services[call.service]?.takeIf { it.totalSlots > 0 } ?: return null
    val relayed = peers.sumOf { it.relayedSinceDatagram }
    val wait = newest.roundTripMs + CallCosts.ownerWaitThereMs(world, call, load, relayed)
    val cost = wait + CallCosts.interferenceThereMs(world, call, load)
    return Choice.There(peers[random.nextInt(peers.size)], wait, cost)
}

private fun waitThereMs(world: GatewayWorld, call: Call, load: ServiceLoad): Long {
    val urgent = world.catalog?.mostUrgentPriority(call.service) ?: 0
    return if (call.route.priority <= urgent) load.urgentWaitMs else load.waitMs
}
