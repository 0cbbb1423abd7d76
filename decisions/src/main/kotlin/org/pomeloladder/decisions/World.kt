/*
 * The world: all tables of the control state. Only the control thread reads or modifies it.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigPosition
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.Verdict
import org.pomeloladder.configuration.VmId

/** The identity of this process. */
data class Self(
    val vm: VmId,
    val incarnation: Incarnation,
    val domain: FailureDomainId,
    val callerAddress: Address,
    val peerAddress: Address,
)

/** All tables of one process. */
class World(val self: Self, val retryPolicy: RetryPolicy = RealRetryPolicy()) {
    val configuration = ConfigurationState()
    val entryVms = Table<VmId, EntryVm>()
    val backends = Table<BackendServerId, BackendServer>()
    val domains = Table<FailureDomainId, FailureDomain>()
    val subscribers = Table<SubscriberId, SubscriberUsage>()
    val requests = Table<RequestId, Request>()
    val attempts = Table<AttemptId, Attempt>()
    val orders = Table<OrderKey, Order>()
    val placements = Table<BackendServerId, Placement>()
    val orderWindows = Table<BackendServerId, OrderWindow>()
    val queues = Table<BackendServerId, WorkQueue>()
    val traces = Table<RequestId, RequestTrace>()
    val tracedAttempts = Table<AttemptId, RequestId>()

    /** Requests that wait to be routed, in order of arrival. */
    val routeQueue = ArrayDeque<RequestId>()
    val process = ProcessState()

    /** Limits the retries of requests that arrived at this process. */
    val retryBudget = AttemptBudget(RETRY_BUDGET_SHARE)

    /** The region of this process's failure domain; null until a configuration lists the domain. */
    val region: RegionId?
        get() = configuration.document?.regionOf(self.domain)

    /**
     * Returns the entry VMs of this process's failure domain that may own backend servers,
     * including this process.
     */
    fun servingVmsOfOwnDomain(): List<VmId> =
        entryVms.filter { it.record.domain == self.domain && it.isServing }.map { it.id }
}

/** The configuration in force, and recent log entries for peers that request them. */
class ConfigurationState {
    var snapshot: ConfigSnapshot? = null
    var digest = 0L
    val recentEntries = ArrayDeque<ConfigEntry>()
    val recentVerdicts = ArrayDeque<Pair<ConfigSequence, Verdict>>()
    var inForceSinceMs = 0L

    /**
     * Highest position mentioned by any peer or request. It is higher than this process's own
     * position while entries are missing.
     */
    var highestSeen: ConfigSequence? = null

    /**
     * Whether a newer configuration is known to exist. It may forbid what the configuration in
     * force allows.
     */
    val isBehind: Boolean
        get() {
            val highest = highestSeen ?: return false
            val own = snapshot?.sequence ?: return true
            return highest > own
        }

    val document: Configuration?
        get() = snapshot?.configuration

    val position: ConfigPosition?
        get() = snapshot?.let { ConfigPosition(it.sequence, it.version, digest) }
}

/** State of the process as a whole. */
class ProcessState {
    var isDraining = false
    var isStopped = false
    var isPlatformReachable = false
    var isWatching = false

    /**
     * Time until which nothing is dispatched after a pause. The hold ends earlier if a peer
     * confirms the configuration position.
     */
    var heldUntilMs = 0L
    var entryListRevision = 0L
    var serverListRevision = 0L

    /** The newest VM lists as received, for peers that request them. */
    var entryList: EntryVmList? = null
    var serverList: BackendServerList? = null

    /**
     * Nonce of the configuration request whose reply ends the current hold early; zero if there is
     * no hold.
     */
    var holdNonce = 0L

    /**
     * Whether a peer has confirmed the configuration position since the process started, or none
     * replied in time. Until then the process does not serve: the platform's data may be stale, and
     * a restarted process must not use a configuration that its peers have already replaced.
     */
    var isStartConfirmed = true
    var nextAttempt = 0L

    /** Time at which this process last routed a long prompt, per service. */
    val longPromptRoutedAtMs = HashMap<ServiceId, Long>()

    /** Mean usage of all subscribers that have any, as of the last scan. */
    var meanUsageTokens = 0.0
}
