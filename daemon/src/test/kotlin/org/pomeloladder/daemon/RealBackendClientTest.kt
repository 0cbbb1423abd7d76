package org.pomeloladder.daemon

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendCall
import org.pomeloladder.decisions.RunState
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

private const val IDLE_TIMEOUT_MS = 2_000L
private const val OK = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
private const val NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

class RealBackendClientTest {
    private val client = RealBackendClient(IDLE_TIMEOUT_MS)
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val requests = AtomicInteger()

    @AfterEach
    fun close() {
        client.close()
        server.close()
    }

    @Test
    fun `a connection that closes without a response leaves the order unknown and sent once`() {
        serve { it.readRequest() }

        expectThat(run()).isUnknown()

        expectThat(requests.get()).isEqualTo(1)
    }

    @Test
    fun `an order is neither lost nor repeated if the server closes a kept-alive connection`() {
        serve { socket ->
            socket.readRequest()
            // Keeps the connection open and closes it when the next request begins, the latest
            // moment at which the server's idle timeout can close it.
            socket.write("$OK\r\n{}")
            socket.getInputStream().read()
        }

        repeat(ORDER_COUNT) {
            expectThat(run()).isA<BackendResult.Ended>().get { outcome }
                .isA<AttemptOutcome.Completed>()
        }

        expectThat(requests.get()).isEqualTo(ORDER_COUNT)
    }

    @Test
    fun `a redirect of an order is neither followed nor passed on to the caller`() {
        serve { socket ->
            socket.readRequest()
            val location = "http://127.0.0.1:${server.localPort}/orders"
            socket.write(
                "HTTP/1.1 307 Temporary Redirect\r\nLocation: $location\r\n" +
                    "Content-Length: 0\r\nConnection: close\r\n\r\n",
            )
        }

        expectThat(run()).isUnknown()

        expectThat(requests.get()).isEqualTo(1)
    }

    @Test
    fun `a truncated response leaves the order unknown and sent once`() {
        serve { socket ->
            socket.readRequest()
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
        }

        expectThat(run()).isUnknown()

        expectThat(requests.get()).isEqualTo(1)
    }

    @Test
    fun `a response that times out leaves the order unknown and sent once`() {
        serve { socket ->
            socket.readRequest()
            socket.soTimeout = 0
            socket.getInputStream().read()
        }

        expectThat(run()).isUnknown()

        expectThat(requests.get()).isEqualTo(1)
    }

    @Test
    fun `a refused connection proves that the order was not sent`() {
        server.close()

        expectThat(run()).isA<BackendResult.Ended>().get { outcome }
            .isA<AttemptOutcome.NotSent>()
            .get { refusal.runState }.isEqualTo(RunState.NOT_RUN)
    }

    @Test
    fun `a connect timeout proves that the order was not sent`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { fullServer ->
            // The kernel completes no further connection once the accept queue is full.
            val pendingConnections = generateSequence { fullServer.connectOrNull() }
                .take(MAX_PENDING_CONNECTIONS).toList()

            expectThat(run(port = fullServer.localPort)).isA<BackendResult.Ended>().get { outcome }
                .isA<AttemptOutcome.NotSent>()
                .get { refusal.runState }.isEqualTo(RunState.NOT_RUN)

            pendingConnections.forEach(Socket::close)
        }
    }

    private fun ServerSocket.connectOrNull(): Socket? = try {
        Socket().also { it.connect(localSocketAddress, CONNECT_TIMEOUT_MS) }
    } catch (_: SocketTimeoutException) {
        null
    }

    @Test
    fun `a failed lookup does not report that the order is absent`() {
        server.close()

        expectThat(run(BackendCall.LOOK_UP_ORDER)).isA<BackendResult.LookupFailed>()
    }

    @Test
    fun `a lookup by another subscriber with the same key does not find the order`() {
        val keys = ConcurrentHashMap.newKeySet<String>()
        serve { socket ->
            val head = socket.readRequest()
            val key = head.firstOrNull { it.startsWith("Idempotency-Key: ", ignoreCase = true) }
                ?.substringAfter(": ")?.also(keys::add)
            val requestedKey = key ?: head.first().substringAfter("/orders/").substringBefore(' ')
            socket.write(if (requestedKey in keys) "$OK\r\n{}" else NOT_FOUND)
        }
        run()

        expectThat(run(BackendCall.LOOK_UP_ORDER, "cafe-2")).isA<BackendResult.OrderAbsent>()
        expectThat(run(BackendCall.LOOK_UP_ORDER)).isA<BackendResult.Ended>().get { outcome }
            .isA<AttemptOutcome.Completed>()
    }

    // Guards against running out of memory when a faulty server sends a body without end.
    @Test
    fun `an endless response body ends the attempt instead of being kept`() {
        val written = serveEndless("HTTP/1.1 200 OK\r\n\r\n")

        expectThat(run()).isUnknown()
        expectThat(written()).isLessThan(MAX_ACCEPTED_BYTES)
    }

    @Test
    fun `an endless line of a stream ends the attempt instead of being kept`() {
        val written = serveEndless("HTTP/1.1 200 OK\r\n\r\ndata: ")

        expectThat(run(BackendCall.SERVE)).isUnknown()
        expectThat(written()).isLessThan(MAX_ACCEPTED_BYTES)
    }

    @Test
    fun `endless lines of a stream without an event end the attempt`() {
        val written = serveEndless("HTTP/1.1 200 OK\r\n\r\n", ": nothing\n".repeat(1_000))

        expectThat(run(BackendCall.SERVE)).isUnknown()
        expectThat(written()).isLessThan(MAX_ACCEPTED_BYTES)
    }

    @Test
    fun `an endless response head ends the attempt instead of being kept`() {
        val written = serveEndless("HTTP/1.1 200 OK\r\nfiller: ")

        expectThat(run()).isUnknown()
        expectThat(written()).isLessThan(MAX_ACCEPTED_BYTES)
    }

    @Test
    fun `an endless answer to a lookup does not report that the order is absent`() {
        val written = serveEndless("HTTP/1.1 200 OK\r\n\r\n")

        expectThat(run(BackendCall.LOOK_UP_ORDER)).isA<BackendResult.LookupFailed>()
        expectThat(written()).isLessThan(MAX_ACCEPTED_BYTES)
    }

    /**
     * Answers with [start] and then [repeated] until the client closes the connection, at most
     * [MAX_SENT_BYTES]. Returns a function that tells how many bytes the client accepted.
     */
    private fun serveEndless(
        start: String,
        repeated: String = "x".repeat(FILLER_BYTES),
    ): () -> Long {
        val written = AtomicLong()
        val closed = CountDownLatch(1)
        serve { socket ->
            socket.readRequest()
            try {
                socket.write(start)
                while (written.get() < MAX_SENT_BYTES) {
                    socket.write(repeated)
                    written.addAndGet(repeated.length.toLong())
                }
            } finally {
                closed.countDown()
            }
        }
        return {
            closed.await(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)
            written.get()
        }
    }

    // Guards against giving a caller the late second copy of another caller's answer.
    @Test
    fun `a second copy of an answer that comes late is not the answer of the next call`() {
        serve { socket ->
            var copy: String? = null
            while (socket.readRequest().isNotEmpty()) {
                // The copy of the earlier answer on this connection comes before the own answer.
                copy?.let { socket.write(it) }
                copy = answer(requests.get()).also { socket.write(it) }
            }
        }
        val sinks = List(2) { RecordingSink() }
        sinks.forEach { run(BackendCall.CALL_SERVICE, sink = it) }

        expectThat(sinks.map { it.body }).isEqualTo(listOf("[1]", "[2]"))
    }

    private fun answer(number: Int) = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[$number]"

    private fun strikt.api.Assertion.Builder<BackendResult>.isUnknown() =
        isA<BackendResult.Ended>().get { outcome }.isA<AttemptOutcome.Failed>()
            .get { refusal.runState }.isEqualTo(RunState.UNKNOWN)

    private fun serve(respond: (Socket) -> Unit) {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { respond(it) } } }
            }
        }
    }

    /** Reads and counts one request with its body; returns the lines of its head. */
    private fun Socket.readRequest(): List<String> {
        val reader = getInputStream().bufferedReader()
        val head = ArrayList<String>()
        var length = 0
        while (true) {
            val line = reader.readLine() ?: return head
            if (line.isEmpty()) break
            head += line
            if (line.startsWith("Content-Length:", ignoreCase = true)) {
                length = line.substringAfter(':').trim().toInt()
            }
        }
        repeat(length) { reader.read() }
        requests.incrementAndGet()
        return head
    }

    private fun run(
        call: BackendCall = BackendCall.RUN_ORDER,
        subscriber: String = "cafe-1",
        port: Int = server.localPort,
        sink: ResponseSink = RecordingSink(),
    ): BackendResult = client.call(testAttempt(call, port, sink, subscriber))

    private companion object {
        const val ORDER_COUNT = 20
        const val MAX_PENDING_CONNECTIONS = 16
        const val CONNECT_TIMEOUT_MS = 300
        const val FILLER_BYTES = 16_384
        const val MAX_SENT_BYTES = 96L * 1024 * 1024

        /** The limits of the client plus what sockets and the client's reader hold. */
        const val MAX_ACCEPTED_BYTES = 32L * 1024 * 1024
        const val CLOSE_TIMEOUT_S = 10L
    }
}
