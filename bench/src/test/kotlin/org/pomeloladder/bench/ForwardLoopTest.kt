package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import org.pomeloladder.standins.Direction
import org.pomeloladder.standins.Fault
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

private const val REQUESTS = 30

/** The first attempt, its retries and one hedge can each be forwarded once. */
private const val MAX_FORWARDS_PER_REQUEST = 5

class ForwardLoopTest {
    @Test
    fun `processes that disagree on owners refuse a forwarded request instead of relaying it`() =
        withThreeRegions { cluster ->
            val cut = Fault.Cut(setOf(Direction.TO_TARGET))
            cluster.proxies.injectPeerFault(vmOf(NORTE, 1), vmOf(NORTE, 2), cut)
            cluster.daemon(NORTE, 2).signal("STOP")
            Thread.sleep(2_500)
            cluster.daemon(NORTE, 2).signal("CONT")

            repeat(REQUESTS) { cluster.caller(NORTE, 1 + it % 2).chatResponse("question $it", 2) }

            val forwards = cluster.daemons.values.sumOf {
                MetricsClient(it.administration).counter("pomeloladder_routes_total", "peer") +
                    MetricsClient(it.administration).counter("pomeloladder_routes_total", "domain")
            }
            expectThat(forwards).isLessThanOrEqualTo(REQUESTS * MAX_FORWARDS_PER_REQUEST.toDouble())
            val engineCalls = cluster.engines.values.sumOf { it.requestCount }
            expectThat(engineCalls).isLessThanOrEqualTo(REQUESTS * MAX_FORWARDS_PER_REQUEST)
        }
}
