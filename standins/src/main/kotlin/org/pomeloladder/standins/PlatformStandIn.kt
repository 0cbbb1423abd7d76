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
import org.pomeloladder.configuration.ConfigEra
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

/** In an answer, the era in which its content was written; in a read, that of `after`. */
private const val ERA_HEADER = "Config-Era"

/** How the platform responds to reads. Tests can change it at any time. */
enum class PlatformMode {
    WORKING,

    /** Every read fails. */
    DOWN,

    /** Reads return only what was published before the mode was set. */
    STALE,
}

private val FIRST_ERA = ConfigEra(0)

/** A published [value] and the era in which it was written. */
internal data class Written<out T>(val era: ConfigEra, val value: T)

/** What the platform held when the copy was made. */
class PlatformCopy internal constructor(
    internal val entries: List<Written<ConfigEntry>>,
    internal val entryVms: Written<EntryVmList>,
    internal val backends: Map<FailureDomainId, Written<BackendServerList>>,
)

/** A platform whose configuration log starts from [initial]. */
class PlatformStandIn(initial: Configuration, port: Int = 0) : StandIn {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var snapshot = ConfigSnapshot(ConfigSequence(1), ConfigVersion(1), initial)
    private val initialSnapshot = snapshot
    private var era = FIRST_ERA
    private val entries = ArrayList<Written<ConfigEntry>>()
    private var entryVms = Written(era, EntryVmList(0, emptyList()))
    private val backends = HashMap<FailureDomainId, Written<BackendServerList>>()
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
        backends[domain]?.value?.servers.orEmpty()
    }

    fun copy(): PlatformCopy = lock.withLock {
        PlatformCopy(entries.toList(), entryVms, backends.toMap())
    }

    /** Returns to [copy]. What was published since is lost, and its numbers are given out again. */
    fun restore(copy: PlatformCopy) = lock.withLock {
        era = era.next()
        entries.clear()
        entries += copy.entries
        snapshot = fold(entries)
        entryVms = copy.entryVms
        backends.clear()
        backends += copy.backends
        changed.signalAll()
    }

    /** Appends [patch] to the log, even if it is invalid and will be rejected. */
    fun publish(patch: Patch): ConfigSequence = lock.withLock {
        val entry = ConfigEntry(snapshot.sequence.next(), patch)
        entries += Written(era, entry)
        snapshot = snapshot.fold(entry).snapshot
        changed.signalAll()
        entry.sequence
    }

    fun publishEntryVms(vms: List<EntryVmRecord>) = lock.withLock {
        entryVms = Written(era, EntryVmList(entryVms.value.revision + 1, vms))
    }

    fun publishBackends(domain: FailureDomainId, servers: List<BackendServerRecord>) =
        lock.withLock {
            val revision = (backends[domain]?.value?.revision ?: 0) + 1
            backends[domain] = Written(era, BackendServerList(revision, domain, servers))
        }

    private fun handler() = routes(
        "/config/snapshot" bind Method.GET to { ifUp { answer(visibleSnapshot()) } },
        "/config/entries" bind Method.GET to { request -> ifUp { watch(request) } },
        "/vms/entry" bind Method.GET to { ifUp { answer(entryVms) } },
        "/vms/backends/{domain}" bind Method.GET to { request ->
            ifUp {
                val domain = FailureDomainId(request.path("domain").orEmpty())
                val empty = Written(FIRST_ERA, BackendServerList(0, domain, emptyList()))
                answer(backends[domain] ?: empty)
            }
        },
    )

    private inline fun <reified T> answer(content: Written<T>) =
        json(standInJson.encodeToString(content.value)).header(ERA_HEADER, "${content.era}")

    private fun ifUp(answer: () -> Response): Response = lock.withLock {
        if (mode == PlatformMode.DOWN) Response(Status.SERVICE_UNAVAILABLE) else answer()
    }

    private fun visibleSnapshot(): Written<ConfigSnapshot> {
        val visible = visibleEntries()
        val state = if (mode == PlatformMode.STALE) fold(visible) else snapshot
        return Written(visible.lastOrNull()?.era ?: FIRST_ERA, state)
    }

    private fun fold(entries: List<Written<ConfigEntry>>) =
        entries.fold(initialSnapshot) { state, entry -> state.fold(entry.value).snapshot }

    private fun visibleEntries(): List<Written<ConfigEntry>> =
        if (mode == PlatformMode.STALE) entries.take(staleEntries) else entries

    private fun watch(request: Request): Response {
        val after = ConfigSequence(request.query("after")?.toLongOrNull() ?: 0)
        val afterEra = request.header(ERA_HEADER)?.toLongOrNull()?.let(::ConfigEra)
        var remainingNanos = (request.query("waitMs")?.toLongOrNull() ?: 0) * NANOS_PER_MS
        while (mode != PlatformMode.DOWN) {
            if (afterEra != null && isLost(afterEra, after)) return Response(Status.GONE)
            val newer = visibleEntries().filter { it.value.sequence > after }
            if (newer.isNotEmpty() || remainingNanos <= 0) return answerEntries(newer)
            remainingNanos = changed.awaitNanos(remainingNanos)
        }
        return Response(Status.SERVICE_UNAVAILABLE)
    }

    /** Whether the entry was written in an earlier era and is not in the copy that was restored. */
    private fun isLost(writtenIn: ConfigEra, sequence: ConfigSequence): Boolean {
        val entry = entries.firstOrNull { it.value.sequence == sequence }
        val isInitial = sequence <= initialSnapshot.sequence
        return writtenIn != era && writtenIn != (entry?.era ?: FIRST_ERA.takeIf { isInitial })
    }

    /** Answers with the first of [newer] that share one era, because the header names only one. */
    private fun answerEntries(newer: List<Written<ConfigEntry>>): Response {
        val era = newer.firstOrNull()?.era ?: era
        val page = newer.takeWhile { it.era == era }.map { it.value }
        return json("""{"entries":${standInJson.encodeToString(page)}}""")
            .header(ERA_HEADER, "$era")
    }
}
