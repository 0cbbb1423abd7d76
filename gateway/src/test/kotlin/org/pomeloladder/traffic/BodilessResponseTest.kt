package org.pomeloladder.traffic

import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.gateway.CallArrived
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.DeliverAnswer
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith

/** Responses that have no body by their request's method or by their status. */
class BodilessResponseTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    private fun request(caller: Socket, method: String, id: String): CallId {
        caller.write("$method /x HTTP/1.1\r\nhost: h\r\nid: $id\r\n\r\n")
        return traffic.await<CallArrived>().call
    }

    /** Lets the server answer [call] with [status] and [rest] and passes the response on. */
    private fun answer(call: CallId, id: String, status: Int, rest: String) {
        val send = traffic.send(call, server)
        server.accept().apply { readHead() }
            .write("HTTP/1.1 $status OK\r\nid: $id\r\nsigned: 1\r\nconnection: close\r\n$rest")
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(status))
        traffic.execute(DeliverAnswer(call, send))
    }

    /** The head that a caller gets; the next response on its connection must follow it. */
    private fun deliveredHead(method: String, status: Int, fields: String): String {
        val caller = traffic.caller()
        answer(request(caller, method, "r1"), "r1", status, "$fields\r\n")
        val head = caller.readHead()

        answer(request(caller, "GET", "r2"), "r2", 200, "content-length: 5\r\n\r\nwhole")
        expectThat(caller.readHead()).startsWith("HTTP/1.1 200 OK\r\n").contains("id: r2")
        expectThat(String(caller.getInputStream().readNBytes(5))).isEqualTo("whole")
        return head.lowercase()
    }

    // Guards against a body where none may follow, which the caller takes for the next response.
    @Test
    fun `the next response follows the head of one that has no body by its status`() {
        val noContent = deliveredHead("GET", 204, "")
        val notModified = deliveredHead("GET", 304, "etag: x\r\n")

        expectThat(noContent).startsWith("http/1.1 204")
        // RFC 9110, 8.6 forbids it for this status.
        expectThat("content-length" in noContent).isFalse()
        expectThat(notModified).startsWith("http/1.1 304").contains("etag: x")
        // It would be the length of the body that was not sent (RFC 9110, 8.6).
        expectThat("content-length: 0" in notModified).isFalse()
    }

    // Guards against a length that is not the one that the server has stated for the body.
    @Test
    fun `the response to HEAD states the length that its server has stated`() {
        val head = deliveredHead("HEAD", 200, "content-length: 5\r\n")

        expectThat(head).contains("content-length: 5\r\n")
    }

    // Guards against a length of zero for a body whose length the server has not stated.
    @Test
    fun `the response to HEAD states no length if its server has stated none`() {
        expectThat("content-length" in deliveredHead("HEAD", 200, "")).isFalse()
    }
}
