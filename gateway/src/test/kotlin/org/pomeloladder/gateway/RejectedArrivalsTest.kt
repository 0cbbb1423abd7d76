package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Tests with a fleet how often engines that reject calls receive the same call again. */
class RejectedArrivalsTest {
    private val fleet = TestFleet(vmsPerRegion = 3, enginesPerRegion = 5)
    private val bounds = TestGateway().world.bounds
    private val random = Random(11)
    private val chat = route("chat") {
        kind = RouteKind.STREAMING
        service = MODEL
        timeoutMs = 5_000
        // Calls of the third region are always relayed.
        homes = setOf(NORTH, SOUTH)
    }

    private fun play(durationMs: Long) = fleet.run(durationMs) { sinceMs ->
        if (sinceMs % CALL_INTERVAL_MS != 0L) return@run
        val region = listOf(NORTH, SOUTH, EAST)[random.nextInt(3)]
        val prompt = Prompt(listOf(PromptPart(PartId(random.nextLong()), 100)), 100, 50)
        fleet.call(region, random.nextInt(3), chat, prompt)
    }

    /** The most arrivals above the bound in any window; negative when all windows keep it. */
    private fun worstExcess(): Double {
        val extraTimesMs = fleet.arrivalTimesMs.values.flatMap { it.drop(1) }
        return extraTimesMs.maxOf { fromMs ->
            val window = fromMs until fromMs + bounds.retryWindowMs
            val requests = fleet.requestTimesMs.count { it in window }
            val allowed = bounds.retryRatio * requests + bounds.retrySlack
            extraTimesMs.count { it in window } - allowed
        }
    }

    // Guards against arrivals that no process counts, because a peer whose servers rejected a
    // relayed call refuses it as if it had sent it to no server (BUDGET).
    @Test
    fun `calls that servers of several regions reject stay within the retry budget`() {
        fleet.publish(MODEL, chat)
        fleet.run(15_000)
        play(10_000)
        fleet.rejectedShare = 0.6
        play(15_000)
        fleet.rejectedShare = 0.0
        play(10_000)

        expectThat(fleet.arrivalTimesMs.values.count { it.size > 1 }).isGreaterThan(100)
        expectThat(worstExcess()).isLessThanOrEqualTo(0.0)
    }

    private companion object {
        const val CALL_INTERVAL_MS = 10L
    }
}
