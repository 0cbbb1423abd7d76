/*
 * Keeps the configuration in force. It folds what the platform and peers deliver, never goes back, and tells the
 * platform readers whether this process is one of its failure domain's watchers.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.Verdict
import org.pomeloladder.configuration.digest
import org.pomeloladder.configuration.digestAfter
import org.pomeloladder.configuration.fold

/** How many log entries a process keeps for peers that are behind. */
const val RECENT_ENTRIES = 256

/** How many entry VMs of a failure domain watch the platform. Two, so that one failure leaves a watcher. */
const val WATCHERS_PER_DOMAIN = 2

/** Folds configuration entries and snapshots. */
class ConfigurationSystem : TickSystem {
    override fun run(world: World, tick: Tick) {
        val before = world.configuration.position
        tick.each<ConfigRead> { take(world, tick, it.snapshot, it.entries) }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is ConfigEntries -> take(world, tick, message.snapshot, message.entries)
                is ConfigAsk -> answer(world, tick, event, message)
                is Heartbeat -> compare(world, tick, event, message)
                else -> Unit
            }
        }
        tick.each<PlatformHealth> { noteHealth(world, tick, it.isReachable) }
        watch(world, tick)
        if (world.configuration.position != before) {
            world.configuration.inForceSinceMs = tick.nowMs
            tick.give(PublishView(world.trafficView()))
        }
    }

    private fun take(
        world: World,
        tick: Tick,
        snapshot: ConfigSnapshot?,
        entries: List<ConfigEntry>,
    ) {
        if (snapshot != null) takeSnapshot(world, tick, snapshot)
        for (entry in entries) takeEntry(world, tick, entry)
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

    private fun takeEntry(world: World, tick: Tick, entry: ConfigEntry) {
        val state = world.configuration
        val current = state.snapshot ?: return
        if (entry.sequence != current.sequence.next()) return
        val step = current.fold(entry)
        if (step.verdict is Verdict.Accepted) {
            state.digest = current.configuration.digestAfter(state.digest, entry.patch.changes)
        }
        state.snapshot = step.snapshot
        remember(state, entry, step.verdict)
        report(tick, entry.sequence, step.verdict)
        if (step.verdict is Verdict.Accepted) logInForce(tick, step.snapshot)
    }

    private fun remember(state: ConfigurationState, entry: ConfigEntry, verdict: Verdict) {
        state.recentEntries.addLast(entry)
        state.recentVerdicts.addLast(entry.sequence to verdict)
        while (state.recentEntries.size > RECENT_ENTRIES) state.recentEntries.removeFirst()
        while (state.recentVerdicts.size > RECENT_ENTRIES) state.recentVerdicts.removeFirst()
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

    private fun answer(world: World, tick: Tick, event: PeerControl, ask: ConfigAsk) {
        val state = world.configuration
        val snapshot = state.snapshot ?: return
        val after = ask.after
        if (after != null && after >= snapshot.sequence) return
        val entries = state.recentEntries.filter { after != null && it.sequence > after }
        val isComplete = after != null && entries.firstOrNull()?.sequence == after.next()
        val reply = when {
            isComplete -> ConfigEntries(null, entries)
            else -> ConfigEntries(snapshot, emptyList())
        }
        tick.give(SendControl(event.from, reply))
    }

    private fun compare(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val theirs = heartbeat.position ?: return
        val own = world.configuration.position
        if (own == null || theirs.sequence > own.sequence) {
            world.configuration.noteSeen(theirs.sequence)
            tick.give(SendControl(event.from, ConfigAsk(own?.sequence)))
        } else if (theirs.sequence == own.sequence && theirs.digest != own.digest) {
            val details = mapOf("sequence" to own.sequence, "peer" to event.from)
            tick.journal.log(LogEvent.CONFIG_DIVERGED, details)
            tick.journal.count(Counter.CONFIG_ENTRIES, "diverged")
        }
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
        if (isWatching == world.process.isWatching) return
        world.process.isWatching = isWatching
        tick.give(WatchPlatform(isWatching, world.configuration.snapshot?.sequence))
    }
}

/** Remembers that [sequence] exists somewhere, so that older state is known to be behind. */
fun ConfigurationState.noteSeen(sequence: ConfigSequence) {
    val highest = highestSeen
    if (highest == null || sequence > highest) highestSeen = sequence
}

/** The part of the world that traffic threads may read. */
fun World.trafficView() = TrafficView(
    snapshot = configuration.snapshot,
    peerAddresses = entryVms.associate { it.id to it.record.peerAddress },
    isReady = configuration.snapshot != null && !process.isDraining,
    isDraining = process.isDraining,
)
