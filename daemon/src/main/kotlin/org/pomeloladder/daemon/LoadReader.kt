/*
 * Reads the load that backend servers report about themselves.
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

private const val INTERVAL_MS = 1_000L
private const val TIMEOUT_MS = 1_000L

@Serializable
private data class LoadAnswer(val load: Int)

/**
 * Polls `GET /load` of the servers that [owned] lists; asks nothing while the process owns none.
 */
class LoadReader(
    private val owned: () -> List<BackendServerRecord>,
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
                readOwned()
                Thread.sleep(INTERVAL_MS)
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun readOwned() {
        val servers = try {
            owned()
        } catch (_: TimeoutException) {
            // An overloaded control thread; the next round asks again.
            return
        }
        servers.forEach(::read)
    }

    private fun read(server: BackendServerRecord) {
        val response = try {
            client(Request(Method.GET, "http://${server.address}/load"))
        } catch (_: ExecutionException) {
            // http4k throws when the server closes the connection; the next round asks again.
            return
        }
        if (!response.status.successful) return
        try {
            val answer = daemonJson.decodeFromString<LoadAnswer>(response.bodyString())
            events.post(LoadReported(server.id, answer.load))
        } catch (_: SerializationException) {
            // A server without load reports keeps its last value.
            return
        }
    }
}
