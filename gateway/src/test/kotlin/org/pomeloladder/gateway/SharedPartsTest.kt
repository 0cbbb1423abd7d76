package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.RegionId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Tests which engines process the shared parts of long prompts, with a fleet in three regions. */
class SharedPartsTest {
    private val fleet = TestFleet(vmsPerRegion = 4, enginesPerRegion = 8)
    private val random = Random(5)
    private val brief = modelStream("brief")

    private fun prompt(document: Int) = Prompt(
        parts = listOf(
            PromptPart(PartId(1L + document % PREFIXES), 2_500),
            PromptPart(PartId(100L + document), 3_800),
            PromptPart(PartId(random.nextLong()), 2_900),
        ),
        promptTokens = 9_200,
        outputTokens = 50,
    )

    private fun send(region: RegionId) =
        fleet.call(region, random.nextInt(4), brief, prompt(random.nextInt(DOCUMENTS)))

    private fun start() {
        fleet.publish(MODEL, brief)
        fleet.run(3_000)
    }

    private fun readersOf(document: Int) =
        fleet.engines.filter { PartId(100L + document) in it.readParts }

    // Guards against many engines of every region processing the same shared parts, which then
    // evict each other from their caches.
    @Test
    fun `a shared part is processed by at most two engines of the whole fleet`() {
        start()
        fleet.run(8_000) { if (it % 20 == 0L) listOf(NORTH, SOUTH, EAST).forEach(::send) }

        expectThat((0 until DOCUMENTS).filter { readersOf(it).size > 2 }).isEmpty()
    }

    // Guards against a region that processes all long prompts of its peak while engines of other
    // regions are idle.
    @Test
    fun `the long prompts of a peak in one region are spread over all regions`() {
        start()
        fleet.run(6_000) {
            send(NORTH)
            if (it % 20 == 0L) send(NORTH)
        }
        val total = fleet.engines.sumOf { it.readTokens }
        val here = fleet.engines.filter { it.region == NORTH }.sumOf { it.readTokens }
        val late = fleet.firstEventsMs.count { it > OBJECTIVE_MS }

        expectThat(here.toDouble() / total).isLessThan(0.6)
        expectThat(fleet.firstEventsMs.size).isGreaterThan(1_000)
        expectThat(late.toDouble() / fleet.firstEventsMs.size).isLessThan(0.05)
    }

    // Guards against choosing engines that cannot be reached.
    @Test
    fun `a region that is cut off processes long prompts at its own engines`() {
        start()
        fleet.isolate(NORTH)
        fleet.run(4_000)
        fleet.run(2_000) { if (it % 50 == 0L) send(NORTH) }
        fleet.run(1_000)

        expectThat(fleet.firstEventsMs.size).isGreaterThan(39)
    }

    private companion object {
        const val PREFIXES = 4
        const val DOCUMENTS = 60
        const val OBJECTIVE_MS = 1_000L
    }
}
