package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.single

class HedgeSystemTest {
    private fun world(policy: HedgePolicy) = TestWorld(policies { hedge = policy }).apply {
        list(listOf(entryVm("norte-1")), listOf(server("engine-1"), server("engine-2")))
    }

    private fun TestWorld.start(id: String) =
        tick(RequestArrived(request(id))).filterIsInstance<StartAttempt>().single()

    private fun TestWorld.finish(attempt: AttemptId) {
        tick(AttemptFirstToken(attempt))
        tick(AttemptEnded(attempt, AttemptOutcome.Completed(outputTokens = 5)))
    }

    @Test
    fun `a late first token causes a hedge, and the slower attempt is cancelled`() {
        val test = world(RealHedgePolicy())
        repeat(20) { test.finish(test.start("warm$it").attempt) }
        val first = test.start("r1")

        val second = test.advance(
            MIN_HEDGE_DELAY_MS + 100,
        ).filterIsInstance<StartAttempt>().single()
        expectThat(second.server.id).isNotEqualTo(first.server.id)
        val commands = test.tick(AttemptFirstToken(second.attempt))

        expectThat(commands).filterIsInstance<CancelAttempt>().single()
            .get { attempt }.isEqualTo(first.attempt)
        expectThat(test.journal.counts[Counter.HEDGES to "won"]).isEqualTo(1)
    }

    @Test
    fun `hedges in a slow domain stay within the budget, so they do not double its load`() {
        val test = world({ _, _ -> 0 })
        val requests = Array(40) { RequestArrived(request("r$it")) }

        test.tick(*requests)
        test.advance(1_000)

        expectThat(test.journal.counts[Counter.HEDGES to "sent"]).isEqualTo(5)
        expectThat(test.world.requests.filter { it.isHedged }).hasSize(40)
    }
}
