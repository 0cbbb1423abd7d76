/*
 * Polls backend servers for the load that they report.
 */
package org.pomeloladder.daemon

import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeoutException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.decisions.LoadReported

private const val POLL_INTERVAL_MS = 1_000L
private const val TIMEOUT_MS = 1_000L

@Serializable
private data class LoadReport(val load: Int)

/** Polls `GET /load` of the backend servers that [ownedServers] returns. */
class LoadReader(
    private val ownedServers: () -> List<BackendServerRecord>,
    private val events: EventSink,
) : AutoCloseable {
    private val client = JettyClient(
        HttpClient().apply {
            connectTimeout = TIMEOUT_MS
            idleTimeout = TIMEOUT_MS
            userAgentField = null
        },
    )
    private val thread = Thread(::run, "load-reader").apply { isDaemon = true }

    @Volatile
    private var isClosed = false

    fun start() = thread.start()

    override fun close() {
        isClosed = true
        thread.interrupt()
        client.close()
    }

    private fun run() {
        try {
            while (!isClosed) {
                readOwnedServers()
                Thread.sleep(POLL_INTERVAL_MS)
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun readOwnedServers() {
        val servers = try {
            ownedServers()
        } catch (_: TimeoutException) {
            // The control thread is overloaded. The next poll tries again.
            return
        }
        servers.forEach(::read)
    }

    private fun read(server: BackendServerRecord) {
        val response = try {
            client(Request(Method.GET, "http://${server.address}/load"))
        } catch (_: ExecutionException) {
            // http4k throws if the server closes the connection. The next poll tries again.
            return
        }
        if (!response.status.successful) return
        try {
            val report = daemonJson.decodeFromString<LoadReport>(response.bodyString())
            events.post(LoadReported(server.id, report.load))
        } catch (_: SerializationException) {
            // The server returned no valid load report; its last reported value stays in use.
            return
        }
    }
}
