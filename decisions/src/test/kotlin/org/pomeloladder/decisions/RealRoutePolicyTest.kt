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

    private fun serverOf(id: String) = serverOf(request(id))

    private fun serverOf(spec: RequestSpec): BackendServer {
        val start = test.tick(RequestArrived(spec)).filterIsInstance<StartAttempt>().single()
        test.tick(AttemptEnded(start.attempt, AttemptOutcome.Completed(outputTokens = 5)))
        return checkNotNull(test.world.backends[start.server.id])
    }

    @Test
    fun `a slightly slower server keeps its prefixes, so its cache stays in use`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        val first = serverOf("r1")
        first.serviceMsPerCostToken = 1.3

        expectThat(serverOf("r2").id).isEqualTo(first.id)
    }

    @Test
    fun `an idle server that is ten times slower than the others gets no new work`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        val first = serverOf("r1")
        first.serviceMsPerCostToken = 10.0

        expectThat(serverOf("r2").id).isNotEqualTo(first.id)
    }

    @Test
    fun `short work is not routed to servers that process long prompts`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        val long = List(8) { request("l$it", promptTokens = 10_000 + it) }
        val short = List(8) { request("s$it", promptTokens = 10 + it) }

        val longServers = long.map { serverOf(it).id }.toSet()
        val shortServers = short.map { serverOf(it).id }.toSet()

        expectThat(longServers.intersect(shortServers)).hasSize(0)
        expectThat(shortServers.size).isGreaterThan(1)
    }

    @Test
    fun `servers for long prompts get other work once there are no long prompts`() {
        test.world.backends.forEach { it.serviceMsPerCostToken = 1.0 }
        serverOf(request("long", promptTokens = 10_000))
        test.advance(10_000)

        val used = List(40) { serverOf(request("s$it", promptTokens = 10 + it)).id }.toSet()

        expectThat(used).hasSize(4)
    }

    @Test
    fun `a burst between two heartbeats is spread over several servers of a peer`() {
        test.list(
            listOf(entryVm("norte-1"), entryVm("norte-2")),
            List(8) { server("engine-$it") },
            revision = 2,
        )
        test.tick(test.heartbeat("norte-2"))
        val peers = test.world.backends.filter { it.owner == VmId("norte-2") }
        expectThat(peers.size).isGreaterThan(1)

        val burst = Array(40) { RequestArrived(request("r$it")) }
        val wanted = test.tick(*burst).filterIsInstance<StartForward>().map { it.chosenServer }

        expectThat(wanted.toSet<BackendServerId?>().size).isGreaterThan(1)
    }

    @Test
    fun `work queued for a server is not dispatched after another process became its owner`() {
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
