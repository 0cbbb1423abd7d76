/*
 * Rows of the route gateway's tables: plain data, whose behaviour is in the systems. Times are in
 * milliseconds of the process's steady clock.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.RequestId

/** A backend server of any region. Calls are sent only to servers of this process's region. */
class Backend(var record: BackendRecord) {
    val id: BackendServerId
        get() = record.id

    /**
     * Calls of this process at the server, and the prompt tokens of those without a first event.
     */
    var inFlight = 0
    val pending = PendingTokens()

    /** Load that the other VMs of the region put on the server, as of their latest datagrams. */
    var peerInFlight = 0
    val peerPending = PendingTokens()
    var peerRecentPromptTokens = 0L

    /** What is known of the server since its last start. */
    var life = ServerLife()

    /** Set while the server may have started again since [life] was learned of. */
    var doubt: LifeDoubt? = null
        internal set

    /**
     * Time since which this VM does not reach the server, or null while it does. It says nothing of
     * the server's life, since only the path to it may be gone.
     */
    var unreachedSinceMs: Long? = null

    /** Time of the last health check because of a lost connection. */
    var checkedMs = NEVER_MS

    /** Times at which a connection was last refused, and at which a doubt last ended. */
    var refusedMs = NEVER_MS
    var provenMs = NEVER_MS
        private set

    /** Takes [life] for the server's life at [nowMs]. */
    fun endDoubt(nowMs: Long) {
        doubt = null
        provenMs = nowMs
    }

    /**
     * Time since which the server's entry is missing; the server is dropped when the entry does not
     * come back.
     */
    var missingSinceMs: Long? = null

    /** Sends of this process to the server, for the limit that holds when it turns out to be cold. */
    val recentSends = RecentSends()

    /**
     * Whether the server's failure domain returned from an evacuation and its health is not known
     * yet.
     */
    var isHealthCheckPending = false

    val load: Int
        get() = inFlight + peerInFlight

    /** Prompt tokens that are processed before those of a new call of [priority]. */
    fun tokensAhead(priority: Int): Long = pending.upTo(priority) + peerPending.upTo(priority)
}

/** Another entry VM. */
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
    var position = PlatformPosition(PlatformEra.UNKNOWN, 0)
    var catalogVersion = 0L
    var catalogEra = PlatformEra.UNKNOWN
    var roundTripMs = 0.0

    /**
     * Time at which a datagram of the peer last returned this process's clock, which proves that
     * the link works in both directions.
     */
    var lastEchoMs = Long.MIN_VALUE / 2
    var unreachableUntilMs = 0L
    var services: Map<ServiceId, ServiceLoad> = emptyMap()
    var shares: List<ServerShare> = emptyList()

    /** Whether the peer, although in another region, asked for datagrams from this process. */
    var isLinkWanted = false

    /**
     * Calls relayed to the peer since its last datagram; its load figures do not include them yet.
     */
    var relayedSinceDatagram = 0
}

/** A call in progress at this process. */
class Call(
    val id: CallId,
    val spec: CallSpec,
    val route: Route,
    val service: ServiceId,
    val arrivedMs: Long,
) {
    /** The call's route in the catalog at its last placement. Its homes bind beside [route]'s. */
    var latestRoute = route
    var timeoutAtMs = 0L
    var deadlineAtMs = Long.MAX_VALUE

    /** Number of servers that may have run the call. */
    var runs = 0

    /**
     * Maximum of [runs]. A relayed call runs once here, since the process that received it from the
     * caller counts the further runs.
     */
    val maxRuns: Int
        get() = if (spec.origin is CallOrigin.Peer) 1 else route.maxSends

    /** Number of times that the call reached a server, whether it ran or not. */
    var arrivals = 0
    var currentSend: SendId? = null

    /**
     * Time until which the call waits for evidence about its prompt parts before it is sent again;
     * null when it does not wait.
     */
    var heldUntilMs: Long? = null

    /**
     * Time at which the call first waited for the health check of a server in doubt, null when it
     * never did, and the end of the current wait.
     */
    var proofSinceMs: Long? = null
    var proofUntilMs = 0L

    /** Whether this call tests a quarantined part at a server of this region. */
    var isProbe = false

    /** A send that replaces [currentSend] as soon as its connection is open. */
    var replacementSend: SendId? = null
    var isStreamStarted = false
    var mayHaveRun = false

    /** Which servers may continue the stream of the call. */
    var binding: StreamBinding = StreamBinding.Free
    val avoidedServers = HashSet<BackendServerId>()
    val avoidedPeers = HashSet<VmId>()

    /** Whether the places that failed before are being tried again. */
    var isRetryingAvoided = false

    /**
     * The send with a server's error answer, which is delivered when no better answer can be had.
     */
    var heldAnswer: SendId? = null

    /** Whether the homes of the call's route allow [region], also those of its latest version. */
    fun allowsRegion(region: RegionId) =
        route.allowsRegion(region) && latestRoute.allowsRegion(region)

    fun remainingMs(nowMs: Long) = minOf(timeoutAtMs, deadlineAtMs) - nowMs
}

/** The place to which a send went. */
sealed interface SendPlace {
    data class AtServer(val server: BackendServerId) : SendPlace

    data class AtPeer(val vm: VmId) : SendPlace
}

/** A send in progress. [life] is that of the server when the send began, null for a send to a peer. */
class Send(
    val id: SendId,
    val call: CallId,
    val place: SendPlace,
    val startedMs: Long,
    val priority: Int,
    val permit: SendPermit,
    val life: ServerLife? = null,
) {
    /** Prompt tokens that count as pending at the server until the first event. */
    var pendingTokens = 0L

    /** Whether the first event has arrived. */
    var isStarted = false

    /** Time from the start of the send to its first event; null before the event. */
    var firstEventMs: Long? = null
    var expectedFirstEventMs = 0.0

    /**
     * Prompt tokens that the server was expected to process before this send's first event, its own
     * included.
     */
    var tokensBeforeFirstEvent = 0L
}

/**
 * A crash of a backend server right after it began to answer a call. It is confirmed when the server
 * then refuses connections; until then only a connection may have broken. [requests] are the calls
 * of this process that it accuses.
 */
class Crash(var atMs: Long, var isConfirmed: Boolean) {
    val requests = LinkedHashSet<RequestId>()
}

/** A shared prompt part that servers began to answer when they crashed. */
class SuspectPart(val id: PartId) {
    val crashes = LinkedHashMap<CrashId, Crash>()

    /** Number of calls that tested the part during its quarantine, at any process. */
    var probes = 0

    /**
     * The parts whose calls are refused because of this one: the part itself and those that stood
     * beside it at every crash. Only a call with all of them is refused. Empty when the part is not
     * quarantined.
     */
    var quarantine = emptySet<PartId>()

    val isQuarantined: Boolean
        get() = quarantine.isNotEmpty()

    /** Time of the last evidence, which decides what datagrams carry. */
    var changedMs = 0L
}

/** What this process has learned about a service. */
class ServiceState(val id: ServiceId) {
    val answerLengths = AnswerLengthEstimator()

    /**
     * Moving averages of the processing time per prompt token and of the duration of whole calls.
     */
    var msPerPromptToken = INITIAL_MS_PER_PROMPT_TOKEN
    var meanCallMs = 0.0

    val brittleness = Brittleness()

    /** Limits retries by the calls and extra arrivals of this process within a sliding window. */
    val retryBudget = RetryBudget()

    private companion object {
        /** Order of magnitude of current accelerators; observations replace it within seconds. */
        const val INITIAL_MS_PER_PROMPT_TOKEN = 0.02
    }
}
