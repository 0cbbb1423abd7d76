package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class UsageSystemTest {
    private val test = TestWorld().apply {
        list(listOf(entryVm("norte-1"), entryVm("norte-2")), emptyList())
    }

    @Test
    fun `the usage of an answer shorter than estimated is corrected`() {
        test.list(listOf(entryVm("norte-1")), listOf(server("engine-1")), revision = 2)
        val start = test.tick(RequestArrived(request("r1"))).filterIsInstance<StartAttempt>()
        expectThat(test.world.subscribers[CAFE]).isNotNull().get { ownCostTokens }.isEqualTo(20.0)

        test.tick(AttemptEnded(start.single().attempt, AttemptOutcome.Completed(outputTokens = 3)))

        expectThat(test.world.subscribers[CAFE]).isNotNull().get { ownCostTokens }.isEqualTo(13.0)
    }

    @Test
    fun `a repeated report of the same usage is counted once`() {
        val report = test.heartbeat("norte-2") {
            copy(heaviest = listOf(SubscriberLoad(CAFE, 5_000)))
        }

        test.tick(report, report)

        expectThat(test.world.subscribers[CAFE]).isNotNull().get { peerCostTokens }
            .isEqualTo(5_000.0)
    }

    @Test
    fun `rows of inactive subscribers are removed, so that memory stays bounded`() {
        test.world.charge(CAFE, 8, test.nowMs)

        test.advance(2 * USAGE_HALF_LIFE_MS, stepMs = 1_000)
        expectThat(test.world.subscribers.toList()).hasSize(1)
        test.advance(2 * USAGE_HALF_LIFE_MS, stepMs = 1_000)
        expectThat(test.world.subscribers.toList()).hasSize(0)
    }
}
