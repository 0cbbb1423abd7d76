package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

/** VMs that lose all engines while callers and other VMs still reach them. */
class StrandedVmTest {
    private val fleet = TestFleet(VMS_PER_REGION, enginesPerRegion = 4).apply {
        answerMs = 300
        keepsConnections = true
    }
    private val random = Random(7)
    private val calls = ArrayList<Triple<RegionId, Int, RequestId>>()
    private val brief = modelStream("brief")

    /** A call of an urgent route that may run once only. */
    private val chat = route("chat") {
        kind = RouteKind.STREAMING
        service = MODEL
        timeoutMs = 5_000
        priority = 0
    }

    private fun start() {
        fleet.publish(MODEL, brief, chat)
        fleet.run(12_000)
    }

    private fun play(durationMs: Long, each: (Long) -> Unit = {}) = fleet.run(durationMs) { atMs ->
        each(atMs)
        if (atMs % CALL_INTERVAL_MS != 0L) return@run
        for (region in REGIONS) {
            val vm = random.nextInt(VMS_PER_REGION)
            val route = if (random.nextBoolean()) brief else chat
            val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 300)), 300, 50)
            calls += Triple(region, vm, fleet.call(region, vm, route, prompt))
        }
    }

    /** Share of the calls that began to be answered, of those from index [from] on that [select]. */
    private fun servedShare(from: Int, select: (RegionId, Int) -> Boolean): Double {
        val chosen = calls.drop(from).filter { (region, vm) -> select(region, vm) }
        return chosen.count { fleet.streams.lastEvent(it.third) != null } / chosen.size.toDouble()
    }

    // Guards against a VM without a path to the engines that rejects its callers, or sends them to
    // other VMs without one, although its neighbours serve theirs.
    @ParameterizedTest
    @EnumSource
    fun `callers of VMs without a path to the engines are served as often as others`(
        cut: EngineCut,
    ) {
        start()
        play(2_000)
        for (region in REGIONS) {
            for (vm in STRANDED) fleet.cutFromEngines(region, vm, cut)
        }
        play(STABLE_MS)
        val from = calls.size
        play(6_000)
        fleet.run(1_000)

        expectThat(servedShare(from) { _, vm -> vm in STRANDED }).isGreaterThanOrEqualTo(MIN_SHARE)
        expectThat(servedShare(from) { _, vm -> vm !in STRANDED })
            .isGreaterThanOrEqualTo(MIN_SHARE)
    }

    // Guards against relays to VMs that cannot reach the engines of their region either.
    @ParameterizedTest
    @EnumSource
    fun `callers of a region whose VMs all lost their engines are served elsewhere`(
        cut: EngineCut,
    ) {
        start()
        play(2_000)
        for (vm in 0 until VMS_PER_REGION) fleet.cutFromEngines(NORTH, vm, cut)
        fleet.cutFromEngines(SOUTH, 0, cut)
        play(STABLE_MS)
        val from = calls.size
        play(6_000)
        fleet.run(1_000)

        expectThat(servedShare(from) { region, _ -> region == NORTH })
            .isGreaterThanOrEqualTo(MIN_SHARE)
        expectThat(servedShare(from) { region, _ -> region != NORTH })
            .isGreaterThanOrEqualTo(MIN_SHARE)
    }

    // Guards against a VM whose cut refuses connections and that accuses sound engines of a restart,
    // so that its neighbours send them no more than cold ones get.
    @Test
    fun `neighbours of a VM whose connections are refused keep using all engines`() {
        start()
        play(2_000)
        fleet.cutFromEngines(NORTH, 0, EngineCut.REFUSED)
        play(STABLE_MS)
        val from = calls.size
        play(6_000)
        fleet.run(1_000)
        val requests = calls.drop(from).map { it.third }

        expectThat(fleet.refusals.keys.intersect(requests.toSet())).isEmpty()
    }

    // Guards against a VM that stays without engines after its path is back, and against a burst to
    // engines that it takes for cold or that others load already.
    @Test
    fun `a VM uses its engines again soon after its path is back`() {
        start()
        play(2_000)
        REGIONS.forEach { fleet.cutFromEngines(it, 0, EngineCut.SILENT) }
        play(STABLE_MS)
        fleet.reconnectToEngines()
        play(1_500)
        val relaysBefore = fleet.relays
        val from = calls.size
        play(3_000)
        fleet.run(1_000)

        expectThat(fleet.relays - relaysBefore).isLessThan(3)
        expectThat(servedShare(from) { _, vm -> vm == 0 }).isGreaterThan(MIN_SHARE)
    }

    // Guards against a cut that comes and goes each second and takes the VM's callers along.
    @Test
    fun `callers are served while a path comes and goes each second`() {
        start()
        play(2_000)
        val from = calls.size
        play(10_000) { atMs ->
            when (atMs % 2_000) {
                0L -> REGIONS.forEach { fleet.cutFromEngines(it, 0, EngineCut.REFUSED) }
                1_000L -> fleet.reconnectToEngines()
            }
        }
        fleet.run(1_000)

        expectThat(servedShare(from) { _, vm -> vm != 0 }).isGreaterThanOrEqualTo(MIN_SHARE)
        expectThat(servedShare(from) { _, vm -> vm == 0 })
            .isGreaterThanOrEqualTo(MIN_FLAPPING_SHARE)
    }

    private companion object {
        val REGIONS = listOf(NORTH, SOUTH, EAST)
        const val VMS_PER_REGION = 3

        /** Two of three VMs of each region, more than half of the fleet. */
        val STRANDED = 0..1

        /** The platform's time until bounds hold. */
        const val STABLE_MS = 6_000L
        const val CALL_INTERVAL_MS = 20L
        const val MIN_SHARE = 0.98

        /** The calls under way when a connection ends are lost if they may run once only. */
        const val MIN_FLAPPING_SHARE = 0.9
    }
}
