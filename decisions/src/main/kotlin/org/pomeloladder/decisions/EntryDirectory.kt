/*
 * The entry directory: the entry VMs that a subscriber should call, in order of preference. It is
 * computed from this process's own tables, so it stays available while the failure domain is cut
 * off from the others.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId

/** Time for which a caller may use a directory answer. */
const val DIRECTORY_VALIDITY_MS = 10_000L

/**
 * An entry VM in a directory answer. [homeToken] is null while this process does not know the VM's
 * incarnation.
 */
data class DirectoryEntry(val vm: VmId, val address: Address, val homeToken: HomeToken?)

/**
 * Returns the entry VMs of this process's region for [subscriber], those of its own failure domain
 * first. Never empty on a serving process.
 */
fun World.entryDirectory(subscriber: SubscriberId): List<DirectoryEntry> {
    val region = region
    val document = configuration.document
    val key = hashKey(subscriber.value)
    val (ownDomainVms, otherVms) = entryVms
        .filter { it.isServing && document?.regionOf(it.record.domain) == region }
        .rendezvousOrder(key) { it.id.value }
        .partition { it.record.domain == self.domain }
    return (ownDomainVms + otherVms).map { vm ->
        val token = vm.incarnation?.let { HomeToken(vm.record.domain, vm.id, it, vm.epoch) }
        DirectoryEntry(vm.id, vm.record.callerAddress, token)
    }
}

/** Returns the token that designates this process as the home of an order. */
fun World.ownHomeToken(): HomeToken =
    HomeToken(self.domain, self.vm, self.incarnation, entryVms[self.vm]?.epoch ?: 0)
