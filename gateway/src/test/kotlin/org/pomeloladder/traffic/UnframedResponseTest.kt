package org.pomeloladder.traffic

import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.CallerDisconnected
import org.pomeloladder.gateway.CallerLimits
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.PublishEntryView
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Responses with neither a length nor chunks, which end with their connection. */
class UnframedResponseTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer(receiveBufferBytes = RECEIVE_BUFFER_BYTES)

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    /**
     * Sends a request that the server answers with [text] before it has read the body. [end] is
     * called when the response has been read.
     */
    private fun outcomeAfter(
        text: String,
        body: String = "x".repeat(LONG_BODY),
        isStream: Boolean = false,
        end: Socket.() -> Unit,
    ): SendOutcome {
        traffic.execute(
            PublishEntryView(EntryView(limits = CallerLimits(maxBodyBytes = LONG_BODY))),
        )
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1", body), server, isStream)
        val outcome = server.accept().use { connection ->
            connection.readHead()
            connection.write(text)
            if (isStream) traffic.await<AnswerStarted>() else Thread.sleep(DELIVERY_DELAY_MS)
            connection.end()
            traffic.await<SendEnded>().outcome
        }
        caller.close()
        traffic.await<CallerDisconnected>()
        return outcome
    }

    // Guards against a part of a response that is delivered as the whole: the write of the request
    // meets the reset before a read does, and hides it from later reads.
    @Test
    fun `a reset during the write of the request truncates the response`() {
        val outcomes = List(ATTEMPTS) { outcomeAfter(HEAD + "part") { reset() } }

        expectThat(outcomes.toSet()).isEqualTo(setOf(TRUNCATED))
    }

    // Guards against a stream that ends as complete although its server crashed between two events.
    @Test
    fun `a reset during the write of the request truncates a stream`() {
        val outcomes = List(ATTEMPTS) {
            outcomeAfter(HEAD + "id: 1\ndata: a\n\n", isStream = true) { reset() }
        }

        expectThat(outcomes.toSet()).isEqualTo(setOf(TRUNCATED))
    }

    // Guards against a server that crashes before it has received the request: its side of the
    // connection ends in order, and the reset follows.
    @Test
    fun `a reset after an orderly end truncates the response if the request is not written`() {
        val outcome = outcomeAfter(HEAD + "part") {
            shutdownOutput()
            Thread.sleep(DELIVERY_DELAY_MS)
            reset()
        }

        expectThat(outcome).isEqualTo(TRUNCATED)
    }

    // Guards against dropping the response of a server that answers early and reads on later.
    @Test
    fun `an orderly end before the request is read completes the response`() {
        val outcome = outcomeAfter(HEAD + "whole") {
            shutdownOutput()
            Thread.sleep(DELIVERY_DELAY_MS)
            getInputStream().readNBytes(LONG_BODY)
        }

        expectThat(outcome).isEqualTo(SendOutcome.Answered(200))
    }

    // Guards against treating a response that has no body by its status as cut off.
    @Test
    fun `a response that cannot have a body is complete at its head`() {
        val head = "HTTP/1.1 204 No Content\r\nid: r1\r\nsigned: 1\r\n\r\n"

        expectThat(outcomeAfter(head, body = "") { reset() }).isEqualTo(SendOutcome.Answered(204))
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n\r\n"

        const val RECEIVE_BUFFER_BYTES = 64 * 1024

        /** Exceeds the buffers of both sockets. */
        const val LONG_BODY = 16 * 1024 * 1024

        /** Whether the write or the read meets a reset first varies. */
        const val ATTEMPTS = 5
        val TRUNCATED = SendOutcome.Broken(BreakReason.TRUNCATED)
    }
}
