/*
 * What all stand-ins share: an HTTP listener on loopback. Stand-ins speak the protocols of the platform and of backend
 * servers, for the demo, the tests and the load experiments.
 */
package org.pomeloladder.standins

import kotlinx.serialization.json.Json
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Jetty
import org.http4k.server.ServerConfig
import org.http4k.server.asServer
import org.pomeloladder.configuration.Address

private const val MAX_THREADS = 512
internal const val LOOPBACK = "127.0.0.1"

internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** A stand-in that listens on loopback. [start] before use. */
interface StandIn : AutoCloseable {
    val address: Address

    fun start()
}

/** Serves [handler] on [port] of loopback; port 0 takes a free one. */
internal class LoopbackListener(port: Int, handler: HttpHandler) : AutoCloseable {
    private val server = Server(QueuedThreadPool(MAX_THREADS))
    private val connector = ServerConnector(server, HttpConnectionFactory(HttpConfiguration()))
    private val running = handler.asServer(
        Jetty(
            port,
            ServerConfig.StopMode.Immediate,
            server.apply {
                connector.host = LOOPBACK
                connector.port = port
                addConnector(connector)
            },
        ),
    )

    val address: Address
        get() = Address(LOOPBACK, connector.localPort)

    fun start() {
        running.start()
    }

    override fun close() {
        running.stop()
    }
}

internal fun json(text: String, status: Status = Status.OK) =
    Response(status).header("Content-Type", "application/json").body(text)
