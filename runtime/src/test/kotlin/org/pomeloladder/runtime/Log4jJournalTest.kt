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

    @Test
    fun `the catalogue lists every event as the code has it, so that no alarm is unexplained`() {
        val documented = catalogue.map { it.take(3) }
        val coded = LogEvent.entries.map { listOf("${it.number}", it.severity.name, it.text) }

        expectThat(documented).isEqualTo(coded)
    }

    @Test
    fun `no number has two meanings, so that an alarm rule cannot match a second event`() {
        expectThat(LogEvent.entries.map { it.number }.toSet()).hasSize(LogEvent.entries.size)
    }
}
