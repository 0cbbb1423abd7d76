/*
 * Connection pool for backend servers and peers. The most recently used idle connection is reused
 * first. The number of connections to each backend server is bounded.
 */
package org.pomeloladder.traffic

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.net.InetSocketAddress
import jdk.net.ExtendedSocketOptions
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.gateway.SendTarget

/** Safety margin below the server's keep-alive timeout: its close must not race with a request. */
private const val KEEP_ALIVE_MARGIN_MS = 600L

/**
 * Used when the server sends no keep-alive timeout. The header counts whole seconds, so a server
 * without it is assumed to keep idle connections for less than one second.
 */
private const val DEFAULT_MAX_IDLE_MS = 300L

/** Idle limit for requests that cannot be retried: an older connection may be closed already. */
private const val FRESH_MAX_IDLE_MS = 1_500L

/**
 * Idle time after which connections to peers are closed. It is below [RELAY_IDLE_TIMEOUT_MS], so
 * that the peer's close does not race with a request.
 */
private const val PEER_MAX_IDLE_MS = 8_000L

/** Idle time after which the relay listener closes a peer's connection. */
internal const val RELAY_IDLE_TIMEOUT_MS = 12_000L

/** TCP keep-alive: two probes at intervals of 1 s, so a dead connection ends after about 3 s. */
private const val KEEP_ALIVE_PROBE_IDLE_S = 1
private const val KEEP_ALIVE_PROBE_INTERVAL_S = 1
private const val KEEP_ALIVE_PROBE_COUNT = 2

private const val NANOS_PER_MS = 1_000_000L

/** Returns a client bootstrap with the socket options that all outbound connections share. */
internal fun clientBootstrap(
    loop: EventLoop,
    localHost: String,
    connectTimeoutMs: Long,
): Bootstrap = Bootstrap().group(loop)
    .channel(NioSocketChannel::class.java)
    .localAddress(InetSocketAddress(localHost, 0))
    .option(ChannelOption.TCP_NODELAY, true)
    .option(ChannelOption.SO_KEEPALIVE, true)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_IDLE_S)
    .option(
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
        KEEP_ALIVE_PROBE_INTERVAL_S,
    )
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs.toInt().coerceAtLeast(1))

/**
 * Whether [cause] of a failed connection says that its address refused it. Netty's timeout is a
 * [ConnectException] too, but a silent host refuses nothing.
 */
internal fun isRefusal(cause: Throwable): Boolean =
    cause is ConnectException && cause !is ConnectTimeoutException

/** Result of [ServerConnectionPool.acquire]. */
internal sealed interface ConnectResult {
    class Connected(val connection: ServerConnection) : ConnectResult

    /** [isRefused] tells whether nothing listened at the address. */
    data class Failed(val isRefused: Boolean) : ConnectResult

    /** The server already has as many connections as [SendTarget.Server.maxConnections] allows. */
    data object LimitReached : ConnectResult
}

/** Idle and open connections by address. Confined to the traffic thread. */
internal class ServerConnectionPool(
    private val loop: EventLoop,
    private val localHost: String,
    private val listener: ServerConnectionListener,
) {
    private class AddressPool {
        val idle = ArrayDeque<ServerConnection>()
        var openCount = 0
    }

    private val addressPools = HashMap<Address, AddressPool>()
    private val serverAddresses = HashMap<BackendServerId, Address>()

    /** Passes an idle connection to [target] for [request], or else a new one, to [onResult]. */
    fun acquire(
        target: SendTarget,
        request: RequestId,
        connectTimeoutMs: Long,
        onResult: (ConnectResult) -> Unit,
    ) {
        val addressPool = addressPools.getOrPut(target.address) { AddressPool() }
        if (target is SendTarget.Server) serverAddresses[target.id] = target.address
        val reusable = takeIdle(addressPool, target, request)
        if (reusable != null) return onResult(ConnectResult.Connected(reusable))
        if (target is SendTarget.Server && addressPool.openCount >= target.maxConnections) {
            return onResult(ConnectResult.LimitReached)
        }
        openConnection(addressPool, target, connectTimeoutMs, onResult)
    }

    /**
     * A connection that has carried [request] is left to other requests: a late repetition of the
     * response could not be told from the response to this send.
     */
    private fun takeIdle(
        addressPool: AddressPool,
        target: SendTarget,
        request: RequestId,
    ): ServerConnection? {
        while (true) {
            val index = addressPool.idle.indexOfLast { !it.hasCarried(request) }
            if (index < 0) return null
            val connection = addressPool.idle.removeAt(index)
            val isFresh = idleMs(connection) < maxIdleMs(target, connection)
            if (connection.isOpen && isFresh) return connection
            connection.close()
        }
    }

    private fun idleMs(connection: ServerConnection): Long =
        (System.nanoTime() - connection.idleSinceNanos) / NANOS_PER_MS

    private fun maxIdleMs(target: SendTarget, connection: ServerConnection): Long {
        if (target is SendTarget.Peer) return PEER_MAX_IDLE_MS
        val statedMs = connection.serverKeepAliveMs ?: return DEFAULT_MAX_IDLE_MS
        val limitMs = statedMs - KEEP_ALIVE_MARGIN_MS
        val needsFreshConnection = target is SendTarget.Server && target.needsFreshConnection
        return if (needsFreshConnection) minOf(limitMs, FRESH_MAX_IDLE_MS) else limitMs
    }

    private fun openConnection(
        addressPool: AddressPool,
        target: SendTarget,
        connectTimeoutMs: Long,
        onResult: (ConnectResult) -> Unit,
    ) {
        addressPool.openCount++
        val connection = ServerConnection(target, listener)
        val bootstrap = clientBootstrap(loop, localHost, connectTimeoutMs)
            // Without it, Netty closes the channel alike at an orderly end and at a failed write.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline()
                        .addLast(RawByteCounter(connection))
                        .addLast(ServerCodec())
                        .addLast(connection)
                }
            })
        bootstrap.connect(target.address.host, target.address.port).addListener { result ->
            if (result.isSuccess) {
                onResult(ConnectResult.Connected(connection))
            } else {
                addressPool.openCount--
                onResult(ConnectResult.Failed(isRefusal(result.cause())))
            }
        }
    }

    /** Returns [connection] to the pool as idle. */
    fun release(connection: ServerConnection) {
        addressPools.getOrPut(connection.target.address) { AddressPool() }.idle.addLast(connection)
    }

    /**
     * Removes a connection that either side has closed. Returns whether its server ended it while it
     * was idle, and earlier than it had announced.
     */
    fun onClosed(connection: ServerConnection): Boolean {
        val addressPool = addressPools[connection.target.address] ?: return false
        addressPool.openCount--
        val wasIdle = addressPool.idle.remove(connection)
        return wasIdle &&
            connection.isEndedByServer &&
            connection.serverKeepAliveMs != null &&
            idleMs(connection) < maxIdleMs(connection.target, connection)
    }

    /** Closes the idle connections to [server]. */
    fun closeIdle(server: BackendServerId) {
        val address = serverAddresses[server] ?: return
        addressPools[address]?.idle?.toList()?.forEach { it.close() }
    }

    /** Closes connections that were idle for longer than the server's keep-alive timeout. */
    fun closeExpired() {
        for (addressPool in addressPools.values) {
            val expired = addressPool.idle.filter {
                idleMs(it) >= (it.serverKeepAliveMs ?: PEER_MAX_IDLE_MS)
            }
            expired.forEach { it.close() }
        }
    }
}
