package org.pomeloladder.traffic

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.CheckHealth
import org.pomeloladder.gateway.HealthChecked
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendOutcome
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Responses whose status HTTP does not know (RFC 9110, 15). */
class StatusOutOfRangeTest {
    private val traffic = TestTraffic()
    private val server = ScriptedServer()

    @AfterEach
    fun close() {
        traffic.close()
        server.close()
    }

    // Guards against a status that is passed on as an answer, and against one that is taken for that
    // of an informational response, after which the call waits in vain for another.
    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "600", "999"])
    fun `a response with such a status is no answer`(status: String) {
        val caller = traffic.caller()
        traffic.send(traffic.request(caller, "r1"), server, isStream = false)
        server.accept().use { connection ->
            connection.readHead()
            connection.write(response(status))

            expectThat(traffic.await<SendEnded>().outcome)
                .isEqualTo(SendOutcome.Broken(BreakReason.NOT_HTTP))
        }
        caller.close()
    }

    // Guards against a health check that waits for its time limit.
    @ParameterizedTest
    @ValueSource(strings = ["000", "600"])
    fun `a health check with such a status fails at once`(status: String) {
        val address = Address("127.0.0.1", server.port)
        traffic.execute(CheckHealth(BackendServerId("s"), address, "/health"))
        server.accept().use { connection ->
            connection.readHead()
            val sentNanos = System.nanoTime()
            connection.write(response(status))
            val checked = traffic.await<HealthChecked>()
            val tookMs = (System.nanoTime() - sentNanos) / NANOS_PER_MS

            expectThat(checked.coldForMs).isEqualTo(null)
            expectThat(tookMs < MAX_DELAY_MS).isEqualTo(true)
        }
    }

    private fun response(status: String) =
        "HTTP/1.1 $status Odd\r\nid: r1\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nok"

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** Half of the time limit of a health check. */
        const val MAX_DELAY_MS = 200L
    }
}
