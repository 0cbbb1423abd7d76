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
    private class Lines : Journal {
        val late = ArrayList<Map<String, Any?>>()
        val observed = ArrayList<Pair<Latency, Long>>()

        override fun log(event: LogEvent, details: Map<String, Any?>) {
            if (event == LogEvent.THREADS_LATE) late += details
        }

        override fun count(counter: Counter, reason: String, amount: Long) = Unit

        override fun observe(latency: Latency, durationMs: Long) {
            observed += latency to durationMs
        }
    }

    private val lines = Lines()
    private val gateway = TestGateway(journal = lines)

    private fun timed(waitedMs: Long, lateMs: Long) =
        gateway.tick(TrafficDelay(gateway.nowMs + 1 - waitedMs, lateMs))

    @Test
    fun `both delays are observed, and small ones leave no line`() {
        timed(waitedMs = 7, lateMs = 12)

        expectThat(lines.observed)
            .containsExactly(Latency.TRAFFIC_DELAY to 12L, Latency.CONTROL_DELAY to 7L)
        expectThat(lines.late.size).isEqualTo(0)
    }

    @Test
    fun `a thread that runs late leaves one line a second that says which`() {
        repeat(5) { timed(waitedMs = 3, lateMs = 240) }
        gateway.tick(afterMs = 1_000)
        timed(waitedMs = 150, lateMs = 0)

        expectThat(lines.late.map { it["trafficMs"] to it["controlMs"] })
            .containsExactly(240L to 3L, 0L to 150L)
    }
}
