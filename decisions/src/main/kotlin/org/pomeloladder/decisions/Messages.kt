/*
 * Control messages between entry VMs. The peer module encodes them.
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
 * Sent to every entry VM of the sender's failure domain at a fixed interval. The field names are
 * short because a heartbeat lists every server that its sender owns, twice a second. [heard] lists
 * the VMs of the domain from which the sender has recently received messages, and [heaviest] the
 * subscribers with the highest usage.
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
 * Load of a backend server, as reported by its owner. Times are moving averages. An idle server
 * without failures takes few bytes, because default values are not sent.
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
    @SerialName("b") val interTokenMs: Double = 0.0,
)

/** Decayed usage of one subscriber, as observed by the sender. */
@Serializable
data class SubscriberLoad(val subscriber: SubscriberId, val costTokens: Long)

/**
 * Sent between the reporters of failure domains, and relayed by a recipient to its own domain.
 * [hearsReceiver] states that the sender's domain receives messages from the recipient's domain.
 * [heardDomains] lists domains whose summary the sender has just received but does not relay here.
 */
@Serializable
@SerialName("summaries")
data class DomainSummaries(
    @SerialName("d") val domains: List<DomainSummary>,
    @SerialName("h") val hearsReceiver: Boolean = true,
    @SerialName("a") val heardDomains: List<FailureDomainId> = emptyList(),
    @SerialName("l") val entryListRevision: Long = 0,
) : ControlMessage

/**
 * State of a failure domain. [sequence] orders the summaries of one domain; a lower value is stale.
 * [services] contains the services that changed, and some others in rotation. [servingVms] is null
 * if it has not changed and is not due for repetition. The field names are short because a reporter
 * sends a summary to every other domain.
 */
@Serializable
data class DomainSummary(
    @SerialName("d") val domain: FailureDomainId,
    @SerialName("s") val sequence: Long,
    @SerialName("p") val position: ConfigSequence? = null,
    @SerialName("l") val services: List<ServiceLoad> = emptyList(),
    @SerialName("v") val servingVms: List<VmId>? = null,
)

/** Load of one service in one failure domain. The figures are rounded. */
@Serializable
data class ServiceLoad(
    @SerialName("s") val service: ServiceId,
    @SerialName("c") val slots: Int = 0,
    @SerialName("i") val inFlight: Int = 0,
    @SerialName("q") val queued: Int = 0,
    @SerialName("w") val expectedWaitMs: Int = 0,
)

/**
 * Requests the log entries after [after], or a snapshot if it is null. If [nonce] is not zero, the
 * peer replies even if it has nothing newer, and the requester can tell from the nonce that the
 * reply was sent after the request.
 */
@Serializable
@SerialName("configAsk")
data class ConfigRequest(val after: ConfigSequence?, val nonce: Long = 0) : ControlMessage

/**
 * Reply to a [ConfigRequest], or new entries pushed to peers. The recipient applies [snapshot]
 * first, if it is set, and then [entries] in order. [nonce] is that of the request, or zero in a
 * push.
 */
@Serializable
@SerialName("configEntries")
data class ConfigEntries(
    val snapshot: ConfigSnapshot?,
    val entries: List<ConfigEntry>,
    val nonce: Long = 0,
) : ControlMessage

/** Requests VM lists that are newer than the given revisions. */
@Serializable
@SerialName("vmListAsk")
data class VmListRequest(val entryRevision: Long, val serverRevision: Long) : ControlMessage

/** Reply to a [VmListRequest]. A list is null if the sender has no newer one. */
@Serializable
@SerialName("vmLists")
data class VmLists(val entries: EntryVmList?, val servers: BackendServerList?) : ControlMessage
