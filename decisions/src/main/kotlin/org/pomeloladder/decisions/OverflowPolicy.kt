/*
 * When work leaves the own failure domain. Local first: another domain is chosen only when the own one has no server of
 * the service, or when the wait there is clearly shorter although its caches are cold and the link takes time.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmState

/** The own wait must be this many times the other one before work starts to leave. */
const val OVERFLOW_START_RATIO = 1.5

/** Below this ratio work stops leaving; the gap to [OVERFLOW_START_RATIO] keeps the choice from switching to and fro. */
const val OVERFLOW_STOP_RATIO = 1.1

/** A domain that comes back takes its full share after this time, because its caches are cold. */
const val RETURN_RAMP_MS = 60_000L

/** Round trip to another failure domain of the own region; links there take about 1 ms each way. */
const val SAME_REGION_ROUND_TRIP_MS = 2.0

/** Round trip to another region; links between regions take tens of milliseconds each way. */
const val CROSS_REGION_ROUND_TRIP_MS = 60.0

/** Prefill time of a prompt token that the cache of the own domain is likely to hold. */
const val COLD_PREFILL_MS_PER_TOKEN = 0.1

/** Chooses another failure domain for a request. */
interface OverflowPolicy {
    /**
     * The entry VM that takes [request] in another domain, or null when it stays. [hasOwnServer] tells whether the own
     * domain could take it.
     */
    fun choose(world: World, request: Request, tick: Tick, hasOwnServer: Boolean): EntryVm?
}

/** The policy of production. */
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
            ranked.firstOrNull { it.takesOverflow(request, ownWaitMs) }
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
            val coldMs = request.spec.promptTokens * COLD_PREFILL_MS_PER_TOKEN
            return service.expectedWaitMs + linkMs + coldMs
        }

        fun takesOverflow(request: Request, ownWaitMs: Double): Boolean {
            val margin = if (service.isOverflowTarget) OVERFLOW_STOP_RATIO else OVERFLOW_START_RATIO
            return service.allowance > 0 && ownWaitMs > waitMs(request) * margin
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

/** Entry VMs of another [domain] that its newest summary names. */
fun World.servingVms(domain: FailureDomain): List<EntryVm> =
    domain.servingVms.mapNotNull { entryVms[it] }.filter { it.record.state == VmState.LIVE }

/** The share of its traffic that a domain takes at [nowMs] after it came back; 1 when it was never lost. */
fun FailureDomain.rampShare(nowMs: Long): Double {
    val since = returnedAtMs ?: return 1.0
    return ((nowMs - since).toDouble() / RETURN_RAMP_MS).coerceIn(0.0, 1.0)
}

/** Opens a new window: what may be sent to each domain in it is limited by the own excess and by free slots there. */
internal fun World.resetOverflowAllowances(nowMs: Long) {
    val senders = servingVmsOfOwnDomain().size.coerceAtLeast(1)
    val own = domains.flatMap { it.services.keys }.toSet().associateWith { ownLoad(it, nowMs) }
    for (domain in domains) {
        for ((id, service) in domain.services) {
            val here = own[id]
            val excess = here?.queued ?: 0
            val free = (service.slots - service.inFlight - service.queued).coerceAtLeast(0)
            val share = minOf(excess, free) * domain.rampShare(nowMs) / senders
            service.allowance = kotlin.math.ceil(share).toInt()
            val ownWaitMs = here?.expectedWaitMs ?: 0.0
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

/** Counts a request that routing sent to the domain of [vm] against the window. */
internal fun World.recordOverflow(vm: EntryVm, request: Request) {
    val service = domains[vm.record.domain]?.services?.get(request.spec.service) ?: return
    service.isOverflowTarget = true
    service.allowance -= 1
}
