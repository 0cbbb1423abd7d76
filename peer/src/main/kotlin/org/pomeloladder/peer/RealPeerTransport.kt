/*
 * The transport over Ktor's TCP sockets.
 */
package org.pomeloladder.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.AttemptId
import org.pomeloladder.decisions.ControlMessage

/** A peer that does not finish the handshake in this time is dropped. */
private const val HANDSHAKE_TIMEOUT_MS = 3_000L

/** [PeerTransport] that listens on [listen]. */
class RealPeerTransport(
    private val self: PeerIdentity,
    private val listen: Address,
    val meter: PeerTrafficMeter = PeerTrafficMeter(),
) : PeerTransport {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(self)
    private val dialled = ConcurrentHashMap<Pair<VmId, ChannelKind>, PeerConnection>()
    private val dialLocks = ConcurrentHashMap<Pair<VmId, ChannelKind>, Mutex>()
    private val addressLocks = ConcurrentHashMap<Address, Mutex>()
    private val vmsByAddress = ConcurrentHashMap<Address, VmId>()

    /** Forwards that wait for a connection, and whether they were cancelled. The cancel follows its forward. */
    private val connecting = ConcurrentHashMap<AttemptId, Boolean>()
    private val accepted = ConcurrentHashMap.newKeySet<PeerConnection>()

    @Volatile
    private var addresses: Map<VmId, Address> = emptyMap()
    private lateinit var handler: PeerHandler
    private lateinit var server: ServerSocket

    override fun start(handler: PeerHandler) {
        this.handler = handler
        server = runBlocking { aSocket(selector).tcp().bind(listen.host, listen.port) }
        scope.launch {
            while (true) {
                val socket = server.accept()
                scope.launch { serve(socket) }
            }
        }
    }

    override fun updatePeers(addresses: Map<VmId, Address>) {
        this.addresses = addresses
        for ((key, connection) in dialled) if (key.first !in addresses) connection.close()
    }

    override fun sendControl(to: VmId, message: ControlMessage) {
        val frame = ControlFrame(message)
        val connection = dialled[to to ChannelKind.CONTROL]
        if (connection != null) {
            connection.trySend(frame)
            return
        }
        if (to !in addresses) {
            accepted.firstOrNull { it.isControlOf(to) }?.trySend(frame)
            return
        }
        scope.launch { connect(to, ChannelKind.CONTROL)?.trySend(frame) }
    }

    override fun sendToAddress(address: Address, message: ControlMessage) {
        // The own address may be among the seeds, because all VMs share one list of them.
        if (address == listen) return
        scope.launch { connectTo(address)?.trySend(ControlFrame(message)) }
    }

    private suspend fun connectTo(address: Address): PeerConnection? {
        val lock = addressLocks.computeIfAbsent(address) { Mutex() }
        return lock.withLock {
            val known = vmsByAddress[address]?.let { dialled[it to ChannelKind.CONTROL] }
            known ?: dial(address, ChannelKind.CONTROL, expected = null)?.also {
                vmsByAddress[address] = it.vm
            }
        }
    }

    override fun sendForward(to: VmId, frame: ForwardFrame, onNotSent: () -> Unit) {
        val connection = dialled[to to ChannelKind.TRAFFIC]
        if (connection != null && connection.trySend(frame)) return
        connecting[frame.attempt] = false
        scope.launch {
            val fresh = connect(to, ChannelKind.TRAFFIC)
            val isSent = fresh?.trySend(frame) ?: false
            val isCancelled = connecting.remove(frame.attempt) ?: false
            if (!isSent) {
                onNotSent()
            } else if (isCancelled) {
                fresh?.trySend(CancelFrame(frame.attempt))
            }
        }
    }

    override fun sendCancel(to: VmId, frame: CancelFrame) {
        if (connecting.computeIfPresent(frame.attempt) { _, _ -> true } != null) return
        dialled[to to ChannelKind.TRAFFIC]?.trySend(frame)
    }

    override fun close() {
        scope.cancel()
        dialled.values.forEach(PeerConnection::close)
        accepted.forEach(PeerConnection::close)
        if (::server.isInitialized) server.close()
        selector.close()
    }

    private suspend fun connect(to: VmId, kind: ChannelKind): PeerConnection? {
        val key = to to kind
        val lock = dialLocks.computeIfAbsent(key) { Mutex() }
        return lock.withLock {
            dialled[key] ?: addresses[to]?.let { dial(it, kind, expected = to) }
        }
    }

    private suspend fun dial(
        address: Address,
        kind: ChannelKind,
        expected: VmId?,
    ): PeerConnection? {
        var socket: Socket? = null
        try {
            return withTimeout(HANDSHAKE_TIMEOUT_MS) {
                val opened = aSocket(selector).tcp().connect(address.host, address.port) {
                    noDelay = true
                }
                socket = opened
                val input = opened.openReadChannel()
                val output = opened.openWriteChannel()
                val peer = handshake.dial(input, output, kind)
                if (expected != null && peer.vm != expected) {
                    throw IOException("dialled $expected at $address, found ${peer.vm}")
                }
                PeerConnection(peer, opened, input, output, meter).also(::runDialled)
            }
        } catch (_: TimeoutCancellationException) {
            socket?.close()
        } catch (e: CancellationException) {
            socket?.close()
            throw e
        } catch (_: IOException) {
            socket?.close()
        } catch (_: java.io.IOException) {
            socket?.close()
        } catch (_: java.nio.channels.UnresolvedAddressException) {
            socket?.close()
        }
        return null
    }

    private fun runDialled(connection: PeerConnection) {
        val key = connection.vm to connection.peer.kind
        dialled[key] = connection
        connection.startWriter(scope)
        scope.launch {
            connection.readAll { frame ->
                when (frame) {
                    is TrafficFrame -> handler.onTraffic(connection.vm, frame, connection)
                    is ControlFrame -> handler.onControl(connection.vm, frame.message)
                    is Hello, is Proof -> connection.close()
                }
            }
            dialled.remove(key, connection)
            if (connection.peer.kind == ChannelKind.TRAFFIC) handler.onForwardsLost(connection.vm)
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = prove(socket) ?: return
        accepted += connection
        connection.startWriter(scope)
        val isControl = connection.peer.kind == ChannelKind.CONTROL
        if (isControl) handler.onControlLink(connection.vm, isUp = true)
        connection.readAll { frame ->
            when (frame) {
                is ControlFrame -> handler.onControl(connection.vm, frame.message)
                is TrafficFrame -> handler.onTraffic(connection.vm, frame, connection)
                is Hello, is Proof -> connection.close()
            }
        }
        accepted -= connection
        if (isControl) {
            val isLast = accepted.none { it.isControlOf(connection.vm) }
            if (isLast) handler.onControlLink(connection.vm, isUp = false)
        } else {
            handler.onRepliesLost(connection.vm, connection)
        }
    }

    private suspend fun prove(socket: Socket): PeerConnection? {
        try {
            return withTimeout(HANDSHAKE_TIMEOUT_MS) {
                val input = socket.openReadChannel()
                val output = socket.openWriteChannel()
                val peer = handshake.accept(input, output)
                PeerConnection(peer, socket, input, output, meter)
            }
        } catch (_: TimeoutCancellationException) {
            handler.onRefusedPeer("handshake not finished in $HANDSHAKE_TIMEOUT_MS ms")
        } catch (e: IOException) {
            handler.onRefusedPeer(e.message.orEmpty())
        }
        socket.close()
        return null
    }
}
