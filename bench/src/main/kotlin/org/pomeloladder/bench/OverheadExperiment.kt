/*
 * Measures the latency that the gateway adds to calls of zero-latency engines, and its CPU time.
 */
package org.pomeloladder.bench

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.pomeloladder.configuration.Address
import org.pomeloladder.standins.EngineProfile

private const val SLOTS = 64
private const val ENTRY_VMS = 4
private const val ENGINES = 4
private const val PROMPT_TOKENS = 20
private const val RATE_PER_SECOND = 200.0
private const val PHASE_MS = 15_000L
private const val WARM_UP_CALLS = 4_000

/** Keeps the warm-up rate close to the measured rate, so that no queue builds up. */
private const val WARM_UP_MS = 12_000.0
private const val MAX_ADDED_MS = 5.0
private const val P50 = 50.0
private const val P99 = 99.0
private const val NANOS_PER_SECOND = 1e9

internal class OverheadExperiment : Experiment {
    override val name = "overhead"
    override val summary = "latency added by the gateway with zero stand-in latency; req/s/core"
    override val target = "p99 at most 5 ms"

    override fun run(seed: Long): ExperimentResult = Cluster(spec()).use { cluster ->
        cluster.start()
        val engines = cluster.engines.values.map { it.address }
        val direct = StreamCaller(roundRobin(engines)).use { caller ->
            warmUp(caller, spec(), WARM_UP_CALLS, WARM_UP_MS)
            runLoad(caller, calls(seed)).kind("all")
        }
        StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
            warmUp(caller, spec(), WARM_UP_CALLS, WARM_UP_MS)
            val cpuBefore = cpuSeconds(cluster)
            val gateway = runLoad(caller, calls(seed)).kind("all")
            report(gateway, direct, cpuSeconds(cluster) - cpuBefore)
        }
    }

    private fun report(gateway: KindStatistics, direct: KindStatistics, cpuSeconds: Double) =
        ExperimentResult(
            policy = gateway.totalMs(P99) - direct.totalMs(P50),
            baseline = direct.totalMs(P99) - direct.totalMs(P50),
            isMet = gateway.totalMs(P99) - direct.totalMs(P50) <= MAX_ADDED_MS,
            setup = listOf(
                "1 domain, 4 entry VMs (both compilers), 4 engines without any latency",
                "$RATE_PER_SECOND req/s for 15 s, 20 prompt tokens, 1 output token",
                "policy: through the gateway; baseline: direct calls of the engines",
                "the figure is p99 minus the median of the direct calls",
            ),
            rows = listOf(
                ReportRow("p50 total, ms", gateway.totalMs(P50), direct.totalMs(P50)),
                ReportRow("p99 total, ms", gateway.totalMs(P99), direct.totalMs(P99)),
                ReportRow(
                    "calls without a whole answer",
                    (gateway.count - gateway.count(CallEnd.COMPLETE)).toDouble(),
                    (direct.count - direct.count(CallEnd.COMPLETE)).toDouble(),
                ),
                ReportRow("daemon cpu seconds", cpuSeconds, null),
                ReportRow("requests per daemon cpu second", gateway.count / cpuSeconds, null),
            ),
        )

    private fun cpuSeconds(cluster: Cluster) =
        cluster.daemons.values.sumOf { it.cpuTime.toNanos() } / NANOS_PER_SECOND

    private fun roundRobin(addresses: List<Address>): EntrySource {
        val next = AtomicInteger()
        return EntrySource { listOf(addresses[next.getAndIncrement() % addresses.size]) }
    }

    private fun spec() = clusterSpec {
        usesOptimizingCompiler = true
        domain("norte", "norte-a") {
            entryVms = ENTRY_VMS
            engines = ENGINES
            orderServers = 0
            engineConcurrency = SLOTS
            engineProfile = EngineProfile(
                slots = SLOTS,
                prefillTokensPerMs = Double.POSITIVE_INFINITY,
                decodeMsPerToken = 0.0,
            )
        }
        repeat(SUBSCRIBERS) { subscriber("cafe-$it", listOf("norte")) }
    }

    private fun calls(seed: Long): List<Call> {
        val random = Random(seed)
        return poissonArrivals(random, PHASE_MS, RATE_PER_SECOND).mapIndexed { index, at ->
            val key = "key-cafe-${random.nextInt(SUBSCRIBERS)}"
            Call(at, "all", key, listOf(promptOf("question-$index", PROMPT_TOKENS)), maxTokens = 1)
        }
    }

    private companion object {
        const val SUBSCRIBERS = 40
    }
}
