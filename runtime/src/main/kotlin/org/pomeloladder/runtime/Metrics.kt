/*
 * Metrics of one process, in its own registry. Label values are reason codes and never ids, so that their number stays
 * bounded. The text format shows neither exemplars nor native histograms, so neither is kept: sampling them wakes a thread
 * of its own many times a second.
 */
package org.pomeloladder.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import org.pomeloladder.decisions.Counter as DecisionCounter
import org.pomeloladder.decisions.Latency

private const val NANOS_PER_SECOND = 1e9
private const val MS_PER_SECOND = 1e3

/** Bucket bounds from a cached short answer to the longest deadline. The target of 1.3 s is one of them. */
private val LATENCY_BOUNDS_SECONDS =
    doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0)

/** Values of the control state that gauges show. */
data class GaugeValues(
    val configVersion: Long,
    val configAgeMs: Long,
    val liveEntryVms: Int,
    val ownedServers: Int,
)

/** Bytes of one channel of peer connections since start. */
class PeerByteCounter(val channel: String, val direction: String, val read: () -> Long)

/** All metrics of the process. [peerBytes] is empty where a process has no peer connections of its own. */
class Metrics(peerBytes: List<PeerByteCounter> = emptyList()) : TickMeter {
    private val registry = PrometheusRegistry()
    private val counters = DecisionCounter.entries.associateWith { counter ->
        Counter.builder().name(counter.metricName).help(counter.help)
            .labelNames("reason").withoutExemplars().register(registry)
    }
    private val latencies = Latency.entries.associateWith { latency ->
        Histogram.builder().name(latency.metricName).help(latency.help)
            .classicOnly().withoutExemplars()
            .classicUpperBounds(*LATENCY_BOUNDS_SECONDS).register(registry)
    }
    private val ticks = Histogram.builder().name("pomeloladder_tick_seconds")
        .help("Time of one tick of the control thread")
        .classicOnly().withoutExemplars().register(registry)
    private val tickEvents = Counter.builder().name("pomeloladder_events")
        .help("Events handled by the control thread").withoutExemplars().register(registry)
    private val configVersion =
        gauge("pomeloladder_config_version", "Configuration version in force, 0 before the first")
    private val configAge =
        gauge("pomeloladder_config_age_seconds", "Time since the version came into force")
    private val liveEntryVms =
        gauge("pomeloladder_live_entry_vms", "Known entry VMs that are live, this one included")
    private val ownedServers =
        gauge("pomeloladder_owned_servers", "Backend servers that this process owns")

    init {
        if (peerBytes.isNotEmpty()) register(peerBytes)
    }

    private fun register(peerBytes: List<PeerByteCounter>) {
        GaugeWithCallback.builder().name("pomeloladder_peer_bytes")
            .help("Bytes on peer connections since start").labelNames("channel", "direction")
            .callback { callback ->
                for (bytes in peerBytes) {
                    callback.call(bytes.read().toDouble(), bytes.channel, bytes.direction)
                }
            }
            .register(registry)
    }

    override fun observe(durationNanos: Long, events: Int) {
        ticks.observe(durationNanos / NANOS_PER_SECOND)
        tickEvents.inc(events.toDouble())
    }

    fun count(counter: DecisionCounter, reason: String, amount: Long) =
        counters.getValue(counter).labelValues(reason).inc(amount.toDouble())

    fun observe(latency: Latency, durationMs: Long) =
        latencies.getValue(latency).observe(durationMs / MS_PER_SECOND)

    /** Sets the gauges that show the control state. */
    fun setGauges(state: GaugeValues) {
        configVersion.set(state.configVersion.toDouble())
        configAge.set(state.configAgeMs / MS_PER_SECOND)
        liveEntryVms.set(state.liveEntryVms.toDouble())
        ownedServers.set(state.ownedServers.toDouble())
    }

    private fun gauge(name: String, help: String) =
        Gauge.builder().name(name).help(help).register(registry)

    /** All metrics in the Prometheus text format. */
    fun toText(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter(true).write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
