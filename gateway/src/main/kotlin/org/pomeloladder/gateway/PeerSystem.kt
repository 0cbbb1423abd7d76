/*
 * Gossip membership: exchanges datagrams with other entry VMs, detects which of them are live, and
 * adds up the load that the VMs of this region put on its backend servers.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/**
 * Minimum intervals between datagrams to VMs of this region, which share its servers, and of other
 * regions.
 */
private const val MIN_LOCAL_INTERVAL_MS = 250L
private const val MIN_REMOTE_INTERVAL_MS = 500L

/**
 * Maximum number of datagrams per second to this region and to other regions. The intervals grow
 * with the number of VMs to stay below it: a datagram costs each end about 0.3 ms of CPU time, and
 * a VM may spend 2.2% of a core on control.
 */
private const val MAX_LOCAL_PER_S = 20L
private const val MAX_REMOTE_PER_S = 8L

/**
 * Interval of discovery datagrams during startup. VMs that start together find each other within a
 * few intervals.
 */
private const val DISCOVERY_INTERVAL_MS = 120L
private const val STARTUP_PERIOD_MS = 5_000L

/**
 * A VM is considered dead after this time without datagrams, and not before this many intervals
 * have passed.
 */
private const val MIN_TIMEOUT_MS = 2_000L
private const val MIN_MISSED_INTERVALS = 3

/**
 * Additional time for a peer to echo this VM's clock. Without an echo the link may work in one
 * direction only.
 */
private const val ECHO_MARGIN_MS = 1_500L

/** A VM is removed from the table after this time without datagrams. */
private const val PEER_RETENTION_MS = 60_000L

/** Interval at which the links into other regions are selected again. */
private const val LINK_SELECTION_INTERVAL_MS = 500L
private const val MS_PER_S = 1_000L

/**
 * A lower incarnation is accepted once the known one was silent for this long, since the clock of a
 * restarted VM may have stepped back.
 */
private const val RESTART_SILENCE_MS = 1_000L

/** Weight of a new sample in the moving average of the round-trip time. */
private const val ROUND_TRIP_WEIGHT = 0.2

/** Maximum number of cached parts in one datagram, so that it fits into one packet. */
private const val MAX_CACHED_PARTS = 12

/** Maximum number of limits in one datagram, and the time for which one is told after an answer. */
private const val MAX_LIMIT_REPORTS = 16
private const val LIMIT_REPORT_MS = 10_000L

/** Maximum number of other VMs listed in one datagram. */
private const val MAX_LISTED_VMS = 5

/** Minimum interval between datagrams that are sent early because of new evidence. */
private const val MIN_EVIDENCE_INTERVAL_MS = 100L

/** Minimum interval between scans of the peer table. Ticks run much more often, on every event. */
private const val SCAN_INTERVAL_MS = 20L

/**
 * State of this VM whose changes are sent at once, since the directories and relays of other VMs
 * depend on it.
 */
private data class AnnouncedState(val isReady: Boolean = false, val isDraining: Boolean = false)

/**
 * Send schedule for the peers of this region or for those of other regions. All peers of a schedule
 * are sent to in the same tick, so that none misses the cached parts that were collected since the
 * previous datagrams.
 */
private class SendSchedule(var intervalMs: Long) {
    var sentMs = Long.MIN_VALUE / 2

    fun isDue(nowMs: Long) = nowMs - sentMs >= intervalMs
}

/** Exchanges datagrams and maintains the table of peers. */
class PeerSystem(private val self: PeerIdentity, private val placement: PlacementPolicy) :
    GatewaySystem {
    private val links = RegionLinks(self)
    private val probedMs = HashMap<Address, Long>()
    private var announcedState = AnnouncedState()
    private var announcedEvidence = 0L
    private var evidenceSentMs = Long.MIN_VALUE / 2
    private var lastScanMs = Long.MIN_VALUE / 2
    private var lastSelectionMs = Long.MIN_VALUE / 2

    /** Versions of membership and view for which the peers' load was last added up. */
    private var totalsMembershipVersion = -1L
    private var totalsViewVersion = -1L
    private val local = SendSchedule(MIN_LOCAL_INTERVAL_MS)
    private val remote = SendSchedule(MIN_REMOTE_INTERVAL_MS)

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        if (world.process.startedMs == null) world.process.startedMs = tick.nowMs
        var hasReceived = false
        tick.each<GossipReceived> {
            receive(world, tick, it.message, it.echo)
            hasReceived = true
        }
        val state = AnnouncedState(world.process.isReady, world.process.isDraining)
        val hasStateChanged = state != announcedState
        if (hasReceived || hasStateChanged || tick.nowMs - lastScanMs >= SCAN_INTERVAL_MS) {
            lastScanMs = tick.nowMs
            updateLinks(world, tick)
            updateLiveness(world, tick)
            sendDue(world, tick, isUrgent = hasStateChanged || hasEvidenceToSend(world, tick))
            announcedState = state
        }
        if (hasReceived || areTotalsStale(world)) updatePeerTotals(world)
        tick.wakeAt(tick.nowMs + MIN_LOCAL_INTERVAL_MS / 2)
    }

    /** Whether evidence about prompt parts is sent now instead of with the next datagrams. */
    private fun hasEvidenceToSend(world: GatewayWorld, tick: GatewayTick): Boolean {
        val version = world.process.evidenceVersion
        if (version == announcedEvidence) return false
        if (tick.nowMs - evidenceSentMs < MIN_EVIDENCE_INTERVAL_MS) return false
        announcedEvidence = version
        evidenceSentMs = tick.nowMs
        return true
    }

    private fun updateLinks(world: GatewayWorld, tick: GatewayTick) {
        if (tick.nowMs - lastSelectionMs < LINK_SELECTION_INTERVAL_MS) return
        lastSelectionMs = tick.nowMs
        links.selectLinks(tick.nowMs) { vm ->
            world.peers[vm]?.let { tick.nowMs - it.lastHeardMs < MIN_TIMEOUT_MS } == true
        }
        world.process.knownVms = links.knownVmCount
        if (world.process.listedRegionVms != links.regionVms) {
            world.process.listedRegionVms = links.regionVms.toSet()
            world.process.membershipVersion++
        }
        if (!world.process.hasMetSeeds) {
            world.process.hasMetSeeds = world.seeds.all { links.knowsAddress(it) }
        }
        val localPeers = world.peers.count { isLocal(it) }
        val remotePeers = world.peers.count { !isLocal(it) && isLinked(it) }
        local.intervalMs =
            maxOf(MIN_LOCAL_INTERVAL_MS, localPeers * MS_PER_S / MAX_LOCAL_PER_S)
        remote.intervalMs =
            maxOf(MIN_REMOTE_INTERVAL_MS, remotePeers * MS_PER_S / MAX_REMOTE_PER_S)
    }

    /** Whether [peer] belongs to the region of this VM. */
    private fun isLocal(peer: Peer) = peer.identity.region == self.region

    /** Whether datagrams are sent to [peer] regularly. */
    private fun isLinked(peer: Peer) =
        isLocal(peer) || peer.isLinkWanted || peer.vm in links.linkedVms

    private fun intervalMs(peer: Peer) = if (isLocal(peer)) local.intervalMs else remote.intervalMs

    private fun receive(
        world: GatewayWorld,
        tick: GatewayTick,
        message: GossipMessage,
        echo: GossipEcho,
    ) {
        val from = message.from
        if (from.vm == self.vm) return
        val peer = world.peers.getOrPut(from.vm) {
            world.process.membershipVersion++
            Peer(from)
        }
        if (from.incarnation != peer.incarnation) {
            val isSilent = tick.nowMs - peer.lastHeardMs > RESTART_SILENCE_MS
            if (from.incarnation < peer.incarnation && !isSilent) return
            peer.identity = from
            peer.latestSentMs = 0
            peer.position = PlatformPosition(PlatformEra.UNKNOWN, 0)
            peer.catalogVersion = 0
            peer.catalogEra = PlatformEra.UNKNOWN
            world.process.membershipVersion++
        }
        removeReplaced(world, from)
        if (message.sentMs <= peer.latestSentMs) return
        peer.lastHeardMs = tick.nowMs
        peer.latestSentMs = message.sentMs
        if (peer.isDraining != message.isDraining || peer.isReady != message.isReady) {
            world.process.membershipVersion++
        }
        peer.isDraining = message.isDraining
        peer.isReady = message.isReady
        peer.isLinkWanted = echo.isLinkWanted
        peer.position = PlatformPosition(message.era, message.revision)
        peer.catalogVersion = message.catalogVersion
        peer.catalogEra = message.catalogEra
        peer.services = message.services.associateBy { it.service }
        peer.shares = message.shares
        peer.relayedSinceDatagram = 0
        if (echo.echoMs > 0) recordEcho(peer, tick.nowMs - echo.echoMs - echo.echoDelayMs, tick)
        message.cached.forEach { recordCachedPart(world, it) }
        message.limits.forEach { report ->
            val backend = world.backends[report.server] ?: return@forEach
            val atMs = tick.nowMs - report.ageMs.coerceAtLeast(0)
            if (atMs >= backend.life.learnedMs) recordLimit(tick, backend, report.perS, atMs)
        }
        links.addAddress(PeerAddress(from.vm, from.gossip, from.region), tick.nowMs)
        message.others.forEach { links.addAddress(it, tick.nowMs) }
    }

    /** Removes the VMs that had the address of [vm] before it, maybe in another region. */
    private fun removeReplaced(world: GatewayWorld, vm: PeerIdentity) {
        fun isReplaced(peer: Peer) = peer.vm != vm.vm &&
            peer.identity.gossip == vm.gossip &&
            peer.incarnation < vm.incarnation
        if (world.peers.none(::isReplaced)) return
        world.peers.removeIf(::isReplaced)
        world.process.membershipVersion++
    }

    private fun recordEcho(peer: Peer, roundTripMs: Long, tick: GatewayTick) {
        peer.lastEchoMs = tick.nowMs
        val sample = roundTripMs.coerceAtLeast(0).toDouble()
        peer.roundTripMs = if (peer.roundTripMs == 0.0) {
            sample
        } else {
            peer.roundTripMs + ROUND_TRIP_WEIGHT * (sample - peer.roundTripMs)
        }
    }

    private fun recordCachedPart(world: GatewayWorld, cached: CachedPart) {
        val backend = world.backends[cached.server] ?: return
        val engine = world.catalog?.service(backend.record.service)?.engine ?: return
        backend.life.cache.add(PromptPart(cached.part, cached.tokens), engine.kvCapacityTokens)
    }

    private fun updateLiveness(world: GatewayWorld, tick: GatewayTick) {
        for (peer in world.peers) {
            val timeoutMs = maxOf(MIN_TIMEOUT_MS, intervalMs(peer) * MIN_MISSED_INTERVALS)
            val isLive = tick.nowMs - peer.lastHeardMs < timeoutMs &&
                tick.nowMs - peer.lastEchoMs < timeoutMs + ECHO_MARGIN_MS
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
        val peerCount = world.peers.size
        world.peers.removeIf { tick.nowMs - it.lastHeardMs > PEER_RETENTION_MS }
        if (world.peers.size < peerCount) world.process.membershipVersion++
    }

    private fun sendDue(world: GatewayWorld, tick: GatewayTick, isUrgent: Boolean) {
        if (isUrgent || local.isDue(tick.nowMs)) {
            sendAll(
                tick,
                local,
                world.peers.filter { isLocal(it) },
                messageFor(world, tick, true),
            )
            world.recentlyCached.clear()
        }
        if (isUrgent || remote.isDue(tick.nowMs)) {
            val linked = world.peers.filter { !isLocal(it) && isLinked(it) }
            if (linked.isNotEmpty()) sendAll(tick, remote, linked, messageFor(world, tick, false))
        }
        probeUnknownAddresses(world, tick)
    }

    private fun sendAll(
        tick: GatewayTick,
        schedule: SendSchedule,
        peers: List<Peer>,
        message: GossipMessage,
    ) {
        schedule.sentMs = tick.nowMs
        for (peer in peers) {
            val echo = GossipEcho(
                echoMs = peer.latestSentMs,
                echoDelayMs = tick.nowMs - peer.lastHeardMs,
                isLinkWanted = peer.vm in links.linkedVms,
            )
            tick.emit(SendGossip(peer.identity.gossip, message, echo))
        }
    }

    /** Sends datagrams to seeds and to VMs that peers have listed until they answer. */
    private fun probeUnknownAddresses(world: GatewayWorld, tick: GatewayTick) {
        val known = world.peers.map { it.identity.gossip }.toSet() + self.gossip
        val unknown = (world.seeds + links.contactAddresses().map { it.gossip }).toSet() - known
        probedMs.keys.retainAll(unknown)
        val isStarting = tick.nowMs - (world.process.startedMs ?: tick.nowMs) < STARTUP_PERIOD_MS
        val intervalMs = if (isStarting) DISCOVERY_INTERVAL_MS else MIN_REMOTE_INTERVAL_MS
        val due = unknown.filter { address ->
            probedMs[address]?.let { tick.nowMs - it >= intervalMs } ?: true
        }
        if (due.isEmpty()) return
        val probe = messageFor(world, tick, isLocal = false)
        for (address in due) {
            probedMs[address] = tick.nowMs
            tick.emit(SendGossip(address, probe, GossipEcho(isLinkWanted = true)))
        }
    }

    /** Builds the message for the peers of this region if [isLocal] is set, or of other regions. */
    private fun messageFor(
        world: GatewayWorld,
        tick: GatewayTick,
        isLocal: Boolean,
    ): GossipMessage {
        val view = world.process.view
        val others = world.peers.filter { it.isLive }.shuffled(tick.random).take(MAX_LISTED_VMS)
        return GossipMessage(
            from = world.self,
            sentMs = tick.nowMs + 1,
            isDraining = world.process.isDraining,
            isReady = world.process.isReady,
            revision = view?.revision ?: 0,
            catalogVersion = view?.catalog?.version ?: 0,
            era = view?.era ?: PlatformEra.UNKNOWN,
            catalogEra = view?.catalogPosition?.era ?: PlatformEra.UNKNOWN,
            shares = if (isLocal) loadShares(world, tick) else emptyList(),
            services = serviceLoads(world, tick),
            cached = if (isLocal) world.recentlyCached.takeLast(MAX_CACHED_PARTS) else emptyList(),
            others = others.map { PeerAddress(it.vm, it.identity.gossip, it.identity.region) },
            evidence = evidenceReports(world, tick.nowMs),
            limits = if (isLocal) limitReports(world, tick.nowMs) else emptyList(),
            restarts = if (isLocal) restartReports(world, tick) else emptyList(),
            leaving = if (isLocal) leavingReports(world, tick) else emptyList(),
            brittle = brittleReports(world, tick.nowMs),
        )
    }

    private fun limitReports(world: GatewayWorld, nowMs: Long): List<LimitReport> =
        world.backends.filter { nowMs - it.life.limit.lastLimitedMs < LIMIT_REPORT_MS }
            .sortedByDescending { it.life.limit.observedMs }
            .take(MAX_LIMIT_REPORTS)
            .map { LimitReport(it.id, it.life.limit.perS, nowMs - it.life.limit.observedMs) }

    private fun loadShares(world: GatewayWorld, tick: GatewayTick): List<ServerShare> =
        world.backends.filter { it.inFlight > 0 || it.life.recentPromptTokens >= 1 }
            .map {
                ServerShare(
                    server = it.id,
                    inFlight = it.inFlight,
                    pendingPromptTokens = it.pending.toList(),
                    recentPromptTokens = it.life.recentPromptTokens.toLong(),
                    eventGapMs = it.life.gapEstimator.ownGapMs(tick.nowMs).toFloat(),
                )
            }

    private fun serviceLoads(world: GatewayWorld, tick: GatewayTick): List<ServiceLoad> =
        world.catalog?.services.orEmpty()
            .map { placement.summarizeLoad(world, it.id, tick.nowMs) }
            .filter { it.reachedSlots > 0 }

    /** The totals depend on datagrams, on the set of live peers and on the table of servers. */
    private fun areTotalsStale(world: GatewayWorld) =
        totalsMembershipVersion != world.process.membershipVersion ||
            totalsViewVersion != world.process.viewVersion

    private fun updatePeerTotals(world: GatewayWorld) {
        totalsMembershipVersion = world.process.membershipVersion
        totalsViewVersion = world.process.viewVersion
        for (backend in world.backends) {
            backend.life.gapEstimator.clearPeerSamples()
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
                backend.life.gapEstimator.addPeerSample(share.eventGapMs.toDouble())
            }
        }
    }
}
