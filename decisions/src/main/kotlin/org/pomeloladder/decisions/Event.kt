/*
 * Events: what traffic threads tell the control thread. Each is a fact that has happened; none asks for an answer except
 * through a command.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.VmId

/** A fact handed to the control thread. */
sealed interface Event

/** A caller's request was read and authenticated. */
data class RequestArrived(val spec: RequestSpec) : Event

/** Another entry VM forwarded an attempt. [chosenServer] is set if that VM already chose a backend server. */
data class ForwardArrived(
    val from: VmId,
    val attempt: AttemptId,
    val spec: RequestSpec,
    val chosenServer: BackendServerId?,
    val fromToken: Int,
) : Event

/** The first token of an attempt arrived. */
data class AttemptFirstToken(val attempt: AttemptId) : Event

/** [deliveredTokens] tokens of an attempt have been delivered so far. */
data class AttemptProgress(val attempt: AttemptId, val deliveredTokens: Int) : Event

/** An attempt is over. No further event names it. */
data class AttemptEnded(val attempt: AttemptId, val outcome: AttemptOutcome) : Event

/** The caller closed its connection. */
data class CallerDisconnected(val request: RequestId) : Event

/** The ingress no longer wants a forwarded attempt; for an order still queued, a withdrawal. */
data class ForwardCancelled(val attempt: AttemptId) : Event

/** A control message from a peer that proved the shared key. */
data class PeerControl(val from: VmId, val message: ControlMessage) : Event

/** The configuration service answered. [snapshot] is set when entries alone cannot close the gap. */
data class ConfigUpdate(val snapshot: ConfigSnapshot?, val entries: List<ConfigEntry>) : Event

/** The platform's VM list answered. */
data class VmListUpdate(val entries: EntryVmList?, val servers: BackendServerList?) : Event

/** The platform answered ([isReachable]) or did not. */
data class PlatformHealth(val isReachable: Boolean) : Event

/** A backend server reported its own load; late by nature. */
data class LoadReported(val server: BackendServerId, val load: Int) : Event

/**
 * The lookup of an order's attempt found that the plain service has not executed it so far. A call on its way may still
 * arrive there, so this proves nothing about calls that were already sent.
 */
data class OrderAbsent(val attempt: AttemptId) : Event

/** The lookup of an order's attempt gave no answer that can be used, so nothing is known from it. */
data class OrderLookupFailed(val attempt: AttemptId, val refusal: Refusal) : Event

/** An engine order with [fencing] ended. */
data class EngineOrderEnded(
    val server: BackendServerId,
    val fencing: Long,
    val outcome: EngineOrderOutcome,
) : Event

/** How an engine order ended: carried out, refused for its fencing number, or without a usable answer. */
enum class EngineOrderOutcome { DONE, REFUSED, FAILED }

/** A control connection to [vm] was opened by either side; both sides have proved the shared key. */
data class PeerLinkUp(val vm: VmId) : Event

/** The last control connection to [vm] was closed. */
data class PeerLinkDown(val vm: VmId) : Event

/** The process was asked to shut down gracefully. */
data object DrainRequested : Event

/** Runs [read] on the control thread, for administration and directory answers. It must not change the world. */
class Inspection(val read: (World, Long) -> Unit) : Event
