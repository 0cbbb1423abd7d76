/*
 * Spares brittle backend servers. The servers of a service may say that they fall over when they
 * have to turn away more than some requests a second for want of room. How much room one has is
 * known to no VM at the moment it sends, so nothing is sent that might have to wait there: each VM
 * keeps to its share of the places where work is done, and uses more of them only while most are
 * free. The word of one server counts for its whole service, and is passed on to all VMs.
 */
package org.pomeloladder.gateway

import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.decisions.LogEvent

/** All answers of brittle servers say so; after this time without such an answer it has ended. */
private const val BRITTLE_VALID_MS = 3_000L

/**
 * Part of a server's slots up to which VMs may exceed their shares, less the calls that each VM may
 * send before the others hear of them.
 */
private const val BORROWED_PART = 0.75
private const val UNHEARD_CALLS_PER_VM = 2

/** Pause after a rejection, in which those that wait at the server are served. */
private const val MIN_FULL_MS = 800L
private const val MAX_FULL_MS = 1_600L

/** What the servers of one service have said of how brittle they are. */
class Brittleness {
    /** Requests a second that a server can turn away. */
    var rejectionsPerS = 0.0
        private set

    /** Time of the latest answer that said so, here or at another VM. */
    var saidMs = NEVER_MS
        private set

    /** Takes over what an answer said at [atMs], unless it is no rate at all. */
    fun observe(rejectionsPerS: Double, atMs: Long) {
        if (!rejectionsPerS.isFinite() || rejectionsPerS < 0 || atMs <= saidMs) return
        this.rejectionsPerS = rejectionsPerS
        saidMs = atMs
    }

    fun isInForce(nowMs: Long): Boolean = nowMs - saidMs < BRITTLE_VALID_MS
}

/** Records which services are brittle, and which of their servers are full. */
class BrittleSystem : GatewaySystem {
    private val brittleServices = HashSet<ServiceId>()

    override fun run(world: GatewayWorld, tick: GatewayTick) {
        for (event in tick.events) {
            when (event) {
                is ServerActivity -> onActivity(world, tick, event)
                is GossipReceived -> onGossip(world, tick, event)
                is SendEnded -> onEnded(world, tick, event)
                else -> Unit
            }
        }
        logChanges(world, tick)
    }

    private fun onActivity(world: GatewayWorld, tick: GatewayTick, event: ServerActivity) {
        for ((id, rejectionsPerS) in event.brittle) {
            val service = world.backends[id]?.record?.service ?: continue
            observe(world, service, rejectionsPerS, tick.nowMs)
        }
    }

    private fun onGossip(world: GatewayWorld, tick: GatewayTick, event: GossipReceived) {
        for (report in event.message.brittle) {
            val atMs = tick.nowMs - report.ageMs.coerceAtLeast(0)
            observe(world, report.service, report.rejectionsPerS, atMs)
        }
    }

    private fun observe(
        world: GatewayWorld,
        service: ServiceId,
        rejectionsPerS: Double,
        atMs: Long,
    ) {
        val brittleness = world.service(service).brittleness
        if (!brittleness.isInForce(atMs)) world.process.evidenceVersion++
        brittleness.observe(rejectionsPerS, atMs)
    }

    private fun onEnded(world: GatewayWorld, tick: GatewayTick, event: SendEnded) {
        val outcome = event.outcome as? SendOutcome.NotRun ?: return
        if (outcome.reason != NotRunReason.FULL) return
        val backend = world.serverOf(event.send) ?: return
        // VMs that were all turned away at once must not return at once.
        val pauseMs = tick.random.nextLong(MIN_FULL_MS, MAX_FULL_MS)
        backend.life.fullUntilMs = tick.nowMs + pauseMs
    }

    private fun logChanges(world: GatewayWorld, tick: GatewayTick) {
        for (state in world.services) {
            val isBrittle = state.brittleness.isInForce(tick.nowMs)
            if (isBrittle == state.id in brittleServices) continue
            if (isBrittle) brittleServices += state.id else brittleServices -= state.id
            val details = mapOf(
                "service" to state.id,
                "isBrittle" to isBrittle,
                "rejectionsPerS" to state.brittleness.rejectionsPerS,
            )
            tick.journal.log(LogEvent.SERVICE_BRITTLE, details)
        }
    }
}

/**
 * Whether [backend] has room for one more call of this VM without turning any away, if its service is
 * brittle. The shares of all VMs of the region add up to no more than the slots.
 */
internal fun hasBrittleRoom(world: GatewayWorld, backend: Backend, nowMs: Long): Boolean {
    if (!world.service(backend.record.service).brittleness.isInForce(nowMs)) return true
    val report = backend.life.freshReport(nowMs)
    val isWaiting = report != null && report.waiting > 0
    if (nowMs < backend.life.fullUntilMs || isWaiting) return false
    val unheardCalls = sharingVmCount(world, nowMs) * UNHEARD_CALLS_PER_VM
    if (backend.load + unheardCalls <= backend.record.slots * BORROWED_PART) return true
    return backend.inFlight < shareOf(world, backend, backend.record.slots, nowMs)
}

/** Returns what datagrams tell of services that are brittle. */
internal fun brittleReports(world: GatewayWorld, nowMs: Long): List<BrittleReport> =
    world.services.filter { it.brittleness.isInForce(nowMs) }.map {
        BrittleReport(it.id, it.brittleness.rejectionsPerS, nowMs - it.brittleness.saidMs)
    }
