/*
 * Estimates the wait for a service in this process's failure domain from the owners' load counts
 * and moving averages.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.ServiceId

/**
 * Returns the load of [service] on the available servers of this process's failure domain, or null
 * if there are none.
 */
fun World.ownLoad(service: ServiceId, nowMs: Long): ServiceSummary? {
    val servers = availableServers(service, nowMs).filter { it.owner != null }
    if (servers.isEmpty()) return null
    return ServiceSummary(
        slots = servers.sumOf { it.record.concurrency },
        inFlight = servers.sumOf { it.inFlight },
        queued = servers.sumOf { it.queued },
        expectedWaitMs = servers.sumOf { it.expectedWaitMs() } / servers.size,
    )
}

/** Expected time to first token of an attempt that is queued now, including its queueing time. */
private fun BackendServer.expectedWaitMs(): Double {
    if (load == 0) return firstTokenMs
    val meanCostTokens = (queuedCostTokens + inFlightCostTokens).toDouble() / load
    val measuredMs = serviceMsPerCostToken * meanCostTokens
    // Before the first complete answer, the time to first token is the only known duration.
    val attemptMs = if (measuredMs > 0) measuredMs else firstTokenMs
    return queued * attemptMs / windowSize.coerceAtLeast(1) + firstTokenMs
}
