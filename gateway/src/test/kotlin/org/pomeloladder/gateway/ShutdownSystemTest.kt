package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ShutdownSystemTest {
    private val gateway = TestGateway()
    private val chat = route("chat") {
        kind = RouteKind.STREAMING
        service = MODEL
        timeoutMs = 12_000
    }
    private val lookup = route("lookup") { timeoutMs = 2_000 }

    init {
        gateway.publish(1, catalog(chat, lookup), server("a"), server("m", MODEL))
    }

    @Test
    fun `a long call late in a shutdown is refused without being sent, to avoid aborting it`() {
        gateway.tick(ShutdownRequested)
        val (_, early) = gateway.call(chat)
        gateway.nowMs += 3_000
        val (_, late) = gateway.call(chat)
        val (_, short) = gateway.call(lookup)

        expectThat(early.all<StartSend>()).hasSize(1)
        expectThat(late.only<RefuseCall>().reason).isEqualTo(CallRefusal.DRAINING)
        expectThat(short.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `the process stops when its last call has ended and callers have switched`() {
        val (_, commands) = gateway.call(chat, budgetMs = 12_000)
        gateway.tick(ShutdownRequested)
        val during = gateway.tick(afterMs = 4_000)
        gateway.tick(AnswerStarted(commands.only<StartSend>().send, null))
        val after = gateway.tick(
            SendEnded(commands.only<StartSend>().send, SendOutcome.Answered(200), null),
        )

        expectThat(during.all<StopGateway>()).isEmpty()
        expectThat((after + gateway.tick()).all<StopGateway>()).hasSize(1)
    }

    // Guards against cutting off calls at the end of the grace period without an answer.
    @Test
    fun `a call that is not answered by the end of the grace period hears that it may have run`() {
        val (call, commands) = gateway.call(chat, budgetMs = 12_000)
        gateway.tick(ShutdownRequested)
        val after = gateway.tick(afterMs = 7_100)

        expectThat(after.only<CancelSend>().send).isEqualTo(commands.only<StartSend>().send)
        expectThat(after.only<RefuseCall>())
            .isEqualTo(RefuseCall(call, CallRefusal.OUTCOME_UNKNOWN, null))
    }

    @Test
    fun `a stream that has started is not answered again at the end of the grace period`() {
        val (_, commands) = gateway.call(chat, budgetMs = 12_000)
        gateway.tick(AnswerStarted(commands.only<StartSend>().send, null))
        gateway.tick(ShutdownRequested)

        expectThat(gateway.tick(afterMs = 7_100).all<RefuseCall>()).isEmpty()
    }

    @Test
    fun `the process stops within the grace period even if a call takes longer`() {
        gateway.call(chat, budgetMs = 12_000)
        gateway.tick(ShutdownRequested)

        expectThat(gateway.tick(afterMs = 7_600).all<StopGateway>()).hasSize(1)
    }
}
