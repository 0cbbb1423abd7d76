package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class SendSystemTest {
    private val gateway = TestGateway()
    private val lookup = route("lookup")
    private val payment = route("payment") {
        kind = RouteKind.NON_IDEMPOTENT
        maxSends = 1
    }
    private val brief = route("brief") {
        kind = RouteKind.STREAMING
        service = MODEL
        isResumable = true
        timeoutMs = 5_000
    }
    private val chat = route("chat") {
        kind = RouteKind.STREAMING
        service = MODEL
        maxSends = 1
        timeoutMs = 12_000
    }
    private val prompt = Prompt(listOf(PromptPart(PartId(1), 1_000)), 1_000, 50)
    private val catalog = catalog(lookup, payment, brief, chat)

    init {
        gateway.publish(
            1,
            catalog,
            server("a"),
            server("b"),
            server("c"),
            server("m1", MODEL),
            server("m2", MODEL),
        )
    }

    private fun broken(send: StartSend) =
        SendEnded(send.send, SendOutcome.Broken(BreakReason.CONNECTION_LOST), null)

    @Test
    fun `an unsafe call ends as unknown after a broken answer, so that it runs at most once`() {
        val (_, commands) = gateway.call(payment)
        val after = gateway.tick(broken(commands.only()))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.OUTCOME_UNKNOWN)
    }

    @Test
    fun `a call proved not run goes to another server, so that a full one costs no answer`() {
        val (_, commands) = gateway.call(payment)
        val first = commands.only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.NotRun(NotRunReason.FULL), null))

        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    @Test
    fun `a safe call is sent again after a server error, within its route's attempts`() {
        val (_, commands) = gateway.call(lookup)
        val first = commands.only<StartSend>()
        val second = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))
            .only<StartSend>()
        val last = gateway.tick(SendEnded(second.send, SendOutcome.Answered(500), null))

        expectThat(second.server).isNotEqualTo(first.server)
        expectThat(last.all<StartSend>()).isEmpty()
        expectThat(last.only<DeliverAnswer>().send).isEqualTo(second.send)
    }

    @Test
    fun `a relayed call runs once at the peer, so that regions do not add up attempts`() {
        val origin = CallOrigin.Peer(identity("p", SOUTH).vm, 1)
        val (_, commands) = gateway.call(lookup, origin = origin)
        val first = commands.only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<DeliverAnswer>().send).isEqualTo(first.send)
    }

    @Test
    fun `a broken stream that may be resumed goes on at another server`() {
        val (_, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        val after = gateway.tick(broken(first))

        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    @Test
    fun `a stream that may not be resumed is broken off, so that no two runs are joined`() {
        val (_, commands) = gateway.call(chat)
        val first = commands.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        val after = gateway.tick(broken(first))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    // Guards against a started stream that is broken off because its next server is expected to be late.
    @Test
    fun `a broken stream goes on at a server that is expected to be late`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        val after = gateway.tick(broken(first))

        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    // Guards against a stream that is broken off after a reset connection where a region has one server.
    @Test
    fun `a broken stream goes on at its own server when there is no other`() {
        val leaving = server("m2", MODEL) { it.copy(isDraining = true) }
        gateway.publish(2, catalog, server("m1", MODEL), leaving)
        gateway.nowMs += 3_000
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        val second = gateway.tick(broken(first)).only<StartSend>()
        val last = gateway.tick(SendUnsent(second.send, UnsentReason.CONNECT_FAILED))

        expectThat(second.server).isEqualTo(first.server)
        expectThat(last.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    @Test
    fun `a call that no server has run is refused at once when all are expected to be late`() {
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        val (_, commands) = gateway.call(brief, prompt)

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    // Guards against a server error of the first run that was written into the stream of the second one.
    @Test
    fun `a failure kept from a first run is not passed on after events of a second one`() {
        val first = gateway.call(brief).second.only<StartSend>()
        val second = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))
            .only<StartSend>()
        gateway.tick(SendStarted(second.send, null))
        val after = gateway.tick(broken(second))

        expectThat(after.all<DeliverAnswer>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    /** The server of [send] is silent for [quietMs] and then does not answer a health check. */
    private fun goSilent(send: StartSend, quietMs: Long) {
        val asked = gateway.tick(SendQuiet(send.send, quietMs), afterMs = quietMs)
        val server = asked.only<CheckHealth>().server
        gateway.tick(HealthRead(server, isHealthy = false, coldForMs = null, load = null))
    }

    /** A call on [brief] whose server gave its first event and was then silent for [quietMs]. */
    private fun quietStream(quietMs: Long): StartSend {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        goSilent(first, quietMs)
        return first
    }

    private fun List<GatewayCommand>.leavesRunsAlone() {
        expectThat(all<StartSend>()).isEmpty()
        expectThat(all<CancelSend>()).isEmpty()
        expectThat(all<RefuseCall>()).isEmpty()
    }

    @Test
    fun `a silent server loses a repeatable call, and its run is stopped first`() {
        val (_, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        goSilent(first, 1_100)
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        gateway.tick(SendReplaced(first.send, moved.send, 1_510, hasStarted = false))

        expectThat(moved.replaces).isEqualTo(Replaced(first.send, 1_500))
        expectThat(moved.server).isNotEqualTo(first.server)
        expectThat(gateway.world.sends[first.send]).isNull()
        expectThat(gateway.world.backends[BackendServerId(first.server)]?.inFlight).isEqualTo(0)
    }

    // Guards against runs that are stopped because their servers are silent while they read long prompts.
    @Test
    fun `a silent server that answers a health check keeps its run and its place`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        val asked = gateway.tick(SendQuiet(first.send, 1_000), afterMs = 1_000)
        val again = gateway.tick(SendQuiet(first.send, 1_100), afterMs = 100)
        val server = asked.only<CheckHealth>().server
        gateway.tick(HealthRead(server, isHealthy = true, coldForMs = 0, load = null))
        val after = gateway.tick(SendQuiet(first.send, 1_200), afterMs = 100)

        (asked + again + after).leavesRunsAlone()
        expectThat((asked + again + after).all<CheckHealth>()).hasSize(1)
        expectThat((asked + again + after).all<DropConnections>()).isEmpty()
        expectThat(gateway.world.backends[server]?.unreachableUntilMs).isEqualTo(0)
    }

    @Test
    fun `a server that is alive loses a call after a silence as long as the time left`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        val server = BackendServerId(first.server)
        gateway.tick(ServersHeard(setOf(server)), afterMs = 1_900)
        val before = gateway.tick(SendQuiet(first.send, 1_900))
        gateway.tick(ServersHeard(setOf(server)), afterMs = 200)
        val after = gateway.tick(SendQuiet(first.send, 2_100))

        before.leavesRunsAlone()
        expectThat(after.only<StartSend>().replaces).isEqualTo(Replaced(first.send, 2_100))
    }

    // Guards against a stream that is closed because its server paused and no other one could take it on.
    @Test
    fun `a run at a silent server goes on when there is no other server`() {
        val leaving = server("m2", MODEL) { it.copy(isDraining = true) }
        gateway.publish(2, catalog, server("m1", MODEL), leaving)
        gateway.nowMs += 3_000
        val first = quietStream(1_500)

        gateway.tick(SendQuiet(first.send, 1_500)).leavesRunsAlone()
    }

    // Guards against a stream that is closed because its server paused while the retries were spent.
    @Test
    fun `a run at a silent server goes on when the retry budget is spent`() {
        val first = quietStream(1_500)
        val retryBudget = gateway.world.service(MODEL).retryBudget
        while (retryBudget.tryAcquire(gateway.nowMs, gateway.world.bounds, 1)) Unit

        gateway.tick(SendQuiet(first.send, 1_500)).leavesRunsAlone()
    }

    // Guards against a stream that is closed because its server paused and the others were expected to be late.
    @Test
    fun `a run at a server that is alive goes on when the others are expected to be late`() {
        val first = quietStream(3_000)
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        gateway.tick(ServersHeard(setOf(BackendServerId(first.server))))

        gateway.tick(SendQuiet(first.send, 3_000)).leavesRunsAlone()
    }

    // Guards against a second run that begins although the first one answered while its connection was opened.
    @Test
    fun `a run that went on while another place was opened stays the only one`() {
        val first = quietStream(1_500)
        val retryBudget = gateway.world.service(MODEL).retryBudget
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        gateway.tick(SendUnsent(moved.send, UnsentReason.NOT_NEEDED)).leavesRunsAlone()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, 1))

        expectThat(after.all<EndStream>()).hasSize(1)
        expectThat(gateway.world.sends.size).isEqualTo(0)
        expectThat(gateway.world.backends.sumOf { it.inFlight }).isEqualTo(0)
        expectThat(retryBudget.tryAcquire(gateway.nowMs, gateway.world.bounds, 1)).isEqualTo(true)
    }

    // Guards against a whole answer that is dropped and asked for again since it crossed the end of its run.
    @Test
    fun `a whole answer that comes while another place is opened ends its stream`() {
        val first = quietStream(1_500)
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, 7))

        expectThat(after.only<CancelSend>().send).isEqualTo(moved.send)
        expectThat(after.all<EndStream>()).hasSize(1)
        expectThat(after.all<StartSend>()).isEmpty()
    }

    // Guards against two runs of one call after its server broke off while another place was opened.
    @Test
    fun `a run that ends while another place is opened is followed by one send`() {
        val first = quietStream(1_500)
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(broken(first))

        expectThat(after.only<CancelSend>().send).isEqualTo(moved.send)
        expectThat(after.all<StartSend>()).hasSize(1)
        expectThat(gateway.world.backends.sumOf { it.inFlight }).isEqualTo(1)
    }

    // Guards against a stream that is broken off for want of a retry that was paid for and not sent.
    @Test
    fun `a run that breaks while another place is opened is resumed with the retry taken for it`() {
        val first = quietStream(1_500)
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        val retryBudget = gateway.world.service(MODEL).retryBudget
        while (retryBudget.tryAcquire(gateway.nowMs, gateway.world.bounds, 1)) Unit
        val after = gateway.tick(broken(first), SendUnsent(moved.send, UnsentReason.NOT_NEEDED))

        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.all<StartSend>()).hasSize(1)
        expectThat(retryBudget.tryAcquire(gateway.nowMs, gateway.world.bounds, 1)).isEqualTo(false)
    }

    /** A stream on [brief] broke after its first event and was resumed; the resumed send. */
    private fun resumedStream(): StartSend {
        val first = gateway.call(brief).second.only<StartSend>()
        gateway.tick(SendStarted(first.send, null))
        return gateway.tick(broken(first)).only<StartSend>()
    }

    // Guards against a stream that is broken off although its caller has all events.
    @Test
    fun `a resumed stream without further events is complete`() {
        val after = gateway.tick(SendEnded(resumedStream().send, SendOutcome.Answered(200), null))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.all<EndStream>()).hasSize(1)
    }

    @Test
    fun `a resumed stream that is answered with an error is not complete`() {
        val after = gateway.tick(SendEnded(resumedStream().send, SendOutcome.Answered(400), null))

        expectThat(after.all<EndStream>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    @Test
    fun `a caller that leaves while another place is opened stops both sends`() {
        val (call, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        goSilent(first, 1_100)
        val moved = gateway.tick(SendQuiet(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(CallerLeft(call))

        expectThat(after.all<CancelSend>().map { it.send }.toSet())
            .isEqualTo(setOf(first.send, moved.send))
    }

    @Test
    fun `a server of another instance gets nothing more, so that it runs no foreign work`() {
        val (_, commands) = gateway.call(lookup)
        val first = commands.only<StartSend>()
        val notRun = SendOutcome.NotRun(NotRunReason.WRONG_INSTANCE)
        gateway.tick(SendEnded(first.send, notRun, null))
        val others = List(20) { gateway.call(lookup).second.only<StartSend>().server }

        expectThat(others.filter { it == first.server }).isEmpty()
    }

    @Test
    fun `repeats stop at the budget, so that an outage of a service is not multiplied`() {
        val repeats = (1..200).count {
            val first = gateway.call(lookup).second.all<StartSend>().singleOrNull()
            first != null &&
                gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))
                    .all<StartSend>().isNotEmpty()
        }

        val bound = 0.2 * 200 + 56
        expectThat(repeats <= bound).isEqualTo(true)
    }

    @Test
    fun `an event of a stopped send changes nothing, so that a late answer reaches no caller`() {
        val (call, commands) = gateway.call(lookup)
        gateway.tick(CallerLeft(call))
        val late = gateway.tick(
            SendEnded(commands.only<StartSend>().send, SendOutcome.Answered(200), null),
        )

        expectThat(late.all<DeliverAnswer>()).isEmpty()
        expectThat(gateway.world.calls[call]).isNull()
    }

    private companion object {
        /** Prompts of other calls that take longer than any route of the test allows. */
        const val LATE_TOKENS = 1_000_000L
    }
}
