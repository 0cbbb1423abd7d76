/*
 * Takes views of what the platform publishes, from the platform or from a peer, and keeps the table of backend servers
 * in line with them. A view never replaces a newer one.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.LogEvent

/**
 * Time for which a server whose entry disappeared stays usable. Entries that lapsed while the platform was away are back
 * within two seconds of its return.
 */
private const val MISSING_HOLD_MS = 2_200L

/** Kept of the bound on drains, for the time in which a change reaches this process. */
private const val DRAIN_RESERVE_MS = 1_000L

/** A view of a peer is fetched when the own watch has not delivered the same revision for this long. */
private const val BEHIND_MS = 700L

/** Time between two fetches; an answer takes at most a round trip between regions. */
private const val FETCH_INTERVAL_MS = 500L

/** Applies views. */
class ViewSystem : GatewaySystem {
    private var behindSinceMs: Long? = null
    private var fetchedMs = Long.MIN_VALUE / 2

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        tick.each<PlatformReachability> { contact(world, tick, it.isReachable) }
        tick.each<ViewReceived> { apply(world, tick, it) }
        dropMissing(world, tick)
        fetchFromPeer(world, tick)
    }

    private fun contact(world: GatewayWorld, tick: GatewayTick, isReachable: Boolean) {
        if (world.process.isPlatformReachable == isReachable) return
        world.process.isPlatformReachable = isReachable
        val event = if (isReachable) {
            LogEvent.PLATFORM_REACHABLE
        } else {
            LogEvent.PLATFORM_UNREACHABLE
        }
        tick.journal.log(event, mapOf("revision" to world.process.view?.revision))
    }

    private fun apply(world: GatewayWorld, tick: GatewayTick, read: ViewReceived) {
        val before = world.process.view
        val view = read.view
        if (before != null && view.revision <= before.revision) return
        if (before != null && view.catalog.version < before.catalog.version) {
            val details = mapOf("version" to view.catalog.version, "revision" to view.revision)
            tick.journal.log(LogEvent.CONFIG_OLDER_IGNORED, details)
            return
        }
        world.process.view = view
        if (before?.catalog?.version != view.catalog.version) logCatalog(tick, read)
        val returned = before?.evacuated.orEmpty() - view.evacuated
        for (domain in view.evacuated - before?.evacuated.orEmpty()) {
            tick.journal.log(LogEvent.DOMAIN_EVACUATED, mapOf("domain" to domain))
        }
        updateBackends(world, tick, view, returned)
    }

    private fun logCatalog(tick: GatewayTick, read: ViewReceived) {
        val details = mapOf(
            "version" to read.view.catalog.version,
            "revision" to read.view.revision,
            "source" to read.source,
            "routes" to read.view.catalog.routes.size,
        )
        tick.journal.log(LogEvent.CONFIG_IN_FORCE, details)
        tick.journal.count(Counter.CONFIG_ENTRIES, "in-force")
    }

    private fun updateBackends(
        world: GatewayWorld,
        tick: GatewayTick,
        view: PublishedView,
        returned: Set<FailureDomainId>,
    ) {
        val present = HashSet<BackendServerId>()
        for (record in view.backends) {
            present += record.id
            val backend = world.backends.getOrPut(record.id) { newBackend(world, record, tick) }
            update(backend, record, tick)
            backend.missingSinceMs = null
            if (record.domain in returned && world.regionOf(record.domain) == world.self.region) {
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
        val backend = Backend(record).apply { coldUntilMs = tick.nowMs + record.coldForMs }
        // Sends outlive the row of a server whose entry was away.
        for (send in world.sends) {
            if (send.place != SendPlace.AtServer(record.id)) continue
            backend.inFlight++
            backend.pending.add(send.priority, send.pendingTokens)
        }
        return backend
    }

    private fun update(backend: Backend, record: BackendRecord, tick: GatewayTick) {
        val before = backend.record
        if (before == record) return
        if (record.isDraining && !before.isDraining) {
            backend.drainingSinceMs = tick.nowMs
            tick.journal.log(LogEvent.BACKEND_LEAVING, mapOf("server" to record.id))
            tick.emit(CloseIdleConnections(record.id))
        }
        if (record.startedAtUnixMs != before.startedAtUnixMs) {
            backend.cache.clear()
            backend.drainingSinceMs = null
            backend.unreachableUntilMs = 0
            backend.isReplaced = false
        }
        if (record.coldForMs > 0) {
            backend.coldUntilMs = maxOf(backend.coldUntilMs, tick.nowMs + record.coldForMs)
        }
        backend.record = record
    }

    private fun dropMissing(world: GatewayWorld, tick: GatewayTick) {
        var nextMs = Long.MAX_VALUE
        val holdMs = minOf(MISSING_HOLD_MS, world.bounds.drainMs - DRAIN_RESERVE_MS)
        world.backends.removeIf { backend ->
            val sinceMs = backend.missingSinceMs
            val isGone = sinceMs != null && tick.nowMs - sinceMs >= holdMs
            if (sinceMs != null && !isGone) nextMs = minOf(nextMs, sinceMs + holdMs)
            if (isGone) {
                tick.journal.log(LogEvent.BACKEND_GONE, mapOf("server" to backend.id))
                tick.emit(CloseIdleConnections(backend.id))
            }
            isGone
        }
        if (nextMs != Long.MAX_VALUE) tick.wakeAt(nextMs)
    }

    private fun fetchFromPeer(world: GatewayWorld, tick: GatewayTick) {
        val own = world.process.view?.revision ?: -1
        val ahead = world.peers
            .filter { it.isLive && it.revision > own }
            .minByOrNull { it.roundTripMs }
        if (ahead == null) {
            behindSinceMs = null
            return
        }
        val sinceMs = behindSinceMs ?: tick.nowMs.also { behindSinceMs = it }
        val dueMs = maxOf(sinceMs + BEHIND_MS, fetchedMs + FETCH_INTERVAL_MS)
        if (tick.nowMs < dueMs) {
            tick.wakeAt(dueMs)
            return
        }
        fetchedMs = tick.nowMs
        tick.emit(FetchView(ahead.identity.relay))
        tick.wakeAt(tick.nowMs + FETCH_INTERVAL_MS)
    }
}
