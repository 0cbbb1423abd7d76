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

private const val OTHER_WAIT_MS = 100.0
private const val PROMPT_TOKENS = 10
private const val CHOICES = 1_000
private val AUSTRAL = FailureDomainId("austral-a")

class RealOverflowPolicyTest {
    private val policy = RealOverflowPolicy()

    /** The wait that a request sees in the other region: queue, link and cold cache. */
    private val remoteWaitMs =
        OTHER_WAIT_MS + CROSS_REGION_ROUND_TRIP_MS + PROMPT_TOKENS * COLD_PREFILL_MS_PER_TOKEN

    @Test
    fun `work stays below the entry ratio, so a small difference does not leave warm caches`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO - 0.1))

        expectThat(test.choose()).isNull()
    }

    @Test
    fun `work leaves above the entry ratio, so a full region does not keep its excess`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO + 0.1))

        expectThat(test.choose()).isEqualTo(VmId("centro-1"))
    }

    @Test
    fun `between the two ratios a target stays a target, so the choice does not flap`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * (OVERFLOW_START_RATIO - 0.1))
        test.remote().isOverflowTarget = true

        expectThat(test.choose()).isEqualTo(VmId("centro-1"))
    }

    @Test
    fun `below the exit ratio work stops leaving, so a recovered region keeps its own work`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * (OVERFLOW_STOP_RATIO - 0.05))
        test.remote().isOverflowTarget = true

        expectThat(test.choose()).isNull()
    }

    @Test
    fun `a window passes on no more than its allowance, so a burst does not all leave`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * 3)
        test.remote().allowance = 3

        val sent = (1..10).count {
            val vm = test.choose()
            if (vm !=
                null
            ) {
                test.world.recordOverflow(checkNotNull(test.world.entryVms[vm]), asked())
            }
            vm != null
        }

        expectThat(sent).isEqualTo(3)
    }

    @Test
    fun `the allowance is the excess at most, so a large idle region does not take the rest`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * 3, queued = 4)

        test.world.resetOverflowAllowances(test.nowMs)

        expectThat(test.remote().allowance).isEqualTo(4)
    }

    @Test
    fun `the allowance is the free slots at most, so a busy region is not overrun`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * 3, queued = 40)
        test.remote().inFlight = 6

        test.world.resetOverflowAllowances(test.nowMs)

        expectThat(test.remote().allowance).isEqualTo(2)
    }

    @Test
    fun `a returned region is given a growing share, so its cold caches are not flooded`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * 3, queued = 8)
        val domain = checkNotNull(test.world.domains[CENTRO])
        domain.returnedAtMs = test.nowMs

        val shares = listOf(0L, RETURN_RAMP_MS / 2, RETURN_RAMP_MS).map { after ->
            test.world.resetOverflowAllowances(test.nowMs + after)
            test.remote().allowance
        }

        expectThat(shares).isEqualTo(listOf(0, 4, 8))
    }

    @Test
    fun `a region without servers prefers warm regions to one that just returned`() {
        val test = overflowing(ownWaitMs = 0.0)
        test.addDomain(AUSTRAL, "austral-1", OTHER_WAIT_MS * 2)
        val domain = checkNotNull(test.world.domains[CENTRO])
        domain.returnedAtMs = test.nowMs - RETURN_RAMP_MS / 4
        val random = Random(1)

        val toReturned = (1..CHOICES).count {
            test.choose(hasOwnServer = false, random = random) == VmId("centro-1")
        }

        expectThat(toReturned).isGreaterThan(CHOICES / 8).isLessThan(CHOICES / 2)
    }

    @Test
    fun `a region that the subscriber may not use takes nothing, however long the wait is`() {
        val test = overflowing(
            ownWaitMs = remoteWaitMs * 100,
            regions = setOf(RegionId("norte")),
        )

        expectThat(test.choose()).isNull()
        expectThat(test.choose(hasOwnServer = false)).isNull()
    }

    @Test
    fun `an unreachable region takes nothing, so no work is sent into a partition`() {
        val test = overflowing(ownWaitMs = remoteWaitMs * 100)
        checkNotNull(test.world.domains[CENTRO]).isReachable = false

        expectThat(test.choose()).isNull()
        expectThat(test.choose(hasOwnServer = false)).isNull()
    }

    @Test
    fun `a region without own servers sends its work on at once, without hysteresis`() {
        val test = overflowing(ownWaitMs = 0.0)
        test.remote().allowance = 0

        expectThat(test.choose(hasOwnServer = false)).isNotNull()
    }

    /** Norte with one server whose queue takes [ownWaitMs], beside an idle server in centro. */
    private fun overflowing(
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
        test.addDomain(CENTRO, "centro-1", OTHER_WAIT_MS)
        return test
    }

    private fun TestWorld.addDomain(id: FailureDomainId, vm: String, waitMs: Double) {
        val domain = world.domains.getOrPut(id) { FailureDomain(id) }
        domain.isReachable = true
        domain.servingVms = setOf(VmId(vm))
        domain.services[CHAT] =
            ServiceSummary(slots = 8, expectedWaitMs = waitMs).apply { allowance = 100 }
    }

    private fun TestWorld.remote(): ServiceSummary =
        checkNotNull(world.domains[CENTRO]).services.getValue(CHAT)

    private fun TestWorld.choose(hasOwnServer: Boolean = true, random: Random = Random(1)): VmId? {
        val tick = Tick(nowMs, emptyList(), random, journal)
        return policy.choose(world, asked(), tick, hasOwnServer)?.id
    }

    private fun asked() = Request(request("r1", promptTokens = PROMPT_TOKENS), 0)
}
