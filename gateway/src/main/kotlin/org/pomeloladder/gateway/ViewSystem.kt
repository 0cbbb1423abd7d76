/*
 * Applies views of what the platform publishes, received from the platform or from a peer, and
 * updates the table of backend servers accordingly. Nothing older replaces anything newer; what the
 * platform lost by coming back from an older copy stays in force until it is written again.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/**
 * Time for which a server stays usable after its entry disappeared. Entries that expired during an
 * outage of the platform reappear within two seconds of its return.
 */
private const val MISSING_RETENTION_MS = 2_200L

/**
 * Subtracted from the limit on drains, to allow for the time in which a change reaches this
 * process.
 */
private const val DRAIN_MARGIN_MS = 1_000L

/**
 * The view of a peer is fetched when the platform watch has not delivered that peer's revision for
 * this long.
 */
private const val FETCH_DELAY_MS = 700L

/** Minimum time between two fetches. An answer takes at most one round trip between regions. */
private const val FETCH_INTERVAL_MS = 500L

/** Applies received views, and fetches the view of a peer when this process has fallen behind. */
class ViewSystem : GatewaySystem {
    private var behindSinceMs: Long? = null
    private var lastFetchMs = Long.MIN_VALUE / 2

    /** The last catalog version that was not taken because a newer one is in force. */
    private var lastIgnoredVersion: Long? = null

    /** Peers asked for their view since this process fell behind. */
    private val askedPeers = HashSet<VmId>()

    private val lostWrites = LostWrites()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<PlatformReachability> { updateReachability(world, tick, it) }
        tick.each<ConfigurationUnreadable> {
            tick.journal.log(LogEvent.CONFIG_UNREADABLE, mapOf("revision" to it.revision))
        }
        tick.each<ViewNotReceived> {
            val details = mapOf("peer" to it.from, "cause" to it.cause)
            tick.journal.log(LogEvent.PEER_VIEW_MISSING, details)
        }
        tick.each<ViewReceived> { apply(world, tick, it) }
        endLostWrites(world, tick)
        removeMissing(world, tick)
        fetchFromPeer(world, tick)
    }

    private fun updateReachability(
        world: GatewayWorld,
        tick: GatewayTick,
        platform: PlatformReachability,
    ) {
        if (world.process.isPlatformReachable == platform.isReachable) return
        world.process.isPlatformReachable = platform.isReachable
        val revision = world.process.view?.revision
        if (platform.isReachable) {
            tick.journal.log(LogEvent.PLATFORM_REACHABLE, mapOf("revision" to revision))
        } else {
            val details = mapOf("revision" to revision, "cause" to platform.cause)
            tick.journal.log(LogEvent.PLATFORM_UNREACHABLE, details)
        }
    }

    private fun apply(world: GatewayWorld, tick: GatewayTick, received: ViewReceived) {
        val latest = world.process.receivedView
        val view = latest?.updatedBy(received.view) ?: received.view
        if (view === latest) return
        world.process.receivedView = view
        if (view.catalog.version > received.view.catalog.version) logOlder(tick, received.view)
        if (latest?.catalog != view.catalog) logCatalog(tick, received)
        if (latest != null && view.era > latest.era) {
            val known = checkNotNull(world.process.view)
            lostWrites.compare(known, view, tick.nowMs)
            logNewEra(tick, view, latest)
        }
        putInForce(world, tick, view)
    }

    /** Ends lost writes that nobody has written again in time. */
    private fun endLostWrites(world: GatewayWorld, tick: GatewayTick) {
        val endMs = lostWrites.nextEndMs ?: return
        if (tick.nowMs < endMs) return tick.wakeAt(endMs)
        world.process.receivedView?.let { putInForce(world, tick, it) }
    }

    private fun putInForce(world: GatewayWorld, tick: GatewayTick, received: PublishedView) {
        val before = world.process.view
        val view = lostWrites.applyTo(received, tick.nowMs)
        world.process.view = view
        world.process.viewVersion++
        if (before?.era == view.era) lostWrites.recordEndedLives(before, view, tick.nowMs)
        val restored = before?.evacuated.orEmpty() - view.evacuated
        for (domain in view.evacuated - before?.evacuated.orEmpty()) {
            tick.journal.log(LogEvent.DOMAIN_EVACUATED, mapOf("domain" to domain))
        }
        updateBackends(world, tick, view, restored)
    }

    private fun logNewEra(tick: GatewayTick, view: PublishedView, latest: PublishedView) {
        val details = mapOf(
            "era" to view.era,
            "revision" to view.revision,
            "lastEra" to latest.era,
            "lastRevision" to latest.revision,
            "lostWrites" to lostWrites.size,
        )
        tick.journal.log(LogEvent.PLATFORM_RESTORED, details)
    }

    private fun logOlder(tick: GatewayTick, view: PublishedView) {
        if (view.catalog.version == lastIgnoredVersion) return
        lastIgnoredVersion = view.catalog.version
        val details = mapOf(
            "version" to view.catalog.version,
            "revision" to view.revision,
            "era" to view.era,
        )
        tick.journal.log(LogEvent.CONFIG_OLDER_IGNORED, details)
    }

    private fun logCatalog(tick: GatewayTick, received: ViewReceived) {
        val details = mapOf(
            "version" to received.view.catalog.version,
            "revision" to received.view.revision,
            "era" to received.view.era,
            "source" to received.source,
            "routes" to received.view.catalog.routes.size,
        )
        tick.journal.log(LogEvent.CONFIG_IN_FORCE, details)
        tick.journal.count(Counter.CONFIG_ENTRIES, "in-force")
    }

    private fun updateBackends(
        world: GatewayWorld,
        tick: GatewayTick,
        view: PublishedView,
        restored: Set<FailureDomainId>,
    ) {
        val present = HashSet<BackendServerId>()
        for (record in view.backends) {
            present += record.id
            val backend = world.backends.getOrPut(record.id) { newBackend(world, record, tick) }
            updateBackend(backend, record, tick)
            backend.missingSinceMs = null
            if (record.domain in restored && world.regionOf(record.domain) == world.self.region) {
                backend.isHealthCheckPending = true
            }
        }
        for (backend in world.backends) {
            if (backend.id in present || backend.missingSinceMs != null) continue
            backend.missingSinceMs = tick.nowMs
        }
    }

    private fun newBackend(
        world: GatewayWorld,
        record: BackendRecord,
        tick: GatewayTick,
    ): Backend {
        val details = mapOf(
            "server" to record.id,
            "service" to record.service,
            "domain" to record.domain,
            "coldForMs" to record.coldForMs,
        )
        tick.journal.log(LogEvent.BACKEND_ADDED, details)
        val backend = Backend(record).apply {
            life.version = record.version
            life.coldUntilMs = tick.nowMs + record.coldForMs
        }
        // Sends continue while the entry of their server is missing, so a new row counts those
        // still in progress.
        for (send in world.sends) {
            if (send.place != SendPlace.AtServer(record.id)) continue
            backend.inFlight++
            backend.pending.add(send.priority, send.pendingTokens)
        }
        return backend
    }

    private fun updateBackend(backend: Backend, record: BackendRecord, tick: GatewayTick) {
        val before = backend.record
        if (before == record) return
        if (record.isDraining && !before.isDraining) {
            backend.life.drainingSinceMs = tick.nowMs
            tick.journal.log(LogEvent.BACKEND_LEAVING, mapOf("server" to record.id))
            tick.emit(CloseIdleConnections(record.id))
        }
        if (record.startedAtUnixMs != before.startedAtUnixMs) startLife(backend, record, tick)
        if (record.version != before.version) backend.life.version = record.version
        if (record.coldForMs > 0) {
            backend.life.coldUntilMs =
                maxOf(backend.life.coldUntilMs, tick.nowMs + record.coldForMs)
        }
        backend.record = record
    }

    /**
     * Drops what is known of the earlier life except how long the server may be cold. A doubt stays,
     * since it may have arisen after the entry was written; a check is due at once. An entry that
     * comes late may be that of a life that has said since that it leaves.
     */
    private fun startLife(backend: Backend, record: BackendRecord, tick: GatewayTick) {
        val before = backend.life
        backend.life = ServerLife(tick.nowMs, record.version)
        backend.life.coldUntilMs = before.coldUntilMs
        backend.life.maybeLeavingSinceMs = before.leavingSinceMs ?: before.maybeLeavingSinceMs
        if (backend.life.maybeLeavingSinceMs != null) backend.isHealthCheckPending = true
        backend.doubt?.isChecked = false
    }

    private fun removeMissing(world: GatewayWorld, tick: GatewayTick) {
        var nextMs = Long.MAX_VALUE
        val retentionMs = minOf(MISSING_RETENTION_MS, world.bounds.drainMs - DRAIN_MARGIN_MS)
        world.backends.removeIf { backend ->
            val sinceMs = backend.missingSinceMs
            val isGone = sinceMs != null && tick.nowMs - sinceMs >= retentionMs
            if (sinceMs != null && !isGone) nextMs = minOf(nextMs, sinceMs + retentionMs)
            if (isGone) {
                val startedAtUnixMs = backend.record.startedAtUnixMs
                lostWrites.recordEndedLife(backend.id, startedAtUnixMs, tick.nowMs)
                tick.journal.log(LogEvent.BACKEND_GONE, mapOf("server" to backend.id))
                tick.emit(CloseIdleConnections(backend.id))
            }
            isGone
        }
        if (nextMs != Long.MAX_VALUE) tick.wakeAt(nextMs)
    }

    private fun fetchFromPeer(world: GatewayWorld, tick: GatewayTick) {
        val peersAhead = world.peers.filter { it.isLive && isAhead(it, world.process.receivedView) }
        if (peersAhead.isEmpty()) {
            behindSinceMs = null
            askedPeers.clear()
            return
        }
        val sinceMs = behindSinceMs ?: tick.nowMs.also { behindSinceMs = it }
        val dueMs = maxOf(sinceMs + FETCH_DELAY_MS, lastFetchMs + FETCH_INTERVAL_MS)
        if (tick.nowMs < dueMs) {
            tick.wakeAt(dueMs)
            return
        }
        lastFetchMs = tick.nowMs
        tick.emit(FetchView(selectPeer(peersAhead).identity.relay))
        tick.wakeAt(tick.nowMs + FETCH_INTERVAL_MS)
    }

    private fun isAhead(peer: Peer, view: PublishedView?): Boolean = view == null ||
        peer.position > view.position ||
        view.isCatalogOlderThan(
            peer.catalogVersion,
            // Within one era, a version has one content.
            PlatformPosition(peer.catalogEra, view.catalogPosition.revision),
        )

    /** Returns the nearest of [peers] that was not asked yet, since others may not answer. */
    private fun selectPeer(peers: List<Peer>): Peer {
        if (peers.all { it.vm in askedPeers }) askedPeers.clear()
        val selected = peers.filter { it.vm !in askedPeers }.minBy { it.roundTripMs }
        askedPeers += selected.vm
        return selected
    }
}
