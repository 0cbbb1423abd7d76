/*
 * Events of the route gateway: what traffic threads and the platform adapter report to the control thread.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId

/** Something that happened outside the control thread. */
sealed interface GatewayEvent

/** A whole request was read. */
data class CallArrived(val call: CallId, val spec: CallSpec) : GatewayEvent

/** The caller closed its connection before its answer was complete. */
data class CallerDisconnected(val call: CallId) : GatewayEvent

/** No byte of a send was written. */
data class SendNotWritten(val send: SendId, val reason: NotWrittenReason) : GatewayEvent

/** Why nothing was written. */
enum class NotWrittenReason {
    /** The connection was refused or did not open in time. */
    CONNECT_FAILED,

    /** This process holds as many connections to the server as its share allows. */
    NO_CONNECTION_LEFT,

    /** The send whose place it was to take goes on or has ended. */
    NOT_NEEDED,
}

/** The first event of a stream, or the head of another answer, arrived and was accepted. */
data class AnswerStarted(val send: SendId, val load: LoadReport?) : GatewayEvent

/**
 * A send is over, after [events] events of a stream with at most [longestGapMs] between two of them. No further event
 * names it.
 */
data class SendEnded(
    val send: SendId,
    val outcome: SendOutcome,
    val load: LoadReport?,
    val events: Int = 0,
    val longestGapMs: Long = 0,
) : GatewayEvent

/** No byte of a started or awaited answer arrived for [idleMs]. */
data class SendStalled(val send: SendId, val idleMs: Long) : GatewayEvent

/**
 * [send], quiet for [idleMs], was stopped and [by] has taken its place. [hasStarted] says whether the caller has events of
 * it.
 */
data class SendReplaced(
    val send: SendId,
    val by: SendId,
    val idleMs: Long,
    val hasStarted: Boolean,
) : GatewayEvent

/** What a backend server says of its load. [slowdown] is 1 when work takes as long as usual. */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val slowdown: Double)

/** How a send ended. */
sealed interface SendOutcome {
    /** The whole answer is there, or was passed on. */
    data class Answered(val status: Int) : SendOutcome

    /** The server states that it did not run the request. [hasArrived] is false when a peer refused it unsent. */
    data class NotRun(val reason: NotRunReason, val hasArrived: Boolean = true) : SendOutcome

    /** The connection ended, or the answer cannot be used. The request may have run. */
    data class Broken(val reason: BreakReason) : SendOutcome

    /** Stopped on request. */
    data object Cancelled : SendOutcome
}

/** Why a server did not run a request. */
enum class NotRunReason { FULL, WRONG_INSTANCE, REJECTED, PEER_REFUSED }

/** Why an answer cannot be used. */
enum class BreakReason { CONNECTION_LOST, TRUNCATED, NOT_HTTP, UNSIGNED, WRONG_ORDER, TOO_LONG }

/** A datagram from a peer. */
data class GossipReceived(
    val from: Address,
    val message: GossipMessage,
    val echo: GossipEcho = GossipEcho(),
) : GatewayEvent

/** The platform, or a peer, handed over a view. */
data class ViewReceived(val view: PublishedView, val source: ViewSource) : GatewayEvent

/** Where a view came from. */
enum class ViewSource { PLATFORM, PEER }

/** The platform answered or did not. */
data class PlatformReachability(val isReachable: Boolean) : GatewayEvent

/** A health check ended. [coldForMs] is null when the server did not answer in time. */
data class HealthChecked(
    val server: BackendServerId,
    val isHealthy: Boolean,
    val coldForMs: Long?,
    val load: LoadReport?,
) : GatewayEvent

/** Backend servers from which bytes arrived since the last report, and the pace of their streams. */
data class ServerActivity(
    val servers: Set<BackendServerId>,
    val gaps: Map<BackendServerId, EventGaps> = emptyMap(),
) : GatewayEvent

/** The traffic thread ran a regular task at [atMs] of the process's steady clock, [lateMs] after it was due. */
data class TrafficDelay(val atMs: Long, val lateMs: Long) : GatewayEvent

/** Times between events of streams: their number and their sum in milliseconds. */
data class EventGaps(val count: Int, val totalMs: Double)

/** The settings file was read again; null when it was not valid and the former settings stay. */
data class SettingsReloaded(val settings: ReloadedSettings?, val problem: String?) : GatewayEvent

/** What a running process takes from changed settings. */
data class ReloadedSettings(val bounds: GatewayBounds, val seeds: List<Address>)

/** The process was asked to shut down gracefully. */
data object ShutdownRequested : GatewayEvent
