/*
 * The lives of a simulated backend server that crashes and starts again under its id. After such a
 * start a server is cold for a while: it takes few requests and says so in its store entry and in
 * its answers to health checks.
 */
package org.pomeloladder.standins

import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import org.pomeloladder.configuration.Address

private const val SECOND_MS = 1_000L

/** The requests that reached the server [instance] while it was cold in one of its lives. */
class ColdArrivals(val instance: String, val bornUnixMs: Long) {
    val arrivals = ConcurrentLinkedQueue<Arrival>()

    /** The most requests that arrived within one second. */
    fun worstSecond(): Int = worstSecond(arrivals.map { it.atMs })

    companion object {
        /** The most of [timesMs] that lie within one second. */
        fun worstSecond(timesMs: List<Long>): Int =
            timesMs.maxOfOrNull { start -> timesMs.count { it in start until start + SECOND_MS } }
                ?: 0
    }
}

/** The life of the server [instance] that begins now and is cold for [coldMs]. */
internal class ServerLife(instance: String, coldMs: Long) {
    val bornUnixMs = System.currentTimeMillis()
    val coldArrivals = ColdArrivals(instance, bornUnixMs)
    private val coldUntilMs = RouteServerStandIn.monotonicMs() + coldMs
    private val entryCount = AtomicInteger()

    /** Zero once the server is warm. */
    val coldLeftMs: Long
        get() = (coldUntilMs - RouteServerStandIn.monotonicMs()).coerceAtLeast(0)

    /** The number of the next store entry of this life. */
    fun nextSequence(): Int = entryCount.incrementAndGet()
}

/**
 * Keeps a port for a server that doesn't listen at the moment, so that no other socket gets it.
 * Connections to the port are refused meanwhile.
 */
internal class ReservedPort : AutoCloseable {
    private val socket = Socket().apply {
        reuseAddress = true
        bind(InetSocketAddress(LOOPBACK, 0))
    }

    val address = Address(LOOPBACK, socket.localPort)

    override fun close() = socket.close()
}
