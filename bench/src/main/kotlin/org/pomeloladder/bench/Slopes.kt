/*
 * The `slopes` measurement: network, CPU and memory cost of the control part of an entry process as
 * a function of fleet size, on one machine and without sockets. `docs/CAPACITY.md` is derived from
 * its figures.
 */
package org.pomeloladder.bench

import java.lang.management.ManagementFactory
import java.util.Locale
import java.util.PriorityQueue
import kotlin.random.Random
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.Subscriber
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.digestAfter
import org.pomeloladder.configuration.fold
import org.pomeloladder.decisions.Attempt
import org.pomeloladder.decisions.AttemptEnded
import org.pomeloladder.decisions.AttemptFirstToken
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendServer
import org.pomeloladder.decisions.CompleteRequest
import org.pomeloladder.decisions.EntryVm
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.HomeToken
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Order
import org.pomeloladder.decisions.OrderKey
import org.pomeloladder.decisions.Origin
import org.pomeloladder.decisions.Place
import org.pomeloladder.decisions.PrefixKey
import org.pomeloladder.decisions.Request
import org.pomeloladder.decisions.RequestArrived
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.RequestSpec
import org.pomeloladder.decisions.StartAttempt
import org.pomeloladder.decisions.SubscriberUsage

private const val SETTLE_MS = 12_000L
private const val MEASURED_MS = 32_000L
private const val HEAP_ROWS = 20_000
private const val SERVICE_MS = 2_000L
private const val FIRST_TOKEN_MS = 200L
private const val WARM_UP_SECONDS = 20
private const val MEASURED_SECONDS = 30
private const val MEASURED_FOLDS = 200
private const val MS_PER_S = 1_000L
private const val NS_PER_US = 1_000.0
private val vmCounts = listOf(2, 4, 16)
private val domainCounts = listOf(2, 14, 28)
private val serviceCounts = listOf(1, 18)
private val serverCounts = listOf(10, 100, 1_000)
private val subscriberCounts = listOf(100, 1_000, 10_000)
private val requestRates = listOf(10, 100)

/** Named figures by group, in measurement order. */
class SlopesReport {
    private val groups = LinkedHashMap<String, LinkedHashMap<String, Double>>()

    fun add(group: String, name: String, value: Double) {
        groups.getOrPut(group) { LinkedHashMap() }[name] = value
    }

    fun toTable(seed: Long): String = buildString {
        append("slopes (seed $seed)")
        for ((group, figures) in groups) {
            append("\n  $group")
            for ((name, value) in figures) {
                append(String.format(Locale.ROOT, "\n    %-46s %14.3f", name, value))
            }
        }
    }

    fun toJson(seed: Long): String = buildJsonObject {
        put("experiment", "slopes")
        put("seed", seed)
        for ((group, figures) in groups) {
            putJsonObject(group) {
                for ((name, value) in figures) {
                    put(name, String.format(Locale.ROOT, "%.3f", value).toDouble())
                }
            }
        }
    }.toString()
}

/** Runs all measurements of the control part with one [seed]. */
class Slopes(private val seed: Long) {
    private val report = SlopesReport()
    private val threads = ManagementFactory.getThreadMXBean()

    fun run(): SlopesReport {
        measureTraffic()
        measureRequests()
        measureHeap()
        measureFold()
        measureSnapshots()
        return report
    }

    private fun measureTraffic() {
        val base = FleetSize()
        runTraffic("base: vms 8 servers 200 domains 56 services 9", base)
        for (vms in vmCounts) runTraffic("vms $vms", base.copy(vms = vms))
        for (servers in serverCounts.dropLast(1)) {
            runTraffic("servers $servers", base.copy(servers = servers))
        }
        for (domains in domainCounts) runTraffic("domains $domains", base.copy(domains = domains))
        for (services in serviceCounts) {
            runTraffic("services $services", base.copy(services = services))
        }
    }

    private fun runTraffic(label: String, size: FleetSize) {
        val fleet = ControlFleet(size, seed)
        fleet.advance(SETTLE_MS)
        fleet.resetBytes()
        fleet.advance(MEASURED_MS)
        val nodes = fleet.bytes.values
        val seconds = MEASURED_MS / MS_PER_S.toDouble()
        val group = "bytes/s per node, $label"
        report.add(
            group,
            "heartbeats sent, mean",
            nodes.sumOf { it.heartbeatsSent } / seconds / nodes.size,
        )
        report.add(
            group,
            "heartbeats received, mean",
            nodes.sumOf { it.heartbeatsReceived } / seconds / nodes.size,
        )
        report.add(
            group,
            "summaries sent, mean",
            nodes.sumOf { it.summariesSent } / seconds / nodes.size,
        )
        report.add(
            group,
            "summaries received, mean",
            nodes.sumOf { it.summariesReceived } / seconds / nodes.size,
        )
        report.add(group, "both directions, mean", nodes.sumOf { it.total } / seconds / nodes.size)
        report.add(group, "both directions, busiest node", nodes.maxOf { it.total } / seconds)
    }

    private fun measureRequests() {
        // Not reported: warms up the JIT compiler on a large fleet before the first measurement.
        RequestLoad(FleetSize(vms = 1, domains = 1), seed, perSecond = 100).run(WARM_UP_SECONDS)
        for (servers in serverCounts) runRequests(servers)
        for (subscribers in subscriberCounts) runRequests(subscribers = subscribers)
        for (perSecond in requestRates) runRequests(perSecond = perSecond)
    }

    private fun runRequests(servers: Int = 100, subscribers: Int = 270, perSecond: Int = 30) {
        val size = FleetSize(vms = 1, servers = servers, domains = 1, subscribers = subscribers)
        val idle = RequestLoad(size, seed, perSecond = 0)
        idle.run(WARM_UP_SECONDS)
        val idleNs = cpuNs { idle.run(MEASURED_SECONDS) }
        val loaded = RequestLoad(size, seed, perSecond)
        loaded.run(WARM_UP_SECONDS)
        loaded.completed = 0
        val loadedNs = cpuNs { loaded.run(MEASURED_SECONDS) }
        val group = "control, servers $servers subscribers $subscribers requests/s $perSecond"
        report.add(group, "CPU us per idle second", idleNs / NS_PER_US / MEASURED_SECONDS)
        report.add(group, "CPU us per second", loadedNs / NS_PER_US / MEASURED_SECONDS)
        val count = perSecond * MEASURED_SECONDS
        report.add(group, "CPU us per request", (loadedNs - idleNs) / NS_PER_US / count)
        report.add(group, "completed share", loaded.completed.toDouble() / count)
    }

    private fun cpuNs(work: () -> Unit): Long {
        val before = threads.currentThreadCpuTime
        work()
        return threads.currentThreadCpuTime - before
    }

    private fun measureHeap() {
        val size = FleetSize()
        val records = size.entryVms()
        val servers = size.backends()
        heapPerRow("entry VM") { EntryVm(records[it % records.size].copy(id = VmId("entry-$it"))) }
        heapPerRow("backend server") { BackendServer(servers[it % servers.size].copy()) }
        heapPerRow("subscriber") { SubscriberUsage(subscriberId(it)) }
        heapPerRow("request with attempt") { at -> requestRows(at) }
        heapPerRow("order") {
            Order(OrderKey(token, "reference-$it"), spec(it, FleetSize().subscribers), 0)
        }
        val group = SubscriberGroupId("group-0")
        heapPerRow("configuration row") {
            subscriberId(it) to Subscriber(group, setOf(ApiKeyHash("%064x".format(it))))
        }
    }

    private fun requestRows(at: Int): Any {
        val spec = spec(at, FleetSize().subscribers)
        val id = AttemptId("attempt-$at")
        val request = Request(spec, 0).also { it.attempts += id }
        val place = Place.Forwarded(vmId(0, 0))
        return request to Attempt(id, spec, Origin.Local, place, 0, 0)
    }

    /** Includes the hash map entry of each row, because tables are hash maps. */
    private fun heapPerRow(name: String, create: (Int) -> Any) {
        val before = usedBytes()
        val rows = LinkedHashMap<String, Any>()
        repeat(HEAP_ROWS) { rows["row-$it"] = create(it) }
        val used = usedBytes() - before
        report.add("heap bytes", name, used.toDouble() / rows.size)
    }

    private fun usedBytes(): Long {
        repeat(2) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private fun measureFold() {
        for (subscribers in subscriberCounts) runFolds(subscribers)
    }

    private fun runFolds(subscribers: Int) {
        var snapshot = snapshot(subscribers)
        var digest = 0L
        var foldNs = 0L
        var digestNs = 0L
        repeat(2 * MEASURED_FOLDS) { at ->
            // The first half warms up the JIT compiler.
            if (at == MEASURED_FOLDS) foldNs = 0L.also { digestNs = 0L }
            val id = subscriberId(at % subscribers)
            val row = snapshot.configuration.subscribers.getValue(id)
            val changes = listOf(Change.PutSubscriber(id, row.copy(homeRegion = null)))
            val entry = ConfigEntry(snapshot.sequence.next(), Patch(snapshot.version, changes))
            val before = snapshot
            foldNs += cpuNs { snapshot = before.fold(entry).snapshot }
            digestNs += cpuNs { digest = before.configuration.digestAfter(digest, changes) }
        }
        val group = "configuration, subscribers $subscribers"
        report.add(group, "fold us per patch", foldNs / NS_PER_US / MEASURED_FOLDS)
        report.add(group, "digest us per patch", digestNs / NS_PER_US / MEASURED_FOLDS)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun measureSnapshots() {
        for (subscribers in subscriberCounts) {
            val group = "configuration, subscribers $subscribers"
            val snapshot = snapshot(subscribers)
            val json = Json.encodeToString(ConfigSnapshot.serializer(), snapshot)
            report.add(group, "JSON bytes", json.toByteArray().size.toDouble())
            report.add(group, "CBOR bytes", Cbor.encodeToByteArray(snapshot).size.toDouble())
        }
    }

    private fun snapshot(subscribers: Int) = ConfigSnapshot(
        ConfigSequence(1),
        ConfigVersion(1),
        FleetSize(subscribers = subscribers).configuration(),
    )
}

private val token = HomeToken(FailureDomainId("region-0-domain-0"), vmId(0, 0), Incarnation(1), 0)

private fun spec(at: Int, subscribers: Int) = RequestSpec(
    id = RequestId("request-$at"),
    subscriber = subscriberId(at % subscribers),
    service = serviceId(at % FleetSize().services),
    promptTokens = 400,
    maxOutputTokens = 300,
    prefix = PrefixKey(at.toLong()),
    budgetMs = 30_000,
    sequence = ConfigSequence(1),
)

/**
 * Simulates requests at one entry process that is alone in its failure domain and owns every
 * backend server.
 */
private class RequestLoad(private val size: FleetSize, seed: Long, private val perSecond: Int) {
    private val random = Random(seed)
    private val process = ControlProcess(size, 0, seed, concurrency = 64)
    private val pending = PriorityQueue<TimedEvent>(compareBy { it.atMs })
    private var nowMs = 0L
    private var arrived = 0
    var completed = 0

    private class TimedEvent(val atMs: Long, val event: Event)

    fun run(seconds: Int) {
        val until = nowMs + seconds * MS_PER_S
        repeat(perSecond * seconds) {
            val atMs = nowMs + random.nextLong(seconds * MS_PER_S)
            pending += TimedEvent(atMs, RequestArrived(spec(arrived++, size.subscribers)))
        }
        var nextMs = nowMs
        while (nextMs < until) {
            nowMs = nextMs
            val events = ArrayList<Event>()
            while (pending.isNotEmpty() &&
                pending.peek().atMs <= nowMs
            ) {
                events += pending.poll().event
            }
            val result = process.scheduler.tick(nowMs, events)
            for (command in result.commands) {
                if (command is StartAttempt) scheduleAnswer(command.attempt)
                if (command is CompleteRequest) completed += 1
            }
            val dueMs = minOf(result.nextTickMs, pending.peek()?.atMs ?: Long.MAX_VALUE)
            nextMs = maxOf(dueMs, nowMs + 1)
        }
        nowMs = until
    }

    private fun scheduleAnswer(attempt: AttemptId) {
        pending += TimedEvent(nowMs + FIRST_TOKEN_MS, AttemptFirstToken(attempt))
        val ended = AttemptEnded(attempt, AttemptOutcome.Completed(outputTokens = 300))
        pending += TimedEvent(nowMs + SERVICE_MS, ended)
    }
}
