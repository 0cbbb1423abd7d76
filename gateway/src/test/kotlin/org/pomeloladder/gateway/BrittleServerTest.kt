package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Engines that fall over when they have to turn away more than a few requests a second. */
class BrittleServerTest {
    private val random = Random(5)
    private val chat = modelStream("chat")

    /** A fleet whose engines run eight calls for 0.6 s each, which is some 13 a second. */
    private fun startedFleet(vmsPerRegion: Int = 3) =
        TestFleet(vmsPerRegion, ENGINES_PER_REGION).apply {
            engineSlots = SLOTS
            answerMs = 600
            engines.forEach { it.places = SLOTS + WAITING_PLACES }
            publish(MODEL, chat)
            run(12_000)
        }

    /** [perS] calls a second in each region, each to a random one of [vms] processes. */
    private fun TestFleet.play(durationMs: Long, perS: Int, vms: Int, each: (Long) -> Unit = {}) {
        var due = 0.0
        run(durationMs) { atMs ->
            each(atMs)
            due += perS * STEP_S
            while (due >= 1) {
                due -= 1
                for (region in listOf(NORTH, SOUTH, EAST)) {
                    val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 50)), 50, 50)
                    call(region, random.nextInt(vms), chat, prompt)
                }
            }
        }
    }

    private fun TestFleet.becomeBrittle() = engines.forEach {
        it.brittlePerS = BRITTLE_PER_S
        it.places = SLOTS + FEWER_WAITING_PLACES
    }

    /** Falls of the engines from [fromMs] on. */
    private fun TestFleet.falls(fromMs: Long) = crashesMs.count { it >= fromMs }

    // Guards against engines that fall over by rejections of a fleet whose processes each send to
    // the last free place (LIMIT).
    @ParameterizedTest
    @ValueSource(ints = [3, 20])
    fun `brittle engines stay up under bursts of twice their capacity`(vmsPerRegion: Int) {
        val fleet = startedFleet(vmsPerRegion)
        fleet.play(2_000, CAPACITY_PER_S / 2, vmsPerRegion)
        fleet.becomeBrittle()
        fleet.play(STABLE_MS, CAPACITY_PER_S / 2, vmsPerRegion)
        val fromMs = fleet.nowMs
        val servedBefore = fleet.firstEventsMs.size
        fleet.play(12_000, CAPACITY_PER_S * 2, vmsPerRegion)
        val served = fleet.firstEventsMs.size - servedBefore

        expectThat(fleet.falls(fromMs)).isLessThanOrEqualTo(MAX_FALLS)
        expectThat(served).isGreaterThan((CAPACITY_PER_S * 3 * 12 * MIN_USED_PART).toInt())
        expectThat(fleet.refusalAgesMs.values.average()).isLessThan(MAX_REFUSAL_MS)
    }

    // Guards against processes that start without knowing that the engines are brittle, or that use
    // more than their share before they know each other.
    @Test
    fun `brittle engines stay up while processes restart in series`() {
        val fleet = startedFleet()
        fleet.becomeBrittle()
        fleet.play(STABLE_MS, CAPACITY_PER_S / 2, vms = 3)
        val fromMs = fleet.nowMs
        fleet.play(12_000, CAPACITY_PER_S * 2, vms = 3) { atMs ->
            if (atMs % 1_000 != 0L) return@play
            listOf(NORTH, SOUTH, EAST).forEach { fleet.restart(it, (atMs / 1_000).toInt()) }
        }

        expectThat(fleet.falls(fromMs)).isLessThanOrEqualTo(MAX_FALLS)
    }

    // Guards against shares that stay in force when the engines are no longer brittle.
    @Test
    fun `engines that are no longer brittle are filled again`() {
        val fleet = startedFleet()
        fleet.becomeBrittle()
        fleet.play(2_000, CAPACITY_PER_S, vms = 3)
        fleet.engines.forEach {
            it.brittlePerS = null
            it.places = SLOTS + WAITING_PLACES
        }
        fleet.play(5_000, CAPACITY_PER_S, vms = 3)
        val mostAtOnce = HashMap<TestEngine, Int>()
        fleet.play(3_000, CAPACITY_PER_S * 2, vms = 3) {
            fleet.engines.forEach { mostAtOnce.merge(it, it.runs.size, ::maxOf) }
        }

        expectThat(mostAtOnce.values.max()).isGreaterThan(SLOTS)
    }

    // Guards against a datagram whose rate is no number.
    @Test
    fun `a rate that is no number or negative is ignored`() {
        val brittleness = Brittleness()
        listOf(Double.NaN, Double.POSITIVE_INFINITY, -1.0).forEach { brittleness.observe(it, 1) }

        expectThat(brittleness.isInForce(1)).isFalse()
        brittleness.observe(0.0, 1)
        expectThat(brittleness.isInForce(1)).isTrue()
    }

    private companion object {
        const val ENGINES_PER_REGION = 4
        const val SLOTS = 8
        const val WAITING_PLACES = 16
        const val FEWER_WAITING_PLACES = 2
        const val BRITTLE_PER_S = 4.0

        /** Calls a second that the engines of a region can run. */
        const val CAPACITY_PER_S = 50
        const val STEP_S = 0.005
        const val STABLE_MS = 6_000L

        /** The platform's rule: two, and a tenth of the engines. */
        const val MAX_FALLS = 3
        const val MIN_USED_PART = 0.6
        const val MAX_REFUSAL_MS = 250.0
    }
}
