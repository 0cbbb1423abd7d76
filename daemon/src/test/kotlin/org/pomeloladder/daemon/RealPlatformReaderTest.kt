package org.pomeloladder.daemon

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.decisions.ConfigUpdate
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.VmListUpdate
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

private const val TIMEOUT_S = 30L
private const val REQUESTS_TO_DROP = 4

class RealPlatformReaderTest {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val events = LinkedBlockingQueue<Event>()
    private val requests = AtomicInteger()

    /** A path whose reads are never answered, and the times of these reads. */
    private var silentPath: String? = null
    private val silentReadsMs = LinkedBlockingQueue<Long>()
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val reader = RealPlatformReader(
        Address("127.0.0.1", server.localPort),
        FailureDomainId("norte-a"),
        events::add,
    )

    @AfterEach
    fun close() {
        reader.close()
        server.close()
        sockets.forEach { it.close() }
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

    // Guards against a read that is never answered and that passes for a platform without news. The
    // bounds are those on configuration changes and on servers that leave.
    @ParameterizedTest
    @CsvSource("/config/entries, 9000", "/vms/entry, 3000", "/vms/backends/norte-a, 3000")
    fun `a read that is never answered is repeated within the bound on its news`(
        path: String,
        boundMs: Long,
    ) {
        silentPath = path
        serve()
        reader.start()
        reader.setWatching(isWatching = true, after = null)
        val timesMs = List(2) { silentReadsMs.poll(TIMEOUT_S, TimeUnit.SECONDS) }

        expectThat(timesMs[1] - timesMs[0]).isLessThan(boundMs)
    }

    /**
     * Closes the first [REQUESTS_TO_DROP] connections without a response, then responds, except to
     * reads of [silentPath].
     */
    private fun serve() = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
            sockets += socket
            val reader = socket.getInputStream().bufferedReader()
            val path = reader.readLine()?.split(" ")?.get(1).orEmpty()
            while (!reader.readLine().isNullOrEmpty()) continue
            val isDropped = requests.incrementAndGet() <= REQUESTS_TO_DROP
            when {
                isDropped -> socket.close()
                path.substringBefore('?') == silentPath ->
                    silentReadsMs += TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
                else -> socket.use { respond(it, bodyOf(path)) }
            }
        }
    }

    private fun respond(socket: Socket, body: String) = socket.getOutputStream().write(
        (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                "Content-Length: ${body.length}\r\nConnection: close\r\n\r\n$body"
            ).encodeToByteArray(),
    )

    private fun bodyOf(path: String) = when {
        path.startsWith("/config") ->
            """{"sequence":1,"version":1,"configuration":{"regions":{},"groups":{},"services":{},"subscribers":{}}}"""
        path == "/vms/entry" -> """{"revision":1,"vms":[]}"""
        else -> """{"revision":1,"domain":"norte-a","servers":[]}"""
    }
}
