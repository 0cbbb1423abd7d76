/*
 * Commands from the control thread to the traffic threads. Executing one never blocks the control
 * thread.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.VmId

/** An instruction to the traffic threads. */
sealed interface Command

/** Sends an attempt to a backend server, starting at token offset [fromToken]. */
data class StartAttempt(
    val attempt: AttemptId,
    val spec: RequestSpec,
    val server: BackendServerRecord,
    val call: BackendCall,
    val fromToken: Int,
) : Command

/** The kind of call to make to a backend server. */
enum class BackendCall {
    /** A request to a model engine; it may be retried on another server. */
    SERVE,

    /** A call of an idempotent plain service; it may be retried on another server. */
    CALL_SERVICE,

    /** A call that runs at most once. It is sent on a dedicated connection and never retried. */
    RUN_ORDER,

    /** An idempotent order lookup. If nothing is found, the traffic threads post [OrderAbsent]. */
    LOOK_UP_ORDER,
}

/**
 * Sends an attempt to another entry VM, which dispatches or refuses it. If [chosenServer] is null,
 * that VM chooses the backend server.
 */
data class StartForward(
    val attempt: AttemptId,
    val spec: RequestSpec,
    val to: VmId,
    val chosenServer: BackendServerId?,
    val fromToken: Int,
) : Command

/** Cancels an attempt at any stage. The traffic threads then post [AttemptEnded]. */
data class CancelAttempt(val attempt: AttemptId) : Command

/**
 * Asks [to] to withdraw a forwarded order that it has not dispatched yet. The attempt ends with the
 * reply or with the outcome of the order.
 */
data class WithdrawForward(val attempt: AttemptId, val to: VmId) : Command

/** Ends a caller's request with a refusal. Output that was already delivered is not revoked. */
data class RefuseRequest(val request: RequestId, val refusal: Refusal) : Command

/** Ends a caller's request after its winning attempt has delivered the complete answer. */
data class CompleteRequest(val request: RequestId) : Command

/** Refuses an attempt that [to] forwarded and that this process has not dispatched. */
data class RefuseForward(val attempt: AttemptId, val to: VmId, val refusal: Refusal) : Command

/** Sends a control message to [to], or drops it if there is no open connection. */
data class SendControl(val to: VmId, val message: ControlMessage) : Command

/**
 * Sends a control message to every seed address in the settings. Used by a process that has not
 * learned of its peers yet.
 */
data class SendToSeeds(val message: ControlMessage) : Command

/**
 * Starts or stops watching the configuration service and the VM lists. Entries are read from
 * position [after]; if it is null, a snapshot is read first.
 */
data class WatchPlatform(val isWatching: Boolean, val after: ConfigSequence?) : Command

/** Orders an engine to have [models] loaded. [fencing] never decreases for a server. */
data class EnsureModels(
    val server: BackendServerRecord,
    val models: Set<ModelId>,
    val fencing: Long,
) : Command

/** Publishes the immutable state that traffic threads may read. */
data class PublishView(val view: TrafficView) : Command

/** Ends the process. Issued after [DrainRequested], once all work is finished. */
data object StopProcess : Command

/**
 * The part of the control state that traffic threads need to authenticate callers and find peers.
 * Immutable; each new view replaces the previous one.
 */
data class TrafficView(
    val snapshot: ConfigSnapshot?,
    val peerAddresses: Map<VmId, Address>,
    val isReady: Boolean,
    val isDraining: Boolean,
)
