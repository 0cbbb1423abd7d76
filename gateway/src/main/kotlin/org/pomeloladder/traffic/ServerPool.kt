/*
 * Connections to backend servers and peers: kept ones are used first, the most recently used of them, and their number
 * is bounded for each server.
 */
package org.pomeloladder.traffic

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import java.net.InetSocketAddress
import jdk.net.ExtendedSocketOptions
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.gateway.SendTarget

/** Kept for less than the time that the other side states, so that its close does not cross a request. */
private const val KEEP_MARGIN_MS = 600L

/** The other side states whole seconds; without a statement it keeps connections for less than one. */
private const val UNSTATED_KEEP_MS = 300L

/** A request that cannot be repeated is not risked on a connection that was idle for longer. */
private const val UNSAFE_KEEP_MS = 1_500L

/** Idle connections to peers are kept for less time than the peers keep them, so that no close crosses a request. */
private const val PEER_KEEP_MS = 8_000L
internal const val RELAY_IDLE_MS = 12_000L

/** Seconds of silence before a probe, between probes, and their number: a silent connection ends after about 3 s. */
private const val PROBE_IDLE_S = 1
private const val PROBE_INTERVAL_S = 1
private const val PROBE_COUNT = 2

private const val NANOS_PER_MS = 1_000_000L
private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEAD_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 65_536

/** A client bootstrap with the options of every outbound connection. */
internal fun clientBootstrap(
    loop: EventLoop,
    localHost: String,
    connectTimeoutMs: Long,
): Bootstrap = Bootstrap().group(loop)
    .channel(NioSocketChannel::class.java)
    .localAddress(InetSocketAddress(localHost, 0))
    .option(ChannelOption.TCP_NODELAY, true)
    .option(ChannelOption.SO_KEEPALIVE, true)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_S)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_S)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs.toInt().coerceAtLeast(1))

/** How a request for a connection ended. */
internal sealed interface Connection {
    class Ready(val connection: ServerConnection) : Connection

    data object Failed : Connection

    data object NoneLeft : Connection
}

/** Kept and open connections by address. Only the traffic thread touches it. */
internal class ServerPool(
    private val loop: EventLoop,
    private val localHost: String,
    private val gate: ServerGate,
) {
    private class Slot {
        val idle = ArrayDeque<ServerConnection>()
        var open = 0
    }

    private val slots = HashMap<Address, Slot>()
    private val addresses = HashMap<BackendServerId, Address>()

    /** Hands a connection to [target] to [use], a kept one when there is one. */
    fun take(target: SendTarget, connectTimeoutMs: Long, use: (Connection) -> Unit) {
        val slot = slots.getOrPut(target.address) { Slot() }
        if (target is SendTarget.Server) addresses[target.id] = target.address
        val kept = takeKept(slot, target)
        if (kept != null) return use(Connection.Ready(kept))
        if (target is SendTarget.Server && slot.open >= target.maxConnections) {
            return use(Connection.NoneLeft)
        }
        open(slot, target, connectTimeoutMs, use)
    }

    private fun takeKept(slot: Slot, target: SendTarget): ServerConnection? {
        val nowNanos = System.nanoTime()
        while (true) {
            val connection = slot.idle.removeLastOrNull() ?: return null
            val idleMs = (nowNanos - connection.idleSinceNanos) / NANOS_PER_MS
            if (connection.isOpen && idleMs < keepLimitMs(target, connection)) return connection
            connection.close()
        }
    }

    private fun keepLimitMs(target: SendTarget, connection: ServerConnection): Long {
        if (target is SendTarget.Peer) return PEER_KEEP_MS
        val stated = connection.keepMs ?: return UNSTATED_KEEP_MS
        val keepMs = stated - KEEP_MARGIN_MS
        val needsFreshConnection = target is SendTarget.Server && target.needsFreshConnection
        return if (needsFreshConnection) minOf(keepMs, UNSAFE_KEEP_MS) else keepMs
    }

    private fun open(
        slot: Slot,
        target: SendTarget,
        connectTimeoutMs: Long,
        use: (Connection) -> Unit,
    ) {
        slot.open++
        val connection = ServerConnection(target, gate)
        val bootstrap = clientBootstrap(loop, localHost, connectTimeoutMs)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline()
                        .addLast(RawByteCounter(connection))
                        .addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES))
                        .addLast(connection)
                }
            })
        bootstrap.connect(target.address.host, target.address.port).addListener { result ->
            if (result.isSuccess) {
                use(Connection.Ready(connection))
            } else {
                slot.open--
                use(Connection.Failed)
            }
        }
    }

    /** Keeps [connection] for the next request. */
    fun keep(connection: ServerConnection) {
        slots.getOrPut(connection.target.address) { Slot() }.idle.addLast(connection)
    }

    /** Forgets a connection that was closed by either side. */
    fun closed(connection: ServerConnection) {
        val slot = slots[connection.target.address] ?: return
        slot.open--
        slot.idle.remove(connection)
    }

    /** Closes the idle connections to [server]. */
    fun drop(server: BackendServerId) {
        val address = addresses[server] ?: return
        slots[address]?.idle?.toList()?.forEach { it.close() }
    }

    /** Closes connections that were idle for longer than the other side keeps them. */
    fun closeStale() {
        val nowNanos = System.nanoTime()
        for (slot in slots.values) {
            val stale = slot.idle.filter {
                val idleMs = (nowNanos - it.idleSinceNanos) / NANOS_PER_MS
                idleMs >= (it.keepMs ?: PEER_KEEP_MS)
            }
            stale.forEach { it.close() }
        }
    }
}
