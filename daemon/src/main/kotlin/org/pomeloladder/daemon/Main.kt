/*
 * Starts the daemon with the settings file named on the command line. SIGTERM shuts it down
 * gracefully.
 */
package org.pomeloladder.daemon

import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_SETTINGS = 78

fun main(arguments: Array<String>) {
    val path =
        arguments.singleOrNull() ?: fail(EXIT_USAGE, "usage: pomeloladder-daemon SETTINGS.yaml")
    val text = try {
        File(path).readText()
    } catch (e: IOException) {
        fail(EXIT_SETTINGS, "settings file $path cannot be read: ${e.message}")
    }
    when (val result = readSettings(text)) {
        is SettingsResult.Valid -> serve(result.settings)
        is SettingsResult.Invalid ->
            fail(EXIT_SETTINGS, result.problems.joinToString("\n") { "$path: $it" })
    }
}

private fun serve(settings: Settings) {
    val daemon = Daemon(settings)
    daemon.start()
    val main = Thread.currentThread()
    Runtime.getRuntime().addShutdownHook(
        Thread {
            daemon.drain()
            main.join()
        },
    )
    daemon.awaitStop()
}

private fun fail(code: Int, message: String): Nothing {
    System.err.println(message)
    exitProcess(code)
}
