package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EventGapEstimatorTest {
    private val estimator = EventGapEstimator()

    @Test
    fun `an engine that turns slow is seen within a few dozen events`() {
        estimator.addSample(EventGaps(50, 50 * 30.0), nowMs = 0)
        estimator.addSample(EventGaps(50, 50 * 90.0), nowMs = 500)

        expectThat(estimator.gapMs(500)).isGreaterThan(80.0)
    }

    @Test
    fun `an old pace is not held against an engine that has no streams any more`() {
        estimator.addSample(EventGaps(50, 50 * 90.0), nowMs = 0)

        expectThat(estimator.gapMs(3_500)).isEqualTo(0.0)
    }

    @Test
    fun `peers fill in where this process has no stream`() {
        estimator.addPeerSample(40.0)
        estimator.addPeerSample(60.0)
        estimator.addPeerSample(0.0)

        expectThat(estimator.gapMs(0)).isEqualTo(50.0)
    }

    @Test
    fun `the expected length follows earlier answers, since estimates are in tokens`() {
        val length = AnswerLengthEstimator()
        repeat(100) { length.addSample(expectedTokens = 320, actualEvents = 40) }

        expectThat(length.expectedEvents(800)).isGreaterThan(95.0).isLessThan(105.0)
    }
}
