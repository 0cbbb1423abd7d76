/*
 * Table rows. Rows are plain data; the behaviour is in the systems. Times are in milliseconds of
 * the process's monotonic clock, as passed in with each tick.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigPosition
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.VmState

/** The state of an entry VM as judged by this process alone. */
enum class Liveness { UNKNOWN, LIVE, SUSPECTED, DEAD }

/** An entry VM of any failure domain. */
class EntryVm(var record: EntryVmRecord) {
    val id: VmId
        get() = record.id

    var incarnation: Incarnation? = null
    var epoch: Long = 0
    var liveness = Liveness.UNKNOWN
    var isDraining = false
    var lastHeardMs = 0L
    var position: ConfigPosition? = null

    /**
     * Whether the VM has reported that it receives this process's messages. The link counts as up
     * only if both directions work.
     */
    var isReverseLinkUp = false

    /** Whether the VM may own backend servers and receive new work. */
    val isServing: Boolean
        get() = liveness == Liveness.LIVE && !isDraining && record.state == VmState.LIVE
}

/** A backend server of this process's own failure domain. */
class BackendServer(var record: BackendServerRecord) {
    val id: BackendServerId
        get() = record.id

    var owner: VmId? = null
    var ownedSinceMs = 0L

    /** Maximum attempts in flight from the owner; grows from 1 to the server's concurrency. */
    var windowSize = 1

    /** Exact at the owner; other VMs copy it from the owner's heartbeats. */
    var inFlight = 0
    var queued = 0
    var queuedCostTokens = 0L
    var inFlightCostTokens = 0L

    /** Exact at the owner: long attempts in flight, and prompts still waiting for a first token. */
    var longAttemptsInFlight = 0
    var longPromptsPending = 0
    var pendingPromptTokens = 0L

    /** Exact at the owner: attempts in flight per subscriber. Has no entries with a zero count. */
    val inFlightBySubscriber = HashMap<SubscriberId, Int>()

    /** Moving averages of this process's observations; zero before the first one. */
    var firstTokenMs = 0.0
    var firstTokenMsPerToken = 0.0
    var interTokenMs = 0.0
    var serviceMs = 0.0
    var serviceCostTokens = 0.0
    var serviceMsPerCostToken = 0.0

    /** The load that the server itself reported last; may be outdated. */
    var reportedLoad = 0

    var ejectedUntilMs = 0L

    /** Recent ejections. Each doubles the duration of the next one, up to a limit. */
    var ejections = 0

    /** Whether the server was ejected and has not been returned to routing since. */
    var isReturnPending = false

    /** This process's observations since the server was last returned to routing. */
    var observations = 0
    var consecutiveFailures = 0

    /** Longest wait of an attempt in flight for its first token, as of the last scan. */
    var firstTokenWaitMs = 0.0
    var firstTokenWaitMsPerToken = 0.0
    var unreachableUntilMs = 0L

    /** Whether a peer reported the server as leaving, or the newest list no longer contains it. */
    var isMarkedLeaving = false

    val isLeaving: Boolean
        get() = record.state == VmState.LEAVING || isMarkedLeaving

    val load: Int
        get() = inFlight + queued

    val freeSlots: Int
        get() = windowSize - inFlight

    /** Whether new work may be sent at [nowMs]. */
    fun isAvailable(nowMs: Long) =
        !isLeaving && nowMs >= ejectedUntilMs && nowMs >= unreachableUntilMs
}

/** The known state of a failure domain, including this process's own. */
class FailureDomain(val id: FailureDomainId) {
    var lastHeardMs = Long.MIN_VALUE

    /** Sequence of the newest summary. Summaries that are not newer are ignored. */
    var sequence = Long.MIN_VALUE

    /**
     * Whether the domain receives messages from this process's own domain. The link counts as up
     * only if both directions work.
     */
    var isReverseLinkUp = false
    var isReachable = false

    /**
     * Time at which the domain last became reachable again; `Long.MAX_VALUE` while it is
     * unreachable. Null if it has never been lost, in which case its caches are warm.
     */
    var returnedAtMs: Long? = null
    var servingVms: Set<VmId> = emptySet()
    val services = HashMap<ServiceId, ServiceSummary>()
}

/** Capacity and expected wait of one service in one failure domain. */
class ServiceSummary(
    var slots: Int = 0,
    var inFlight: Int = 0,
    var queued: Int = 0,
    var expectedWaitMs: Double = 0.0,
) {
    /**
     * Whether this process currently sends requests there. Set by routing, reset by
     * `SummarySystem`.
     */
    var isOverflowTarget = false

    /** Remaining requests that this process may send there in the current window. */
    var allowance = 0
}

/** Decayed usage of a subscriber, from this process's observations and peers' reports. */
class SubscriberUsage(val id: SubscriberId) {
    var ownCostTokens = 0.0
    var peerCostTokens = 0.0

    /** [peerCostTokens] broken down by reporting VM. */
    val reportedByVm = HashMap<VmId, Double>()
    var decayedAtMs = 0L
}

/** A request at its ingress, the process that the caller connected to. */
class Request(val spec: RequestSpec, val arrivedMs: Long) {
    val deadlineMs = arrivedMs + spec.budgetMs
    val attempts = ArrayList<AttemptId>()
    val triedVms = HashSet<VmId>()
    val triedServers = HashSet<BackendServerId>()
    var winner: AttemptId? = null
    var firstTokenAtMs = 0L
    var deliveredTokens = 0
    var isHedged = false
    var retries = 0

    /** Whether the home of a forwarded order has been asked to withdraw it after the deadline. */
    var isWithdrawing = false
    var lastRefusal: Refusal? = null
}

/** The source of an attempt. */
sealed interface Origin {
    /** A caller of this process. */
    data object Local : Origin

    /** Forwarded by another entry VM. This process must dispatch or refuse it, never forward it. */
    data class Peer(val vm: VmId) : Origin
}

/** The place of an attempt on its way to a backend server, as seen by this process. */
sealed interface Place {
    /**
     * Received from another entry VM and not yet queued. [chosenServer] is the server that the
     * ingress chose, or null if this process is to choose one.
     */
    data class Arrived(val chosenServer: BackendServerId?) : Place

    /** In the owner's queue for [server]. */
    data class Queued(val server: BackendServerId) : Place

    /** Sent to [server] by this process. */
    data class Dispatched(val server: BackendServerId) : Place

    /** Sent to [vm], which dispatches or refuses it. */
    data class Forwarded(val vm: VmId) : Place
}

/**
 * An attempt to serve a request. Ingress and owner each have a row for it, unless they are the same
 * process.
 */
class Attempt(
    val id: AttemptId,
    val spec: RequestSpec,
    val origin: Origin,
    var place: Place,
    val createdMs: Long,
    val deadlineMs: Long,
) {
    /** Offset of the first token to deliver; above zero if the attempt resumes a broken stream. */
    var fromToken = 0
    var isHedge = false

    /** Whether the current call only looks up an order. */
    var isOrderLookup = false
    var dispatchedMs = 0L
    var firstTokenMs = 0L

    /**
     * Prompt tokens that the server has to process before this attempt's first token, including its
     * own.
     */
    var promptAheadTokens = 0L
    var isPromptPending = false

    /** Tokens charged to the subscriber at dispatch; zero for an order lookup, which is free. */
    var chargedTokens = 0L

    /** Whether the attempt is included in [BackendServer.longAttemptsInFlight]. */
    var isCountedAsLong = false
    var deliveredTokens = 0
}
