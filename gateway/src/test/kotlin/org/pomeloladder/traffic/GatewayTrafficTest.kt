package org.pomeloladder.traffic

import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.CallArrived
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
import org.pomeloladder.gateway.NotRunReason
import org.pomeloladder.gateway.NotWrittenReason
import org.pomeloladder.gateway.PublishEntryView
import org.pomeloladder.gateway.RefuseCall
import org.pomeloladder.gateway.ReplacedSend
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendNotWritten
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendReplaced
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.StartSend
import org.pomeloladder.gateway.StopGateway
import org.pomeloladder.gateway.ViewNotReceived
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
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

    // Guards against a request that keeps running on a server for a caller that is gone.
    @Test
    fun `a caller that closes before its response is noticed`() {
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
    fun `a response reaches its caller unchanged and the server connection is reused`() {
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

    // Guards against a crash report that cannot tell a request that ran from one that waited.
    @Test
    fun `a lost send tells whether the head of its answer had arrived`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server, isStream = true)
        val begun = server.accept()
        begun.readHead()
        begun.write(streamHead("r1"))
        begun.close()
        val afterHead = traffic.await<SendEnded>()

        traffic.send(traffic.request(traffic.caller(), "r2"), server, isStream = true)
        val waiting = server.accept()
        waiting.readHead()
        waiting.reset()
        val withoutHead = traffic.await<SendEnded>()

        expectThat(afterHead.headMs).isNotNull()
        expectThat(withoutHead.headMs).isNull()
    }

    /** Returns the end of a stream whose server crashes after it has written [text]. */
    private fun lostAfter(text: String, hasEvent: Boolean = false): SendEnded {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server, isStream = true)
        val connection = server.accept()
        connection.readHead()
        connection.write(text)
        if (hasEvent) traffic.await<AnswerStarted>() else Thread.sleep(DELIVERY_DELAY_MS)
        connection.reset()
        return traffic.await<SendEnded>()
    }

    // Guards against a crash that accuses no prompt because it cuts the head or an event, and
    // against one that accuses a prompt by the bytes of another response.
    @Test
    fun `a lost send tells whether its answer had begun and how long it had lasted`() {
        val cutHead = lostAfter(streamHead("r1").take(20))
        val cutEvent = lostAfter(streamHead("r1") + chunk("id: 1\nda"))
        val firstEvent = lostAfter(streamHead("r1") + chunk("id: 1\ndata: a\n\n"), hasEvent = true)
        val foreign = lostAfter(answer("r0", "foreign"))
        val informational = lostAfter("HTTP/1.1 103 Early Hints\r\n\r\n")

        val lost = SendOutcome.Broken(BreakReason.CONNECTION_LOST)
        val ends = listOf(cutHead, cutEvent, firstEvent, foreign, informational)
        expectThat(ends.map { it.outcome }.toSet()).isEqualTo(setOf(lost))
        expectThat(ends.map { it.hasBegun }).isEqualTo(listOf(true, true, true, false, false))
        expectThat(ends.map { it.contentAgeMs != null })
            .isEqualTo(listOf(false, false, true, false, false))
    }

    @Test
    fun `a connection with bytes after a complete response is not reused`() {
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

    // Guards against sending one caller's response to another caller.
    @Test
    fun `a late response to another request is skipped`() {
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

    /** Returns the outcome of a request on a kept connection on which [text] arrives. */
    private fun outcomeOnKeptConnection(text: String): SendOutcome {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server)
        val connection = server.accept()
        connection.readHead()
        connection.write(refusal("id: r1\r\n"))
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(FULL)
        traffic.send(traffic.request(traffic.caller(), "r2"), server)
        connection.readHead()
        connection.write(text)
        return traffic.await<SendEnded>().outcome
    }

    private fun refusal(fields: String) =
        "HTTP/1.1 503 Busy\r\n${fields}not-run: 1\r\nkeep-alive: timeout=5\r\n" +
            "content-length: 0\r\n\r\n"

    // Guards against telling a caller that its request did not run because the server repeated its
    // refusal of an earlier one (REFUSED, TWICE).
    @Test
    fun `a repeated refusal of an earlier request does not refuse the current one`() {
        val outcome = outcomeOnKeptConnection(refusal("id: r1\r\n") + answer("r2", "own"))

        expectThat(outcome).isEqualTo(SendOutcome.Answered(200))
    }

    // Guards against the same where the refusal does not name its request.
    @Test
    fun `a refusal without an id proves nothing on a kept connection`() {
        val outcome = outcomeOnKeptConnection(refusal(""))

        expectThat(outcome).isEqualTo(SendOutcome.Broken(BreakReason.UNSIGNED))
    }

    @Test
    fun `a refusal without an id on a new connection refuses its only request`() {
        traffic.send(traffic.request(traffic.caller(), "r1"), server)
        val connection = server.accept()
        connection.readHead()
        connection.write(refusal(""))

        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(FULL)
    }

    @Test
    fun `a response without a length is complete at an orderly close and broken at a reset`() {
        val head = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n\r\n"
        val outcomes = listOf(true, false).map { isOrderly ->
            val caller = traffic.caller()
            traffic.send(traffic.request(caller, "r1"), server)
            val connection = server.accept()
            connection.readHead()
            connection.write(head + "body")
            Thread.sleep(DELIVERY_DELAY_MS)
            if (isOrderly) connection.close() else connection.reset()
            traffic.await<SendEnded>().outcome is SendOutcome.Answered
        }

        expectThat(outcomes).isEqualTo(listOf(true, false))
    }

    @Test
    fun `a 503 status without a not-run header does not count as not run`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server)
        val connection = server.accept()
        connection.readHead()
        connection.write("HTTP/1.1 503 Busy\r\nid: r1\r\ncontent-length: 0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.UNSIGNED))
    }

    @Test
    fun `a broken stream resumes on a new connection after its last complete event`() {
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

    /** Runs a stream of [call] whose server sends event 1 and then closes before the last chunk. */
    private fun streamWithoutEnd(call: CallId) {
        traffic.send(call, server, isStream = true)
        val first = server.accept().apply { readHead() }
        first.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        first.close()
        traffic.await<SendEnded>()
    }

    /**
     * Breaks a stream after event 1, lets the server answer its resumption with [text] and ends the
     * call. Returns the outcome of the resumption, and what the caller has received.
     */
    private fun resumeWith(text: String): Pair<SendOutcome, String> {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        streamWithoutEnd(call)
        traffic.send(call, server, isStream = true)
        val connection = server.accept()
        connection.readHead()
        connection.write(text)
        val outcome = traffic.await<SendEnded>().outcome
        traffic.execute(RefuseCall(call, CallRefusal.STREAM_BROKEN, null))
        return outcome to String(caller.getInputStream().readAllBytes())
    }

    // Guards against an error of the next server in the middle of a caller's stream, and against a
    // stream that such an error ends as complete (ORDER, MIXED).
    @Test
    fun `nothing of an error that answers a resumption reaches the caller`() {
        val fields = "\r\nid: r1\r\nsigned: 1\r\nconnection: close\r\n"
        val event = "id: 2\ndata: error\n\n"
        val chunked = "HTTP/1.1 500 Error${fields}transfer-encoding: chunked\r\n\r\n"
        val (error, afterError) = resumeWith(chunked + chunk(event) + "0\r\n\r\n")
        val framed = "HTTP/1.1 503 Busy${fields}content-length: ${event.length}\r\n\r\n"
        val (busy, afterBusy) = resumeWith(framed + event)
        val (text, afterText) = resumeWith(streamHead("r1") + chunk("error\n\n") + "0\r\n\r\n")

        expectThat(error).isEqualTo(SendOutcome.Answered(500))
        expectThat(busy).isEqualTo(SendOutcome.Broken(BreakReason.UNSIGNED))
        expectThat(text).isEqualTo(SendOutcome.Broken(BreakReason.TRUNCATED))
        for (received in listOf(afterError, afterBusy, afterText)) {
            expectThat(received).endsWith("\r\n\r\n" + chunk("id: 1\ndata: a\n\n"))
        }
    }

    // Guards against aborting a stream although its caller has received all events.
    @Test
    fun `a stream that lost only its end is complete after an empty resumed response`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        streamWithoutEnd(call)
        traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        caller.close()
    }

    // Guards against losing relayed calls because the configured idle timeout for callers closed
    // the connection of a peer.
    @Test
    fun `the idle timeout for callers does not close a peer's connection`() {
        val peer = traffic.peer()
        val caller = traffic.caller().apply { soTimeout = AWAIT_TIMEOUT_MS }
        traffic.execute(PublishEntryView(EntryView(limits = CallerLimits(idleTimeoutMs = 200))))
        val callerEnd = caller.getInputStream().read()
        val envelope = DefaultHttpHeaders()
        Relay.writeEnvelope(envelope, RelayEnvelope(VmId("other"), 1, 5_000))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }

        expectThat(callerEnd).isEqualTo(-1)
        traffic.request(peer, "r1", fields = fields)
        peer.close()
    }

    // Guards against a stalled request that sends a byte now and then and never ends.
    @Test
    fun `a request whose body trickles in is closed, a slow but steady one is read`() {
        traffic.execute(
            PublishEntryView(EntryView(limits = CallerLimits(9_999, 9_999, 900, 900))),
        )
        val head = "POST /x HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 9000\r\n\r\n"
        val trickling = traffic.caller().apply { soTimeout = AWAIT_TIMEOUT_MS }
        val steady = traffic.caller().apply { write(head) }
        trickling.write(head)
        val isClosed = (1..30).map {
            Thread.sleep(100)
            steady.write("x".repeat(300))
            runCatching { trickling.write("x") }.isFailure
        }

        expectThat(isClosed.last()).isTrue()
        expectThat(traffic.await<CallArrived>().spec.requestId.value).isEqualTo("r1")
        steady.close()
    }

    // Guards against aborting a relayed stream although its caller has received all events.
    @Test
    fun `a relayed resume without further events is answered with an empty response`() {
        val peer = traffic.peer()
        val envelope = DefaultHttpHeaders()
        Relay.writeEnvelope(envelope, RelayEnvelope(VmId("other"), 1, 5_000, resumeAfter = 1))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val call = traffic.request(peer, "r1", fields = fields)
        val send = traffic.send(call, server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        traffic.execute(DeliverAnswer(call, send))
        expectThat(peer.readHead()).contains("signed: 1").contains("content-length: 0")
    }

    @Test
    fun `an empty resumed response without a length counts as truncated`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        streamWithoutEnd(call)
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
    fun `a first response without events counts as truncated`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server, isStream = true)
        server.accept().apply { readHead() }.write(streamHead("r1") + "0\r\n\r\n")

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.TRUNCATED))
        caller.close()
    }

    // Guards against treating a live server as down because it closed an idle connection.
    @Test
    fun `a health check is retried when the server closes the connection without a response`() {
        val address = Address("127.0.0.1", server.port)
        traffic.execute(CheckHealth(BackendServerId("s"), address, "/health"))
        server.accept().apply { readHead() }.reset()
        server.accept().apply { readHead() }
            .write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        expectThat(traffic.await<HealthChecked>().isHealthy).isEqualTo(true)
    }

    @Test
    fun `a stalled send is cancelled before its replacement is sent`() {
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

    // Guards against a replacement of another software version that was chosen before the caller got
    // the first event of the stream, and would continue it.
    @Test
    fun `a send whose stream has started since is not replaced, even if it is silent again`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val first = traffic.send(call, server, isStream = true)
        val connection = server.accept().apply { readHead() }
        connection.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        val replaced = ReplacedSend(first, idleMs = 0, hasStarted = false)
        val second = traffic.send(call, server, isStream = true, replaced)

        expectThat(traffic.await<SendNotWritten>())
            .isEqualTo(SendNotWritten(second, NotWrittenReason.NOT_NEEDED))
        caller.close()
    }

    // Guards against cancelling a send just after its server has responded.
    @Test
    fun `a send that made progress is not replaced`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val first = traffic.send(call, server, isStream = true)
        val connection = server.accept().apply { readHead() }
        connection.write(streamHead("r1") + chunk("id: 1\ndata: a\n\n"))
        traffic.await<AnswerStarted>()
        val second =
            traffic.send(call, server, isStream = true, ReplacedSend(first, idleMs = 60_000))
        val notWritten = traffic.await<SendNotWritten>()
        connection.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")

        expectThat(notWritten).isEqualTo(SendNotWritten(second, NotWrittenReason.NOT_NEEDED))
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))
        caller.close()
    }

    // Guards against a caller that waits until its deadline for a response that cannot be written,
    // because a stream has already started on its connection.
    @Test
    fun `delivering a complete response after the start of a stream aborts the stream`() {
        val caller = traffic.caller().apply { soTimeout = AWAIT_TIMEOUT_MS }
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

    // Guards against truncating a response because the process stops while a slow caller reads it.
    @Test
    fun `the process stops after pending responses are written`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        val body = "x".repeat(LONG_BODY)
        server.accept().apply { readHead() }.write(answer("r1", body))
        traffic.await<SendEnded>()
        traffic.execute(DeliverAnswer(call, send))
        traffic.execute(StopGateway(answerGraceMs = AWAIT_TIMEOUT_MS.toLong(), callGraceMs = 0))
        val earlyStop = traffic.stops.poll(DELIVERY_DELAY_MS, TimeUnit.MILLISECONDS)
        caller.readHead()
        val read = caller.getInputStream().readNBytes(LONG_BODY)

        expectThat(earlyStop).isNull()
        expectThat(read.size).isEqualTo(LONG_BODY)
        expectThat(traffic.stops.poll(AWAIT_TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)).isNotNull()
    }

    @Test
    fun `the process stops at the deadline although a caller does not read its response`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val send = traffic.send(call, server)
        server.accept().apply { readHead() }.write(answer("r1", "x".repeat(LONG_BODY)))
        traffic.await<SendEnded>()
        traffic.execute(DeliverAnswer(call, send))
        traffic.execute(StopGateway(answerGraceMs = 0, callGraceMs = 0))

        expectThat(traffic.stops.poll(AWAIT_TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)).isNotNull()
        caller.close()
    }

    // Guards against dropping a call that arrives while the stop command is on its way.
    @Test
    fun `the process stops after a call that arrived around the stop command has ended`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val limitMs = AWAIT_TIMEOUT_MS.toLong()
        traffic.execute(StopGateway(answerGraceMs = limitMs, callGraceMs = limitMs))
        val earlyStop = traffic.stops.poll(DELIVERY_DELAY_MS, TimeUnit.MILLISECONDS)
        traffic.execute(RefuseCall(call, CallRefusal.DRAINING, null))

        expectThat(earlyStop).isNull()
        expectThat(caller.readHead()).startsWith("HTTP/1.1 503")
        expectThat(traffic.stops.poll(limitMs, TimeUnit.MILLISECONDS)).isNotNull()
    }

    // Guards against reading a request that nothing will answer any more.
    @Test
    fun `no request is read between the end of the last call and the end of the process`() {
        val kept = traffic.caller().apply { soTimeout = AWAIT_TIMEOUT_MS }
        traffic.execute(RefuseCall(traffic.request(kept, "r1"), CallRefusal.OVERLOADED, null))
        kept.readHead()
        traffic.execute(StopGateway(answerGraceMs = 0, callGraceMs = 0))
        traffic.stops.poll(AWAIT_TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
        val request = "POST /x HTTP/1.1\r\nhost: h\r\nid: r2\r\ncontent-length: 0\r\n\r\n"
        // The kernel may still accept a connection for a moment; it must end unread as well.
        val late = runCatching {
            traffic.caller().apply { soTimeout = AWAIT_TIMEOUT_MS }
        }.getOrNull()
        val ends = listOfNotNull(kept, late).map { socket ->
            runCatching { socket.write(request) }
            runCatching { socket.getInputStream().read() }
        }

        expectThat(ends.filter { it.exceptionOrNull() is SocketTimeoutException }).isEmpty()
        expectThat(ends.mapNotNull { it.getOrNull() }.filter { it >= 0 }).isEmpty()
        expectThat(traffic.events.filterIsInstance<CallArrived>()).isEmpty()
    }

    @Test
    fun `a send over a refused connection is reported as not written`() {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), freePort())

        expectThat(traffic.await<SendNotWritten>().reason)
            .isEqualTo(NotWrittenReason.CONNECT_FAILED)
    }

    // Guards against taking a silent server for one that crashed.
    @Test
    fun `a health check tells a refused connection from a silent server`() {
        val id = BackendServerId("s")
        traffic.execute(CheckHealth(id, Address("127.0.0.1", freePort()), "/health"))
        val gone = traffic.await<HealthChecked>()
        traffic.execute(CheckHealth(id, Address("127.0.0.1", server.port), "/health"))
        val silent = traffic.await<HealthChecked>()

        expectThat(gone.isRefused).isTrue()
        expectThat(silent.isRefused).isFalse()
    }

    // Guards against a relayed call that crashes a server in each region.
    @Test
    fun `a peer learns that the server of its relayed call crashed`() {
        val caller = traffic.caller()
        val call = traffic.request(caller, "r1")
        val peer = SendTarget.Peer(VmId("p"), Address("127.0.0.1", server.port), 1)
        traffic.execute(StartSend(SendId(99), call, peer, 5_000, 1, isStream = true, 1_000))
        val connection = server.accept()
        connection.readHead()
        connection.write(
            "HTTP/1.1 502 Bad Gateway\r\nrelay-crashed: 1\r\ncontent-length: 0\r\n\r\n",
        )

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.Broken(BreakReason.CRASHED_AT_PEER))
    }

    @Test
    fun `a relayed call whose server crashed is refused with a mark for the peer`() {
        val socket = traffic.peer()
        val envelope = DefaultHttpHeaders()
        Relay.writeEnvelope(envelope, RelayEnvelope(VmId("other"), 1, 5_000))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val call = traffic.request(socket, "r1", fields = fields)
        traffic.execute(RefuseCall(call, CallRefusal.SERVER_CRASHED, null))

        expectThat(socket.readHead()).contains("relay-crashed")
    }

    // Guards against arrivals at servers of a peer that no process takes from its retry budget.
    @Test
    fun `a refused relayed call tells its peer how many servers received it`() {
        val socket = traffic.peer()
        val envelope = DefaultHttpHeaders()
        Relay.writeEnvelope(envelope, RelayEnvelope(VmId("other"), 1, 5_000))
        val fields = envelope.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val call = traffic.request(socket, "r1", fields = fields)
        traffic.execute(RefuseCall(call, CallRefusal.NO_BUDGET, arrivals = 3))

        expectThat(socket.readHead()).contains("relay-arrivals: 3")
    }

    @ParameterizedTest
    @CsvSource(
        "relay-arrivals: 3, 3",
        "relay-arrivals: 0, 0",
        "relay-arrivals: x, 1",
        "other: 1, 1",
    )
    fun `the servers that received a call refused by a peer are counted`(
        field: String,
        count: Int,
    ) {
        val call = traffic.request(traffic.caller(), "r1")
        val peer = SendTarget.Peer(VmId("p"), Address("127.0.0.1", server.port), 1)
        traffic.execute(StartSend(SendId(99), call, peer, 5_000, 1, isStream = true, 1_000))
        val connection = server.accept()
        connection.readHead()
        connection.write(
            "HTTP/1.1 503 Unavailable\r\nrelay-refused: 1\r\n$field\r\ncontent-length: 0\r\n\r\n",
        )

        expectThat(traffic.await<SendEnded>().outcome)
            .isEqualTo(SendOutcome.NotRun(NotRunReason.PEER_REFUSED, count))
    }

    @Test
    fun `a view that cannot be decoded is reported and the traffic thread keeps running`() {
        val body = "not a view"
        ScriptedServer(VIEWS_HOST, traffic.viewsPort).use { peer ->
            traffic.execute(FetchView(Address(VIEWS_HOST, 1)))
            val connection = peer.accept()
            connection.readHead()
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n$body")

            expectThat(traffic.malformedMessages.poll(10, TimeUnit.SECONDS)).isNotNull()
        }
        expectThat(traffic.await<ViewNotReceived>().from).isEqualTo(Address(VIEWS_HOST, 1))
        traffic.request(traffic.caller(), "r1")
    }

    private companion object {
        /** Exceeds the buffers of both sockets. */
        const val LONG_BODY = 32 * 1024 * 1024

        /** Generous timeout for busy machines; reads return as soon as the other side closes. */
        const val AWAIT_TIMEOUT_MS = 10_000

        /** A second loopback address, since all VMs use the same ports for peers. */
        const val VIEWS_HOST = "127.0.0.2"
        val FULL = SendOutcome.NotRun(NotRunReason.FULL)
    }
}
