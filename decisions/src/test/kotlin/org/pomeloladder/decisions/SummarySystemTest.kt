package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.VmId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class SummarySystemTest {
    @Test
    fun `every VM learns of the other domain, although only reporters talk across`() {
        val network = twoDomains(seed = 1, size = 4)

        network.advance(20_000)
        network.commands.clear()
        network.advance(6_000)

        expectThat((1..4).map { network.isReachable("norte-$it", CENTRO) }).all { isTrue() }
        val domain = network.processes.getValue("norte-4").world.domains[CENTRO]
        expectThat(domain?.servingVms?.map { it.value }.orEmpty())
            .containsExactlyInAnyOrder("centro-1", "centro-2", "centro-3", "centro-4")
        expectThat(domain?.services?.get(CHAT)?.slots).isEqualTo(8)
        val senders = network.processes.keys.filter { id -> network.sendsAcross(id) }
        expectThat(senders.size).isLessThanOrEqualTo(2 * REPORTERS_PER_DOMAIN)
    }

    @Test
    fun `a domain that falls silent is unreachable, so that nothing is sent into a partition`() {
        val network = twoDomains(seed = 2)
        network.advance(6_000)
        network.isCut = { from, to -> from.substringBefore('-') != to.substringBefore('-') }

        network.advance(DOMAIN_TIMEOUT_MS + 4_000)

        expectThat(network.isReachable("norte-1", CENTRO)).isFalse()
        val centro = network.processes.getValue("norte-1").world.entryVms[VmId("centro-1")]
        expectThat(centro?.isServing).isEqualTo(false)
    }

    @Test
    fun `a link lost one way counts as down on both sides, so that no answer is lost`() {
        val network = twoDomains(seed = 3)
        network.advance(6_000)
        network.isCut = { from, to -> from.startsWith("norte") && to.startsWith("centro") }

        network.advance(DOMAIN_TIMEOUT_MS + 6_000)

        expectThat(network.isReachable("centro-1", NORTE)).isFalse()
        expectThat(network.isReachable("norte-1", CENTRO)).isFalse()
        expectThat(network.isReachable("norte-2", CENTRO)).isFalse()
    }

    @Test
    fun `a summary that arrives late does not replace a newer one`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1"), entryVm("centro-1", CENTRO)), emptyList())

        test.tick(summary(sequence = 7, waitMs = 10), summary(sequence = 6, waitMs = 999))

        val service = test.world.domains[CENTRO]?.services?.get(CHAT)
        expectThat(service?.expectedWaitMs).isEqualTo(10.0)
    }

    private fun summary(sequence: Long, waitMs: Int) = PeerControl(
        VmId("centro-1"),
        DomainSummaries(
            listOf(
                DomainSummary(
                    domain = CENTRO,
                    sequence = sequence,
                    services = listOf(ServiceLoad(CHAT, slots = 8, expectedWaitMs = waitMs)),
                ),
            ),
        ),
    )

    private fun TestNetwork.sendsAcross(id: String) = commands.getValue(id).any { command ->
        command is SendControl &&
            command.message is DomainSummaries &&
            command.to.value.substringBefore('-') != id.substringBefore('-')
    }
}
