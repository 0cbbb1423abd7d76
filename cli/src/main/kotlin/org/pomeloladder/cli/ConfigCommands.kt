/*
 * Configuration commands: check a patch, show its changes, and compare the configuration in force
 * on entry VMs.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.JsonElement
import org.http4k.core.Method
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.daemon.ConfigurationStatus
import org.pomeloladder.daemon.PatchCheck

private const val CHECK_PATH = "/v1/configuration/check"
private const val DIGEST_DIGITS_SHOWN = 8

/** Parent of the configuration commands. */
class Config : CliktCommand(name = "config") {
    override fun help(context: Context) = "Checks patches and shows the configuration in force."

    override fun run() = Unit
}

/** Checks a patch on an entry VM and shows the verdict. */
class ConfigCheck(client: AdministrationClient) : EntryCommand("check", client) {
    private val patch by argument("PATCH", help = "A patch in JSON.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context) =
        "Checks a patch as every process would, and shows the verdict. Publishes nothing."

    override fun helpEpilog(context: Context) = examples("pomeloladder config check patch.json")

    override fun run() {
        val body = sendUntilAnswered(CHECK_PATH, Method.POST, patch.readText())
        val check = decode<PatchCheck>(body)
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
        val body = sendUntilAnswered(CHECK_PATH, Method.POST, patch.readText())
        if (isJson) return echoJson(body)
        val check = decode<PatchCheck>(body)
        echo("verdict: ${check.verdict}, base ${check.base}, in force ${check.inForce}")
        if (check.changes.isEmpty()) echo("the patch changes nothing")
        for (change in check.changes) {
            echo(change.path)
            change.before?.let { echo("- $it") }
            change.after?.let { echo("+ $it") }
        }
    }
}

/** Shows the configuration in force on each entry VM. */
class ConfigStatus(client: AdministrationClient) : EntryCommand("status", client) {
    override fun help(context: Context) =
        "Shows the configuration in force on all entry VMs and which of them lag."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder config status", "pomeloladder config status --json")

    override fun run() {
        val answers = getFromAll("/v1/configuration")
        val statuses = answers.mapNotNull { entryAnswer ->
            (entryAnswer.answer as? Answer.Success)?.let { decode<ConfigurationStatus>(it.body) }
        }
        val newestSequence = statuses.mapNotNull { it.sequence }.maxOrNull()
        if (isJson) {
            echoAllAsJson(answers)
        } else {
            val rows = answers.map { row(it, newestSequence) }
            val headings =
                listOf("ADDRESS", "VM", "VERSION", "SEQUENCE", "DIGEST", "AGE", "PLATFORM", "STATE")
            echo(table(headings, rows))
        }
        val areAllCurrent =
            statuses.size == answers.size && statuses.all { it.sequence == newestSequence }
        if (!areAllCurrent || reportDivergence(statuses)) throw ProgramResult(ExitCode.PARTIAL)
    }

    private fun row(entryAnswer: EntryAnswer, newestSequence: Long?): List<String> =
        when (val answer = entryAnswer.answer) {
            is Answer.Success -> row(
                entryAnswer.address,
                decode<ConfigurationStatus>(answer.body),
                newestSequence,
            )
            is Answer.Failure -> errorRow(entryAnswer.address, describe(answer))
            is Answer.Unavailable -> errorRow(entryAnswer.address, "no answer: ${answer.cause}")
        }

    private fun row(address: String, status: ConfigurationStatus, newestSequence: Long?) = listOf(
        address,
        status.vm,
        status.version?.toString() ?: "-",
        status.sequence?.let(::ConfigSequence)?.toString() ?: "-",
        status.digest?.take(DIGEST_DIGITS_SHOWN) ?: "-",
        formatDuration(status.ageMs),
        if (!status.isWatchingPlatform) "via peers" else reachability(status),
        stateOf(status.sequence, newestSequence),
    )

    private fun reachability(status: ConfigurationStatus) =
        if (status.isPlatformReachable) "reachable" else "unreachable"

    private fun stateOf(sequence: Long?, newestSequence: Long?): String = when {
        sequence == null -> "no configuration"
        newestSequence != null && sequence < newestSequence -> {
            val newest = ConfigSequence(newestSequence)
            val isSameEra = newest.era == ConfigSequence(sequence).era
            if (isSameEra) "lags by ${newestSequence - sequence}" else "lags behind $newest"
        }
        else -> "current"
    }

    private fun errorRow(address: String, cause: String) =
        listOf(address, "-", "-", "-", "-", "-", "-", cause)

    /**
     * Reports each sequence at which digests differ between entry VMs, and returns whether there is
     * any.
     */
    private fun reportDivergence(statuses: List<ConfigurationStatus>): Boolean {
        val diverged = statuses.groupBy { it.sequence }
            .filterValues { sameSequence -> sameSequence.map { it.digest }.distinct().size > 1 }
        diverged.keys.forEach {
            echo("digests differ at sequence ${it?.let(::ConfigSequence)}", err = true)
        }
        return diverged.isNotEmpty()
    }
}
