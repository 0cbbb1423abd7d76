package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.BackendServerId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

/** Tests what one process concludes from crashes of servers, and what it does with calls. */
class QuarantineSystemTest {
    private val gateway = TestGateway()
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
    }
    private val servers = (1..8).map { server("m$it", MODEL) }.toTypedArray()

    init {
        gateway.publish(1, catalog(brief, chat), *servers)
    }

    private fun prompt(first: PartId, second: PartId? = null) = Prompt(
        parts = (listOfNotNull(first, second) + PartId(gateway.nowMs)).map { PromptPart(it, 500) },
        promptTokens = 1_100,
        outputTokens = 50,
    )

    private fun send(prompt: Prompt, route: Route = brief) =
        gateway.call(route, prompt).second.only<StartSend>()

    private fun lost(send: StartSend, headMs: Long? = 20) =
        SendEnded(send.send, SendOutcome.Broken(BreakReason.CONNECTION_LOST), null, headMs = headMs)

    private fun refused(server: String) =
        HealthChecked(BackendServerId(server), false, null, null, isRefused = true)

    /** Sends a call with [prompt] whose server crashes as it begins to answer. */
    private fun crashWith(
        prompt: Prompt,
        afterMs: Long = CRASH_INTERVAL_MS,
        end: (StartSend) -> SendEnded = { lost(it) },
    ): List<GatewayCommand> {
        gateway.tick(afterMs = afterMs)
        val send = send(prompt)
        return gateway.tick(end(send)) + gateway.tick(refused(send.server))
    }

    /** Reports a send that was lost [contentAgeMs] after its first event. */
    private fun lostAfterEvent(send: StartSend, contentAgeMs: Long): SendEnded {
        gateway.tick(AnswerStarted(send.send, null))
        gateway.tick(afterMs = contentAgeMs)
        return lost(send).copy(events = 1, contentAgeMs = contentAgeMs)
    }

    /** Sends a call with [prompt] that is answered. */
    private fun answer(prompt: Prompt) {
        val send = send(prompt)
        gateway.tick(AnswerStarted(send.send, null))
        gateway.tick(SendEnded(send.send, SendOutcome.Answered(200), null, events = 5, headMs = 1))
    }

    /** Expects that the call of [send] goes to another server, but only a second after [ended]. */
    private fun expectThatNextSendWaits(send: StartSend, ended: SendEnded) {
        val atOnce = gateway.tick(ended, refused(send.server))
        val meanwhile = gateway.tick(afterMs = 500) + gateway.tick(afterMs = 400)
        gateway.hearFromAllBut(BackendServerId(send.server))
        val later = gateway.tick(afterMs = 200)

        expectThat((atOnce + meanwhile).all<StartSend>()).isEmpty()
        expectThat(later.only<StartSend>().server).isNotEqualTo(send.server)
    }

    private fun isQuarantined(part: PartId) =
        gateway.world.suspectParts[part]?.isQuarantined == true

    private fun report(part: PartId, vararg crashes: CrashReport) =
        PartEvidence(part, crashes.toList())

    // Guards against calls with a part that crashes servers being sent on and on.
    @Test
    fun `a part on which two servers crashed is refused, and its caller hears when to return`() {
        crashWith(prompt(FIRST, DEADLY))
        crashWith(prompt(FIRST, DEADLY))
        val commands = gateway.call(brief, prompt(FIRST, DEADLY)).second

        expectThat(commands.all<StartSend>()).isEmpty()
        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.QUARANTINED)
        expectThat(checkNotNull(commands.only<RefuseCall>().retryAfterMs)).isGreaterThan(50_000)
    }

    // Guards against refusing all calls that share another part with the deadly ones.
    @Test
    fun `a part that stands beside the deadly one and has been answered is not quarantined`() {
        answer(prompt(FIRST, SOUND))
        repeat(2) { crashWith(prompt(FIRST, DEADLY)) }
        repeat(2) { crashWith(prompt(FIRST, OTHER_DEADLY)) }

        expectThat(isQuarantined(DEADLY)).isTrue()
        expectThat(isQuarantined(OTHER_DEADLY)).isTrue()
        expectThat(isQuarantined(FIRST)).isFalse()
    }

    // Guards against refusing sound calls because their part was always seen beside the deadly one.
    @Test
    fun `unproven parts that stood together are refused together only, until one is answered`() {
        repeat(2) { crashWith(prompt(SOUND, DEADLY)) }
        val both = gateway.call(brief, prompt(SOUND, DEADLY)).second
        answer(prompt(SOUND, FIRST))

        expectThat(both.only<RefuseCall>().reason).isEqualTo(CallRefusal.QUARANTINED)
        expectThat(isQuarantined(SOUND)).isFalse()
        expectThat(gateway.call(brief, prompt(FIRST, DEADLY)).second.only<RefuseCall>().reason)
            .isEqualTo(CallRefusal.QUARANTINED)
    }

    @Test
    fun `a deadly part that stands first is quarantined`() {
        answer(prompt(SOUND))
        repeat(2) { crashWith(prompt(DEADLY, SOUND)) }

        expectThat(isQuarantined(DEADLY)).isTrue()
        expectThat(isQuarantined(SOUND)).isFalse()
    }

    // Guards against a part that became deadly with a new version of the servers.
    @Test
    fun `a part that was answered before is quarantined after more crashes in a row`() {
        answer(prompt(DEADLY))
        repeat(3) { crashWith(prompt(DEADLY)) }
        val afterThree = isQuarantined(DEADLY)
        crashWith(prompt(DEADLY))

        expectThat(afterThree).isFalse()
        expectThat(isQuarantined(DEADLY)).isTrue()
    }

    @Test
    fun `an answer between crashes clears a part`() {
        crashWith(prompt(SOUND))
        answer(prompt(SOUND))
        crashWith(prompt(SOUND))

        expectThat(isQuarantined(SOUND)).isFalse()
    }

    // Guards against a part that crashes engine after engine because the crash cuts the head.
    @Test
    fun `a crash within the head of an answer accuses its parts`() {
        repeat(2) { crashWith(prompt(DEADLY)) { lost(it, headMs = null).copy(hasBegun = true) } }

        expectThat(isQuarantined(DEADLY)).isTrue()
    }

    // Guards against a part that crashes engine after engine because an event comes first, which
    // was taken for the proof that the part is sound.
    @Test
    fun `a crash right after the first event accuses its parts`() {
        repeat(2) { crashWith(prompt(DEADLY)) { lostAfterEvent(it, contentAgeMs = 5) } }

        expectThat(isQuarantined(DEADLY)).isTrue()
    }

    // Guards against sound parts that are refused because engines crash for another reason.
    @Test
    fun `a crash amid an answer accuses nothing`() {
        repeat(6) { crashWith(prompt(SOUND)) { lostAfterEvent(it, contentAgeMs = 400) } }

        expectThat(gateway.world.suspectParts.size).isEqualTo(0)
    }

    // Guards against refusing sound parts when a failure domain takes answers on them along.
    @Test
    fun `servers that crash at the same moment count once`() {
        repeat(6) { crashWith(prompt(SOUND), afterMs = 10) }
        val afterMoment = isQuarantined(SOUND)
        crashWith(prompt(SOUND))

        expectThat(afterMoment).isFalse()
        expectThat(isQuarantined(SOUND)).isTrue()
    }

    // Guards against a stream that crashes the next engine when it is resumed.
    @Test
    fun `a stream that was lost right after its first event waits before it is resumed`() {
        val send = send(prompt(DEADLY))

        expectThatNextSendWaits(send, lostAfterEvent(send, contentAgeMs = 5))
    }

    @Test
    fun `a stream that waits to be resumed ends when its part is quarantined`() {
        val send = send(prompt(DEADLY))
        gateway.tick(lostAfterEvent(send, contentAgeMs = 5), refused(send.server))
        val commands = crashWith(prompt(DEADLY))

        expectThat(commands.all<RefuseCall>().map { it.reason })
            .contains(CallRefusal.STREAM_BROKEN)
        expectThat(gateway.tick(afterMs = 1_500).all<StartSend>()).isEmpty()
    }

    @Test
    fun `a call that waited at a crashed server accuses nothing and is sent again at once`() {
        repeat(3) {
            val send = send(prompt(SOUND))
            val commands = gateway.tick(lost(send, headMs = null))
            expectThat(commands.all<StartSend>()).hasSize(1)
            gateway.tick(refused(send.server))
        }

        expectThat(gateway.world.suspectParts.size).isEqualTo(0)
    }

    // Guards against taking a reset or a spoiled answer for a crash.
    @Test
    fun `a broken connection to a server that still answers accuses nothing`() {
        repeat(3) {
            val send = send(prompt(SOUND))
            val check = gateway.tick(lost(send)).only<CheckHealth>()
            gateway.tick(HealthChecked(check.server, true, 0, null, askedMs = check.askedMs))
        }

        expectThat(isQuarantined(SOUND)).isFalse()
        expectThat(gateway.world.suspectParts.all { it.crashes.isEmpty() }).isTrue()
    }

    // Guards against taking a server that is cut off or dark for one that crashed.
    @Test
    fun `a server that does not answer a health check accuses nothing`() {
        repeat(3) {
            val send = send(prompt(SOUND))
            gateway.tick(lost(send))
            gateway.tick(HealthChecked(BackendServerId(send.server), false, null, null))
        }

        expectThat(isQuarantined(SOUND)).isFalse()
    }

    @Test
    fun `a server that was leaving accuses nothing`() {
        repeat(3) {
            val send = send(prompt(SOUND))
            gateway.world.backends[BackendServerId(send.server)]!!.missingSinceMs = gateway.nowMs
            gateway.tick(lost(send), refused(send.server))
        }

        expectThat(isQuarantined(SOUND)).isFalse()
    }

    @Test
    fun `the crash of one incarnation of a server counts once, whoever reports it`() {
        val first = send(prompt(DEADLY))
        crashWith(prompt(SOUND))
        gateway.tick(lost(first), refused(first.server))
        val crash = gateway.world.suspectParts[DEADLY]!!.crashes.keys.single()
        val reports = report(DEADLY, CrashReport(crash, 40))
        gateway.receiveGossip(identity("p", NORTH)) { it.copy(evidence = listOf(reports)) }

        expectThat(isQuarantined(DEADLY)).isFalse()
    }

    // Guards against a repeat that crashes the next server before anybody can know the part.
    @Test
    fun `a call that was lost as its server crashed waits before it is sent again`() {
        val send = send(prompt(DEADLY))

        expectThatNextSendWaits(send, lost(send))
    }

    @Test
    fun `a waiting call is sent as soon as its parts are answered elsewhere`() {
        val send = send(prompt(SOUND))
        gateway.tick(lost(send), refused(send.server))
        val crash = gateway.world.suspectParts[SOUND]!!.crashes.keys.single()
        val evidence = PartEvidence(SOUND, listOf(CrashReport(crash, 10)), answeredAgeMs = 1_000)
        val commands =
            gateway.receiveGossip(identity("p", NORTH)) { it.copy(evidence = listOf(evidence)) }

        expectThat(commands.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `a call that loses its server is sent again at once when its parts are proven`() {
        answer(prompt(FIRST, SOUND))
        val send = send(prompt(FIRST, SOUND))

        expectThat(gateway.tick(lost(send)).all<StartSend>()).hasSize(1)
    }

    // Guards against calls that wait at servers and crash them although the part is known.
    @Test
    fun `calls with a quarantined part that wait at servers are stopped as perhaps run`() {
        val waiting = send(prompt(DEADLY))
        crashWith(prompt(DEADLY))
        val commands = crashWith(prompt(DEADLY))

        expectThat(commands.all<CancelSend>().map { it.send }).isEqualTo(listOf(waiting.send))
        expectThat(commands.all<RefuseCall>().map { it.reason }.toSet())
            .isEqualTo(setOf(CallRefusal.OUTCOME_UNKNOWN))
    }

    @Test
    fun `a relayed call reports that its server crashed, so that the sender waits as well`() {
        val origin = CallOrigin.Peer(identity("p", SOUTH).vm, 1)
        val send = gateway.call(brief, prompt(DEADLY), origin = origin).second.only<StartSend>()
        val commands = gateway.tick(lost(send))

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.SERVER_CRASHED)
    }

    // Guards against a restarted process that crashes servers to learn what the others know.
    @Test
    fun `a process that has just started takes the evidence of its peers`() {
        val crashes = arrayOf(CrashReport(CrashId(1), 3_000), CrashReport(CrashId(2), 2_000))
        gateway.receiveGossip(identity("p", NORTH)) {
            it.copy(evidence = listOf(report(DEADLY, *crashes)))
        }

        expectThat(isQuarantined(DEADLY)).isTrue()
    }

    @Test
    fun `a wrong verdict of a peer is refuted by an answer and the peer hears of it`() {
        answer(prompt(SOUND))
        val crashes = arrayOf(CrashReport(CrashId(1), 3_000), CrashReport(CrashId(2), 2_000))
        val commands = gateway.receiveGossip(identity("p", NORTH)) {
            it.copy(evidence = listOf(report(SOUND, *crashes)))
        } + gateway.tick(afterMs = 30)

        expectThat(isQuarantined(SOUND)).isFalse()
        val told = commands.all<SendGossip>().last().message.evidence.single { it.part == SOUND }
        expectThat(checkNotNull(told.answeredAgeMs)).isLessThan(1_000)
    }

    // Guards against a datagram that fills the memory or stops the process.
    @Test
    fun `malformed and endless evidence is bounded`() {
        val extremes = listOf(Long.MIN_VALUE, -1, Long.MAX_VALUE)
        val bad = report(DEADLY, *extremes.map { CrashReport(CrashId(it), it) }.toTypedArray())
        gateway.receiveGossip(identity("p", NORTH)) {
            val endless = (1L..5_000L).map { id ->
                report(PartId(id), *(1L..50L).map { CrashReport(CrashId(it), it) }.toTypedArray())
            }
            it.copy(evidence = endless + bad.copy(answeredAgeMs = Long.MIN_VALUE, probes = -5))
        }
        gateway.tick(afterMs = 600)

        expectThat(gateway.world.suspectParts.size).isLessThan(65)
        expectThat(gateway.world.suspectParts.maxOf { it.crashes.size }).isLessThan(7)
        expectThat(evidenceReports(gateway.world, gateway.nowMs).size).isLessThan(7)
    }

    @Test
    fun `a quarantined part is tested once, and an answer releases it`() {
        repeat(2) { crashWith(prompt(DEADLY)) }
        gateway.tick(afterMs = 61_000)
        val probe = send(prompt(DEADLY))
        val beside = gateway.call(brief, prompt(DEADLY)).second
        gateway.tick(AnswerStarted(probe.send, null))
        val atFirstEvent = isQuarantined(DEADLY)
        gateway.tick(afterMs = BEGINNING_MS + 1)

        expectThat(atFirstEvent).isTrue()
        expectThat(beside.only<RefuseCall>().reason).isEqualTo(CallRefusal.QUARANTINED)
        expectThat(isQuarantined(DEADLY)).isFalse()
        expectThat(gateway.call(brief, prompt(DEADLY)).second.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `parts that cannot be told apart are tested together`() {
        repeat(2) { crashWith(prompt(SOUND, DEADLY)) }
        gateway.tick(afterMs = 61_000)

        expectThat(gateway.call(brief, prompt(SOUND, DEADLY)).second.all<StartSend>()).hasSize(1)
        expectThat(gateway.call(brief, prompt(SOUND, DEADLY)).second.all<StartSend>()).isEmpty()
    }

    @Test
    fun `a test that crashes its server makes the quarantine longer`() {
        repeat(2) { crashWith(prompt(DEADLY)) }
        gateway.tick(afterMs = 61_000)
        crashWith(prompt(DEADLY))
        gateway.tick(afterMs = 61_000)
        val early = gateway.call(brief, prompt(DEADLY)).second
        gateway.tick(afterMs = 60_000)

        expectThat(early.all<StartSend>()).isEmpty()
        expectThat(gateway.call(brief, prompt(DEADLY)).second.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `a call that may not be repeated accuses its part and is not sent again`() {
        val send = send(prompt(DEADLY), chat)
        val commands = gateway.tick(lost(send), refused(send.server))

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.OUTCOME_UNKNOWN)
        expectThat(openCrashes(gateway.world.suspectParts[DEADLY]!!, gateway.world.answeredParts))
            .hasSize(1)
    }

    private companion object {
        val FIRST = PartId(1)
        val DEADLY = PartId(0xdead)
        val OTHER_DEADLY = PartId(0xdeae)

        /** Crashes that are closer to each other count as one. */
        const val CRASH_INTERVAL_MS = 300L
        val SOUND = PartId(0x50)
    }
}
