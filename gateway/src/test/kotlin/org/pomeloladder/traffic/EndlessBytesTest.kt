package org.pomeloladder.traffic

import java.io.IOException
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CheckHealth
import org.pomeloladder.gateway.HealthChecked
import org.pomeloladder.gateway.NotRunReason
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendStalled
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Servers that send bytes without end, at full speed and slowly, at each place of an answer. */
class EndlessBytesTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    /** Keeps the callers' connections open. */
    private val callers = ArrayList<Socket>()

    private fun call(): CallId = traffic.request(traffic.caller().also { callers += it }, "r1")

    /** The server's end of a new connection with the head of the request of [call] read. */
    private fun accept(call: CallId = call(), isStream: Boolean = false): Socket {
        traffic.send(call, server, isStream)
        return server.accept().apply { readHead() }
    }

    private fun broken(): BreakReason =
        (traffic.await<SendEnded>().outcome as SendOutcome.Broken).reason

    /** Writes [text] again and again; true when the other side closed before [FLOOD_BYTES]. */
    private fun isClosedIn(connection: Socket, text: String): Boolean {
        val bytes = text.repeat(BLOCK_BYTES / text.length + 1).toByteArray()
        return try {
            repeat(FLOOD_BYTES / bytes.size) { connection.getOutputStream().write(bytes) }
            false
        } catch (_: IOException) {
            true
        }
    }

    /** Whether the other side closes; it resets the connection when it has not read everything. */
    private fun isEnded(connection: Socket): Boolean = try {
        connection.getInputStream().read() == -1
    } catch (_: SocketException) {
        true
    }

    /** Writes [text] every few milliseconds; true when the send counts as quiet all the same. */
    private fun isQuietIn(connection: Socket, text: String): Boolean {
        traffic.events.clear()
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRICKLE_MS)
        while (System.nanoTime() < untilNanos) {
            connection.write(text)
            val event = traffic.events.poll(TRICKLE_PAUSE_MS, TimeUnit.MILLISECONDS)
            if (event is SendStalled && event.idleMs >= QUIET_MS) return true
        }
        return false
    }

    @Test
    fun `blank lines without end in place of an answer end the send`() {
        expectThat(isClosedIn(accept(), "\r\n")).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.NOT_HTTP)
    }

    @Test
    fun `informational heads without end end the send`() {
        expectThat(isClosedIn(accept(), CONTINUE)).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `informational heads that trickle in are no sign of life`() {
        expectThat(isQuietIn(accept(), CONTINUE)).isTrue()
    }

    @Test
    fun `an answer to another request without end ends the send`() {
        val connection = accept()
        connection.write(chunkedHead("r0"))
        expectThat(isClosedIn(connection, chunk("foreign"))).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `answers to other requests without end end the send`() {
        val answer = "HTTP/1.1 200 OK\r\nid: r0\r\ncontent-length: 1\r\n\r\nx"
        expectThat(isClosedIn(accept(), answer)).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `an answer to another request that trickles in is no sign of life`() {
        val connection = accept()
        connection.write(chunkedHead("r0"))
        expectThat(isQuietIn(connection, chunk("foreign"))).isTrue()
    }

    @Test
    fun `blank lines without end on an idle connection close it`() {
        val connection = accept()
        connection.write(
            "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 0\r\n\r\n",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        expectThat(isClosedIn(connection, "\r\n")).isTrue()
    }

    @Test
    fun `a line, a head, chunk extensions or trailers without end end the send`() {
        val starts = mapOf(
            "x" to "",
            "a: b\r\n" to "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n",
            ";a=b" to chunkedHead("r1") + "1",
            "b: c\r\n" to chunkedHead("r1") + "0\r\n",
        )
        for ((endless, start) in starts) {
            val connection = accept()
            connection.write(start)
            expectThat(isClosedIn(connection, endless)).isTrue()
            expectThat(broken()).isEqualTo(BreakReason.NOT_HTTP)
        }
    }

    @Test
    fun `an unsigned or encoded answer is judged at its head, before the end of its body`() {
        val heads = listOf(
            "200 OK\r\nid: r1",
            "200 OK\r\nid: r1\r\nsigned: 1\r\ncontent-encoding: gzip",
            "200 OK\r\nsigned: 1",
            "503 Busy\r\nid: r1",
        )
        for (head in heads) {
            for (isStream in listOf(false, true)) {
                val connection = accept(isStream = isStream)
                connection.write("HTTP/1.1 $head\r\ntransfer-encoding: chunked\r\n\r\n")
                expectThat(broken()).isEqualTo(BreakReason.UNSIGNED)
                expectThat(isEnded(connection)).isTrue()
            }
        }
    }

    @Test
    fun `a refusal with a body without end is judged at its head`() {
        val connection = accept()
        val head = "HTTP/1.1 503 Busy\r\nid: r1\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        connection.write(head + chunk("wait"))
        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.NotRun(NotRunReason.FULL))
        expectThat(isEnded(connection)).isTrue()
    }

    @Test
    fun `a refusal that arrives whole leaves the connection in use`() {
        val connection = accept()
        connection.write(
            "HTTP/1.1 503 Busy\r\nid: r1\r\nnot-run: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 4\r\n\r\nwait",
        )
        traffic.await<SendEnded>()
        traffic.send(traffic.request(traffic.caller(), "r2"), server)
        expectThat(connection.readHead()).contains("id: r2")
    }

    @Test
    fun `a failure with a body without end ends the send`() {
        val connection = accept()
        connection.write("HTTP/1.1 500 Oops\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n")
        expectThat(isClosedIn(connection, chunk("oops"))).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `a failure whose body trickles in is no sign of life`() {
        val connection = accept()
        connection.write("HTTP/1.1 500 Oops\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n")
        expectThat(isQuietIn(connection, chunk("oops"))).isTrue()
    }

    @Test
    fun `a signed answer without end ends the send`() {
        TestTraffic(maxHeldBytes = 1 shl 20).use { small ->
            val caller = small.caller()
            small.send(small.request(caller, "r1"), server)
            val connection = server.accept().apply { readHead() }
            connection.write(chunkedHead("r1"))
            expectThat(isClosedIn(connection, chunk("x".repeat(BLOCK_BYTES)))).isTrue()
            expectThat(small.await<SendEnded>().outcome)
                .isEqualTo(SendOutcome.Broken(BreakReason.TOO_LONG))
            caller.close()
        }
    }

    @Test
    fun `one event without end ends the send`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1") + chunk("id: 1\n"))
        expectThat(isClosedIn(connection, chunk("data: x\n"))).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `one event that trickles in is no sign of life`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1") + chunk("id: 1\n"))
        expectThat(isQuietIn(connection, chunk("data: x\n"))).isTrue()
    }

    @Test
    fun `events that the caller has already, without end, end the send`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1"))
        expectThat(isClosedIn(connection, chunk("id: 1\ndata: x\n\n"))).isTrue()
        traffic.await<AnswerStarted>()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `events that the caller has already are no sign of life`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1"))
        expectThat(isQuietIn(connection, chunk("id: 1\ndata: x\n\n"))).isTrue()
    }

    @Test
    fun `events without an id are no sign of life, and without end they end the send`() {
        val caller = traffic.caller()
        val connection = accept(traffic.request(caller, "r1"), isStream = true)
        thread(isDaemon = true) { caller.getInputStream().skip(Long.MAX_VALUE) }
        connection.write(chunkedHead("r1") + chunk("id: 1\ndata: x\n\n"))
        traffic.await<AnswerStarted>()
        expectThat(isQuietIn(connection, chunk(": x\n\n"))).isTrue()
        expectThat(isClosedIn(connection, chunk(": x\n\n"))).isTrue()
        expectThat(broken()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `a stream waits for a caller that does not read, and goes on when it reads again`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val connection = accept(call, isStream = true)
        connection.write(chunkedHead("r1"))
        var written = 0L
        val writer = Thread {
            val data = "x".repeat(EVENT_BYTES)
            try {
                for (id in 1..FLOOD_BYTES / EVENT_BYTES) {
                    connection.write(chunk("id: $id\ndata: $data\n\n"))
                    written = id.toLong() * EVENT_BYTES
                }
            } catch (_: IOException) {
                // The other side closed.
            }
        }
        writer.start()
        writer.join(TRICKLE_MS)
        expectThat(writer.isAlive).isTrue()
        expectThat(traffic.events.none { it is SendStalled || it is SendEnded }).isTrue()

        val before = written
        val sink = ByteArray(BLOCK_BYTES)
        var read = 0L
        while (read < before + FLOOD_BYTES / 8) read += caller.getInputStream().read(sink)
        caller.close()
        connection.close()
        writer.join()
        expectThat(written > before).isTrue()
    }

    @Test
    fun `answers of many connections stay within one bound together, and the longest yields`() {
        TestTraffic(maxHeldBytes = 1 shl 20).use { small ->
            val connections = List(8) {
                val caller = small.caller().also { callers += it }
                small.send(small.request(caller, "r1"), server)
                server.accept().apply { readHead() }
            }
            val sizes = connections.indices.map { if (it == 3) 600_000 else 100_000 }
            connections.forEachIndexed { index, connection ->
                connection.write(chunkedHead("r1"))
                connection.write(chunk("x".repeat(sizes[index])))
            }
            val ended = small.await<SendEnded>()
            expectThat(ended.outcome).isA<SendOutcome.Broken>()
                .get { reason }.isEqualTo(BreakReason.TOO_LONG)
            expectThat(ended.send.value).isEqualTo(4L)
        }
    }

    private fun checkHealth(): Socket {
        val address = Address("127.0.0.1", server.port)
        traffic.execute(CheckHealth(BackendServerId("s"), address, "/health"))
        return server.accept().apply { readHead() }
    }

    @Test
    fun `informational heads before a health answer are left out`() {
        checkHealth().write(CONTINUE + "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        expectThat(traffic.await<HealthChecked>().isHealthy).isTrue()
    }

    @Test
    fun `blank lines without end after a health answer close the connection`() {
        val connection = checkHealth()
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        expectThat(traffic.await<HealthChecked>().isHealthy).isTrue()
        expectThat(isClosedIn(connection, "\r\n")).isTrue()
    }

    @Test
    fun `a health answer without end is given up after few bytes`() {
        val connection = checkHealth()
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")
        connection.write("x".repeat(100_000))
        expectThat(traffic.await<HealthChecked>().isHealthy).isEqualTo(false)
        expectThat(isEnded(connection)).isTrue()
    }

    private companion object {
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
        const val BLOCK_BYTES = 16_384

        /** More than sockets on loopback hold without a reader. */
        const val FLOOD_BYTES = 64 shl 20
        const val EVENT_BYTES = 8_192
        const val TRICKLE_MS = 3_000L
        const val TRICKLE_PAUSE_MS = 20L
        const val QUIET_MS = 1_000L

        fun chunkedHead(id: String) =
            "HTTP/1.1 200 OK\r\nid: $id\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n"

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
