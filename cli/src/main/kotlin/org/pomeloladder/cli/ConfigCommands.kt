/*
 * Commands about the configuration: check a patch, show what it changes, and show what is in force where.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonElement
import org.http4k.core.Method
import org.pomeloladder.daemon.ConfigurationStatus
import org.pomeloladder.daemon.PatchCheck

private const val CHECK_PATH = "/v1/configuration/check"
private const val DIGITS_SHOWN = 8

/** Groups the configuration commands. */
class Config : CliktCommand(name = "config") {
    override fun help(context: Context) = "Checks patches and shows the configuration in force."

    override fun run() = Unit
}

/** Asks for the verdict on a patch. */
class ConfigCheck(client: AdministrationClient) : EntryCommand("check", client) {
    private val patch by argument("PATCH", help = "A patch in JSON.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context) =
        "Gives the verdict that every process would give on a patch. Publishes nothing."

    override fun helpEpilog(context: Context) = examples("pomeloladder config check patch.json")

    override fun run() {
        val body = askFirst(CHECK_PATH, Method.POST, patch.readText())
        val check = read<PatchCheck>(body)
        if (isJson) echoJson(body) else echo(describe(check))
        if (check.verdict != "accepted") throw ProgramResult(ExitCode.INVALID)
    }

    private fun describe(check: PatchCheck): String {
        val publish = check.publish
        if (publish != null) {
            return "accepted: version ${check.inForce} becomes ${check.versionAfter}; publish:\n" +
                cliJson.encodeToString(JsonElement.serializer(), publish)
        }
        val problems = check.problems.map {
            "  ${it.path}: expected ${it.expected}, found ${it.found}"
        }
        return (listOf("refused: ${check.verdict}") + problems).joinToString("\n")
    }
}

/** Shows the rows that a patch changes. */
class ConfigDiff(client: AdministrationClient) : EntryCommand("diff", client) {
    private val patch by argument("PATCH", help = "A patch in JSON.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context) =
        "Shows the rows that a patch changes, before (-) and after (+)."

    override fun helpEpilog(context: Context) = examples("pomeloladder config diff patch.json")

    override fun run() {
        val body = askFirst(CHECK_PATH, Method.POST, patch.readText())
        if (isJson) return echoJson(body)
        val check = read<PatchCheck>(body)
        echo("verdict: ${check.verdict}, base ${check.base}, in force ${check.inForce}")
        if (check.changes.isEmpty()) echo("the patch changes nothing")
        for (change in check.changes) {
            echo(change.path)
            change.before?.let { echo("- $it") }
            change.after?.let { echo("+ $it") }
        }
    }
}

/** Shows the configuration in force on all entry VMs. */
class ConfigStatus(client: AdministrationClient) : EntryCommand("status", client) {
    override fun help(context: Context) =
        "Shows the configuration in force on all entry VMs and which of them lag."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder config status", "pomeloladder config status --json")

    override fun run() {
        val answers = askAll("/v1/configuration")
        val statuses = answers.mapNotNull { answered ->
            (answered.answer as? Answer.Success)?.let { read<ConfigurationStatus>(it.body) }
        }
        val newest = statuses.mapNotNull { it.sequence }.maxOrNull()
        if (isJson) {
            echoJsonOfAll(answers)
        } else {
            val rows = answers.map { row(it, newest) }
            val headings =
                listOf("ADDRESS", "VM", "VERSION", "SEQUENCE", "DIGEST", "AGE", "PLATFORM", "STATE")
            echo(table(headings, rows))
        }
        val isWhole = statuses.size == answers.size && statuses.all { it.sequence == newest }
        if (!isWhole || hasDiverged(statuses)) throw ProgramResult(ExitCode.PARTIAL)
    }

    private fun row(answered: Answered, newest: Long?): List<String> =
        when (val answer = answered.answer) {
            is Answer.Success -> row(
                answered.address,
                read<ConfigurationStatus>(answer.body),
                newest,
            )
            is Answer.Refused -> failedRow(answered.address, describe(answer))
            is Answer.None -> failedRow(answered.address, "no answer: ${answer.cause}")
        }

    private fun row(address: String, status: ConfigurationStatus, newest: Long?) = listOf(
        address,
        status.vm,
        status.version?.toString() ?: "-",
        status.sequence?.toString() ?: "-",
        status.digest?.take(DIGITS_SHOWN) ?: "-",
        age(status.ageMs),
        if (!status.isWatchingPlatform) "by peers" else reachability(status),
        stateOf(status.sequence, newest),
    )

    private fun reachability(status: ConfigurationStatus) =
        if (status.isPlatformReachable) "reachable" else "unreachable"

    private fun stateOf(sequence: Long?, newest: Long?): String = when {
        sequence == null -> "no configuration"
        newest != null && sequence < newest -> "lags by ${newest - sequence}"
        else -> "current"
    }

    private fun failedRow(address: String, cause: String) =
        listOf(address, "-", "-", "-", "-", "-", "-", cause)

    private fun hasDiverged(statuses: List<ConfigurationStatus>): Boolean {
        val diverged = statuses.groupBy { it.sequence }
            .filterValues { same -> same.map { it.digest }.distinct().size > 1 }
        diverged.keys.forEach { echo("digests differ at sequence $it", err = true) }
        return diverged.isNotEmpty()
    }
}
