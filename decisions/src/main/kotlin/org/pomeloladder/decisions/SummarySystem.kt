/*
 * Summaries between failure domains. The reporters of a domain send its summary to the reporters of
 * the other domains, and each recipient relays it within its own domain. An entry VM therefore only
 * needs connections to its own domain and, as a reporter, to one VM of each other domain.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.VmState

/** Interval between summaries from one domain to another. */
const val SUMMARY_INTERVAL_MS = 1_000L

/**
 * Time without summaries after which a failure domain is unreachable. If one of two reporters
 * fails, the other still sends every 2 s.
 */
const val DOMAIN_TIMEOUT_MS = 5_000L

/** Number of entry VMs of a failure domain that send its summaries. */
const val REPORTERS_PER_DOMAIN = 2

/** Number of summaries in which a change is sent, because a summary may be lost. */
private const val CHANGE_REPEATS = 3

/** An unchanged list of serving VMs is sent again once in this many cycles of both reporters. */
private const val SERVING_VMS_PERIOD = 4L

/** Maximum number of summaries with content in one relayed message, which bounds its size. */
private const val MAX_RELAYED_SUMMARIES = 6

/** Maintains the table of failure domains. */
class SummarySystem : TickSystem {
    private var nextSendMs = Long.MIN_VALUE
    private var round = 0L

    /** Cycle of two rounds. A reporter sends to a given domain in every second round only. */
    private val cycle: Long
        get() = round / REPORTERS_PER_DOMAIN
    private var sequence = Long.MIN_VALUE
    private val sentLoads = HashMap<ServiceId, SentLoad>()
    private var sentVms: Set<VmId> = emptySet()
    private var vmRepeatsLeft = 0
    private val pendingRelays = LinkedHashMap<FailureDomainId, DomainSummary>()
    private val heardDirectly = LinkedHashSet<FailureDomainId>()

    private class SentLoad(var load: ServiceLoad, var repeatsLeft: Int)

    override fun run(world: World, tick: Tick) {
        tick.each<PeerControl> { event ->
            (event.message as? DomainSummaries)?.let { receive(world, tick, event.from, it) }
        }
        if (tick.nowMs >= nextSendMs) {
            nextSendMs = tick.nowMs + SUMMARY_INTERVAL_MS
            round += 1
            addMissingDomains(world)
            updateReachability(world, tick)
            world.resetOverflowAllowances(tick.nowMs)
            sendSummaries(world, tick)
            relayToOwnDomain(world, tick)
        }
        tick.wakeAt(nextSendMs)
    }

    private fun addMissingDomains(world: World) {
        for (vm in world.entryVms) world.domains.getOrPut(vm.record.domain, vm.record::toDomain)
    }

    private fun receive(world: World, tick: Tick, from: VmId, message: DomainSummaries) {
        val senderDomain = world.entryVms[from]?.record?.domain ?: return
        val isFromOwnDomain = senderDomain == world.self.domain
        for (summary in message.domains) {
            if (summary.domain == world.self.domain) {
                sequence = maxOf(sequence, summary.sequence)
                continue
            }
            val row = world.domains.getOrPut(summary.domain) { FailureDomain(summary.domain) }
            // Peers only relay summaries that they received within the last second, over a link
            // that works in both directions.
            if (isFromOwnDomain) row.hear(tick.nowMs, isReverseUp = true)
            if (summary.sequence <= row.sequence) continue
            row.update(summary)
            row.hear(tick.nowMs, isFromOwnDomain || message.hearsReceiver)
            if (!isFromOwnDomain && message.hearsReceiver) queueRelay(summary)
        }
        if (isFromOwnDomain) {
            for (id in message.heardDomains) world.domains[id]?.hear(tick.nowMs, isReverseUp = true)
        } else if (message.hearsReceiver) {
            heardDirectly += senderDomain
        }
        updateReachability(world, tick)
    }

    private fun queueRelay(summary: DomainSummary) {
        val pending = pendingRelays.remove(summary.domain)
        val hasContent = summary.services.isNotEmpty() || summary.servingVms != null
        if (!hasContent && pending == null) return
        pendingRelays[summary.domain] = pending?.mergedWith(summary) ?: summary
    }

    private fun updateReachability(world: World, tick: Tick) {
        for (row in world.domains) {
            val isOwn = row.id == world.self.domain
            val isHeard = row.isHeard(tick.nowMs)
            val isReachable = isOwn || (isHeard && row.isReverseLinkUp)
            if (isReachable == row.isReachable) continue
            row.isReachable = isReachable
            if (!isReachable) row.returnedAtMs = Long.MAX_VALUE
            if (isReachable && row.returnedAtMs != null) row.returnedAtMs = tick.nowMs
            val event =
                if (isReachable) LogEvent.DOMAIN_REACHABLE else LogEvent.DOMAIN_UNREACHABLE
            tick.journal.log(event, mapOf("domain" to row.id))
        }
    }

    private fun sendSummaries(world: World, tick: Tick) {
        val ownReporters = world.servingVmsOfOwnDomain().reporters(world.self.domain)
        val index = ownReporters.indexOf(world.self.vm)
        if (index < 0) return
        val summary = ownSummary(world, tick)
        val otherDomains = world.domains.map { it.id }.filter { it != world.self.domain }.sorted()
        otherDomains.forEachIndexed { itemIndex, domain ->
            // The two reporters alternate, so that a domain receives one summary a second in total.
            val isDue =
                ownReporters.size == 1 || (itemIndex + round + index) % REPORTERS_PER_DOMAIN == 0L
            if (isDue) send(world, tick, domain, summary)
        }
        // Keeps the other reporter's sequence in step, so that recipients accept summaries of both.
        for (vm in ownReporters) {
            if (vm == world.self.vm) continue
            tick.emit(SendControl(vm, DomainSummaries(listOf(summary.withoutContent()))))
        }
    }

    private fun send(world: World, tick: Tick, domain: FailureDomainId, summary: DomainSummary) {
        val row = world.domains[domain] ?: return
        val listedVms = world.entryVms.filter {
            it.record.domain == domain && it.record.state == VmState.LIVE
        }.map { it.id }
        val serving = listedVms.filter { it in row.servingVms }
        // If the domain is unreachable, tries all listed VMs in turn, because any may be down.
        val candidates = if (row.isReachable) serving.reporters(domain) else listedVms.sorted()
        if (candidates.isEmpty()) return
        val to = candidates[(round / REPORTERS_PER_DOMAIN % candidates.size).toInt()]
        val message = DomainSummaries(
            domains = listOf(summary),
            hearsReceiver = row.isHeard(tick.nowMs),
            entryListRevision = world.process.entryListRevision,
        )
        tick.emit(SendControl(to, message))
    }

    private fun ownSummary(world: World, tick: Tick): DomainSummary {
        // The sequence increases by one a second, so a later incarnation starts above all numbers
        // that earlier processes of the domain have sent.
        sequence = maxOf(sequence, world.self.incarnation.value) + 1
        val vms = world.servingVmsOfOwnDomain().toSet()
        if (vms != sentVms) {
            sentVms = vms
            vmRepeatsLeft = CHANGE_REPEATS
        }
        val sendsVms = vmRepeatsLeft-- > 0 || cycle % SERVING_VMS_PERIOD == 0L
        return DomainSummary(
            domain = world.self.domain,
            sequence = sequence,
            position = world.configuration.snapshot?.sequence,
            services = loadsToSend(world, tick.nowMs),
            servingVms = if (sendsVms) vms.sorted() else null,
        )
    }

    private fun loadsToSend(world: World, nowMs: Long): List<ServiceLoad> {
        val services = world.backends.flatMapTo(sortedSetOf(compareBy { it.value })) {
            it.record.services
        } + sentLoads.keys
        return services.filterIndexed { itemIndex, service ->
            val load = world.ownLoad(service, nowMs).toLoad(service)
            val row = sentLoads.getOrPut(service) { SentLoad(ServiceLoad(service), 0) }
            if (row.load != load) row.repeatsLeft = CHANGE_REPEATS
            row.load = load
            val isDue = cycle % services.size == itemIndex.toLong()
            row.repeatsLeft-- > 0 || isDue
        }.map { sentLoads.getValue(it).load }
    }

    private fun relayToOwnDomain(world: World, tick: Tick) {
        val domains = pendingRelays.values.take(MAX_RELAYED_SUMMARIES)
        if (heardDirectly.isEmpty() && domains.isEmpty()) return
        domains.forEach { pendingRelays.remove(it.domain) }
        val otherHeardDomains = heardDirectly.filter { id -> domains.none { it.domain == id } }
        heardDirectly.clear()
        val message = DomainSummaries(domains, heardDomains = otherHeardDomains)
        for (vm in world.entryVms) {
            val isPeer = vm.id != world.self.vm && vm.record.domain == world.self.domain
            if (isPeer) tick.emit(SendControl(vm.id, message))
        }
    }
}

private fun EntryVmRecord.toDomain() = FailureDomain(domain)

private fun List<VmId>.reporters(domain: FailureDomainId): List<VmId> =
    rendezvousOrder(hashKey(domain.value)) { it.value }.take(REPORTERS_PER_DOMAIN)

private fun FailureDomain.isHeard(nowMs: Long) =
    lastHeardMs != Long.MIN_VALUE && nowMs - lastHeardMs < DOMAIN_TIMEOUT_MS

private fun FailureDomain.hear(nowMs: Long, isReverseUp: Boolean) {
    lastHeardMs = nowMs
    this.isReverseLinkUp = isReverseUp
}

private fun FailureDomain.update(summary: DomainSummary) {
    sequence = summary.sequence
    summary.servingVms?.let { servingVms = it.toSet() }
    for (load in summary.services) {
        val row = services.getOrPut(load.service) { ServiceSummary() }
        row.slots = load.slots
        row.inFlight = load.inFlight
        row.queued = load.queued
        row.expectedWaitMs = load.expectedWaitMs.toDouble()
    }
}

private fun DomainSummary.withoutContent() = DomainSummary(domain, sequence)

/** Returns a summary with the content of both. Where both have a value, that of [later] is used. */
private fun DomainSummary.mergedWith(later: DomainSummary): DomainSummary {
    val updated = later.services.mapTo(HashSet()) { it.service }
    return later.copy(
        services = services.filter { it.service !in updated } + later.services,
        servingVms = later.servingVms ?: servingVms,
    )
}

private fun ServiceSummary?.toLoad(service: ServiceId) = if (this == null) {
    ServiceLoad(service)
} else {
    ServiceLoad(
        service = service,
        slots = slots,
        inFlight = rounded(inFlight),
        queued = rounded(queued),
        expectedWaitMs = rounded(expectedWaitMs.toInt()),
    )
}

/** Rounds [value] down to its two highest binary digits, so that small changes are not sent. */
internal fun rounded(value: Int): Int {
    val highest = Integer.highestOneBit(value)
    val step = maxOf(1, highest / 2)
    return value / step * step
}
