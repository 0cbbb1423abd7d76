package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.single

class RealRoutePolicyTest {
    private val test = TestWorld().apply {
        list(listOf(entryVm("norte-1")), List(4) { server("engine-$it") })
    }

    private fun serverOf(id: String): BackendServer {
        val start = test.tick(RequestArrived(request(id))).filterIsInstance<StartAttempt>().single()
        test.tick(AttemptEnded(start.attempt, AttemptOutcome.Completed(outputTokens = 5)))
        return checkNotNull(test.world.backends[start.server.id])
    }

    @Test
    fun `a slightly slower server keeps its prefixes, so its cache is not wasted`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        val first = serverOf("r1")
        first.serviceMsPerCostToken = 1.3

        expectThat(serverOf("r2").id).isEqualTo(first.id)
    }

    @Test
    fun `a server that takes ten times as long gets no new work, though it is idle`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        val first = serverOf("r1")
        first.serviceMsPerCostToken = 10.0

        expectThat(serverOf("r2").id).isNotEqualTo(first.id)
    }

    @Test
    fun `a burst between two heartbeats does not all go to the same server of a peer`() {
        test.list(
            listOf(entryVm("norte-1"), entryVm("norte-2")),
            List(8) { server("engine-$it") },
            revision = 2,
        )
        test.tick(test.heartbeat("norte-2"))
        val peers = test.world.backends.filter { it.owner == VmId("norte-2") }
        expectThat(peers.size).isGreaterThan(1)

        val burst = Array(40) { RequestArrived(request("r$it")) }
        val wanted = test.tick(*burst).filterIsInstance<StartForward>().map { it.wanted }

        expectThat(wanted.toSet<BackendServerId?>().size).isGreaterThan(1)
    }

    @Test
    fun `work queued at a server that now belongs to another process is not dispatched here`() {
        val burst = Array(200) { RequestArrived(request("r$it")) }
        test.tick(*burst)
        test.list(
            listOf(entryVm("norte-1"), entryVm("norte-2")),
            List(4) { server("engine-$it") },
            revision = 2,
        )
        test.tick(test.heartbeat("norte-2"))

        val lost = test.world.backends.filter { it.owner == VmId("norte-2") }.map { it.id }
        expectThat(lost.size).isGreaterThan(0)
        expectThat(lost.filter { (test.world.queues[it]?.size ?: 0) > 0 }).hasSize(0)
    }
}
