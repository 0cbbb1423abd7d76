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
import kotlinx.serialization.json.JsonPrimitive
import org.http4k.core.Method

private val ADDRESS = Regex("[^\\s/@?#]+:(\\d{1,5})")
private const val MAX_PORT = 65_535
private const val NOT_FOUND = 404

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
            found.firstOrNull { !isAddress(it) }?.let {
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

    /**
     * Asks all entry VMs. Ends the command when none gives an answer that can be shown. A 404 is one: it says that this
     * entry VM does not have the row.
     */
    internal fun askAll(path: String): List<Answered> {
        val answers = addresses.map {
            Answered(it, client.send(it, key, Method.GET, path, null))
        }
        val refused = answers.firstNotNullOfOrNull { answered ->
            (answered.answer as? Answer.Refused)?.let { answered.address to it }
        }
        if (answers.none { isShown(it.answer) }) {
            if (refused == null) noAnswer(answers)
            refused(refused.first, refused.second)
        }
        return answers
    }

    private fun isShown(answer: Answer): Boolean = answer is Answer.Success || isNotFound(answer)

    /** Whether the entry VM does not have the row that the command asks for. */
    protected fun isNotFound(answer: Answer): Boolean =
        answer is Answer.Refused && answer.status == NOT_FOUND

    private fun isAddress(text: String): Boolean {
        val port = ADDRESS.matchEntire(text)?.groupValues?.last()?.toInt()
        return port != null && port in 1..MAX_PORT
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
        unexpectedShape()
    }

    /** Ends the command when an answer is not what the tool expects. */
    protected fun unexpectedShape(): Nothing {
        echo(
            "the answer has an unexpected shape; tool and daemon may differ in version",
            err = true,
        )
        throw ProgramResult(ExitCode.REFUSED)
    }

    // The parser takes a single word, such as the start of an HTML page, for a literal.
    private fun readTree(body: String): JsonElement =
        read<JsonElement>(body).also { if (it is JsonPrimitive) unexpectedShape() }

    /** Writes [body] as indented JSON. */
    protected fun echoJson(body: JsonElement) =
        echo(cliJson.encodeToString(JsonElement.serializer(), body))

    /** Writes the JSON text [body], indented. */
    protected fun echoJson(body: String) = echoJson(readTree(body))

    /** Writes one JSON object with the answer of each address; errors are objects with an `error`. */
    internal fun echoJsonOfAll(answers: List<Answered>) =
        echoJson(JsonObject(answers.associate { it.address to json(it.answer) }))

    private fun json(answer: Answer): JsonElement = when (answer) {
        is Answer.Success -> readTree(answer.body)
        is Answer.Refused -> JsonObject(mapOf("error" to JsonPrimitive(answer.error.reason)))
        is Answer.None -> JsonObject(mapOf("error" to JsonPrimitive("no answer: ${answer.cause}")))
    }

    private fun noAnswer(answers: List<Answered>): Nothing {
        val causes = answers.joinToString("; ") {
            "${it.address}: ${(it.answer as? Answer.None)?.cause}"
        }
        echo("no entry VM answers: $causes", err = true)
        throw ProgramResult(ExitCode.NO_ANSWER)
    }
}
