package org.pomeloladder.decisions

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ConfigSnapshot
import org.pomeloladder.configuration.ConfigVersion
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.SubscriberId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.configuration.VmState
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.map
import strikt.assertions.single

class OrderSystemTest {
    private val test = TestWorld().apply {
        list(
            listOf(entryVm("norte-1"), entryVm("norte-2")),
            listOf(server("orders-1", ORDERS, concurrency = 1)),
        )
    }
    private val key = OrderKey(test.world.ownHomeToken(), "ref")

    private fun run(id: String, key: OrderKey = this.key, budgetMs: Long = 10_000) =
        RequestArrived(request(id, order = key, budgetMs = budgetMs))

    private fun callArrived(id: String, call: OrderCall) =
        RequestArrived(request(id, order = key).copy(orderCall = call))

    private fun forwardArrived(attempt: String, key: OrderKey = this.key) =
        ForwardArrived(VmId("norte-2"), AttemptId(attempt), request("r", order = key), null, 0)

    private fun singleStart(commands: List<Command>) =
        commands.filterIsInstance<StartAttempt>().single()

    private fun refusal(commands: List<Command>) =
        commands.filterIsInstance<RefuseRequest>().single().refusal

    /** Dispatches the order [key] for the request [id] and returns the attempt that runs it. */
    private fun dispatchOrder(id: String = "r1", key: OrderKey = this.key): AttemptId {
        val lookUp = singleStart(test.tick(run(id, key)))
        val running = singleStart(test.tick(OrderAbsent(lookUp.attempt)))
        check(running.call == BackendCall.RUN_ORDER)
        return running.attempt
    }

    private fun connectionLost(attempt: AttemptId) = AttemptEnded(
        attempt,
        AttemptOutcome.Failed(Refusal(RefusalReason.CONNECTION_LOST, RunState.UNKNOWN)),
    )

    @Test
    fun `a repeat during and after dispatch is never dispatched, so no order runs twice`() {
        val attempt = dispatchOrder()
        expectThat(refusal(test.tick(run("r2")))).get { runState }.isEqualTo(RunState.UNKNOWN)
        test.tick(connectionLost(attempt))

        val repeat = singleStart(test.tick(run("r3")))
        expectThat(repeat.call).isEqualTo(BackendCall.LOOK_UP_ORDER)
        val commands = test.tick(OrderAbsent(repeat.attempt))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `a lookup that fails after dispatch does not prove that the order has not run`() {
        test.tick(connectionLost(dispatchOrder()))
        val lookUp = singleStart(test.tick(callArrived("r2", OrderCall.LOOK_UP)))
        val failure = Refusal(RefusalReason.BACKEND_UNREACHABLE)

        val commands = test.tick(OrderLookupFailed(lookUp.attempt, failure))

        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `a withdrawal that arrives before its order prevents the order from running`() {
        val withdrawal = refusal(test.tick(callArrived("r1", OrderCall.WITHDRAW)))
        expectThat(withdrawal).get { runState }.isEqualTo(RunState.NOT_RUN)

        val commands = test.tick(run("r2"))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.NOT_RUN)
    }

    @Test
    fun `an order withdrawn during its lookup is not dispatched when the lookup is answered`() {
        val lookUp = singleStart(test.tick(run("r1")))
        val commands = test.tick(callArrived("r2", OrderCall.WITHDRAW))
        expectThat(commands.filterIsInstance<RefuseRequest>())
            .map { it.refusal.runState }
            .isEqualTo(listOf(RunState.NOT_RUN, RunState.NOT_RUN))

        expectThat(test.tick(OrderAbsent(lookUp.attempt))).filterIsInstance<StartAttempt>()
            .isEmpty()
    }

    @Test
    fun `a dispatched order is not reported as withdrawn`() {
        val attempt = dispatchOrder()
        test.tick(OrderAbsent(attempt))
        expectThat(refusal(test.tick(callArrived("r2", OrderCall.WITHDRAW))))
            .get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `the deadline during the lookup ends the order before it can be dispatched`() {
        val lookUp = singleStart(test.tick(run("r1", budgetMs = 500)))
        val commands = test.advance(700)
        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.NOT_RUN)

        expectThat(test.tick(OrderAbsent(lookUp.attempt))).filterIsInstance<StartAttempt>()
            .isEmpty()
    }

    @Test
    fun `an expired order is reported as not run when queued and as unknown when dispatched`() {
        dispatchOrder("r1", OrderKey(key.home, "first"))
        val lookUp = singleStart(test.tick(run("r2", budgetMs = 500)))
        expectThat(test.tick(OrderAbsent(lookUp.attempt))).filterIsInstance<StartAttempt>()
            .isEmpty()

        val answers = test.advance(10_200).filterIsInstance<RefuseRequest>()
            .associate { it.request.value to it.refusal.runState }

        expectThat(answers)
            .isEqualTo(mapOf("r2" to RunState.NOT_RUN, "r1" to RunState.UNKNOWN))
    }

    @Test
    fun `a duplicate forward does not change the state of the order in progress`() {
        val lookUp = singleStart(test.tick(forwardArrived("a1")))
        test.tick(OrderAbsent(lookUp.attempt))
        expectThat(test.tick(forwardArrived("a1"))).filterIsInstance<Command>()
            .filterIsInstance<RefuseForward>().isEmpty()
        expectThat(test.world.orders[key]?.state).isEqualTo(OrderState.DISPATCHED)
        test.tick(connectionLost(lookUp.attempt))

        val late = singleStart(test.tick(forwardArrived("a1")))
        test.tick(connectionLost(late.attempt))

        expectThat(late.call).isEqualTo(BackendCall.LOOK_UP_ORDER)
        expectThat(test.world.orders[key]?.state).isEqualTo(OrderState.UNKNOWN)
    }

    @Test
    fun `a key of an earlier incarnation is only looked up, because its table is lost`() {
        val old = OrderKey(key.home.copy(incarnation = Incarnation(0)), "ref")
        val lookUp = singleStart(test.tick(run("r1", old)))

        val commands = test.tick(OrderAbsent(lookUp.attempt))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `a key of an old epoch is not dispatched again after its row was removed`() {
        test.tick(connectionLost(dispatchOrder()))
        test.advance(2 * EPOCH_MS)
        expectThat(test.world.orders[key]).isNull()

        val lookUp = singleStart(test.tick(run("r2")))

        expectThat(test.tick(OrderAbsent(lookUp.attempt))).filterIsInstance<StartAttempt>()
            .isEmpty()
    }

    @Test
    fun `an unreachable home proves nothing, because an earlier call may have run the order`() {
        val home = HomeToken(NORTE, VmId("norte-2"), Incarnation(1), 0)
        test.tick(test.heartbeat("norte-2"))
        val sent = test.tick(run("r1", OrderKey(home, "ref")))
            .filterIsInstance<StartForward>().single()
        val refused = AttemptOutcome.NotSent(Refusal(RefusalReason.PEER_UNREACHABLE))

        val lookUp = singleStart(test.tick(AttemptEnded(sent.attempt, refused)))
        val commands = test.tick(OrderAbsent(lookUp.attempt))

        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `an ingress whose deadline ends reports the home's proof instead of unknown`() {
        val home = HomeToken(NORTE, VmId("norte-2"), Incarnation(1), 0)
        test.tick(test.heartbeat("norte-2"))
        val sent = test.tick(run("r1", OrderKey(home, "ref"), budgetMs = 300))
            .filterIsInstance<StartForward>().single()
        val late = test.advance(400)
        expectThat(late).filterIsInstance<WithdrawForward>().single()
            .get { attempt }.isEqualTo(sent.attempt)
        expectThat(late).filterIsInstance<RefuseRequest>().isEmpty()

        val proof = AttemptOutcome.NotSent(Refusal(RefusalReason.WITHDRAWN))

        expectThat(refusal(test.tick(AttemptEnded(sent.attempt, proof))))
            .get { runState }.isEqualTo(RunState.NOT_RUN)
    }

    @Test
    fun `an ingress without the home's answer reports unknown after a bounded wait`() {
        val home = HomeToken(NORTE, VmId("norte-2"), Incarnation(1), 0)
        test.tick(test.heartbeat("norte-2"))
        test.tick(run("r1", OrderKey(home, "ref"), budgetMs = 300))

        expectThat(refusal(test.advance(300 + WITHDRAW_WAIT_MS + 200)))
            .get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `a draining home refuses a new key permanently and reports a sent one as unknown`() {
        val attempt = dispatchOrder()
        test.tick(connectionLost(attempt), DrainRequested)
        val new = OrderKey(key.home, "new")

        expectThat(refusal(test.tick(run("r2", new)))).get { runState }.isEqualTo(RunState.NOT_RUN)
        expectThat(test.world.orders[new]?.state).isEqualTo(OrderState.WITHDRAWN)
        expectThat(refusal(test.tick(run("r3")))).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `orders do not change the counts that the server's owner reports`() {
        val server = checkNotNull(test.world.backends[BackendServerId("orders-1")])
        val attempt = dispatchOrder()
        expectThat(server.load).isEqualTo(0)
        test.tick(connectionLost(attempt))
        expectThat(server.load).isEqualTo(0)
    }

    @Test
    fun `a leaving server is asked before another one runs the order, and gets no new order`() {
        val servers = listOf(server("orders-1", ORDERS), server("orders-2", ORDERS))
        val leaving = servers.map { it.copy(state = VmState.LEAVING) }
        for (records in listOf(listOf(leaving[0], servers[1]), listOf(servers[0], leaving[1]))) {
            test.list(
                listOf(entryVm("norte-1")),
                records,
                test.world.process.serverListRevision + 1,
            )
            var start =
                singleStart(
                    test.tick(
                        run("r-$records", OrderKey(key.home, "r${records.hashCode()}")),
                    ),
                )
            if (start.server.state == VmState.LEAVING) {
                start = singleStart(test.tick(OrderAbsent(start.attempt)))
            }
            val running = singleStart(test.tick(OrderAbsent(start.attempt)))
            expectThat(running.call).isEqualTo(BackendCall.RUN_ORDER)
            expectThat(running.server.state).isEqualTo(VmState.LIVE)
        }
    }

    @Test
    fun `a repeat of a key for another service does not get the order's answer`() {
        test.tick(connectionLost(dispatchOrder()))
        val foreign = request("r2", order = key).copy(service = CHAT)

        val commands = test.tick(RequestArrived(foreign))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    @Test
    fun `an order is not sent to a home outside the subscriber's regions`() {
        val bound = TestWorld(configuration = testConfiguration(setOf(RegionId("norte"))))
        bound.list(listOf(entryVm("norte-1"), entryVm("centro-1", CENTRO)), emptyList())
        val home = HomeToken(CENTRO, VmId("centro-1"), Incarnation(1), 0)

        val commands = bound.tick(run("r1", OrderKey(home, "ref")))

        expectThat(commands).filterIsInstance<StartForward>().isEmpty()
        expectThat(refusal(commands)).get { reason }.isEqualTo(RefusalReason.RESIDENCY)
    }

    @Test
    fun `a home that resumes after a pause dispatches only after the hold`() {
        test.nowMs += 10_000
        expectThat(test.tick(run("r1"))).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(singleStart(test.advance(PAUSE_HOLD_MS))).get { call }
            .isEqualTo(BackendCall.LOOK_UP_ORDER)
    }

    @Test
    fun `a queued order is not dispatched after a residency change forbids it`() {
        val first = dispatchOrder("r1", OrderKey(key.home, "first"))
        test.tick(OrderAbsent(singleStart(test.tick(run("r2"))).attempt))
        expectThat(test.world.orders[key]?.state).isEqualTo(OrderState.QUEUED)
        val stricter = testConfiguration(setOf(RegionId("centro")))
        val snapshot = ConfigSnapshot(ConfigSequence(2), ConfigVersion(2), stricter)

        val commands = test.tick(ConfigUpdate(snapshot, emptyList()), connectionLost(first))

        expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
        val answer = commands.filterIsInstance<RefuseRequest>().single { it.request.value == "r2" }
        expectThat(answer.refusal).get { reason }.isEqualTo(RefusalReason.RESIDENCY)
        expectThat(answer.refusal).get { runState }.isEqualTo(RunState.NOT_RUN)
    }

    @Test
    fun `an order of a home in another domain of the region is never dispatched here`() {
        val other = FailureDomainId("norte-b")
        val base = testConfiguration()
        val region = RegionId("norte") to Region(setOf(NORTE, other))
        val wide = TestWorld(configuration = base.copy(regions = base.regions + region))
        val vms = listOf(
            entryVm("norte-1"),
            entryVm("norte-b-1", other),
            entryVm("norte-b-2", other),
        )
        wide.list(vms, listOf(server("orders-1", ORDERS)))
        val home = HomeToken(other, VmId("norte-b-1"), Incarnation(1), 0)
        val unreachable = AttemptOutcome.NotSent(Refusal(RefusalReason.PEER_UNREACHABLE))

        val toHome = wide.tick(run("r1", OrderKey(home, "ref"))).forwarded()
        val toOther = wide.tick(AttemptEnded(toHome.attempt, unreachable)).forwarded()
        val last = wide.tick(AttemptEnded(toOther.attempt, unreachable))

        expectThat(listOf(toHome.to, toOther.to).map { it.value })
            .isEqualTo(listOf("norte-b-1", "norte-b-2"))
        expectThat(last).filterIsInstance<StartAttempt>().isEmpty()
        expectThat(refusal(last)).get { runState }.isEqualTo(RunState.UNKNOWN)
    }

    private fun List<Command>.forwarded() = filterIsInstance<StartForward>().single()

    @Test
    fun `a withdrawn forward is never dispatched, and a dispatched one is not reported not run`() {
        val lookUp = singleStart(test.tick(forwardArrived("a1")))
        val commands = test.tick(ForwardCancelled(AttemptId("a1")))
        expectThat(commands).filterIsInstance<RefuseForward>().single()
            .get { refusal.runState }.isEqualTo(RunState.NOT_RUN)
        expectThat(test.tick(OrderAbsent(lookUp.attempt))).filterIsInstance<StartAttempt>()
            .isEmpty()

        val sent = OrderKey(key.home, "sent")
        test.tick(OrderAbsent(singleStart(test.tick(forwardArrived("a2", sent))).attempt))

        expectThat(test.tick(ForwardCancelled(AttemptId("a2")))).filterIsInstance<RefuseForward>()
            .isEmpty()
        expectThat(test.world.orders[sent]?.state).isEqualTo(OrderState.DISPATCHED)
    }

    @Test
    fun `another subscriber neither reads nor withdraws an order at its home`() {
        val lookUp = singleStart(test.tick(run("r1")))
        for (call in OrderCall.entries) {
            val foreign = request("r-$call", SubscriberId("cafe-2"), order = key)

            val commands = test.tick(RequestArrived(foreign.copy(orderCall = call)))

            expectThat(commands).filterIsInstance<StartAttempt>().isEmpty()
            expectThat(refusal(commands)).get { runState }.isEqualTo(RunState.UNKNOWN)
        }
        expectThat(singleStart(test.tick(OrderAbsent(lookUp.attempt)))).get { call }
            .isEqualTo(BackendCall.RUN_ORDER)
    }
}
