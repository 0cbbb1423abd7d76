/*
 * A TCP proxy on loopback that injects faults. Faults are set per source, so that the connection
 * between two processes can be cut while other processes still reach the target.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import org.pomeloladder.configuration.Address

private const val CONNECT_TIMEOUT_MS = 2_000
private const val BUFFER_BYTES = 64 * 1024

/** Identifies the source of a connection by the first bytes that it sends. */
fun interface SourceIdentifier {
    fun identify(firstBytes: ByteArray): String
}

/**
 * Forwards connections to [target]. [sourceIdentifier] identifies their source; by default all are
 * [ANY_SOURCE].
 */
class FaultProxy(
    private val target: Address,
    private val sourceIdentifier: SourceIdentifier = SourceIdentifier { ANY_SOURCE },
) : StandIn {
    private val listener = ServerSocket(0, BACKLOG, java.net.InetAddress.getByName(LOOPBACK))
    private val faults = ConcurrentHashMap<String, Fault>()
    private val connections = ConcurrentHashMap.newKeySet<ProxiedConnection>()
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()

    override val address = Address(LOOPBACK, listener.localPort)

    override fun start() {
        daemonThread("fault-proxy") {
            while (true) accept(listener.accept())
        }
    }

    /** Sets the fault for existing and future connections from [source]. */
    fun inject(fault: Fault, source: String = ANY_SOURCE) = lock.withLock {
        faults[source] = fault
        changed.signalAll()
        connections.filter { it.source == source }.forEach { it.onFaultChanged(fault) }
    }

    /** Removes all faults. */
    fun heal() = faults.keys.forEach { inject(Fault.None, it) }

    override fun close() {
        listener.close()
        connections.forEach(ProxiedConnection::close)
    }

    private fun currentFault(source: String): Fault = faults[source] ?: Fault.None

    private fun accept(socket: Socket) = daemonThread("fault-proxy-accept") {
        socket.tcpNoDelay = true
        val first = ByteArray(BUFFER_BYTES)
        val count = socket.getInputStream().read(first)
        val bytes = if (count > 0) first.copyOf(count) else ByteArray(0)
        val source = sourceIdentifier.identify(bytes)
        if (count < 0 ||
            currentFault(source) == Fault.Refuse
        ) {
            socket.close()
        } else {
            open(socket, source, bytes)
        }
    }

    private fun open(socket: Socket, source: String, bytes: ByteArray) {
        val upstream = connect() ?: return socket.close()
        val copy = if (currentFault(source) == Fault.Duplicate) connect() else null
        val connection = ProxiedConnection(source, socket, upstream, copy)
        connections += connection
        daemonThread("fault-proxy-to-target") { connection.pump(Direction.TO_TARGET, bytes) }
        daemonThread("fault-proxy-to-source") { connection.pump(Direction.TO_SOURCE, ByteArray(0)) }
        copy?.let { daemonThread("fault-proxy-copy") { it.getInputStream().skip(Long.MAX_VALUE) } }
    }

    private fun connect(): Socket? = try {
        Socket().apply {
            tcpNoDelay = true
            connect(InetSocketAddress(target.host, target.port), CONNECT_TIMEOUT_MS)
        }
    } catch (_: IOException) {
        null
    }

    /**
     * One proxied connection. [copy], if set, receives a duplicate of all bytes sent to the target.
     */
    private inner class ProxiedConnection(
        val source: String,
        private val sourceSocket: Socket,
        private val targetSocket: Socket,
        private val copy: Socket?,
    ) : AutoCloseable {
        @Volatile
        private var hasDroppedBytes = false
        private val isClosed = AtomicBoolean()

        fun pump(direction: Direction, first: ByteArray) {
            val from = if (direction == Direction.TO_TARGET) sourceSocket else targetSocket
            val to = if (direction == Direction.TO_TARGET) targetSocket else sourceSocket
            try {
                if (first.isNotEmpty()) forward(direction, first, to)
                val buffer = ByteArray(BUFFER_BYTES)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    forward(direction, buffer.copyOf(count), to)
                }
                awaitRelease(direction)
                close()
            } catch (_: IOException) {
                // Expected when either side resets the connection.
                reset()
            }
        }

        fun onFaultChanged(fault: Fault) {
            if (fault == Fault.Refuse || (hasDroppedBytes && fault !is Fault.Cut)) reset()
        }

        /** Closes both sides as broken, so that neither takes the end for one that was meant. */
        private fun reset() = close { it.setSoLinger(true, 0) }

        override fun close() = close {}

        private fun close(prepare: (Socket) -> Unit) {
            if (!isClosed.compareAndSet(false, true)) return
            connections -= this
            prepare(sourceSocket)
            prepare(targetSocket)
            sourceSocket.close()
            targetSocket.close()
            copy?.close()
        }

        private fun forward(direction: Direction, bytes: ByteArray, to: Socket) {
            when (val fault = awaitRelease(direction)) {
                is Fault.Cut -> if (direction in fault.directions) {
                    hasDroppedBytes = true
                    return
                }
                is Fault.Delay -> Thread.sleep(fault.delayMs)
                is Fault.Flood -> if (direction == Direction.TO_SOURCE) flood(fault, to)
                else -> Unit
            }
            to.getOutputStream().write(bytes)
            if (direction == Direction.TO_TARGET) copy?.getOutputStream()?.write(bytes)
        }

        /**
         * Sends generated bytes in place of the response until the source disconnects or the fault
         * is removed.
         */
        private fun flood(fault: Fault.Flood, to: Socket) {
            val bytes = fault.repeated.repeat(BUFFER_BYTES / fault.repeated.length).toByteArray()
            to.getOutputStream().write(fault.first.toByteArray())
            while (currentFault(source) == fault) to.getOutputStream().write(bytes)
            throw IOException("response was replaced by a flood")
        }

        /** Blocks while a fault holds bytes in [direction], then returns the fault in effect. */
        private fun awaitRelease(direction: Direction): Fault = lock.withLock {
            var fault = currentFault(source)
            while (fault is Fault.Hold && direction in fault.directions) {
                changed.await()
                fault = currentFault(source)
            }
            fault
        }
    }

    companion object {
        /** The source of all connections when the proxy does not distinguish sources. */
        const val ANY_SOURCE = "any"
        private const val BACKLOG = 128
    }
}

internal fun daemonThread(name: String, run: () -> Unit) {
    thread(name = name, isDaemon = true) {
        try {
            run()
        } catch (_: IOException) {
            // Expected when the proxy or the connection is closed.
        }
    }
}
