/*
 * Membership: exchanges datagrams with the other entry VMs, decides which are live, and shares the load that each puts
 * on the backend servers of its region.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/** Interval of datagrams to VMs of the own region, which share its servers, and to others. */
private const val NEAR_INTERVAL_MS = 250L
private const val FAR_INTERVAL_MS = 500L

/** VMs that start together find each other within a few of these. */
private const val GREETING_INTERVAL_MS = 120L
private const val STARTING_MS = 5_000L

/** Four lost datagrams in a row from another region, eight from the own one. */
private const val SILENT_MS = 2_000L

/** The own clock must have come back within this time, or the link may work one way only. */
private const val ECHO_MS = 3_500L

/** A VM that was silent for this long is forgotten. */
private const val FORGET_MS = 60_000L

/** A lower incarnation is taken when the known one was silent for this long: clocks may step back. */
private const val REPLACED_MS = 1_000L

/** Weight of a new round trip in the moving average. */
private const val ROUND_TRIP_WEIGHT = 0.2

/** Most parts in one datagram, so that it fits into one packet. */
private const val MOST_PARTS = 12

/** Most other VMs named in one datagram. */
private const val MOST_OTHERS = 8

/** What other VMs must learn at once: their directories and relays depend on it. */
private data class PeerState(val isReady: Boolean = false, val isDraining: Boolean = false)

/** Exchanges datagrams and keeps the table of peers. */
class PeerSystem(private val placement: PlacementPolicy) : GatewaySystem {
    private val contacts = HashMap<Address, Long>()
    private var told = PeerState()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        if (world.process.startedMs == null) world.process.startedMs = tick.nowMs
        tick.each<GossipReceived> { receive(world, tick, it.message) }
        judge(world, tick)
        val state = PeerState(world.process.isReady, world.process.isDraining)
        send(world, tick, isUrgent = state != told)
        told = state
        sumShares(world)
        tick.wakeAt(tick.nowMs + NEAR_INTERVAL_MS / 2)
    }

    private fun receive(world: GatewayWorld, tick: GatewayTick, message: GossipMessage) {
        val from = message.from
        if (from.vm == world.self.vm) return
        val peer = world.peers.getOrPut(from.vm) { Peer(from) }
        if (from.incarnation != peer.incarnation) {
            val isSilent = tick.nowMs - peer.heardMs > REPLACED_MS
            if (from.incarnation < peer.incarnation && !isSilent) return
            peer.identity = from
            peer.heardSentMs = 0
            peer.revision = 0
        }
        if (message.sentMs <= peer.heardSentMs) return
        peer.heardMs = tick.nowMs
        peer.heardSentMs = message.sentMs
        peer.isDraining = message.isDraining
        peer.isReady = message.isReady
        peer.revision = message.revision
        peer.services = message.services.associateBy { it.service }
        peer.shares = message.shares
        peer.relayedSince = 0
        if (message.echoMs > 0) echo(peer, tick.nowMs - message.echoMs - message.echoHeldMs, tick)
        message.cached.forEach { noteCached(world, it) }
        for (other in message.others) {
            if (other.vm != world.self.vm && other.vm !in world.peers) {
                contacts.getOrPut(other.gossip) { Long.MIN_VALUE / 2 }
            }
        }
    }

    private fun echo(peer: Peer, roundTripMs: Long, tick: GatewayTick) {
        peer.echoedMs = tick.nowMs
        val sample = roundTripMs.coerceAtLeast(0).toDouble()
        peer.roundTripMs = if (peer.roundTripMs == 0.0) {
            sample
        } else {
            peer.roundTripMs + ROUND_TRIP_WEIGHT * (sample - peer.roundTripMs)
        }
    }

    private fun noteCached(world: GatewayWorld, cached: CachedPart) {
        val backend = world.backends[cached.server] ?: return
        val engine = world.catalog?.service(backend.record.service)?.engine ?: return
        backend.cache.add(PromptPart(cached.part, cached.tokens), engine.kvCapacityTokens)
    }

    private fun judge(world: GatewayWorld, tick: GatewayTick) {
        for (peer in world.peers) {
            val isLive = tick.nowMs - peer.heardMs < SILENT_MS &&
                tick.nowMs - peer.echoedMs < ECHO_MS
            if (isLive == peer.isLive) continue
            peer.isLive = isLive
            val event = if (isLive) LogEvent.VM_LIVE else LogEvent.VM_DEAD
            val details = mapOf(
                "peer" to peer.vm,
                "incarnation" to peer.incarnation,
                "silentMs" to tick.nowMs - peer.heardMs,
            )
            tick.journal.log(event, details)
            tick.journal.count(Counter.MEMBERSHIP, if (isLive) "live" else "dead")
        }
        world.peers.removeIf { tick.nowMs - it.heardMs > FORGET_MS }
    }

    private fun send(world: GatewayWorld, tick: GatewayTick, isUrgent: Boolean) {
        val near = message(world, tick, isNear = true)
        val far = message(world, tick, isNear = false)
        var isNearSent = false
        for (peer in world.peers) {
            val isNear = peer.identity.region == world.self.region
            val intervalMs = if (isNear) NEAR_INTERVAL_MS else FAR_INTERVAL_MS
            if (!isUrgent && tick.nowMs - peer.sentMs < intervalMs) continue
            peer.sentMs = tick.nowMs
            val base = if (isNear) near else far
            val echoed = base.copy(
                echoMs = peer.heardSentMs,
                echoHeldMs = tick.nowMs - peer.heardMs,
            )
            tick.give(SendGossip(peer.identity.gossip, echoed))
            isNearSent = isNearSent || isNear
        }
        greet(world, tick, far)
        if (isNearSent) world.recentlyCached.clear()
    }

    /** Sends to seeds and to VMs that others named, until they answer. */
    private fun greet(world: GatewayWorld, tick: GatewayTick, message: GossipMessage) {
        val known = world.peers.map { it.identity.gossip }.toSet() + world.self.gossip
        for (seed in world.seeds) contacts.getOrPut(seed) { Long.MIN_VALUE / 2 }
        contacts.keys.removeIf { it in known && it !in world.seeds }
        val isStarting = tick.nowMs - (world.process.startedMs ?: tick.nowMs) < STARTING_MS
        val intervalMs = if (isStarting) GREETING_INTERVAL_MS else FAR_INTERVAL_MS
        for ((address, sentMs) in contacts) {
            if (address in known || tick.nowMs - sentMs < intervalMs) continue
            contacts[address] = tick.nowMs
            tick.give(SendGossip(address, message))
        }
    }

    private fun message(world: GatewayWorld, tick: GatewayTick, isNear: Boolean): GossipMessage {
        val view = world.process.view
        val others = world.peers.filter { it.isLive }.shuffled(tick.random).take(MOST_OTHERS)
        return GossipMessage(
            from = world.self,
            sentMs = tick.nowMs + 1,
            isDraining = world.process.isDraining,
            isReady = world.process.isReady,
            revision = view?.revision ?: 0,
            shares = if (isNear) shares(world) else emptyList(),
            services = if (isNear) emptyList() else services(world, tick),
            cached = if (isNear) world.recentlyCached.takeLast(MOST_PARTS) else emptyList(),
            others = others.map { PeerAddress(it.vm, it.identity.gossip) },
        )
    }

    private fun shares(world: GatewayWorld): List<ServerShare> =
        world.backends.filter { it.inFlight > 0 }
            .map { ServerShare(it.id, it.inFlight, it.pendingPromptTokens) }

    private fun services(world: GatewayWorld, tick: GatewayTick): List<ServiceLoad> =
        world.catalog?.services.orEmpty()
            .map { placement.summary(world, it.id, tick.nowMs) }
            .filter { it.places > 0 }

    private fun sumShares(world: GatewayWorld) {
        for (backend in world.backends) {
            backend.peerInFlight = 0
            backend.peerPendingTokens = 0
        }
        for (peer in world.livePeersHere()) {
            for (share in peer.shares) {
                val backend = world.backends[share.server] ?: continue
                backend.peerInFlight += share.inFlight
                backend.peerPendingTokens += share.pendingPromptTokens
            }
        }
    }
}
