package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.SubscriberId
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.single

class DispatchSystemTest {
    private val test = TestWorld().apply {
        list(listOf(entryVm("norte-1")), listOf(server("engine-1", concurrency = 1)))
    }
    private val engine = checkNotNull(test.world.backends[BackendServerId("engine-1")])

    @Test
    fun `a request whose expected wait exceeds its deadline is refused at once`() {
        engine.serviceMsPerCostToken = 100.0
        test.tick(RequestArrived(request("r1")))

        val commands = test.tick(RequestArrived(request("r2", budgetMs = 900)))

        expectThat(commands).filterIsInstance<RefuseRequest>().single().get { refusal }.and {
            get { reason }.isEqualTo(RefusalReason.DEADLINE_UNREACHABLE)
            get { runState }.isEqualTo(RunState.NOT_RUN)
            get { retryAfterMs }.isNotNull().isGreaterThan(0)
        }
    }

    @Test
    fun `a queue filled by one subscriber accepts a request of another subscriber`() {
        test.tick(RequestArrived(request("running")))
        val crowd = Array(MAX_QUEUED_PER_SERVER) { RequestArrived(request("r$it")) }
        test.tick(*crowd)
        val own = test.tick(RequestArrived(request("own")))
        expectThat(own).filterIsInstance<RefuseRequest>().single()
            .get { request.value }.isEqualTo("own")
        test.tick(RequestArrived(request("other", SubscriberId("cafe-2"))))

        expectThat(test.journal.counts[Counter.REFUSALS to "queue-full"]).isEqualTo(2)
        expectThat(test.world.attempts.filter { it.spec.id.value == "other" }).hasSize(1)
    }

    @Test
    fun `a queued attempt ends at its deadline without an event that refers to it`() {
        test.tick(RequestArrived(request("running")))
        test.tick(RequestArrived(request("waiting", budgetMs = 500)))
        expectThat(engine.queued).isEqualTo(1)

        test.advance(700)

        expectThat(engine.queued).isEqualTo(0)
        expectThat(test.world.attempts.filter { it.spec.id.value == "waiting" }).hasSize(0)
    }

    @Test
    fun `a new owner recounts its attempts, so the previous owner's counts occupy no slot`() {
        test.tick(RequestArrived(request("running")))
        engine.inFlight = 7
        engine.longAttemptsInFlight = 3
        engine.queued = 5
        engine.inFlightBySubscriber[SubscriberId("cafe-2")] = 4

        test.world.recountAttempts(engine)

        expectThat(engine) {
            get { inFlight }.isEqualTo(1)
            get { longAttemptsInFlight }.isEqualTo(0)
            get { queued }.isEqualTo(0)
            get { inFlightCostTokens }.isEqualTo(20)
            get { inFlightBySubscriber }.isEqualTo(hashMapOf(CAFE to 1))
        }
    }

    @Test
    fun `a failed attempt resets the long prompt counts, so later long work is not blocked`() {
        val long = request("r1", promptTokens = 10_000)
        val start = test.tick(RequestArrived(long)).filterIsInstance<StartAttempt>().single()
        expectThat(engine.longPromptsPending).isEqualTo(1)

        val refusal = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN)
        test.tick(AttemptEnded(start.attempt, AttemptOutcome.Failed(refusal)))

        expectThat(engine.longPromptsPending).isEqualTo(0)
        expectThat(engine.longAttemptsInFlight).isEqualTo(0)
        expectThat(engine.pendingPromptTokens).isEqualTo(0)
    }
}
