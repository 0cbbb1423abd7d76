package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

/** Tests with a fleet how many calls reach engines that crash and start again under their id. */
class ColdRestartTest {
    private val random = Random(11)
    private val chat = modelStream("chat")

    private fun startedFleet(vmsPerRegion: Int = 3): TestFleet =
        TestFleet(vmsPerRegion, enginesPerRegion = 3).apply {
            answerMs = ANSWER_MS
            engines.forEach { it.coldMs = COLD_MS }
            publish(MODEL, chat)
            run(12_000)
            play(2_000)
        }

    /**
     * [CALLS_PER_S] calls a second in each region for [durationMs], each to a random process.
     * Returns those that were refused.
     */
    private fun TestFleet.play(durationMs: Long, each: (Long) -> Unit = {}): List<RequestId> {
        val requests = ArrayList<RequestId>()
        run(durationMs) { sinceMs ->
            each(sinceMs)
            if (sinceMs % (MS_PER_S / CALLS_PER_S) != 0L) return@run
            for (region in REGIONS) {
                val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 100)), 100, 50)
                requests += call(region, random.nextInt(MANY_VMS), chat, prompt)
            }
        }
        return requests.filter { it in refusals }
    }

    /** Crashes the first [count] engines of each region for [downMs]. */
    private fun TestFleet.crashEngines(count: Int, downMs: Long) = REGIONS.forEach { region ->
        engines.filter { it.region == region }.take(count).forEach { crash(it, downMs) }
    }

    /** The most calls that any engine got in one second while it was cold. */
    private fun TestFleet.worstSecond(): Int = engines.maxOf { engine ->
        val timesMs = engine.coldArrivalTimesMs
        timesMs.maxOfOrNull { start -> timesMs.count { it in start until start + MS_PER_S } } ?: 0
    }

    // Guards against processes that take the server that answers after a crash for the one from
    // before, until the store tells of its start.
    @ParameterizedTest
    @ValueSource(longs = [300, 1_200, 4_000])
    fun `a restarted server gets what a cold one takes, before the store tells of it`(
        downMs: Long,
    ) {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.crashEngines(count = 2, downMs)
        val refused = fleet.play(downMs + 6_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
        expectThat(refused).isEmpty()
    }

    // Guards against a fleet so large that each process learns little by itself.
    @ParameterizedTest
    @ValueSource(longs = [300, 1_200, 4_000])
    fun `a restarted server gets no more from twenty processes than from three`(downMs: Long) {
        val fleet = startedFleet(vmsPerRegion = MANY_VMS)
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.crashEngines(count = 3, downMs)
        fleet.play(downMs + 6_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a second crash that is hidden by the first, while the store is silent.
    @Test
    fun `servers that crash twice while the store is silent get what cold ones take`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = 20_000
        fleet.crashEngines(count = 2, downMs = 500)
        fleet.play(4_000)
        fleet.crashEngines(count = 2, downMs = 300)
        fleet.play(6_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against processes that begin anew and know nothing of the crash, or of the calls that
    // they sent before.
    @Test
    fun `processes that restart in series don't flood restarted servers`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.crashEngines(count = 2, downMs = 500)
        fleet.play(6_000) { sinceMs ->
            if (sinceMs % RESTART_INTERVAL_MS == 0L) {
                REGIONS.forEach { fleet.restart(it, (sinceMs / RESTART_INTERVAL_MS).toInt()) }
            }
        }

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a process that divides the limit by the peers that it can reach.
    @Test
    fun `a process that is cut off from its peers uses its share of a cold server only`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        REGIONS.forEach { fleet.isolate(it, 0) }
        fleet.play(3_000)
        fleet.crashEngines(count = 2, downMs = 1_200)
        fleet.play(7_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a process that forgets the peers that it has not heard of for long, and takes
    // their shares as well.
    @Test
    fun `processes that lost each other minutes ago use their shares of a cold server only`() {
        val fleet = startedFleet()
        REGIONS.forEach { fleet.isolate(it, 0) }
        fleet.run(120_000)
        fleet.crashEngines(count = 3, downMs = 1_200)
        fleet.play(7_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against both sides of a split region that choose senders of their own.
    @Test
    fun `twenty processes that were split for minutes use their shares of a cold server only`() {
        val fleet = startedFleet(vmsPerRegion = MANY_VMS)
        repeat(12) { index -> REGIONS.forEach { fleet.isolate(it, index) } }
        fleet.run(120_000)
        fleet.crashEngines(count = 3, downMs = 500)
        fleet.play(6_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a process that starts while it is cut off and knows of no others.
    @Test
    fun `processes that start while cut off don't each take a cold server for their own`() {
        val fleet = startedFleet()
        REGIONS.forEach { region ->
            repeat(3) { fleet.isolate(region, it) }
            repeat(2) { fleet.restart(region, it + 1) }
        }
        fleet.run(2_000)
        fleet.crashEngines(count = 3, downMs = 1_200)
        fleet.play(7_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a restart that no process notices, because none has a call at the server.
    @Test
    fun `servers that restart while no process calls them get what cold ones take`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.run(2_000)
        fleet.crashEngines(count = 3, downMs = 300)
        fleet.run(500)
        fleet.play(5_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against processes that each send a call to find out, more than the server takes.
    @Test
    fun `servers that restart while none of twenty processes calls them are checked first`() {
        val fleet = startedFleet(vmsPerRegion = MANY_VMS)
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.run(2_000)
        fleet.crashEngines(count = 3, downMs = 300)
        fleet.run(500)
        val refused = fleet.play(200)
        fleet.play(5_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
        expectThat(refused.map { fleet.refusalAgesMs.getValue(it) }).all {
            isLessThanOrEqualTo(MAX_CHECK_MS)
        }
    }

    // Guards against a server that is taken for warm because nothing is known of it.
    @ParameterizedTest
    @ValueSource(ints = [3, MANY_VMS])
    fun `a server whose entry comes back from a copy is not taken for warm`(vms: Int) {
        val fleet = startedFleet(vms)
        fleet.storeDelayMs = 20_000
        fleet.engines.forEach { fleet.expireEntry(it) }
        fleet.run(MISSING_MS)
        fleet.crashEngines(count = 3, downMs = 300)
        fleet.run(400)
        fleet.restoreFirstEntries()
        fleet.play(COLD_MS)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a short crash between two calls, of which no peer tells.
    @Test
    fun `processes without peers notice a short crash by their idle connections`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.keepsConnections = true
        fleet.answerMs = 1
        REGIONS.forEach { region -> repeat(3) { fleet.isolate(region, it) } }
        fleet.play(2_000)
        fleet.crashEngines(count = 3, downMs = 200)
        fleet.run(250)
        fleet.play(COLD_MS)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against processes that know nothing but what the store says.
    @ParameterizedTest
    @ValueSource(ints = [3, MANY_VMS])
    fun `processes that all start right after a crash take no server for warm`(vms: Int) {
        val fleet = startedFleet(vms)
        fleet.storeDelayMs = 20_000
        fleet.crashEngines(count = 3, downMs = 300)
        fleet.play(250)
        REGIONS.forEach { region -> repeat(vms) { fleet.restart(region, it) } }
        fleet.play(COLD_MS)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against calls that are refused because a process has just started or met a server.
    @Test
    fun `processes that all start beside warm servers serve their first calls`() {
        val fleet = startedFleet()
        REGIONS.forEach { region -> repeat(3) { fleet.restart(region, it) } }
        val refused = fleet.play(2_000)

        expectThat(refused).isEmpty()
    }

    // Guards against a restart that goes unnoticed while a server that is known to be cold gets no
    // calls.
    @Test
    fun `a server that restarts again while it is cold is known to be cold in its next life`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = 20_000
        fleet.crashEngines(count = 1, downMs = 300)
        fleet.play(2_000)
        fleet.crashEngines(count = 1, downMs = 300)
        fleet.play(1_500)
        fleet.crashEngines(count = 2, downMs = 1_200)
        fleet.play(6_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
    }

    // Guards against a share that is given out once more when a cold state becomes known late.
    @Test
    fun `calls that were sent before a server is known to be cold count against the share`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("m", MODEL))
        repeat(COLD_BOUND) { gateway.call(chat) }
        gateway.publish(2, catalog(chat), server("m", MODEL) { it.copy(coldForMs = 3_000) })
        val (_, commands) = gateway.call(chat)

        expectThat(commands.all<StartSend>()).isEmpty()
    }

    // Guards against a server that stays unused because one of its connections broke.
    @Test
    fun `a server with a broken connection gets calls again once it proves to be warm`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("m", MODEL))
        val first = gateway.call(chat).second.only<StartSend>()
        val lost = SendOutcome.Broken(BreakReason.CONNECTION_LOST)
        val after = gateway.tick(SendEnded(first.send, lost, load = null))
        after.all<CheckHealth>().forEach {
            gateway.tick(HealthChecked(it.server, true, 0, null, askedMs = it.askedMs))
        }
        val sends = List(10) { gateway.call(chat).second.all<StartSend>() }

        expectThat(sends).all { hasSize(1) }
    }

    // Guards against callers that wait for servers that are known to be cold, and against cold
    // servers that get nothing.
    @Test
    fun `when all servers restart, cold ones get their share and the rest is refused at once`() {
        val fleet = startedFleet()
        fleet.storeDelayMs = STORE_DELAY_MS
        fleet.crashEngines(count = 3, downMs = 500)
        val refused = fleet.play(500 + COLD_MS)
        val coldCalls = fleet.engines.map { it.coldArrivalTimesMs.size }
        fleet.play(1_000)
        val refusedLater = fleet.play(4_000)

        expectThat(fleet.worstSecond()).isLessThanOrEqualTo(COLD_BOUND)
        expectThat(coldCalls).all { isGreaterThan(0) }
        expectThat(refused.map { fleet.refusalAgesMs.getValue(it) }.average())
            .isLessThan(MAX_REFUSAL_MS)
        expectThat(refusedLater).isEmpty()
    }

    // Guards against what was learned of a server before it started anew, and is told late.
    @Test
    fun `a limit that a peer observed in the earlier life does not hold for the new one`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("m", MODEL))
        gateway.publish(2, catalog(chat), server("m", MODEL) { it.copy(startedAtUnixMs = 2) })
        val report = LimitReport(server("m").id, perS = 0.1, ageMs = 500)
        gateway.receiveGossip(identity("peer", NORTH)) { it.copy(limits = listOf(report)) }
        val backend = checkNotNull(gateway.world.backends[server("m").id])

        expectThat(backend.life.limit.perS).isNull()
    }

    private companion object {
        val REGIONS: List<RegionId> = listOf(NORTH, SOUTH, EAST)
        const val MANY_VMS = 20
        const val CALLS_PER_S = 40
        const val ANSWER_MS = 300L
        const val COLD_MS = 3_000L
        const val STORE_DELAY_MS = 1_500L
        const val RESTART_INTERVAL_MS = 500L
        const val MS_PER_S = 1_000L
        const val MAX_REFUSAL_MS = 100.0

        /** Calls wait this long for a health check, and for the tick after it. */
        const val MAX_CHECK_MS = 110L

        /** Longer than a server without an entry stays in use. */
        const val MISSING_MS = 3_000L

        /** The platform's rule for the test catalog: 2 a second, half as much again, and three. */
        const val COLD_BOUND = 6
    }
}
