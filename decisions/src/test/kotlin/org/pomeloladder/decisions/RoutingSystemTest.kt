package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class RoutingSystemTest {
    @Test
    fun `a process without peers dispatches requests to the servers of its domain`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("engine-1")))

        val commands = test.tick(RequestArrived(request("r1")))

        expectThat(commands).filterIsInstance<StartAttempt>().single()
            .get { server.id.value }.isEqualTo("engine-1")
    }

    @Test
    fun `a forwarded request without a server is refused and not forwarded, so it cannot loop`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1"), entryVm("norte-2")), emptyList())
        val forward = ForwardArrived(VmId("norte-2"), AttemptId("a1"), request("r1"), null, 0)

        val commands = test.tick(forward)

        expectThat(commands).filterIsInstance<StartForward>().isEmpty()
        expectThat(commands).filterIsInstance<RefuseForward>().single()
            .get { refusal.runState }.isEqualTo(RunState.NOT_RUN)
    }

    @Test
    fun `a forwarded request not allowed in this region is refused before processing`() {
        val test = TestWorld(configuration = testConfiguration(setOf(RegionId("centro"))))
        test.list(
            listOf(entryVm("norte-1"), entryVm("centro-1", CENTRO)),
            listOf(server("engine-1")),
        )
        val forward = ForwardArrived(VmId("centro-1"), AttemptId("a1"), request("r1"), null, 0)

        val commands = test.tick(forward)

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(commands).filterIsInstance<RefuseForward>().single()
            .get { refusal.reason }.isEqualTo(RefusalReason.RESIDENCY)
    }

    @Test
    fun `no request is dispatched right after a pause, because ownership may have changed`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("engine-1")))
        test.nowMs += 10_000

        val commands = test.tick(RequestArrived(request("r1")))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(test.advance(PAUSE_HOLD_MS)).filterIsInstance<StartAttempt>().hasSize(1)
    }
}
