/*
 * Reads the platform over HTTP: the configuration by long polling, and the VM lists at a fixed
 * interval. Both pause while this process is not a watcher of its failure domain. The era of an
 * answer becomes part of its positions and revisions here, so that the rest only compares these.
 */
package org.pomeloladder.daemon

import java.util.concurrent.ExecutionException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
import org.pomeloladder.configuration.ConfigEra
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.EntryVmList
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.decisions.ConfigUpdate
import org.pomeloladder.decisions.PlatformHealth
import org.pomeloladder.decisions.VmListUpdate

/**
 * Time for which the configuration service may hold a request while it has no new entries. A read
 * that is never answered looks like one that is held. It is given up and repeated within 9 s, in
 * which a change must be in force everywhere.
 */
private const val LONG_POLL_MS = 4_000L
private const val CONFIGURATION_TIMEOUT_MS = 6_000L
private const val NANOS_PER_MS = 1_000_000L
private const val CONNECT_TIMEOUT_MS = 2_000L

/** Time for each of the two VM lists, of whose changes some must be in force within 3 s. */
private const val VM_LIST_TIMEOUT_MS = 1_000L

/** Delay after a failed read, to avoid flooding an unavailable service with requests. */
private const val RETRY_DELAY_MS = 1_000L

/**
 * Interval of VM list reads. A leaving server must receive no new work after 3 s at the latest, so
 * the lists are read every second.
 */
private const val VM_LIST_INTERVAL_MS = 1_000L

/** In an answer, the era in which its content was written; in a read, that of `after`. */
private const val ERA_HEADER = "Config-Era"

/** A response of the configuration log. */
@Serializable
data class ConfigLogPage(
    val snapshot: ConfigSnapshot? = null,
    val entries: List<ConfigEntry> = emptyList(),
)

/** A [PlatformReader] with one thread for the configuration and one for the VM lists. */
class RealPlatformReader(
    private val platform: Address,
    private val domain: FailureDomainId,
    private val events: EventSink,
) : PlatformReader {
    private val configurationClient = clientWithTimeout(CONFIGURATION_TIMEOUT_MS)
    private val listClient = clientWithTimeout(VM_LIST_TIMEOUT_MS)
    private val lock = ReentrantLock()
    private val watchChanged = lock.newCondition()
    private var isWatching = false
    private var lastSequence: ConfigSequence? = null
    private val readerThreads = listOf(
        Thread(::readConfiguration, "platform-configuration"),
        Thread(::readVmLists, "platform-vm-lists"),
    )

    @Volatile
    private var isClosed = false

    fun start() = readerThreads.forEach {
        it.isDaemon = true
        it.start()
    }

    override fun setWatching(isWatching: Boolean, after: ConfigSequence?) = lock.withLock {
        this.isWatching = isWatching
        // Entries received from peers advance the position. An older request must not move it back.
        lastSequence = maxSequence(lastSequence, after)
        watchChanged.signalAll()
    }

    override fun close() {
        isClosed = true
        readerThreads.forEach(Thread::interrupt)
        configurationClient.close()
        listClient.close()
    }

    private fun clientWithTimeout(timeoutMs: Long) = JettyClient(
        HttpClient().apply {
            connectTimeout = minOf(CONNECT_TIMEOUT_MS, timeoutMs)
            idleTimeout = timeoutMs
            userAgentField = null
        },
    )

    private fun readConfiguration() = repeatWhileWatching {
        val startNanos = System.nanoTime()
        val after = lock.withLock { lastSequence }
        val page = if (after == null) readSnapshot() else readEntries(after)
        events.post(PlatformHealth(page != null))
        if (page == null) {
            Thread.sleep(RETRY_DELAY_MS)
            return@repeatWhileWatching
        }
        val last = page.entries.lastOrNull()?.sequence ?: page.snapshot?.sequence
        if (last != null) {
            // Reads on from where the log stands, which is before `after` if that was lost.
            val isLogReadAnew = page.snapshot != null
            lock.withLock {
                lastSequence = if (isLogReadAnew) last else maxSequence(lastSequence, last)
            }
            events.post(ConfigUpdate(page.snapshot, page.entries))
        }
        if (last == null || after != null && last <= after) {
            // Avoids a tight loop if the service returns at once instead of holding the request.
            val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
            if (elapsedMs < RETRY_DELAY_MS) Thread.sleep(RETRY_DELAY_MS - elapsedMs)
        }
    }

    private fun maxSequence(first: ConfigSequence?, second: ConfigSequence?): ConfigSequence? =
        listOfNotNull(first, second).maxOrNull()

    private fun readVmLists() = repeatWhileWatching {
        val startNanos = System.nanoTime()
        val entries = listClient.get("/vms/entry")
            ?.decode<EntryVmList> { era -> copy(revision = era.order(revision)) }
        val servers = listClient.get("/vms/backends/$domain")
            ?.decode<BackendServerList> { era -> copy(revision = era.order(revision)) }
        if (entries != null || servers != null) events.post(VmListUpdate(entries, servers))
        val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
        if (elapsedMs < VM_LIST_INTERVAL_MS) Thread.sleep(VM_LIST_INTERVAL_MS - elapsedMs)
    }

    private fun readSnapshot(): ConfigLogPage? = configurationClient.get("/config/snapshot")
        ?.decode<ConfigSnapshot> { era -> copy(sequence = era.order(sequence)) }
        ?.let { ConfigLogPage(snapshot = it) }

    /** Reads the entries after [after], or a snapshot if the log does not contain all of them. */
    private fun readEntries(after: ConfigSequence): ConfigLogPage? {
        val path = "/config/entries?after=${after.number}&waitMs=$LONG_POLL_MS"
        val response = configurationClient.get(path, after.era) ?: return null
        if (response.status == Status.GONE) return readSnapshot()
        val page = response.decode<ConfigLogPage> { era ->
            ConfigLogPage(
                snapshot?.run { copy(sequence = era.order(sequence)) },
                entries.map { it.copy(sequence = era.order(it.sequence)) },
            )
        }
        val first = page?.entries?.firstOrNull()?.sequence ?: return page
        val isGap = page.snapshot == null && first > after.next()
        return if (isGap) readSnapshot() else page
    }

    private fun ConfigEra.order(sequence: ConfigSequence) = ConfigSequence(order(sequence.value))

    private fun HttpHandler.get(path: String, era: ConfigEra? = null): Response? {
        val request = Request(Method.GET, "http://$platform$path")
        return try {
            this(if (era == null) request else request.header(ERA_HEADER, "$era"))
        } catch (_: ExecutionException) {
            // http4k throws if the service closes the connection; uncaught, that ends this thread.
            null
        }
    }

    /** Returns the content after [inEra], or null if it can't be used. */
    private inline fun <reified T> Response.decode(inEra: T.(ConfigEra) -> T): T? {
        val era = (header(ERA_HEADER) ?: "0").toLongOrNull()?.takeIf { it in 0..ConfigEra.MAX }
        if (!status.successful || era == null) return null
        return try {
            daemonJson.decodeFromString<T>(bodyString()).inEra(ConfigEra(era))
        } catch (_: SerializationException) {
            null
        }
    }

    private fun repeatWhileWatching(step: () -> Unit) {
        while (!isClosed) {
            try {
                lock.withLock { while (!isWatching) watchChanged.await() }
                step()
            } catch (_: InterruptedException) {
                continue
            }
        }
    }
}
