/*
 * Measures light subscribers' time to first token while one subscriber sends 20 times its fair
 * share.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private const val ENTRY_VMS = 4
private const val ENGINES = 4
private const val MAX_FIGURE = 1.2
private const val MIN_BASELINE_FACTOR = 3.0
private const val PROMPT_TOKENS = 100
private const val LIGHT_SUBSCRIBERS = 20
private const val LIGHT_PER_SECOND = 24.0

/** 20 times the fair share of about 56 requests/s among 21 subscribers. */
private const val HEAVY_PER_SECOND = 53.0
private const val UNDISTURBED_MS = 10_000L
private const val DISTURBED_MS = 12_000L
private const val P95 = 95.0

internal class HeavyUserExperiment :
    DisturbanceExperiment(
        MAX_FIGURE,
        MIN_BASELINE_FACTOR,
        "{queue: first-come, hedges: false, outliers: false}",
    ) {
    override val name = "heavy-user"
    override val summary =
        "light subscribers' p95 first token with one subscriber at 20 times its fair share"
    override val target = "at most 1.2; first-come-first-served at least 3 times worse"
    override val measure = "light p95 first token"
    override val setup = listOf(
        "1 domain, 4 entry VMs, 4 engines of 8 slots, 20 ms a token (scaled down), about 56 req/s",
        "$LIGHT_SUBSCRIBERS light subscribers with $LIGHT_PER_SECOND req/s in all; the heavy one " +
            "$HEAVY_PER_SECOND req/s; 100 prompt and 20 output tokens each",
        "10 s without, 12 s with the heavy subscriber",
    )

    override fun spec() = clusterSpec {
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineProfile = EngineProfile(decodeMsPerToken = 20.0)
        }
        repeat(LIGHT_SUBSCRIBERS) { subscriber("light-$it", listOf("norte")) }
        subscriber("heavy", listOf("norte"))
    }

    override fun undisturbedCalls(random: Random) = lightCalls(random, "quiet", UNDISTURBED_MS)

    override fun disturbedCalls(random: Random): List<Call> {
        val light = lightCalls(random, "disturbed", DISTURBED_MS)
        val heavy = poissonArrivals(random, DISTURBED_MS, HEAVY_PER_SECOND).mapIndexed {
                index,
                at,
            ->
            call(at, "heavy", "heavy", "heavy-$index").copy(isMeasured = false)
        }
        return light + heavy
    }

    override fun figureMs(result: LoadResult) = result.kind("light").firstTokenMs(P95)

    private fun lightCalls(random: Random, phase: String, durationMs: Long) =
        poissonArrivals(random, durationMs, LIGHT_PER_SECOND).mapIndexed { index, at ->
            call(at, "light", "light-${random.nextInt(LIGHT_SUBSCRIBERS)}", "$phase-$index")
        }

    private fun call(atMs: Double, kind: String, subscriber: String, id: String) =
        Call(atMs, kind, "key-$subscriber", listOf(promptOf(id, PROMPT_TOKENS)), maxTokens = 20)
}
