/*
 * The datagram that entry VMs exchange. It carries beliefs that go out of date within seconds, so a lost one is not
 * repeated. Short names of fields keep it in one packet.
 */
package org.pomeloladder.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation

/** Who a VM is and where it is reached. */
@Serializable
data class PeerIdentity(
    @SerialName("a") val vm: VmId,
    @SerialName("b") val incarnation: Incarnation,
    @SerialName("c") val region: RegionId,
    @SerialName("d") val domain: FailureDomainId,
    @SerialName("e") val callers: Address,
    @SerialName("f") val gossip: Address,
    @SerialName("g") val relay: Address,
)

/** Load that one VM put on one backend server of its region. */
@Serializable
data class ServerShare(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val inFlight: Int,
    /** By priority, 0 first. */
    @SerialName("c") val pendingPromptTokens: List<Long> = emptyList(),
    @SerialName("d") val recentPromptTokens: Long = 0,
    /** Time between two events of a stream, as the sender sees it; 0 when it has no stream there. */
    @SerialName("e") val eventGapMs: Float = 0f,
)

/**
 * What a region has of a service. [waitMs] is the expected wait of a call that is placed well, [urgentWaitMs] that of
 * a call of the most urgent priority, [eventGapMs] the time between two events of its answer, [meanWaitMs] the expected wait
 * at a server that was not chosen by its load.
 */
@Serializable
data class ServiceLoad(
    @SerialName("a") val service: ServiceId,
    @SerialName("b") val totalSlots: Int,
    @SerialName("c") val usedSlots: Int,
    @SerialName("d") val waitMs: Long,
    @SerialName("e") val eventGapMs: Float = 0f,
    @SerialName("f") val meanWaitMs: Long = waitMs,
    @SerialName("g") val urgentWaitMs: Long = waitMs,
)

/** A shared part that was sent to a server. */
@Serializable
data class CachedPart(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val part: PartId,
    @SerialName("c") val tokens: Int,
)

/**
 * The part of a datagram that differs by receiver: [echoMs] is the receiver's clock as it last told it, [echoDelayMs] the time
 * since then, so that the receiver learns the round trip and that the link works both ways. [isLinkWanted] asks for
 * datagrams although the receiver is in another region.
 */
@Serializable
data class GossipEcho(
    @SerialName("a") val echoMs: Long = 0,
    @SerialName("b") val echoDelayMs: Long = 0,
    @SerialName("c") val isLinkWanted: Boolean = false,
)

/** The part of a datagram that all receivers share. [sentMs] is milliseconds of the sender's steady clock. */
@Serializable
data class GossipMessage(
    @SerialName("a") val from: PeerIdentity,
    @SerialName("b") val sentMs: Long,
    @SerialName("e") val isDraining: Boolean = false,
    @SerialName("f") val isReady: Boolean = false,
    @SerialName("g") val revision: Long = 0,
    @SerialName("h") val shares: List<ServerShare> = emptyList(),
    @SerialName("i") val services: List<ServiceLoad> = emptyList(),
    @SerialName("j") val cached: List<CachedPart> = emptyList(),
    @SerialName("k") val others: List<PeerAddress> = emptyList(),
)

/** A VM that the sender hears, for peers that do not know it yet. */
@Serializable
data class PeerAddress(
    @SerialName("a") val vm: VmId,
    @SerialName("b") val gossip: Address,
    @SerialName("c") val region: RegionId,
)
