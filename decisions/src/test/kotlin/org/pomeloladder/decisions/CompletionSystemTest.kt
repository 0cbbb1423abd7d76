package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.single

class CompletionSystemTest {
    private val failure = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN)

    private fun world(servers: Int) = TestWorld().apply {
        list(listOf(entryVm("norte-1")), List(servers) { server("engine-$it", concurrency = 64) })
    }

    @Test
    fun `a broken stream resumes on another server, with no token lost or repeated`() {
        val test = world(servers = 2)
        val first = test.tick(RequestArrived(request("r1"))).filterIsInstance<StartAttempt>()
            .single()
        test.tick(AttemptFirstToken(first.attempt))

        test.tick(AttemptEnded(first.attempt, AttemptOutcome.Failed(failure, 7)))
        val second = test.tick().filterIsInstance<StartAttempt>().single()

        expectThat(second) {
            get { fromToken }.isEqualTo(7)
            get { server.id }.isNotEqualTo(first.server.id)
        }
    }

    @Test
    fun `the retry budget limits the extra load when every server fails`() {
        val test = world(servers = 4)
        var starts = 0
        repeat(100) { number ->
            var commands = test.tick(RequestArrived(request("r$number")))
            while (true) {
                val started = commands.filterIsInstance<StartAttempt>()
                if (started.isEmpty()) break
                starts += started.size
                val ended = started.map {
                    AttemptEnded(it.attempt, AttemptOutcome.Failed(failure))
                }
                commands = test.tick(*ended.toTypedArray()) + test.tick()
            }
        }

        // 100 requests, 10% of them again, and the minimum of the budget.
        expectThat(starts).isEqualTo(113)
    }
}
