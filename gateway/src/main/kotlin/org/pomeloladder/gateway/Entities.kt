/*
 * Rows of the route gateway's tables. They are plain data; systems hold the behaviour. Times are milliseconds of the
 * process's steady clock.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation

/** Neighbours on a server's machine and its queue change within about a second. */
private const val REPORT_VALID_MS = 1_000L

/** One backend server of any region. Only those of this process's region are sent to. */
class Backend(var record: BackendRecord) {
    val id: BackendServerId
        get() = record.id

    /** Calls of this process that the server has, and prompt tokens of those without a first event. */
    var inFlight = 0
    val pending = PendingTokens()

    /** What other VMs of the region put on the server, as of their last datagrams. */
    var peerInFlight = 0
    val peerPending = PendingTokens()
    var peerRecentPromptTokens = 0L

    /** As last reported by the server, and when. */
    var lastReport: LoadReport? = null
    var lastReportMs = 0L

    /** The last report while it can still be true; null when it is too old. */
    fun freshReport(nowMs: Long): LoadReport? =
        lastReport?.takeIf { nowMs - lastReportMs < REPORT_VALID_MS }

    /** Moving averages of own observations. */
    var failureRate = 0.0

    var lastHeardMs = 0L

    /** When this process last asked for the server's health because it was silent, and when a check had no answer. */
    var lastHealthCheckMs = Long.MIN_VALUE / 2
    var lastHealthTimeoutMs = Long.MIN_VALUE / 2
    var unreachableUntilMs = 0L
    var connectFailures = 0

    /** When this process saw the server begin to leave; null when it is not leaving or was first seen so. */
    var drainingSinceMs: Long? = null

    /** Set while the entry is missing; the server is dropped when it stays so. */
    var missingSinceMs: Long? = null

    /** The server at the address is another one. */
    var isReplaced = false
    var coldUntilMs = 0L
    var coldSendTimesMs = ArrayDeque<Long>()

    /** Set when the server's zone came back from an evacuation and its health is not known yet. */
    var isHealthCheckPending = false
    val cache = PrefixCache()
    val gapEstimator = EventGapEstimator()

    /** Prompt tokens that this process sent lately, decaying; other VMs of the region tell theirs. */
    var recentPromptTokens = 0.0

    val load: Int
        get() = inFlight + peerInFlight

    /** Prompt tokens that a call of [priority] waits for. */
    fun tokensAhead(priority: Int): Long = pending.upTo(priority) + peerPending.upTo(priority)
}

/** One other entry VM. */
class Peer(var identity: PeerIdentity) {
    val vm: VmId
        get() = identity.vm
    val incarnation: Incarnation
        get() = identity.incarnation
    var lastHeardMs = 0L
    var latestSentMs = 0L
    var isLive = false
    var isDraining = false
    var isReady = false
    var revision = 0L
    var roundTripMs = 0.0

    /** When this process last saw its own clock echoed: the link works both ways. */
    var lastEchoMs = Long.MIN_VALUE / 2
    var unreachableUntilMs = 0L
    var services: Map<ServiceId, ServiceLoad> = emptyMap()
    var shares: List<ServerShare> = emptyList()

    /** Whether the peer asked for datagrams from this process although it is in another region. */
    var isLinkWanted = false

    /** Calls relayed there since its last datagram; its figures do not show them yet. */
    var relayedSinceDatagram = 0
}

/** A call under way at this process. */
class Call(
    val id: CallId,
    val spec: CallSpec,
    val route: Route,
    val service: ServiceId,
    val arrivedMs: Long,
) {
    var timeoutAtMs = 0L
    var deadlineAtMs = Long.MAX_VALUE

    /** Servers that may have run the call. */
    var runs = 0

    /** A relayed call runs once here; the process that took it from its caller counts further runs. */
    val maxRuns: Int
        get() = if (spec.origin is CallOrigin.Peer) 1 else route.maxSends

    /** Arrivals at servers, whether run or not. */
    var arrivals = 0
    var currentSend: SendId? = null

    /** A send that takes the place of the current one as soon as its connection is open. */
    var replacementSend: SendId? = null
    var isStreamStarted = false
    var mayHaveRun = false
    val avoidedServers = HashSet<BackendServerId>()
    val avoidedPeers = HashSet<VmId>()

    /** Whether places that failed before are tried again. */
    var isRetryingAvoided = false

    /** An answer of a server that is passed on when no better one can be had. */
    var heldAnswer: SendId? = null

    fun remainingMs(nowMs: Long) = minOf(timeoutAtMs, deadlineAtMs) - nowMs
}

/** Where a send went. */
sealed interface SendPlace {
    data class AtServer(val server: BackendServerId) : SendPlace

    data class AtPeer(val vm: VmId) : SendPlace
}

/** One send under way. */
class Send(
    val id: SendId,
    val call: CallId,
    val place: SendPlace,
    val startedMs: Long,
    val priority: Int,
) {
    /** Prompt tokens that count as pending at the server until the first event. */
    var pendingTokens = 0L

    /** Whether the first event was passed on. */
    var isStarted = false

    /** Time from the send to its first event; null before it. */
    var firstEventMs: Long? = null
    var expectedFirstEventMs = 0.0

    /** Prompt tokens that the server reads until this send's first event. */
    var tokensBeforeFirstEvent = 0L
}

/** What this process knows of a service. */
class ServiceState(val id: ServiceId) {
    val answerLengths = AnswerLengthEstimator()

    /** Moving averages: prompt work and whole calls. */
    var msPerPromptToken = INITIAL_MS_PER_PROMPT_TOKEN
    var meanCallMs = 0.0

    /** Calls and extra arrivals of this process in the retry window. */
    val retryBudget = RetryBudget()

    private companion object {
        /** Order of magnitude of today's accelerators; replaced by observations within seconds. */
        const val INITIAL_MS_PER_PROMPT_TOKEN = 0.02
    }
}
