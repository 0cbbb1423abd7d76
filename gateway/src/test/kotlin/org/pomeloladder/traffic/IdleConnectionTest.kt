package org.pomeloladder.traffic

import java.net.Socket
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.gateway.CloseIdleConnections
import org.pomeloladder.gateway.IdleConnectionLost
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Idle connections that end, which may be all that is seen of the restart of a server. */
class IdleConnectionTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()
    private val callers = mutableListOf<Socket>()

    @AfterEach
    fun close() {
        callers.forEach { it.close() }
        traffic.close()
        server.close()
    }

    /** How a server ends an idle connection. */
    enum class End(val apply: Socket.() -> Unit) {
        CLOSE({ close() }),
        HALF_CLOSE({ shutdownOutput() }),
        RESET({ reset() }),
    }

    /** Returns a connection that is idle after a response with these header [fields]. */
    private fun idleConnection(fields: String): Socket {
        val caller = traffic.caller().also { callers += it }
        traffic.send(traffic.request(caller, "r1"), server)
        val connection = server.accept()
        connection.readHead()
        connection.write(
            "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n${fields}content-length: 0\r\n\r\n",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        return connection
    }

    private fun expectNothingLost() {
        TimeUnit.MILLISECONDS.sleep(DELIVERY_DELAY_MS)
        expectThat(traffic.events.filterIsInstance<IdleConnectionLost>()).isEmpty()
    }

    // Guards against a server that starts again between two calls without being noticed.
    @ParameterizedTest
    @EnumSource
    fun `an idle connection that ends earlier than announced is reported`(end: End) {
        end.apply(idleConnection("keep-alive: timeout=5\r\n"))

        expectThat(traffic.await<IdleConnectionLost>().server).isEqualTo(BackendServerId("s"))
    }

    // Guards against sound servers that are checked because they end idle connections in time.
    @Test
    fun `an idle connection that ends when announced is not reported`() {
        val connection = idleConnection("keep-alive: timeout=1\r\n")
        TimeUnit.MILLISECONDS.sleep(KEEP_ALIVE_MS)
        connection.close()

        expectNothingLost()
    }

    // Guards against the same where the server doesn't say how long it keeps idle connections.
    @Test
    fun `an idle connection of a server that announces nothing is not reported`() {
        idleConnection("").close()

        expectNothingLost()
    }

    // Guards against the same after a response that announces the end of its connection.
    @Test
    fun `a connection that ends after its last response is not reported`() {
        idleConnection("connection: close\r\n").close()

        expectNothingLost()
    }

    // Guards against servers that are checked because this process ends their connections.
    @Test
    fun `an idle connection that this process ends is not reported`() {
        idleConnection("keep-alive: timeout=5\r\n")
        traffic.execute(CloseIdleConnections(BackendServerId("s")))

        expectNothingLost()
    }

    private companion object {
        const val KEEP_ALIVE_MS = 1_000L
    }
}
