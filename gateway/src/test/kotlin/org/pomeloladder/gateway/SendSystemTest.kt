package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.ServiceId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
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

    /** Takes a retry of [service] from the share of the process under test, or returns null. */
    private fun acquireRetry(service: ServiceId): SendPermit? {
        val slack = retrySlackShare(gateway.world, gateway.nowMs)
        val budget = gateway.world.service(service).retryBudget
        return budget.tryAcquire(gateway.nowMs, gateway.world.bounds, slack)
    }

    private fun exhaustRetries(service: ServiceId) {
        while (acquireRetry(service) != null) Unit
    }

    private fun broken(send: StartSend) =
        SendEnded(send.send, SendOutcome.Broken(BreakReason.CONNECTION_LOST), null)

    /** An answer to a health check that [server] was just sent, which shows that it is warm. */
    private fun proof(server: String) = HealthChecked(
        BackendServerId(server),
        isHealthy = true,
        coldForMs = 0,
        load = null,
        askedMs = gateway.nowMs + 1,
    )

    @Test
    fun `a non-idempotent call is not retried after a broken answer, so it runs at most once`() {
        val (_, commands) = gateway.call(payment)
        val after = gateway.tick(broken(commands.only()))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.OUTCOME_UNKNOWN)
    }

    // Guards against a call that fails because one server is full although another can run it.
    @Test
    fun `a call that a full server did not run is sent to another server`() {
        val (_, commands) = gateway.call(payment)
        val first = commands.only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.NotRun(NotRunReason.FULL), null))

        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    @Test
    fun `an idempotent call is retried after a server error, up to its route's maximum of sends`() {
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
    fun `a relayed call is not retried at the peer, so that attempts do not multiply`() {
        val origin = CallOrigin.Peer(identity("p", SOUTH).vm, 1)
        val (_, commands) = gateway.call(lookup, origin = origin)
        val first = commands.only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<DeliverAnswer>().send).isEqualTo(first.send)
    }

    @Test
    fun `a broken resumable stream is resumed at another server`() {
        val (_, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        val after = gateway.tick(broken(first))

        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    @Test
    fun `a broken stream that is not resumable is aborted, so that no two runs are mixed`() {
        val (_, commands) = gateway.call(chat)
        val first = commands.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        val after = gateway.tick(broken(first))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    // Guards against aborting a started stream because its next server is expected to be late.
    @Test
    fun `a broken stream is resumed at a server that is expected to exceed the time limit`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        val after = gateway.tick(broken(first))

        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    // Guards against aborting a stream after a connection reset in a region with one server.
    @Test
    fun `a broken stream is resumed at its own server when there is no other`() {
        val leaving = server("m2", MODEL) { it.copy(isDraining = true) }
        gateway.publish(2, catalog, server("m1", MODEL), leaving)
        gateway.nowMs += 3_000
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.tick(proof("m1"))
        gateway.tick(broken(first))
        // The server may have started again, with another version of its software.
        val second = gateway.tick(proof("m1")).only<StartSend>()
        val last = gateway.tick(SendNotWritten(second.send, NotWrittenReason.CONNECT_FAILED))

        expectThat(second.server).isEqualTo(first.server)
        expectThat(last.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    @Test
    fun `a call without a run is refused at once when all servers are expected to be late`() {
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        val (_, commands) = gateway.call(brief, prompt)

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    // Guards against writing the server error of the first run into the stream of the second one.
    @Test
    fun `a held server error is not delivered after events of a second run`() {
        val first = gateway.call(brief).second.only<StartSend>()
        val second = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))
            .only<StartSend>()
        gateway.tick(AnswerStarted(second.send, null))
        val after = gateway.tick(broken(second))

        expectThat(after.all<DeliverAnswer>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    /** Makes the server of [send] silent for [quietMs]; then it does not answer a health check. */
    private fun goSilent(send: StartSend, quietMs: Long) {
        val checked = gateway.tick(SendStalled(send.send, quietMs), afterMs = quietMs)
        val server = checked.only<CheckHealth>().server
        gateway.tick(HealthChecked(server, isHealthy = false, coldForMs = null, load = null))
        gateway.hearFromAllBut(server)
    }

    /**
     * Returns the send of a call on [brief] whose server sent one event and was then silent for
     * [quietMs].
     */
    private fun quietStream(quietMs: Long): StartSend {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        goSilent(first, quietMs)
        return first
    }

    private fun List<GatewayCommand>.expectNoChangeOfSends() {
        expectThat(all<StartSend>()).isEmpty()
        expectThat(all<CancelSend>()).isEmpty()
        expectThat(all<RefuseCall>()).isEmpty()
    }

    @Test
    fun `a repeatable call moves away from a silent server and replaces its first send`() {
        val (_, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        goSilent(first, 1_100)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        gateway.tick(SendReplaced(first.send, replacement.send, 1_510, hasStarted = false))

        expectThat(replacement.replaces).isEqualTo(ReplacedSend(first.send, 1_500))
        expectThat(replacement.server).isNotEqualTo(first.server)
        expectThat(gateway.world.sends[first.send]).isNull()
        expectThat(gateway.world.backends[BackendServerId(first.server)]?.inFlight).isEqualTo(0)
    }

    // Guards against cancelling sends whose servers are silent because they process long prompts.
    @Test
    fun `a silent server that answers a health check keeps its call and stays usable`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        val checked = gateway.tick(SendStalled(first.send, 1_000), afterMs = 1_000)
        val again = gateway.tick(SendStalled(first.send, 1_100), afterMs = 100)
        val server = checked.only<CheckHealth>().server
        gateway.tick(HealthChecked(server, isHealthy = true, coldForMs = 0, load = null))
        val after = gateway.tick(SendStalled(first.send, 1_200), afterMs = 100)

        (checked + again + after).expectNoChangeOfSends()
        expectThat((checked + again + after).all<CheckHealth>()).hasSize(1)
        expectThat((checked + again + after).all<CloseIdleConnections>()).isEmpty()
        expectThat(gateway.world.backends[server]?.unreachedSinceMs).isNull()
    }

    @Test
    fun `a call moves away from a live server after a silence as long as the remaining time`() {
        val first = gateway.call(brief, prompt).second.only<StartSend>()
        val server = BackendServerId(first.server)
        gateway.tick(ServerActivity(setOf(server)), afterMs = 1_900)
        val before = gateway.tick(SendStalled(first.send, 1_900))
        gateway.tick(ServerActivity(setOf(server)), afterMs = 200)
        val after = gateway.tick(SendStalled(first.send, 2_100))

        before.expectNoChangeOfSends()
        expectThat(after.only<StartSend>().replaces).isEqualTo(ReplacedSend(first.send, 2_100))
    }

    // Guards against closing a stream whose server pauses when no other server can resume it.
    @Test
    fun `a send to a silent server continues when there is no other server`() {
        val leaving = server("m2", MODEL) { it.copy(isDraining = true) }
        gateway.publish(2, catalog, server("m1", MODEL), leaving)
        gateway.tick(ServerActivity(setOf(server("m1").id)), afterMs = 3_000)
        val first = quietStream(1_500)

        gateway.tick(SendStalled(first.send, 1_500)).expectNoChangeOfSends()
    }

    // Guards against closing a stream whose server pauses while the retry budget is exhausted.
    @Test
    fun `a send to a silent server continues when the retry budget is exhausted`() {
        val first = quietStream(1_500)
        exhaustRetries(MODEL)

        gateway.tick(SendStalled(first.send, 1_500)).expectNoChangeOfSends()
    }

    // Guards against closing a stream whose server pauses when the others are expected to be late.
    @Test
    fun `a send to a live server continues when the others are expected to be late`() {
        val first = quietStream(3_000)
        gateway.world.backends.forEach { it.pending.add(0, LATE_TOKENS) }
        gateway.tick(ServerActivity(setOf(BackendServerId(first.server))))

        gateway.tick(SendStalled(first.send, 3_000)).expectNoChangeOfSends()
    }

    // Guards against a second run when the first one sends bytes while the second connection opens.
    @Test
    fun `a send that resumes before its replacement connects remains the only one`() {
        val first = quietStream(1_500)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        gateway.tick(SendNotWritten(replacement.send, NotWrittenReason.NOT_NEEDED))
            .expectNoChangeOfSends()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, 1))

        expectThat(after.all<EndStream>()).hasSize(1)
        expectThat(gateway.world.sends.size).isEqualTo(0)
        expectThat(gateway.world.backends.sumOf { it.inFlight }).isEqualTo(0)
        expectThat(acquireRetry(MODEL)).isNotNull()
    }

    // Guards against dropping a complete answer, and asking for it again, because it arrives just
    // before the replacement would cancel its send.
    @Test
    fun `a complete answer that arrives before the replacement connects ends the stream`() {
        val first = quietStream(1_500)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, 7))

        expectThat(after.only<CancelSend>().send).isEqualTo(replacement.send)
        expectThat(after.all<EndStream>()).hasSize(1)
        expectThat(after.all<StartSend>()).isEmpty()
    }

    // Guards against two runs of one call whose server breaks off while the replacement connects.
    @Test
    fun `a send that breaks before its replacement connects is followed by one send only`() {
        val first = quietStream(1_500)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(broken(first))

        expectThat(after.only<CancelSend>().send).isEqualTo(replacement.send)
        expectThat(after.all<StartSend>()).hasSize(1)
        expectThat(gateway.world.backends.sumOf { it.inFlight }).isEqualTo(1)
    }

    // Guards against aborting a stream for lack of a retry that was acquired but not sent.
    @Test
    fun `a call whose send breaks is resumed with the retry acquired for its replacement`() {
        val first = quietStream(1_500)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        exhaustRetries(MODEL)
        val after = gateway.tick(
            broken(first),
            SendNotWritten(replacement.send, NotWrittenReason.NOT_NEEDED),
        )

        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.all<StartSend>()).hasSize(1)
        expectThat(acquireRetry(MODEL)).isNull()
    }

    /** Returns the send that resumes a stream on [brief], which broke after its first event. */
    private fun resumedStream(): StartSend {
        val first = gateway.call(brief).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        return gateway.tick(broken(first)).only<StartSend>()
    }

    // Guards against aborting a stream of which the caller already has all events.
    @Test
    fun `a resumed stream that ends without further events is complete`() {
        val after = gateway.tick(SendEnded(resumedStream().send, SendOutcome.Answered(200), null))

        expectThat(after.all<StartSend>()).isEmpty()
        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.all<EndStream>()).hasSize(1)
    }

    @Test
    fun `a resumed stream that is answered with an error is aborted`() {
        val after = gateway.tick(SendEnded(resumedStream().send, SendOutcome.Answered(400), null))

        expectThat(after.all<EndStream>()).isEmpty()
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.STREAM_BROKEN)
    }

    @Test
    fun `both sends are cancelled when the caller leaves before the replacement connects`() {
        val (call, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        goSilent(first, 1_100)
        val replacement = gateway.tick(SendStalled(first.send, 1_500)).only<StartSend>()
        val after = gateway.tick(CallerDisconnected(call))

        expectThat(after.all<CancelSend>().map { it.send }.toSet())
            .isEqualTo(setOf(first.send, replacement.send))
    }

    @Test
    fun `a server of another instance receives no further calls, since it would run them`() {
        val (_, commands) = gateway.call(lookup)
        val first = commands.only<StartSend>()
        val notRun = SendOutcome.NotRun(NotRunReason.WRONG_INSTANCE)
        gateway.tick(SendEnded(first.send, notRun, null))
        val others = List(20) { gateway.call(lookup).second.only<StartSend>().server }

        expectThat(others.filter { it == first.server }).isEmpty()
    }

    @Test
    fun `retries stay within the budget, so that they do not multiply the load of an outage`() {
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
    fun `a late answer to a cancelled send is ignored and reaches no caller`() {
        val (call, commands) = gateway.call(lookup)
        gateway.tick(CallerDisconnected(call))
        val late = gateway.tick(
            SendEnded(commands.only<StartSend>().send, SendOutcome.Answered(200), null),
        )

        expectThat(late.all<DeliverAnswer>()).isEmpty()
        expectThat(gateway.world.calls[call]).isNull()
    }

    // Guards against a call that is refused for lack of a retry that reached no server.
    @Test
    fun `a retry that reached no server returns to the budget`() {
        val first = gateway.call(lookup).second.only<StartSend>()
        val retry = gateway.tick(SendEnded(first.send, SendOutcome.Answered(500), null))
            .only<StartSend>()
        exhaustRetries(SHOP)
        val after = gateway.tick(SendNotWritten(retry.send, NotWrittenReason.CONNECT_FAILED))

        expectThat(after.all<StartSend>()).hasSize(1)
    }

    private companion object {
        /** Pending tokens of other calls that take longer than any route of the test allows. */
        const val LATE_TOKENS = 1_000_000L
    }
}
