package org.pomeloladder.daemon

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.Service
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.NoJournal
import org.pomeloladder.decisions.Scheduler
import org.pomeloladder.decisions.Self
import org.pomeloladder.decisions.WatchPlatform
import org.pomeloladder.decisions.World
import org.pomeloladder.decisions.systems
import org.pomeloladder.standins.PlatformStandIn
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isTrue

/** Bounds on a change of the configuration and on one of the VM lists. */
private const val CHANGE_BOUND_MS = 9_000L
private const val LIST_BOUND_MS = 3_000L

/** Time in which the reader notices that the service has come back. */
private const val RESTORED_MS = 2_000L
private const val POLL_MS = 20L

class RestoredPlatformTest {
    private val domain = FailureDomainId("norte-a")
    private val address = Address("127.0.0.1", 1)
    private val platform = PlatformStandIn(Configuration())
    private val events = LinkedBlockingQueue<Event>()
    private val world = World(Self(VmId("norte-1"), Incarnation(1), domain, address, address))
    private val scheduler = Scheduler(world, systems(), Random(1), NoJournal)
    private lateinit var reader: RealPlatformReader

    @BeforeEach
    fun start() {
        platform.start()
        reader = RealPlatformReader(platform.address, domain, events::add)
        reader.start()
    }

    @AfterEach
    fun close() {
        reader.close()
        platform.close()
    }

    // Guards against changes that are ignored until the log is longer than the lost one, and
    // against an older configuration that comes into force before anything was written again.
    @Test
    fun `a change is in force within its bound after the service came back from an older copy`() {
        put("first")
        val copy = platform.copy()
        put("lost-1")
        put("lost-2")
        expectThat(holdsWithin(CHANGE_BOUND_MS) { "lost-2" in services() }).isTrue()

        platform.restore(copy)
        holdsWithin(RESTORED_MS) { false }
        expectThat(services()).containsExactlyInAnyOrder("first", "lost-1", "lost-2")
        put("again")
        holdsWithin(CHANGE_BOUND_MS) { "again" in services() }

        expectThat(services()).containsExactlyInAnyOrder("first", "again")
    }

    // Guards against a change that is folded onto entries which the service has lost.
    @Test
    fun `a log that is longer than the lost one replaces it`() {
        put("first")
        val copy = platform.copy()
        put("lost")
        expectThat(holdsWithin(CHANGE_BOUND_MS) { "lost" in services() }).isTrue()

        platform.restore(copy)
        put("again-1")
        put("again-2")
        put("again-3")
        holdsWithin(CHANGE_BOUND_MS) { "again-3" in services() }

        expectThat(services()).containsExactlyInAnyOrder("first", "again-1", "again-2", "again-3")
    }

    // Guards against VMs that are not followed until the revisions have passed the lost ones.
    @Test
    fun `VM lists are followed within their bound after the service came back from a copy`() {
        platform.publishEntryVms(listOf(entryVm("norte-1")))
        platform.publishBackends(domain, listOf(server("engine-1")))
        val copy = platform.copy()
        platform.publishEntryVms(listOf(entryVm("norte-1"), entryVm("norte-2")))
        platform.publishBackends(domain, listOf(server("engine-1"), server("engine-2")))
        val lost = setOf("norte-1", "norte-2", "engine-1", "engine-2")
        expectThat(holdsWithin(LIST_BOUND_MS) { vms() == lost }).isTrue()

        platform.restore(copy)
        platform.publishEntryVms(listOf(entryVm("norte-1"), entryVm("norte-3")))
        platform.publishBackends(domain, listOf(server("engine-3")))
        val expected = setOf("norte-1", "norte-3", "engine-3")
        holdsWithin(LIST_BOUND_MS) { vms() == expected }

        expectThat(vms()).containsExactlyInAnyOrder(expected)
    }

    /** Runs the control state until [condition] holds, and returns whether it did in time. */
    private fun holdsWithin(boundMs: Long, condition: () -> Boolean): Boolean {
        val untilMs = nowMs() + boundMs
        while (!condition()) {
            if (nowMs() >= untilMs) return false
            val event = events.poll(POLL_MS, TimeUnit.MILLISECONDS)
            scheduler.tick(nowMs(), listOfNotNull(event)).commands
                .filterIsInstance<WatchPlatform>()
                .forEach { reader.setWatching(it.isWatching, it.after) }
        }
        return true
    }

    private fun nowMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private fun put(service: String) = platform.publish(
        Patch(
            platform.inForce.version,
            listOf(Change.PutService(ServiceId(service), Service.Plain())),
        ),
    )

    private fun services() = world.configuration.document?.services.orEmpty().keys.map { it.value }

    private fun vms() =
        (world.entryVms.map { it.id.value } + world.backends.map { it.id.value }).toSet()

    private fun entryVm(id: String) = EntryVmRecord(VmId(id), domain, address, address)

    private fun server(id: String) =
        BackendServerRecord(BackendServerId(id), domain, address, setOf(ServiceId("first")))
}
