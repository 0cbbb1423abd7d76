/*
 * What the quarantine of prompt parts means for a call: whether it may be sent, whether it waits
 * for evidence, and what this process tells other VMs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.rendezvousFirst

/**
 * An answer that is broken off within this time after its first event or body byte had just begun.
 * One that lasts longer proves that its prompt parts crash no server.
 */
internal const val BEGINNING_MS = 300L

private val LOST_CONNECTION = setOf(BreakReason.CONNECTION_LOST, BreakReason.TRUNCATED)

/** Maximum number of parts in one datagram, so that it fits into one packet. */
private const val MAX_REPORTED_PARTS = 6

/** Evidence is repeated in datagrams for this long, since single datagrams get lost. */
private const val REPORTED_MS = 10_000L

/** Whether [event] reports a connection that broke on which an answer had just begun. */
internal fun wasLostAtBeginning(event: SendEnded): Boolean {
    val reason = (event.outcome as? SendOutcome.Broken)?.reason
    val hasLasted = event.contentAgeMs != null && event.contentAgeMs > BEGINNING_MS
    return reason in LOST_CONNECTION && event.hasBegun && !hasLasted
}

/** Returns the quarantined shared parts because of which [call] must not be sent. */
internal fun quarantinedParts(world: GatewayWorld, call: Call): List<SuspectPart> {
    if (world.suspectParts.size == 0) return emptyList()
    val ids = call.spec.prompt?.sharedParts.orEmpty().map { it.id }
    return suspectsOf(world, call).filter { it.isQuarantined && ids.containsAll(it.quarantine) }
}

/**
 * Whether [call] has an unproven part that is accused of a crash. The crash may not be confirmed
 * yet.
 */
internal fun isSuspect(world: GatewayWorld, call: Call): Boolean = suspectsOf(world, call).any {
    world.answeredParts.lastMs(it.id) == null && it.crashes.isNotEmpty()
}

/** Whether an answer has begun on every shared part of the prompt of [call]. */
internal fun isProven(world: GatewayWorld, call: Call): Boolean =
    call.spec.prompt?.sharedParts.orEmpty().all { world.answeredParts.lastMs(it.id) != null }

private fun suspectsOf(world: GatewayWorld, call: Call): List<SuspectPart> =
    call.spec.prompt?.sharedParts.orEmpty().mapNotNull { world.suspectParts[it.id] }

/**
 * Whether this process is the one that tests [part]. Processes that see the same live VMs agree on
 * it, across all regions.
 */
internal fun isProber(world: GatewayWorld, part: SuspectPart): Boolean {
    if (!world.process.isReady) return false
    val self = world.self
    val regions = world.peers.filter { it.isLive }.map { it.identity.region } + self.region
    if (regions.rendezvousFirst(part.id.value, RegionId::value) != self.region) return false
    val vms = world.liveRegionPeers().filter { it.isReady && !it.isDraining }.map { it.vm }
    return (vms + self.vm).rendezvousFirst(part.id.value, VmId::value) == self.vm
}

/** Returns the evidence for the datagrams of this moment: quarantined parts, then the latest. */
internal fun evidenceReports(world: GatewayWorld, nowMs: Long): List<PartEvidence> =
    world.suspectParts
        .filter { part -> part.crashes.values.any { it.isConfirmed } }
        .filter { it.isQuarantined || nowMs - it.changedMs < REPORTED_MS }
        .sortedWith(
            compareByDescending<SuspectPart> { it.isQuarantined }
                .thenByDescending { it.changedMs },
        )
        .take(MAX_REPORTED_PARTS)
        .map { reportOf(world, it, nowMs) }

private fun reportOf(world: GatewayWorld, part: SuspectPart, nowMs: Long) = PartEvidence(
    part = part.id,
    crashes = part.crashes.filterValues { it.isConfirmed }
        .map { (id, crash) -> CrashReport(id, nowMs - crash.atMs) },
    answeredAgeMs = world.answeredParts.lastMs(part.id)?.let { nowMs - it },
    probes = part.probes,
)
