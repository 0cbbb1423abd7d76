/*
 * Finds free loopback ports for processes that start later. The ports lie below the kernel's
 * ephemeral range, because an outgoing connection could claim a port of that range before the
 * process binds it.
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

/** Starts at an offset derived from the process id, so that concurrent test runs rarely collide. */
private val next = AtomicInteger((ProcessHandle.current().pid() % (LAST_PORT - FIRST_PORT)).toInt())

/** Returns a loopback address whose port is currently free. */
internal fun freeAddress(): Address {
    repeat(LAST_PORT - FIRST_PORT) {
        val port = FIRST_PORT + next.getAndIncrement() % (LAST_PORT - FIRST_PORT)
        if (isFree(port)) return Address(LOOPBACK, port)
    }
    error("no free port between $FIRST_PORT and $LAST_PORT")
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, BACKLOG, InetAddress.getByName(LOOPBACK)).close()
    true
} catch (_: IOException) {
    false
}
