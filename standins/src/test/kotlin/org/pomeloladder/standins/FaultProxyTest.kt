package org.pomeloladder.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo

private const val SHORT_WAIT_MS = 300
private const val LONG_WAIT_MS = 20_000

class FaultProxyTest {
    @Test
    fun `without a fault bytes pass both ways, so failures come only from injected faults`() =
        withEcho { _, client ->
            expectThat(client.exchange("a")).isEqualTo("a")
        }

    @Test
    fun `held bytes arrive complete when the hold ends, as after a network stall`() =
        withEcho { proxy, client ->
            proxy.inject(Fault.Hold(setOf(Direction.TO_TARGET)))
            expectThrows<SocketTimeoutException> { client.exchange("b", SHORT_WAIT_MS) }

            proxy.heal()

            expectThat(client.receive()).isEqualTo("b")
        }

    @Test
    fun `a connection that lost bytes is closed when the cut ends, so no stream has a gap`() =
        withEcho { proxy, client ->
            proxy.inject(Fault.Cut(setOf(Direction.TO_SOURCE)))
            expectThrows<SocketTimeoutException> { client.exchange("c", SHORT_WAIT_MS) }

            proxy.heal()

            expectThat(runCatching { client.receive() }.getOrElse { "" }).isEqualTo("")
        }

    @Test
    fun `a reset by the target reaches the source as a reset, not as the end of a response`() =
        withTarget({
            setSoLinger(true, 0)
            close()
        }) { client -> expectThrows<IOException> { client.receive() } }

    @Test
    fun `the end of the target's bytes reaches the source as an end`() =
        withTarget({ close() }) { client -> expectThat(client.receive()).isEqualTo("") }

    /** Runs [test] with a client, through a proxy, of a server that reads and then does [end]. */
    private fun withTarget(end: Socket.() -> Unit, test: (Socket) -> Unit) {
        val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
        thread(isDaemon = true) {
            server.accept().run {
                receive()
                end()
            }
        }
        FaultProxy(Address("127.0.0.1", server.localPort)).use { proxy ->
            proxy.start()
            Socket(proxy.address.host, proxy.address.port).use { client ->
                client.getOutputStream().write("x".toByteArray())
                test(client)
            }
        }
        server.close()
    }

    /** Runs [test] with a proxy in front of an echo server and a client connected to the proxy. */
    private fun withEcho(test: (FaultProxy, Socket) -> Unit) {
        val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
        thread(isDaemon = true) { echo(server) }
        FaultProxy(Address("127.0.0.1", server.localPort)).use { proxy ->
            proxy.start()
            Socket(proxy.address.host, proxy.address.port).use { client ->
                expectThat(client.exchange("open")).isEqualTo("open")
                test(proxy, client)
            }
        }
        server.close()
    }

    private fun echo(server: ServerSocket) {
        try {
            server.accept().use { it.getInputStream().transferTo(it.getOutputStream()) }
        } catch (_: IOException) {
            // Expected when the test closes its sockets.
        }
    }

    private fun Socket.exchange(text: String, waitMs: Int = LONG_WAIT_MS): String {
        getOutputStream().write(text.toByteArray())
        return receive(waitMs)
    }

    /** Returns the next bytes received, or an empty string at the end of the stream. */
    private fun Socket.receive(waitMs: Int = LONG_WAIT_MS): String {
        soTimeout = waitMs
        val buffer = ByteArray(64)
        val count = getInputStream().read(buffer)
        return if (count < 0) "" else String(buffer, 0, count)
    }
}
