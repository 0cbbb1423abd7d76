/*
 * The datagram that entry VMs exchange. Its contents are outdated within seconds, so a lost
 * datagram is not sent again. Short field names keep it within one packet.
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

/** Identity of an entry VM and its addresses for callers, gossip datagrams and relayed calls. */
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

/** The load that one VM puts on one backend server of its region. */
@Serializable
data class ServerShare(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val inFlight: Int,
    /** Indexed by priority; 0 is the most urgent. */
    @SerialName("c") val pendingPromptTokens: List<Long> = emptyList(),
    @SerialName("d") val recentPromptTokens: Long = 0,
    /**
     * Average time between two events of a stream as measured by the sender; 0 without a recent
     * stream.
     */
    @SerialName("e") val eventGapMs: Float = 0f,
)

/**
 * Capacity and load of a service in one region. [waitMs] is the expected wait at a server selected
 * by load, and [urgentWaitMs] the same for a call of the most urgent priority. [meanWaitMs] is the
 * expected wait at a server that was selected regardless of its load. [eventGapMs] is the time
 * between two events of a streamed answer.
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
    /** Slots that the sender has a path to, with those of servers that take nothing at the moment. */
    @SerialName("h") val reachedSlots: Int = totalSlots,
)

/** A shared part of a prompt that was sent to a server and is probably in its cache. */
@Serializable
data class CachedPart(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val part: PartId,
    @SerialName("c") val tokens: Int,
)

/**
 * What an answer of [server] said [ageMs] before the datagram was sent: the calls a second that it
 * takes from all processes, or null if it named no limit any more.
 */
@Serializable
data class LimitReport(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val perS: Double?,
    @SerialName("c") val ageMs: Long,
)

/** The servers of [service] have said, [ageMs] before the datagram was sent, that they are brittle. */
@Serializable
data class BrittleReport(
    @SerialName("a") val service: ServiceId,
    @SerialName("b") val rejectionsPerS: Double,
    @SerialName("c") val ageMs: Long,
)

/**
 * What the sender knows of a restart of [server]: the time since a connection was refused, the time
 * since a health check then showed that it runs, or null if none did, and how long it is still cold.
 */
@Serializable
data class RestartReport(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val refusedAgeMs: Long?,
    @SerialName("c") val provenAgeMs: Long? = null,
    @SerialName("d") val coldForMs: Long = 0,
)

/**
 * [server] has said, [ageMs] before the datagram was sent, that it leaves. [startedAtUnixMs] is the
 * start in the entry that the sender knows.
 */
@Serializable
data class LeavingReport(
    @SerialName("a") val server: BackendServerId,
    @SerialName("b") val startedAtUnixMs: Long,
    @SerialName("c") val ageMs: Long,
)

/** A confirmed crash, [ageMs] before the datagram was sent. */
@Serializable
data class CrashReport(@SerialName("a") val crash: CrashId, @SerialName("b") val ageMs: Long)

/**
 * Evidence about a prompt part that may crash servers. [answeredAgeMs] is the time since an answer
 * last began on the part, or null if the sender knows of none.
 */
@Serializable
data class PartEvidence(
    @SerialName("a") val part: PartId,
    @SerialName("b") val crashes: List<CrashReport>,
    @SerialName("c") val answeredAgeMs: Long? = null,
    @SerialName("d") val probes: Int = 0,
)

/**
 * The part of a datagram that is specific to its receiver. [echoMs] repeats the send time of the
 * last datagram from the receiver, and [echoDelayMs] is the time since it arrived. From both the
 * receiver computes the round-trip time and learns that the link works in both directions.
 * [isLinkWanted] requests regular datagrams from a receiver in another region.
 */
@Serializable
data class GossipEcho(
    @SerialName("a") val echoMs: Long = 0,
    @SerialName("b") val echoDelayMs: Long = 0,
    @SerialName("c") val isLinkWanted: Boolean = false,
)

/**
 * The part of a datagram that is the same for all receivers it is sent to at once. [sentMs] is the
 * send time on the sender's monotonic clock, in milliseconds.
 */
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
    @SerialName("l") val evidence: List<PartEvidence> = emptyList(),
    /** The configuration in force, which may be older than [revision] suggests. */
    @SerialName("m") val catalogVersion: Long = 0,
    @SerialName("n") val limits: List<LimitReport> = emptyList(),
    @SerialName("o") val restarts: List<RestartReport> = emptyList(),
    /** The eras of [revision] and of the configuration in force. */
    @SerialName("p") val era: PlatformEra = PlatformEra.UNKNOWN,
    @SerialName("q") val catalogEra: PlatformEra = PlatformEra.UNKNOWN,
    @SerialName("r") val leaving: List<LeavingReport> = emptyList(),
    @SerialName("s") val brittle: List<BrittleReport> = emptyList(),
)

/** A VM that the sender considers live, listed for peers that do not know it yet. */
@Serializable
data class PeerAddress(
    @SerialName("a") val vm: VmId,
    @SerialName("b") val gossip: Address,
    @SerialName("c") val region: RegionId,
)
