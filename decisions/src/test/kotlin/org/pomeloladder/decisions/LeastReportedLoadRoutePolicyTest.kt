package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEqualTo
import strikt.assertions.single

class LeastReportedLoadRoutePolicyTest {
    @Test
    fun `the baseline uses only the reported load, or experiments would overrate it`() {
        val test = TestWorld(policies { route = LeastReportedLoadRoutePolicy() })
        test.list(listOf(entryVm("norte-1")), listOf(server("engine-1"), server("engine-2")))
        test.tick(LoadReported(BackendServerId("engine-1"), 5))

        repeat(3) { test.tick(RequestArrived(request("r$it"))) }

        expectThat(test.world.backends[BackendServerId("engine-2")]?.load).isEqualTo(3)
    }

    @Test
    fun `the owner's heartbeat carries the reported load, so that other VMs can route by it`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1"), entryVm("norte-2")), listOf(server("engine-1")))
        test.tick(LoadReported(BackendServerId("engine-1"), 5))

        val sent = test.advance(HEARTBEAT_INTERVAL_MS).filterIsInstance<SendControl>()

        expectThat(sent.map { it.message }).filterIsInstance<Heartbeat>().single()
            .get { servers.single().reportedLoad }.isEqualTo(5)
    }
}
