/*
 * The expected wait of a service in the own failure domain, from what owners count and the moving averages that they
 * keep.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.ServiceId

/** Load of [service] on the available servers of the own failure domain; null when there is none. */
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

/** Time until the first token of an attempt that is queued now: the queue ahead of it and one first token. */
private fun BackendServer.expectedWaitMs(): Double {
    if (load == 0) return firstTokenMs
    val meanCostTokens = (queuedCostTokens + inFlightCostTokens).toDouble() / load
    val measuredMs = serviceMsPerCostToken * meanCostTokens
    // Without an observation of whole answers, the first token is the only figure for an attempt's duration.
    val attemptMs = if (measuredMs > 0) measuredMs else firstTokenMs
    return queued * attemptMs / windowSize.coerceAtLeast(1) + firstTokenMs
}
