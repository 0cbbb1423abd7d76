/*
 * What the simulated backend servers of the users' platform have in common: they record arrivals,
 * runs and responses, so that a test can compare what callers got with what servers did.
 */
package org.pomeloladder.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.pomeloladder.configuration.Address

/** The arrival of a request at a server, by the system's monotonic clock. */
class Arrival(val requestId: String, val atMs: Long)

/** Rejects a request with [status], without processing it, with the probability [share]. */
data class Rejection(val share: Double, val status: Int) {
    internal fun isDrawn(): Boolean = Random.nextDouble() < share
}

/** A simulated backend server with the id [instance]. */
interface RouteServer : StandIn {
    val instance: String

    /** Number of times that each request was processed, by request id. */
    val runs: ConcurrentHashMap<String, AtomicInteger>

    /** All arrivals so far, including those that the server rejected. */
    val arrivals: ConcurrentLinkedQueue<Arrival>

    /** Applies to requests that the server would accept otherwise. */
    var rejection: Rejection?

    /** Returns whether the server responded with [status] to the request [id]. */
    fun gave(id: String, status: Int): Boolean

    /** The JSON of this server's store entry, which advertises the address [endpoint]. */
    fun entry(
        service: String,
        zone: String,
        state: String = "ready",
        endpoint: Address = address,
    ): String
}
