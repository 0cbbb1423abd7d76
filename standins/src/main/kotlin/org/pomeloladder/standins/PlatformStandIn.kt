/*
 * A simulated platform: the configuration service, which can be read and watched, and the VM lists.
 * Operators publish through the methods of [PlatformStandIn]; the gateway's processes can only read
 * over HTTP.
 */
package org.pomeloladder.standins

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.encodeToString
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.Configuration
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.EntryVmRecord
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.fold

private const val NANOS_PER_MS = 1_000_000L

/** How the platform responds to reads. Tests can change it at any time. */
enum class PlatformMode {
    WORKING,

    /** Every read fails. */
    DOWN,

    /** Reads return only what was published before the mode was set. */
    STALE,
}

/** A platform whose configuration log starts from [initial]. */
class PlatformStandIn(initial: Configuration, port: Int = 0) : StandIn {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var snapshot = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), initial)
    private val initialSnapshot = snapshot
    private val entries = ArrayList<ConfigEntry>()
    private var entryVms = EntryVmList(0, emptyList())
    private val backends = HashMap<FailureDomainId, BackendServerList>()
    private var mode = PlatformMode.WORKING
    private var staleEntries = 0
    private val listener = LoopbackListener(port, handler())

    override val address: Address
        get() = listener.address

    /** The configuration that results from all entries published so far. */
    val inForce: ConfigSnapshot
        get() = lock.withLock { snapshot }

    override fun start() = listener.start()

    override fun close() {
        // Ends pending watches, which would otherwise delay the stop of the listener.
        setMode(PlatformMode.DOWN)
        listener.close()
    }

    fun setMode(mode: PlatformMode) = lock.withLock {
        this.mode = mode
        staleEntries = entries.size
        changed.signalAll()
    }

    /** Makes reads return only the first [entries] entries of the log. */
    fun setStaleAt(entries: Int) = lock.withLock {
        mode = PlatformMode.STALE
        staleEntries = entries
        changed.signalAll()
    }

    /** The most recently published backend servers of [domain]. */
    fun publishedBackends(domain: FailureDomainId): List<BackendServerRecord> = lock.withLock {
        backends[domain]?.servers.orEmpty()
    }

    /** Appends [patch] to the log, even if it is invalid and will be rejected. */
    fun publish(patch: Patch): ConfigSequence = lock.withLock {
        val entry = ConfigEntry(snapshot.sequence.next(), patch)
        entries += entry
        snapshot = snapshot.fold(entry).snapshot
        changed.signalAll()
        entry.sequence
    }

    fun publishEntryVms(vms: List<EntryVmRecord>) = lock.withLock {
        entryVms = EntryVmList(entryVms.revision + 1, vms)
    }

    fun publishBackends(domain: FailureDomainId, servers: List<BackendServerRecord>) =
        lock.withLock {
            val revision = (backends[domain]?.revision ?: 0) + 1
            backends[domain] = BackendServerList(revision, domain, servers)
        }

    private fun handler() = routes(
        "/config/snapshot" bind Method.GET to
            { ifUp { json(standInJson.encodeToString(visibleSnapshot())) } },
        "/config/entries" bind Method.GET to { request -> ifUp { watch(request) } },
        "/vms/entry" bind Method.GET to { ifUp { json(standInJson.encodeToString(entryVms)) } },
        "/vms/backends/{domain}" bind Method.GET to { request ->
            ifUp {
                val domain = FailureDomainId(request.path("domain").orEmpty())
                val list = backends[domain] ?: BackendServerList(0, domain, emptyList())
                json(standInJson.encodeToString(list))
            }
        },
    )

    private fun ifUp(answer: () -> Response): Response = lock.withLock {
        if (mode == PlatformMode.DOWN) Response(Status.SERVICE_UNAVAILABLE) else answer()
    }

    private fun visibleSnapshot(): ConfigSnapshot = if (mode == PlatformMode.STALE) {
        visibleEntries().fold(initialSnapshot) { state, entry -> state.fold(entry).snapshot }
    } else {
        snapshot
    }

    private fun visibleEntries(): List<ConfigEntry> =
        if (mode == PlatformMode.STALE) entries.take(staleEntries) else entries

    private fun watch(request: Request): Response {
        val after = ConfigSequence(request.query("after")?.toLongOrNull() ?: 0)
        var remainingNanos = (request.query("waitMs")?.toLongOrNull() ?: 0) * NANOS_PER_MS
        while (mode != PlatformMode.DOWN) {
            val newer = visibleEntries().filter { it.sequence > after }
            if (newer.isNotEmpty() || remainingNanos <= 0) return json(encode(newer))
            remainingNanos = changed.awaitNanos(remainingNanos)
        }
        return Response(Status.SERVICE_UNAVAILABLE)
    }

    private fun encode(newer: List<ConfigEntry>) =
        """{"entries":${standInJson.encodeToString(newer)}}"""
}
