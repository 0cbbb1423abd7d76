/*
 * Commands of the route gateway, which the control thread issues to the traffic thread. Executing
 * one never blocks.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId

/** A command to the traffic thread. */
sealed interface GatewayCommand

/** The destination of a send. */
sealed interface SendTarget {
    val address: Address

    /**
     * A backend server of this region. [needsFreshConnection] requests a connection that the server
     * is unlikely to close while the request is on its way. If [kvCopySource] is set, the server
     * copies the parts of the prompt that the engine at this address has cached. [version] is that of
     * the server's software, if it is known.
     */
    data class Server(
        val id: BackendServerId,
        override val address: Address,
        val maxConnections: Int,
        val needsFreshConnection: Boolean,
        val kvCopySource: Address? = null,
        val version: SoftwareVersion? = null,
    ) : SendTarget

    /**
     * An entry VM of another region, or one with a better path to the servers of this one. It is to
     * use a server of [service], and of [version] if that is set.
     */
    data class Peer(
        val vm: VmId,
        override val address: Address,
        val catalogVersion: Long,
        val service: ServiceId? = null,
        val version: SoftwareVersion? = null,
    ) : SendTarget
}

/**
 * A send that another one replaces. It is stopped as soon as the connection of the other one is
 * open, unless it has ended, received a byte within the last [idleMs], or passed on the first event of
 * the call since: [hasStarted] tells whether the caller had one, and so which servers may go on.
 */
data class ReplacedSend(val send: SendId, val idleMs: Long, val hasStarted: Boolean = false)

/** Sends the request of [call] to [target], replacing the send in [replaces] if it is set. */
data class StartSend(
    val send: SendId,
    val call: CallId,
    val target: SendTarget,
    val remainingMs: Long,
    val priority: Int,
    val isStream: Boolean,
    val connectTimeoutMs: Long,
    val replaces: ReplacedSend? = null,
) : GatewayCommand

/** Stops a send by closing its connection to the server. */
data class CancelSend(val send: SendId) : GatewayCommand

/** Forwards the buffered answer of [send] to the caller and ends the call. */
data class DeliverAnswer(val call: CallId, val send: SendId) : GatewayCommand

/** Ends a call whose stream was forwarded completely. */
data class EndStream(val call: CallId) : GatewayCommand

/**
 * Ends a call with an error response of this process, or aborts its stream if that has started.
 * [arrivals] is the number of times that the call reached a server; a peer that relayed the call
 * counts them against its retry budget.
 */
data class RefuseCall(
    val call: CallId,
    val reason: CallRefusal,
    val retryAfterMs: Long? = null,
    val arrivals: Int = 0,
) : GatewayCommand

/** Why a call ends without an answer from a backend server. */
enum class CallRefusal(val runState: RunState) {
    NO_ROUTE(RunState.NOT_RUN),
    STARTING(RunState.NOT_RUN),
    DRAINING(RunState.NOT_RUN),
    NO_BACKEND(RunState.NOT_RUN),
    OVERLOADED(RunState.NOT_RUN),
    NO_BUDGET(RunState.NOT_RUN),

    /** A part of the prompt has crashed servers. */
    QUARANTINED(RunState.NOT_RUN),

    /** Nobody knows which version began the stream that the caller takes up. */
    VERSION_UNKNOWN(RunState.NOT_RUN),
    TIMED_OUT(RunState.UNKNOWN),
    OUTCOME_UNKNOWN(RunState.UNKNOWN),
    STREAM_BROKEN(RunState.UNKNOWN),

    /** The server crashed when it began to answer a relayed call, maybe because of that call. */
    SERVER_CRASHED(RunState.UNKNOWN),
}

/** Whether a refused call may have run. */
enum class RunState { NOT_RUN, UNKNOWN }

/** Sends one datagram. */
data class SendGossip(val to: Address, val message: GossipMessage, val echo: GossipEcho) :
    GatewayCommand

/** Sends one datagram about streams. */
data class SendStreamMessage(val to: Address, val message: StreamMessage) : GatewayCommand

/** Requests the view of a peer. */
data class FetchView(val from: Address) : GatewayCommand

/** Sends a health check to a backend server. Its result returns [askedMs]. */
data class CheckHealth(
    val server: BackendServerId,
    val address: Address,
    val path: String,
    val askedMs: Long = 0,
) : GatewayCommand

/** Closes idle connections to a server that is gone or silent, or whose address was reused. */
data class CloseIdleConnections(val server: BackendServerId) : GatewayCommand

/** Publishes the data from which traffic threads answer requests on their own. */
data class PublishEntryView(val view: EntryView) : GatewayCommand

/**
 * Stops the process, because all calls have ended or the grace period is over. Answers that are
 * being written may take up to [answerGraceMs] to complete, and calls that arrived while this
 * command was on its way up to [callGraceMs].
 */
data class StopGateway(val answerGraceMs: Long, val callGraceMs: Long) : GatewayCommand
