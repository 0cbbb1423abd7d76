/*
 * The inbox of the subscriber gateway's control thread, and the byte counts that its metrics show.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.Event
import org.pomeloladder.peer.PeerTrafficMeter
import org.pomeloladder.runtime.EventSinkOf
import org.pomeloladder.runtime.PeerByteCounter

/** Takes events of the subscriber gateway. */
typealias EventSink = EventSinkOf<Event>

/** The counts of [meter] for the metrics. */
internal fun peerBytes(meter: PeerTrafficMeter): List<PeerByteCounter> = listOf(
    PeerByteCounter("control", "sent") { meter.controlSentBytes.get() },
    PeerByteCounter("control", "received") { meter.controlReceivedBytes.get() },
    PeerByteCounter("traffic", "sent") { meter.trafficSentBytes.get() },
    PeerByteCounter("traffic", "received") { meter.trafficReceivedBytes.get() },
)
