/*
 * Divides the slack of the retry budgets among the entry VMs, which share it without asking each
 * other. The shares of all processes that run within one window add up to at most the whole.
 */
package org.pomeloladder.gateway

/**
 * Returns this process's share of the slack. Each region has an equal part, so that regions that are
 * cut off from each other need not know each other's VMs, and each VM of the region an equal part of
 * that.
 */
internal fun retrySlackShare(world: GatewayWorld, nowMs: Long): Double {
    val process = world.process
    val uptimeMs = nowMs - (process.startedMs ?: nowMs)
    // An earlier process of this VM may have used the share of the current window.
    if (uptimeMs < world.bounds.retryWindowMs + MAX_ARRIVAL_DELAY_MS) return 0.0
    if (!process.hasMetVms && hasOtherSeeds(world)) return 0.0
    val regions = world.regions.values.distinct().size.coerceAtLeast(1)
    return world.bounds.retrySlack / regions / (process.knownRegionVms + 1)
}

/** Whether the settings name other VMs, so that a process that knows none of them is cut off. */
private fun hasOtherSeeds(world: GatewayWorld) = world.seeds.any { it != world.self.gossip }
