/*
 * The HTTP listener for callers and for operators: Jetty with the limits of the settings.
 */
package org.pomeloladder.daemon

import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.Jetty
import org.http4k.server.asServer
import org.pomeloladder.configuration.Address

/** Creates a listener on [address] without starting it. */
internal fun listener(address: Address, limits: Limits, handler: HttpHandler): Http4kServer {
    val server = Server(QueuedThreadPool(limits.maxCallerThreads))
    val http = HttpConfiguration().apply { sendServerVersion = false }
    val connector = ServerConnector(server, HttpConnectionFactory(http)).apply {
        host = address.host
        port = address.port
        idleTimeout = limits.callerIdleTimeoutMs
    }
    server.addConnector(connector)
    return handler.asServer(Jetty(address.port, server))
}
