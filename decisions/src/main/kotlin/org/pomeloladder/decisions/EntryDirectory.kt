/*
 * The entry directory: which entry VMs a subscriber should call, best first. It is computed from this process's own
 * tables, so it keeps answering in a failure domain that is cut off.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId

/** How long a caller may use a directory answer. */
const val DIRECTORY_VALIDITY_MS = 10_000L

/** One entry VM of a directory answer. [homeToken] is null while its incarnation is not known here. */
data class DirectoryEntry(val vm: VmId, val address: Address, val homeToken: HomeToken?)

/** The entry VMs for [subscriber] in the own region, the own failure domain first. Never empty on a serving process. */
fun World.entryDirectory(subscriber: SubscriberId): List<DirectoryEntry> {
    val region = region
    val document = configuration.document
    val key = hashKey(subscriber.value)
    val (near, far) = entryVms
        .filter { it.isServing && document?.regionOf(it.record.domain) == region }
        .rendezvousOrder(key) { it.id.value }
        .partition { it.record.domain == self.domain }
    return (near + far).map { vm ->
        val token = vm.incarnation?.let { HomeToken(vm.record.domain, vm.id, it, vm.epoch) }
        DirectoryEntry(vm.id, vm.record.callerAddress, token)
    }
}

/** The token that makes this process the home of an order. */
fun World.ownHomeToken(): HomeToken =
    HomeToken(self.domain, self.vm, self.incarnation, entryVms[self.vm]?.epoch ?: 0)
