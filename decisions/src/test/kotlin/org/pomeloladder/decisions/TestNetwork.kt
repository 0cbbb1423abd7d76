/*
 * Several processes under test on one clock. Control messages are delivered with a delay by a seeded random, and a link
 * between two processes can be cut in one direction.
 */
package org.pomeloladder.decisions

import kotlin.random.Random
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId

internal class TestNetwork(seed: Int, private val configuration: Configuration) {
    private val random = Random(seed)
    private val inFlight = ArrayList<Delivery>()
    val processes = LinkedHashMap<String, TestWorld>()
    val commands = HashMap<String, MutableList<Command>>()

    /** Whether a message from the first to the second process is lost. */
    var isCut: (from: String, to: String) -> Boolean = { _, _ -> false }

    /** Processes that do not run at present; messages to them wait. */
    val paused = HashSet<String>()
    var nowMs = 0L

    private class Delivery(val from: String, val to: String, val atMs: Long, val event: Event)

    fun add(record: EntryVmRecord, hasConfiguration: Boolean = true): TestWorld {
        val process = TestWorld(
            vm = record.id.value,
            configuration = configuration.takeIf { hasConfiguration },
            domain = record.domain,
            atMs = nowMs,
        )
        processes[record.id.value] = process
        return process
    }

    /** Publishes the lists to every process. */
    fun list(vms: List<EntryVmRecord>, servers: List<BackendServerRecord>, revision: Long = 1) {
        for (id in processes.keys) list(id, vms, servers, revision)
    }

    fun list(
        id: String,
        vms: List<EntryVmRecord>,
        servers: List<BackendServerRecord>,
        revision: Long = 1,
    ) {
        val domain = processes.getValue(id).world.self.domain
        val own = servers.filter { it.domain == domain }
        val lists =
            VmListUpdate(EntryVmList(revision, vms), BackendServerList(revision, domain, own))
        tick(id, lists)
    }

    fun tick(id: String, vararg events: Event): List<Command> {
        val process = processes.getValue(id)
        process.nowMs = nowMs
        val given = process.tick(*events)
        commands.getOrPut(id) { ArrayList() } += given
        for (command in given) {
            if (command is SendControl) send(id, command.to.value, command.message)
        }
        return given
    }

    fun advance(byMs: Long, stepMs: Long = 50) {
        val until = nowMs + byMs
        while (nowMs < until) {
            nowMs += stepMs
            for (id in processes.keys - paused) {
                val due = inFlight.filter { it.to == id && it.atMs <= nowMs }
                inFlight -= due.toSet()
                tick(id, *due.map { it.event }.toTypedArray())
            }
        }
    }

    fun sequences(): Set<ConfigSequence?> =
        processes.values.map { it.world.configuration.snapshot?.sequence }.toSet()

    fun publish(to: String, vararg entries: ConfigEntry) =
        tick(to, ConfigUpdate(null, entries.toList()))

    private fun send(from: String, to: String, message: ControlMessage) {
        if (to !in processes || isCut(from, to)) return
        val delayMs = random.nextLong(1, 60)
        inFlight += Delivery(from, to, nowMs + delayMs, PeerControl(VmId(from), message))
    }
}

/** Two failure domains in two regions with [size] entry VMs each, and an engine in each. */
internal fun twoDomains(
    seed: Int,
    size: Int = 2,
    configuration: Configuration = testConfiguration(),
): TestNetwork = TestNetwork(seed, configuration).apply {
    val vms = twoDomainVms(size)
    vms.forEach { add(it) }
    list(vms, twoDomainServers())
}

internal fun twoDomainVms(size: Int): List<EntryVmRecord> =
    listOf("norte" to NORTE, "centro" to CENTRO).flatMap { (name, domain) ->
        (1..size).map { entryVm("$name-$it", domain) }
    }

internal fun twoDomainServers() =
    listOf(server("engine-n"), server("engine-c").copy(domain = CENTRO))

internal fun TestNetwork.isReachable(from: String, domain: FailureDomainId): Boolean =
    processes.getValue(from).world.domains[domain]?.isReachable == true
