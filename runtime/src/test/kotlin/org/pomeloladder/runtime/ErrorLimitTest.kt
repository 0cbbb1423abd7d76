package org.pomeloladder.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ErrorLimitTest {
    private var nowMs = 0L
    private val limit = ErrorLimit(maxErrors = 2, windowMs = 1_000) { nowMs }

    // Guards against a process that ends because of single malformed messages.
    @Test
    fun `rare errors never reach the limit`() {
        repeat(100) {
            nowMs += 600
            expectThat(limit.tryContinue()).isTrue()
        }
    }

    // Guards against a process that goes on although each tick fails.
    @Test
    fun `frequent errors reach the limit`() {
        limit.tryContinue()
        limit.tryContinue()

        expectThat(limit.tryContinue()).isFalse()
    }
}
