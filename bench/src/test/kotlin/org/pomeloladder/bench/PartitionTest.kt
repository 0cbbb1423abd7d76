package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Direction
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.PlatformMode
import org.pomeloladder.standins.expectedAnswer
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PartitionTest {
    @Test
    fun `a region cut off from the others and the platform still serves chat and orders`() =
        withThreeRegions { cluster ->
            cluster.isolate(AUSTRAL, Fault.Cut(BOTH_WAYS))
            cluster.proxies.injectPlatformFault(domainOf(AUSTRAL), Fault.Cut(BOTH_WAYS))
            val key = "${cluster.homeToken(AUSTRAL)}~cut-off"

            val answers = (1..2).map { cluster.caller(AUSTRAL, it).chat("frother leaks $it", 6) }
            val order = cluster.caller(AUSTRAL, 2).orderResponse(key)

            expectThat(answers).isEqualTo((1..2).map { expectedAnswer("frother leaks $it", 6) })
            expectThat(order.status.code).isEqualTo(201)
            expectThat(cluster.executionsOf(key)).isEqualTo(1)
        }

    @Test
    fun `with a one-way cut inside a domain and the platform down, callers still get answers`() =
        withThreeRegions { cluster ->
            cluster.platform.setMode(PlatformMode.DOWN)
            val cut = Fault.Cut(setOf(Direction.TO_TARGET))
            cluster.proxies.injectPeerFault(vmOf(NORTE, 1), vmOf(NORTE, 2), cut)

            eventually("each entry VM serves requests") {
                (1..2).all { index ->
                    cluster.caller(NORTE, index).chat("menu", 5) == expectedAnswer("menu", 5)
                }
            }
            cluster.proxies.heal()
            eventually("the directory lists both entry VMs again") {
                cluster.caller(NORTE).entries().entries.count { it.vm.startsWith("norte-a") } == 2
            }
        }
}
