/*
 * Keeps the backend servers of the own failure domain: rows from the VM list, one owner for each, and the load that other
 * owners report.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.VmId

/** Chooses the owner of a backend server among the serving entry VMs of its failure domain. */
fun interface OwnerPolicy {
    fun owner(server: BackendServer, servingVms: List<VmId>): VmId?
}

/** Rendezvous hashing, so that a VM that comes or goes moves only its own servers. */
class RendezvousOwnerPolicy : OwnerPolicy {
    override fun owner(server: BackendServer, servingVms: List<VmId>): VmId? =
        servingVms.rendezvousFirst(hashKey(server.id.value)) { it.value }
}

/** Keeps the table of backend servers. */
class BackendSystem(private val ownerPolicy: OwnerPolicy = RendezvousOwnerPolicy()) : TickSystem {
    private var lastServing: List<VmId> = emptyList()
    private var isListChanged = false

    override fun run(world: World, tick: Tick) {
        tick.each<VmListUpdate> { event -> event.servers?.let { takeList(world, tick, it) } }
        tick.each<PeerControl> { event ->
            when (val message = event.message) {
                is VmLists -> message.servers?.let { takeList(world, tick, it) }
                is Heartbeat -> takeLoads(world, event, message)
                else -> Unit
            }
        }
        tick.each<LoadReported> { world.backends[it.server]?.reportedLoad = it.load }
        assignOwners(world, tick)
    }

    private fun takeList(world: World, tick: Tick, list: BackendServerList) {
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
                // A newer list overrules what peers reported by an older one: a listed server may have come back.
                row.isMarkedLeaving = false
            }
        }
        // A removed server keeps its row while attempts run on it.
        for (row in world.backends) if (row.id !in listed) row.isMarkedLeaving = true
        world.backends.removeIf { it.id !in listed && it.load == 0 }
    }

    private fun logLeaving(tick: Tick, row: BackendServer) =
        tick.journal.log(LogEvent.BACKEND_LEAVING, mapOf("server" to row.id))

    private fun takeLoads(world: World, event: PeerControl, heartbeat: Heartbeat) {
        val ownWork = world.attempts.mapNotNullTo(HashSet()) { it.place.server }
        for (load in heartbeat.servers) {
            val row = world.backends[load.server] ?: continue
            if (row.owner == world.self.vm || row.owner != event.from) continue
            // A previous owner still counts its own attempts there; the new owner's counts would corrupt them.
            if (row.id in ownWork) continue
            row.windowSize = load.window
            row.inFlight = load.inFlight
            row.queued = load.queued
            row.inFlightCostTokens = load.costTokens
            row.firstTokenMs = load.firstTokenMs.toDouble()
            row.reportedLoad = load.reportedLoad
            row.serviceMsPerCostToken = load.msPerCostToken
            // The report has one sum; what this process forwarded since is added to it at routing.
            row.queuedCostTokens = 0
        }
        // By an older list, a server that has come back since would still count as leaving.
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
            // The previous owner may still have work there, so a new owner starts small.
            if (owner == world.self.vm) {
                server.windowSize = 1
                world.recountAttempts(server)
            }
            val details = mapOf("server" to server.id, "owner" to owner)
            tick.journal.log(LogEvent.OWNER_CHANGED, details)
        }
    }
}

/** The server at whose queue or window an attempt counts here. */
private val Place.server: BackendServerId?
    get() = when (this) {
        is Place.Queued -> server
        is Place.Dispatched -> server
        is Place.Arrived, is Place.Forwarded -> null
    }
