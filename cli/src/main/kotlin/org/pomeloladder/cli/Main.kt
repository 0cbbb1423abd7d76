/*
 * The operators' command-line tool. It asks the administration API of entry VMs and changes nothing but, by `drain`, the
 * process it is pointed at.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

/** Exit codes, as `pomeloladder --help` lists them. */
object ExitCode {
    const val OK = 0

    /** Wrong usage of the command line; Clikt's own code for it. */
    const val USAGE = 1

    /** The checked patch or settings file is not valid. */
    const val INVALID = 2

    /** No entry VM answered. */
    const val NO_ANSWER = 3

    /** An entry VM answered with an error. */
    const val REFUSED = 4

    /** Some entry VM lags, or some did not answer. */
    const val PARTIAL = 5

    /** A fault of the tool itself. */
    const val FAULT = 6
}

/** The root command; subcommands do the work. */
class Pomeloladder : CliktCommand(name = "pomeloladder") {
    override fun help(context: Context) = """
        Inspects and checks a pomeloladder deployment.

        Addresses of the administration API and the key come from the options of each command or from POMELOLADDER_ENTRIES
        (comma-separated HOST:PORT) and POMELOLADDER_KEY.

        Exit codes: 0 done, 1 wrong usage, 2 patch or settings not valid, 3 no entry VM answered, 4 an entry VM answered
        with an error, 5 some entry VM lags or did not answer, 6 a fault of the tool itself.
    """.trimIndent()

    override fun helpEpilog(context: Context) = examples(
        "pomeloladder config status --entry 10.0.1.1:9090 --entry 10.0.2.1:9090",
        "pomeloladder config check patch.json",
        "pomeloladder explain sk-ba-1.1764836940000.r17 --json",
    )

    override fun run() = Unit
}

/** The whole tool. [client] is replaced in tests. */
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
    // The HTTP client keeps threads that would hold the process, so every path ends in an exit.
    exitProcess(run(arguments))
}

/** Runs one command line with [client] and returns the exit code. Clikt exits by itself on errors of its own. */
internal fun run(
    arguments: Array<String>,
    client: AdministrationClient = HttpAdministrationClient(),
): Int = try {
    pomeloladder(client).main(arguments)
    ExitCode.OK
} catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
    // The last resort: a fault that no command expects must not leave the process hanging on the client's threads.
    System.err.println("fault of the tool: ${e.toString().lineSequence().first()}")
    ExitCode.FAULT
}

/** Example lines for the end of a help page. */
internal fun examples(vararg lines: String) =
    "Examples:\n\n" + lines.joinToString("\n\n") { "`$it`" }
