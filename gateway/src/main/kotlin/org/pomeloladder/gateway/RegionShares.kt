/*
 * How the VMs of a region divide what a backend server takes from all of them together. They need no
 * agreement: each divides by all VMs that may send, those included that it cannot reach or has not
 * met yet, so that their parts add up to no more than the whole.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.rendezvousOrder

/** A process that has just started does not know yet how many others there are. */
private const val DISCOVERY_MS = 1_000L

/** Time in which a process hears of all VMs of its region, also when all start together. */
private const val REGION_DISCOVERY_MS = 5_000L

/** VMs that a process assumes in its region before it knows them. */
private const val ASSUMED_VMS = 10

/** Number of VMs of this region that may send to its servers, this one included. */
internal fun sharingVmCount(world: GatewayWorld, nowMs: Long): Int = maxOf(
    world.regionVms().size,
    if (knowsRegion(world, nowMs)) 1 else ASSUMED_VMS,
)

/** Whether this process has heard of all VMs of its region. */
internal fun knowsRegion(world: GatewayWorld, nowMs: Long): Boolean =
    world.process.hasMetSeeds && ageMs(world, nowMs) >= REGION_DISCOVERY_MS

/** Whether this process is too young to know its peers, and has no part yet. */
internal fun isDiscovering(world: GatewayWorld, nowMs: Long): Boolean =
    ageMs(world, nowMs) < DISCOVERY_MS

private fun ageMs(world: GatewayWorld, nowMs: Long): Long =
    nowMs - (world.process.startedMs ?: nowMs)

/**
 * Returns how many of the [whole] calls that all VMs of the region together may have at [backend] are
 * this process's. When there are more VMs than calls, the first in rendezvous order get one each.
 */
internal fun shareOf(world: GatewayWorld, backend: Backend, whole: Int, nowMs: Long): Int {
    val count = sharingVmCount(world, nowMs)
    if (count <= whole) return whole / count
    // Which VMs have a part is not known before all have been heard of.
    if (!knowsRegion(world, nowMs)) return 0
    return if (isAmongSenders(world, backend, whole)) 1 else 0
}

/**
 * Whether this process is one of the [count] VMs that may send to [backend] when there are more VMs
 * than parts. All VMs with the same view choose the same.
 */
internal fun isAmongSenders(world: GatewayWorld, backend: Backend, count: Int): Boolean {
    val key = backend.id.value.hashCode().toLong()
    val ranked = world.regionVms().rendezvousOrder(key, VmId::value)
    return ranked.indexOf(world.self.vm) < count
}
