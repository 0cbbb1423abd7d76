/*
 * Commands that read log files of entry VMs.
 */
package org.pomeloladder.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file
import java.io.File
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject

/** One line about a request, from the file of one VM. */
internal class TraceLine(val time: String, val vm: String, val event: String, val fields: String)

/** Shows the lines of one request from the logs of several VMs in the order of time. */
class Trace : CliktCommand(name = "trace") {
    private val request by argument("REQUEST-ID", help = "The id that the caller sent.")
    private val logs by argument("FILE", help = "Log files, one a VM.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
        .multiple(required = true)

    override fun help(context: Context) =
        "Joins the log lines of one request from several VMs in the order of time."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder trace 9c41d07be2a35f68 front-1.log front-2.log")

    override fun run() {
        val lines = logs.flatMap { linesOf(it) }.sortedBy { it.time }
        if (lines.isEmpty()) {
            echo("no line names request $request", err = true)
            throw ProgramResult(ExitCode.INVALID)
        }
        lines.forEach { echo("${it.time}  ${it.vm}  ${it.event}  ${it.fields}") }
    }

    private fun linesOf(file: File): List<TraceLine> = file.useLines { all ->
        all.mapNotNull { parse(it, file.nameWithoutExtension) }.toList()
    }

    private fun parse(line: String, vm: String): TraceLine? {
        val start = line.indexOf('{')
        if (start < 0) return null
        val root = try {
            Json.parseToJsonElement(line.substring(start)).jsonObject
        } catch (_: SerializationException) {
            // Lines of libraries are not events.
            return null
        }
        val message = root["message"] as? JsonObject ?: return null
        if (textOf(message["request"]) != request) return null
        val fields = message.filterKeys { it !in NAMED }
            .map { (name, value) -> "$name=${textOf(value)}" }
        val event = "${textOf(message["event"])} ${textOf(message["text"])}"
        return TraceLine(textOf(root["time"]), vm, event, fields.joinToString(" "))
    }

    private fun textOf(element: JsonElement?): String =
        (element as? JsonPrimitive)?.content.orEmpty()

    private companion object {
        val NAMED = setOf("event", "text", "request")
    }
}
