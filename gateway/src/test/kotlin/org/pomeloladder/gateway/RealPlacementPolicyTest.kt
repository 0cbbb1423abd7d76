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

    private val copyCatalog = catalog(brief).let { plain ->
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

    private fun prompt(shared: Long, own: Long) = Prompt(
        parts = listOf(
            PromptPart(PartId(1), 2_500),
            PromptPart(PartId(shared), 3_800),
            PromptPart(PartId(own), 2_900),
        ),
        promptTokens = 9_200,
        outputTokens = 50,
    )

    private fun serve(shared: Long, own: Long): String {
        val send = gateway.call(brief, prompt(shared, own)).second.only<StartSend>()
        gateway.tick(AnswerStarted(send.send, null))
        gateway.tick(SendEnded(send.send, SendOutcome.Answered(200), null))
        return send.server
    }

    @Test
    fun `prompts with the same shared parts go to one engine, which processes them once`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"), engine("m3"))
        val servers = (1L..20L).map { serve(shared = 7, own = 100 + it) }

        expectThat(servers.toSet().size).isEqualTo(1)
    }

    @Test
    fun `processes that do not communicate choose the same engine for the same parts`() {
        val servers = (1..4).map { seed ->
            val other = TestGateway(seed)
            other.publish(1, catalog(brief), engine("m1"), engine("m2"), engine("m3"))
            other.call(
                brief,
                prompt(shared = 7, own = seed.toLong()),
            ).second.only<StartSend>().server
        }

        expectThat(servers.toSet().size).isEqualTo(1)
    }

    @Test
    fun `a crowded region relays calls to an idle one, so that its batches stay small`() {
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
    fun `calls with long answers avoid an engine that processes many prompts`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"))
        val busy = (1L..12L).map { serve(shared = 7, own = 100 + it) }.toSet().single()
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 900)
        val answers = List(4) { gateway.call(brief, chat).second.only<StartSend>().server }

        expectThat(answers.filter { it == busy }).isEqualTo(emptyList())
    }

    // Guards against all processes sending to the server that was idle a moment ago and crowding
    // it.
    @Test
    fun `processes with the same outdated figures do not all choose the same server`() {
        val engines = (0 until 20).map { engine("m$it") }
        val shares = engines.drop(1).map { ServerShare(it.id, 30) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 300)
        val servers = (1..40).map { seed ->
            val process = TestGateway(seed)
            process.publish(1, catalog(brief), *engines.toTypedArray())
            process.receiveGossip(identity("p", NORTH)) { it.copy(shares = shares) }
            process.call(brief, chat).second.only<StartSend>().server
        }

        expectThat(servers.count { it == "m0" }).isLessThan(10)
    }

    @Test
    fun `prompts sent by other processes count when a call with a long answer is placed`() {
        gateway.publish(1, catalog(brief), engine("m1"), engine("m2"))
        val share = ServerShare(BackendServerId("m1"), 0, recentPromptTokens = 60_000)
        gateway.receiveGossip(identity("p", NORTH)) { it.copy(shares = listOf(share)) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 900)
        val answers = List(4) { gateway.call(brief, chat).second.only<StartSend>().server }

        expectThat(answers.toSet()).isEqualTo(setOf("m2"))
    }

    @Test
    fun `a call that would time out goes to the engine with the shorter event gaps`() {
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
    fun `a long answer goes to another region when the faster engines outweigh the round trip`() {
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

    // Guards against urgent calls being refused or relayed because of prompts that wait behind
    // them.
    @Test
    fun `an urgent call does not count the prompts of less urgent calls as waiting time`() {
        val chats = route("chats") {
            kind = RouteKind.STREAMING
            service = MODEL
            priority = 0
        }
        gateway.publish(1, catalog(brief, chats), engine("m1"))
        repeat(20) { gateway.call(brief, prompt(shared = 7, own = 100L + it)) }
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 50)
        val urgent = gateway.call(chats, chat).second.only<StartSend>()
        val other = gateway.call(brief, chat).second.only<StartSend>()

        expectThat(gateway.expectedMs(urgent.send) * 3)
            .isLessThan(gateway.expectedMs(other.send))
    }

    // Guards against a prompt pausing many running answers for an earlier first event of its own.
    @Test
    fun `a long prompt waits behind other prompts rather than pausing many running answers`() {
        gateway.publish(1, catalog(brief), engine("answering"), engine("reading"))
        gateway.world.backends[BackendServerId("answering")]?.peerInFlight = 40
        gateway.world.backends[BackendServerId("reading")]?.peerPending?.add(0, 40_000)
        val prompt = Prompt(listOf(PromptPart(PartId(1), 9_200)), 9_200, 50)
        val send = gateway.call(brief, prompt).second.only<StartSend>()

        expectThat(send.server).isEqualTo("reading")
    }

    // Guards against processing shared parts again that an engine of the same region has cached.
    @Test
    fun `an engine copies the shared parts that another engine of its region has cached`() {
        val (first, second) = twoPrompts(gapMs = 1)

        expectThat(second.server).isNotEqualTo(first.server)
        expectThat((second.target as SendTarget.Server).kvCopySource)
            .isEqualTo(first.target.address)
    }

    // Guards against copies that wait for an engine that is gone.
    @Test
    fun `shared parts are not copied from an engine that has been silent for long`() {
        val (_, second) = twoPrompts(gapMs = 4_000)

        expectThat((second.target as SendTarget.Server).kvCopySource).isNull()
    }

    // Guards against a server staying unused because of an old report, which only a new send would
    // replace.
    @Test
    fun `a load report of a full server is ignored once it is out of date`() {
        gateway.publish(1, catalog(brief), engine("m1"))
        val chat = Prompt(listOf(PromptPart(PartId(900), 600)), 600, 50)
        val first = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, LoadReport(64, 20, 64, slowdown = 2.5)))
        val soon = gateway.call(brief, chat).second.only<StartSend>()
        gateway.tick(afterMs = 1_200)
        val later = gateway.call(brief, chat).second.only<StartSend>()

        expectThat(gateway.expectedMs(later.send) * 2).isLessThan(gateway.expectedMs(soon.send))
    }

    /**
     * Returns the sends of two prompts with the same shared parts; the engine of the first send
     * becomes busy in between.
     */
    private fun twoPrompts(gapMs: Long): Pair<StartSend, StartSend> {
        gateway.publish(1, copyCatalog, engine("m1"), engine("m2"))
        val first = gateway.call(brief, prompt(shared = 7, own = 100)).second.only<StartSend>()
        gateway.tick(AnswerStarted(first.send, null))
        gateway.world.backends[BackendServerId(first.server)]?.peerPending?.add(0, 200_000)
        gateway.tick(afterMs = gapMs)
        val second = gateway.call(brief, prompt(shared = 7, own = 101)).second.only<StartSend>()
        return first to second
    }
}
