/*
 * Tables of the route gateway. One control thread owns them; nothing else reads or writes them.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.SystemOf
import org.pomeloladder.decisions.Table
import org.pomeloladder.decisions.TickOf

/** A tick of the route gateway. */
typealias GatewayTick = TickOf<GatewayEvent, GatewayCommand>

/** A system of the route gateway. */
typealias GatewaySystem = SystemOf<GatewayWorld, GatewayEvent, GatewayCommand>

/** Bounds that operators agreed with the platform; from the settings. */
data class GatewayBounds(
    val retryRatio: Double,
    val retryWindowMs: Long,
    val retrySlack: Double,
    val coldOverage: Double,
    val coldSlack: Double,
    val drainMs: Long,
    val shutdownGraceMs: Long,
    val entryTtlMs: Long,
)

/** All tables of one process. [regions] gives the region of each failure domain. */
class GatewayWorld(
    val self: PeerIdentity,
    val regions: Map<FailureDomainId, RegionId>,
    var seeds: List<Address>,
    var bounds: GatewayBounds,
) {
    val backends = Table<BackendServerId, Backend>()
    val peers = Table<VmId, Peer>()
    val calls = Table<CallId, Call>()
    val sends = Table<SendId, Send>()
    val services = Table<ServiceId, ServiceState>()
    val process = GatewayState()

    /** Shared parts sent since the last datagram to the peers of this region. */
    val recentlyCached = ArrayList<CachedPart>()

    val catalog: Catalog?
        get() = process.view?.catalog

    private var peersHere: List<Peer> = emptyList()
    private var peersHereVersion = -1L

    fun regionOf(domain: FailureDomainId): RegionId? = regions[domain]

    /** Live peers of this region that take calls, without this process. */
    fun liveRegionPeers(): List<Peer> {
        if (peersHereVersion != process.membershipVersion) {
            peersHereVersion = process.membershipVersion
            peersHere = peers.filter { it.isLive && it.identity.region == self.region }
        }
        return peersHere
    }

    fun service(id: ServiceId): ServiceState = services.getOrPut(id) { ServiceState(id) }
}

/** State of the process as a whole. */
class GatewayState {
    var view: PublishedView? = null
    var isPlatformReachable = false
    var isDraining = false
    var drainStartedMs = 0L
    var isStopped = false
    var nextSend = 0L
    var entryView: EntryView? = null

    /** Raised whenever a peer's liveness, state or identity changes; what is derived from peers is kept by it. */
    var membershipVersion = 0L

    /** Other VMs of the whole fleet that were named lately, for budgets that all VMs share. */
    var knownVms = 0

    /** Whether callers and peers may send calls: a view is there and no shutdown has begun. */
    val isReady: Boolean
        get() = view != null && !isDraining

    /** Time of the first tick. */
    var startedMs: Long? = null
}
