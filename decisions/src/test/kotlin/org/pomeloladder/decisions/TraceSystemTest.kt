package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class TraceSystemTest {
    @Test
    fun `the trace of a served request is complete and outlives its row`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), listOf(server("engine-1")))
        val started = test.tick(RequestArrived(request("r1"))).filterIsInstance<StartAttempt>()
        test.tick(AttemptFirstToken(started.single().attempt))
        test.tick(AttemptEnded(started.single().attempt, AttemptOutcome.Completed(4)))

        expectThat(test.world.requests[RequestId("r1")]).isNull()
        expectThat(test.stepsOf("r1").map { it.kind }).isEqualTo(
            listOf(
                TraceKind.ARRIVED,
                TraceKind.DISPATCHED,
                TraceKind.FIRST_TOKEN,
                TraceKind.ENDED,
                TraceKind.COMPLETED,
            ),
        )
        expectThat(test.stepsOf("r1")[1].target).isEqualTo("engine-1")
    }

    // Guards against an operator having to guess why a request was refused.
    @Test
    fun `the trace of a refused request contains the reason`() {
        val test = TestWorld()
        test.list(listOf(entryVm("norte-1")), emptyList())
        test.tick(RequestArrived(request("r1")))
        test.advance(11_000)

        expectThat(test.stepsOf("r1").last()) {
            get { kind }.isEqualTo(TraceKind.REFUSED)
            get { detail }.contains("not-run")
        }
    }

    @Test
    fun `the oldest traces are removed, so that memory use stays bounded`() {
        val test = TestWorld()
        repeat(MAX_TRACES + 10) { test.tick(RequestArrived(request("r$it"))) }

        expectThat(test.world.traces.size).isEqualTo(MAX_TRACES)
        expectThat(test.world.traces[RequestId("r0")]).isNull()
        expectThat(test.world.traces[RequestId("r${MAX_TRACES + 9}")]).isNotNull()
    }

    private fun TestWorld.stepsOf(id: String) = world.traces[RequestId(id)]?.steps.orEmpty()
}
