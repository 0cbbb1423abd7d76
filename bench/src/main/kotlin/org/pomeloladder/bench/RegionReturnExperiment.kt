/*
 * First tokens after a lost region returns with cold caches.
 */
package org.pomeloladder.bench

import kotlin.random.Random
import org.pomeloladder.standins.EngineProfile

private val REGIONS = listOf("norte", "centro", "austral")
private const val QUESTION_TOKENS = 20
private const val PER_SECOND_AND_REGION = 12.0
private const val LOST_AT_MS = 10_000L
private const val START_AT_MS = 13_000L
private const val RETURN_AT_MS = 17_000L
private const val END_MS = 32_000L
private const val SESSIONS = 60
private const val MANUAL_TOKENS = 1_500
private const val MAX_FIGURE = 2.0
private const val P95 = 95.0
private const val NANOS_PER_MS = 1_000_000L

internal class RegionReturnExperiment : Experiment {
    override val name = "region-return"
    override val summary = "p95 first token after a lost region returns, against before"
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
                    "$PER_SECOND_AND_REGION req/s a region",
                "$SESSIONS sessions with a manual of $MANUAL_TOKENS tokens, 10 output tokens",
                "5 s filling, 5 s steady, 7 s lost (entry VMs killed, caches cleared), " +
                    "15 s after the return (scaled down from a minute)",
                "policy: settings of production; baseline: {route: random}",
            ),
            rows = listOf(
                row("steady: p95 first token, ms", policy, baseline) { it.ms("steady") },
                row("lost: p95 first token, ms", policy, baseline) { it.ms("lost") },
                row("return: p95 first token, ms", policy, baseline) { it.ms("return") },
                row("calls without a whole answer", policy, baseline) { it.losses },
                row("region ready again at, ms", policy, baseline) { it.readyAtMs },
            ),
        )
    }

    private class Measured(private val result: LoadResult, val readyAtMs: Double) {
        val figure: Double
            get() = ms("return") / ms("steady")

        val losses: Double
            get() = (result.count(CallEnd.REFUSED) + result.count(CallEnd.BROKEN)).toDouble()

        fun ms(phase: String) = result.kind(phase).firstTokenMs(P95)
    }

    private fun row(
        label: String,
        policy: Measured,
        baseline: Measured,
        read: (Measured) -> Double,
    ) = ReportRow(label, read(policy), read(baseline))

    private fun measure(seed: Long, policies: String): Measured {
        val spec = spec().also { it.policies = policies }
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val outage = Outage(cluster)
                val thread = Thread(outage, "outage").apply { start() }
                val result = runLoad(caller, calls(Random(seed)))
                thread.join()
                Measured(result, outage.readyAtMs.toDouble())
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
        poissonArrivals(random, END_MS, PER_SECOND_AND_REGION).mapIndexed { index, at ->
            val session = random.nextInt(SESSIONS)
            Call(
                atMs = at,
                kind = phaseAt(at),
                apiKey = "key-counter-$session",
                messages = listOf(
                    textOf("manual-$session", MANUAL_TOKENS),
                    textOf("question-$region-$index", QUESTION_TOKENS),
                ),
                maxTokens = 10,
                domain = "$region-a",
            )
        }
    }

    private fun phaseAt(atMs: Double) = when {
        atMs < STEADY_FROM_MS -> "filling"
        atMs < LOST_AT_MS -> "steady"
        atMs < RETURN_AT_MS -> "lost"
        else -> "return"
    }

    private companion object {
        /** Before this the caches fill for the first time. */
        const val STEADY_FROM_MS = 5_000L
    }
}

/** Loses the first region and brings it back with empty caches. */
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
        sleepUntil(START_AT_MS)
        daemons.forEach(DaemonProcess::start)
        daemons.forEach(DaemonProcess::awaitReady)
        readyAtMs = elapsedMs()
    }

    private fun sleepUntil(atMs: Long) = Thread.sleep(maxOf(0, atMs - elapsedMs()))

    private fun elapsedMs() = (System.nanoTime() - startNanos) / NANOS_PER_MS
}
