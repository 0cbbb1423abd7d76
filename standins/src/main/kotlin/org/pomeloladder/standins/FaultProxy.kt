/*
 * A TCP proxy on loopback that injects faults. Faults are set for each source, so that one pair of processes can be cut
 * while the target stays reachable for others.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import org.pomeloladder.configuration.Address

private const val CONNECT_TIMEOUT_MS = 2_000
private const val BUFFER_BYTES = 64 * 1024

/** Names the source of a connection from the first bytes that it sends. */
fun interface SourceNaming {
    fun nameOf(firstBytes: ByteArray): String
}

/** Forwards connections to [target]. Sources are told apart by [naming]; all are `any` by default. */
class FaultProxy(
    private val target: Address,
    private val naming: SourceNaming = SourceNaming { ANY_SOURCE },
) : StandIn {
    private val listener = ServerSocket(0, BACKLOG, java.net.InetAddress.getByName(LOOPBACK))
    private val faults = ConcurrentHashMap<String, Fault>()
    private val links = ConcurrentHashMap.newKeySet<Link>()
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()

    override val address = Address(LOOPBACK, listener.localPort)

    override fun start() {
        daemonThread("fault-proxy") {
            while (true) accept(listener.accept())
        }
    }

    /** Sets the fault for connections of [source], old and new. */
    fun inject(fault: Fault, source: String = ANY_SOURCE) = lock.withLock {
        faults[source] = fault
        changed.signalAll()
        links.filter { it.source == source }.forEach { it.faultChanged(fault) }
    }

    /** Ends all faults. */
    fun heal() = faults.keys.forEach { inject(Fault.None, it) }

    override fun close() {
        listener.close()
        links.forEach(Link::close)
    }

    private fun faultOf(source: String): Fault = faults[source] ?: Fault.None

    private fun accept(socket: Socket) = daemonThread("fault-proxy-accept") {
        socket.tcpNoDelay = true
        val first = ByteArray(BUFFER_BYTES)
        val count = socket.getInputStream().read(first)
        val bytes = if (count > 0) first.copyOf(count) else ByteArray(0)
        val source = naming.nameOf(bytes)
        if (count < 0 ||
            faultOf(source) == Fault.Refuse
        ) {
            socket.close()
        } else {
            open(socket, source, bytes)
        }
    }

    private fun open(socket: Socket, source: String, bytes: ByteArray) {
        val upstream = connect() ?: return socket.close()
        val copy = if (faultOf(source) == Fault.Duplicate) connect() else null
        val link = Link(source, socket, upstream, copy)
        links += link
        daemonThread("fault-proxy-to-target") { link.pump(Direction.TO_TARGET, bytes) }
        daemonThread("fault-proxy-to-source") { link.pump(Direction.TO_SOURCE, ByteArray(0)) }
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

    /** One proxied connection; [copy] receives what goes to the target a second time. */
    private inner class Link(
        val source: String,
        private val near: Socket,
        private val far: Socket,
        private val copy: Socket?,
    ) : AutoCloseable {
        @Volatile
        private var hasLostBytes = false

        fun pump(direction: Direction, first: ByteArray) {
            val from = if (direction == Direction.TO_TARGET) near else far
            val to = if (direction == Direction.TO_TARGET) far else near
            try {
                if (first.isNotEmpty()) pass(direction, first, to)
                val buffer = ByteArray(BUFFER_BYTES)
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    pass(direction, buffer.copyOf(count), to)
                }
                awaitRelease(direction)
            } catch (_: IOException) {
                // Either side closed the connection.
            }
            close()
        }

        fun faultChanged(fault: Fault) {
            if (fault == Fault.Refuse || (hasLostBytes && fault !is Fault.Cut)) close()
        }

        override fun close() {
            links -= this
            near.close()
            far.close()
            copy?.close()
        }

        private fun pass(direction: Direction, bytes: ByteArray, to: Socket) {
            when (val fault = awaitRelease(direction)) {
                is Fault.Cut -> if (direction in fault.directions) {
                    hasLostBytes = true
                    return
                }
                is Fault.Delay -> Thread.sleep(fault.delayMs)
                is Fault.Flood -> if (direction == Direction.TO_SOURCE) flood(fault, to)
                else -> Unit
            }
            to.getOutputStream().write(bytes)
            if (direction == Direction.TO_TARGET) copy?.getOutputStream()?.write(bytes)
        }

        /** Writes bytes in place of the answer until the source closes or the fault ends. */
        private fun flood(fault: Fault.Flood, to: Socket) {
            val bytes = fault.repeated.repeat(BUFFER_BYTES / fault.repeated.length).toByteArray()
            to.getOutputStream().write(fault.first.toByteArray())
            while (faultOf(source) == fault) to.getOutputStream().write(bytes)
            throw IOException("the answer is lost")
        }

        /** Waits while bytes going in [direction] are held. */
        private fun awaitRelease(direction: Direction): Fault = lock.withLock {
            var fault = faultOf(source)
            while (fault is Fault.Hold && direction in fault.directions) {
                changed.await()
                fault = faultOf(source)
            }
            fault
        }
    }

    companion object {
        /** The source of all connections when a proxy does not tell sources apart. */
        const val ANY_SOURCE = "any"
        private const val BACKLOG = 128
    }
}

private fun daemonThread(name: String, run: () -> Unit) {
    thread(name = name, isDaemon = true) {
        try {
            run()
        } catch (_: IOException) {
            // The proxy or the connection was closed.
        }
    }
}
