/*
 * Events of the route gateway, which traffic threads and the platform adapter report to the control
 * thread.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId

/** An event that occurred outside the control thread. */
sealed interface GatewayEvent

/** A request was read completely. */
data class CallArrived(val call: CallId, val spec: CallSpec) : GatewayEvent

/** The caller closed its connection before its answer was complete. */
data class CallerDisconnected(val call: CallId) : GatewayEvent

/**
 * A send ended before any byte of it was written. [isRefused] tells whether its connection was
 * refused, so that nothing listened at the address.
 */
data class SendNotWritten(
    val send: SendId,
    val reason: NotWrittenReason,
    val isRefused: Boolean = false,
) : GatewayEvent

/** Why no byte of a send was written. */
enum class NotWrittenReason {
    /** The connection was refused or did not open in time. */
    CONNECT_FAILED,

    /**
     * This process already has as many connections to the server as its share of the limit allows.
     */
    NO_CONNECTION_LEFT,

    /** The send that it was to replace continues or has ended. */
    NOT_NEEDED,
}

/**
 * The first event of a streamed answer, or the response head of any other answer, was received and
 * accepted. [limitPerS] is the limit that the server named in it, if any. [peerVersion] is the version
 * of the server that a peer names, if the call was relayed to one.
 */
data class AnswerStarted(
    val send: SendId,
    val load: LoadReport?,
    val limitPerS: Double? = null,
    val peerVersion: SoftwareVersion? = null,
) : GatewayEvent

/**
 * A send ended. [events] counts the events of its stream, and [longestGapMs] is the longest time
 * between two of them. [headMs] is the time from the request to the head of its answer, or null
 * when no head arrived. [hasBegun] tells whether any byte of the answer arrived, and [contentAgeMs]
 * is the time since its first event or body byte. [limitPerS] is the limit that the server named in
 * the head, if any. No further event refers to this send.
 */
data class SendEnded(
    val send: SendId,
    val outcome: SendOutcome,
    val load: LoadReport?,
    val events: Int = 0,
    val longestGapMs: Long = 0,
    val headMs: Long? = null,
    val hasBegun: Boolean = headMs != null,
    val contentAgeMs: Long? = null,
    val limitPerS: Double? = null,
) : GatewayEvent

/**
 * An answer of [server] says that the server leaves, whatever becomes of the send that it belongs
 * to. Its request was written [requestAgeMs] before.
 */
data class LeavingAnnounced(val server: BackendServerId, val requestAgeMs: Long) : GatewayEvent

/** An answer of [server] has a [header] that can't be read, and that was ignored. */
data class HeaderUnreadable(val server: BackendServerId, val header: String) : GatewayEvent

/** [server] ended an idle connection earlier than it had announced. */
data class IdleConnectionLost(val server: BackendServerId) : GatewayEvent

/** No byte of an answer, awaited or already started, arrived for [idleMs]. */
data class SendStalled(val send: SendId, val idleMs: Long) : GatewayEvent

/**
 * [send] was stopped after [idleMs] without a byte and replaced by the send [by]. [hasStarted] is
 * true if the caller has already received events of [send].
 */
data class SendReplaced(
    val send: SendId,
    val by: SendId,
    val idleMs: Long,
    val hasStarted: Boolean,
) : GatewayEvent

/** The load that a backend server reports. [slowdown] is 1 when work takes as long as usual. */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val slowdown: Double)

/** How a send ended. */
sealed interface SendOutcome {
    /** The complete answer was received, or forwarded to the caller. */
    data class Answered(val status: Int) : SendOutcome

    /**
     * The server reports that it did not run the request, or a peer that no server did. [arrivals] is
     * the number of servers that the request reached.
     */
    data class NotRun(val reason: NotRunReason, val arrivals: Int = 1) : SendOutcome

    /** The connection was lost, or the answer cannot be used. The request may have run. */
    data class Broken(val reason: BreakReason) : SendOutcome

    /** The send was cancelled by the control thread. */
    data object Cancelled : SendOutcome
}

/** Why a server did not run a request. */
enum class NotRunReason { FULL, WRONG_INSTANCE, REJECTED, PEER_REFUSED }

/** Why an answer cannot be used. */
enum class BreakReason {
    CONNECTION_LOST,
    TRUNCATED,
    NOT_HTTP,
    UNSIGNED,
    WRONG_ORDER,
    TOO_LONG,

    /** A peer reports that its server crashed, maybe because of this call. */
    CRASHED_AT_PEER,
}

/** A datagram was received from a peer. */
data class GossipReceived(
    val from: Address,
    val message: GossipMessage,
    val echo: GossipEcho = GossipEcho(),
) : GatewayEvent

/** A datagram about streams was received from a peer. */
data class StreamMessageReceived(val from: Address, val message: StreamMessage) : GatewayEvent

/** A view was received from the platform or from a peer. */
data class ViewReceived(val view: PublishedView, val source: ViewSource) : GatewayEvent

/** The sender of a view. */
enum class ViewSource { PLATFORM, PEER }

/** The peer at [from] did not send its view. */
data class ViewNotReceived(val from: Address, val cause: String) : GatewayEvent

/** The configuration that the platform published at [revision] cannot be decoded. */
data class ConfigurationUnreadable(val revision: Long) : GatewayEvent

/** Whether the platform answered the last request, and the [cause] if it did not. */
data class PlatformReachability(val isReachable: Boolean, val cause: String? = null) :
    GatewayEvent

/**
 * A health check completed. [coldForMs] is null when the server did not answer in time. [isRefused]
 * is set when it refused the connection, so that nothing listens at its address. [askedMs] is the
 * time of the check on the clock of the control thread. [isLeaving] is set when the server said
 * that it leaves.
 */
data class HealthChecked(
    val server: BackendServerId,
    val isHealthy: Boolean,
    val coldForMs: Long?,
    val load: LoadReport?,
    val isRefused: Boolean = false,
    val askedMs: Long = 0,
    val isLeaving: Boolean = false,
) : GatewayEvent

/**
 * Backend servers that sent bytes since the last report, and the times between the events of their
 * streams. [brittle] holds those that said that they fall over when they have to turn away more than
 * so many requests a second.
 */
data class ServerActivity(
    val servers: Set<BackendServerId>,
    val gaps: Map<BackendServerId, EventGaps> = emptyMap(),
    val brittle: Map<BackendServerId, Double> = emptyMap(),
) : GatewayEvent

/**
 * The traffic thread ran a periodic task at [atMs] of the process's monotonic clock, [lateMs] after
 * it was due.
 */
data class TrafficDelay(val atMs: Long, val lateMs: Long) : GatewayEvent

/** Number of gaps between stream events and their total duration. */
data class EventGaps(val count: Int, val totalMs: Double)

/**
 * The settings file was reloaded. [settings] is null if it is invalid, and the previous settings
 * stay in force.
 */
data class SettingsReloaded(val settings: ReloadedSettings?, val problem: String?) : GatewayEvent

/** The settings that can change while the process runs. */
data class ReloadedSettings(val bounds: GatewayBounds, val seeds: List<Address>)

/** A graceful shutdown of the process was requested. */
data object ShutdownRequested : GatewayEvent
