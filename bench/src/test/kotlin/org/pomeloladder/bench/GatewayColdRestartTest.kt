/*
 * Runs the packaged gateway as real processes before servers that crash and start again under their
 * id, and counts the requests that reach a cold server from all processes together. The store tells
 * of a start late or not at all.
 */
package org.pomeloladder.bench

import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.pomeloladder.standins.RouteServerStandIn
import strikt.api.expect
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class GatewayColdRestartTest {
    private val deployment = ShopDeployment(COLD_PER_S)
    private var lastStartNanos = 0L

    /** The server that crashes in the current test. */
    private lateinit var restarted: RouteServerStandIn
    private var earlierLives = 0

    @BeforeAll
    fun start() {
        deployment.start()
        lastStartNanos = System.nanoTime()
    }

    @BeforeEach
    fun prepare() {
        val youngestMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastStartNanos)
        Thread.sleep((ShopDeployment.RETRY_SHARE_MS - youngestMs).coerceAtLeast(0))
        restarted = deployment.servers.minBy { it.coldArrivals.size }
        earlierLives = restarted.coldArrivals.size
        awaitCalls()
        deployment.answers.clear()
    }

    @AfterEach
    fun endSilence() {
        deployment.store.isSilent = false
    }

    @AfterAll
    fun stop() = deployment.close()

    private fun awaitCalls() {
        val count = restarted.arrivals.size + ShopDeployment.CALLERS
        eventually("the server is used") { restarted.arrivals.size > count }
    }

    private fun crash(forMs: Long) {
        restarted.crash()
        Thread.sleep(forMs)
        restarted.startAgain(COLD_MS)
    }

    private fun reportLate() {
        Thread.sleep(REPORT_DELAY_MS)
        deployment.report(restarted)
    }

    /**
     * Waits until the server is warm. Expects that it was spared while callers were served, and that
     * it is used again.
     */
    private fun expectSpared() {
        Thread.sleep(COLD_MS)
        val lives = restarted.coldArrivals.drop(earlierLives)
        val worstSeconds = lives.map { it.worstSecond() }
        val statuses = deployment.answers.map { it.status }
        val arrivals = restarted.arrivals.size

        println("worst seconds $worstSeconds, statuses ${statuses.groupingBy { it }.eachCount()}")

        expect {
            that(worstSeconds).all { isLessThanOrEqualTo(ALLOWED) }
            that(statuses.toSet()).isEqualTo(setOf(OK))
        }
        awaitCalls()
    }

    // Guards against processes that take a server for warm because the connections that it lost are
    // back before any of them was refused twice.
    @Test
    fun `a server that was gone for 300 ms is spared before the store tells of its start`() {
        crash(300)
        reportLate()
        expectSpared()
    }

    // Guards against the same after a time in which each process has seen connections refused.
    @Test
    fun `a server that was gone for 1200 ms is spared before the store tells of its start`() {
        crash(1_200)
        reportLate()
        expectSpared()
    }

    // Guards against the same after a time in which processes try the server seldom.
    @Test
    fun `a server that was gone for 4 s is spared before the store tells of its start`() {
        crash(4_000)
        reportLate()
        expectSpared()
    }

    // Guards against processes that learn of a start from the store alone.
    @Test
    fun `a server that crashes twice while the store is silent is spared in both lives`() {
        deployment.store.isSilent = true
        crash(300)
        reportLate()
        crash(1_200)
        reportLate()
        expectSpared()
    }

    // Guards against a process that starts with the entry of the life before and takes it for true.
    @Test
    fun `a process that starts beside the server spares it too`() {
        val gateway = deployment.gateways.first()
        gateway.kill()
        gateway.start()
        lastStartNanos = System.nanoTime()
        crash(300)
        gateway.awaitReady()
        reportLate()
        expectSpared()
    }

    private companion object {
        const val COLD_MS = 4_000L
        const val REPORT_DELAY_MS = 1_500L
        const val OK = 200

        /** The platform's rule: what a cold server takes a second, half as much again, and three. */
        const val COLD_PER_S = 2
        const val ALLOWED = 6
    }
}
