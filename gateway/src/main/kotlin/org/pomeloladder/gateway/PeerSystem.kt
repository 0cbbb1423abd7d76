/*
 * Membership: exchanges datagrams with the other entry VMs, decides which are live, and shares the load that each puts
 * on the backend servers of its region.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/** Shortest intervals of datagrams to VMs of the own region, which share its servers, and to others. */
private const val NEAR_INTERVAL_MS = 250L
private const val FAR_INTERVAL_MS = 500L

/**
 * Most datagrams a second to the own region and to others; intervals grow with the number of VMs. Each costs about
 * 0.3 ms of processor time at both ends, and a node may spend 2.2% of a core on control.
 */
private const val MOST_NEAR_PER_S = 20L
private const val MOST_FAR_PER_S = 8L

/** VMs that start together find each other within a few of these. */
private const val GREETING_INTERVAL_MS = 120L
private const val STARTING_MS = 5_000L

/** Least silence of a VM that is taken for dead, and at least this many lost datagrams in a row. */
private const val SILENT_MS = 2_000L
private const val SILENT_INTERVALS = 3

/** The own clock must have come back within this much more time, or the link may work one way only. */
private const val ECHO_MARGIN_MS = 1_500L

/** A VM that was silent for this long is forgotten. */
private const val FORGET_MS = 60_000L

/** Interval at which links into other regions are chosen again. */
private const val CHOICE_INTERVAL_MS = 500L
private const val MS_PER_S = 1_000L

/** A lower incarnation is taken when the known one was silent for this long: clocks may step back. */
private const val REPLACED_MS = 1_000L

/** Weight of a new round trip in the moving average. */
private const val ROUND_TRIP_WEIGHT = 0.2

/** Most parts in one datagram, so that it fits into one packet. */
private const val MOST_PARTS = 12

/** Most other VMs named in one datagram. */
private const val MOST_OTHERS = 5

/** Ticks come with every event; the table of peers is looked through no more often than this. */
private const val SCAN_INTERVAL_MS = 20L

/** What other VMs must learn at once: their directories and relays depend on it. */
private data class PeerState(val isReady: Boolean = false, val isDraining: Boolean = false)

/** Datagrams to one kind of peers, all sent at the same time, so that each receives everything that was noted. */
private class Round(var intervalMs: Long) {
    var sentMs = Long.MIN_VALUE / 2

    fun isDue(nowMs: Long) = nowMs - sentMs >= intervalMs
}

/** Exchanges datagrams and keeps the table of peers. */
class PeerSystem(private val self: PeerIdentity, private val placement: PlacementPolicy) :
    GatewaySystem {
    private val links = RegionLinks(self)
    private val greeted = HashMap<Address, Long>()
    private var told = PeerState()
    private var scannedMs = Long.MIN_VALUE / 2
    private var chosenMs = Long.MIN_VALUE / 2

    /** Membership and revision of the servers at the last sum of the peers' shares. */
    private var summedVersion = -1L
    private var summedRevision: Long? = null
    private val near = Round(NEAR_INTERVAL_MS)
    private val far = Round(FAR_INTERVAL_MS)

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        if (world.process.startedMs == null) world.process.startedMs = tick.nowMs
        var isHeard = false
        tick.each<GossipReceived> {
            receive(world, tick, it.message, it.echo)
            isHeard = true
        }
        val state = PeerState(world.process.isReady, world.process.isDraining)
        val isUrgent = state != told
        if (isHeard || isUrgent || tick.nowMs - scannedMs >= SCAN_INTERVAL_MS) {
            scannedMs = tick.nowMs
            chooseLinks(world, tick)
            judge(world, tick)
            send(world, tick, isUrgent)
            told = state
        }
        if (isHeard || isSumStale(world)) sumShares(world)
        tick.wakeAt(tick.nowMs + NEAR_INTERVAL_MS / 2)
    }

    private fun chooseLinks(world: GatewayWorld, tick: GatewayTick) {
        if (tick.nowMs - chosenMs < CHOICE_INTERVAL_MS) return
        chosenMs = tick.nowMs
        links.choose(tick.nowMs) { vm ->
            world.peers[vm]?.let { tick.nowMs - it.lastHeardMs < SILENT_MS } == true
        }
        world.process.knownVms = links.size
        val nearPeers = world.peers.count { isNear(it) }
        val farPeers = world.peers.count { !isNear(it) && isLinked(it) }
        near.intervalMs = maxOf(NEAR_INTERVAL_MS, nearPeers * MS_PER_S / MOST_NEAR_PER_S)
        far.intervalMs = maxOf(FAR_INTERVAL_MS, farPeers * MS_PER_S / MOST_FAR_PER_S)
    }

    private fun isNear(peer: Peer) = peer.identity.region == self.region

    /** Whether datagrams go to [peer] regularly. */
    private fun isLinked(peer: Peer) = isNear(peer) || peer.isLinkWanted || peer.vm in links.chosen

    private fun intervalMs(peer: Peer) = if (isNear(peer)) near.intervalMs else far.intervalMs

    private fun receive(
        world: GatewayWorld,
        tick: GatewayTick,
        message: GossipMessage,
        echo: GossipEcho,
    ) {
        val from = message.from
        if (from.vm == self.vm) return
        val peer = world.peers.getOrPut(from.vm) { Peer(from) }
        if (from.incarnation != peer.incarnation) {
            val isSilent = tick.nowMs - peer.lastHeardMs > REPLACED_MS
            if (from.incarnation < peer.incarnation && !isSilent) return
            peer.identity = from
            peer.latestSentMs = 0
            peer.revision = 0
            world.process.membershipVersion++
        }
        if (message.sentMs <= peer.latestSentMs) return
        peer.lastHeardMs = tick.nowMs
        peer.latestSentMs = message.sentMs
        if (peer.isDraining != message.isDraining || peer.isReady != message.isReady) {
            world.process.membershipVersion++
        }
        peer.isDraining = message.isDraining
        peer.isReady = message.isReady
        peer.isLinkWanted = echo.isLinkWanted
        peer.revision = message.revision
        peer.services = message.services.associateBy { it.service }
        peer.shares = message.shares
        peer.relayedSinceDatagram = 0
        if (echo.echoMs > 0) noteEcho(peer, tick.nowMs - echo.echoMs - echo.echoDelayMs, tick)
        message.cached.forEach { noteCached(world, it) }
        links.name(PeerAddress(from.vm, from.gossip, from.region), tick.nowMs)
        message.others.forEach { links.name(it, tick.nowMs) }
    }

    private fun noteEcho(peer: Peer, roundTripMs: Long, tick: GatewayTick) {
        peer.lastEchoMs = tick.nowMs
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
            val silentMs = maxOf(SILENT_MS, intervalMs(peer) * SILENT_INTERVALS)
            val isLive = tick.nowMs - peer.lastHeardMs < silentMs &&
                tick.nowMs - peer.lastEchoMs < silentMs + ECHO_MARGIN_MS
            if (isLive == peer.isLive) continue
            peer.isLive = isLive
            world.process.membershipVersion++
            val event = when {
                isLive -> LogEvent.VM_LIVE
                isLinked(peer) -> LogEvent.VM_DEAD
                else -> LogEvent.VM_UNLINKED
            }
            val details = mapOf(
                "peer" to peer.vm,
                "incarnation" to peer.incarnation,
                "silentMs" to tick.nowMs - peer.lastHeardMs,
            )
            tick.journal.log(event, details)
            tick.journal.count(Counter.MEMBERSHIP, event.name.removePrefix("VM_").lowercase())
        }
        world.peers.removeIf { tick.nowMs - it.lastHeardMs > FORGET_MS }
    }

    private fun send(world: GatewayWorld, tick: GatewayTick, isUrgent: Boolean) {
        if (isUrgent || near.isDue(tick.nowMs)) {
            sendRound(tick, near, world.peers.filter { isNear(it) }, message(world, tick, true))
            world.recentlyCached.clear()
        }
        if (isUrgent || far.isDue(tick.nowMs)) {
            val linked = world.peers.filter { !isNear(it) && isLinked(it) }
            if (linked.isNotEmpty()) sendRound(tick, far, linked, message(world, tick, false))
        }
        greet(world, tick)
    }

    private fun sendRound(
        tick: GatewayTick,
        round: Round,
        peers: List<Peer>,
        message: GossipMessage,
    ) {
        round.sentMs = tick.nowMs
        for (peer in peers) {
            val echo = GossipEcho(
                echoMs = peer.latestSentMs,
                echoDelayMs = tick.nowMs - peer.lastHeardMs,
                isLinkWanted = peer.vm in links.chosen,
            )
            tick.emit(SendGossip(peer.identity.gossip, message, echo))
        }
    }

    /** Sends to seeds and to VMs that others named, until they answer. */
    private fun greet(world: GatewayWorld, tick: GatewayTick) {
        val known = world.peers.map { it.identity.gossip }.toSet() + self.gossip
        val unknown = (world.seeds + links.wanted().map { it.gossip }).toSet() - known
        greeted.keys.retainAll(unknown)
        val isStarting = tick.nowMs - (world.process.startedMs ?: tick.nowMs) < STARTING_MS
        val intervalMs = if (isStarting) GREETING_INTERVAL_MS else FAR_INTERVAL_MS
        val due = unknown.filter { address ->
            greeted[address]?.let { tick.nowMs - it >= intervalMs } ?: true
        }
        if (due.isEmpty()) return
        val greeting = message(world, tick, isNear = false)
        for (address in due) {
            greeted[address] = tick.nowMs
            tick.emit(SendGossip(address, greeting, GossipEcho(isLinkWanted = true)))
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
            shares = if (isNear) shares(world, tick) else emptyList(),
            services = if (isNear) emptyList() else services(world, tick),
            cached = if (isNear) world.recentlyCached.takeLast(MOST_PARTS) else emptyList(),
            others = others.map { PeerAddress(it.vm, it.identity.gossip, it.identity.region) },
        )
    }

    private fun shares(world: GatewayWorld, tick: GatewayTick): List<ServerShare> =
        world.backends.filter { it.inFlight > 0 || it.recentPromptTokens >= 1 }
            .map {
                ServerShare(
                    server = it.id,
                    inFlight = it.inFlight,
                    pendingPromptTokens = it.pending.toList(),
                    recentPromptTokens = it.recentPromptTokens.toLong(),
                    eventGapMs = it.gapEstimator.ownGapMs(tick.nowMs).toFloat(),
                )
            }

    private fun services(world: GatewayWorld, tick: GatewayTick): List<ServiceLoad> =
        world.catalog?.services.orEmpty()
            .map { placement.summarizeLoad(world, it.id, tick.nowMs) }
            .filter { it.totalSlots > 0 }

    /** Sums change with datagrams, with the peers that count, and with the table of servers. */
    private fun isSumStale(world: GatewayWorld) =
        summedVersion != world.process.membershipVersion ||
            summedRevision != world.process.view?.revision

    private fun sumShares(world: GatewayWorld) {
        summedVersion = world.process.membershipVersion
        summedRevision = world.process.view?.revision
        for (backend in world.backends) {
            backend.gapEstimator.clearPeerSamples()
            backend.peerInFlight = 0
            backend.peerPending.clear()
            backend.peerRecentPromptTokens = 0
        }
        for (peer in world.liveRegionPeers()) {
            for (share in peer.shares) {
                val backend = world.backends[share.server] ?: continue
                backend.peerInFlight += share.inFlight
                backend.peerPending.add(share.pendingPromptTokens)
                backend.peerRecentPromptTokens += share.recentPromptTokens
                backend.gapEstimator.addPeerSample(share.eventGapMs.toDouble())
            }
        }
    }
}
