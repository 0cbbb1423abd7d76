package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.RegionId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Tests with a fleet how many calls reach engines that name a limit, from all processes. */
class ServerLimitTest {
    private val random = Random(11)
    private val chat = modelStream("chat")

    /** [perS] calls a second in each region for [durationMs], each to a random process. */
    private fun TestFleet.play(durationMs: Long, perS: Int, each: (Long) -> Unit = {}) =
        run(durationMs) { sinceMs ->
            each(sinceMs)
            if (sinceMs % (MS_PER_S / perS) != 0L) return@run
            for (region in REGIONS) {
                val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 100)), 100, 50)
                call(region, random.nextInt(MANY_VMS), chat, prompt)
            }
        }

    private fun startedFleet(vmsPerRegion: Int = 3): TestFleet =
        TestFleet(vmsPerRegion, enginesPerRegion = 3).apply {
            publish(MODEL, chat)
            run(12_000)
        }

    private fun TestFleet.limit(limitPerS: Double?, enginesPerRegion: Int) {
        for (region in REGIONS) {
            engines.filter { it.region == region }.take(enginesPerRegion)
                .forEach { it.limitPerS = limitPerS }
        }
    }

    /**
     * The most calls above the bound that any engine with a limit got in a window that began at
     * [fromMs] or later.
     */
    private fun TestFleet.worstExcess(limitPerS: Double, fromMs: Long): Double {
        val allowed = limitPerS * OVERAGE * WINDOW_MS / MS_PER_S + SLACK
        val excesses = engines.filter { it.limitPerS != null }.flatMap { engine ->
            val timesMs = engine.arrivalTimesMs.filter { it >= fromMs }
            timesMs.map { start -> timesMs.count { it in start until start + WINDOW_MS } - allowed }
        }
        return excesses.maxOrNull() ?: -allowed
    }

    // Guards against an engine in need that gets several times its limit from a fleet whose
    // processes each take it for their own.
    @Test
    fun `engines at their limit get no more than it from all processes, beside free ones`() {
        val fleet = startedFleet()
        fleet.play(3_000, CALLS_PER_S)
        fleet.limit(LIMIT_PER_S, enginesPerRegion = 2)
        fleet.play(1_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        fleet.play(12_000, CALLS_PER_S)

        expectThat(fleet.worstExcess(LIMIT_PER_S, fromMs)).isLessThanOrEqualTo(0.0)
        expectThat(fleet.refusals).isEmpty()
    }

    // Guards against the same when no engine is free, against callers that wait for what is known
    // not to come, and against engines that get far less than they take.
    @Test
    fun `with all engines at their limit the rest is refused at once with a time to return`() {
        val fleet = startedFleet()
        fleet.play(3_000, CALLS_PER_S)
        fleet.limit(LIMIT_PER_S, enginesPerRegion = 3)
        fleet.play(1_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        val refusedBefore = fleet.refusals.size
        fleet.play(12_000, CALLS_PER_S)
        val served = fleet.engines.sumOf { engine -> engine.arrivalTimesMs.count { it >= fromMs } }

        expectThat(fleet.worstExcess(LIMIT_PER_S, fromMs)).isLessThanOrEqualTo(0.0)
        expectThat(fleet.retryAfterMs.drop(refusedBefore)).all { isNotNull().isGreaterThan(0) }
        expectThat(
            fleet.refusalAgesMs.values.drop(refusedBefore).average(),
        ).isLessThan(MAX_REFUSAL_MS)
        expectThat(served.toDouble() / (fleet.engines.size * LIMIT_PER_S * 12))
            .isGreaterThan(MIN_USED_SHARE)
    }

    // Guards against processes that begin anew with the whole limit or without knowing it.
    @Test
    fun `processes that restart in series keep the limit of the engines`() {
        val fleet = startedFleet()
        fleet.limit(LIMIT_PER_S, enginesPerRegion = 2)
        fleet.play(2_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        fleet.play(12_000, CALLS_PER_S) { sinceMs ->
            if (sinceMs % RESTART_INTERVAL_MS == 0L) {
                REGIONS.forEach { fleet.restart(it, (sinceMs / RESTART_INTERVAL_MS).toInt()) }
            }
        }

        expectThat(fleet.worstExcess(LIMIT_PER_S, fromMs)).isLessThanOrEqualTo(0.0)
    }

    // Guards against a process that is cut off and divides the limit by fewer than there are.
    @Test
    fun `a process that is cut off from its peers uses its share of the limit only`() {
        val fleet = startedFleet()
        fleet.limit(LIMIT_PER_S, enginesPerRegion = 3)
        fleet.play(2_000, CALLS_PER_S)
        REGIONS.forEach { fleet.isolate(it, 0) }
        fleet.play(1_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        fleet.play(15_000, CALLS_PER_S)

        expectThat(fleet.worstExcess(LIMIT_PER_S, fromMs)).isLessThanOrEqualTo(0.0)
    }

    // Guards against many processes that each send one call to an engine that takes fewer.
    @Test
    fun `a limit below one call a second holds for twenty processes a region`() {
        val fleet = startedFleet(vmsPerRegion = MANY_VMS)
        fleet.limit(LOW_LIMIT_PER_S, enginesPerRegion = 2)
        fleet.play(2_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        fleet.play(12_000, CALLS_PER_S)

        expectThat(fleet.worstExcess(LOW_LIMIT_PER_S, fromMs)).isLessThanOrEqualTo(0.0)
    }

    // Guards against a limit that stays in force at some processes after its end, or at its old
    // height.
    @Test
    fun `a limit that falls is kept, and engines whose limit ended get calls again`() {
        val fleet = startedFleet()
        fleet.limit(LIMIT_PER_S * 3, enginesPerRegion = 2)
        fleet.play(4_000, CALLS_PER_S)
        fleet.limit(LIMIT_PER_S, enginesPerRegion = 2)
        fleet.play(2_000, CALLS_PER_S)
        val fromMs = fleet.nowMs
        fleet.play(8_000, CALLS_PER_S)
        val excess = fleet.worstExcess(LIMIT_PER_S, fromMs)
        val limited = fleet.engines.filter { it.limitPerS != null }
        fleet.limit(null, enginesPerRegion = 2)
        fleet.play(3_000, CALLS_PER_S)
        val freeFromMs = fleet.nowMs
        fleet.play(4_000, CALLS_PER_S)
        val least = limited.minOf { engine -> engine.arrivalTimesMs.count { it >= freeFromMs } }

        expectThat(excess).isLessThanOrEqualTo(0.0)
        expectThat(least).isGreaterThan((LIMIT_PER_S * 4 * 2).toInt())
    }

    // Guards against a datagram whose limit is no number, which would end all sends to the server.
    @Test
    fun `a limit that is no number or negative is ignored`() {
        val limit = ServerLimit()
        val values = listOf(Double.NaN, Double.POSITIVE_INFINITY, -1.0)

        expectThat(values.filter { limit.observe(it, 1) }).isEmpty()
        expectThat(limit.perS).isNull()
    }

    private companion object {
        val REGIONS: List<RegionId> = listOf(NORTH, SOUTH, EAST)
        const val MANY_VMS = 20
        const val CALLS_PER_S = 40
        const val LIMIT_PER_S = 3.0
        const val LOW_LIMIT_PER_S = 0.4
        const val RESTART_INTERVAL_MS = 1_000L
        const val MAX_REFUSAL_MS = 100.0
        const val MIN_USED_SHARE = 0.7

        /** The platform's rule: what the limit allows in 4 s, half as much again, and five calls. */
        const val WINDOW_MS = 4_000L
        const val OVERAGE = 1.5
        const val SLACK = 5
        const val MS_PER_S = 1_000L
    }
}
