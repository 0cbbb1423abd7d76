/*
 * Which VMs of other regions this process exchanges datagrams with. VMs of one region all know each other, since they
 * share its servers; between regions each VM keeps a few links, so that its control traffic does not grow with the fleet.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.hashKey
import org.pomeloladder.decisions.rendezvousScore

/** Links that a VM chooses into each other region. With as many chosen by others, two may fail at once. */
private const val LINKS_PER_REGION = 3

/** A VM that nobody named for this long is forgotten. */
private const val FORGET_MS = 60_000L

/** A chosen VM that stays silent for this long makes room for another one. */
private const val PATIENCE_MS = 3_000L

/** Time for which a silent VM is passed over while others can be had. */
private const val PASSED_OVER_MS = 15_000L

/** Names of VMs, from their own datagrams and from those of others, and the links into other regions. */
internal class RegionLinks(private val self: PeerIdentity) {
    private class Named(var address: PeerAddress) {
        var namedMs = 0L
        var chosenSinceMs: Long? = null
        var passedOverUntilMs = Long.MIN_VALUE / 2
    }

    private val named = HashMap<VmId, Named>()
    private val ownKey = hashKey(self.vm.value)

    /** VMs that were named within a minute, without this one. */
    val size: Int
        get() = named.size

    /** VMs of other regions with which this process wants to exchange datagrams. */
    var chosen: Set<VmId> = emptySet()
        private set

    fun name(other: PeerAddress, nowMs: Long) {
        if (other.vm == self.vm) return
        val row = named.getOrPut(other.vm) { Named(other) }
        row.address = other
        row.namedMs = nowMs
    }

    /** Chooses links again; [isHeard] tells whether a VM answered lately. */
    fun choose(nowMs: Long, isHeard: (VmId) -> Boolean) {
        named.values.removeIf { nowMs - it.namedMs > FORGET_MS }
        for (row in named.values) pass(row, nowMs, isHeard(row.address.vm))
        chosen = named.values.filter { it.address.region != self.region }
            .groupBy { it.address.region }
            .flatMap { (_, rows) -> best(rows, nowMs) }
            .toSet()
        for (row in named.values) {
            val isChosen = row.address.vm in chosen
            row.chosenSinceMs = if (isChosen) row.chosenSinceMs ?: nowMs else null
        }
    }

    /** Addresses of VMs to greet: all of the own region, and the chosen ones of others. */
    fun wanted(): List<PeerAddress> = named.values.map { it.address }
        .filter { it.region == self.region || it.vm in chosen }

    private fun pass(row: Named, nowMs: Long, isHeard: Boolean) {
        val sinceMs = row.chosenSinceMs ?: return
        if (isHeard) {
            row.chosenSinceMs = nowMs
        } else if (nowMs - sinceMs > PATIENCE_MS) {
            row.passedOverUntilMs = nowMs + PASSED_OVER_MS
            row.chosenSinceMs = null
        }
    }

    private fun best(rows: List<Named>, nowMs: Long): List<VmId> = rows
        .sortedWith(
            compareBy<Named> { nowMs < it.passedOverUntilMs }
                .thenByDescending { rendezvousScore(ownKey, it.address.vm.value) }
                .thenBy { it.address.vm.value },
        )
        .take(LINKS_PER_REGION)
        .map { it.address.vm }
}
