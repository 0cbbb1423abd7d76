/*
 * Measures the time to first token of short questions while a tenth of the calls have long prompts.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private const val ENTRY_VMS = 4
private const val ENGINES = 4
private const val MAX_FIGURE = 1.5
private const val MIN_BASELINE_FACTOR = 3.0
private const val LONG_TOKENS = 4_000
private const val SHORT_TOKENS = 60
private const val SHORT_PER_SECOND = 27.0
private const val LONG_PER_SECOND = 3.0
private const val PHASE_MS = 12_000L
private const val SUBSCRIBERS = 20
private const val P95 = 95.0

internal class ShortBehindLongExperiment :
    DisturbanceExperiment(
        MAX_FIGURE,
        MIN_BASELINE_FACTOR,
        "{queue: first-come, hedges: false, outliers: false}",
    ) {
    override val name = "short-behind-long"
    override val summary =
        "short questions' p95 first token at about 80% load with 10% long manuals, versus none"
    override val target = "at most 1.5; baseline at least 3 times worse"
    override val measure = "short p95 first token"
    override val setup = listOf(
        "1 domain, 4 entry VMs, 4 engines of 8 slots, 20 ms a token, 10 prompt tokens/ms",
        "short: $SHORT_PER_SECOND req/s, 60 prompt and 10 output tokens; long: $LONG_PER_SECOND " +
            "req/s, 4000 prompt and 150 output tokens; the run without has the short ones only",
        "estimated load with: 80% of all slots; 12 s each; $SUBSCRIBERS subscribers",
    )

    override fun spec() = clusterSpec {
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineProfile = EngineProfile(decodeMsPerToken = 20.0, prefillTokensPerMs = 10.0)
        }
        repeat(SUBSCRIBERS) { subscriber("counter-$it", listOf("norte")) }
    }

    override fun undisturbedCalls(random: Random) = shortCalls(random, "quiet")

    override fun disturbedCalls(random: Random): List<Call> {
        val short = shortCalls(random, "disturbed")
        val long = poissonArrivals(random, PHASE_MS, LONG_PER_SECOND).mapIndexed { index, at ->
            Call(
                at,
                "long",
                key(random),
                listOf(promptOf("manual-$index", LONG_TOKENS)),
                maxTokens = 150,
            )
        }
        return short + long
    }

    override fun figureMs(result: LoadResult) = result.kind("short").firstTokenMs(P95)

    private fun shortCalls(random: Random, phase: String) =
        poissonArrivals(random, PHASE_MS, SHORT_PER_SECOND).mapIndexed { index, at ->
            Call(
                at,
                "short",
                key(random),
                listOf(promptOf("$phase-$index", SHORT_TOKENS)),
                maxTokens = 10,
            )
        }

    private fun key(random: Random) = "key-counter-${random.nextInt(SUBSCRIBERS)}"
}
