/*
 * Runs the packaged gateway as real processes before servers that name a limit, and counts the
 * requests that reach these servers from all processes together.
 */
package org.pomeloladder.bench

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

class GatewayLimitTest {
    private val deployment = ShopDeployment()
    private val servers = deployment.servers
    private val answers = deployment.answers

    @BeforeEach
    fun start() {
        deployment.start()
        eventually("calls are answered") { answers.size > ShopDeployment.CALLERS }
    }

    @AfterEach
    fun stop() = deployment.close()

    /** The most requests above the bound that one of [limited] got in a window from [fromMs] on. */
    private fun worstExcess(limited: List<RouteServerStandIn>, fromMs: Long): Double =
        limited.maxOf { server ->
            val timesMs = server.arrivals.map { it.atMs }.filter { it >= fromMs }
            timesMs.maxOfOrNull { start ->
                timesMs.count { it in start until start + WINDOW_MS } - ALLOWED
            } ?: -ALLOWED
        }

    /** Sets the limit of [limited], and returns the time from which it must be kept. */
    private fun limit(limited: List<RouteServerStandIn>): Long {
        limited.forEach { it.limitPerS = LIMIT_PER_S }
        Thread.sleep(NOTICE_MS)
        return RouteServerStandIn.monotonicMs()
    }

    // Guards against processes that each take the limit of a server for their own, also one that
    // has just started.
    @Test
    fun `servers at their limit get no more than it from all processes beside a free one`() {
        val limited = servers.drop(1)
        val fromMs = limit(limited)
        answers.clear()
        Thread.sleep(OBSERVED_MS)
        val gateway = deployment.gateways.first()
        gateway.kill()
        gateway.start()
        gateway.awaitReady()
        Thread.sleep(OBSERVED_MS)

        expectThat(worstExcess(limited, fromMs)).isLessThanOrEqualTo(0.0)
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    // Guards against the same when the callers have nowhere else to go, against refusals without a
    // time to return, and against a limit that outlasts its end.
    @Test
    fun `with all servers at their limit the rest is refused until the limit ends`() {
        val fromMs = limit(servers)
        answers.clear()
        Thread.sleep(OBSERVED_MS)
        val excess = worstExcess(servers, fromMs)
        val refused = answers.filter { it.status == UNAVAILABLE }
        servers.forEach { it.limitPerS = null }
        Thread.sleep(NOTICE_MS)
        answers.clear()
        Thread.sleep(NOTICE_MS)

        expectThat(excess).isLessThanOrEqualTo(0.0)
        expectThat(refused.size).isGreaterThan(0)
        expectThat(refused.map { it.headers["retry-after"] }).all { isNotNull() }
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    private companion object {
        const val NOTICE_MS = 2_000L
        const val OBSERVED_MS = 7_000L
        const val LIMIT_PER_S = 3.0
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The platform's rule: what the limit allows in 4 s, half as much again, and five. */
        const val WINDOW_MS = 4_000L
        const val ALLOWED = 1.5 * LIMIT_PER_S * 4 + 5
    }
}
