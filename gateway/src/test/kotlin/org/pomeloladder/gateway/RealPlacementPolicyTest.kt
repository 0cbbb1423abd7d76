package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class RealPlacementPolicyTest {
    private val gateway = TestGateway()
    private val brief = route("brief") {
        kind = RouteKind.STREAMING
        service = MODEL
    }

    private val copying = catalog(brief).let { plain ->
        val engine = EngineSpec(64, 300_000, kvBytesPerToken = 18_432.0, kvLinkMbps = 370_000.0)
        plain.copy(
            services = plain.services.map {
                if (it.id ==
                    MODEL
                ) {
                    it.copy(engine = engine)
                } else {
                    it
                }
            },
        )
    }

    private fun engine(name: String) = server(name, MODEL) { it.copy(slots = 64) }

    private fun prompt(thing: Long, own: Long) = Prompt(
        parts = listOf(
            PromptPart(PartId(1), 2_500),
            PromptPart(PartId(thing), 3_800),
            PromptPart(PartId(own), 2_900),
        ),
        promptTokens = 9_200,
        outputTokens = 50,
    )

    private fun place(thing: Long, own: Long): String {
        val send = gateway.call(brief, prompt(thing, own)).second.only<StartSend>()
        gateway.tick(AnswerStarted(send.send, null))
        gateway.tick(SendEnded(send.send, SendOutcome.Answered(200), null))
        return send.server
    }

    @Test
    fun `prompts that share parts go to one engine, so that the parts are read once`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"), engine("m3"))
        val places = (1L..20L).map { place(thing = 7, own = 100 + it) }

        expectThat(places.toSet().size).isEqualTo(1)
    }

    @Test
    fun `processes that share nothing choose the same engine for the same parts`() {
        val places = (1..4).map { seed ->
            val other = TestGateway(seed)
            other.publish(1, catalog(brief), engine("m1"), engine("m2"), engine("m3"))
            other.call(
                brief,
                prompt(thing = 7, own = seed.toLong()),
            ).second.only<StartSend>().server
        }

        expectThat(places.toSet().size).isEqualTo(1)
    }

    @Test
    fun `a crowded region hands calls to an idle one, so that its batches stay quick`() {
        gateway.publish(1, catalog(brief), engine("m1"))
        val idle = ServiceLoad(MODEL, totalSlots = 64, usedSlots = 0, waitMs = 20)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(idle)) }
        gateway.world.backends[BackendServerId("m1")]?.peerInFlight = 0
        val short = Prompt(listOf(PromptPart(PartId(5), 600)), 600, 50)
        val first = gateway.call(brief, short).second.only<StartSend>()
        repeat(63) { gateway.call(brief, short) }
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(idle)) }
        val last = gateway.call(brief, short).second.only<StartSend>()

        expectThat(first.target).isA<SendTarget.Server>()
        expectThat(last.target).isA<SendTarget.Peer>()
    }

    @Test
    fun `long answers keep away from an engine that reads many prompts`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"))
        val busy = (1L..12L).map { place(thing = 7, own = 100 + it) }.toSet().single()
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 900)
        val answers = List(4) { gateway.call(brief, chat).second.only<StartSend>().server }

        expectThat(answers.filter { it == busy }).isEqualTo(emptyList())
    }

    // Guards against a server that was idle a moment ago and is crowded by all processes at once.
    @Test
    fun `processes with the same late figures do not all take the same server of many`() {
        val engines = (0 until 20).map { engine("m$it") }
        val shares = engines.drop(1).map { ServerShare(it.id, 30) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 300)
        val places = (1..40).map { seed ->
            val process = TestGateway(seed)
            process.publish(1, catalog(brief), *engines.toTypedArray())
            process.receiveGossip(identity("p", NORTH)) { it.copy(shares = shares) }
            process.call(brief, chat).second.only<StartSend>().server
        }

        expectThat(places.count { it == "m0" }).isLessThan(10)
    }

    @Test
    fun `prompts that other processes send count for long answers`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"))
        val share = ServerShare(BackendServerId("m1"), 0, recentPromptTokens = 60_000)
        gateway.receiveGossip(identity("p", NORTH)) { it.copy(shares = listOf(share)) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 900)
        val answers = List(4) { gateway.call(brief, chat).second.only<StartSend>().server }

        expectThat(answers.toSet()).isEqualTo(setOf("m2"))
    }

    @Test
    fun `an answer that would not end in time goes where streams are seen to be quick`() {
        val engines = listOf(engine("slow"), engine("quick"))
        gateway.publish(1, catalog(brief), *engines.toTypedArray())
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 400)
        val first = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, events = 50))
        val gaps = mapOf(
            engines[0].id to EventGaps(20, 20 * 60.0),
            engines[1].id to EventGaps(20, 20 * 30.0),
        )
        gateway.tick(ServerActivity(gaps.keys, gaps))
        val answers = List(6) { gateway.call(brief, chat).second.only<StartSend>().server }

        expectThat(answers.toSet()).isEqualTo(setOf("quick"))
    }

    @Test
    fun `a long answer goes to a region whose engines are quicker by more than the way there`() {
        gateway.publish(1, catalog(brief), engine("m1"))
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 400)
        val first = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.tick(SendEnded(first.send, SendOutcome.Answered(200), null, events = 50))
        val gaps = mapOf(BackendServerId("m1") to EventGaps(20, 20 * 90.0))
        gateway.tick(ServerActivity(gaps.keys, gaps))
        val idle = ServiceLoad(MODEL, totalSlots = 64, usedSlots = 9, waitMs = 20, eventGapMs = 30f)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(idle)) }

        expectThat(gateway.call(brief, chat).second.only<StartSend>().target)
            .isA<SendTarget.Peer>()
    }

    // Guards against urgent calls that are refused or relayed because of prompts that wait behind them.
    @Test
    fun `an urgent call does not wait for the prompts of less urgent ones`() {
        val chats = route("chats") {
            kind = RouteKind.STREAMING
            service = MODEL
            priority = 0
        }
        gateway.publish(1, catalog(brief, chats), engine("m1"))
        repeat(60) { gateway.call(brief, prompt(thing = 7, own = 100L + it)) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 50)
        val urgent = gateway.call(chats, chat).second.only<StartSend>()
        val other = gateway.call(brief, chat).second.only<StartSend>()

        expectThat(gateway.expectedMs(urgent.send) * 3)
            .isLessThan(gateway.expectedMs(other.send))
    }

    // Guards against prompts that pause many running answers for the sake of their own first event.
    @Test
    fun `a long prompt rather waits at an idle engine than pauses many answers at another one`() {
        gateway.publish(1, catalog(brief), engine("answering"), engine("reading"))
        gateway.world.backends[BackendServerId("answering")]?.peerInFlight = 40
        gateway.world.backends[BackendServerId("reading")]?.peerPending?.add(0, 40_000)
        val prompt = Prompt(listOf(PromptPart(PartId(1), 9_200)), 9_200, 50)
        val send = gateway.call(brief, prompt).second.only<StartSend>()

        expectThat(send.server).isEqualTo("reading")
    }

    // Guards against shared parts that are read again although an engine of the same region keeps them.
    @Test
    fun `an engine copies the shared parts that another engine of its region keeps`() {
        val (first, second) = twoPrompts(gapMs = 1)

        expectThat(second.server).isNotEqualTo(first.server)
        expectThat((second.target as SendTarget.Server).kvCopySource)
            .isEqualTo(first.target.address)
    }

    // Guards against copies that wait for an engine that is gone.
    @Test
    fun `an engine that was silent for long is no source of shared parts`() {
        val (_, second) = twoPrompts(gapMs = 4_000)

        expectThat((second.target as SendTarget.Server).kvCopySource).isNull()
    }

    // Guards against servers that are passed over for as long as nothing is sent to them, because of an old report.
    @Test
    fun `a report of a full server is not believed for longer than it can be true`() {
        gateway.publish(1, catalog(brief), engine("m1"))
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 50)
        val first = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, LoadReport(64, 20, 64, slowdown = 2.5)))
        val soon = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(afterMs = 1_200)
        val later = gateway.call(brief, chat).second.only<StartSend>()

        expectThat(gateway.expectedMs(later.send) * 2).isLessThan(gateway.expectedMs(soon.send))
    }

    /** Sends of two prompts with the same shared parts; the engine of the first one becomes busy in between. */
    private fun twoPrompts(gapMs: Long): Pair<StartSend, StartSend> {
        gateway.publish(1, copying, engine("m1"), engine("m2"))
        val first = gateway.call(brief, prompt(thing = 7, own = 100)).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.world.backends[BackendServerId(first.server)]?.peerPending?.add(0, 200_000)
        gateway.tick(afterMs = gapMs)
        val second = gateway.call(brief, prompt(thing = 7, own = 101)).second.only<StartSend>()
        return first to second
    }
}
