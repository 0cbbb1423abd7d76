package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotEqualTo

class OutlierSystemTest {
    private val test = TestWorld().apply {
        list(listOf(entryVm("norte-1")), List(3) { server("engine-$it", concurrency = 1) })
    }
    private val servers = test.world.backends.toList()

    private fun observe(server: BackendServer, msPerToken: Double) {
        server.firstTokenMsPerToken = msPerToken
        server.firstTokenMs = msPerToken * 1_000
        server.observations = 10
    }

    @Test
    fun `work queued for a server that became slow is routed to other servers`() {
        val crowd = Array(30) { RequestArrived(request("r$it", budgetMs = 60_000)) }
        test.tick(*crowd)
        val slow = servers.first()
        expectThat(test.world.queues[slow.id]?.waiting().orEmpty()).isNotEmpty()
        servers.drop(1).forEach { observe(it, 1.0) }
        observe(slow, 10.0)

        test.advance(500)

        expectThat(test.world.queues[slow.id]?.waiting().orEmpty()).isEmpty()
        expectThat(test.journal.counts[Counter.EJECTIONS to "first-token"]).isEqualTo(1)
        expectThat(test.world.requests.toList()).hasSize(30)
        expectThat(test.world.attempts.filter { it.place is Place.Queued }).all {
            get { place }.isNotEqualTo(Place.Queued(slow.id))
        }
    }

    @Test
    fun `at most one of three servers is ejected, so the domain keeps most of its capacity`() {
        servers.forEach { it.consecutiveFailures = 10 }

        test.advance(500)

        expectThat(servers.filter { it.ejectedUntilMs > test.nowMs }).hasSize(1)
    }

    @Test
    fun `a server with a cold cache is not ejected as a slow one`() {
        servers.drop(1).forEach { observe(it, 1.0) }
        val long = request("r1", promptTokens = 10_000, budgetMs = 60_000)
        val start = test.tick(RequestArrived(long)).filterIsInstance<StartAttempt>().single()

        test.advance(10_000)
        test.tick(AttemptFirstToken(start.attempt))
        test.tick(AttemptEnded(start.attempt, AttemptOutcome.Completed(outputTokens = 5)))
        test.advance(500)

        expectThat(test.journal.counts.keys.filter { it.first == Counter.EJECTIONS }).isEmpty()
    }

    @Test
    fun `a second ejection of the same server lasts longer`() {
        val slow = servers.first()
        slow.consecutiveFailures = 10
        test.advance(500)
        test.advance(BASE_EJECTION_MS)
        expectThat(slow.isAvailable(test.nowMs)).isEqualTo(true)
        slow.consecutiveFailures = 10
        test.advance(500)
        test.advance(BASE_EJECTION_MS)

        expectThat(slow.isAvailable(test.nowMs)).isEqualTo(false)
    }
}
