/*
 * Decides whether a backend server may receive calls, and how many calls this process may send to a
 * cold one.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.rendezvousOrder

/**
 * Part of a cold server's limit that stays unused, for calls of other processes at the same moment.
 */
private const val COLD_RESERVE = 1.0

/**
 * A process that has just started does not know yet how many others share the limit of a cold
 * server.
 */
private const val PEER_DISCOVERY_MS = 1_000L

/**
 * Part of the drain time that stays unused, since news of the drain and the calls themselves take
 * time to arrive.
 */
private const val DRAIN_MARGIN_MS = 2_000L

/**
 * Whether calls may be sent to [backend] at [nowMs]: it is in this region, reachable, not draining
 * and not evacuated.
 */
internal fun isUsable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.record.isDraining && isReachable(world, backend, nowMs)

/** Whether [backend] drains but still serves calls that have no other place. */
internal fun isDrainingButUsable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    val sinceMs = backend.life.drainingSinceMs ?: return false
    return backend.record.isDraining &&
        backend.record.endsInMs == null &&
        nowMs - sinceMs < world.bounds.drainMs - DRAIN_MARGIN_MS &&
        isReachable(world, backend, nowMs)
}

private fun isReachable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.life.isReplaced &&
        backend.doubt?.isRefused != true &&
        !backend.isHealthCheckPending &&
        nowMs >= backend.life.unreachableUntilMs &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty() &&
        world.regionOf(backend.record.domain) == world.self.region

/**
 * Whether [backend], of any region, is announced, warm and not draining. All processes with the
 * same view agree on this.
 */
internal fun isStable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !backend.record.isDraining &&
        backend.missingSinceMs == null &&
        nowMs >= backend.life.coldUntilMs &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty()

/** Whether [backend] is cold, or may be because it may have started again. */
internal fun mayBeCold(backend: Backend, nowMs: Long): Boolean =
    nowMs < backend.life.coldUntilMs || backend.doubt != null

/**
 * Whether this process may send one more call to [backend], which counts against its share of the
 * limit if [backend] may be cold.
 */
internal fun hasColdCapacity(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    if (!mayBeCold(backend, nowMs)) return true
    return backend.recentSends.count(nowMs) < coldAllowance(world, backend, nowMs)
}

/**
 * Returns the number of calls that this process may send to a cold server within the window. All
 * VMs of the region share the limit; when it is smaller than the number of VMs, the first in
 * rendezvous order get one call each.
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
