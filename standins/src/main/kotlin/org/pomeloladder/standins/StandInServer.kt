/*
 * Common base of the stand-ins, which simulate the platform and backend servers for the demo, the
 * tests and the load experiments: their interface and an HTTP listener on loopback.
 */
package org.pomeloladder.standins

import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.json.Json
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.SocketChannelEndPoint
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

/** A simulated service on loopback. Call [start] before use. */
interface StandIn : AutoCloseable {
    val address: Address

    fun start()
}

/** Serves [handler] on loopback at [port]; port 0 selects a free one. */
internal class LoopbackListener(port: Int, handler: HttpHandler) : AutoCloseable {
    private val threads = QueuedThreadPool(MAX_THREADS)
    private val server = Server(threads)
    private val connector = AbortableConnector(server)
    private val httpServer = handler.asServer(
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
        httpServer.start()
    }

    /** Closes the listener and all connections without waiting for the requests under way. */
    fun abort() {
        connector.abort()
        threads.stopTimeout = 0
        close()
    }

    override fun close() {
        httpServer.stop()
    }
}

/**
 * A connector that can end like that of a process that is killed: no connection stays open, also none
 * that was just being accepted. Jetty forgets those that it accepts while it stops.
 */
private class AbortableConnector(server: Server) :
    ServerConnector(server, HttpConnectionFactory(HttpConfiguration())) {
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var isAborted = false

    /** Called for each connection as soon as it has been accepted. */
    override fun configure(socket: Socket) {
        super.configure(socket)
        sockets += socket
        if (isAborted) socket.close()
    }

    override fun onEndPointClosed(endPoint: EndPoint) {
        super.onEndPointClosed(endPoint)
        (endPoint as? SocketChannelEndPoint)?.let { sockets -= it.channel.socket() }
    }

    fun abort() {
        isAborted = true
        // Before the acceptors are interrupted, which loses a connection that one has in hand.
        close()
        stop()
        sockets.forEach { it.close() }
    }
}

internal fun json(text: String, status: Status = Status.OK) =
    Response(status).header("Content-Type", "application/json").body(text)
