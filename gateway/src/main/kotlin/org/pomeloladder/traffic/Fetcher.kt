/*
 * HTTP GET client for the platform's store, health checks of backend servers and views of peers. It
 * keeps at most one idle connection to each address.
 */
package org.pomeloladder.traffic

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import org.pomeloladder.configuration.Address

/** Default limit; fits a store page of one megabyte in base64 with its JSON fields. */
private const val MAX_RESPONSE_BYTES = 8 * 1024 * 1024
private const val FIRST_FINAL_STATUS = 200
private const val CONNECT_TIMEOUT_MS = 1_000L

/** Result of [Fetcher.get]. */
sealed interface FetchResult {
    class Completed(val status: Int, val headers: HttpHeaders, val body: ByteArray) : FetchResult

    /**
     * No valid response in time. [isClosed] is true if the server closed the connection, and
     * [isRefused] if it refused to open one.
     */
    data class Failed(
        val cause: String,
        val isClosed: Boolean = false,
        val isRefused: Boolean = false,
    ) : FetchResult
}

/** Sends GET requests on the traffic thread. */
interface Fetcher {
    /** Requests [uri] and calls [onResult] once, at the latest after [timeoutMs]. */
    fun get(address: Address, uri: String, timeoutMs: Long, onResult: (FetchResult) -> Unit)

    /** Runs [task] on the traffic thread after [delayMs]. */
    fun runAfter(delayMs: Long, task: () -> Unit)
}

/** [Fetcher] on Netty. A response with more than [maxBytes], head included, fails. */
internal class NettyFetcher(
    private val loop: EventLoop,
    private val localHost: String,
    private val maxBytes: Int = MAX_RESPONSE_BYTES,
) : Fetcher {
    private val idle = HashMap<Address, FetchConnection>()

    override fun get(
        address: Address,
        uri: String,
        timeoutMs: Long,
        onResult: (FetchResult) -> Unit,
    ) {
        if (!loop.inEventLoop()) {
            loop.execute { get(address, uri, timeoutMs, onResult) }
            return
        }
        val reusable = idle.remove(address)
        if (reusable != null && reusable.isOpen) return reusable.start(uri, timeoutMs, onResult)
        val codec = ServerCodec()
        val connection = FetchConnection(address, codec)
        val bootstrap = clientBootstrap(loop, localHost, minOf(CONNECT_TIMEOUT_MS, timeoutMs))
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(RawByteCounter(connection))
                        .addLast(codec)
                        .addLast(HttpObjectAggregator(maxBytes))
                        .addLast(connection)
                }
            })
        bootstrap.connect(address.host, address.port).addListener { result ->
            if (result.isSuccess) {
                connection.start(uri, timeoutMs, onResult)
            } else {
                val cause = result.cause()
                onResult(FetchResult.Failed(cause.toString(), isRefused = isRefusal(cause)))
            }
        }
    }

    override fun runAfter(delayMs: Long, task: () -> Unit) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS)
    }

    private inner class FetchConnection(
        private val address: Address,
        private val codec: ServerCodec,
    ) : ChannelInboundHandlerAdapter(),
        RawByteFilter {
        private lateinit var channel: Channel
        private var receivedBytes = 0L
        private var onResult: ((FetchResult) -> Unit)? = null
        private var timer: ScheduledFuture<*>? = null

        val isOpen: Boolean
            get() = channel.isActive

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
        }

        fun start(uri: String, timeoutMs: Long, callback: (FetchResult) -> Unit) {
            onResult = callback
            receivedBytes = 0
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri)
            request.headers().set(HttpHeaderNames.HOST, address.toString())
            channel.writeAndFlush(request)
            timer =
                loop.schedule({
                    fail("no response within $timeoutMs ms")
                }, timeoutMs, TimeUnit.MILLISECONDS)
        }

        override fun accept(bytes: Int): Boolean {
            receivedBytes += bytes
            if (onResult != null && receivedBytes <= maxBytes) return true
            fail("response too large, or bytes without a request")
            return false
        }

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            try {
                val response = message as? FullHttpResponse
                if (response == null || onResult == null || !isSound(response)) {
                    return fail("invalid or unexpected HTTP response")
                }
                if (response.status().code() < FIRST_FINAL_STATUS) return
                val bytes = ByteArray(response.content().readableBytes())
                response.content().readBytes(bytes)
                val isReusable = HttpUtil.isKeepAlive(response) && !codec.hasUndecodedBytes
                if (isReusable) idle[address] = this else channel.close()
                finish(FetchResult.Completed(response.status().code(), response.headers(), bytes))
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        private fun isSound(response: FullHttpResponse) = response.decoderResult().isSuccess &&
            !containsStatusLine(response) &&
            hasValidStatus(response)

        override fun channelInactive(ctx: ChannelHandlerContext) {
            idle.remove(address, this)
            finish(FetchResult.Failed("connection closed", isClosed = true))
        }

        @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) =
            fail(cause.toString(), isClosed = cause is IOException)

        private fun fail(cause: String, isClosed: Boolean = false) {
            idle.remove(address, this)
            channel.close()
            finish(FetchResult.Failed(cause, isClosed))
        }

        private fun finish(result: FetchResult) {
            timer?.cancel(false)
            val callback = onResult ?: return
            onResult = null
            callback(result)
        }
    }
}
