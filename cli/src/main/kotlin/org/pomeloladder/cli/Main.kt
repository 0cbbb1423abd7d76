/*
 * The command-line tool for operators. It queries the administration API of entry VMs. Only `drain`
 * changes anything: it shuts down the process at the given address.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

/** Exit codes, as documented in `pomeloladder --help`. */
object ExitCode {
    const val OK = 0

    /** Invalid command line. Clikt itself exits with this code. */
    const val USAGE = 1

    /** The checked patch or settings file is not valid. */
    const val INVALID = 2

    /** No entry VM answered. */
    const val NO_ANSWER = 3

    /** An entry VM answered with an error or with a response that the tool cannot decode. */
    const val ERROR_RESPONSE = 4

    /** Some entry VM lags or did not answer, or digests differ between entry VMs. */
    const val PARTIAL = 5

    /** Unexpected exception in the tool itself. */
    const val INTERNAL_ERROR = 6
}

/** The root command, which only groups the subcommands. */
class Pomeloladder : CliktCommand(name = "pomeloladder") {
    override fun help(context: Context) = """
        Inspects and checks a pomeloladder deployment.

        Addresses of the administration API and the key come from the options of each command or from POMELOLADDER_ENTRIES
        (comma-separated HOST:PORT) and POMELOLADDER_KEY.

        Exit codes: 0 done, 1 wrong usage, 2 patch or settings not valid, 3 no entry VM answered, 4 an entry VM answered
        with an error, 5 some entry VM lags or did not answer, 6 internal error of the tool.
    """.trimIndent()

    override fun helpEpilog(context: Context) = examples(
        "pomeloladder config status --entry 10.0.1.1:9090 --entry 10.0.2.1:9090",
        "pomeloladder config check patch.json",
        "pomeloladder explain sk-ba-1.1764836940000.r17 --json",
    )

    override fun run() = Unit
}

/** Creates the root command with all subcommands. Tests pass their own [client]. */
fun pomeloladder(client: AdministrationClient = HttpAdministrationClient()): Pomeloladder =
    Pomeloladder().subcommands(
        Config().subcommands(
            ConfigCheck(client),
            ConfigDiff(client),
            ConfigStatus(client),
        ),
        Entries(client),
        Backends(client),
        Usage(client),
        Drain(client),
        SettingsCommand().subcommands(SettingsCheck()),
        Explain(client),
        Trace(),
        Version(),
    )

fun main(arguments: Array<String>) {
    // The threads of the HTTP client would keep the process alive, so every path must call
    // exitProcess.
    exitProcess(run(arguments))
}

/**
 * Runs one command line with [client] and returns the exit code. On errors of its own, Clikt exits
 * the process itself.
 */
internal fun run(
    arguments: Array<String>,
    client: AdministrationClient = HttpAdministrationClient(),
): Int = try {
    pomeloladder(client).main(arguments)
    ExitCode.OK
} catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
    // Catches everything: after an uncaught exception, the client's threads would keep the process
    // alive.
    System.err.println("internal error: ${e.toString().lineSequence().first()}")
    ExitCode.INTERNAL_ERROR
}

/** Formats example command lines for the end of a help page. */
internal fun examples(vararg lines: String) =
    "Examples:\n\n" + lines.joinToString("\n\n") { "`$it`" }
