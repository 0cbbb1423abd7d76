/*
 * Peer transport over Ktor TCP sockets.
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

/** Maximum time to connect and complete the handshake; the connection is closed after it. */
private const val HANDSHAKE_TIMEOUT_MS = 3_000L

/** A [PeerTransport] over TCP that listens on [listenAddress]. */
class RealPeerTransport(
    private val self: PeerIdentity,
    private val listenAddress: Address,
    val meter: PeerTrafficMeter = PeerTrafficMeter(),
) : PeerTransport {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(self)
    private val outgoing = ConcurrentHashMap<Pair<VmId, ChannelKind>, PeerConnection>()
    private val dialLocks = ConcurrentHashMap<Pair<VmId, ChannelKind>, Mutex>()
    private val addressLocks = ConcurrentHashMap<Address, Mutex>()
    private val vmsByAddress = ConcurrentHashMap<Address, VmId>()

    /**
     * Forwards that wait for a connection. The value is true if the forward has been cancelled.
     * The cancel frame is then sent after the forward frame.
     */
    private val pendingForwards = ConcurrentHashMap<AttemptId, Boolean>()
    private val incoming = ConcurrentHashMap.newKeySet<PeerConnection>()

    @Volatile
    private var addresses: Map<VmId, Address> = emptyMap()
    private lateinit var handler: PeerHandler
    private lateinit var server: ServerSocket

    override fun start(handler: PeerHandler) {
        this.handler = handler
        server = runBlocking {
            aSocket(selector).tcp().bind(listenAddress.host, listenAddress.port)
        }
        scope.launch {
            while (true) {
                val socket = server.accept()
                scope.launch { serveIncoming(socket) }
            }
        }
    }

    override fun updatePeers(addresses: Map<VmId, Address>) {
        this.addresses = addresses
        for ((key, connection) in outgoing) if (key.first !in addresses) connection.close()
    }

    override fun sendControl(to: VmId, message: ControlMessage) {
        val frame = ControlFrame(message)
        val connection = outgoing[to to ChannelKind.CONTROL]
        if (connection != null) {
            connection.trySend(frame)
            return
        }
        if (to !in addresses) {
            incoming.firstOrNull { it.isControlConnectionTo(to) }?.trySend(frame)
            return
        }
        scope.launch { connect(to, ChannelKind.CONTROL)?.trySend(frame) }
    }

    override fun sendToAddress(address: Address, message: ControlMessage) {
        // All VMs use the same seed list, so it can contain this VM's own address.
        if (address == listenAddress) return
        scope.launch { connectTo(address)?.trySend(ControlFrame(message)) }
    }

    private suspend fun connectTo(address: Address): PeerConnection? {
        val lock = addressLocks.computeIfAbsent(address) { Mutex() }
        return lock.withLock {
            val existing = vmsByAddress[address]?.let { outgoing[it to ChannelKind.CONTROL] }
            existing ?: dial(address, ChannelKind.CONTROL, expectedVm = null)?.also {
                vmsByAddress[address] = it.vm
            }
        }
    }

    override fun sendForward(to: VmId, frame: ForwardFrame, onNotSent: () -> Unit) {
        val connection = outgoing[to to ChannelKind.TRAFFIC]
        if (connection != null && connection.trySend(frame)) return
        pendingForwards[frame.attempt] = false
        scope.launch {
            val newConnection = connect(to, ChannelKind.TRAFFIC)
            val isSent = newConnection?.trySend(frame) ?: false
            val isCancelled = pendingForwards.remove(frame.attempt) ?: false
            if (!isSent) {
                onNotSent()
            } else if (isCancelled) {
                newConnection?.trySend(CancelFrame(frame.attempt))
            }
        }
    }

    override fun sendCancel(to: VmId, frame: CancelFrame) {
        if (pendingForwards.computeIfPresent(frame.attempt) { _, _ -> true } != null) return
        outgoing[to to ChannelKind.TRAFFIC]?.trySend(frame)
    }

    override fun close() {
        scope.cancel()
        outgoing.values.forEach(PeerConnection::close)
        incoming.forEach(PeerConnection::close)
        if (::server.isInitialized) server.close()
        selector.close()
    }

    private suspend fun connect(to: VmId, kind: ChannelKind): PeerConnection? {
        val key = to to kind
        val lock = dialLocks.computeIfAbsent(key) { Mutex() }
        return lock.withLock {
            outgoing[key] ?: addresses[to]?.let { dial(it, kind, expectedVm = to) }
        }
    }

    private suspend fun dial(
        address: Address,
        kind: ChannelKind,
        expectedVm: VmId?,
    ): PeerConnection? {
        var socket: Socket? = null
        try {
            return withTimeout(HANDSHAKE_TIMEOUT_MS) {
                val newSocket = aSocket(selector).tcp().connect(address.host, address.port) {
                    noDelay = true
                }
                socket = newSocket
                val input = newSocket.openReadChannel()
                val output = newSocket.openWriteChannel()
                val peer = handshake.dial(input, output, kind)
                if (expectedVm != null && peer.vm != expectedVm) {
                    throw IOException("expected VM $expectedVm at $address, found ${peer.vm}")
                }
                PeerConnection(peer, newSocket, input, output, meter).also(::startOutgoing)
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

    private fun startOutgoing(connection: PeerConnection) {
        val key = connection.vm to connection.peer.kind
        outgoing[key] = connection
        connection.startWriter(scope)
        scope.launch {
            connection.readFrames { frame ->
                when (frame) {
                    is TrafficFrame -> handler.onTraffic(connection.vm, frame, connection)
                    is ControlFrame -> handler.onControl(connection.vm, frame.message)
                    is Hello, is Proof -> connection.close()
                }
            }
            outgoing.remove(key, connection)
            if (connection.peer.kind == ChannelKind.TRAFFIC) handler.onForwardsLost(connection.vm)
        }
    }

    private suspend fun serveIncoming(socket: Socket) {
        val connection = authenticate(socket) ?: return
        incoming += connection
        connection.startWriter(scope)
        val isControl = connection.peer.kind == ChannelKind.CONTROL
        if (isControl) handler.onControlConnectionChange(connection.vm, isUp = true)
        connection.readFrames { frame ->
            when (frame) {
                is ControlFrame -> handler.onControl(connection.vm, frame.message)
                is TrafficFrame -> handler.onTraffic(connection.vm, frame, connection)
                is Hello, is Proof -> connection.close()
            }
        }
        incoming -= connection
        if (isControl) {
            val isLast = incoming.none { it.isControlConnectionTo(connection.vm) }
            if (isLast) handler.onControlConnectionChange(connection.vm, isUp = false)
        } else {
            handler.onRepliesLost(connection.vm, connection)
        }
    }

    private suspend fun authenticate(socket: Socket): PeerConnection? {
        try {
            return withTimeout(HANDSHAKE_TIMEOUT_MS) {
                val input = socket.openReadChannel()
                val output = socket.openWriteChannel()
                val peer = handshake.accept(input, output)
                PeerConnection(peer, socket, input, output, meter)
            }
        } catch (_: TimeoutCancellationException) {
            handler.onHandshakeFailed("handshake not completed within $HANDSHAKE_TIMEOUT_MS ms")
        } catch (e: IOException) {
            handler.onHandshakeFailed(e.message.orEmpty())
        }
        socket.close()
        return null
    }
}
