/*
 * One process's control state under test: time, events and randomness are handed in, and commands are collected.
 */
package org.pomeloladder.decisions

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

internal val NORTE = FailureDomainId("norte-a")
internal val CENTRO = FailureDomainId("centro-a")
internal val CHAT = ServiceId("chat")
internal val ORDERS = ServiceId("orders")
internal val CAFE = SubscriberId("cafe-1")
internal val GROUP = SubscriberGroupId("cafes")

private val ANYWHERE = Address("127.0.0.1", 1)

/** One process, by default `norte-1` of failure domain norte-a. Without [configuration] it starts with none. */
internal class TestWorld(
    policies: Policies = policies(),
    vm: String = "norte-1",
    configuration: Configuration? = testConfiguration(),
    domain: FailureDomainId = NORTE,
    atMs: Long = 0,
) {
    val world = World(Self(VmId(vm), Incarnation(1), domain, ANYWHERE, ANYWHERE))
    val journal = CollectingJournal()
    private val scheduler = Scheduler(world, systems(policies), Random(1), journal)
    var nowMs = atMs

    init {
        if (configuration != null) {
            val snapshot = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), configuration)
            tick(ConfigUpdate(snapshot, emptyList()))
        }
    }

    /** Runs one tick and returns its commands. */
    fun tick(vararg events: Event): List<Command> = scheduler.tick(nowMs, events.toList()).commands

    /** Moves time on in steps of [stepMs], as the control thread does when it is idle, and returns all commands. */
    fun advance(byMs: Long, stepMs: Long = 100): List<Command> {
        val until = nowMs + byMs
        val commands = ArrayList<Command>()
        while (nowMs < until) {
            nowMs = minOf(nowMs + stepMs, until)
            commands += tick()
        }
        return commands
    }

    /** Publishes the VM lists. */
    fun list(vms: List<EntryVmRecord>, servers: List<BackendServerRecord>, revision: Long = 1) =
        tick(VmListUpdate(EntryVmList(revision, vms), BackendServerList(revision, NORTE, servers)))

    /** A heartbeat of [vm], which hears this process. */
    fun heartbeat(vm: String, change: Heartbeat.() -> Heartbeat = { this }) = PeerControl(
        VmId(vm),
        Heartbeat(
            incarnation = Incarnation(1),
            epoch = 0,
            position = world.configuration.position,
            isDraining = false,
            heard = listOf(world.self.vm),
            servers = emptyList(),
            leavingServers = emptyList(),
            heaviest = emptyList(),
            entryListRevision = 0,
            serverListRevision = 0,
        ).change(),
    )
}

/** Keeps what was counted and logged. */
internal class CollectingJournal : Journal {
    val counts = HashMap<Pair<Counter, String>, Long>()
    val logged = ArrayList<LogEvent>()

    override fun log(event: LogEvent, details: Map<String, Any?>) {
        logged += event
    }

    override fun count(counter: Counter, reason: String, amount: Long) {
        counts.merge(counter to reason, amount, Long::plus)
    }
}

/** Two regions, a model service, an order service and one subscriber that may use both regions. */
internal fun testConfiguration(
    regions: Set<RegionId> = setOf(RegionId("norte"), RegionId("centro")),
) = Configuration(
    regions = mapOf(
        RegionId("norte") to Region(setOf(NORTE)),
        RegionId("centro") to Region(setOf(CENTRO)),
    ),
    groups = mapOf(GROUP to SubscriberGroup(setOf(CHAT, ORDERS), regions)),
    services = mapOf(
        CHAT to Service.LanguageModel(ModelId("general-1")),
        ORDERS to Service.Plain(idempotent = false),
    ),
    subscribers = mapOf(
        CAFE to Subscriber(GROUP, setOf(ApiKeyHash("0".repeat(64)))),
        SubscriberId("cafe-2") to Subscriber(GROUP, setOf(ApiKeyHash("1".repeat(64)))),
    ),
)

internal fun entryVm(id: String, domain: FailureDomainId = NORTE) =
    EntryVmRecord(VmId(id), domain, ANYWHERE, ANYWHERE)

internal fun server(id: String, service: ServiceId = CHAT, concurrency: Int = 8) =
    BackendServerRecord(BackendServerId(id), NORTE, ANYWHERE, setOf(service), concurrency)

internal fun request(
    id: String,
    subscriber: SubscriberId = CAFE,
    promptTokens: Int = 10,
    budgetMs: Long = 10_000,
    order: OrderKey? = null,
) = RequestSpec(
    id = RequestId(id),
    subscriber = subscriber,
    service = if (order == null) CHAT else ORDERS,
    promptTokens = promptTokens,
    maxOutputTokens = 10,
    prefix = PrefixKey(promptTokens.toLong()),
    budgetMs = budgetMs,
    sequence = ConfigSequence(1),
    order = order,
)
