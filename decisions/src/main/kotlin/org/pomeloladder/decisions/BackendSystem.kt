/*
 * Maintains the backend servers of this process's failure domain: rows from the VM list, one owner
 * for each server, and the load that other owners report.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.VmId

/** Chooses the owner of a backend server among the serving entry VMs of its failure domain. */
fun interface OwnerPolicy {
    fun owner(server: BackendServer, servingVms: List<VmId>): VmId?
}

/** Rendezvous hashing: adding or removing a VM changes the owner of that VM's servers only. */
class RendezvousOwnerPolicy : OwnerPolicy {
    override fun owner(server: BackendServer, servingVms: List<VmId>): VmId? =
        servingVms.rendezvousFirst(hashKey(server.id.value)) { it.value }
}

/** Maintains the table of backend servers. */
class BackendSystem(private val ownerPolicy: OwnerPolicy = RendezvousOwnerPolicy()) : TickSystem {
    private var lastServing: List<VmId> = emptyList()
    private var isListChanged = false

    override fun run(world: World, tick: Tick) {
        tick.each<VmListUpdate> { event -> event.servers?.let { applyServerList(world, tick, it) } }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is VmLists -> message.servers?.let { applyServerList(world, tick, it) }
                is Heartbeat -> applyLoads(world, event, message)
                else -> Unit
            }
        }
        tick.each<LoadReported> { world.backends[it.server]?.reportedLoad = it.load }
        assignOwners(world, tick)
    }

    private fun applyServerList(world: World, tick: Tick, list: BackendServerList) {
        if (list.domain != world.self.domain) return
        if (list.revision <= world.process.serverListRevision) return
        world.process.serverListRevision = list.revision
        world.process.serverList = list
        isListChanged = true
        val listed = list.servers.associateBy { it.id }
        for (record in list.servers) {
            val row = world.backends[record.id]
            if (row == null) {
                world.backends[record.id] = BackendServer(record)
            } else {
                if (record.state != row.record.state && row.isLeaving) logLeaving(tick, row)
                row.record = record
                // A newer list overrides peers' reports from an older one: the server may have
                // returned since.
                row.isMarkedLeaving = false
            }
        }
        // A removed server keeps its row while it has attempts.
        for (row in world.backends) if (row.id !in listed) row.isMarkedLeaving = true
        world.backends.removeIf { it.id !in listed && it.load == 0 }
    }

    private fun logLeaving(tick: Tick, row: BackendServer) =
        tick.journal.log(LogEvent.BACKEND_LEAVING, mapOf("server" to row.id))

    private fun applyLoads(world: World, event: PeerControl, heartbeat: Heartbeat) {
        val serversWithOwnAttempts = world.attempts.mapNotNullTo(HashSet()) { it.place.server }
        for (load in heartbeat.servers) {
            val row = world.backends[load.server] ?: continue
            if (row.owner == world.self.vm || row.owner != event.from) continue
            // A previous owner still counts its own attempts on the server. The new owner's figures
            // would corrupt these counts.
            if (row.id in serversWithOwnAttempts) continue
            row.windowSize = load.window
            row.inFlight = load.inFlight
            row.queued = load.queued
            row.inFlightCostTokens = load.costTokens
            row.firstTokenMs = load.firstTokenMs.toDouble()
            row.reportedLoad = load.reportedLoad
            row.serviceMsPerCostToken = load.msPerCostToken
            // The report contains only the sum of both costs. Routing adds the cost of attempts
            // that this process has forwarded since.
            row.queuedCostTokens = 0
        }
        // An older list may report a server as leaving that has returned since.
        if (heartbeat.serverListRevision < world.process.serverListRevision) return
        for (id in heartbeat.leavingServers) world.backends[id]?.isMarkedLeaving = true
    }

    private fun assignOwners(world: World, tick: Tick) {
        val serving = if (world.isPaused(tick.nowMs)) emptyList() else world.servingVmsOfOwnDomain()
        if (serving == lastServing && !isListChanged) return
        lastServing = serving
        isListChanged = false
        for (server in world.backends) {
            val owner = ownerPolicy.owner(server, serving)
            if (owner == server.owner) continue
            server.owner = owner
            server.ownedSinceMs = tick.nowMs
            // Starts with a small window, because the previous owner may still have attempts there.
            if (owner == world.self.vm) {
                server.windowSize = 1
                world.recountAttempts(server)
            }
            val details = mapOf("server" to server.id, "owner" to owner)
            tick.journal.log(LogEvent.OWNER_CHANGED, details)
        }
    }
}

/** The server whose queue or window in this process contains the attempt, if any. */
private val Place.server: BackendServerId?
    get() = when (this) {
        is Place.Queued -> server
        is Place.Dispatched -> server
        is Place.Arrived, is Place.Forwarded -> null
    }
