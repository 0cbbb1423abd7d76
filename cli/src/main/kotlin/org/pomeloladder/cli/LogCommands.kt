/*
 * Commands that read the log files of entry VMs.
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

/** A log line about the traced request. [vm] is the name of the log file without its extension. */
internal class TraceLine(val time: String, val vm: String, val event: String, val fields: String)

/** Merges the log lines of one request from several VMs in chronological order. */
class Trace : CliktCommand(name = "trace") {
    private val requestId by argument("REQUEST-ID", help = "Request id sent by the caller.")
    private val logFiles by argument("FILE", help = "Log files, one per VM.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
        .multiple(required = true)

    override fun help(context: Context) =
        "Merges the log lines of one request from several VMs in chronological order."

    override fun helpEpilog(context: Context) =
        examples("pomeloladder trace 9c41d07be2a35f68 front-1.log front-2.log")

    override fun run() {
        val lines = logFiles.flatMap { matchingLines(it) }.sortedBy { it.time }
        if (lines.isEmpty()) {
            echo("no log line found for request $requestId", err = true)
            throw ProgramResult(ExitCode.INVALID)
        }
        lines.forEach { echo("${it.time}  ${it.vm}  ${it.event}  ${it.fields}") }
    }

    private fun matchingLines(file: File): List<TraceLine> = file.useLines { fileLines ->
        fileLines.mapNotNull { parseLine(it, file.nameWithoutExtension) }.toList()
    }

    private fun parseLine(line: String, vm: String): TraceLine? {
        val start = line.indexOf('{')
        if (start < 0) return null
        val root = try {
            Json.parseToJsonElement(line.substring(start)).jsonObject
        } catch (_: SerializationException) {
            // Libraries may log lines that are not JSON events.
            return null
        }
        val message = root["message"] as? JsonObject ?: return null
        if (textOf(message["request"]) != requestId) return null
        val fields = message.filterKeys { it !in NON_FIELD_KEYS }
            .map { (name, value) -> "$name=${textOf(value)}" }
        val event = "${textOf(message["event"])} ${textOf(message["text"])}"
        return TraceLine(textOf(root["time"]), vm, event, fields.joinToString(" "))
    }

    private fun textOf(element: JsonElement?): String =
        (element as? JsonPrimitive)?.content.orEmpty()

    private companion object {
        val NON_FIELD_KEYS = setOf("event", "text", "request")
    }
}
