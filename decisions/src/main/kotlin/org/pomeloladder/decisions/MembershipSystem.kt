/*
 * Membership in the failure domain. The VM list defines which entry VMs exist; heartbeats determine
 * which of them are live. A VM whose heartbeats stop is first suspected and then considered dead.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.EntryVmRecord

/** Interval between heartbeats. */
const val HEARTBEAT_INTERVAL_MS = 500L

/** Time without heartbeats after which a VM receives no new work: four missed heartbeats. */
const val SUSPECT_AFTER_MS = 2_000L

/** Time without heartbeats after which a VM is considered dead. */
const val DEAD_AFTER_MS = 5_000L

/** Maximum number of subscribers in a heartbeat, which bounds its size. */
const val MAX_REPORTED_SUBSCRIBERS = 16

/** Duration of an epoch of home tokens. */
const val EPOCH_MS = 600_000L

/** Maintains the table of entry VMs. */
class MembershipSystem : TickSystem {
    private var nextHeartbeatMs = Long.MIN_VALUE
    private var startedMs: Long? = null

    override fun run(world: World, tick: Tick) {
        val processStartMs = startedMs ?: tick.nowMs.also { startedMs = it }
        updateOwnRow(world, tick, processStartMs)
        tick.each<VmListUpdate> { event -> event.entries?.let { applyVmList(world, tick, it) } }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is VmLists -> message.entries?.let { applyVmList(world, tick, it) }
                is Heartbeat -> applyHeartbeat(world, tick, event, message)
                is VmListRequest -> answerLists(world, tick, event, message)
                is DomainSummaries -> requestEntryList(world, tick, event, message)
                else -> Unit
            }
        }
        tick.each<DrainRequested> { startDraining(world, tick) }
        updateLiveness(world, tick)
        sendHeartbeats(world, tick)
    }

    private fun updateOwnRow(world: World, tick: Tick, processStartMs: Long) {
        val self = world.self
        val row = world.entryVms.getOrPut(self.vm) {
            EntryVm(EntryVmRecord(self.vm, self.domain, self.callerAddress, self.peerAddress))
        }
        row.incarnation = self.incarnation
        row.epoch = (tick.nowMs - processStartMs) / EPOCH_MS
        row.liveness = Liveness.LIVE
        row.isDraining = world.process.isDraining
        row.lastHeardMs = tick.nowMs
        row.isReverseLinkUp = true
    }

    private fun applyVmList(world: World, tick: Tick, list: EntryVmList) {
        if (list.revision <= world.process.entryListRevision) return
        world.process.entryListRevision = list.revision
        world.process.entryList = list
        val listedById = list.vms.associateBy { it.id }
        for (record in list.vms) {
            val row = world.entryVms[record.id]
            if (row == null) world.entryVms[record.id] = EntryVm(record) else row.record = record
        }
        world.entryVms.removeIf { it.id !in listedById && it.id != world.self.vm }
        tick.emit(PublishView(world.trafficView()))
    }

    private fun applyHeartbeat(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val row = world.entryVms[event.from] ?: return
        val knownIncarnation = row.incarnation
        if (knownIncarnation != null && heartbeat.incarnation < knownIncarnation) return
        row.incarnation = heartbeat.incarnation
        row.epoch = heartbeat.epoch
        row.isDraining = heartbeat.isDraining
        row.position = heartbeat.position
        row.isReverseLinkUp = world.self.vm in heartbeat.heard
        row.lastHeardMs = tick.nowMs
        if (row.liveness != Liveness.LIVE && row.isReverseLinkUp) mark(tick, row, Liveness.LIVE)
        requestLists(world, tick, event, heartbeat)
    }

    private fun requestLists(world: World, tick: Tick, event: PeerControl, heartbeat: Heartbeat) {
        val process = world.process
        val isBehind = heartbeat.entryListRevision > process.entryListRevision ||
            heartbeat.serverListRevision > process.serverListRevision
        if (!isBehind) return
        val query = VmListRequest(process.entryListRevision, process.serverListRevision)
        tick.emit(SendControl(event.from, query))
    }

    private fun requestEntryList(
        world: World,
        tick: Tick,
        event: PeerControl,
        message: DomainSummaries,
    ) {
        val process = world.process
        if (message.entryListRevision <= process.entryListRevision) return
        val query = VmListRequest(process.entryListRevision, process.serverListRevision)
        tick.emit(SendControl(event.from, query))
    }

    /**
     * Sends the lists that are newer than those of the requester. The server list is only sent to
     * VMs of the own failure domain and to unknown VMs; a recipient ignores a list of another
     * domain.
     */
    private fun answerLists(world: World, tick: Tick, event: PeerControl, query: VmListRequest) {
        val process = world.process
        val sender = world.entryVms[event.from]
        val isOwnDomain = sender == null || sender.record.domain == world.self.domain
        val entries = process.entryList?.takeIf { it.revision > query.entryRevision }
        val servers =
            process.serverList?.takeIf { isOwnDomain && it.revision > query.serverRevision }
        if (entries == null && servers == null) return
        tick.emit(SendControl(event.from, VmLists(entries, servers)))
    }

    private fun startDraining(world: World, tick: Tick) {
        if (world.process.isDraining) return
        world.process.isDraining = true
        nextHeartbeatMs = tick.nowMs
        world.entryVms[world.self.vm]?.isDraining = true
        tick.journal.log(LogEvent.DRAINING)
        tick.emit(PublishView(world.trafficView()))
    }

    private fun updateLiveness(world: World, tick: Tick) {
        for (row in world.entryVms) {
            if (row.id == world.self.vm) continue
            if (row.record.domain != world.self.domain) {
                updateFromSummary(world, tick, row)
                continue
            }
            val silentMs = tick.nowMs - row.lastHeardMs
            if (row.liveness == Liveness.LIVE && silentMs >= SUSPECT_AFTER_MS) {
                mark(tick, row, Liveness.SUSPECTED)
            }
            if (row.liveness == Liveness.SUSPECTED && silentMs >= DEAD_AFTER_MS) {
                mark(tick, row, Liveness.DEAD)
            }
        }
    }

    /** Sets the liveness of a VM of another domain, which sends summaries but no heartbeats. */
    private fun updateFromSummary(world: World, tick: Tick, row: EntryVm) {
        val domain = world.domains[row.record.domain]
        val isServing = domain != null && domain.isReachable && row.id in domain.servingVms
        val isLive = row.liveness == Liveness.LIVE
        if (isServing != isLive) {
            mark(tick, row, if (isServing) Liveness.LIVE else Liveness.SUSPECTED)
        }
    }

    private fun mark(tick: Tick, row: EntryVm, liveness: Liveness) {
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
    servers = backends.filter { it.owner == self.vm }.map { it.toServerLoad(nowMs) },
    leavingServers = backends.filter { it.isLeaving }.map { it.id },
    heaviest = subscribers
        .filter { it.ownCostTokens >= 1 }
        .sortedByDescending { it.ownCostTokens }
        .take(MAX_REPORTED_SUBSCRIBERS)
        .map { SubscriberLoad(it.id, it.ownCostTokens.toLong()) },
    entryListRevision = process.entryListRevision,
    serverListRevision = process.serverListRevision,
)

private fun BackendServer.toServerLoad(nowMs: Long) = ServerLoad(
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
    interTokenMs = interTokenMs,
)
