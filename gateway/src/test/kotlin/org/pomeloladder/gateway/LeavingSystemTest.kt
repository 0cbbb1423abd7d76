package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.ServiceId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Tests with a fleet and with one process what engines get that say in answers that they leave. */
class LeavingSystemTest {
    private val random = Random(3)
    private val chat = modelStream("chat")

    /** A service without a limit for cold servers, so that no life is doubted. */
    private val look = route("look") {
        kind = RouteKind.STREAMING
        service = SHOP
        timeoutMs = 5_000
        isResumable = true
    }

    private fun startedFleet(route: Route = chat, service: ServiceId = MODEL) =
        TestFleet(vmsPerRegion = 3, enginesPerRegion = 3).apply {
            publish(service, route)
            run(12_000)
        }

    /** 25 calls a second in each region for [durationMs], each to a random process. */
    private fun TestFleet.play(durationMs: Long, route: Route = chat) = run(durationMs) { sinceMs ->
        if (sinceMs % CALL_INTERVAL_MS != 0L) return@run
        for (region in listOf(NORTH, SOUTH, EAST)) {
            val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 100)), 100, 50)
            call(region, random.nextInt(MANY_VMS), route, prompt)
        }
    }

    private fun TestEngine.arrivalsFrom(fromMs: Long) = arrivalTimesMs.count { it >= fromMs }

    // Guards against calls to a server that leaves while the store, silent or not, says that it is
    // ready, and against processes that each have to find out with a call.
    @Test
    fun `a server that says that it leaves gets nothing new from its region`() {
        val fleet = startedFleet()
        val engine = fleet.engines.first()
        fleet.play(2_000)
        engine.isLeaving = true
        fleet.play(1_000)
        val toldMs = fleet.nowMs
        fleet.play(4_000)
        fleet.publish(MODEL, chat)
        fleet.play(4_000)

        expectThat(engine.leavingToldMs.size).isGreaterThan(0)
        expectThat(engine.arrivalsFrom(toldMs)).isEqualTo(0)
        expectThat(fleet.refusals).isEmpty()
    }

    // Guards against a word of leaving that is read from whole answers only.
    @Test
    fun `a server that rejects all calls and leaves gets nothing new`() {
        val fleet = startedFleet()
        fleet.engines.filter { it.region == NORTH }.forEach { it.isLeaving = true }
        fleet.rejectedShare = 0.5
        fleet.play(6_000)
        val fromMs = fleet.nowMs
        fleet.play(4_000)
        val leaving = fleet.engines.filter { it.isLeaving }

        expectThat(leaving.map { it.arrivalsFrom(fromMs) }).all { isEqualTo(0) }
    }

    // Guards against calls that have no other place in their region and are sent on for too long,
    // or are refused although other regions have room.
    @Test
    fun `with all servers of a region leaving, calls go to other regions before the drain ends`() {
        val fleet = startedFleet()
        fleet.play(2_000)
        fleet.engines.filter { it.region == NORTH }.forEach { it.isLeaving = true }
        fleet.play(12_000)
        val late = fleet.engines.flatMap { it.arrivalsAfterLeaving }

        expectThat(late.filter { it.lateMs >= DRAIN_MS }).isEmpty()
        expectThat(fleet.refusals).isEmpty()
    }

    // Guards against a server that gets nothing in its next life, which doesn't leave.
    @Test
    fun `a server that starts again after it left gets calls again`() {
        val fleet = startedFleet()
        val engine = fleet.engines.first()
        engine.isLeaving = true
        fleet.play(3_000)
        fleet.storeDelayMs = 1_000
        fleet.crash(engine, downMs = 1_500)
        fleet.play(5_000)
        val fromMs = fleet.nowMs
        fleet.play(4_000)

        expectThat(engine.arrivalsFrom(fromMs)).isGreaterThan(0)
    }

    // Guards against a late entry that ends what the same life has said of itself.
    @Test
    fun `a server that leaves before the store tells of its start still leaves afterwards`() {
        val fleet = startedFleet(look, SHOP)
        val engine = fleet.engines.first()
        fleet.storeDelayMs = 8_000
        fleet.play(2_000, look)
        fleet.crash(engine, downMs = 1_500)
        fleet.play(4_000, look)
        engine.isLeaving = true
        fleet.play(11_000, look)
        val told = engine.leavingToldMs.size
        val late = engine.arrivalsAfterLeaving.filter { it.lateMs >= DRAIN_MS }

        expectThat(told).isGreaterThan(0)
        expectThat(late).isEmpty()
    }

    // Guards against a process that starts with the entry of the store and sends to a server that
    // its peers know to leave.
    @Test
    fun `a process that starts anew learns from its peers that a server leaves`() {
        val fleet = startedFleet()
        val engine = fleet.engines.first()
        engine.isLeaving = true
        fleet.play(4_000)
        fleet.restart(NORTH, 0)
        fleet.run(2_000)
        val fromMs = fleet.nowMs
        fleet.play(6_000)

        expectThat(engine.arrivalsFrom(fromMs)).isEqualTo(0)
    }

    // Guards against calls that are stopped, or sent a second time, because their server leaves.
    @Test
    fun `a call that runs at a server when it leaves goes on`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("e1", MODEL), server("e2", MODEL))
        val (_, commands) = gateway.call(chat)
        val start = commands.only<StartSend>()
        val leaving = gateway.tick(LeavingAnnounced((start.target as SendTarget.Server).id, 1))
        val later = gateway.tick(AnswerStarted(start.send, null), afterMs = 200)

        expectThat(leaving.all<CloseIdleConnections>()).hasSize(1)
        expectThat((leaving + later).all<StartSend>()).isEmpty()
        expectThat((leaving + later).all<CancelSend>()).isEmpty()
        expectThat(gateway.world.calls.size).isEqualTo(1)
    }

    // Guards against a word of the life before that keeps the next one without calls for good.
    @Test
    fun `a peer's word of an earlier life changes nothing`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("e1", MODEL))
        gateway.publish(
            2,
            catalog(chat),
            server("e1", MODEL) { it.copy(startedAtUnixMs = 2) },
        )
        val backend = gateway.world.backends.single()
        fun tell(startedAtUnixMs: Long, ageMs: Long) {
            val report = LeavingReport(backend.id, startedAtUnixMs, ageMs)
            gateway.receiveGossip(identity("peer", NORTH)) { it.copy(leaving = listOf(report)) }
        }
        tell(startedAtUnixMs = 1, ageMs = 0)
        tell(startedAtUnixMs = 2, ageMs = 5_000)
        val before = backend.life.leavingSinceMs
        gateway.tick(afterMs = 1_000)
        tell(startedAtUnixMs = 2, ageMs = 100)

        expectThat(before).isNull()
        expectThat(backend.life.leavingSinceMs).isNotNull()
            .isLessThan(gateway.nowMs)
    }

    // Guards against an answer of the life before that arrives after its end was noticed.
    @Test
    fun `an answer of an earlier life makes a new one tell`() {
        val gateway = TestGateway()
        gateway.publish(1, catalog(chat), server("e1", MODEL))
        gateway.publish(
            2,
            catalog(chat),
            server("e1", MODEL) { it.copy(startedAtUnixMs = 2) },
        )
        val backend = gateway.world.backends.single()
        val asked = gateway.tick(LeavingAnnounced(backend.id, requestAgeMs = 100))
            .only<CheckHealth>()
        val before = backend.life.leavingSinceMs
        gateway.tick(
            HealthChecked(
                server = backend.id,
                isHealthy = true,
                coldForMs = 0,
                load = null,
                askedMs = asked.askedMs,
                isLeaving = true,
            ),
        )

        expectThat(before).isNull()
        expectThat(backend.life.leavingSinceMs).isNotNull()
    }

    private companion object {
        const val CALL_INTERVAL_MS = 40L
        const val MANY_VMS = 20

        /** As in the bounds of [TestGateway]. */
        const val DRAIN_MS = 4_000L
    }
}
