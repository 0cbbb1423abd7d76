package org.pomeloladder.runtime

import java.io.File
import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.LogEvent
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class Log4jJournalTest {
    private val catalogue = File("../docs/events.md").readLines()
        .filter { it.startsWith("| ") && it[2].isDigit() }
        .map { line -> line.trim('|', ' ').split(" | ") }

    // Guards against an alarm for an event that the catalogue does not explain.
    @Test
    fun `the event catalogue lists number, severity and text of every log event as in the code`() {
        val documented = catalogue.map { it.take(3) }
        val declared = LogEvent.entries.map { listOf("${it.number}", it.severity.name, it.text) }

        expectThat(documented).isEqualTo(declared)
    }

    @Test
    fun `event numbers are unique, so that an alarm rule cannot match two events`() {
        expectThat(LogEvent.entries.map { it.number }.toSet()).hasSize(LogEvent.entries.size)
    }
}
