package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Calls whose answers begin in time at every place, but end in time at some of them only. */
class SlowAnswersTest {
    private val gateway = TestGateway()
    private val brief = modelStream("brief")
    private val chat = route("chat") {
        kind = RouteKind.STREAMING
        service = MODEL
        timeoutMs = 5_000
        priority = 0
    }

    /** Nine events are expected of an answer to it. */
    private val prompt = Prompt(
        listOf(PromptPart(PartId(1), 4_000), PromptPart(PartId(2), 900)),
        promptTokens = 4_900,
        outputTokens = 70,
    )

    init {
        gateway.publish(1, catalog(brief, chat), server("m", MODEL) { it.copy(slots = 64) })
        gateway.world.service(MODEL).answerLengths.addSample(70, 9)
    }

    /** Lets engine m need [gapMs] for an event. */
    private fun slowDown(gapMs: Double) {
        val server = BackendServerId("m")
        gateway.tick(ServerActivity(setOf(server), mapOf(server to EventGaps(200, 200 * gapMs))))
    }

    private fun receiveLoad(region: ServiceLoad) =
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(region)) }

    // Guards against processing long prompts for callers that give up before their answers end.
    @Test
    fun `a call is rejected at once when its answer would end long after its caller gives up`() {
        slowDown(gapMs = 700.0)

        val refusal = gateway.call(brief, prompt).second.only<RefuseCall>()

        expectThat(refusal.reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    // Guards against filling engines with long prompts that end just in time only while nothing else
    // comes, so that the longest of the more urgent answers run out of time (SHORT).
    @Test
    fun `a long prompt is rejected when its answer has little time to spare`() {
        slowDown(gapMs = 360.0)

        val refusal = gateway.call(brief, prompt).second.only<RefuseCall>()

        expectThat(refusal.reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    // Guards against a limit so low that engines with time to spare get nothing.
    @Test
    fun `a long prompt is sent when its answer has a third of its time to spare`() {
        slowDown(gapMs = 280.0)

        expectThat(gateway.call(brief, prompt).second.all<StartSend>()).hasSize(1)
    }

    // Guards against a region that gives up a call which another region can serve.
    @Test
    fun `a relayed call whose answer would end too late is left to other regions`() {
        slowDown(gapMs = 700.0)
        val origin = CallOrigin.Peer(identity("p", SOUTH).vm, catalogVersion = 1)

        val refusal = gateway.call(brief, prompt, origin = origin).second.only<RefuseCall>()

        expectThat(refusal.reason.runState).isEqualTo(RunState.NOT_RUN)
    }

    // Guards against rejecting the most urgent calls by an estimate that is often too long.
    @Test
    fun `a call of the most urgent route is sent although its answer may end too late`() {
        slowDown(gapMs = 700.0)

        expectThat(gateway.call(chat, prompt).second.all<StartSend>()).hasSize(1)
    }

    // Guards against a caller that has most of an answer and is rejected by the time for all of it.
    @Test
    fun `a caller that takes up a stream is served although its end may come too late`() {
        slowDown(gapMs = 700.0)
        val origin = StreamOrigin(RequestId("r1"), MODEL, SoftwareVersion("v1"))
        gateway.world.streams.put(origin, gateway.nowMs)
        val takeUp = CallSpec(
            requestId = RequestId("r2"),
            host = brief.host,
            path = brief.prefix,
            budgetMs = 3_000,
            prompt = prompt,
            resumeAfter = 5,
            resumedRequest = RequestId("r1"),
        )

        expectThat(gateway.tick(CallArrived(CallId(99), takeUp)).all<StartSend>()).hasSize(1)
    }

    // Guards against choosing the owner of a cached part by the time to the first event alone.
    @Test
    fun `a long prompt does not go to a region whose engines answer too slowly`() {
        gateway.publish(
            2,
            catalog(brief, chat),
            server("m", MODEL) { it.copy(slots = 64, isDraining = false) },
            server("o1", MODEL, SOUTH) { it.copy(slots = 64) },
            server("o2", MODEL, SOUTH) { it.copy(slots = 64) },
        )
        slowDown(gapMs = 60.0)
        receiveLoad(
            ServiceLoad(MODEL, totalSlots = 128, usedSlots = 0, waitMs = 5, eventGapMs = 700f),
        )
        val targets = (1L..20L).map {
            val parts = listOf(PromptPart(PartId(it), 4_000), PromptPart(PartId(100 + it), 900))
            gateway.call(brief, Prompt(parts, 4_900, 70)).second.only<StartSend>().target
        }

        targets.forEach { expectThat(it).isA<SendTarget.Server>() }
    }
}
