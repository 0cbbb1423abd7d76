package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class DelaySystemTest {
    private class RecordingJournal : Journal {
        val lateLogs = ArrayList<Map<String, Any?>>()
        val observed = ArrayList<Pair<Latency, Long>>()

        override fun log(event: LogEvent, details: Map<String, Any?>) {
            if (event == LogEvent.THREADS_LATE) lateLogs += details
        }

        override fun count(counter: Counter, reason: String, amount: Long) = Unit

        override fun observe(latency: Latency, durationMs: Long) {
            observed += latency to durationMs
        }
    }

    private val recorded = RecordingJournal()
    private val gateway = TestGateway(journal = recorded)

    private fun reportDelay(waitedMs: Long, lateMs: Long) =
        gateway.tick(TrafficDelay(gateway.nowMs + 1 - waitedMs, lateMs))

    @Test
    fun `both delays are recorded and small delays are not logged`() {
        reportDelay(waitedMs = 7, lateMs = 12)

        expectThat(recorded.observed)
            .containsExactly(Latency.TRAFFIC_DELAY to 12L, Latency.CONTROL_DELAY to 7L)
        expectThat(recorded.lateLogs.size).isEqualTo(0)
    }

    @Test
    fun `a late thread is logged at most once a second with both delays`() {
        repeat(5) { reportDelay(waitedMs = 3, lateMs = 240) }
        gateway.tick(afterMs = 1_000)
        reportDelay(waitedMs = 150, lateMs = 0)

        expectThat(recorded.lateLogs.map { it["trafficMs"] to it["controlMs"] })
            .containsExactly(240L to 3L, 0L to 150L)
    }
}
