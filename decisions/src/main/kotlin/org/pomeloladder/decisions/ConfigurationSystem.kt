/*
 * Maintains the configuration in force. It applies entries and snapshots from the platform and from
 * peers, never returns to an older position, and decides whether this process is one of the
 * watchers of its failure domain, which read from the platform.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.Verdict
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.digest
import org.pomeloladder.configuration.digestAfter
import org.pomeloladder.configuration.fold

/** Number of log entries that a process keeps for peers that are behind. */
const val MAX_RECENT_ENTRIES = 256

/**
 * Number of entry VMs of a failure domain that watch the platform. With two, one watcher remains if
 * the other fails.
 */
const val WATCHERS_PER_DOMAIN = 2

/** Interval between requests for entries while a process lacks them or has no configuration. */
const val CONFIG_REQUEST_INTERVAL_MS = 300L

/** Applies configuration entries and snapshots. */
class ConfigurationSystem : TickSystem {
    private var nextRequestMs = Long.MIN_VALUE
    private var watchPosition: ConfigSequence? = null

    private var wasStartConfirmed = true

    override fun run(world: World, tick: Tick) {
        val before = world.configuration.position
        tick.each<ConfigUpdate> { applyUpdate(world, tick, it.snapshot, it.entries, from = null) }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is ConfigEntries ->
                    applyUpdate(world, tick, message.snapshot, message.entries, event.from)
                is ConfigRequest -> answer(world, tick, event, message)
                is Heartbeat -> compare(world, tick, event, message)
                is DomainSummaries -> compare(world, tick, event, message)
                else -> Unit
            }
        }
        tick.each<PlatformHealth> { updatePlatformHealth(world, tick, it.isReachable) }
        updateWatch(world, tick)
        requestMissingEntries(world, tick)
        val isConfirmed = world.process.isStartConfirmed
        if (world.configuration.position != before || isConfirmed != wasStartConfirmed) {
            wasStartConfirmed = isConfirmed
            if (world.configuration.position != before) {
                world.configuration.inForceSinceMs = tick.nowMs
            }
            tick.emit(PublishView(world.trafficView()))
        }
    }

    private fun applyUpdate(
        world: World,
        tick: Tick,
        snapshot: ConfigSnapshot?,
        entries: List<ConfigEntry>,
        from: VmId?,
    ) {
        if (snapshot != null) applySnapshot(world, tick, snapshot)
        val applied = entries.filter { applyEntry(world, tick, it) }
        if (applied.isNotEmpty()) pushToOwnDomain(world, tick, applied, from)
    }

    /**
     * Pushes new entries to the peers in this process's domain. Entries from a sender of that
     * domain are skipped, because the sender has pushed them to all of its peers.
     */
    private fun pushToOwnDomain(world: World, tick: Tick, entries: List<ConfigEntry>, from: VmId?) {
        val sender = from?.let { world.entryVms[it] }
        if (sender?.record?.domain == world.self.domain) return
        for (vm in world.entryVms) {
            val isPeer = vm.id != world.self.vm && vm.record.domain == world.self.domain
            if (isPeer) tick.emit(SendControl(vm.id, ConfigEntries(null, entries)))
        }
    }

    private fun applySnapshot(world: World, tick: Tick, offered: ConfigSnapshot) {
        val state = world.configuration
        val current = state.snapshot
        if (current != null && offered.sequence <= current.sequence) {
            if (offered.sequence < current.sequence) {
                val details = mapOf("offered" to offered.sequence, "inForce" to current.sequence)
                tick.journal.log(LogEvent.CONFIG_OLDER_IGNORED, details)
            }
            return
        }
        state.snapshot = offered
        state.digest = offered.configuration.digest()
        state.recentEntries.clear()
        logInForce(tick, offered)
    }

    /**
     * Applies [entry] if it is the next one, and returns whether it was. An entry after a gap is
     * not applied, but its position is recorded.
     */
    private fun applyEntry(world: World, tick: Tick, entry: ConfigEntry): Boolean {
        val state = world.configuration
        state.recordSeen(entry.sequence)
        val current = state.snapshot ?: return false
        if (entry.sequence != current.sequence.next()) return false
        val step = current.fold(entry)
        if (step.verdict is Verdict.Accepted) {
            state.digest = current.configuration.digestAfter(state.digest, entry.patch.changes)
        }
        state.snapshot = step.snapshot
        addToRecent(state, entry, step.verdict)
        reportVerdict(tick, entry.sequence, step.verdict)
        if (step.verdict is Verdict.Accepted) logInForce(tick, step.snapshot)
        return true
    }

    private fun addToRecent(state: ConfigurationState, entry: ConfigEntry, verdict: Verdict) {
        state.recentEntries.addLast(entry)
        state.recentVerdicts.addLast(entry.sequence to verdict)
        while (state.recentEntries.size > MAX_RECENT_ENTRIES) state.recentEntries.removeFirst()
        while (state.recentVerdicts.size > MAX_RECENT_ENTRIES) state.recentVerdicts.removeFirst()
    }

    private fun reportVerdict(tick: Tick, sequence: ConfigSequence, verdict: Verdict) {
        val reason = when (verdict) {
            is Verdict.Accepted -> "accepted"
            is Verdict.Conflict -> "conflict"
            is Verdict.Invalid -> "invalid"
        }
        tick.journal.count(Counter.CONFIG_ENTRIES, reason)
        if (verdict is Verdict.Accepted) return
        val details = mapOf("sequence" to sequence, "verdict" to verdict.toString())
        tick.journal.log(LogEvent.CONFIG_REFUSED, details)
    }

    private fun logInForce(tick: Tick, snapshot: ConfigSnapshot) {
        val details = mapOf("sequence" to snapshot.sequence, "version" to snapshot.version)
        tick.journal.log(LogEvent.CONFIG_IN_FORCE, details)
    }

    private fun answer(world: World, tick: Tick, event: PeerControl, query: ConfigRequest) {
        val state = world.configuration
        val snapshot = state.snapshot ?: return
        val after = query.after
        if (after != null && after > snapshot.sequence) state.recordSeen(after)
        if (after != null && after >= snapshot.sequence) {
            // A peer that was paused needs a reply even if it has missed nothing.
            val isReplyRequired = query.nonce != 0L && after == snapshot.sequence
            val reply = ConfigEntries(null, emptyList(), query.nonce)
            if (isReplyRequired) tick.emit(SendControl(event.from, reply))
            return
        }
        val entries = state.recentEntries.filter { after != null && it.sequence > after }
        val isComplete = after != null && entries.firstOrNull()?.sequence == after.next()
        val reply = when {
            isComplete -> ConfigEntries(null, entries, query.nonce)
            else -> ConfigEntries(snapshot, emptyList(), query.nonce)
        }
        tick.emit(SendControl(event.from, reply))
    }

    private fun compare(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val peerPosition = heartbeat.position ?: return
        val own = world.configuration.position
        if (own == null || peerPosition.sequence > own.sequence) {
            world.configuration.recordSeen(peerPosition.sequence)
            tick.emit(SendControl(event.from, ConfigRequest(own?.sequence)))
        } else if (peerPosition.sequence == own.sequence && peerPosition.digest != own.digest) {
            val details = mapOf("sequence" to own.sequence, "peer" to event.from)
            tick.journal.log(LogEvent.CONFIG_DIVERGED, details)
            tick.journal.count(Counter.CONFIG_ENTRIES, "diverged")
        }
    }

    /**
     * Requests entries from another domain whose summary has a newer position. This way a domain
     * receives entries although it has lost its connection to the platform.
     */
    private fun compare(world: World, tick: Tick, event: PeerControl, message: DomainSummaries) {
        val own = world.configuration.snapshot?.sequence
        val peerPosition = message.domains.mapNotNull { it.position }.maxOrNull() ?: return
        if (own != null && peerPosition <= own) return
        world.configuration.recordSeen(peerPosition)
        tick.emit(SendControl(event.from, ConfigRequest(own)))
    }

    private fun requestMissingEntries(world: World, tick: Tick) {
        val state = world.configuration
        val isConfirmed = world.process.isStartConfirmed
        if (state.snapshot != null && !state.isBehind && isConfirmed) return
        if (tick.nowMs >= nextRequestMs) {
            nextRequestMs = tick.nowMs + CONFIG_REQUEST_INTERVAL_MS
            val query = ConfigRequest(state.snapshot?.sequence, world.process.holdNonce)
            if (state.snapshot == null || !isConfirmed) {
                val process = world.process
                val listQuery = VmListRequest(process.entryListRevision, process.serverListRevision)
                tick.emit(SendToSeeds(query))
                tick.emit(SendToSeeds(listQuery))
            }
            val local = world.entryVms
                .filter { it.id != world.self.vm && it.record.domain == world.self.domain }
            val remote = world.entryVms
                .filter { it.record.domain != world.self.domain && it.isServing }
            local.forEach { tick.emit(SendControl(it.id, query)) }
            // The only processes that are ahead may be in other domains. Asking one process at a
            // time keeps their load low.
            if (remote.isNotEmpty()) tick.emit(SendControl(remote.random(tick.random).id, query))
        }
        tick.wakeAt(nextRequestMs)
    }

    private fun updatePlatformHealth(world: World, tick: Tick, isReachable: Boolean) {
        if (world.process.isPlatformReachable == isReachable) return
        world.process.isPlatformReachable = isReachable
        val event = if (isReachable) LogEvent.PLATFORM_REACHABLE else LogEvent.PLATFORM_UNREACHABLE
        tick.journal.log(event)
    }

    private fun updateWatch(world: World, tick: Tick) {
        val serving = world.servingVmsOfOwnDomain()
        val watchers = serving
            .rendezvousOrder(hashKey(world.self.domain.value)) { it.value }
            .take(WATCHERS_PER_DOMAIN)
        val isWatching = world.self.vm in watchers || world.configuration.snapshot == null
        val after = world.configuration.snapshot?.sequence
        val isPositionChanged = isWatching && after != watchPosition
        if (isWatching == world.process.isWatching && !isPositionChanged) return
        world.process.isWatching = isWatching
        watchPosition = after
        tick.emit(WatchPlatform(isWatching, after))
    }
}

/** Records that [sequence] exists, so that an older configuration is known to be behind. */
fun ConfigurationState.recordSeen(sequence: ConfigSequence) {
    val highest = highestSeen
    if (highest == null || sequence > highest) highestSeen = sequence
}

/** Returns the part of the world that traffic threads may read. */
fun World.trafficView() = TrafficView(
    snapshot = configuration.snapshot,
    peerAddresses = entryVms.associate { it.id to it.record.peerAddress },
    isReady = configuration.snapshot != null && process.isStartConfirmed && !process.isDraining,
    isDraining = process.isDraining,
)
