package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan

class SideSystemTest {
    private val gateway = TestGateway()
    private val route = route("model") {
        kind = RouteKind.STREAMING
        service = MODEL
    }
    private val engines = (0 until ENGINES).map {
        server("m$it", MODEL) { row -> row.copy(slots = 64) }
    }

    private fun publish() = gateway.publish(1, catalog(route), *engines.toTypedArray())

    private fun readingPart() = gateway.world.service(MODEL).readingPart

    /** All VMs of the region put [promptTokens] and [running] on each engine for some seconds. */
    private fun work(promptTokens: Long, running: Int) {
        val shares = engines.map { ServerShare(it.id, running, 0, promptTokens) }
        repeat(TICKS) {
            gateway.hear(identity("p", NORTH)) { it.copy(shares = shares) }
            gateway.tick(afterMs = 250)
        }
    }

    @Test
    fun `engines of a region are divided by the work that is placed there`() {
        publish()
        work(promptTokens = 80_000, running = 4)
        val reading = readingPart()
        work(promptTokens = 2_000, running = 40)
        val generating = readingPart()

        expectThat(reading).isGreaterThan(0.6)
        expectThat(generating).isLessThan(0.4)
    }

    @Test
    fun `each side keeps engines while the region does one kind of work`() {
        publish()
        work(promptTokens = 80_000, running = 0)
        val most = readingPart()
        work(promptTokens = 0, running = 40)

        expectThat(most).isIn(0.6..0.81)
        expectThat(readingPart()).isIn(0.19..0.4)
    }

    @Test
    fun `VMs that know the same engines give them the same order`() {
        publish()
        val other = TestGateway(seed = 2)
        other.publish(1, catalog(route), *engines.reversed().toTypedArray())
        val orders = listOf(gateway, other).map { process ->
            process.world.serversHere(MODEL).map { it.id }
        }

        expectThat(orders.first()).isEqualTo(orders.last())
    }

    private companion object {
        const val ENGINES = 12

        /** Long enough for the slow average to follow. */
        const val TICKS = 40
    }
}
