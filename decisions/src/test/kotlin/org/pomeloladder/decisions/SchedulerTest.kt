package org.pomeloladder.decisions

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo

class SchedulerTest {
    private val working = SystemOf<Unit, String, String> { _, tick ->
        tick.each<String> { tick.emit("done $it") }
    }
    private val failing = SystemOf<Unit, String, String> { _, tick ->
        tick.each<String> { check(it != "malformed") { it } }
    }

    private fun scheduler(onError: (RuntimeException) -> Unit) =
        SchedulerOf(Unit, listOf(working, failing, working), Random(1), NoJournal, onError)

    // Guards against one message whose error keeps all systems from handling the other messages.
    @Test
    fun `an error of one system does not keep the others from running`() {
        val errors = ArrayList<String?>()
        val result = scheduler { errors += it.message }.tick(0, listOf("malformed", "call"))

        expectThat(errors.toList()).isEqualTo(listOf("malformed"))
        expectThat(result.commands)
            .isEqualTo(listOf("done malformed", "done call", "done malformed", "done call"))
    }

    @Test
    fun `an error ends the tick if the process does not go on`() {
        expectThrows<IllegalStateException> { scheduler { throw it }.tick(0, listOf("malformed")) }
    }
}
