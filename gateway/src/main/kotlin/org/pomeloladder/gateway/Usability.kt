/*
 * Whether a backend server may be sent to at all, and how much a cold one tolerates from this process.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.rendezvousOrder

/** Arrivals of other calls at the same moment, kept free of a cold server's bound. */
private const val COLD_RESERVE = 1.0

/** The window of the bound on cold servers, somewhat over a second because sends arrive with different delays. */
private const val COLD_WINDOW_MS = 1_150L

/** A process that has just started does not know yet with how many others it shares a bound. */
private const val PEER_DISCOVERY_MS = 1_000L

/** Part of the bound on drains that is not used, for the age of the news and the way of a call. */
private const val DRAIN_MARGIN_MS = 2_000L

/** Whether calls may go to [backend] at [nowMs]: announced, not leaving, not evacuated, reachable, in this region. */
internal fun isUsable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.record.isDraining && isReachable(world, backend, nowMs)

/** Whether [backend] is leaving and still serves, for calls that have no other place. */
internal fun isDrainingButUsable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    val sinceMs = backend.drainingSinceMs ?: return false
    return backend.record.isDraining &&
        backend.record.endsInMs == null &&
        nowMs - sinceMs < world.bounds.drainMs - DRAIN_MARGIN_MS &&
        isReachable(world, backend, nowMs)
}

private fun isReachable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.isReplaced &&
        !backend.isHealthCheckPending &&
        nowMs >= backend.unreachableUntilMs &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty() &&
        world.regionOf(backend.record.domain) == world.self.region

/** Whether [backend], of any region, is announced as warm and staying. Every process with the same view says the same. */
internal fun isStable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.record.isDraining &&
        backend.missingSinceMs == null &&
        nowMs >= backend.coldUntilMs &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty()

/** Whether this process's share of a cold server's bound has room for one more call. */
internal fun hasColdCapacity(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    if (nowMs >= backend.coldUntilMs) return true
    val sends = backend.coldSendTimesMs
    while (sends.isNotEmpty() && sends.first() <= nowMs - COLD_WINDOW_MS) sends.removeFirst()
    return sends.size < coldAllowance(world, backend, nowMs)
}

/**
 * Calls that this process may send to a cold server within the window. All VMs of the region share the bound; where it
 * is smaller than their number, the first in rendezvous order get one each.
 */
private fun coldAllowance(world: GatewayWorld, backend: Backend, nowMs: Long): Int {
    val rate = world.catalog?.service(backend.record.service)?.coldRequestsPerS ?: return 0
    val bound = (rate * world.bounds.coldOverage + world.bounds.coldSlack - COLD_RESERVE).toInt()
    val region = world.self.region
    val uptimeMs = nowMs - (world.process.startedMs ?: nowMs)
    if (uptimeMs < PEER_DISCOVERY_MS) return 0
    val vms = world.peers.filter { it.identity.region == region }.map { it.vm } + world.self.vm
    if (vms.size <= bound) return bound / vms.size
    val key = backend.id.value.hashCode().toLong()
    val rank = vms.rendezvousOrder(key, VmId::value).indexOf(world.self.vm)
    return if (rank < bound) 1 else 0
}
