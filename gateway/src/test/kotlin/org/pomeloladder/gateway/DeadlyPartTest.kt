package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Tests with a fleet what happens when one prompt part crashes each engine that answers it. */
class DeadlyPartTest {
    private val fleet = TestFleet(vmsPerRegion = 3, enginesPerRegion = 5)
    private val random = Random(7)
    private val soundRequests = ArrayList<Pair<Long, RequestId>>()
    private val brief = modelStream("brief")

    private fun prompt(document: PartId): Prompt {
        val prefix = PartId(1L + random.nextInt(PREFIXES))
        // A deadly part stands beside one that sound calls use as well.
        val shared = if (document == DEADLY) listOf(SHARED_DOCUMENT, DEADLY) else listOf(document)
        val parts = (listOf(prefix) + shared + PartId(random.nextLong())).map {
            PromptPart(it, 800)
        }
        return Prompt(parts, promptTokens = parts.size * 800, outputTokens = 50)
    }

    private fun send(document: PartId): RequestId {
        val region = listOf(NORTH, SOUTH, EAST)[random.nextInt(3)]
        return send(region, document)
    }

    private fun send(region: RegionId, document: PartId) =
        fleet.call(region, random.nextInt(3), brief, prompt(document))

    private fun sendSound(): RequestId = send(
        PartId(
            SHARED_DOCUMENT.value + random.nextInt(DOCUMENTS),
        ),
    )

    /** Plays [durationMs] of traffic, of which one call in [deadlyOneIn] has the deadly part. */
    private fun play(durationMs: Long, deadlyOneIn: Int) {
        val repeated = HashSet<RequestId>()
        val deadly = HashSet<RequestId>()
        // Callers try again once after a failure.
        fleet.onRefused = { if (it in deadly && repeated.add(it)) repeated += send(DEADLY) }
        fleet.run(durationMs) { sinceMs ->
            if (sinceMs % CALL_INTERVAL_MS != 0L) return@run
            if (random.nextInt(deadlyOneIn) == 0) {
                deadly += send(DEADLY)
            } else {
                soundRequests += sinceMs to sendSound()
            }
        }
    }

    private fun start() {
        fleet.publish(MODEL, brief)
        fleet.run(3_000)
        fleet.deadlyPart = DEADLY
        play(4_000, deadlyOneIn = Int.MAX_VALUE)
        soundRequests.clear()
    }

    // Guards against requests of one kind that crash one engine after the other (BUDGET).
    @ParameterizedTest
    @EnumSource(CrashPoint::class)
    fun `a part that crashes engines reaches at most three more once all processes can know`(
        crashPoint: CrashPoint,
    ) {
        fleet.crashPoint = crashPoint
        start()
        play(25_000, deadlyOneIn = 20)

        expectThat(fleet.crashesMs.size).isGreaterThan(1)
        val knownAtMs = fleet.crashesMs.getOrNull(4)?.plus(HEARD_MS) ?: Long.MAX_VALUE
        val later = fleet.deadlyArrivalsMs.count { it > knownAtMs }
        expectThat(later).isLessThanOrEqualTo(3)
        expectThat(fleet.crashesMs.size).isLessThanOrEqualTo(10)
    }

    // Guards against sound requests that fail with the engines that a deadly part crashes, or that
    // are refused because they share other parts with it (LOST).
    @ParameterizedTest
    @EnumSource(CrashPoint::class)
    fun `sound calls with the same first part are served while deadly ones still come`(
        crashPoint: CrashPoint,
    ) {
        fleet.crashPoint = crashPoint
        start()
        play(25_000, deadlyOneIn = 20)

        val late = soundRequests.filter { it.first > 12_000 }
        val failed = late.count { it.second in fleet.refusals }
        expectThat(late.size).isGreaterThanOrEqualTo(400)
        expectThat(failed.toDouble() / late.size).isLessThanOrEqualTo(0.02)
    }

    // Guards against sound parts that are refused because engines crash for other reasons: one by
    // one, or all of a region at the same moment.
    @Test
    fun `crashes of other causes quarantine no part`() {
        fleet.answerMs = 400
        start()
        repeat(20) { round ->
            play(1_000, deadlyOneIn = Int.MAX_VALUE)
            val region = listOf(NORTH, SOUTH, EAST)[round % 3]
            val engines = fleet.upEngines().filter { it.region == region }
            (if (round % 5 == 4) engines else engines.take(1)).forEach(fleet::crash)
        }
        play(4_000, deadlyOneIn = Int.MAX_VALUE)

        expectThat(fleet.crashesMs.size).isGreaterThan(20)
        expectThat(fleet.refusals.values).doesNotContain(CallRefusal.QUARANTINED)
        expectThat(fleet.quarantinedParts()).isEmpty()
    }

    // Guards against a part that stays refused although the engines are mended, and against a test
    // of it at every process.
    @Test
    fun `a part is tested a few times and released once engines are mended`() {
        start()
        play(10_000, deadlyOneIn = 20)
        val crashes = fleet.crashesMs.size
        play(200_000, deadlyOneIn = 20)
        val tests = fleet.crashesMs.size - crashes
        fleet.deadlyPart = null
        play(260_000, deadlyOneIn = 20)
        fleet.refusals.clear()
        play(5_000, deadlyOneIn = 20)

        expectThat(tests).isEqualTo(2)
        expectThat(fleet.refusals.values.count { it == CallRefusal.QUARANTINED }).isEqualTo(0)
    }

    // Guards against losing the evidence when the VMs of a region cannot hear the others.
    @Test
    fun `a region that is cut off finds the part by itself`() {
        start()
        fleet.isolate(NORTH)
        play(25_000, deadlyOneIn = 20)

        expectThat(fleet.crashesMs.size).isLessThanOrEqualTo(10)
    }

    private companion object {
        val DEADLY = PartId(0xdead)
        val SHARED_DOCUMENT = PartId(100)
        const val PREFIXES = 4
        const val DOCUMENTS = 60
        const val CALL_INTERVAL_MS = 25L

        /** Time after the fifth crash by which every process must act on it. */
        const val HEARD_MS = 6_000L
    }
}
