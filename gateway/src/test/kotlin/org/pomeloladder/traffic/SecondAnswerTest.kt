package org.pomeloladder.traffic

import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.pomeloladder.gateway.NotRunReason
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Servers that send a second answer to an earlier request, or a part of one. */
class SecondAnswerTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()
    private val callers = mutableListOf<Socket>()

    @AfterEach
    fun close() {
        callers.forEach { it.close() }
        traffic.close()
        server.close()
    }

    private fun send(id: String) {
        val caller = traffic.caller().also { callers += it }
        traffic.send(traffic.request(caller, id), server)
    }

    /** Sends the request [id] on a new connection, has it rejected, and returns the connection. */
    private fun connectionAfterRejection(id: String): Socket {
        send(id)
        val connection = server.accept()
        connection.readHead()
        connection.write(
            "HTTP/1.1 503 Busy\r\nid: $id\r\nnot-run: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 0\r\n\r\n",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(FULL)
        return connection
    }

    // Guards against a success with the body of a failure: the part of a second answer's head and
    // the head of the server's own answer are read as one.
    @Test
    fun `a head that begins with a part of another head is not accepted`() {
        val accepted = listOf("id: r1\r\n", "").flatMap { idField ->
            val head = "HTTP/1.1 200 OK\r\ndate: today\r\nkeep-alive: timeout=5\r\n" + idField +
                "signed: 1\r\ncontent-length: 3\r\n\r\n"
            (1 until head.length).map(head::take).filter { isSuccessAfter(it) }
        }

        expectThat(accepted).isEmpty()
    }

    /** Whether a server that sends [part] and then fails the request is taken to have succeeded. */
    private fun isSuccessAfter(part: String): Boolean {
        val connection = connectionAfterRejection("r1")
        send("r2")
        connection.readHead()
        connection.write(
            part + "HTTP/1.1 500 Failed\r\nid: r2\r\nsigned: 1\r\ncontent-length: 4\r\n\r\noops",
        )
        connection.close()
        return traffic.await<SendEnded>().outcome == SendOutcome.Answered(200)
    }

    // Guards against the same where the part arrives with the answer to the earlier request.
    @Test
    fun `a connection with a part of a head after a complete response is not reused`() {
        send("r1")
        val connection = server.accept()
        connection.readHead()
        connection.write(
            "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 3\r\n\r\nownHTTP/1.1 200 OK\r\ndate: to",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(SendOutcome.Answered(200))

        send("r2")
        expectThat(server.accept().readHead()).contains("id: r2")
    }

    // Guards against a refusal of a request that runs: the server repeats its rejection of the
    // first send, and the second has the same id (REFUSED, TWICE).
    @Test
    fun `a request that is sent again does not use the connection that carried it before`() {
        val before = connectionAfterRejection("r1")
        send("r1")
        expectThat(server.accept().readHead()).contains("id: r1")

        send("r2")
        expectThat(before.readHead()).contains("id: r2")
    }

    // Guards against a cut second answer to the first send that passes for the answer to the second,
    // when another request used the connection in between (MIXED).
    @Test
    fun `a request that is sent again avoids a connection that carried it some time before`() {
        val before = connectionAfterRejection("r1")
        send("r2")
        before.readHead()
        before.write(
            "HTTP/1.1 503 Busy\r\nid: r2\r\nnot-run: 1\r\nkeep-alive: timeout=5\r\n" +
                "content-length: 0\r\n\r\n",
        )
        expectThat(traffic.await<SendEnded>().outcome).isEqualTo(FULL)

        send("r1")
        expectThat(server.accept().readHead()).contains("id: r1")
    }

    private companion object {
        val FULL = SendOutcome.NotRun(NotRunReason.FULL)
    }
}
