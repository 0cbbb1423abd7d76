/*
 * Control messages between entry VMs, in the terms of the decisions. The peer module encodes them.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigPosition
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId

/** A message on the control connection between two entry VMs. */
@Serializable
sealed interface ControlMessage

/**
 * Sent to every entry VM of the own failure domain at a fixed interval. Short field names keep it small, because it names
 * every server of its sender twice a second.
 */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("e") val epoch: Long,
    @SerialName("p") val position: ConfigPosition?,
    @SerialName("d") val isDraining: Boolean,
    @SerialName("h") val heard: List<VmId>,
    @SerialName("s") val servers: List<ServerLoad>,
    @SerialName("l") val leavingServers: List<BackendServerId>,
    @SerialName("u") val heaviest: List<SubscriberLoad>,
    @SerialName("a") val entryListRevision: Long,
    @SerialName("b") val serverListRevision: Long,
) : ControlMessage

/**
 * Load of one backend server as its owner knows it. Milliseconds are moving averages. A server without work and without
 * failures needs few bytes, because the defaults are not sent.
 */
@Serializable
data class ServerLoad(
    @SerialName("s") val server: BackendServerId,
    @SerialName("w") val window: Int,
    @SerialName("i") val inFlight: Int = 0,
    @SerialName("q") val queued: Int = 0,
    @SerialName("c") val costTokens: Long = 0,
    @SerialName("f") val firstTokenMs: Int = 0,
    @SerialName("e") val isEjected: Boolean = false,
    @SerialName("r") val reportedLoad: Int = 0,
    @SerialName("m") val msPerCostToken: Double = 0.0,
    @SerialName("t") val firstTokenMsPerToken: Double = 0.0,
    @SerialName("b") val betweenTokensMs: Double = 0.0,
)

/** Decayed usage of one heavy subscriber at the sender. */
@Serializable
data class SubscriberLoad(val subscriber: SubscriberId, val costTokens: Long)

/**
 * Between reporters of failure domains, and from a VM that received summaries to its own domain. [hearsReceiver] says
 * that the sender's domain hears the receiver's. [heard] names domains of which the sender has just received a
 * summary that is not repeated here.
 */
@Serializable
@SerialName("summaries")
data class DomainSummaries(
    @SerialName("d") val domains: List<DomainSummary>,
    @SerialName("h") val hearsReceiver: Boolean = true,
    @SerialName("a") val heard: List<FailureDomainId> = emptyList(),
    @SerialName("l") val entryListRevision: Long = 0,
) : ControlMessage

/**
 * State of one failure domain. [sequence] orders summaries of one domain; a lower one is stale. [services] holds what
 * changed and a few more in turn; [servingVms] is null when it did not change. Short field names keep a summary small,
 * because a reporter sends one to each other domain.
 */
@Serializable
data class DomainSummary(
    @SerialName("d") val domain: FailureDomainId,
    @SerialName("s") val sequence: Long,
    @SerialName("p") val position: ConfigSequence? = null,
    @SerialName("l") val services: List<ServiceLoad> = emptyList(),
    @SerialName("v") val servingVms: List<VmId>? = null,
)

/** Load of one service in one failure domain, in rounded numbers. */
@Serializable
data class ServiceLoad(
    @SerialName("s") val service: ServiceId,
    @SerialName("c") val slots: Int = 0,
    @SerialName("i") val inFlight: Int = 0,
    @SerialName("q") val queued: Int = 0,
    @SerialName("w") val expectedWaitMs: Int = 0,
)

/**
 * Asks a peer for what follows [after]; null asks for a snapshot. With a [nonce] above zero the peer answers in any case,
 * and the asker can tell that the answer is newer than its question.
 */
@Serializable
@SerialName("configAsk")
data class ConfigRequest(val after: ConfigSequence?, val nonce: Long = 0) : ControlMessage

/**
 * Answer to [ConfigRequest], or new entries pushed to peers: [snapshot] first when it is set, then [entries] in order.
 * [nonce] is that of the question, and zero in a push.
 */
@Serializable
@SerialName("configEntries")
data class ConfigEntries(
    val snapshot: ConfigSnapshot?,
    val entries: List<ConfigEntry>,
    val nonce: Long = 0,
) : ControlMessage

/** Asks for VM lists newer than the given revisions. */
@Serializable
@SerialName("vmListAsk")
data class VmListRequest(val entryRevision: Long, val serverRevision: Long) : ControlMessage

/** VM lists; a list is null when the sender has no newer one. */
@Serializable
@SerialName("vmLists")
data class VmLists(val entries: EntryVmList?, val servers: BackendServerList?) : ControlMessage
