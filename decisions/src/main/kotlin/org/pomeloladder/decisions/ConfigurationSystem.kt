/*
 * Keeps the configuration in force. It folds what the platform and peers deliver, never goes back, and tells the
 * platform readers whether this process is one of its failure domain's watchers.
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

/** How many log entries a process keeps for peers that are behind. */
const val MAX_RECENT_ENTRIES = 256

/** How many entry VMs of a failure domain watch the platform. Two, so that one failure leaves a watcher. */
const val WATCHERS_PER_DOMAIN = 2

/** How often a process that lacks entries, or has no configuration at all, repeats its question. */
const val CONFIG_REQUEST_INTERVAL_MS = 300L

/** Folds configuration entries and snapshots. */
class ConfigurationSystem : TickSystem {
    private var nextAskMs = Long.MIN_VALUE
    private var watchedAfter: ConfigSequence? = null

    private var wasConfirmed = true

    override fun run(world: World, tick: Tick) {
        val before = world.configuration.position
        tick.each<ConfigUpdate> { take(world, tick, it.snapshot, it.entries, from = null) }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is ConfigEntries ->
                    take(world, tick, message.snapshot, message.entries, event.from)
                is ConfigRequest -> answer(world, tick, event, message)
                is Heartbeat -> compare(world, tick, event, message)
                is DomainSummaries -> compare(world, tick, event, message)
                else -> Unit
            }
        }
        tick.each<PlatformHealth> { noteHealth(world, tick, it.isReachable) }
        watch(world, tick)
        askWhileBehind(world, tick)
        val isConfirmed = world.process.isStartConfirmed
        if (world.configuration.position != before || isConfirmed != wasConfirmed) {
            wasConfirmed = isConfirmed
            if (world.configuration.position != before) {
                world.configuration.inForceSinceMs = tick.nowMs
            }
            tick.emit(PublishView(world.trafficView()))
        }
    }

    private fun take(
        world: World,
        tick: Tick,
        snapshot: ConfigSnapshot?,
        entries: List<ConfigEntry>,
        from: VmId?,
    ) {
        if (snapshot != null) takeSnapshot(world, tick, snapshot)
        val taken = entries.filter { takeEntry(world, tick, it) }
        if (taken.isNotEmpty()) push(world, tick, taken, from)
    }

    /** Hands new entries to the own domain at once. What came from the own domain was pushed by its sender. */
    private fun push(world: World, tick: Tick, entries: List<ConfigEntry>, from: VmId?) {
        val sender = from?.let { world.entryVms[it] }
        if (sender?.record?.domain == world.self.domain) return
        for (vm in world.entryVms) {
            val isPeer = vm.id != world.self.vm && vm.record.domain == world.self.domain
            if (isPeer) tick.emit(SendControl(vm.id, ConfigEntries(null, entries)))
        }
    }

    private fun takeSnapshot(world: World, tick: Tick, offered: ConfigSnapshot) {
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

    /** Returns whether [entry] was the next one; an entry after a gap is not taken, but known to exist. */
    private fun takeEntry(world: World, tick: Tick, entry: ConfigEntry): Boolean {
        val state = world.configuration
        state.recordSeen(entry.sequence)
        val current = state.snapshot ?: return false
        if (entry.sequence != current.sequence.next()) return false
        val step = current.fold(entry)
        if (step.verdict is Verdict.Accepted) {
            state.digest = current.configuration.digestAfter(state.digest, entry.patch.changes)
        }
        state.snapshot = step.snapshot
        remember(state, entry, step.verdict)
        report(tick, entry.sequence, step.verdict)
        if (step.verdict is Verdict.Accepted) logInForce(tick, step.snapshot)
        return true
    }

    private fun remember(state: ConfigurationState, entry: ConfigEntry, verdict: Verdict) {
        state.recentEntries.addLast(entry)
        state.recentVerdicts.addLast(entry.sequence to verdict)
        while (state.recentEntries.size > MAX_RECENT_ENTRIES) state.recentEntries.removeFirst()
        while (state.recentVerdicts.size > MAX_RECENT_ENTRIES) state.recentVerdicts.removeFirst()
    }

    private fun report(tick: Tick, sequence: ConfigSequence, verdict: Verdict) {
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

    private fun answer(world: World, tick: Tick, event: PeerControl, ask: ConfigRequest) {
        val state = world.configuration
        val snapshot = state.snapshot ?: return
        val after = ask.after
        if (after != null && after > snapshot.sequence) state.recordSeen(after)
        if (after != null && after >= snapshot.sequence) {
            // A peer that was paused needs an answer also when it has missed nothing.
            val isAnswerDue = ask.nonce != 0L && after == snapshot.sequence
            val reply = ConfigEntries(null, emptyList(), ask.nonce)
            if (isAnswerDue) tick.emit(SendControl(event.from, reply))
            return
        }
        val entries = state.recentEntries.filter { after != null && it.sequence > after }
        val isComplete = after != null && entries.firstOrNull()?.sequence == after.next()
        val reply = when {
            isComplete -> ConfigEntries(null, entries, ask.nonce)
            else -> ConfigEntries(snapshot, emptyList(), ask.nonce)
        }
        tick.emit(SendControl(event.from, reply))
    }

    private fun compare(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val theirs = heartbeat.position ?: return
        val own = world.configuration.position
        if (own == null || theirs.sequence > own.sequence) {
            world.configuration.recordSeen(theirs.sequence)
            tick.emit(SendControl(event.from, ConfigRequest(own?.sequence)))
        } else if (theirs.sequence == own.sequence && theirs.digest != own.digest) {
            val details = mapOf("sequence" to own.sequence, "peer" to event.from)
            tick.journal.log(LogEvent.CONFIG_DIVERGED, details)
            tick.journal.count(Counter.CONFIG_ENTRIES, "diverged")
        }
    }

    /** Summaries of other domains carry their position, so that entries pass a domain's lost link to the platform. */
    private fun compare(world: World, tick: Tick, event: PeerControl, message: DomainSummaries) {
        val own = world.configuration.snapshot?.sequence
        val theirs = message.domains.mapNotNull { it.position }.maxOrNull() ?: return
        if (own != null && theirs <= own) return
        world.configuration.recordSeen(theirs)
        tick.emit(SendControl(event.from, ConfigRequest(own)))
    }

    private fun askWhileBehind(world: World, tick: Tick) {
        val state = world.configuration
        val isConfirmed = world.process.isStartConfirmed
        if (state.snapshot != null && !state.isBehind && isConfirmed) return
        if (tick.nowMs >= nextAskMs) {
            nextAskMs = tick.nowMs + CONFIG_REQUEST_INTERVAL_MS
            val ask = ConfigRequest(state.snapshot?.sequence, world.process.holdNonce)
            if (state.snapshot == null || !isConfirmed) {
                val process = world.process
                val lists = VmListRequest(process.entryListRevision, process.serverListRevision)
                tick.emit(SendToSeeds(ask))
                tick.emit(SendToSeeds(lists))
            }
            val near = world.entryVms
                .filter { it.id != world.self.vm && it.record.domain == world.self.domain }
            val far = world.entryVms
                .filter { it.record.domain != world.self.domain && it.isServing }
            near.forEach { tick.emit(SendControl(it.id, ask)) }
            // Any process that is ahead may be in another domain; one at a time keeps the load on them low.
            if (far.isNotEmpty()) tick.emit(SendControl(far.random(tick.random).id, ask))
        }
        tick.wakeAt(nextAskMs)
    }

    private fun noteHealth(world: World, tick: Tick, isReachable: Boolean) {
        if (world.process.isPlatformReachable == isReachable) return
        world.process.isPlatformReachable = isReachable
        val event = if (isReachable) LogEvent.PLATFORM_REACHABLE else LogEvent.PLATFORM_UNREACHABLE
        tick.journal.log(event)
    }

    private fun watch(world: World, tick: Tick) {
        val serving = world.servingVmsOfOwnDomain()
        val watchers = serving
            .rendezvousOrder(hashKey(world.self.domain.value)) { it.value }
            .take(WATCHERS_PER_DOMAIN)
        val isWatching = world.self.vm in watchers || world.configuration.snapshot == null
        val after = world.configuration.snapshot?.sequence
        val isMoved = isWatching && after != watchedAfter
        if (isWatching == world.process.isWatching && !isMoved) return
        world.process.isWatching = isWatching
        watchedAfter = after
        tick.emit(WatchPlatform(isWatching, after))
    }
}

/** Remembers that [sequence] exists somewhere, so that older state is known to be behind. */
fun ConfigurationState.recordSeen(sequence: ConfigSequence) {
    val highest = highestSeen
    if (highest == null || sequence > highest) highestSeen = sequence
}

/** The part of the world that traffic threads may read. */
fun World.trafficView() = TrafficView(
    snapshot = configuration.snapshot,
    peerAddresses = entryVms.associate { it.id to it.record.peerAddress },
    isReady = configuration.snapshot != null && process.isStartConfirmed && !process.isDraining,
    isDraining = process.isDraining,
)
