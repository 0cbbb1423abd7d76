package org.pomeloladder.traffic

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallerDisconnected
import org.pomeloladder.gateway.CallerLimits
import org.pomeloladder.gateway.CancelSend
import org.pomeloladder.gateway.CheckHealth
import org.pomeloladder.gateway.DeliverAnswer
import org.pomeloladder.gateway.EndStream
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.FetchView
import org.pomeloladder.gateway.HealthChecked
import org.pomeloladder.gateway.NotWrittenReason
import org.pomeloladder.gateway.PublishEntryView
import org.pomeloladder.gateway.RefuseCall
import org.pomeloladder.gateway.ReplacedSend
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendNotWritten
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendReplaced
import org.pomeloladder.gateway.StopGateway
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith

class GatewayTrafficTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    private fun answer(id: String, body: String) =
        "HTTP/1.1 200 OK\r\nid: $id\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n" +
            "content-length: ${body.length}\r\n\r\n$body"

    private fun streamHead(id: String) =
        "HTTP/1.1 200 OK\r\nid: $id\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    @Test
    fun `a caller that closes before the first byte is noticed, so that its run can be stopped`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        val connection = server.accept()
        connection.readHead()
        caller.close()

        expectThat(traffic.await<CallerDisconnected>().call).isEqualTo(call)
        traffic.execute(CancelSend(send))
        expectThat(connection.getInputStream().read()).isEqualTo(-1)
    }

    @Test
    fun `an answer reaches its caller unchanged, and the connection carries the next request`() {
        val caller = traffic.caller()
        val connection = run {
            val call = traffic.request(caller, "r1", "body")
            val send = traffic.send(call, server)
            val accepted = server.accept()
            accepted.readHead()
            accepted.getInputStream().readNBytes(4)
            accepted.write(answer("r1", "first"))
            expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
            traffic.execute(DeliverAnswer(call, send))
            accepted
        }
        val head = caller.readHead()
        expectThat(head).contains("signed: 1")
        expectThat(String(caller.getInputStream().readNBytes(5))).isEqualTo("first")

        traffic.send(traffic.request(caller, "r2"), server)
        expectThat(connection.readHead()).contains("id: r2")
    }

    @Test
    fun `bytes after a complete answer end the use of the connection`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server)
        val first = server.accept()
        first.readHead()
        first.write(answer("r1", "x") + answer("r1", "again"))
        traffic.await<SendEnded>()
        expectThat(first.getInputStream().read()).isEqualTo(-1)

        val other = traffic.caller()
        traffic.send(traffic.request(other, "r2"), server)
        expectThat(server.accept().readHead()).contains("id: r2")
    }

    @Test
    fun `a late answer to another request is left out, so that no caller gets another's`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        val connection = server.accept()
        connection.readHead()
        connection.write(answer("r0", "foreign") + answer("r1", "own"))
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        traffic.execute(DeliverAnswer(call, send))
        caller.readHead()

        expectThat(String(caller.getInputStream().readNBytes(3))).isEqualTo("own")
    }

    @Test
    fun `an answer without a length is complete at an orderly end and broken at a reset`() {
        val head = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n\r\n"
        val outcomes = listOf(true, false).map { isOrderly ->
            val caller = traffic.caller()
            traffic.send(traffic.request(caller, "r1"), server)
            val connection = server.accept()
            connection.readHead()
            connection.write(head + "body")
            Thread.sleep(SETTLE_MS)
            if (isOrderly) connection.close() else connection.reset()
            traffic.await<SendEnded>().outcome is SendOutcome.Answered
        }

        expectThat(outcomes).isEqualTo(listOf(true, false))
    }

    @Test
    fun `a status that promises not run is not believed without the server's word`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server)
        val connection = server.accept()
        connection.readHead()
        connection.write("HTTP/1.1 503 Busy\r\nid: r1\r\ncontent-length: 0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.UNSIGNED))
    }

    @Test
    fun `a stream goes on at another server after its last whole event, within one answer`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        traffic.send(call, server, isStream = true)
        val first = server.accept()
        first.readHead()
        first.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"))
        traffic.await<AnswerStarted>()
        first.close()
        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.CONNECTION_LOST))

        traffic.send(call, server, isStream = true)
        val second = server.accept()
        expectThat(second.readHead()).contains("last-event-id: 1")
        second.write(streamHead("r1") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")
        traffic.await<AnswerStarted>()
        traffic.await<SendEnded>()
        traffic.execute(EndStream(call))

        expectThat(caller.readHead()).startsWith("HTTP/1.1 200")
        val body = StringBuilder()
        while (!body.endsWith("0\r\n\r\n")) body.append(caller.getInputStream().read().toChar())
        val events = body.toString().replace(Regex("[0-9a-f]+\r\n|\r\n"), "")
        expectThat(events).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        expectThat(body.toString()).endsWith("0\r\n\r\n")
    }

    /** A stream of [call] whose server gave event 1 and then closed without the end of its answer. */
    private fun loseEnd(call: CallId) {
        traffic.send(call, server, isStream = true)
        val first = server.accept().apply { readHead() }
        first.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        first.close()
        traffic.await<SendEnded>()
    }

    // Guards against a stream that is broken off although its caller has all events.
    @Test
    fun `a stream that lost only its end is complete after a resumed run without events`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        loseEnd(call)
        traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        caller.close()
    }

    // Guards against relayed calls that are lost because operators' idle limit for callers closed a peer's connection.
    @Test
    fun `a peer's idle connection outlives a short idle limit for callers`() {
        val peer = traffic.peer()
        val caller = traffic.caller().apply { soTimeout = PATIENCE_MS }
        traffic.execute(PublishEntryView(EntryView(limits = CallerLimits(idleTimeoutMs = 200))))
        val callerEnd = caller.getInputStream().read()
        val envelope = DefaultHttpHeaders()
        Relay.write(envelope, RelayEnvelope(VmId("other"), 1, 5_000))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }

        expectThat(callerEnd).isEqualTo(-1)
        traffic.request(peer, "r1", fields = fields)
        peer.close()
    }

    // Guards against a relayed stream that is broken off although its caller has all events.
    @Test
    fun `a peer is told that no events follow the last one that its caller has`() {
        val peer = traffic.peer()
        val envelope = DefaultHttpHeaders()
        Relay.write(envelope, RelayEnvelope(VmId("other"), 1, 5_000, resumeAfter = 1))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val call = traffic.request(peer, "r1", fields = fields)
        val send = traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        traffic.execute(DeliverAnswer(call, send))
        expectThat(peer.readHead()).contains("signed: 1").contains("content-length: 0")
    }

    @Test
    fun `a resumed run without events that may be cut off is not the end of a stream`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        loseEnd(call)
        traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.run {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n\r\n")
            close()
        }

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.TRUNCATED))
        caller.close()
    }

    @Test
    fun `a first run without events is not the whole of a stream`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.TRUNCATED))
        caller.close()
    }

    // Guards against a live server that is taken for gone after it dropped a kept connection.
    @Test
    fun `a health check is made again when a server closes its connection in place of an answer`() {
        val address = Address("127.0.0.1", server.port)
        traffic.execute(CheckHealth(BackendServerId("s"), address, "/health"))
        server.accept().apply { readHead() }.reset()
        server.accept().apply { readHead() }
            .write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        expectThat(traffic.await<HealthChecked>().isHealthy).isEqualTo(true)
    }

    @Test
    fun `a quiet run is stopped before the request reaches the server that takes its place`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val first = traffic.send(call, server, isStream = true)
        val before = server.accept().apply { readHead() }
        val second = traffic.send(call, server, isStream = true, ReplacedSend(first, idleMs = 0))
        val after = server.accept()

        val replaced = traffic.await<SendReplaced>()
        expectThat(replaced.send to replaced.by).isEqualTo(first to second)
        expectThat(before.getInputStream().read()).isEqualTo(-1)
        expectThat(after.readHead()).contains("id: r1")
        caller.close()
    }

    // Guards against a run that is stopped just after its server answered.
    @Test
    fun `a run that is no longer quiet keeps its place`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val first = traffic.send(call, server, isStream = true)
        val connection = server.accept().apply { readHead() }
        connection.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        val second =
            traffic.send(call, server, isStream = true, ReplacedSend(first, idleMs = 60_000))
        val unsent = traffic.await<SendNotWritten>()
        connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")

        expectThat(unsent).isEqualTo(SendNotWritten(second, NotWrittenReason.NOT_NEEDED))
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        caller.close()
    }

    // Guards against a caller that waits until its time limit behind an answer that cannot be written.
    @Test
    fun `a whole answer that crosses the start of a stream breaks the stream off`() {
        val caller = traffic.caller().apply { soTimeout = PATIENCE_MS }
        val call = traffic.request(caller, "r1")
        val failed = traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(
            "HTTP/1.1 500 Error\r\nid: r1\r\nsigned: 1\r\nconnection: close\r\n" +
                "content-length: 1\r\n\r\nx",
        )
        traffic.await<SendEnded>()
        traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        traffic.execute(DeliverAnswer(call, failed))

        val answer = String(caller.getInputStream().readAllBytes())
        expectThat(answer).endsWith("data: a\n\n\r\n")
    }

    // Guards against an answer that is cut off because its process stopped while a slow caller read it.
    @Test
    fun `the process stops after the answers that are being written`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        val body = "x".repeat(LONG_BODY)
        server.accept().apply { readHead() }.write(answer("r1", body))
        traffic.await<SendEnded>()
        traffic.execute(DeliverAnswer(call, send))
        traffic.execute(StopGateway(answerGraceMs = PATIENCE_MS.toLong(), callGraceMs = 0))
        val early = traffic.stops.poll(SETTLE_MS, TimeUnit.MILLISECONDS)
        caller.readHead()
        val read = caller.getInputStream().readNBytes(LONG_BODY)

        expectThat(early).isNull()
        expectThat(read.size).isEqualTo(LONG_BODY)
        expectThat(traffic.stops.poll(PATIENCE_MS.toLong(), TimeUnit.MILLISECONDS)).isNotNull()
    }

    @Test
    fun `the process stops in time although a caller does not read its answer`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        server.accept().apply { readHead() }.write(answer("r1", "x".repeat(LONG_BODY)))
        traffic.await<SendEnded>()
        traffic.execute(DeliverAnswer(call, send))
        traffic.execute(StopGateway(answerGraceMs = 0, callGraceMs = 0))

        expectThat(traffic.stops.poll(PATIENCE_MS.toLong(), TimeUnit.MILLISECONDS)).isNotNull()
        caller.close()
    }

    // Guards against a call that is dropped because its arrival crossed the command to stop.
    @Test
    fun `the process stops after a call that arrived while it was told to`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val limitMs = PATIENCE_MS.toLong()
        traffic.execute(StopGateway(answerGraceMs = limitMs, callGraceMs = limitMs))
        val early = traffic.stops.poll(SETTLE_MS, TimeUnit.MILLISECONDS)
        traffic.execute(RefuseCall(call, CallRefusal.DRAINING, null))

        expectThat(early).isNull()
        expectThat(caller.readHead()).startsWith("HTTP/1.1 503")
        expectThat(traffic.stops.poll(limitMs, TimeUnit.MILLISECONDS)).isNotNull()
    }

    @Test
    fun `a refused connection counts as unsent`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), freePort())

        expectThat(traffic.await<SendNotWritten>().reason)
            .isEqualTo(NotWrittenReason.CONNECT_FAILED)
    }

    @Test
    fun `a view that cannot be decoded is reported and leaves the traffic thread running`() {
        val body = "not a view"
        ScriptedServer(VIEWS_HOST, traffic.viewsPort).use { peer ->
            traffic.execute(FetchView(Address(VIEWS_HOST, 1)))
            val connection = peer.accept()
            connection.readHead()
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n$body")

            expectThat(traffic.badMessages.poll(10, TimeUnit.SECONDS)).isNotNull()
        }
        traffic.request(traffic.caller(), "r1")
    }

    private companion object {
        /** More than the buffers of both sockets hold. */
        const val LONG_BODY = 32 * 1024 * 1024

        /** Long enough for a busy machine; reads end as soon as the other side closes. */
        const val PATIENCE_MS = 10_000

        /** Another address of loopback, since all VMs use the same ports for peers. */
        const val VIEWS_HOST = "127.0.0.2"

        /** Lets the bytes arrive before the reset, which discards what was not read. */
        const val SETTLE_MS = 200L
    }
}
