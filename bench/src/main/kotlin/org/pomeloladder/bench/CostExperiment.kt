/*
 * Measures the engine time spent on prefill when each turn of a session repeats the earlier turns.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private const val ENTRY_VMS = 4
private const val ENGINES = 8
private const val P95 = 95.0
private const val SESSIONS_PER_SECOND = 3.0
private const val SESSIONS_MS = 12_000L
private const val TURNS = 6
private const val TURN_GAP_MS = 1_500.0
private const val MANUAL_TOKENS = 1_500
private const val QUESTION_TOKENS = 60
private const val PREFILL_TOKENS_PER_MS = 20.0
private const val SUBSCRIBERS = 20
private const val MAX_RATIO = 0.6
private const val MS_PER_SECOND = 1_000.0

internal class CostExperiment : Experiment {
    override val name = "cost"
    override val summary = "engine seconds for prefilled tokens of a session-heavy load"
    override val target = "at most 0.6 of random routing; hedges included"

    override fun run(seed: Long): ExperimentResult {
        val policy = measure(seed, "{}")
        val baseline = measure(seed, "{route: random}")
        return ExperimentResult(
            policy = policy.prefillSeconds,
            baseline = baseline.prefillSeconds,
            isMet = policy.prefillSeconds <= MAX_RATIO * baseline.prefillSeconds,
            setup = listOf(
                "1 domain, 4 entry VMs, 8 engines, 10 ms a token, $PREFILL_TOKENS_PER_MS prompt " +
                    "tokens/ms, cache of 60000 tokens an engine",
                "$SESSIONS_PER_SECOND sessions/s for 12 s, $TURNS turns 1.5 s apart, a manual of " +
                    "$MANUAL_TOKENS tokens, $QUESTION_TOKENS tokens a question, 10 output tokens",
                "policy: settings of production; baseline: {route: random}",
            ),
            rows = listOf(
                ReportRow("calls with a whole answer", policy.complete, baseline.complete),
                ReportRow("calls", policy.calls, baseline.calls),
                ReportRow("p95 first token, ms", policy.p95Ms, baseline.p95Ms),
            ),
        )
    }

    private class Figures(
        val prefillSeconds: Double,
        val complete: Double,
        val calls: Double,
        val p95Ms: Double,
    )

    private fun measure(seed: Long, policies: String): Figures {
        val spec = spec().also { it.policies = policies }
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val before = cluster.engines.values.sumOf { it.prefilledTokenCount }
                val result = runLoad(caller, calls(Random(seed))).kind("turn")
                val after = cluster.engines.values.sumOf { it.prefilledTokenCount }
                Figures(
                    prefillSeconds = (after - before) / PREFILL_TOKENS_PER_MS / MS_PER_SECOND,
                    complete = result.count(CallEnd.COMPLETE).toDouble(),
                    calls = result.count.toDouble(),
                    p95Ms = result.firstTokenMs(P95),
                )
            }
        }
    }

    private fun spec() = clusterSpec {
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineProfile = EngineProfile(
                decodeMsPerToken = 10.0,
                prefillTokensPerMs = PREFILL_TOKENS_PER_MS,
                cacheTokens = 60_000,
            )
        }
        repeat(SUBSCRIBERS) { subscriber("counter-$it", listOf("norte")) }
    }

    private fun calls(random: Random): List<Call> =
        poissonArrivals(random, SESSIONS_MS, SESSIONS_PER_SECOND).flatMapIndexed { session, at ->
            val key = "key-counter-${random.nextInt(SUBSCRIBERS)}"
            val manual = promptOf("manual-$session", MANUAL_TOKENS)
            val questions = (1..TURNS).map { promptOf("question-$session-$it", QUESTION_TOKENS) }
            (1..TURNS).map { turn ->
                val due = at + (turn - 1) * TURN_GAP_MS
                Call(due, "turn", key, listOf(manual) + questions.take(turn), maxTokens = 10)
            }
        }
}
