/*
 * Measures the time to first token after a lost region returns with cold caches.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private val REGIONS = listOf("norte", "centro", "austral")
private const val QUESTION_TOKENS = 20
private const val REGION_RATE_PER_SECOND = 12.0
private const val LOST_AT_MS = 10_000L
private const val RESTART_AT_MS = 13_000L
private const val RETURN_PHASE_FROM_MS = 17_000L
private const val END_MS = 32_000L
private const val SESSIONS = 60
private const val MANUAL_TOKENS = 1_500
private const val MAX_FIGURE = 2.0
private const val P95 = 95.0
private const val NANOS_PER_MS = 1_000_000L

internal class RegionReturnExperiment : Experiment {
    override val name = "region-return"
    override val summary = "p95 first token after a lost region returns, relative to before"
    override val target = "at most 2"

    override fun run(seed: Long): ExperimentResult {
        val policy = measure(seed, "{}")
        val baseline = measure(seed, "{route: random}")
        return ExperimentResult(
            policy = policy.figure,
            baseline = baseline.figure,
            isMet = policy.figure <= MAX_FIGURE,
            setup = listOf(
                "3 regions of 2 entry VMs and 2 engines, 20 ms a token, 20 prompt tokens/ms; " +
                    "$REGION_RATE_PER_SECOND req/s a region",
                "$SESSIONS sessions with a manual of $MANUAL_TOKENS tokens, 10 output tokens",
                "5 s filling, 5 s steady, 7 s lost (entry VMs killed, caches cleared), " +
                    "15 s after the return (scaled down from a minute)",
                "policy: settings of production; baseline: {route: random}",
            ),
            rows = listOf(
                row("steady: p95 first token, ms", policy, baseline) { it.p95Ms("steady") },
                row("lost: p95 first token, ms", policy, baseline) { it.p95Ms("lost") },
                row("return: p95 first token, ms", policy, baseline) { it.p95Ms("return") },
                row("calls without a whole answer", policy, baseline) { it.incompleteCalls },
                row("region ready again at, ms", policy, baseline) { it.readyAtMs },
            ),
        )
    }

    private class Figures(private val result: LoadResult, val readyAtMs: Double) {
        val figure: Double
            get() = p95Ms("return") / p95Ms("steady")

        val incompleteCalls: Double
            get() = (result.count(CallEnd.REFUSED) + result.count(CallEnd.BROKEN)).toDouble()

        fun p95Ms(phase: String) = result.kind(phase).firstTokenMs(P95)
    }

    private fun row(label: String, policy: Figures, baseline: Figures, read: (Figures) -> Double) =
        ReportRow(label, read(policy), read(baseline))

    private fun measure(seed: Long, policies: String): Figures {
        val spec = spec().also { it.policies = policies }
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val outage = Outage(cluster)
                val thread = Thread(outage, "outage").apply { start() }
                val result = runLoad(caller, calls(Random(seed)))
                thread.join()
                Figures(result, outage.readyAtMs.toDouble())
            }
        }
    }

    private fun spec() = clusterSpec {
        for (region in REGIONS) {
            domain(region, "$region-a") {
                orderServers = 0
                engineProfile = EngineProfile(decodeMsPerToken = 20.0)
            }
        }
        repeat(SESSIONS) { subscriber("counter-$it", REGIONS) }
    }

    private fun calls(random: Random): List<Call> = REGIONS.flatMap { region ->
        poissonArrivals(random, END_MS, REGION_RATE_PER_SECOND).mapIndexed { index, at ->
            val session = random.nextInt(SESSIONS)
            Call(
                atMs = at,
                kind = phaseAt(at),
                apiKey = "key-counter-$session",
                messages = listOf(
                    promptOf("manual-$session", MANUAL_TOKENS),
                    promptOf("question-$region-$index", QUESTION_TOKENS),
                ),
                maxTokens = 10,
                domain = "$region-a",
            )
        }
    }

    private fun phaseAt(atMs: Double) = when {
        atMs < STEADY_FROM_MS -> "filling"
        atMs < LOST_AT_MS -> "steady"
        atMs < RETURN_PHASE_FROM_MS -> "lost"
        else -> "return"
    }

    private companion object {
        /** Until this time the caches fill for the first time. */
        const val STEADY_FROM_MS = 5_000L
    }
}

/** Kills the entry VMs of the first region, clears its caches and restarts the entry VMs. */
private class Outage(private val cluster: Cluster) : Runnable {
    @Volatile
    var readyAtMs = 0L

    private val startNanos = System.nanoTime()

    override fun run() {
        val (domain, records) = cluster.backends.entries.first()
        val daemons = cluster.daemons.values.filter { it.record.domain == domain }
        sleepUntil(LOST_AT_MS)
        daemons.forEach(DaemonProcess::kill)
        records.forEach { cluster.engines.getValue(it.id).clearCache() }
        sleepUntil(RESTART_AT_MS)
        daemons.forEach(DaemonProcess::start)
        daemons.forEach(DaemonProcess::awaitReady)
        readyAtMs = elapsedMs()
    }

    private fun sleepUntil(atMs: Long) = Thread.sleep(maxOf(0, atMs - elapsedMs()))

    private fun elapsedMs() = (System.nanoTime() - startNanos) / NANOS_PER_MS
}
