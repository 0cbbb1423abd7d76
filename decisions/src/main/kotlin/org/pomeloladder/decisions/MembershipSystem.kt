/*
 * Membership inside the failure domain: heartbeats to every entry VM of the domain, and suspicion of those that fall
 * silent. The VM list says which VMs exist; heartbeats say which of them live.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.EntryVmRecord

/** Time between two heartbeats to one peer. */
const val HEARTBEAT_INTERVAL_MS = 500L

/** Silence after which a VM gets no new work: four missed heartbeats. */
const val SUSPECT_AFTER_MS = 2_000L

/** Silence after which a VM is considered dead. */
const val DEAD_AFTER_MS = 5_000L

/** How many subscribers a heartbeat names, so that its size stays bounded. */
const val MAX_REPORTED_SUBSCRIBERS = 16

/** Length of an epoch of home tokens. */
const val EPOCH_MS = 600_000L

/** Keeps the table of entry VMs. */
class MembershipSystem : TickSystem {
    private var nextHeartbeatMs = Long.MIN_VALUE
    private var startedMs: Long? = null

    override fun run(world: World, tick: Tick) {
        val started = startedMs ?: tick.nowMs.also { startedMs = it }
        keepSelf(world, tick, started)
        tick.each<VmListUpdate> { event -> event.entries?.let { takeList(world, tick, it) } }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is VmLists -> message.entries?.let { takeList(world, tick, it) }
                is Heartbeat -> hear(world, tick, event, message)
                is VmListRequest -> answerLists(world, tick, event, message)
                is DomainSummaries -> askForEntryList(world, tick, event, message)
                else -> Unit
            }
        }
        tick.each<DrainRequested> { drain(world, tick) }
        suspectSilent(world, tick)
        sendHeartbeats(world, tick)
    }

    private fun keepSelf(world: World, tick: Tick, started: Long) {
        val self = world.self
        val row = world.entryVms.getOrPut(self.vm) {
            EntryVm(EntryVmRecord(self.vm, self.domain, self.callerAddress, self.peerAddress))
        }
        row.incarnation = self.incarnation
        row.epoch = (tick.nowMs - started) / EPOCH_MS
        row.liveness = Liveness.LIVE
        row.isDraining = world.process.isDraining
        row.lastHeardMs = tick.nowMs
        row.isReverseLinkUp = true
    }

    private fun takeList(world: World, tick: Tick, list: EntryVmList) {
        if (list.revision <= world.process.entryListRevision) return
        world.process.entryListRevision = list.revision
        world.process.entryList = list
        val listed = list.vms.associateBy { it.id }
        for (record in list.vms) {
            val row = world.entryVms[record.id]
            if (row == null) world.entryVms[record.id] = EntryVm(record) else row.record = record
        }
        world.entryVms.removeIf { it.id !in listed && it.id != world.self.vm }
        tick.emit(PublishView(world.trafficView()))
    }

    private fun hear(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val row = world.entryVms[event.from] ?: return
        val known = row.incarnation
        if (known != null && heartbeat.incarnation < known) return
        row.incarnation = heartbeat.incarnation
        row.epoch = heartbeat.epoch
        row.isDraining = heartbeat.isDraining
        row.position = heartbeat.position
        row.isReverseLinkUp = world.self.vm in heartbeat.heard
        row.lastHeardMs = tick.nowMs
        if (row.liveness != Liveness.LIVE && row.isReverseLinkUp) become(tick, row, Liveness.LIVE)
        askForLists(world, tick, event, heartbeat)
    }

    private fun askForLists(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val process = world.process
        val isBehind = heartbeat.entryListRevision > process.entryListRevision ||
            heartbeat.serverListRevision > process.serverListRevision
        if (!isBehind) return
        val ask = VmListRequest(process.entryListRevision, process.serverListRevision)
        tick.emit(SendControl(event.from, ask))
    }

    private fun askForEntryList(
        world: World,
        tick: Tick,
        event: PeerControl,
        message: DomainSummaries,
    ) {
        val process = world.process
        if (message.entryListRevision <= process.entryListRevision) return
        val ask = VmListRequest(process.entryListRevision, process.serverListRevision)
        tick.emit(SendControl(event.from, ask))
    }

    /** The receiver ignores a server list of another failure domain, so a reporter of one needs no special case. */
    private fun answerLists(world: World, tick: Tick, event: PeerControl, ask: VmListRequest) {
        val process = world.process
        val sender = world.entryVms[event.from]
        val isOwnDomain = sender == null || sender.record.domain == world.self.domain
        val entries = process.entryList?.takeIf { it.revision > ask.entryRevision }
        val servers = process.serverList?.takeIf { isOwnDomain && it.revision > ask.serverRevision }
        if (entries == null && servers == null) return
        tick.emit(SendControl(event.from, VmLists(entries, servers)))
    }

    private fun drain(world: World, tick: Tick) {
        if (world.process.isDraining) return
        world.process.isDraining = true
        nextHeartbeatMs = tick.nowMs
        world.entryVms[world.self.vm]?.isDraining = true
        tick.journal.log(LogEvent.DRAINING)
        tick.emit(PublishView(world.trafficView()))
    }

    private fun suspectSilent(world: World, tick: Tick) {
        for (row in world.entryVms) {
            if (row.id == world.self.vm) continue
            if (row.record.domain != world.self.domain) {
                followDomain(world, tick, row)
                continue
            }
            val silentMs = tick.nowMs - row.lastHeardMs
            if (row.liveness == Liveness.LIVE && silentMs >= SUSPECT_AFTER_MS) {
                become(tick, row, Liveness.SUSPECTED)
            }
            if (row.liveness == Liveness.SUSPECTED && silentMs >= DEAD_AFTER_MS) {
                become(tick, row, Liveness.DEAD)
            }
        }
    }

    /** VMs of other domains send no heartbeats here; their domain's summary tells which of them serve. */
    private fun followDomain(world: World, tick: Tick, row: EntryVm) {
        val domain = world.domains[row.record.domain]
        val isServing = domain != null && domain.isReachable && row.id in domain.servingVms
        val isLive = row.liveness == Liveness.LIVE
        if (isServing != isLive) {
            become(tick, row, if (isServing) Liveness.LIVE else Liveness.SUSPECTED)
        }
    }

    private fun become(tick: Tick, row: EntryVm, liveness: Liveness) {
        row.liveness = liveness
        tick.journal.count(Counter.MEMBERSHIP, liveness.name.lowercase())
        val event = when (liveness) {
            Liveness.LIVE -> LogEvent.VM_LIVE
            Liveness.DEAD -> LogEvent.VM_DEAD
            else -> LogEvent.VM_SUSPECTED
        }
        tick.journal.log(event, mapOf("vm" to row.id))
    }

    private fun sendHeartbeats(world: World, tick: Tick) {
        if (tick.nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = tick.nowMs + HEARTBEAT_INTERVAL_MS
            val heartbeat = world.heartbeat(tick.nowMs)
            for (row in world.entryVms) {
                val isPeer = row.id != world.self.vm && row.record.domain == world.self.domain
                if (isPeer) tick.emit(SendControl(row.id, heartbeat))
            }
        }
        tick.wakeAt(nextHeartbeatMs)
    }
}

private fun World.heartbeat(nowMs: Long) = Heartbeat(
    incarnation = self.incarnation,
    epoch = entryVms[self.vm]?.epoch ?: 0,
    position = configuration.position,
    isDraining = process.isDraining,
    heard = entryVms
        .filter { it.record.domain == self.domain && nowMs - it.lastHeardMs < SUSPECT_AFTER_MS }
        .map { it.id },
    servers = backends.filter { it.owner == self.vm }.map { it.loadReport(nowMs) },
    leavingServers = backends.filter { it.isLeaving }.map { it.id },
    heaviest = subscribers
        .filter { it.ownCostTokens >= 1 }
        .sortedByDescending { it.ownCostTokens }
        .take(MAX_REPORTED_SUBSCRIBERS)
        .map { SubscriberLoad(it.id, it.ownCostTokens.toLong()) },
    entryListRevision = process.entryListRevision,
    serverListRevision = process.serverListRevision,
)

private fun BackendServer.loadReport(nowMs: Long) = ServerLoad(
    server = id,
    window = windowSize,
    inFlight = inFlight,
    queued = queued,
    costTokens = queuedCostTokens + inFlightCostTokens,
    firstTokenMs = firstTokenMs.toInt(),
    isEjected = nowMs < ejectedUntilMs,
    reportedLoad = reportedLoad,
    msPerCostToken = serviceMsPerCostToken,
    firstTokenMsPerToken = firstTokenMsPerToken,
    betweenTokensMs = betweenTokensMs,
)
