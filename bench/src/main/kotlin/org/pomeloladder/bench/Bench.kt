/*
 * The load tool: `scripts/bench NAME [--seed N]`.
 */
package org.pomeloladder.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long

private const val NAME_COLUMNS = 18

/** The name of [Slopes], which has no policy, baseline or target and is thus no [Experiment]. */
private const val SLOPES = "slopes"

/** All experiments, in the order of the design page. */
internal val experiments: List<Experiment> = listOf(
    HeavyUserExperiment(),
    ShortBehindLongExperiment(),
    StragglersExperiment(),
    CrossRegionExperiment(),
    RegionReturnExperiment(),
    CostExperiment(),
    ConfigExperiment(),
    DrainExperiment(),
    OverheadExperiment(),
)

private class Bench : CliktCommand(name = "bench") {
    private val name by argument(help = "experiment to run; omit it to list all").optional()
    private val seed by option(help = "seed of arrivals and prompts").long().default(1)

    override fun run() {
        val requestedName = name
        if (requestedName == null) {
            experiments.forEach { echo("${it.name.padEnd(NAME_COLUMNS)} ${it.summary}") }
            echo("${SLOPES.padEnd(NAME_COLUMNS)} cost of the control part by fleet size")
            return
        }
        if (requestedName == SLOPES) {
            val report = Slopes(seed).run()
            echo(report.toTable(seed))
            echo(report.toJson(seed))
            return
        }
        val experiment = experiments.firstOrNull { it.name == requestedName }
            ?: throw UsageError("unknown experiment $requestedName; omit the name to list all")
        val result = experiment.run(seed)
        echo(result.toTable(experiment, seed))
        echo(result.toJson(experiment, seed))
    }
}

fun main(arguments: Array<String>) {
    Bench().main(arguments)
    // The HTTP clients leave non-daemon threads that would keep the process alive.
    System.exit(0)
}
