package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
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
        gateway.world.backends.forEach { it.pendingPromptTokens += LATE_TOKENS }
        val after = gateway.tick(broken(first))

        expectThat(after.all<RefuseCall>()).isEmpty()
        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
    }

    @Test
    fun `a call that no server has run is refused at once when all are expected to be late`() {
        gateway.world.backends.forEach { it.pendingPromptTokens += LATE_TOKENS }
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

    @Test
    fun `a silent server loses a repeatable call, and its run is stopped first`() {
        val (_, commands) = gateway.call(brief)
        val first = commands.only<StartSend>()
        val after = gateway.tick(SendQuiet(first.send, 1_500), afterMs = 1_500)

        expectThat(after.only<CancelSend>().send).isEqualTo(first.send)
        expectThat(after.only<StartSend>().server).isNotEqualTo(first.server)
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
