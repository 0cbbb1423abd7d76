/*
 * Overflow of requests to other failure domains. A request stays in this process's domain unless
 * the domain has no server for the service, or the wait in another domain is clearly shorter even
 * with cold caches and the link latency included.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmState

/** Overflow to a domain starts when the local wait exceeds the remote wait by this factor. */
const val OVERFLOW_START_RATIO = 1.5

/** Overflow stops below this ratio; the gap to [OVERFLOW_START_RATIO] prevents flapping. */
const val OVERFLOW_STOP_RATIO = 1.1

/**
 * Time in which the share of a domain that is reachable again grows from zero to its full share,
 * because its caches are cold.
 */
const val RETURN_RAMP_MS = 60_000L

/** Round trip to another failure domain of the same region; links take about 1 ms each way. */
const val SAME_REGION_ROUND_TRIP_MS = 2.0

/** Round trip to another region; links between regions take tens of milliseconds each way. */
const val CROSS_REGION_ROUND_TRIP_MS = 60.0

/** Extra prefill time per prompt token in another domain, whose caches are likely to be cold. */
const val COLD_PREFILL_MS_PER_TOKEN = 0.1

/** Decides whether a request goes to another failure domain. */
interface OverflowPolicy {
    /**
     * Returns the entry VM of another domain that [request] is forwarded to, or null when it stays.
     * [hasOwnServer] is whether this process's domain has an available server for it.
     */
    fun choose(world: World, request: Request, tick: Tick, hasOwnServer: Boolean): EntryVm?
}

/** The default policy: compares expected waits, with hysteresis and an allowance per window. */
class RealOverflowPolicy : OverflowPolicy {
    override fun choose(
        world: World,
        request: Request,
        tick: Tick,
        hasOwnServer: Boolean,
    ): EntryVm? {
        val ranked = candidates(world, request).sortedWith(
            compareBy<Candidate> { !it.isOwnRegion }.thenBy { it.waitMs(request) }
                .thenBy { it.domain.id },
        )
        val chosen = if (hasOwnServer) {
            val ownWaitMs = world.ownLoad(request.spec.service, tick.nowMs)?.expectedWaitMs ?: 0.0
            ranked.firstOrNull { it.acceptsOverflow(request, ownWaitMs) }
        } else {
            ranked.firstOrNull { tick.random.nextDouble() < it.domain.rampShare(tick.nowMs) }
                ?: ranked.firstOrNull()
        }
        return chosen?.vms?.rendezvousFirst(request.spec.prefix.value) { it.id.value }
    }

    private class Candidate(
        val domain: FailureDomain,
        val service: ServiceSummary,
        val isOwnRegion: Boolean,
        val vms: List<EntryVm>,
    ) {
        fun waitMs(request: Request): Double {
            val linkMs = if (isOwnRegion) SAME_REGION_ROUND_TRIP_MS else CROSS_REGION_ROUND_TRIP_MS
            val coldPrefillMs = request.spec.promptTokens * COLD_PREFILL_MS_PER_TOKEN
            return service.expectedWaitMs + linkMs + coldPrefillMs
        }

        fun acceptsOverflow(request: Request, ownWaitMs: Double): Boolean {
            val ratio = if (service.isOverflowTarget) OVERFLOW_STOP_RATIO else OVERFLOW_START_RATIO
            return service.allowance > 0 && ownWaitMs > waitMs(request) * ratio
        }
    }

    private fun candidates(world: World, request: Request): List<Candidate> {
        val document = world.configuration.document ?: return emptyList()
        val allowed = document.processingRegions(request.spec.subscriber)
        return world.domains.mapNotNull { domain ->
            val region = document.regionOf(domain.id)
            val service = domain.services[request.spec.service]
            val mayServe = domain.id != world.self.domain && domain.isReachable && region in allowed
            if (!mayServe || service == null || service.slots == 0) return@mapNotNull null
            val vms = world.servingVms(domain).filter { it.id !in request.triedVms }
            if (vms.isEmpty()) return@mapNotNull null
            Candidate(domain, service, region == world.region, vms)
        }
    }
}

/** Returns the entry VMs of another [domain] that its newest summary lists as serving. */
fun World.servingVms(domain: FailureDomain): List<EntryVm> =
    domain.servingVms.mapNotNull { entryVms[it] }.filter { it.record.state == VmState.LIVE }

/**
 * Returns the fraction of its normal traffic that a domain takes at [nowMs]. It grows from 0 to 1
 * after the domain became reachable again, and is 1 for a domain that was never unreachable.
 */
fun FailureDomain.rampShare(nowMs: Long): Double {
    val returnedMs = returnedAtMs ?: return 1.0
    return ((nowMs - returnedMs).toDouble() / RETURN_RAMP_MS).coerceIn(0.0, 1.0)
}

/**
 * Starts a new window: sets the number of requests that this process may send to each domain in
 * it. The number is limited by the queue of this process's domain and by the free slots of the
 * other one, and divided among the serving entry VMs of this domain.
 */
internal fun World.resetOverflowAllowances(nowMs: Long) {
    val senders = servingVmsOfOwnDomain().size.coerceAtLeast(1)
    val own = domains.flatMap { it.services.keys }.toSet().associateWith { ownLoad(it, nowMs) }
    for (domain in domains) {
        for ((id, service) in domain.services) {
            val ownSummary = own[id]
            val excess = ownSummary?.queued ?: 0
            val freeSlots = (service.slots - service.inFlight - service.queued).coerceAtLeast(0)
            val share = minOf(excess, freeSlots) * domain.rampShare(nowMs) / senders
            service.allowance = kotlin.math.ceil(share).toInt()
            val ownWaitMs = ownSummary?.expectedWaitMs ?: 0.0
            val linkMs = linkMs(domain.id)
            if (ownWaitMs < (service.expectedWaitMs + linkMs) * OVERFLOW_STOP_RATIO) {
                service.isOverflowTarget = false
            }
        }
    }
}

private fun World.linkMs(domain: FailureDomainId): Double {
    val other: RegionId? = configuration.document?.regionOf(domain)
    return if (other == region) SAME_REGION_ROUND_TRIP_MS else CROSS_REGION_ROUND_TRIP_MS
}

/** Deducts a [request] that was routed to [vm] from the allowance of its domain. */
internal fun World.recordOverflow(vm: EntryVm, request: Request) {
    val service = domains[vm.record.domain]?.services?.get(request.spec.service) ?: return
    service.isOverflowTarget = true
    service.allowance -= 1
}
