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

/** Sent to every entry VM of the own failure domain at a fixed interval. */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(
    val incarnation: Incarnation,
    val epoch: Long,
    val position: ConfigPosition?,
    val isDraining: Boolean,
    val heard: List<VmId>,
    val servers: List<ServerLoad>,
    val leavingServers: List<BackendServerId>,
    val heaviest: List<SubscriberLoad>,
    val entryListRevision: Long,
    val serverListRevision: Long,
) : ControlMessage

/** Load of one backend server as its owner knows it. Milliseconds are rounded moving averages. */
@Serializable
data class ServerLoad(
    val server: BackendServerId,
    val window: Int,
    val inFlight: Int,
    val queued: Int,
    val costTokens: Long,
    val firstTokenMs: Int,
    val isEjected: Boolean,
    val msPerCostToken: Double = 0.0,
    val firstTokenMsPerToken: Double = 0.0,
    val betweenTokensMs: Double = 0.0,
)

/** Decayed usage of one heavy subscriber at the sender. */
@Serializable
data class SubscriberLoad(val subscriber: SubscriberId, val costTokens: Long)

/** Between reporters of failure domains, and from a reporter to its own domain. */
@Serializable
@SerialName("summaries")
data class DomainSummaries(val domains: List<DomainSummary>) : ControlMessage

/** State of one failure domain. [sequence] orders summaries of one domain; a lower one is stale. */
@Serializable
data class DomainSummary(
    val domain: FailureDomainId,
    val sequence: Long,
    val ageMs: Long,
    val position: ConfigPosition?,
    val services: List<ServiceLoad>,
    val servingVms: List<VmId>,
)

/** Load of one service in one failure domain. */
@Serializable
data class ServiceLoad(
    val service: ServiceId,
    val slots: Int,
    val inFlight: Int,
    val queued: Int,
    val expectedWaitMs: Int,
)

/** Asks a peer that is ahead for what follows [after]; null asks for a snapshot. */
@Serializable
@SerialName("configAsk")
data class ConfigAsk(val after: ConfigSequence?) : ControlMessage

/** Answer to [ConfigAsk]: [snapshot] first when it is set, then [entries] in order. */
@Serializable
@SerialName("configEntries")
data class ConfigEntries(val snapshot: ConfigSnapshot?, val entries: List<ConfigEntry>) :
    ControlMessage

/** Asks for VM lists newer than the given revisions. */
@Serializable
@SerialName("vmListAsk")
data class VmListAsk(val entryRevision: Long, val serverRevision: Long) : ControlMessage

/** VM lists; a list is null when the sender has no newer one. */
@Serializable
@SerialName("vmLists")
data class VmLists(val entries: EntryVmList?, val servers: BackendServerList?) : ControlMessage
