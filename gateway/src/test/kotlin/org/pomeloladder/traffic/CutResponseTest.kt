package org.pomeloladder.traffic

import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.CallArrived
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallerLimits
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.PublishEntryView
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.StartSend
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Responses that stop at any byte before their end: in the head, in a chunk or in the trailers. */
class CutResponseTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer(receiveBufferBytes = RECEIVE_BUFFER_BYTES)
    private val ends = HashMap<SendId, SendEnded>()
    private val sockets = ArrayList<Socket>()
    private var lastSend = 0L

    @AfterEach
    fun close() {
        sockets.forEach { it.close() }
        traffic.close()
        server.close()
    }

    /** How a server ends its connection after it has stopped. */
    enum class End(val isLate: Boolean, val apply: Socket.() -> Unit) {
        CLOSE(isLate = false, { close() }),
        HALF_CLOSE(isLate = false, { shutdownOutput() }),
        CLOSE_AFTER_SILENCE(isLate = true, { close() }),

        /** It is late because a reset discards bytes that were not read yet. */
        RESET(isLate = true, { reset() }),
    }

    /** What the request asks for, which decides what an empty response means. */
    enum class Kind { PLAIN, STREAM, RESUMPTION }

    private class Setup(
        val kind: Kind = Kind.PLAIN,
        val isKept: Boolean = false,
        val isRelayed: Boolean = false,
    )

    /** A request that was written to [connection]. */
    private class OpenSend(val id: SendId, val connection: Socket)

    private inline fun <reified E : GatewayEvent> await(): E {
        while (true) {
            val event = traffic.next()
            if (event is SendEnded) ends[event.send] = event
            if (event is E) return event
        }
    }

    private fun outcomeOf(send: SendId): SendOutcome {
        while (send !in ends) await<SendEnded>()
        return ends.getValue(send).outcome
    }

    private fun newCall(id: String, body: String = ""): CallId {
        val caller = traffic.caller().also { sockets += it }
        val fields = "host: h\r\nid: $id\r\ncontent-length: ${body.length}\r\n"
        caller.write("POST /x HTTP/1.1\r\n$fields\r\n$body")
        return await<CallArrived>().call
    }

    private fun start(call: CallId, setup: Setup): SendId {
        val address = Address("127.0.0.1", server.port)
        val target = if (setup.isRelayed) {
            SendTarget.Peer(VmId("p"), address, 1)
        } else {
            SendTarget.Server(BackendServerId("s"), address, MAX_CONNECTIONS, false)
        }
        val id = SendId(++lastSend)
        val isStream = setup.kind != Kind.PLAIN
        traffic.execute(StartSend(id, call, target, 5_000, 1, isStream, 1_000))
        return id
    }

    /** Accepts the connection of a new send and reads its request. */
    private fun accept(): Socket = server.accept().also {
        sockets += it
        it.readHead()
    }

    /** Writes a request that the server has received but not answered yet. */
    private fun open(setup: Setup, body: String = ""): OpenSend {
        val call = newCall("r1", body)
        if (setup.kind == Kind.RESUMPTION) {
            val first = start(call, setup)
            accept().apply { write(CHUNKED + chunk("id: 1\ndata: a\n\n")) }.also {
                await<AnswerStarted>()
                it.close()
            }
            outcomeOf(first)
        }
        if (!setup.isKept) return OpenSend(start(call, setup), accept())
        val earlier = start(newCall("r0"), Setup(isRelayed = setup.isRelayed))
        val kept = accept().apply { write(response("r0")) }
        expectThat(outcomeOf(earlier)).isEqualTo(WHOLE)
        return OpenSend(start(call, setup), kept.apply { readHead() })
    }

    /** The outcomes of requests whose responses stop at each of [cuts] and [end] there. */
    private fun outcomes(
        text: String,
        end: End,
        setup: Setup,
        cuts: Iterable<Int> = text.indices,
    ): Map<Int, SendOutcome> {
        val sends = cuts.associateWith { cut ->
            val send = open(setup)
            send.connection.write(text.take(cut))
            if (!end.isLate) {
                end.apply(send.connection)
                outcomeOf(send.id)
            }
            send
        }
        if (end.isLate) {
            Thread.sleep(DELIVERY_DELAY_MS)
            sends.values.forEach { end.apply(it.connection) }
        }
        return sends.mapValues { outcomeOf(it.value.id) }
    }

    /** Expects that [text] is a complete response and none of its beginnings is. */
    private fun expectOnlyWhole(text: String, end: End, setup: Setup, status: Int = 200) {
        val all = outcomes(text, end, setup, 0..text.length)

        expectThat(all.getValue(text.length)).isEqualTo(SendOutcome.Answered(status))
        expectThat(all.filter { it.key < text.length && it.value !is SendOutcome.Broken }).isEmpty()
    }

    // Guards against a 200 with an empty or short body that is framed as whole, after a server has
    // stopped within its head.
    @ParameterizedTest
    @EnumSource
    fun `a response that stops before its end is not complete`(end: End) {
        expectOnlyWhole(response("r1"), end, Setup())
        expectOnlyWhole(response("r1"), end, Setup(isKept = true))
    }

    // Guards against the same where the end of the connection would end the body.
    @ParameterizedTest
    @EnumSource
    fun `a head without a length that stops is not a response`(end: End) {
        val head = head("r1") + "\r\n"
        for (kind in Kind.entries) {
            val all = outcomes(head, end, Setup(kind))
            expectThat(all.filter { it.value !is SendOutcome.Broken }).isEmpty()
        }
    }

    // Guards against the same within the head of a chunk, the end of one, and the trailers.
    @ParameterizedTest
    @EnumSource
    fun `chunks and trailers that stop do not complete a response`(end: End) {
        val chunks = CHUNKED + chunk("id: 1\ndata: a\n\n") + "0\r\nsum: 1\r\n\r\n"
        expectOnlyWhole(chunks, end, Setup())
        expectOnlyWhole(chunks, end, Setup(Kind.STREAM))
    }

    // Guards against a caller's stream that ends as complete because the server that was to resume
    // it stopped within its head (ORDER).
    @ParameterizedTest
    @EnumSource
    fun `an empty response to a resumption that stops does not complete the stream`(end: End) {
        expectOnlyWhole(CHUNKED + "0\r\n\r\n", end, Setup(Kind.RESUMPTION))
        val empty = head("r1") + "content-length: 0\r\n\r\n"
        expectOnlyWhole(empty, end, Setup(Kind.RESUMPTION, isKept = true))
    }

    // Guards against a status without a body, or an earlier message, that stands for the response.
    @ParameterizedTest
    @EnumSource
    fun `a head that stops after an informational or foreign response is not complete`(end: End) {
        val own = response("r1")
        expectOnlyWhole("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n$own", end, Setup())
        expectOnlyWhole(bodiless(204, "r0") + own, end, Setup(isKept = true))
        expectOnlyWhole(bodiless(204, "r1"), end, Setup(), status = 204)
        expectOnlyWhole(bodiless(304, "r1"), end, Setup(), status = 304)
    }

    // Guards against a peer that is killed while it passes an answer on.
    @ParameterizedTest
    @EnumSource
    fun `a relayed response that stops before its end is not complete`(end: End) {
        expectOnlyWhole(response("r1"), end, Setup(isRelayed = true))
        val chunks = CHUNKED + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
        expectOnlyWhole(chunks, end, Setup(Kind.STREAM, isRelayed = true))
        val empty = head("r1") + "content-length: 0\r\n\r\n"
        expectOnlyWhole(empty, end, Setup(Kind.RESUMPTION, isKept = true, isRelayed = true))
    }

    // Guards against a failed write of the request that hides how the response ended.
    @Test
    fun `a head that stops while the request is still being written is not a response`() {
        traffic.execute(
            PublishEntryView(EntryView(limits = CallerLimits(maxBodyBytes = LONG_BODY))),
        )
        val body = "x".repeat(LONG_BODY)
        val head = head("r1") + "\r\n"
        val outcomes = (head.indices step LONG_BODY_STEP).flatMap { cut ->
            listOf(true, false).map { isInputEnded ->
                val send = open(Setup(), body)
                send.connection.write(head.take(cut))
                if (isInputEnded) send.connection.shutdownOutput()
                Thread.sleep(SHORT_DELAY_MS)
                send.connection.reset()
                sockets.forEach { it.close() }
                cut to outcomeOf(send.id)
            }
        }

        expectThat(outcomes.filter { it.second !is SendOutcome.Broken }).isEmpty()
    }

    // Guards against the beginning of a stray head that is joined with the next response, so that
    // a caller gets another status than that of the server (MIXED).
    @ParameterizedTest
    @EnumSource
    fun `the beginning of a response after a complete one is not part of the next`(rest: Rest) {
        val first = start(newCall("r1"), Setup())
        val connection = accept()
        connection.write(rest.response + rest.text)
        outcomeOf(first)

        val second = start(newCall("r2"), Setup())
        // Empty if the connection has been closed, so that the request comes on another one.
        val isReused = connection.readHead().isNotEmpty()
        val next = if (isReused) connection else accept()
        next.write(head("r2", status = 500) + "content-length: 5\r\n\r\nerror")

        expectThat(outcomeOf(second)).isEqualTo(SendOutcome.Answered(500))
        expectThat(isReused).isFalse()
    }

    /** Bytes after a complete response. */
    enum class Rest(val response: String, val text: String) {
        AFTER_LENGTH(response("r1"), "HTTP/1.1 200 OK\r\nsigned: 1\r\nx: "),
        AFTER_CHUNKS("$CHUNKED${chunk("whole")}0\r\n\r\n", "HTTP/1.1 200 OK\r\nsigned: 1\r\nx: "),
        AFTER_NO_CONTENT(bodiless(204, "r1"), "HTTP/1.1 200 OK\r\nsigned: 1\r\nx: "),
        AFTER_NOT_MODIFIED(bodiless(304, "r1"), "H"),
    }

    private companion object {
        val WHOLE = SendOutcome.Answered(200)
        const val CHUNKED = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n" +
            "transfer-encoding: chunked\r\n\r\n"
        const val MAX_CONNECTIONS = 1_000
        const val RECEIVE_BUFFER_BYTES = 64 * 1024

        /** Exceeds the buffers of both sockets. */
        const val LONG_BODY = 16 * 1024 * 1024
        const val LONG_BODY_STEP = 6
        const val SHORT_DELAY_MS = 20L

        /** A head without the header that frames the body, and without the empty line. */
        fun head(id: String, status: Int = 200) =
            "HTTP/1.1 $status OK\r\nid: $id\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n"

        fun response(id: String) = head(id) + "content-length: 5\r\n\r\nwhole"

        fun bodiless(status: Int, id: String) = head(id, status) + "\r\n"

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"
    }
}
