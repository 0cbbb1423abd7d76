/*
 * Tables of the route gateway. The control thread owns them; no other thread reads or writes them.
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

/** Limits that operators have agreed with the platform, read from the settings. */
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

/** All tables of one process. [regions] maps each failure domain to its region. */
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
    val suspectParts = Table<PartId, SuspectPart>()
    val process = GatewayState()

    /** Servers that this VM does not reach. */
    val unreachedServers = LinkedHashSet<BackendServerId>()

    /** Servers whose life is in doubt. */
    val doubtedServers = LinkedHashSet<BackendServerId>()

    /** Calls that wait until servers in doubt have answered their health checks. */
    val callsAwaitingProof = LinkedHashSet<CallId>()

    /** Calls that wait for evidence about their prompt parts before they are sent again. */
    val heldCalls = LinkedHashSet<CallId>()

    /** Which versions began streams and are in service. */
    val streams = StreamOrigins()

    /** Shared parts on which an answer has begun. */
    val answeredParts = AnsweredParts()

    /**
     * Shared parts that were sent to servers since the last datagrams to the peers of this region.
     */
    val recentlyCached = ArrayList<CachedPart>()

    val catalog: Catalog?
        get() = process.view?.catalog

    private var regionPeers: List<Peer> = emptyList()
    private var regionPeersVersion = -1L
    private var regionVms: List<VmId> = emptyList()
    private var regionVmsVersion = -1L

    fun regionOf(domain: FailureDomainId): RegionId? = regions[domain]

    /** Live peers of this region, without this process. */
    fun liveRegionPeers(): List<Peer> {
        if (regionPeersVersion != process.membershipVersion) {
            regionPeersVersion = process.membershipVersion
            regionPeers = peers.filter { it.isLive && it.identity.region == self.region }
        }
        return regionPeers
    }

    /**
     * All VMs of this region that this process has heard of within the last hour, itself included.
     */
    fun regionVms(): List<VmId> {
        if (regionVmsVersion != process.membershipVersion) {
            regionVmsVersion = process.membershipVersion
            val others = peers.filter { it.identity.region == self.region }.map { it.vm }
            regionVms = (process.listedRegionVms + others + self.vm).toList()
        }
        return regionVms
    }

    /** The server of this region that [send] went to, or null if that was a peer. */
    fun serverOf(send: Send): Backend? =
        (send.place as? SendPlace.AtServer)?.let { backends[it.server] }

    fun serverOf(send: SendId): Backend? = sends[send]?.let(::serverOf)

    fun service(id: ServiceId): ServiceState = services.getOrPut(id) { ServiceState(id) }
}

/** State of the whole process. */
class GatewayState {
    /** What is in force: [receivedView] with what the platform lost and nobody wrote again. */
    var view: PublishedView? = null

    /** The newest view as it was received, which peers get. */
    var receivedView: PublishedView? = null

    /** Incremented whenever [view] changes, which may leave its position as it is. */
    var viewVersion = 0L
    var isPlatformReachable = false
    var isDraining = false
    var drainStartedMs = 0L
    var isStopped = false
    var nextSend = 0L
    var entryView: EntryView? = null

    /**
     * Incremented whenever a peer's liveness, state or identity changes. Values derived from peers
     * are cached by it.
     */
    var membershipVersion = 0L

    /** Number of other VMs in the fleet that were listed within the last minute. */
    var knownVms = 0

    /** Other VMs of this region that were listed within the last hour. */
    var listedRegionVms = emptySet<VmId>()
    val knownRegionVms: Int
        get() = listedRegionVms.size

    /** Whether this process has heard of all its seeds since its start, be it from other VMs. */
    var hasMetSeeds = false

    /**
     * Whether callers and peers may send calls: a view has been applied and no shutdown has
     * started.
     */
    val isReady: Boolean
        get() = view != null && !isDraining

    /** Incremented with each new evidence about suspect parts that other VMs must hear of. */
    var evidenceVersion = 0L

    /** Whether this tick has brought evidence about the life of a server in doubt. */
    var hasLifeEvidence = false

    /** Time of the first tick, or null before it. */
    var startedMs: Long? = null
}
