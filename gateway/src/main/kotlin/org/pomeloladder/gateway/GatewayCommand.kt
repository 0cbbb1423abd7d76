/*
 * Commands of the route gateway: what the control thread asks of the traffic thread. Carrying one out never blocks.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId

/** Work for the traffic thread. */
sealed interface GatewayCommand

/** Where a send goes. */
sealed interface SendTarget {
    val address: Address

    /**
     * A backend server of this region. [needsFreshConnection] asks for a connection that is unlikely to be closed on the way. The
     * server copies what the engine at [kvCopySource] keeps of the prompt.
     */
    data class Server(
        val id: BackendServerId,
        override val address: Address,
        val maxConnections: Int,
        val needsFreshConnection: Boolean,
        val kvCopySource: Address? = null,
    ) : SendTarget

    /** An entry VM of another region. */
    data class Peer(val vm: VmId, override val address: Address, val catalogVersion: Long) :
        SendTarget
}

/**
 * A send whose place another one takes. It is stopped when a connection for the other one is open, unless it has ended or
 * a byte of it arrived within [idleMs].
 */
data class ReplacedSend(val send: SendId, val idleMs: Long)

/** Sends the bytes of [call], in place of the send [replaces] when there is one. */
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

/** Stops a send; its server sees the connection close. */
data class CancelSend(val send: SendId) : GatewayCommand

/** Passes the held answer of [send] on and ends the call. */
data class DeliverAnswer(val call: CallId, val send: SendId) : GatewayCommand

/** Ends a call whose stream was passed on whole. */
data class EndStream(val call: CallId) : GatewayCommand

/** Ends a call with an answer of this process, or breaks a started stream off. */
data class RefuseCall(val call: CallId, val reason: CallRefusal, val retryAfterMs: Long? = null) :
    GatewayCommand

/** Why a call ends without the answer of a backend server. */
enum class CallRefusal(val runState: RunState) {
    NO_ROUTE(RunState.NOT_RUN),
    STARTING(RunState.NOT_RUN),
    DRAINING(RunState.NOT_RUN),
    NO_BACKEND(RunState.NOT_RUN),
    OVERLOADED(RunState.NOT_RUN),
    NO_BUDGET(RunState.NOT_RUN),
    TIMED_OUT(RunState.UNKNOWN),
    OUTCOME_UNKNOWN(RunState.UNKNOWN),
    STREAM_BROKEN(RunState.UNKNOWN),
}

/** Whether a refused call has run. */
enum class RunState { NOT_RUN, UNKNOWN }

/** Sends one datagram. */
data class SendGossip(val to: Address, val message: GossipMessage, val echo: GossipEcho) :
    GatewayCommand

/** Asks a peer for its view. */
data class FetchView(val from: Address) : GatewayCommand

/** Asks a backend server for its health. */
data class CheckHealth(val server: BackendServerId, val address: Address, val path: String) :
    GatewayCommand

/** Closes idle connections to a server that is gone, silent or at a reused address. */
data class CloseIdleConnections(val server: BackendServerId) : GatewayCommand

/** Publishes what traffic threads answer on their own. */
data class PublishEntryView(val view: EntryView) : GatewayCommand

/**
 * Ends the process: all calls are over or the time for them is up. Answers that are being written are finished when that
 * takes no longer than [answerGraceMs], and so are calls whose arrival crossed this command when they take no longer than
 * [callGraceMs].
 */
data class StopGateway(val answerGraceMs: Long, val callGraceMs: Long) : GatewayCommand
