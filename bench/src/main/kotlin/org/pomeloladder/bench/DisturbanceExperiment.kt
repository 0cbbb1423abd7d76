/*
 * Base of experiments that run the same load without and with a disturbance on one deployment.
 */
package org.pomeloladder.bench

import kotlin.random.Random

/**
 * The results of one policy without and with the disturbance. [busySlotShare] is the share of slot
 * time that was busy in the disturbed run, up to its last answer.
 */
internal class DisturbanceRuns(
    val undisturbed: LoadResult,
    val disturbed: LoadResult,
    val busySlotShare: Double,
)

/**
 * The figure is the latency of the disturbed run divided by that of the undisturbed run. The target
 * is met if the policy's figure is at most [maxFigure] and the baseline's figure is at least
 * [minBaselineFactor] times as large.
 */
internal abstract class DisturbanceExperiment(
    private val maxFigure: Double,
    private val minBaselineFactor: Double,
    private val baselinePolicies: String,
) : Experiment {
    abstract val setup: List<String>

    /** The name of the compared latency in the table. */
    abstract val measure: String

    abstract fun spec(): ClusterSpec

    abstract fun undisturbedCalls(random: Random): List<Call>

    abstract fun disturbedCalls(random: Random): List<Call>

    abstract fun figureMs(result: LoadResult): Double

    open fun disturb(cluster: Cluster) = Unit

    override fun run(seed: Long): ExperimentResult {
        val policy = measure(seed, "{}")
        val baseline = measure(seed, baselinePolicies)
        val policyFigure = policy.figure()
        val baselineFigure = baseline.figure()
        return ExperimentResult(
            policy = policyFigure,
            baseline = baselineFigure,
            isMet = policyFigure <= maxFigure &&
                baselineFigure >= minBaselineFactor * policyFigure,
            setup = setup + "policy: settings of production; baseline: $baselinePolicies",
            rows = rows(policy, baseline),
        )
    }

    private fun DisturbanceRuns.figure() = figureMs(disturbed) / figureMs(undisturbed)

    private fun rows(policy: DisturbanceRuns, baseline: DisturbanceRuns): List<ReportRow> {
        fun row(label: String, read: (DisturbanceRuns) -> Number) =
            ReportRow(label, read(policy).toDouble(), read(baseline).toDouble())
        return listOf(
            row("$measure without, ms") { figureMs(it.undisturbed) },
            row("$measure with, ms") { figureMs(it.disturbed) },
            row("refused or broken without") { it.undisturbed.failures() },
            row("refused or broken with") { it.disturbed.failures() },
            row("unfinished with") { it.disturbed.unfinished },
            row("busy slots with, share (to the last answer)") { it.busySlotShare },
        )
    }

    private fun LoadResult.failures() = count(CallEnd.REFUSED) + count(CallEnd.BROKEN)

    private fun measure(seed: Long, policies: String): DisturbanceRuns {
        val spec = spec().also { it.policies = policies }
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val undisturbed = runLoad(caller, undisturbedCalls(Random(seed)))
                disturb(cluster)
                val slots = spec.domains.sumOf { it.engines * it.engineProfile.slots }
                val busyBefore = cluster.engines.values.sumOf { it.busySlotNanos }
                val calls = disturbedCalls(Random(seed))
                val startNanos = System.nanoTime()
                val disturbed = runLoad(caller, calls)
                val slotNanos = (System.nanoTime() - startNanos).toDouble() * slots
                val busyNanos = cluster.engines.values.sumOf { it.busySlotNanos } - busyBefore
                DisturbanceRuns(undisturbed, disturbed, busyNanos / slotNanos)
            }
        }
    }
}

/** Makes unmeasured calls so that concurrency windows grow and code is compiled beforehand. */
internal fun warmUp(
    caller: StreamCaller,
    spec: ClusterSpec,
    calls: Int = 200,
    durationMs: Double = WARM_UP_MS,
) {
    val gapMs = durationMs / calls
    val keys = spec.subscribers.map { it.apiKey }
    runLoad(
        caller,
        (0 until calls).map { index ->
            Call(
                atMs = index * gapMs,
                kind = "warm-up",
                apiKey = keys[index % keys.size],
                messages = listOf(promptOf("warm-up-$index", WARM_UP_TOKENS)),
                maxTokens = 2,
                domain = spec.domains[index % spec.domains.size].id.value,
            )
        },
    )
}

private const val WARM_UP_MS = 3_000.0
private const val WARM_UP_TOKENS = 20
