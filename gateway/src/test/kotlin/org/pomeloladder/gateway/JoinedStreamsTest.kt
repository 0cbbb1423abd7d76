package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEmpty

/**
 * Streams that break off while two versions of a back end are in service, and callers that take them
 * up at once at other VMs.
 */
class JoinedStreamsTest {
    private val fleet = TestFleet(vmsPerRegion = 3, enginesPerRegion = 4).apply { answerMs = 600 }
    private val brief = modelStream("brief")
    private var calls = 0L

    private fun prompt() =
        Prompt(listOf(PromptPart(PartId(1), 300), PromptPart(PartId(100 + calls), 900)), 1_200, 50)

    private fun call(region: RegionId) = fleet.call(region, (calls++ % 3).toInt(), brief, prompt())

    /** Takes up every stream that has broken off, [delayMs] later, at a VM of [region] or its own. */
    private inner class Returning(private val delayMs: Long = 40) {
        private val seen = HashSet<RequestId>()
        private val due = ArrayList<Pair<Long, RequestId>>()
        val takeUps = ArrayList<RequestId>()

        fun step() {
            for (request in fleet.streams.brokenOff.toList()) {
                if (seen.add(request)) due += fleet.nowMs + delayMs to request
            }
            due.filter { it.first <= fleet.nowMs }.forEach { (_, request) ->
                val region = REGIONS[(takeUps.size) % REGIONS.size]
                val origin = fleet.streams.origin(request)
                takeUps += fleet.call(region, takeUps.size, brief, prompt(), resumes = origin)
            }
            due.removeIf { it.first <= fleet.nowMs }
        }
    }

    private fun release(engines: List<TestEngine>, version: String) {
        for (engine in engines) {
            fleet.remove(engine)
            engine.version = SoftwareVersion(version)
            engine.starts++
            fleet.add(engine)
        }
    }

    /** Half of the engines of each region. */
    private fun half() = fleet.engines.filterIndexed { index, _ -> index % 2 == 0 }

    private fun start() {
        fleet.publish(MODEL, brief)
        fleet.run(12_000)
    }

    /** Calls for [durationMs], with [returning] callers. */
    private fun play(durationMs: Long, returning: Returning, each: (Long) -> Unit = {}) =
        fleet.run(durationMs) {
            if (it % 20 == 0L) REGIONS.forEach(::call)
            returning.step()
            each(it)
        }

    // Guards against a second run at another version after a server has crashed in the middle of a
    // stream, at the same VM or behind a relay.
    @Test
    fun `a stream that breaks off at its server goes on at its version only`() {
        start()
        release(half(), "v2")
        val returning = Returning()
        play(4_000, returning) { if (it % 500 == 0L) fleet.crash(fleet.upEngines().random(RANDOM)) }

        expectThat(fleet.streams.joined()).isEmpty()
        expectThat(fleet.crashesMs.size).isGreaterThan(4)
    }

    /** VMs that lose power between the first event and the take-up. */
    enum class Kill { ONE_IN_THREE, ALL }

    // Guards against a caller that takes up its stream at a VM which does not know its version.
    @ParameterizedTest
    @EnumSource
    fun `a stream that is taken up at another VM goes on at its version only`(kill: Kill) {
        start()
        release(half(), "v2")
        val returning = Returning()
        play(4_000, returning) { atMs ->
            if (atMs != 2_000L) return@play
            if (kill == Kill.ALL) fleet.restartAll() else REGIONS.forEach { fleet.restart(it, 0) }
        }

        expectThat(fleet.streams.joined()).isEmpty()
        expectThat(returning.takeUps.size).isGreaterThan(5)
    }

    // Guards against take-ups that are rejected although other VMs know their version.
    @Test
    fun `most streams go on when a third of the VMs is killed`() {
        start()
        release(half(), "v2")
        val returning = Returning()
        play(4_000, returning) { atMs ->
            if (atMs % 1_000 == 0L) REGIONS.forEach { fleet.restart(it, (atMs / 1_000).toInt()) }
        }
        fleet.run(1_000)
        val share = fleet.streams.continued.size.toDouble() / returning.takeUps.size

        expectThat(returning.takeUps.size).isGreaterThan(20)
        expectThat(share).isGreaterThanOrEqualTo(0.9)
        expectThat(fleet.streams.joined()).isEmpty()
    }

    // Guards against taking the only version in service for the one that began a stream: the servers
    // of that one may have left a moment ago.
    @Test
    fun `a stream of a version that has just left is not continued by the next one`() {
        start()
        val returning = Returning()
        play(1_000, returning)
        release(fleet.engines, "v2")
        fleet.restartAll()
        play(3_000, returning)

        expectThat(fleet.streams.joined()).isEmpty()
        expectThat(returning.takeUps.size).isGreaterThan(5)
    }

    // Guards against a rejection of every take-up after a kill of all VMs on a day without a release.
    @Test
    fun `streams go on while a single version is in service`() {
        start()
        val returning = Returning()
        play(4_000, returning) { atMs ->
            if (atMs % 1_000 == 0L) REGIONS.forEach { fleet.restart(it, (atMs / 1_000).toInt()) }
        }
        fleet.run(1_000)
        val share = fleet.streams.continued.size.toDouble() / returning.takeUps.size

        expectThat(returning.takeUps.size).isGreaterThan(20)
        expectThat(share).isGreaterThanOrEqualTo(0.9)
    }

    // Guards against the version of an earlier life: a server that starts again under its id may run
    // another one, and the store tells of it late.
    @Test
    fun `a stream does not go on at a server that has started again with another version`() {
        start()
        release(half(), "v2")
        fleet.storeDelayMs = 1_500
        val returning = Returning()
        fleet.engines.forEach { engine ->
            val other = if (engine.version == SoftwareVersion("v1")) "v2" else "v1"
            engine.nextVersion = SoftwareVersion(other)
        }
        play(6_000, returning) { atMs ->
            if (atMs % 400 == 0L) fleet.crash(fleet.upEngines().random(RANDOM), downMs = 200)
        }

        expectThat(fleet.streams.joined()).isEmpty()
    }

    /** What a VM that is out of step still hears from. */
    enum class OutOfStep { NOBODY, REGION_WITHOUT_STORE }

    // Guards against a VM that did not hear of a second version, since it was cut off while that one
    // joined, and vouches for the first (ORDER).
    @ParameterizedTest
    @EnumSource
    fun `a VM out of step does not go on with the streams of a version that joined`(
        outOfStep: OutOfStep,
    ) {
        start()
        if (outOfStep == OutOfStep.NOBODY) fleet.isolate(SOUTH, 0) else fleet.isolate(SOUTH)
        (0..2).forEach { fleet.cutFromStore(SOUTH, it) }
        fleet.engines.filter { it.region != SOUTH }.let { release(it, "v2") }
        fleet.run(1_000)
        val begun = List(10) { call(NORTH) }
        fleet.run(400)
        fleet.upEngines().filter { it.region != SOUTH }.forEach { fleet.crash(it) }
        fleet.run(40)
        val broken = begun.filter { it in fleet.streams.brokenOff }
        broken.forEach { fleet.call(SOUTH, 0, brief, prompt(), resumes = it) }
        fleet.run(1_000)

        expectThat(broken).isNotEmpty()
        expectThat(fleet.streams.joined()).isEmpty()
    }

    // Guards against take-ups that all regions reject because one of them is lost.
    @Test
    fun `streams go on while a region is lost and a single version is in service`() {
        start()
        fleet.isolate(EAST)
        fleet.run(500)
        val begun = List(10) { call(NORTH) }
        fleet.run(400)
        fleet.upEngines().filter { it.region == NORTH }.take(3).forEach { fleet.crash(it) }
        fleet.run(40)
        val broken = begun.filter { it in fleet.streams.brokenOff }
        broken.forEach { fleet.call(SOUTH, 0, brief, prompt(), resumes = it) }
        fleet.run(1_000)

        expectThat(broken).isNotEmpty()
        expectThat(fleet.streams.continued.size).isEqualTo(broken.size)
    }

    // Guards against a VM that knows of a stream without its version, and believes others that know
    // nothing of it.
    @Test
    fun `a stream whose version its own VM could not tell is not continued`() {
        start()
        val request = RequestId("begun-in-doubt")
        fleet.knowWithoutVersion(NORTH, 0, StreamOrigin(request, MODEL, version = null))
        val begun = call(NORTH)
        fleet.run(100)
        val takeUp = fleet.call(NORTH, 0, brief, prompt(), resumes = begun, named = request)
        fleet.run(600)

        expectThat(fleet.refusals[takeUp]).isEqualTo(CallRefusal.VERSION_UNKNOWN)
    }

    // Guards against rejections that wait for the deadline of their callers.
    @Test
    fun `a take-up of an unknown stream is rejected at once`() {
        start()
        release(half(), "v2")
        fleet.run(200)
        val unknown = call(NORTH)
        val takeUp = fleet.call(NORTH, 1, brief, prompt(), resumes = unknown)
        fleet.run(400)

        expectThat(fleet.refusals[takeUp]).isEqualTo(CallRefusal.VERSION_UNKNOWN)
        expectThat(fleet.arrivalTimesMs[takeUp]).isEqualTo(null)
    }

    private companion object {
        val REGIONS = listOf(NORTH, SOUTH, EAST)
        val RANDOM = kotlin.random.Random(3)
    }
}
