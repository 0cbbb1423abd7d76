package org.pomeloladder.daemon

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.decisions.ConfigUpdate
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.VmListUpdate
import strikt.api.expectThat
import strikt.assertions.isTrue

private const val TIMEOUT_S = 30L
private const val REQUESTS_TO_DROP = 4

class RealPlatformReaderTest {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val events = LinkedBlockingQueue<Event>()
    private val requests = AtomicInteger()
    private val reader = RealPlatformReader(
        Address("127.0.0.1", server.localPort),
        FailureDomainId("norte-a"),
        events::add,
    )

    @AfterEach
    fun close() {
        reader.close()
        server.close()
    }

    @Test
    fun `reads continue after the platform closes connections, as in a restart`() {
        serve()
        reader.start()
        reader.setWatching(isWatching = true, after = null)

        var isConfigRead = false
        var isListRead = false
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
        while (!(isConfigRead && isListRead) && System.nanoTime() < deadlineNanos) {
            val event = events.poll(1, TimeUnit.SECONDS)
            if (event is ConfigUpdate) isConfigRead = true
            if (event is VmListUpdate) isListRead = true
        }

        expectThat(isConfigRead).describedAs("configuration read").isTrue()
        expectThat(isListRead).describedAs("VM lists read").isTrue()
    }

    /** Closes the first [REQUESTS_TO_DROP] connections without a response, then responds. */
    private fun serve() = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
            socket.use {
                val reader = it.getInputStream().bufferedReader()
                val path = reader.readLine()?.split(" ")?.get(1).orEmpty()
                while (!reader.readLine().isNullOrEmpty()) continue
                if (requests.incrementAndGet() <= REQUESTS_TO_DROP) return@use
                val body = bodyOf(path)
                it.getOutputStream().write(
                    (
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                            "Content-Length: ${body.length}\r\nConnection: close\r\n\r\n$body"
                        ).encodeToByteArray(),
                )
            }
        }
    }

    private fun bodyOf(path: String) = when {
        path.startsWith("/config") ->
            """{"sequence":1,"version":1,"configuration":{"regions":{},"groups":{},"services":{},"subscribers":{}}}"""
        path == "/vms/entry" -> """{"revision":1,"vms":[]}"""
        else -> """{"revision":1,"domain":"norte-a","servers":[]}"""
    }
}
