/*
 * Rows of the tables. They are plain data; systems hold the behaviour. Times are milliseconds of the process's monotonic
 * clock, as handed in with each tick.
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

/** What this process believes about a VM, from its own observation. */
enum class Liveness { UNKNOWN, LIVE, SUSPECTED, DEAD }

/** One entry VM of any failure domain. */
class EntryVm(var record: EntryVmRecord) {
    val id: VmId
        get() = record.id

    var incarnation: Incarnation? = null
    var epoch: Long = 0
    var liveness = Liveness.UNKNOWN
    var isDraining = false
    var lastHeardMs = 0L
    var position: ConfigPosition? = null

    /** Whether the peer reported that it hears this process; a link is up only when it is up both ways. */
    var isReverseLinkUp = false

    /** Whether the VM may own backend servers and receive new work. */
    val isServing: Boolean
        get() = liveness == Liveness.LIVE && !isDraining && record.state == VmState.LIVE
}

/** One backend server of this process's own failure domain. */
class BackendServer(var record: BackendServerRecord) {
    val id: BackendServerId
        get() = record.id

    var owner: VmId? = null
    var ownedSinceMs = 0L

    /** Most attempts that the owner dispatches at once; grows from 1 to the server's concurrency. */
    var windowSize = 1

    /** Exact at the owner, taken from heartbeats elsewhere. */
    var inFlight = 0
    var queued = 0
    var queuedCostTokens = 0L
    var inFlightCostTokens = 0L

    /** Exact at the owner: long work in flight, and prompts without a first token so far. */
    var longAttemptsInFlight = 0
    var longPromptsPending = 0
    var pendingPromptTokens = 0L

    /** Exact at the owner: attempts in flight of each subscriber that has any. */
    val inFlightBySubscriber = HashMap<SubscriberId, Int>()

    /** Moving averages of own observations; zero until the first one. */
    var firstTokenMs = 0.0
    var firstTokenMsPerToken = 0.0
    var betweenTokensMs = 0.0
    var serviceMs = 0.0
    var serviceCostTokens = 0.0
    var serviceMsPerCostToken = 0.0

    /** As last reported by the server itself; late. */
    var reportedLoad = 0

    var ejectedUntilMs = 0L
    var ejections = 0
    var isReturnDue = false

    /** Own observations since the server was last returned to routing. */
    var observations = 0
    var failuresInARow = 0

    /** Longest current wait for a first token, as of the last scan. */
    var pendingMs = 0.0
    var pendingMsPerToken = 0.0
    var unreachableUntilMs = 0L
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

/** What is known of a failure domain, the own one included. */
class FailureDomain(val id: FailureDomainId) {
    var lastHeardMs = Long.MIN_VALUE

    /** Sequence of the newest summary; older ones are ignored. */
    var sequence = Long.MIN_VALUE

    /** Whether the domain hears the own one; a link is up only when it is up both ways. */
    var isReverseLinkUp = false
    var isReachable = false

    /** Null until the domain was lost once. A domain that was never lost has warm caches. */
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
    /** Whether requests of this process go there at present; set by routing, reset by `SummarySystem`. */
    var isOverflowTarget = false

    /** Requests that this process may still send there in the current window. */
    var allowance = 0
}

/** Decayed usage of a subscriber, as seen by this process and reported by others. */
class SubscriberUsage(val id: SubscriberId) {
    var ownCostTokens = 0.0
    var peerCostTokens = 0.0

    /** The parts of [peerCostTokens] by the VM that reported them. */
    val reportedByVm = HashMap<VmId, Double>()
    var decayedAtMs = 0L
}

/** A caller's request at the process that it called. */
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

    /** Whether the home of a forwarded order was asked to withdraw it after the deadline. */
    var isWithdrawing = false
    var lastRefusal: Refusal? = null
}

/** Where an attempt came from. */
sealed interface Origin {
    /** A request of this process's own caller. */
    data object Local : Origin

    /** Forwarded by another entry VM. It must be dispatched here or refused. */
    data class Peer(val vm: VmId) : Origin
}

/** Where an attempt is. */
sealed interface Place {
    /** Forwarded here and not yet queued. [chosenServer] is the server that the ingress chose. */
    data class Arrived(val chosenServer: BackendServerId?) : Place

    /** At the owner's queue of [server]. */
    data class Queued(val server: BackendServerId) : Place

    /** Sent to [server] by this process. */
    data class Dispatched(val server: BackendServerId) : Place

    /** Sent to [vm], which dispatches or refuses it. */
    data class Forwarded(val vm: VmId) : Place
}

/** One attempt, at the ingress, at the owner, or at both when they are the same process. */
class Attempt(
    val id: AttemptId,
    val spec: RequestSpec,
    val origin: Origin,
    var place: Place,
    val createdMs: Long,
    val deadlineMs: Long,
) {
    /** First token offset that the attempt has to deliver; above zero when it resumes a broken stream. */
    var fromToken = 0
    var isHedge = false

    /** Whether the call under way only looks an order up. */
    var isOrderLookup = false
    var dispatchedMs = 0L
    var firstTokenMs = 0L

    /** Prompt tokens that the server had to process until this attempt's first token, its own included. */
    var promptAheadTokens = 0L
    var isPromptPending = false

    /** What the subscriber was charged at dispatch; zero for the lookup of an order, which is not charged. */
    var chargedTokens = 0L
    var isCountedAsLong = false
    var deliveredTokens = 0
}
