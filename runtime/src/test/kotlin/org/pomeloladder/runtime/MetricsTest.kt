package org.pomeloladder.runtime

import org.junit.jupiter.api.Test
import org.pomeloladder.decisions.Counter
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.RefusalReason
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty

class MetricsTest {
    private val metrics = Metrics(listOf(PeerByteCounter("control", "sent") { 0L }))
    private val journal = Log4jJournal(metrics)

    @Test
    fun `no label is named after an id, so that the number of series stays bounded`() {
        Counter.entries.forEach { journal.count(it, RefusalReason.QUEUE_FULL.code) }
        Latency.entries.forEach { journal.observe(it, 10) }
        val names = Regex("[{,]([a-z_]+)=\"").findAll(metrics.toText()).map { it.groupValues[1] }

        val allowed = setOf("reason", "channel", "direction", "le")
        expectThat(names.toSet() - allowed).isEmpty()
    }

    @Test
    fun `latencies are exposed in seconds, so that a unit error does not hide slow answers`() {
        journal.observe(Latency.FIRST_TOKEN, 1_300)

        expectThat(metrics.toText()).contains("pomeloladder_first_token_seconds_sum 1.3")
    }
}
