/*
 * Summaries between failure domains. The reporters of a domain send its summary to the other domains' reporters, and
 * whoever receives one passes it on to its own domain. A node therefore keeps connections to its own domain and, as a
 * reporter, to one VM of each other domain.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.VmState

/** Time between two summaries of one domain to another. */
const val SUMMARY_INTERVAL_MS = 1_000L

/** Silence after which a failure domain is unreachable. One reporter alone sends every 2 s. */
const val DOMAIN_TIMEOUT_MS = 5_000L

/** How many entry VMs of a failure domain send its summaries. */
const val REPORTERS_PER_DOMAIN = 2

/** A change is repeated in this many summaries, because a summary may be lost. */
private const val CHANGE_REPEATS = 3

/** Every so many turns of both reporters the list of serving VMs is sent although it did not change. */
private const val VMS_EVERY = 4L

/** Most summaries with content that are passed on in one message, so that its size stays bounded. */
private const val MAX_PASSED_ON = 6

/** Keeps the table of failure domains. */
class SummarySystem : TickSystem {
    private var nextSendMs = Long.MIN_VALUE
    private var round = 0L

    /** Lasts two rounds, because a reporter sends to one domain in every other round only. */
    private val turn: Long
        get() = round / REPORTERS_PER_DOMAIN
    private var sequence = Long.MIN_VALUE
    private val sent = HashMap<ServiceId, SentLoad>()
    private var sentVms: Set<VmId> = emptySet()
    private var vmRepeats = 0
    private val toPassOn = LinkedHashMap<FailureDomainId, DomainSummary>()
    private val heardDirectly = LinkedHashSet<FailureDomainId>()

    private class SentLoad(var load: ServiceLoad, var repeats: Int)

    override fun run(world: World, tick: Tick) {
        tick.each<PeerControl> { event ->
            (event.message as? DomainSummaries)?.let { receive(world, tick, event.from, it) }
        }
        if (tick.nowMs >= nextSendMs) {
            nextSendMs = tick.nowMs + SUMMARY_INTERVAL_MS
            round += 1
            addRows(world)
            judgeReachability(world, tick)
            world.resetOverflowAllowances(tick.nowMs)
            report(world, tick)
            passOn(world, tick)
        }
        tick.wakeAt(nextSendMs)
    }

    private fun addRows(world: World) {
        for (vm in world.entryVms) world.domains.getOrPut(vm.record.domain, vm.record::toDomain)
    }

    private fun receive(world: World, tick: Tick, from: VmId, message: DomainSummaries) {
        val sender = world.entryVms[from]?.record?.domain ?: return
        val isFromOwnDomain = sender == world.self.domain
        for (summary in message.domains) {
            if (summary.domain == world.self.domain) {
                sequence = maxOf(sequence, summary.sequence)
                continue
            }
            val row = world.domains.getOrPut(summary.domain) { FailureDomain(summary.domain) }
            // What the own domain passes on was received within the last second, over a link that is up both ways.
            if (isFromOwnDomain) row.hear(tick.nowMs, isReverseLinkUp = true)
            if (summary.sequence <= row.sequence) continue
            row.take(summary)
            row.hear(tick.nowMs, isFromOwnDomain || message.hearsReceiver)
            if (!isFromOwnDomain && message.hearsReceiver) keepForOwnDomain(summary)
        }
        if (isFromOwnDomain) {
            for (id in message.heard) world.domains[id]?.hear(tick.nowMs, isReverseLinkUp = true)
        } else if (message.hearsReceiver) {
            heardDirectly += sender
        }
        judgeReachability(world, tick)
    }

    private fun keepForOwnDomain(summary: DomainSummary) {
        val waiting = toPassOn.remove(summary.domain)
        val hasContent = summary.services.isNotEmpty() || summary.servingVms != null
        if (!hasContent && waiting == null) return
        toPassOn[summary.domain] = waiting?.followedBy(summary) ?: summary
    }

    private fun judgeReachability(world: World, tick: Tick) {
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

    private fun report(world: World, tick: Tick) {
        val own = world.servingVmsOfOwnDomain().reporters(world.self.domain)
        val index = own.indexOf(world.self.vm)
        if (index < 0) return
        val summary = ownSummary(world, tick)
        val others = world.domains.map { it.id }.filter { it != world.self.domain }.sorted()
        others.forEachIndexed { at, domain ->
            // The two reporters take turns, so that a domain hears one summary a second in total.
            val isOwnTurn = own.size == 1 || (at + round + index) % REPORTERS_PER_DOMAIN == 0L
            if (isOwnTurn) send(world, tick, domain, summary)
        }
        // The other reporter continues the sequence, so that the receivers accept both.
        for (vm in own) {
            if (vm == world.self.vm) continue
            tick.emit(SendControl(vm, DomainSummaries(listOf(summary.withoutContent()))))
        }
    }

    private fun send(world: World, tick: Tick, domain: FailureDomainId, summary: DomainSummary) {
        val row = world.domains[domain] ?: return
        val listed = world.entryVms.filter {
            it.record.domain == domain && it.record.state == VmState.LIVE
        }.map { it.id }
        val serving = listed.filter { it in row.servingVms }
        // Without a fresh summary every listed VM is tried in turn, because any of them may be down.
        val candidates = if (row.isReachable) serving.reporters(domain) else listed.sorted()
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
        // A later incarnation starts above whatever earlier processes of the domain have sent, one number a second.
        sequence = maxOf(sequence, world.self.incarnation.value) + 1
        val vms = world.servingVmsOfOwnDomain().toSet()
        if (vms != sentVms) {
            sentVms = vms
            vmRepeats = CHANGE_REPEATS
        }
        val sendsVms = vmRepeats-- > 0 || turn % VMS_EVERY == 0L
        return DomainSummary(
            domain = world.self.domain,
            sequence = sequence,
            position = world.configuration.snapshot?.sequence,
            services = changedLoads(world, tick.nowMs),
            servingVms = if (sendsVms) vms.sorted() else null,
        )
    }

    private fun changedLoads(world: World, nowMs: Long): List<ServiceLoad> {
        val services = world.backends.flatMapTo(sortedSetOf(compareBy { it.value })) {
            it.record.services
        } + sent.keys
        return services.filterIndexed { at, service ->
            val load = world.ownLoad(service, nowMs).toLoad(service)
            val row = sent.getOrPut(service) { SentLoad(ServiceLoad(service), 0) }
            if (row.load != load) row.repeats = CHANGE_REPEATS
            row.load = load
            val isOwnTurn = turn % services.size == at.toLong()
            row.repeats-- > 0 || isOwnTurn
        }.map { sent.getValue(it).load }
    }

    private fun passOn(world: World, tick: Tick) {
        val domains = toPassOn.values.take(MAX_PASSED_ON)
        if (heardDirectly.isEmpty() && domains.isEmpty()) return
        domains.forEach { toPassOn.remove(it.domain) }
        val alive = heardDirectly.filter { id -> domains.none { it.domain == id } }
        heardDirectly.clear()
        val message = DomainSummaries(domains, heard = alive)
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

private fun FailureDomain.hear(nowMs: Long, isReverseLinkUp: Boolean) {
    lastHeardMs = nowMs
    this.isReverseLinkUp = isReverseLinkUp
}

private fun FailureDomain.take(summary: DomainSummary) {
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

/** One summary with the content of both; [later] wins. */
private fun DomainSummary.followedBy(later: DomainSummary): DomainSummary {
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

/** [value] to its two highest binary digits, so that small changes are not sent. */
internal fun rounded(value: Int): Int {
    val highest = Integer.highestOneBit(value)
    val step = maxOf(1, highest / 2)
    return value / step * step
}
