/*
 * Reads the platform over HTTP: the configuration by long polling, and the VM lists at a fixed
 * interval. Both pause while this process is not a watcher of its failure domain.
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
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerList
import org.pomeloladder.configuration.ConfigEntry
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
        if (last == null) {
            // Avoids a tight loop if the service returns at once instead of holding the request.
            val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
            if (elapsedMs < RETRY_DELAY_MS) Thread.sleep(RETRY_DELAY_MS - elapsedMs)
            return@repeatWhileWatching
        }
        lock.withLock { lastSequence = maxSequence(lastSequence, last) }
        events.post(ConfigUpdate(page.snapshot, page.entries))
    }

    private fun maxSequence(first: ConfigSequence?, second: ConfigSequence?): ConfigSequence? =
        listOfNotNull(first, second).maxOrNull()

    private fun readVmLists() = repeatWhileWatching {
        val startNanos = System.nanoTime()
        val entries = listClient.get<EntryVmList>("/vms/entry")
        val servers = listClient.get<BackendServerList>("/vms/backends/$domain")
        if (entries != null || servers != null) events.post(VmListUpdate(entries, servers))
        val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
        if (elapsedMs < VM_LIST_INTERVAL_MS) Thread.sleep(VM_LIST_INTERVAL_MS - elapsedMs)
    }

    private fun readSnapshot(): ConfigLogPage? =
        configurationClient.get<ConfigSnapshot>("/config/snapshot")?.let {
            ConfigLogPage(snapshot = it)
        }

    /** Reads the entries after [after], or a snapshot if the log no longer contains all of them. */
    private fun readEntries(after: ConfigSequence): ConfigLogPage? {
        val path = "/config/entries?after=$after&waitMs=$LONG_POLL_MS"
        val page = configurationClient.get<ConfigLogPage>(path)
        val first = page?.entries?.firstOrNull()?.sequence ?: return page
        val isGap = page.snapshot == null && first > after.next()
        return if (isGap) readSnapshot() else page
    }

    private inline fun <reified T> HttpHandler.get(path: String): T? {
        val response = try {
            this(Request(Method.GET, "http://$platform$path"))
        } catch (_: ExecutionException) {
            // http4k throws if the service closes the connection; uncaught, that ends this thread.
            return null
        }
        if (!response.status.successful) return null
        return try {
            daemonJson.decodeFromString<T>(response.bodyString())
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
