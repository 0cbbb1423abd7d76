/*
 * Reads the platform over HTTP: the configuration by long polling, and the VM lists at an interval. Both stop while this
 * process is not one of its failure domain's watchers.
 */
package org.pomeloladder.daemon

import java.util.concurrent.ExecutionException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
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

/** How long the service may hold a watch before it answers with nothing. */
private const val WATCH_MS = 10_000L
private const val NANOS_PER_MS = 1_000_000L
private const val READ_TIMEOUT_MS = 15_000L
private const val CONNECT_TIMEOUT_MS = 2_000L

/** Pause after a failed read, so that an absent service is not flooded. */
private const val RETRY_MS = 1_000L

/** Interval of VM list reads. Leaving servers get no new work within 3 s, so the list is read each second. */
private const val VM_LIST_INTERVAL_MS = 1_000L

/** The answer to a read of the configuration log. */
@Serializable
data class ConfigLogPage(
    val snapshot: ConfigSnapshot? = null,
    val entries: List<ConfigEntry> = emptyList(),
)

/** [PlatformReader] with one thread for the configuration and one for the VM lists. */
class RealPlatformReader(
    private val platform: Address,
    private val domain: FailureDomainId,
    private val events: EventSink,
) : PlatformReader {
    private val client = JettyClient(
        HttpClient().apply {
            connectTimeout = CONNECT_TIMEOUT_MS
            idleTimeout = READ_TIMEOUT_MS
            userAgentField = null
        },
    )
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var isWatching = false
    private var position: ConfigSequence? = null
    private val threads = listOf(
        Thread(::readConfiguration, "platform-configuration"),
        Thread(::readVmLists, "platform-vm-lists"),
    )

    @Volatile
    private var isClosed = false

    fun start() = threads.forEach {
        it.isDaemon = true
        it.start()
    }

    override fun watch(isWatching: Boolean, after: ConfigSequence?) = lock.withLock {
        this.isWatching = isWatching
        // Entries from peers move the position on; a question that was asked before cannot move it back.
        position = later(position, after)
        changed.signalAll()
    }

    override fun close() {
        isClosed = true
        threads.forEach(Thread::interrupt)
        client.close()
    }

    private fun readConfiguration() = repeatWhileWatching {
        val startNanos = System.nanoTime()
        val after = lock.withLock { position }
        val page = if (after == null) readSnapshot() else readEntries(after)
        events.post(PlatformHealth(page != null))
        if (page == null) {
            Thread.sleep(RETRY_MS)
            return@repeatWhileWatching
        }
        val last = page.entries.lastOrNull()?.sequence ?: page.snapshot?.sequence
        if (last == null) {
            // A service that does not hold the watch must not be asked in a tight loop.
            val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
            if (elapsedMs < RETRY_MS) Thread.sleep(RETRY_MS - elapsedMs)
            return@repeatWhileWatching
        }
        lock.withLock { position = later(position, last) }
        events.post(ConfigUpdate(page.snapshot, page.entries))
    }

    private fun later(first: ConfigSequence?, second: ConfigSequence?): ConfigSequence? =
        listOfNotNull(first, second).maxOrNull()

    private fun readVmLists() = repeatWhileWatching {
        val entries = get<EntryVmList>("/vms/entry")
        val servers = get<BackendServerList>("/vms/backends/$domain")
        if (entries != null || servers != null) events.post(VmListUpdate(entries, servers))
        Thread.sleep(VM_LIST_INTERVAL_MS)
    }

    private fun readSnapshot(): ConfigLogPage? =
        get<ConfigSnapshot>("/config/snapshot")?.let { ConfigLogPage(snapshot = it) }

    /** The entries after [after], or a snapshot when the service's log no longer reaches back to it. */
    private fun readEntries(after: ConfigSequence): ConfigLogPage? {
        val page = get<ConfigLogPage>("/config/entries?after=$after&waitMs=$WATCH_MS")
        val first = page?.entries?.firstOrNull()?.sequence ?: return page
        val isGap = page.snapshot == null && first > after.next()
        return if (isGap) readSnapshot() else page
    }

    private inline fun <reified T> get(path: String): T? {
        val response = try {
            client(Request(Method.GET, "http://$platform$path"))
        } catch (_: ExecutionException) {
            // http4k throws when the service closes the connection, which would end this thread.
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
                lock.withLock { while (!isWatching) changed.await() }
                step()
            } catch (_: InterruptedException) {
                continue
            }
        }
    }
}
