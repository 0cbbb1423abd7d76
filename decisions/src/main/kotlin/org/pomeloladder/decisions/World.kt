/*
 * The world: every table of the control state. One control thread owns it; nothing else reads or writes it.
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

/** Who this process is, from its settings. */
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

    /** Requests that wait for a routing decision, in order of arrival. */
    val routeQueue = ArrayDeque<RequestId>()
    val process = ProcessState()

    /** Limits repeated attempts of this ingress. */
    val retryBudget = AttemptBudget(RETRY_BUDGET_SHARE)

    /** The region of this process's failure domain, or null until a configuration lists the domain. */
    val region: RegionId?
        get() = configuration.document?.regionOf(self.domain)

    /** Entry VMs of the own failure domain that may own backend servers, this process included. */
    fun servingVmsOfOwnDomain(): List<VmId> =
        entryVms.filter { it.record.domain == self.domain && it.isServing }.map { it.id }
}

/** The configuration in force and the recent log that peers may ask for. */
class ConfigurationState {
    var snapshot: ConfigSnapshot? = null
    var digest = 0L
    val recentEntries = ArrayDeque<ConfigEntry>()
    val recentVerdicts = ArrayDeque<Pair<ConfigSequence, Verdict>>()
    var inForceSinceMs = 0L

    /** Highest position that any peer or request named; above the own one while entries are missing. */
    var highestSeen: ConfigSequence? = null

    /** Whether a newer configuration is known to exist. Its rules may forbid what the own one allows. */
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

    /** After a pause nothing is dispatched before this time or a fresh position, whichever comes first. */
    var heldUntilMs = 0L
    var entryListRevision = 0L
    var serverListRevision = 0L

    /** The newest VM lists as received, for peers that ask. */
    var entryList: EntryVmList? = null
    var serverList: BackendServerList? = null

    /** Named in the question that a peer has to answer before a hold ends early; zero outside a hold. */
    var holdNonce = 0L

    /**
     * False from the start of a process until a peer confirmed its position or did not answer in time: the platform may
     * be stale, and a restarted process must not serve by a configuration that its peers have left behind.
     */
    var isStartConfirmed = true
    var nextAttempt = 0L

    /** When this process last routed a long prompt, for each service that had one. */
    val longPromptRoutedAtMs = HashMap<ServiceId, Long>()

    /** Mean of the usage of all subscribers with usage, as of the last scan. */
    var meanUsageTokens = 0.0
}
