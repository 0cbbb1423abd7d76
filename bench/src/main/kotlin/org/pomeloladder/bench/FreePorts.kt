/*
 * Free ports of loopback for processes that are started later. They lie below the range from which the kernel takes
 * ports for outgoing connections; a port of that range can be taken between its choice and its use.
 */
package org.pomeloladder.bench

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import org.pomeloladder.configuration.Address

private const val LOOPBACK = "127.0.0.1"
private const val FIRST_PORT = 12_000
private const val LAST_PORT = 32_000
private const val BACKLOG = 1

/** Two test processes on one machine start at different ports. */
private val next = AtomicInteger((ProcessHandle.current().pid() % (LAST_PORT - FIRST_PORT)).toInt())

/** A port that no one listens on. */
internal fun freeAddress(): Address {
    repeat(LAST_PORT - FIRST_PORT) {
        val port = FIRST_PORT + next.getAndIncrement() % (LAST_PORT - FIRST_PORT)
        if (isFree(port)) return Address(LOOPBACK, port)
    }
    error("no free port from $FIRST_PORT to $LAST_PORT")
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, BACKLOG, InetAddress.getByName(LOOPBACK)).close()
    true
} catch (_: IOException) {
    false
}
