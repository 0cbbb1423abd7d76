/*
 * What every load experiment gives: a table for people and one JSON line for programs.
 */
package org.pomeloladder.bench

import java.util.Locale
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** One row of the table of experiments in the design page. */
interface Experiment {
    val name: String

    /** What is measured, in one line. */
    val summary: String

    /** The bound, as the design page words it. */
    val target: String

    fun run(seed: Long): ExperimentResult
}

/** One line of the table. A figure is null where it does not apply. */
data class ReportRow(val label: String, val policy: Double?, val baseline: Double?)

/**
 * The outcome. [policy] and [baseline] are the target's figure. [setup] says sizes, rates and
 * speeds; [rows] hold the
 * further figures.
 */
data class ExperimentResult(
    val policy: Double,
    val baseline: Double,
    val isMet: Boolean,
    val setup: List<String>,
    val rows: List<ReportRow>,
) {
    /** [policy] divided by [baseline], or null when the baseline is zero. */
    val ratio: Double?
        get() = if (baseline == 0.0) null else policy / baseline
}

/** The JSON object of the last line. */
fun ExperimentResult.toJson(experiment: Experiment, seed: Long): String = buildJsonObject {
    put("experiment", experiment.name)
    put("seed", seed)
    put("policy", rounded(policy))
    put("baseline", rounded(baseline))
    put("ratio", rounded(ratio))
    put("target", experiment.target)
    put("met", isMet)
    putJsonObject("details") {
        for (row in rows) {
            putJsonObject(row.label) {
                put("policy", rounded(row.policy))
                put("baseline", rounded(row.baseline))
            }
        }
    }
}.toString()

/** The table for people. */
fun ExperimentResult.toTable(experiment: Experiment, seed: Long): String = buildString {
    appendLine("${experiment.name} (seed $seed): ${experiment.summary}")
    setup.forEach { appendLine("  $it") }
    appendLine(line("", "policy", "baseline"))
    for (row in rows) appendLine(line(row.label, cell(row.policy), cell(row.baseline)))
    appendLine(line("figure of the target", cell(policy), cell(baseline)))
    append("  target: ${experiment.target}; met: ${if (isMet) "yes" else "no"}")
}

private fun line(label: String, policy: String, baseline: String) =
    String.format(Locale.ROOT, "  %-46s %12s %12s", label, policy, baseline)

private fun cell(value: Double?) = value?.let { String.format(Locale.ROOT, "%.3f", it) } ?: "-"

private fun rounded(value: Double?): JsonPrimitive {
    if (value == null || !value.isFinite()) return JsonPrimitive(null as Number?)
    return JsonPrimitive(String.format(Locale.ROOT, "%.4f", value).toDouble())
}
