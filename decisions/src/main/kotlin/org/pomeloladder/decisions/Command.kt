/*
 * Commands: what the control thread asks traffic threads to do. Carrying one out never blocks the control thread.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.VmId

/** Work for the traffic threads. */
sealed interface Command

/** Sends an attempt to a backend server, from token offset [fromToken]. */
data class StartAttempt(
    val attempt: AttemptId,
    val spec: RequestSpec,
    val server: BackendServerRecord,
    val call: BackendCall,
    val fromToken: Int,
) : Command

/** What to ask of the backend server. */
enum class BackendCall {
    /** A request to a model engine; it may be repeated elsewhere. */
    SERVE,

    /** A call of an idempotent plain service; it may be repeated elsewhere. */
    CALL_SERVICE,

    /** A call that runs at most once. It is sent on a connection of its own and never repeated. */
    RUN_ORDER,

    /** The idempotent lookup of an order. Its negative answer is the event [OrderAbsent]. */
    LOOK_UP_ORDER,
}

/** Sends an attempt to another entry VM, which dispatches or refuses it. */
data class StartForward(
    val attempt: AttemptId,
    val spec: RequestSpec,
    val to: VmId,
    val chosenServer: BackendServerId?,
    val fromToken: Int,
) : Command

/** Stops an attempt wherever it is. The traffic threads answer with [AttemptEnded]. */
data class CancelAttempt(val attempt: AttemptId) : Command

/**
 * Asks [to] to withdraw a forwarded order that is not dispatched there yet. Its answer, or the outcome of the order, ends
 * the attempt.
 */
data class WithdrawForward(val attempt: AttemptId, val to: VmId) : Command

/** Ends a caller's request with a refusal. Bytes that were already delivered stay delivered. */
data class RefuseRequest(val request: RequestId, val refusal: Refusal) : Command

/** Ends a caller's request after its winning attempt delivered the whole answer. */
data class CompleteRequest(val request: RequestId) : Command

/** Answers a forwarded attempt that was never dispatched here. */
data class RefuseForward(val attempt: AttemptId, val to: VmId, val refusal: Refusal) : Command

/** Sends a control message, or drops it when no connection is there. */
data class SendControl(val to: VmId, val message: ControlMessage) : Command

/** Sends a control message to every seed address of the settings, for a process that knows no peer yet. */
data class SendToSeeds(val message: ControlMessage) : Command

/** Starts or stops the watches of the configuration service and the VM lists. */
data class WatchPlatform(val isWatching: Boolean, val after: ConfigSequence?) : Command

/** Tells an engine which models it has to hold. [fencing] never decreases for a server. */
data class EnsureModels(
    val server: BackendServerRecord,
    val models: Set<ModelId>,
    val fencing: Long,
) : Command

/** Hands traffic threads the immutable state that they may read. */
data class PublishView(val view: TrafficView) : Command

/** All work is finished after [DrainRequested]; the process may end. */
data object StopProcess : Command

/**
 * What traffic threads may know of the control state: enough to authenticate callers and to find peers. Immutable; a
 * newer view replaces it.
 */
data class TrafficView(
    val snapshot: ConfigSnapshot?,
    val peerAddresses: Map<VmId, Address>,
    val isReady: Boolean,
    val isDraining: Boolean,
)
