/*
 * Runs the packaged gateway as real processes before servers that say in their answers that they
 * leave, while the store tells nothing of it or is silent, and counts the requests that reach these
 * servers afterwards.
 */
package org.pomeloladder.bench

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.ServerMode
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class GatewayLeavingTest {
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

    private fun RouteServerStandIn.arrivalsFrom(fromMs: Long) = arrivals.count { it.atMs >= fromMs }

    // Guards against requests to a server that has said that it leaves, sent because the store is
    // silent or still says that it is ready, also by a process that has just started.
    @Test
    fun `a server that leaves gets nothing new while the store is silent`() {
        val leaving = servers.first()
        deployment.store.isSilent = true
        leaving.isLeaving = true
        Thread.sleep(NOTICE_MS)
        val fromMs = RouteServerStandIn.monotonicMs()
        answers.clear()
        Thread.sleep(DRAIN_MS)
        deployment.store.isSilent = false
        deployment.report(leaving)
        Thread.sleep(DRAIN_MS)

        expectThat(leaving.arrivalsFrom(fromMs)).isEqualTo(0)
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    // Guards against the same in the answers to requests that the server rejects, and against a
    // next life that gets nothing although it doesn't leave.
    @Test
    fun `a server that rejects and leaves gets nothing until it starts again`() {
        Thread.sleep(ShopDeployment.RETRY_SHARE_MS)
        val leaving = servers.first()
        leaving.mode = ServerMode.FULL
        leaving.isLeaving = true
        Thread.sleep(NOTICE_MS)
        val fromMs = RouteServerStandIn.monotonicMs()
        Thread.sleep(DRAIN_MS)
        val arrivals = leaving.arrivalsFrom(fromMs)
        leaving.crash()
        leaving.mode = ServerMode.SOUND
        leaving.startAgain(coldMs = 0)
        deployment.report(leaving)
        Thread.sleep(NOTICE_MS)
        val againMs = RouteServerStandIn.monotonicMs()
        Thread.sleep(NOTICE_MS)

        expectThat(arrivals).isEqualTo(0)
        expectThat(leaving.arrivalsFrom(againMs)).isGreaterThan(0)
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    private companion object {
        /** Time in which each process has heard of it from the server or from another process. */
        const val NOTICE_MS = 2_000L
        const val DRAIN_MS = 5_000L
        const val OK = 200
    }
}
