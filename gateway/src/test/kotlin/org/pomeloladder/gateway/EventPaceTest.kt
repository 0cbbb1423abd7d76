package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EventPaceTest {
    private val pace = EventPace()

    @Test
    fun `an engine that turns slow is seen within a few dozen events`() {
        pace.note(EventGaps(50, 50 * 30.0), nowMs = 0)
        pace.note(EventGaps(50, 50 * 90.0), nowMs = 500)

        expectThat(pace.gapMs(500)).isGreaterThan(80.0)
    }

    @Test
    fun `an old pace is not held against an engine that has no streams any more`() {
        pace.note(EventGaps(50, 50 * 90.0), nowMs = 0)

        expectThat(pace.gapMs(3_500)).isEqualTo(0.0)
    }

    @Test
    fun `peers fill in where this process has no stream`() {
        pace.noteOfPeer(40.0)
        pace.noteOfPeer(60.0)
        pace.noteOfPeer(0.0)

        expectThat(pace.gapMs(0)).isEqualTo(50.0)
    }

    @Test
    fun `the expected length follows earlier answers, since estimates are in tokens`() {
        val length = AnswerLength()
        repeat(100) { length.note(expectedTokens = 320, seenEvents = 40) }

        expectThat(length.expectedEvents(800)).isGreaterThan(95.0).isLessThan(105.0)
    }
}
