/*
 * Metrics of one process, in its own registry. Label values are reason codes and never ids, so that their number stays
 * bounded.
 */
package org.pomeloladder.daemon

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import org.pomeloladder.decisions.Counter as DecisionCounter
import org.pomeloladder.peer.PeerTrafficMeter

private const val NANOS_PER_SECOND = 1e9

/** All metrics of the process. [configVersion] gives the version in force, or zero before the first. */
class Metrics(meter: PeerTrafficMeter, configVersion: () -> Long) : TickMeter {
    private val registry = PrometheusRegistry()
    private val counters = DecisionCounter.entries.associateWith { counter ->
        Counter.builder().name(counter.metricName).help(counter.help)
            .labelNames("reason").register(registry)
    }
    private val ticks = Histogram.builder().name("pomeloladder_tick_seconds")
        .help("Time of one tick of the control thread").register(registry)
    private val tickEvents = Counter.builder().name("pomeloladder_events")
        .help("Events handled by the control thread").register(registry)

    init {
        GaugeWithCallback.builder().name("pomeloladder_peer_bytes")
            .help("Bytes on peer connections since start").labelNames("channel", "direction")
            .callback { callback ->
                callback.call(meter.controlSentBytes.toDouble(), "control", "sent")
                callback.call(meter.controlReceivedBytes.toDouble(), "control", "received")
                callback.call(meter.trafficSentBytes.toDouble(), "traffic", "sent")
                callback.call(meter.trafficReceivedBytes.toDouble(), "traffic", "received")
            }
            .register(registry)
        GaugeWithCallback.builder().name("pomeloladder_config_version")
            .help("Configuration version in force")
            .callback { it.call(configVersion().toDouble()) }
            .register(registry)
    }

    override fun observe(durationNanos: Long, events: Int) {
        ticks.observe(durationNanos / NANOS_PER_SECOND)
        tickEvents.inc(events.toDouble())
    }

    fun count(counter: DecisionCounter, reason: String, amount: Long) =
        counters.getValue(counter).labelValues(reason).inc(amount.toDouble())

    /** All metrics in the Prometheus text format. */
    fun expose(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter(true).write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
