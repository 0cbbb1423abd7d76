/*
 * The event queue of the subscriber gateway's control thread, and the byte counters of its metrics.
 */
package org.pomeloladder.daemon

import org.pomeloladder.decisions.Event
import org.pomeloladder.peer.PeerTrafficMeter
import org.pomeloladder.runtime.EventSinkOf
import org.pomeloladder.runtime.PeerByteCounter

/** Receives events for the control thread of the subscriber gateway. */
typealias EventSink = EventSinkOf<Event>

/** Exposes the counts of [meter] as metrics. */
internal fun peerBytes(meter: PeerTrafficMeter): List<PeerByteCounter> = listOf(
    PeerByteCounter("control", "sent") { meter.controlSentBytes.get() },
    PeerByteCounter("control", "received") { meter.controlReceivedBytes.get() },
    PeerByteCounter("traffic", "sent") { meter.trafficSentBytes.get() },
    PeerByteCounter("traffic", "received") { meter.trafficReceivedBytes.get() },
)
