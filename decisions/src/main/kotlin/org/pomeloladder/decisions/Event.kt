/*
 * Events from the traffic threads to the control thread. Each reports something that has happened.
 * The control thread responds only with commands.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.VmId

/** An occurrence reported to the control thread. */
sealed interface Event

/** A caller's request was read and authenticated. */
data class RequestArrived(val spec: RequestSpec) : Event

/** Another entry VM forwarded an attempt. [chosenServer] is set if it chose a backend server. */
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

/** An attempt ended. It is the last event of that attempt. */
data class AttemptEnded(val attempt: AttemptId, val outcome: AttemptOutcome) : Event

/** The caller closed its connection. */
data class CallerDisconnected(val request: RequestId) : Event

/** The ingress cancelled a forwarded attempt. An order that is still queued is withdrawn. */
data class ForwardCancelled(val attempt: AttemptId) : Event

/** A control message arrived from a peer that has authenticated with the shared key. */
data class PeerControl(val from: VmId, val message: ControlMessage) : Event

/**
 * The configuration service returned new data. [snapshot] is set if [entries] alone do not connect
 * to the position of this process.
 */
data class ConfigUpdate(val snapshot: ConfigSnapshot?, val entries: List<ConfigEntry>) : Event

/** The platform returned VM lists; a list that was not read is null. */
data class VmListUpdate(val entries: EntryVmList?, val servers: BackendServerList?) : Event

/** The platform was found reachable or unreachable. */
data class PlatformHealth(val isReachable: Boolean) : Event

/** A backend server reported its own load, which may be outdated on arrival. */
data class LoadReported(val server: BackendServerId, val load: Int) : Event

/**
 * An order lookup found that the plain service has not executed the order so far. A call that was
 * sent earlier may still arrive there, so this does not prove that the order will never run.
 */
data class OrderAbsent(val attempt: AttemptId) : Event

/** An order lookup returned no usable answer, so the state of the order remains unknown. */
data class OrderLookupFailed(val attempt: AttemptId, val refusal: Refusal) : Event

/** An engine order, sent with fencing number [fencing], ended. */
data class EngineOrderEnded(
    val server: BackendServerId,
    val fencing: Long,
    val outcome: EngineOrderOutcome,
) : Event

/** Outcome of an engine order: executed, refused for its fencing number, or no usable answer. */
enum class EngineOrderOutcome { DONE, REFUSED, FAILED }

/** Either side opened a control connection with [vm], and both have proved the shared key. */
data class PeerLinkUp(val vm: VmId) : Event

/** The last control connection to [vm] was closed. */
data class PeerLinkDown(val vm: VmId) : Event

/** The process was asked to shut down gracefully. */
data object DrainRequested : Event

/**
 * Runs [read] on the control thread, for administration and directory queries. It must not modify
 * the world.
 */
class Inspection(val read: (World, Long) -> Unit) : Event
