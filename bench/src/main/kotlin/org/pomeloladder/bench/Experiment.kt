/*
 * The result format of load experiments: a table for people and one JSON line for programs.
 */
package org.pomeloladder.bench

import java.util.Locale
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** A load experiment that compares a policy to a baseline. The design page lists all of them. */
interface Experiment {
    val name: String

    /** A one-line description of the measured quantity. */
    val summary: String

    /** The bound on the figure, as worded in the design page. */
    val target: String

    fun run(seed: Long): ExperimentResult
}

/** One row of the result table. A figure is null if it does not apply. */
data class ReportRow(val label: String, val policy: Double?, val baseline: Double?)

/**
 * The outcome of an experiment. [policy] and [baseline] are the figures that the target bounds.
 * [setup] describes sizes, rates and speeds; [rows] holds additional figures.
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

/** Returns the JSON object that is printed as the last line. */
fun ExperimentResult.toJson(experiment: Experiment, seed: Long): String = buildJsonObject {
    put("experiment", experiment.name)
    put("seed", seed)
    put("policy", roundedJson(policy))
    put("baseline", roundedJson(baseline))
    put("ratio", roundedJson(ratio))
    put("target", experiment.target)
    put("met", isMet)
    putJsonObject("details") {
        for (row in rows) {
            putJsonObject(row.label) {
                put("policy", roundedJson(row.policy))
                put("baseline", roundedJson(row.baseline))
            }
        }
    }
}.toString()

/** Returns the table for people. */
fun ExperimentResult.toTable(experiment: Experiment, seed: Long): String = buildString {
    appendLine("${experiment.name} (seed $seed): ${experiment.summary}")
    setup.forEach { appendLine("  $it") }
    appendLine(formatRow("", "policy", "baseline"))
    for (row in rows) appendLine(formatRow(row.label, cell(row.policy), cell(row.baseline)))
    appendLine(formatRow("figure of the target", cell(policy), cell(baseline)))
    append("  target: ${experiment.target}; met: ${if (isMet) "yes" else "no"}")
}

private fun formatRow(label: String, policy: String, baseline: String) =
    String.format(Locale.ROOT, "  %-46s %12s %12s", label, policy, baseline)

private fun cell(value: Double?) = value?.let { String.format(Locale.ROOT, "%.3f", it) } ?: "-"

private fun roundedJson(value: Double?): JsonPrimitive {
    if (value == null || !value.isFinite()) return JsonPrimitive(null as Number?)
    return JsonPrimitive(String.format(Locale.ROOT, "%.4f", value).toDouble())
}
