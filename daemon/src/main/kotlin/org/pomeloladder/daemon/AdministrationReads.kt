/*
 * Copies parts of the world into responses of the administration API. Runs on the control thread.
 */
package org.pomeloladder.daemon

import org.pomeloladder.configuration.ConfigPosition
import org.pomeloladder.configuration.ConfigProblem
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.Verdict
import org.pomeloladder.configuration.VmState
import org.pomeloladder.decisions.BackendServer
import org.pomeloladder.decisions.EntryVm
import org.pomeloladder.decisions.Liveness
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.World
import org.pomeloladder.runtime.GaugeValues

private const val MAX_SHOWN_VERDICTS = 20

internal fun World.configurationStatus(nowMs: Long): ConfigurationStatus {
    val position = configuration.position
    return ConfigurationStatus(
        vm = self.vm.value,
        version = position?.version?.value,
        sequence = position?.sequence?.value,
        digest = position?.hexDigest(),
        ageMs = if (position == null) 0 else nowMs - configuration.inForceSinceMs,
        highestSeenSequence = configuration.highestSeen?.value,
        isPlatformReachable = process.isPlatformReachable,
        isWatchingPlatform = process.isWatching,
        peers = entryVms.filter { it.id != self.vm }.map { it.peerConfiguration(nowMs) },
        verdicts = configuration.recentVerdicts.takeLast(MAX_SHOWN_VERDICTS)
            .map { (sequence, verdict) -> verdict.status(sequence) },
    )
}

private fun EntryVm.peerConfiguration(nowMs: Long) = PeerConfiguration(
    vm = id.value,
    domain = record.domain.value,
    version = position?.version?.value,
    sequence = position?.sequence?.value,
    digest = position?.hexDigest(),
    heardAgoMs = nowMs - lastHeardMs,
)

private fun ConfigPosition.hexDigest() = "%016x".format(digest)

private fun Verdict.status(sequence: ConfigSequence) = VerdictStatus(
    sequence = sequence.value,
    verdict = code(),
    version = (this as? Verdict.Accepted)?.version?.value,
    problems = problems(),
)

internal fun Verdict.code(): String = when (this) {
    is Verdict.Accepted -> "accepted"
    is Verdict.Conflict -> "conflict"
    is Verdict.Invalid -> "invalid"
}

/** Lists the rules that a refused patch violates. A conflict is a violation of the base version. */
internal fun Verdict.problems(): List<ProblemStatus> = when (this) {
    is Verdict.Accepted -> emptyList()
    is Verdict.Conflict ->
        listOf(ProblemStatus("base", "version $inForce, which is in force", "version $base"))
    is Verdict.Invalid -> problems.map(ConfigProblem::status)
}

private fun ConfigProblem.status() = ProblemStatus(path, expected, found)

internal fun World.groupStatuses(): List<GroupStatus> {
    val document = configuration.document ?: return emptyList()
    val subscriberCounts = document.subscribers.values.groupingBy { it.group }.eachCount()
    return document.groups.map { (id, group) ->
        GroupStatus(
            group = id.value,
            services = group.services.map { it.value }.sorted(),
            regions = group.regions.map { it.value }.sorted(),
            weight = group.weight,
            deadlineMs = group.deadlineMs,
            subscribers = subscriberCounts[id] ?: 0,
        )
    }
}

internal fun World.serviceStatuses(): List<ServiceStatus> =
    configuration.document?.services.orEmpty().map { (id, service) ->
        when (service) {
            is Service.LanguageModel ->
                ServiceStatus(id.value, "model", service.model.value, isIdempotent = true)
            is Service.Plain -> ServiceStatus(id.value, "plain", null, service.idempotent)
        }
    }

internal fun World.regionStatuses(): List<RegionStatus> =
    configuration.document?.regions.orEmpty().map { (id, region) ->
        RegionStatus(id.value, region.domains.map { it.value }.sorted())
    }

internal fun World.usageStatuses(): List<UsageStatus> {
    val document = configuration.document ?: return emptyList()
    val usage = subscribers.groupBy { document.subscribers[it.id]?.group }
    val requestCounts = requests.groupingBy {
        document.subscribers[it.spec.subscriber]?.group
    }.eachCount()
    return document.groups.keys.map { group ->
        val rows = usage[group].orEmpty()
        UsageStatus(
            group = group.value,
            activeSubscribers = rows.count { it.ownCostTokens + it.peerCostTokens >= 1 },
            ownCostTokens = rows.sumOf { it.ownCostTokens }.toLong(),
            peerCostTokens = rows.sumOf { it.peerCostTokens }.toLong(),
            requests = requestCounts[group] ?: 0,
        )
    }
}

internal fun World.backendStatuses(nowMs: Long): List<BackendStatus> =
    backends.map { it.status(this, nowMs) }

private fun BackendServer.status(world: World, nowMs: Long) = BackendStatus(
    server = id.value,
    domain = record.domain.value,
    address = record.address.toString(),
    services = record.services.map { it.value }.sorted(),
    owner = owner?.value,
    isOwnedHere = owner == world.self.vm,
    window = windowSize,
    concurrency = record.concurrency,
    inFlight = inFlight,
    queued = queued,
    firstTokenMs = firstTokenMs.toLong(),
    isLeaving = isLeaving,
    ejectedForMs = maxOf(0, ejectedUntilMs - nowMs),
    unreachableForMs = maxOf(0, unreachableUntilMs - nowMs),
)

internal fun World.entryStatuses(nowMs: Long): List<EntryStatus> = entryVms.map { row ->
    EntryStatus(
        vm = row.id.value,
        domain = row.record.domain.value,
        region = configuration.document?.regionOf(row.record.domain)?.value,
        address = row.record.callerAddress.toString(),
        liveness = row.liveness.name.lowercase(),
        isDraining = row.isDraining,
        isLeaving = row.record.state == VmState.LEAVING,
        heardAgoMs = if (row.id == self.vm) 0 else nowMs - row.lastHeardMs,
    )
}

/** Returns the trace of [id], or null if this process has none. */
internal fun World.traceResponse(id: RequestId, nowMs: Long): TraceResponse? {
    val row = traces[id] ?: return null
    return TraceResponse(
        vm = self.vm.value,
        requestId = id.value,
        subscriber = row.spec?.subscriber?.value,
        service = row.spec?.service?.value,
        steps = row.steps.map {
            TraceStepStatus(nowMs - it.atMs, it.kind.code, it.target, it.detail)
        },
    )
}

internal fun World.gauges(nowMs: Long) = GaugeValues(
    configVersion = configuration.position?.version?.value ?: 0,
    configAgeMs = if (configuration.snapshot == null) 0 else nowMs - configuration.inForceSinceMs,
    liveEntryVms = entryVms.count { it.liveness == Liveness.LIVE },
    ownedServers = backends.count { it.owner == self.vm },
)
