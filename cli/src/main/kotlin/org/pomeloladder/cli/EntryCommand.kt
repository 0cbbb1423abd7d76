/*
 * Shared base of the commands that query entry VMs: addresses, key, output format and exit codes.
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

private val ADDRESS_PATTERN = Regex("[^\\s/@?#]+:(\\d{1,5})")
private const val MAX_PORT = 65_535
private const val HTTP_NOT_FOUND = 404

/** Pairs the [answer] of an entry VM with the [address] that was queried. */
internal class EntryAnswer(val address: String, val answer: Answer)

/** Base class of the commands that send requests to entry VMs through [client]. */
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

    /** Whether to write JSON instead of tables and text. */
    protected val isJson by option("--json", help = "Write JSON output.").flag()

    /**
     * Administration addresses of the entry VMs to query, in order. `--entry` takes precedence over
     * POMELOLADDER_ENTRIES.
     */
    protected val addresses: List<String>
        get() {
            val fromEnv = entriesVariable.split(',').map(String::trim).filter(String::isNotEmpty)
            val selected = entryOptions.ifEmpty { fromEnv }
            if (selected.isEmpty()) {
                throw UsageError(
                    "no entry VM given: use --entry or POMELOLADDER_ENTRIES",
                )
            }
            selected.firstOrNull { !isAddress(it) }?.let {
                throw UsageError("expected an address HOST:PORT, found: \"$it\"")
            }
            return selected
        }

    /**
     * Sends the request to each entry VM in turn until one answers, and returns the response body.
     * Ends the command when that VM answers with an error or none answers.
     */
    protected fun sendUntilAnswered(
        path: String,
        method: Method = Method.GET,
        body: String? = null,
    ): String {
        val unavailable = ArrayList<EntryAnswer>()
        for (address in addresses) {
            when (val answer = client.send(address, key, method, path, body)) {
                is Answer.Success -> return answer.body
                is Answer.Failure -> exitWithError(address, answer)
                is Answer.Unavailable -> unavailable += EntryAnswer(address, answer)
            }
        }
        exitWithoutAnswer(unavailable)
    }

    /**
     * Sends a GET request to all entry VMs. Ends the command when none gives a usable answer. A 404
     * is usable: it means that this entry VM does not have the requested resource.
     */
    internal fun getFromAll(path: String): List<EntryAnswer> {
        val answers = addresses.map {
            EntryAnswer(it, client.send(it, key, Method.GET, path, null))
        }
        val firstFailure = answers.firstNotNullOfOrNull { entryAnswer ->
            (entryAnswer.answer as? Answer.Failure)?.let { entryAnswer.address to it }
        }
        if (answers.none { isUsable(it.answer) }) {
            if (firstFailure == null) exitWithoutAnswer(answers)
            exitWithError(firstFailure.first, firstFailure.second)
        }
        return answers
    }

    private fun isUsable(answer: Answer): Boolean = answer is Answer.Success || isNotFound(answer)

    /** Whether the entry VM does not have the requested resource. */
    protected fun isNotFound(answer: Answer): Boolean =
        answer is Answer.Failure && answer.status == HTTP_NOT_FOUND

    private fun isAddress(text: String): Boolean {
        val port = ADDRESS_PATTERN.matchEntire(text)?.groupValues?.last()?.toInt()
        return port != null && port in 1..MAX_PORT
    }

    /** Prints the typed error of the entry VM at [address] and ends the command. */
    protected fun exitWithError(address: String, answer: Answer.Failure): Nothing {
        echo("$address answered ${answer.status} ${describe(answer)}", err = true)
        throw ProgramResult(ExitCode.ERROR_RESPONSE)
    }

    /** Formats the reason of a typed error and its detail, if any. */
    protected fun describe(answer: Answer.Failure): String {
        val detail = if (answer.error.detail.isEmpty()) "" else ": ${answer.error.detail}"
        return answer.error.reason + detail
    }

    /**
     * Decodes [body], or ends the command if the JSON does not match the types of this version of
     * the tool.
     */
    internal inline fun <reified T> decode(body: String): T = try {
        cliJson.decodeFromString<T>(body)
    } catch (_: SerializationException) {
        exitWithUnexpectedResponse()
    }

    /** Reports a response that the tool cannot decode and ends the command. */
    protected fun exitWithUnexpectedResponse(): Nothing {
        echo(
            "unexpected response format; the tool and the daemon may have different versions",
            err = true,
        )
        throw ProgramResult(ExitCode.ERROR_RESPONSE)
    }

    // The parser accepts an unquoted word, such as the start of an HTML page, as a primitive.
    private fun decodeTree(body: String): JsonElement =
        decode<JsonElement>(body).also { if (it is JsonPrimitive) exitWithUnexpectedResponse() }

    /** Prints [body] as indented JSON. */
    protected fun echoJson(body: JsonElement) =
        echo(cliJson.encodeToString(JsonElement.serializer(), body))

    /** Prints the JSON text [body] with indentation. */
    protected fun echoJson(body: String) = echoJson(decodeTree(body))

    /**
     * Prints a JSON object that maps each address to its response, or to an object with an `error`
     * field.
     */
    internal fun echoAllAsJson(answers: List<EntryAnswer>) =
        echoJson(JsonObject(answers.associate { it.address to toJson(it.answer) }))

    private fun toJson(answer: Answer): JsonElement = when (answer) {
        is Answer.Success -> decodeTree(answer.body)
        is Answer.Failure -> JsonObject(mapOf("error" to JsonPrimitive(answer.error.reason)))
        is Answer.Unavailable -> JsonObject(
            mapOf(
                "error" to JsonPrimitive("no answer: ${answer.cause}"),
            ),
        )
    }

    private fun exitWithoutAnswer(answers: List<EntryAnswer>): Nothing {
        val causes = answers.joinToString("; ") {
            "${it.address}: ${(it.answer as? Answer.Unavailable)?.cause}"
        }
        echo("no entry VM answers: $causes", err = true)
        throw ProgramResult(ExitCode.NO_ANSWER)
    }
}
