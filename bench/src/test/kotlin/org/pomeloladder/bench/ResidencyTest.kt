package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Change
import org.pomeloladder.configuration.Patch
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.SubscriberGroupId
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Fault
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val PAUSE_MS = 3_000L

class ResidencyTest {
    @Test
    fun `a request bound to an unreachable region is refused instead of processed elsewhere`() =
        withThreeRegions { cluster ->
            cluster.isolate(NORTE, Fault.Cut(BOTH_WAYS))

            val response = cluster.caller(CENTRO, subscriber = ONLY_NORTE).chatResponse("hello", 4)

            expectThat(response.status.successful).isEqualTo(false)
            expectThat(cluster.requestsOutsideNorte()).isEqualTo(0)
        }

    @Test
    fun `a process paused during a change of allowed regions does not apply the old regions`() =
        withThreeRegions { cluster ->
            val paused = cluster.daemon(CENTRO)
            paused.signal("STOP")
            cluster.narrowToNorte(EVERYWHERE)
            eventually("the other VM of the domain has the change") {
                cluster.configVersionOf(CENTRO, 2) >= 2
            }
            // A gap of more than 2 s between ticks counts as a pause.
            Thread.sleep(PAUSE_MS)
            val before = cluster.requestsOutsideNorte()

            paused.signal("CONT")
            repeat(10) { cluster.caller(CENTRO).chatResponse("after the pause $it", 2) }

            expectThat(cluster.requestsOutsideNorte()).isEqualTo(before)
        }
}

private fun Cluster.requestsOutsideNorte() =
    (enginesOf(CENTRO) + enginesOf(AUSTRAL)).values.sumOf { it.requestCount }

private fun Cluster.narrowToNorte(subscriber: String) {
    val inForce = platform.inForce
    val id = SubscriberGroupId(subscriber)
    val group = inForce.configuration.groups.getValue(id).copy(regions = setOf(RegionId(NORTE)))
    platform.publish(Patch(inForce.version, listOf(Change.PutGroup(id, group))))
}
