/*
 * Commands that run locally, without any request to an entry VM.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.pomeloladder.daemon.SettingsProblem
import org.pomeloladder.daemon.SettingsResult
import org.pomeloladder.daemon.readSettings
import org.pomeloladder.entry.GatewaySettingsResult
import org.pomeloladder.entry.readGatewaySettings

/** Parent of the settings commands. */
class SettingsCommand : CliktCommand(name = "settings") {
    override fun help(context: Context) = "Checks settings files."

    override fun run() = Unit
}

/** Validates a settings file in the same way as the daemon at startup. */
class SettingsCheck : CliktCommand(name = "check") {
    private val settings by argument("FILE", help = "A settings file in YAML.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val isJson by option("--json", help = "Write JSON output.").flag()
    private val isGateway by option(
        "--gateway",
        help = "Check the settings of the route gateway, not of the daemon.",
    ).flag()

    override fun help(context: Context) =
        "Checks a settings file as the daemon does when it starts, and lists all problems at once."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder settings check settings.yaml")

    override fun run() {
        if (isGateway) return checkGateway()
        val problems = when (val result = readSettings(settings.readText())) {
            is SettingsResult.Valid -> emptyList()
            is SettingsResult.Invalid -> result.problems
        }
        when {
            isJson -> echo(cliJson.encodeToString(JsonElement.serializer(), toJson(problems)))
            problems.isEmpty() -> echo("$settings is valid")
            else -> problems.forEach { echo("$settings: $it", err = true) }
        }
        if (problems.isNotEmpty()) throw ProgramResult(ExitCode.INVALID)
    }

    private fun checkGateway() {
        when (val result = readGatewaySettings(settings.readText())) {
            is GatewaySettingsResult.Valid -> echo("$settings is valid")
            is GatewaySettingsResult.Invalid -> {
                result.problems.forEach { echo("$settings: $it", err = true) }
                throw ProgramResult(ExitCode.INVALID)
            }
        }
    }

    private fun toJson(problems: List<SettingsProblem>): JsonElement {
        val rows = problems.map {
            JsonObject(
                mapOf(
                    "path" to JsonPrimitive(it.path),
                    "expected" to JsonPrimitive(it.expected),
                    "found" to JsonPrimitive(it.found),
                ),
            )
        }
        return JsonObject(
            mapOf("isValid" to JsonPrimitive(rows.isEmpty()), "problems" to JsonArray(rows)),
        )
    }
}

/** Shows the version of the tool. */
class Version : CliktCommand(name = "version") {
    private val isJson by option("--json", help = "Write JSON output.").flag()

    override fun help(context: Context) = "Shows the version of this tool."

    override fun run() {
        val version = Version::class.java.`package`?.implementationVersion ?: "development build"
        echo(
            if (isJson) {
                JsonObject(
                    mapOf("version" to JsonPrimitive(version)),
                )
            } else {
                "pomeloladder $version"
            },
        )
    }
}
