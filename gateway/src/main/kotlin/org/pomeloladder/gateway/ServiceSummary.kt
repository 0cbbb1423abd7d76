/*
 * Summarizes the load of a service in this region in a few figures, which datagrams carry to the
 * other VMs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId

/**
 * Divides the number of servers to find the one whose wait is reported: a call that compares a few
 * servers meets about the wait that a quarter of all servers are below.
 */
private const val TYPICAL_WAIT_DIVISOR = 4

/** Wait reported for a service without a usable server in this region. */
private const val UNKNOWN_WAIT_MS = 60_000L

/** Returns the expected waits and the capacity of [service] in this region, for peers. */
internal fun serviceSummary(world: GatewayWorld, service: ServiceId, nowMs: Long): ServiceLoad {
    val reached = reachedServers(world, service)
    val usable = reached.filter {
        !mayBeCold(it, nowMs) && hasRoom(world, it, nowMs, isModest = true)
    }
    val urgentPriority = world.catalog?.mostUrgentPriority(service) ?: 0
    val waits = typicalWaits(world, usable, Int.MAX_VALUE, nowMs)
    val urgentWaits = typicalWaits(world, usable, urgentPriority, nowMs)
    val typical = lowerQuartile(waits)
    return ServiceLoad(
        service = service,
        totalSlots = usable.sumOf { it.record.slots },
        usedSlots = usable.sumOf { it.load },
        waitMs = typical?.second?.toLong() ?: UNKNOWN_WAIT_MS,
        eventGapMs = typical?.first?.life?.gapEstimator?.gapMs(nowMs)?.toFloat() ?: 0f,
        meanWaitMs = meanMs(waits) ?: UNKNOWN_WAIT_MS,
        urgentWaitMs = lowerQuartile(urgentWaits)?.second?.toLong() ?: UNKNOWN_WAIT_MS,
        reachedSlots = reached.sumOf { it.record.slots },
    )
}

/**
 * Returns the expected wait of a typical prompt of [priority] at each of [usable], the shortest
 * first.
 */
private fun typicalWaits(
    world: GatewayWorld,
    usable: List<Backend>,
    priority: Int,
    nowMs: Long,
): List<Pair<Backend, Double>> = usable
    .map { it to typicalWaitMs(world, it, priority, nowMs) }
    .sortedBy { it.second }

private fun typicalWaitMs(world: GatewayWorld, backend: Backend, priority: Int, nowMs: Long) =
    CallCosts.firstEventMs(
        backend,
        world.service(backend.record.service),
        CallCosts.TYPICAL_PROMPT_TOKENS,
        priority,
        world.catalog?.service(backend.record.service)?.engine != null,
        nowMs,
    )

/** Returns the server and wait that a call meets when it compares a few servers. */
private fun lowerQuartile(waits: List<Pair<Backend, Double>>) =
    waits.getOrNull(waits.size / TYPICAL_WAIT_DIVISOR)

private fun meanMs(waits: List<Pair<Backend, Double>>): Long? =
    if (waits.isEmpty()) null else waits.sumOf { it.second / waits.size }.toLong()
