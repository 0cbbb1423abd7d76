/*
 * Measures all requests while one engine of eight is slowed tenfold and load reports lag behind.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private const val ENTRY_VMS = 4
private const val ENGINES = 8
private const val MAX_FIGURE = 1.5
private const val MIN_BASELINE_FACTOR = 2.0
private const val PROMPT_TOKENS = 100
private const val RATE_PER_SECOND = 50.0
private const val PHASE_MS = 12_000L
private const val SUBSCRIBERS = 40
private const val SLOWDOWN = 10.0
private const val P99 = 99.0

internal class StragglersExperiment :
    DisturbanceExperiment(
        MAX_FIGURE,
        MIN_BASELINE_FACTOR,
        "{route: least-reported-load, hedges: false, outliers: false}",
    ) {
    override val name = "stragglers"
    override val summary = "p99 of all requests with 1 engine of 8 slowed tenfold, relative to none"
    override val target = "at most 1.5; least-reported-load baseline at least 2 times worse"
    override val measure = "p99 total time"
    override val setup = listOf(
        "1 domain, 4 entry VMs, 8 engines of 8 slots, 20 ms a token; reports lag 2 s",
        "$RATE_PER_SECOND req/s (about 45% load), 100 prompt and 20 output tokens, $SUBSCRIBERS " +
            "subscribers; 12 s without, 12 s with one slow engine",
    )

    override fun spec() = clusterSpec {
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineProfile = EngineProfile(decodeMsPerToken = 20.0)
        }
        repeat(SUBSCRIBERS) { subscriber("cafe-$it", listOf("norte")) }
    }

    override fun undisturbedCalls(random: Random) = calls(random, "quiet")

    override fun disturbedCalls(random: Random) = calls(random, "disturbed")

    override fun disturb(cluster: Cluster) {
        cluster.engines.values.first().slowdown = SLOWDOWN
    }

    override fun figureMs(result: LoadResult) = result.kind("all").totalMs(P99)

    private fun calls(random: Random, phase: String) =
        poissonArrivals(random, PHASE_MS, RATE_PER_SECOND).mapIndexed { index, at ->
            val key = "key-cafe-${random.nextInt(SUBSCRIBERS)}"
            Call(at, "all", key, listOf(promptOf("$phase-$index", PROMPT_TOKENS)), maxTokens = 20)
        }
}
