package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EventGapEstimatorTest {
    private val estimator = EventGapEstimator()

    @Test
    fun `the estimate follows an engine that slows down within a few dozen events`() {
        estimator.addSample(EventGaps(50, 50 * 30.0), nowMs = 0)
        estimator.addSample(EventGaps(50, 50 * 90.0), nowMs = 500)

        expectThat(estimator.gapMs(500)).isGreaterThan(80.0)
    }

    @Test
    fun `an estimate without new samples expires`() {
        estimator.addSample(EventGaps(50, 50 * 90.0), nowMs = 0)

        expectThat(estimator.gapMs(3_500)).isEqualTo(0.0)
    }

    @Test
    fun `the estimate uses the samples of peers when this process has no stream`() {
        estimator.addPeerSample(40.0)
        estimator.addPeerSample(60.0)
        estimator.addPeerSample(0.0)

        expectThat(estimator.gapMs(0)).isEqualTo(50.0)
    }

    @Test
    fun `the expected number of events follows from the events per token of earlier answers`() {
        val length = AnswerLengthEstimator()
        repeat(100) { length.addSample(expectedTokens = 320, actualEvents = 40) }

        expectThat(length.expectedEvents(800)).isGreaterThan(95.0).isLessThan(105.0)
    }
}
