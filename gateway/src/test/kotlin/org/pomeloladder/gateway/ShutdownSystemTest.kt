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
    fun `a long call late in a shutdown is refused unrun, so that it is not cut off`() {
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
    fun `the process stops when its last call is over and callers have moved`() {
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

    @Test
    fun `the process stops within the grace period although a call lasts longer`() {
        gateway.call(chat, budgetMs = 12_000)
        gateway.tick(ShutdownRequested)

        expectThat(gateway.tick(afterMs = 7_600).all<StopGateway>()).hasSize(1)
    }
}
