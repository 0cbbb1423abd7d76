package org.pomeloladder.daemon

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import org.pomeloladder.decisions.AttemptOutcome
import org.pomeloladder.decisions.BackendCall
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Responses that stop at any byte before their end, in the client of the subscriber gateway. */
class CutResponseTest {
    private val client = RealBackendClient(IDLE_TIMEOUT_MS)
    private val callers = Executors.newFixedThreadPool(CALLERS)
    private val sockets = ConcurrentLinkedQueue<Socket>()

    @AfterEach
    fun close() {
        callers.shutdownNow()
        sockets.forEach { it.close() }
        client.close()
    }

    /** How a server ends its connection after it has stopped. */
    enum class End(val apply: Socket.() -> Unit) {
        CLOSE({ close() }),
        HALF_CLOSE({ shutdownOutput() }),

        /** A reset discards bytes that were not read yet. */
        RESET({
            Thread.sleep(DELIVERY_DELAY_MS)
            reset()
        }),
    }

    /** What the caller of a cut response gets. */
    private class Result(val result: BackendResult, val body: String?) {
        /** Whether the response was taken for a complete one, or for a refusal. */
        val isConclusive = body != null ||
            when (result) {
                is BackendResult.Ended -> result.outcome !is AttemptOutcome.Failed
                is BackendResult.OrderAbsent -> true
                is BackendResult.LookupFailed -> false
            }

        override fun toString() = "$result, body $body"
    }

    /** The results of calls whose responses stop at each of [cuts] and [end] there. */
    private fun results(
        call: BackendCall,
        text: String,
        end: End,
        cuts: Iterable<Int> = text.indices,
        payload: String = "{}",
    ): Map<Int, Result> = cuts.map { cut ->
        callers.submit(
            Callable {
                val sink = RecordingSink(payload.toByteArray())
                serveOnce(text.take(cut), end).use {
                    val result = client.call(testAttempt(call, it.localPort, sink))
                    cut to Result(result, sink.body)
                }
            },
        )
    }.associate { it.get() }

    /** Opens a server that answers one request with [text]. */
    private fun serveOnce(text: String, end: End): ServerSocket {
        val server = ServerSocket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        }
        thread(isDaemon = true) {
            val socket = server.accept().also { sockets += it }
            socket.readRequest()
            socket.write(text)
            end.apply(socket)
        }
        return server
    }

    private fun expectOnlyWhole(call: BackendCall, text: String, end: End, wholeFrom: Int) {
        val all = results(call, text, end, 0..text.length)

        expectThat(all.filter { it.key < wholeFrom && it.value.isConclusive }).isEmpty()
        expectThat(all.filter { it.key >= wholeFrom && !it.value.isConclusive }).isEmpty()
    }

    // Guards against an empty or short body that is delivered as the whole answer, after a server
    // has stopped within its head.
    @ParameterizedTest
    @EnumSource(names = ["RESET"])
    fun `a response that stops before its end is not complete`(end: End) =
        expectOnlyWholeResponses(end)

    // Guards against the same, and against a whole answer that is lost to a race with its end.
    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = ["RESET"], mode = EnumSource.Mode.EXCLUDE)
    fun `a response that stops before its end is not complete at an orderly end`(end: End) =
        expectOnlyWholeResponses(end)

    private fun expectOnlyWholeResponses(end: End) {
        for (call in listOf(BackendCall.RUN_ORDER, BackendCall.CALL_SERVICE, LOOK_UP)) {
            expectOnlyWhole(call, FRAMED, end, FRAMED.length)
        }
    }

    // Guards against a promise that a request has not run, or that an order does not exist, made by
    // a head that never ended.
    @ParameterizedTest
    @EnumSource
    fun `a refusal that stops before the end of its head promises nothing`(end: End) {
        val busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        expectOnlyWhole(BackendCall.CALL_SERVICE, busy, end, busy.length)
        expectOnlyWhole(BackendCall.SERVE, busy, end, busy.length)
        val absent = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        expectOnlyWhole(LOOK_UP, absent, end, absent.length)
    }

    // Guards against a status that is passed on to a caller as that of an answer.
    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "600", "999"])
    fun `a response with a status that HTTP does not know is no answer`(status: String) {
        val text = "HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\n{}"
        for (call in BackendCall.entries) {
            val results = results(call, text, End.CLOSE, text.length..text.length)

            expectThat(results.values.filter { it.isConclusive }).isEmpty()
        }
    }

    // Guards against an informational response that stands for the response itself.
    @ParameterizedTest
    @EnumSource(names = ["RESET"])
    fun `a head that stops after an informational one is not a response`(end: End) =
        expectOnlyWholeAfterHints(end)

    // Guards against the same, and against a whole answer that is lost to a race with its end.
    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = ["RESET"], mode = EnumSource.Mode.EXCLUDE)
    fun `a head that stops after an informational one is not a response at an orderly end`(
        end: End,
    ) = expectOnlyWholeAfterHints(end)

    private fun expectOnlyWholeAfterHints(end: End) {
        val hints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n$FRAMED"
        expectOnlyWhole(BackendCall.RUN_ORDER, hints, end, hints.length)
        expectOnlyWhole(BackendCall.CALL_SERVICE, hints, end, hints.length)
    }

    // Guards against the same within chunks. The body is whole with the line of the last chunk,
    // also if an orderly end comes before the empty line after it (RFC 9112, 8).
    @ParameterizedTest
    @EnumSource(names = ["RESET"])
    fun `chunks that stop do not complete a response`(end: End) = expectOnlyWholeChunks(end)

    // Guards against the same, and against a whole answer that is lost to a race with its end.
    @Tag("known-red")
    @ParameterizedTest
    @EnumSource(names = ["RESET"], mode = EnumSource.Mode.EXCLUDE)
    fun `chunks that stop at an orderly end do not complete a response`(end: End) =
        expectOnlyWholeChunks(end)

    private fun expectOnlyWholeChunks(end: End) {
        val chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
        for (call in listOf(BackendCall.RUN_ORDER, BackendCall.CALL_SERVICE, LOOK_UP)) {
            val wholeFrom = chunks.length - if (end == End.RESET) 0 else "\r\n".length
            expectOnlyWhole(call, chunks, end, wholeFrom)
        }
    }

    // Guards against an error in the client that leaves the attempt without an end.
    @Test
    fun `a chunk whose head is malformed fails the attempt`() {
        val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for (call in BackendCall.entries) {
            val text = chunked + "2\r\n{}\r\nzz\r\n"
            val result = results(call, text, End.CLOSE, listOf(text.length)).values

            expectThat(result.map { it.isConclusive }).isEqualTo(listOf(false))
        }
    }

    // Guards against a stream that ends as complete before its last event.
    @ParameterizedTest
    @EnumSource
    fun `a stream is complete at its end mark only`(end: End) {
        val token = """{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}"""
        val stream = UNFRAMED_HEAD + "data: $token\n\ndata: [DONE]\n\n"
        val mark = stream.indexOf("[DONE]") + "[DONE]".length
        // A reset before the end of the line leaves the mark unread.
        val wholeFrom = if (end == End.RESET) mark + "\n".length else mark
        expectOnlyWhole(BackendCall.SERVE, stream, end, wholeFrom)
    }

    // Guards against a part of a body without a length that is delivered as the whole, because the
    // client reads a reset like an orderly end.
    @Test
    fun `a body without a length is not complete at a reset`() {
        val text = UNFRAMED_HEAD + "{\"whole\":1}"
        for (call in listOf(BackendCall.RUN_ORDER, BackendCall.CALL_SERVICE, LOOK_UP)) {
            val all = results(call, text, End.RESET, 0..text.length)
            expectThat(all.filter { it.value.isConclusive }).isEmpty()
        }
    }

    // Guards against the same where the write of the request meets the reset.
    @Tag("known-red")
    @Test
    fun `a body without a length is not complete at a reset during the request`() {
        val payload = "x".repeat(LONG_BODY)
        val text = UNFRAMED_HEAD + "part"
        val cuts = List(ATTEMPTS) { text.length - it }
        val all = results(BackendCall.RUN_ORDER, text, End.RESET, cuts, payload)

        expectThat(all.filter { it.value.isConclusive }).isEmpty()
    }

    // Guards against refusing a body that the server ends in order.
    @Test
    fun `a body without a length is complete at an orderly end`() {
        val text = UNFRAMED_HEAD + "whole"
        for (end in listOf(End.CLOSE, End.HALF_CLOSE)) {
            val result = results(BackendCall.RUN_ORDER, text, end, listOf(text.length)).values

            expectThat(result.map { it.body }).isEqualTo(listOf("whole"))
        }
    }

    private fun Socket.readRequest() {
        val reader = getInputStream().bufferedReader()
        var length = 0
        while (true) {
            val line = reader.readLine().orEmpty()
            if (line.isEmpty()) break
            if (line.startsWith("Content-Length:", ignoreCase = true)) {
                length = line.substringAfter(':').trim().toInt()
            }
        }
        // A longer body is left unread, so that its write is still going on.
        if (length < RECEIVE_BUFFER_BYTES) repeat(length) { reader.read() }
    }

    private companion object {
        const val IDLE_TIMEOUT_MS = 5_000L
        const val DELIVERY_DELAY_MS = 200L
        const val CALLERS = 32
        const val RECEIVE_BUFFER_BYTES = 64 * 1024

        /** Exceeds the buffers of both sockets. */
        const val LONG_BODY = 16 * 1024 * 1024

        /** Whether the write or the read meets a reset first varies. */
        const val ATTEMPTS = 4
        const val FRAMED = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
            "Content-Length: 2\r\n\r\n{}"
        const val UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        val LOOK_UP = BackendCall.LOOK_UP_ORDER
    }
}
