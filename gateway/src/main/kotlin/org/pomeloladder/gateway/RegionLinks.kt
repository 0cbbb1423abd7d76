/*
 * Selects the VMs of other regions with which this process exchanges datagrams. All VMs of one
 * region gossip with each other, since they share its servers. Between regions each VM maintains
 * only a few links, so that its control traffic does not grow with the fleet.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.hashKey
import org.pomeloladder.decisions.rendezvousScore

/**
 * Number of links that a VM selects into each other region. VMs there select as many in turn, so
 * two links may fail at once.
 */
private const val LINKS_PER_REGION = 3

/** A VM is removed when no datagram has listed it for this long. */
private const val RETENTION_MS = 60_000L

/**
 * A VM of this region counts for shared budgets until no datagram has listed it for this long. VMs of
 * a region may lose each other for about as long and go on serving.
 */
private const val BUDGET_RETENTION_MS = 3_600_000L

/** A linked VM that stays silent for this long is replaced by another one. */
private const val RESPONSE_TIMEOUT_MS = 3_000L

/** Time for which a silent VM is selected only when there are no other candidates. */
private const val DEPRIORITIZED_MS = 15_000L

/**
 * Addresses of VMs, learned from their own datagrams and from other VMs, and the links into other
 * regions.
 */
internal class RegionLinks(private val self: PeerIdentity) {
    private class KnownVm(var address: PeerAddress) {
        var lastListedMs = 0L
        var unansweredSinceMs: Long? = null
        var deprioritizedUntilMs = Long.MIN_VALUE / 2
    }

    private val knownVms = HashMap<VmId, KnownVm>()
    private val regionVmsListedMs = HashMap<VmId, Long>()
    private val ownKey = hashKey(self.vm.value)

    /** Number of other VMs that were listed within the last minute. */
    val knownVmCount: Int
        get() = knownVms.size

    /** Other VMs of this region that were listed within the last hour. */
    val regionVms: Set<VmId>
        get() = regionVmsListedMs.keys

    /** VMs of other regions that are selected as links. */
    var linkedVms: Set<VmId> = emptySet()
        private set

    /** Whether a VM with the datagram address [gossip] was listed within the last minute. */
    fun knowsAddress(gossip: Address) = knownVms.values.any { it.address.gossip == gossip }

    fun addAddress(other: PeerAddress, nowMs: Long) {
        if (other.vm == self.vm) return
        val row = knownVms.getOrPut(other.vm) { KnownVm(other) }
        row.address = other
        row.lastListedMs = nowMs
        if (other.region == self.region) regionVmsListedMs[other.vm] = nowMs
    }

    /** Selects the links again. [isResponding] returns whether a VM answered recently. */
    fun selectLinks(nowMs: Long, isResponding: (VmId) -> Boolean) {
        knownVms.values.removeIf { nowMs - it.lastListedMs > RETENTION_MS }
        regionVmsListedMs.values.removeIf { nowMs - it > BUDGET_RETENTION_MS }
        for (row in knownVms.values) deprioritizeIfSilent(row, nowMs, isResponding(row.address.vm))
        linkedVms = knownVms.values.filter { it.address.region != self.region }
            .groupBy { it.address.region }
            .flatMap { (_, rows) -> preferredVms(rows, nowMs) }
            .toSet()
        for (row in knownVms.values) {
            val isLinked = row.address.vm in linkedVms
            row.unansweredSinceMs = if (isLinked) row.unansweredSinceMs ?: nowMs else null
        }
    }

    /**
     * Addresses of the VMs to contact: all VMs of this region and the linked ones of other regions.
     */
    fun contactAddresses(): List<PeerAddress> = knownVms.values.map { it.address }
        .filter { it.region == self.region || it.vm in linkedVms }

    private fun deprioritizeIfSilent(row: KnownVm, nowMs: Long, isResponding: Boolean) {
        val sinceMs = row.unansweredSinceMs ?: return
        if (isResponding) {
            row.unansweredSinceMs = nowMs
        } else if (nowMs - sinceMs > RESPONSE_TIMEOUT_MS) {
            row.deprioritizedUntilMs = nowMs + DEPRIORITIZED_MS
            row.unansweredSinceMs = null
        }
    }

    private fun preferredVms(rows: List<KnownVm>, nowMs: Long): List<VmId> = rows
        .sortedWith(
            compareBy<KnownVm> { nowMs < it.deprioritizedUntilMs }
                .thenByDescending { rendezvousScore(ownKey, it.address.vm.value) }
                .thenBy { it.address.vm.value },
        )
        .take(LINKS_PER_REGION)
        .map { it.address.vm }
}
