/*
 * Experiments that compare a run with a disturbance to the same run without it, on one deployment.
 */
package org.pomeloladder.bench

import kotlin.random.Random

/** What one policy experienced: the run without and the run with the disturbance. */
internal class DisturbanceRuns(val quiet: LoadResult, val disturbed: LoadResult, val load: Double)

/**
 * The figure is that of the disturbed run relative to the quiet one. The target is met when it is
 * at most [maxFigure] and
 * the baseline's figure is at least [minBaselineFactor] times as large.
 */
internal abstract class DisturbanceExperiment(
    private val maxFigure: Double,
    private val minBaselineFactor: Double,
    private val baselinePolicies: String,
) : Experiment {
    abstract val setup: List<String>

    /** What is compared, for the table. */
    abstract val measure: String

    abstract fun spec(): ClusterSpec

    abstract fun quietCalls(random: Random): List<Call>

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

    private fun DisturbanceRuns.figure() = figureMs(disturbed) / figureMs(quiet)

    private fun rows(policy: DisturbanceRuns, baseline: DisturbanceRuns): List<ReportRow> {
        fun row(label: String, read: (DisturbanceRuns) -> Number) =
            ReportRow(label, read(policy).toDouble(), read(baseline).toDouble())
        return listOf(
            row("$measure without, ms") { figureMs(it.quiet) },
            row("$measure with, ms") { figureMs(it.disturbed) },
            row("refused or broken without") { it.quiet.losses() },
            row("refused or broken with") { it.disturbed.losses() },
            row("unfinished with") { it.disturbed.unfinished },
            row("busy slots with, share (to the last answer)") { it.load },
        )
    }

    private fun LoadResult.losses() = count(CallEnd.REFUSED) + count(CallEnd.BROKEN)

    private fun measure(seed: Long, policies: String): DisturbanceRuns {
        val spec = spec().also { it.policies = policies }
        return Cluster(spec).use { cluster ->
            cluster.start()
            StreamCaller(DirectorySource { cluster.daemons.values }).use { caller ->
                warmUp(caller, spec)
                val quiet = runLoad(caller, quietCalls(Random(seed)))
                disturb(cluster)
                val slots = spec.domains.sumOf { it.engines * it.engineProfile.slots }
                val busyBefore = cluster.engines.values.sumOf { it.busySlotNanos }
                val calls = disturbedCalls(Random(seed))
                val startNanos = System.nanoTime()
                val disturbed = runLoad(caller, calls)
                val slotNanos = (System.nanoTime() - startNanos).toDouble() * slots
                val busy = cluster.engines.values.sumOf { it.busySlotNanos } - busyBefore
                DisturbanceRuns(quiet, disturbed, busy / slotNanos)
            }
        }
    }
}

/** Calls that let windows grow and code compile before anything is measured. */
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
                messages = listOf(textOf("warm-up-$index", WARM_UP_TOKENS)),
                maxTokens = 2,
                domain = spec.domains[index % spec.domains.size].id.value,
            )
        },
    )
}

private const val WARM_UP_MS = 3_000.0
private const val WARM_UP_TOKENS = 20
