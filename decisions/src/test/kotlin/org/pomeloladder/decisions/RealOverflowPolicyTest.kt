package org.pomeloladder.decisions

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.Region
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

private const val REMOTE_WAIT_MS = 100.0
private const val PROMPT_TOKENS = 10
private const val CHOICES = 1_000
private val AUSTRAL = FailureDomainId("austral-a")

class RealOverflowPolicyTest {
    private val policy = RealOverflowPolicy()

    /** Expected wait of a request in the other region: queue, link and cold cache. */
    private val remoteWaitMs =
        REMOTE_WAIT_MS + CROSS_REGION_ROUND_TRIP_MS + PROMPT_TOKENS * COLD_PREFILL_MS_PER_TOKEN

    @Test
    fun `requests stay below the start ratio, so a small difference keeps using warm caches`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO - 0.1))

        expectThat(test.choose()).isNull()
    }

    @Test
    fun `requests overflow above the start ratio, so a full region sheds its excess`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO + 0.1))

        expectThat(test.choose()).isEqualTo(VmId("centro-1"))
    }

    @Test
    fun `an overflow target remains one between the two ratios, so the choice does not flap`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO - 0.1))
        test.remoteSummary().isOverflowTarget = true

        expectThat(test.choose()).isEqualTo(VmId("centro-1"))
    }

    @Test
    fun `overflow ends below the stop ratio, so a recovered region keeps its own work`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * (OVERFLOW_STOP_RATIO - 0.05))
        test.remoteSummary().isOverflowTarget = true

        expectThat(test.choose()).isNull()
    }

    @Test
    fun `a window forwards at most its allowance, so a burst does not overflow as a whole`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * 3)
        test.remoteSummary().allowance = 3

        val sent = (1..10).count {
            val vm = test.choose()
            if (vm != null) test.world.recordOverflow(checkNotNull(test.world.entryVms[vm]), call())
            vm != null
        }

        expectThat(sent).isEqualTo(3)
    }

    @Test
    fun `the allowance is limited to the excess, so a large idle region does not get the rest`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * 3, queued = 4)

        test.world.resetOverflowAllowances(test.nowMs)

        expectThat(test.remoteSummary().allowance).isEqualTo(4)
    }

    @Test
    fun `the allowance is limited to the free slots, so a busy region is not overloaded`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * 3, queued = 40)
        test.remoteSummary().inFlight = 6

        test.world.resetOverflowAllowances(test.nowMs)

        expectThat(test.remoteSummary().allowance).isEqualTo(2)
    }

    @Test
    fun `the share of a returned region grows slowly, so its cold caches are not overloaded`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * 3, queued = 8)
        val domain = checkNotNull(test.world.domains[CENTRO])
        domain.returnedAtMs = test.nowMs

        val shares = listOf(0L, RETURN_RAMP_MS / 2, RETURN_RAMP_MS).map { after ->
            test.world.resetOverflowAllowances(test.nowMs + after)
            test.remoteSummary().allowance
        }

        expectThat(shares).isEqualTo(listOf(0, 4, 8))
    }

    @Test
    fun `a region without servers prefers warm regions to one that just returned`() {
        val test = testWorld(ownWaitMs = 0.0)
        test.addDomain(AUSTRAL, "austral-1", REMOTE_WAIT_MS * 2)
        val domain = checkNotNull(test.world.domains[CENTRO])
        domain.returnedAtMs = test.nowMs - RETURN_RAMP_MS / 4
        val random = Random(1)

        val toReturned = (1..CHOICES).count {
            test.choose(hasOwnServer = false, random = random) == VmId("centro-1")
        }

        expectThat(toReturned).isGreaterThan(CHOICES / 8).isLessThan(CHOICES / 2)
    }

    @Test
    fun `a region that the subscriber may not use gets nothing, however long the wait is`() {
        val test = testWorld(
            ownWaitMs = remoteWaitMs * 100,
            regions = setOf(RegionId("norte")),
        )

        expectThat(test.choose()).isNull()
        expectThat(test.choose(hasOwnServer = false)).isNull()
    }

    @Test
    fun `an unreachable region gets nothing, so no work is sent into a partition`() {
        val test = testWorld(ownWaitMs = remoteWaitMs * 100)
        checkNotNull(test.world.domains[CENTRO]).isReachable = false

        expectThat(test.choose()).isNull()
        expectThat(test.choose(hasOwnServer = false)).isNull()
    }

    @Test
    fun `a region without servers overflows at once, without hysteresis`() {
        val test = testWorld(ownWaitMs = 0.0)
        test.remoteSummary().allowance = 0

        expectThat(test.choose(hasOwnServer = false)).isNotNull()
    }

    /**
     * Creates a world of region norte with one server and an expected wait of [ownWaitMs], and of
     * region centro with free slots and an expected wait of [REMOTE_WAIT_MS].
     */
    private fun testWorld(
        ownWaitMs: Double,
        queued: Int = 0,
        regions: Set<RegionId> = setOf(RegionId("norte"), RegionId("centro"), RegionId("austral")),
    ): TestWorld {
        val document = testConfiguration(regions).let {
            it.copy(regions = it.regions + (RegionId("austral") to Region(setOf(AUSTRAL))))
        }
        val test = TestWorld(configuration = document)
        val vms = listOf(
            entryVm("norte-1"),
            entryVm("centro-1", CENTRO),
            entryVm("austral-1", AUSTRAL),
        )
        test.list(vms, listOf(server("engine-1")))
        val own = test.world.backends.single()
        own.firstTokenMs = ownWaitMs
        own.queued = queued
        test.addDomain(CENTRO, "centro-1", REMOTE_WAIT_MS)
        return test
    }

    private fun TestWorld.addDomain(id: FailureDomainId, vm: String, waitMs: Double) {
        val domain = world.domains.getOrPut(id) { FailureDomain(id) }
        domain.isReachable = true
        domain.servingVms = setOf(VmId(vm))
        domain.services[CHAT] =
            ServiceSummary(slots = 8, expectedWaitMs = waitMs).apply { allowance = 100 }
    }

    private fun TestWorld.remoteSummary(): ServiceSummary =
        checkNotNull(world.domains[CENTRO]).services.getValue(CHAT)

    private fun TestWorld.choose(hasOwnServer: Boolean = true, random: Random = Random(1)): VmId? {
        val tick = Tick(nowMs, emptyList(), random, journal)
        return policy.choose(world, call(), tick, hasOwnServer)?.id
    }

    private fun call() = Request(request("r1", promptTokens = PROMPT_TOKENS), 0)
}
