/*
 * What the commands that ask entry VMs have in common: addresses, key, output format and exit codes.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.http4k.core.Method

private val ADDRESS = Regex(".+:\\d{1,5}")

/** The answer of the entry VM at [address]. */
internal class Answered(val address: String, val answer: Answer)

/** A command that asks entry VMs through [client]. */
abstract class EntryCommand(name: String, private val client: AdministrationClient) :
    CliktCommand(name = name) {
    private val entryOptions by option(
        "--entry",
        metavar = "HOST:PORT",
        help = "Administration address of an entry VM; repeatable. Default: POMELOLADDER_ENTRIES.",
    ).multiple()
    private val entriesVariable by option(
        hidden = true,
        envvar = "POMELOLADDER_ENTRIES",
    ).default("")
    private val key by option(
        "--key",
        envvar = "POMELOLADDER_KEY",
        help = "Administration key. Default: POMELOLADDER_KEY.",
    ).default("")

    /** Whether to write JSON for programs. */
    protected val isJson by option("--json", help = "Write JSON for programs.").flag()

    /** Addresses to ask, in order. */
    protected val addresses: List<String>
        get() {
            val listed = entriesVariable.split(',').map(String::trim).filter(String::isNotEmpty)
            val found = entryOptions.ifEmpty { listed }
            if (found.isEmpty()) {
                throw UsageError(
                    "name an entry VM by --entry or POMELOLADDER_ENTRIES",
                )
            }
            found.firstOrNull { !ADDRESS.matches(it) }?.let {
                throw UsageError("not an address HOST:PORT: \"$it\"")
            }
            return found
        }

    /** Asks the entry VMs in turn until one answers, and returns the body. */
    protected fun askFirst(
        path: String,
        method: Method = Method.GET,
        body: String? = null,
    ): String {
        val failed = ArrayList<Answered>()
        for (address in addresses) {
            when (val answer = client.send(address, key, method, path, body)) {
                is Answer.Success -> return answer.body
                is Answer.Refused -> refused(address, answer)
                is Answer.None -> failed += Answered(address, answer)
            }
        }
        noAnswer(failed)
    }

    /** Asks all entry VMs. Ends the command when none answers. */
    internal fun askAll(path: String): List<Answered> {
        val answers = addresses.map {
            Answered(it, client.send(it, key, Method.GET, path, null))
        }
        if (answers.all { it.answer is Answer.None }) noAnswer(answers)
        return answers
    }

    /** Ends the command with the typed error of an entry VM. */
    protected fun refused(address: String, answer: Answer.Refused): Nothing {
        echo("$address answered ${answer.status} ${describe(answer)}", err = true)
        throw ProgramResult(ExitCode.REFUSED)
    }

    /** The reason and detail of a typed error. */
    protected fun describe(answer: Answer.Refused): String {
        val detail = if (answer.error.detail.isEmpty()) "" else ": ${answer.error.detail}"
        return answer.error.reason + detail
    }

    /** Reads [body], or ends the command when the versions of tool and daemon do not fit. */
    internal inline fun <reified T> read(body: String): T = try {
        cliJson.decodeFromString<T>(body)
    } catch (_: SerializationException) {
        echo(
            "the answer has an unexpected shape; tool and daemon may differ in version",
            err = true,
        )
        throw ProgramResult(ExitCode.REFUSED)
    }

    /** Writes [body] as indented JSON. */
    protected fun echoJson(body: JsonElement) =
        echo(cliJson.encodeToString(JsonElement.serializer(), body))

    /** Writes the JSON text [body], indented. */
    protected fun echoJson(body: String) = echoJson(cliJson.parseToJsonElement(body))

    /** Writes one JSON object with the answer of each address; errors are objects with an `error`. */
    internal fun echoJsonOfAll(answers: List<Answered>) =
        echoJson(JsonObject(answers.associate { it.address to it.answer.toJson() }))

    private fun noAnswer(answers: List<Answered>): Nothing {
        echo("no entry VM answers:", err = true)
        answers.forEach {
            echo("  ${it.address}: ${(it.answer as? Answer.None)?.cause}", err = true)
        }
        throw ProgramResult(ExitCode.NO_ANSWER)
    }
}
