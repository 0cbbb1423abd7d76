package org.pomeloladder.traffic

import java.io.IOException
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Servers that send endless bytes, at full speed or slowly, at each position of a response. */
class UnboundedBytesTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    /** References that keep the callers' connections open. */
    private val callers = ArrayList<Socket>()

    private fun call(): CallId = traffic.request(traffic.caller().also { callers += it }, "r1")

    /** Sends [call] and returns the server's end of its connection after the request head. */
    private fun accept(call: CallId = call(), isStream: Boolean = false): Socket {
        traffic.send(call, server, isStream)
        return server.accept().apply { readHead() }
    }

    private fun awaitBreakReason(): BreakReason =
        (traffic.await<SendEnded>().outcome as SendOutcome.Broken).reason

    /** Writes [text] repeatedly. Returns true if the other side closes before [FLOOD_BYTES]. */
    private fun isClosedDuringFlood(connection: Socket, text: String): Boolean {
        val bytes = text.repeat(BLOCK_BYTES / text.length + 1).toByteArray()
        return try {
            repeat(FLOOD_BYTES / bytes.size) { connection.getOutputStream().write(bytes) }
            false
        } catch (_: IOException) {
            true
        }
    }

    /** Waits for the other side to close, which resets the connection if bytes are unread. */
    private fun isClosedByPeer(connection: Socket): Boolean = try {
        connection.getInputStream().read() == -1
    } catch (_: SocketException) {
        true
    }

    /** Writes [text] every few milliseconds. Returns true if the send is reported as stalled. */
    private fun isStalledDuringTrickle(connection: Socket, text: String): Boolean {
        traffic.events.clear()
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRICKLE_MS)
        while (System.nanoTime() < untilNanos) {
            connection.write(text)
            val event = traffic.events.poll(TRICKLE_PAUSE_MS, TimeUnit.MILLISECONDS)
            if (event is SendStalled && event.idleMs >= STALLED_MS) return true
        }
        return false
    }

    @Test
    fun `endless blank lines instead of a response end the send`() {
        expectThat(isClosedDuringFlood(accept(), "\r\n")).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.NOT_HTTP)
    }

    @Test
    fun `endless informational responses end the send`() {
        expectThat(isClosedDuringFlood(accept(), CONTINUE)).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `slow informational responses do not count as progress`() {
        expectThat(isStalledDuringTrickle(accept(), CONTINUE)).isTrue()
    }

    @Test
    fun `an endless response to another request ends the send`() {
        val connection = accept()
        connection.write(chunkedHead("r0"))
        expectThat(isClosedDuringFlood(connection, chunk("foreign"))).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `endless responses to other requests end the send`() {
        val answer = "HTTP/1.1 200 OK\r\nid: r0\r\ncontent-length: 1\r\n\r\nx"
        expectThat(isClosedDuringFlood(accept(), answer)).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `a slow response to another request does not count as progress`() {
        val connection = accept()
        connection.write(chunkedHead("r0"))
        expectThat(isStalledDuringTrickle(connection, chunk("foreign"))).isTrue()
    }

    @Test
    fun `endless blank lines close an idle connection`() {
        val connection = accept()
        connection.write(
            "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 0\r\n\r\n",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        expectThat(isClosedDuringFlood(connection, "\r\n")).isTrue()
    }

    @Test
    fun `an endless status line, head, chunk extension or trailer ends the send`() {
        val starts = mapOf(
            "x" to "",
            "a: b\r\n" to "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n",
            ";a=b" to chunkedHead("r1") + "1",
            "b: c\r\n" to chunkedHead("r1") + "0\r\n",
        )
        for ((flood, start) in starts) {
            val connection = accept()
            connection.write(start)
            expectThat(isClosedDuringFlood(connection, flood)).isTrue()
            expectThat(awaitBreakReason()).isEqualTo(BreakReason.NOT_HTTP)
        }
    }

    @Test
    fun `a response without a stamp or with an encoding is rejected at its head`() {
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
                expectThat(awaitBreakReason()).isEqualTo(BreakReason.UNSIGNED)
                expectThat(isClosedByPeer(connection)).isTrue()
            }
        }
    }

    @Test
    fun `a refusal with an endless body ends the send at its head`() {
        val connection = accept()
        val head = "HTTP/1.1 503 Busy\r\nid: r1\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        connection.write(head + chunk("wait"))
        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.NotRun(NotRunReason.FULL))
        expectThat(isClosedByPeer(connection)).isTrue()
    }

    @Test
    fun `a refusal that arrives completely keeps the connection reusable`() {
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
    fun `an error response with an endless body ends the send`() {
        val connection = accept()
        connection.write("HTTP/1.1 500 Oops\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n")
        expectThat(isClosedDuringFlood(connection, chunk("oops"))).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `an error response with a slow body does not count as progress`() {
        val connection = accept()
        connection.write("HTTP/1.1 500 Oops\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n")
        expectThat(isStalledDuringTrickle(connection, chunk("oops"))).isTrue()
    }

    @Test
    fun `an endless stamped response ends the send`() {
        TestTraffic(maxHeldBytes = 1 shl 20).use { small ->
            val caller = small.caller()
            small.send(small.request(caller, "r1"), server)
            val connection = server.accept().apply { readHead() }
            connection.write(chunkedHead("r1"))
            expectThat(isClosedDuringFlood(connection, chunk("x".repeat(BLOCK_BYTES)))).isTrue()
            expectThat(small.await<SendEnded>().outcome)
                .isEqualTo(SendOutcome.Broken(BreakReason.TOO_LONG))
            caller.close()
        }
    }

    @Test
    fun `an endless event ends the send`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1") + chunk("id: 1\n"))
        expectThat(isClosedDuringFlood(connection, chunk("data: x\n"))).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `a slow incomplete event does not count as progress`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1") + chunk("id: 1\n"))
        expectThat(isStalledDuringTrickle(connection, chunk("data: x\n"))).isTrue()
    }

    @Test
    fun `endless events that the caller already has end the send`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1"))
        expectThat(isClosedDuringFlood(connection, chunk("id: 1\ndata: x\n\n"))).isTrue()
        traffic.await<AnswerStarted>()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    fun `events that the caller already has do not count as progress`() {
        val connection = accept(isStream = true)
        connection.write(chunkedHead("r1"))
        expectThat(isStalledDuringTrickle(connection, chunk("id: 1\ndata: x\n\n"))).isTrue()
    }

    @Test
    fun `events without an id do not count as progress and end the send if endless`() {
        val caller = traffic.caller()
        val connection = accept(traffic.request(caller, "r1"), isStream = true)
        thread(isDaemon = true) { caller.getInputStream().skip(Long.MAX_VALUE) }
        connection.write(chunkedHead("r1") + chunk("id: 1\ndata: x\n\n"))
        traffic.await<AnswerStarted>()
        expectThat(isStalledDuringTrickle(connection, chunk(": x\n\n"))).isTrue()
        expectThat(isClosedDuringFlood(connection, chunk(": x\n\n"))).isTrue()
        expectThat(awaitBreakReason()).isEqualTo(BreakReason.TOO_LONG)
    }

    @Test
    @Tag("known-red")
    fun `a stream pauses while its caller does not read and then continues`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val connection = accept(call, isStream = true)
        connection.write(chunkedHead("r1"))
        var writtenBytes = 0L
        val writer = Thread {
            val data = "x".repeat(EVENT_BYTES)
            try {
                for (id in 1..FLOOD_BYTES / EVENT_BYTES) {
                    connection.write(chunk("id: $id\ndata: $data\n\n"))
                    writtenBytes = id.toLong() * EVENT_BYTES
                }
            } catch (_: IOException) {
                // The other side closed the connection.
            }
        }
        writer.start()
        writer.join(TRICKLE_MS)
        expectThat(writer.isAlive).isTrue()
        expectThat(traffic.events.filter { it is SendStalled || it is SendEnded }).isEmpty()

        val before = writtenBytes
        val sink = ByteArray(BLOCK_BYTES)
        var read = 0L
        while (read < before + FLOOD_BYTES / 8) read += caller.getInputStream().read(sink)
        caller.close()
        connection.close()
        writer.join()
        expectThat(writtenBytes > before).isTrue()
    }

    @Test
    fun `the largest response is aborted when all responses exceed their common limit`() {
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
    fun `informational responses before a health response are skipped`() {
        checkHealth().write(CONTINUE + "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        expectThat(traffic.await<HealthChecked>().isHealthy).isTrue()
    }

    @Test
    fun `endless blank lines after a health response close the connection`() {
        val connection = checkHealth()
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        expectThat(traffic.await<HealthChecked>().isHealthy).isTrue()
        expectThat(isClosedDuringFlood(connection, "\r\n")).isTrue()
    }

    // Guards against reading an endless health response instead of stopping after few bytes.
    @Test
    fun `a health response that is too large counts as unhealthy`() {
        val connection = checkHealth()
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")
        connection.write("x".repeat(100_000))
        expectThat(traffic.await<HealthChecked>().isHealthy).isEqualTo(false)
        expectThat(isClosedByPeer(connection)).isTrue()
    }

    private companion object {
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
        const val BLOCK_BYTES = 16_384

        /** Exceeds the buffers of loopback sockets. */
        const val FLOOD_BYTES = 64 shl 20
        const val EVENT_BYTES = 8_192
        const val TRICKLE_MS = 3_000L
        const val TRICKLE_PAUSE_MS = 20L
        const val STALLED_MS = 1_000L

        fun chunkedHead(id: String) =
            "HTTP/1.1 200 OK\r\nid: $id\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n"

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
