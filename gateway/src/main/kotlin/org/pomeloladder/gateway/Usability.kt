/*
 * Decides whether a backend server may receive calls, and how many calls this process may send to a
 * cold one.
 */
package org.pomeloladder.gateway

/**
 * Part of a cold server's limit that stays unused, for calls of other processes at the same moment.
 */
private const val COLD_RESERVE = 1.0

/**
 * Part of the drain time that stays unused, since news of the drain and the calls themselves take
 * time to arrive.
 */
private const val DRAIN_MARGIN_MS = 2_000L

/**
 * Whether calls may be sent to [backend]: it is in this region, reachable, not draining and not
 * evacuated.
 */
internal fun isUsable(world: GatewayWorld, backend: Backend): Boolean =
    !isLeaving(backend) && isReachable(world, backend)

/** Whether [backend] drains by the word of the store, or has said itself that it leaves. */
internal fun isLeaving(backend: Backend): Boolean =
    backend.record.isDraining || backend.life.leavingSinceMs != null

/** Whether [backend] drains or leaves but still serves calls that have no other place. */
internal fun isDrainingButUsable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    val life = backend.life
    val isDrainSeen = !backend.record.isDraining || life.drainingSinceMs != null
    val sinceMs = listOfNotNull(life.drainingSinceMs, life.leavingSinceMs).minOrNull()
    return isLeaving(backend) &&
        isDrainSeen &&
        sinceMs != null &&
        backend.record.endsInMs == null &&
        nowMs - sinceMs < world.bounds.drainMs - DRAIN_MARGIN_MS &&
        isReachable(world, backend)
}

private fun isReachable(world: GatewayWorld, backend: Backend): Boolean =
    !backend.life.isReplaced &&
        backend.doubt?.isRefused != true &&
        !backend.isHealthCheckPending &&
        backend.unreachedSinceMs == null &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty() &&
        world.regionOf(backend.record.domain) == world.self.region

/**
 * Whether [backend], of any region, is announced, warm and not draining. All processes with the
 * same view agree on this.
 */
internal fun isStable(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean =
    !isLeaving(backend) &&
        backend.missingSinceMs == null &&
        nowMs >= backend.life.coldUntilMs &&
        backend.record.domain !in world.process.view?.evacuated.orEmpty()

/**
 * Whether this process may send one more call to [backend] by what its service has said of itself. A
 * call that [isModest] leaves some of a limit to others.
 */
internal fun hasRoom(
    world: GatewayWorld,
    backend: Backend,
    nowMs: Long,
    isModest: Boolean = false,
): Boolean = hasLimitCapacity(world, backend, nowMs, isModest) &&
    hasBrittleRoom(world, backend, nowMs)

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
 * VMs of the region share the limit.
 */
private fun coldAllowance(world: GatewayWorld, backend: Backend, nowMs: Long): Int {
    val rate = world.catalog?.service(backend.record.service)?.coldRequestsPerS ?: return 0
    val bound = (rate * world.bounds.coldOverage + world.bounds.coldSlack - COLD_RESERVE).toInt()
    if (isDiscovering(world, nowMs)) return 0
    return shareOf(world, backend, bound, nowMs)
}
