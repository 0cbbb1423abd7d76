/*
 * Simulates the control part of all entry processes of one failure domain on one clock and counts
 * the bytes of every control message as the peer module encodes it. Other failure domains are not
 * simulated: each sends one summary per second.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.ApiKeyHash
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.ModelId
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.Subscriber
import org.pomeloladder.configuration.SubscriberGroup
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.ConfigUpdate
import org.pomeloladder.decisions.ControlMessage
import org.pomeloladder.decisions.DomainSummaries
import org.pomeloladder.decisions.DomainSummary
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Heartbeat
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.NoJournal
import org.pomeloladder.decisions.PeerControl
import org.pomeloladder.decisions.Scheduler
import org.pomeloladder.decisions.Self
import org.pomeloladder.decisions.SendControl
import org.pomeloladder.decisions.ServiceLoad
import org.pomeloladder.decisions.VmListUpdate
import org.pomeloladder.decisions.World
import org.pomeloladder.decisions.systems
import org.pomeloladder.peer.FrameCodec

private const val FRAME_LENGTH_BYTES = 4
private const val STEP_MS = 50L
private const val LOAD_CHANGE_MS = 500L
private const val SUMMARY_MS = 1_000L
private const val DOMAINS_PER_REGION = 3
private const val SUMMARIES_PER_VM_LIST = 8
private const val KEY_HASH_CHARACTERS = 64
private val address = Address("10.20.30.40", 8_443)

/** The size of a fleet. [vms] and [servers] are counts per failure domain. */
data class FleetSize(
    val vms: Int = 8,
    val servers: Int = 200,
    val domains: Int = 56,
    val services: Int = 9,
    val subscribers: Int = 270,
)

private fun domainId(index: Int) =
    FailureDomainId("region-${index / DOMAINS_PER_REGION}-domain-$index")

internal fun vmId(domain: Int, index: Int) = VmId("entry-$domain-$index")

internal fun subscriberId(index: Int) = SubscriberId("organisation-$index")

internal fun serviceId(index: Int) = ServiceId("assistant-$index")

internal fun FleetSize.configuration(): Configuration {
    val regions = (0 until domains).groupBy { RegionId("region-${it / DOMAINS_PER_REGION}") }
    val group = SubscriberGroupId("group-0")
    val serviceIds = (0 until services).map(::serviceId)
    val hash = setOf(ApiKeyHash("0".repeat(KEY_HASH_CHARACTERS)))
    return Configuration(
        regions = regions.mapValues { (_, indexes) ->
            Region(indexes.mapTo(HashSet(), ::domainId))
        },
        groups = mapOf(group to SubscriberGroup(serviceIds.toSet(), regions.keys)),
        services = serviceIds.associateWith { Service.LanguageModel(ModelId("model-$it")) },
        subscribers = (0 until subscribers).associate {
            subscriberId(it) to Subscriber(group, hash)
        },
    )
}

internal fun FleetSize.entryVms() = (0 until domains).flatMap { domain ->
    (0 until vms).map { EntryVmRecord(vmId(domain, it), domainId(domain), address, address) }
}

internal fun FleetSize.backends(concurrency: Int = 8) = (0 until servers).map { index ->
    val services = setOf(serviceId(index % services))
    BackendServerRecord(
        BackendServerId("engine-0-$index"),
        domainId(0),
        address,
        services,
        concurrency,
    )
}

/** The control state of one entry process of domain 0, with VM lists and configuration loaded. */
internal class ControlProcess(size: FleetSize, index: Int, seed: Long, concurrency: Int = 8) {
    val world = World(Self(vmId(0, index), Incarnation(1), domainId(0), address, address))
    val scheduler = Scheduler(world, systems(), Random(seed + index), NoJournal)

    init {
        val configuration = size.configuration()
        val snapshot = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), configuration)
        val lists = VmListUpdate(
            EntryVmList(1, size.entryVms()),
            BackendServerList(1, domainId(0), size.backends(concurrency)),
        )
        scheduler.tick(0, listOf(ConfigUpdate(snapshot, emptyList()), lists))
    }
}

/** The control traffic of one entry process in bytes, by message type and direction. */
internal class NodeBytes {
    var heartbeatsSent = 0L
    var heartbeatsReceived = 0L
    var summariesSent = 0L
    var summariesReceived = 0L

    val total: Long
        get() = heartbeatsSent + heartbeatsReceived + summariesSent + summariesReceived
}

/**
 * All entry processes of one failure domain. The load of every backend server changes before every
 * heartbeat.
 */
internal class ControlFleet(private val size: FleetSize, seed: Long) {
    private val random = Random(seed)
    private val processes = (0 until size.vms).associate {
        vmId(0, it) to ControlProcess(size, it, seed)
    }
    private val inboxes = processes.keys.associateWith { ArrayList<Event>() }
    private var reporters = listOf(vmId(0, 0))
    private var nowMs = 0L
    private var sequence = 0L
    var bytes = processes.keys.associateWith { NodeBytes() }
        private set

    fun advance(byMs: Long) {
        val until = nowMs + byMs
        while (nowMs < until) {
            nowMs += STEP_MS
            if (nowMs % LOAD_CHANGE_MS == 0L) processes.values.forEach { changeLoads(it.world) }
            if (nowMs % SUMMARY_MS == 0L) receiveSummaries()
            for ((id, process) in processes) tick(id, process)
        }
    }

    fun resetBytes() {
        bytes = processes.keys.associateWith { NodeBytes() }
    }

    private fun receiveSummaries() {
        for (domain in 1 until size.domains) receiveSummary(domain)
    }

    private fun tick(id: VmId, process: ControlProcess) {
        val inbox = inboxes.getValue(id)
        val events = inbox.toList()
        inbox.clear()
        val sent = process.scheduler.tick(nowMs, events).commands.filterIsInstance<SendControl>()
        sent.forEach { deliver(id, it) }
        val isReporter = sent.any { it.message is DomainSummaries && it.to !in processes }
        if (isReporter && id !in reporters) reporters = (reporters + id).takeLast(2)
    }

    private fun deliver(from: VmId, command: SendControl) {
        val frameBytes = command.message.frameBytes()
        count(command.message, frameBytes, bytes.getValue(from), isSent = true)
        val receiver = bytes[command.to] ?: return
        count(command.message, frameBytes, receiver, isSent = false)
        inboxes.getValue(command.to) += PeerControl(from, command.message)
    }

    private fun count(message: ControlMessage, frameBytes: Int, node: NodeBytes, isSent: Boolean) {
        when (message) {
            is Heartbeat ->
                if (isSent) {
                    node.heartbeatsSent += frameBytes
                } else {
                    node.heartbeatsReceived +=
                        frameBytes
                }
            else ->
                if (isSent) {
                    node.summariesSent += frameBytes
                } else {
                    node.summariesReceived +=
                        frameBytes
                }
        }
    }

    /** On average half of the services changed, and one summary in eight lists the serving VMs. */
    private fun receiveSummary(domain: Int) {
        sequence += 1
        val changed = (0 until size.services).filter { random.nextBoolean() }
        val hasVms = random.nextInt(SUMMARIES_PER_VM_LIST) == 0
        val summary = DomainSummary(
            domain = domainId(domain),
            sequence = sequence,
            position = ConfigSequence(1),
            services = changed.map { serviceLoad(it) },
            servingVms = if (hasVms) (0 until size.vms).map { vmId(domain, it) } else null,
        )
        val message = DomainSummaries(listOf(summary), entryListRevision = 1)
        val to = reporters[((nowMs / SUMMARY_MS + domain) % reporters.size).toInt()]
        count(message, message.frameBytes(), bytes.getValue(to), isSent = false)
        inboxes.getValue(to) += PeerControl(vmId(domain, 0), message)
    }

    private fun serviceLoad(index: Int) = ServiceLoad(
        service = serviceId(index),
        slots = 160,
        inFlight = random.nextInt(until = 160),
        queued = 8,
        expectedWaitMs = 250,
    )

    private fun changeLoads(world: World) {
        for (row in world.backends) {
            if (row.owner != world.self.vm) continue
            row.windowSize = row.record.concurrency
            row.inFlight = random.nextInt(until = 9)
            row.queued = random.nextInt(until = 4)
            row.queuedCostTokens = random.nextLong(until = 8_000)
            row.firstTokenMs = random.nextDouble(until = 1_000.0)
            row.serviceMsPerCostToken = random.nextDouble(until = 2.0)
            row.firstTokenMsPerToken = random.nextDouble(until = 1.0)
            row.interTokenMs = random.nextDouble(until = 40.0)
        }
    }
}

private fun ControlMessage.frameBytes() = FrameCodec.encode(this).size + FRAME_LENGTH_BYTES
