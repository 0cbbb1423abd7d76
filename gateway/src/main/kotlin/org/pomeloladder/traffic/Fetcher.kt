/*
 * Plain GET calls: the platform's store, health of backend servers, views of peers. One idle connection is kept for each
 * address.
 */
package org.pomeloladder.traffic

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
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

/** The largest answer by default: a page of a megabyte in base64 with its fields. */
private const val MAX_ANSWER_BYTES = 8 * 1024 * 1024
private const val FIRST_FINAL_STATUS = 200
private const val CONNECT_TIMEOUT_MS = 1_000L

/** How a call ended. */
sealed interface FetchResult {
    class Completed(val status: Int, val headers: HttpHeaders, val body: ByteArray) : FetchResult

    /** No usable answer in time. [isClosed] says that the other side closed the connection in place of an answer. */
    data class Failed(val cause: String, val isClosed: Boolean = false) : FetchResult
}

/** Makes GET calls on the traffic thread. */
interface Fetcher {
    /** Calls [onResult] once, at the latest after [timeoutMs]. */
    fun get(address: Address, uri: String, timeoutMs: Long, onResult: (FetchResult) -> Unit)

    /** Runs [task] on the traffic thread after [delayMs]. */
    fun runAfter(delayMs: Long, task: () -> Unit)
}

/** The fetcher of production. An answer has at most [maxBytes], its head included. */
internal class RealFetcher(
    private val loop: EventLoop,
    private val localHost: String,
    private val maxBytes: Int = MAX_ANSWER_BYTES,
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
        val kept = idle.remove(address)
        if (kept != null && kept.isOpen) return kept.start(uri, timeoutMs, onResult)
        val connection = FetchConnection(address)
        val bootstrap = clientBootstrap(loop, localHost, minOf(CONNECT_TIMEOUT_MS, timeoutMs))
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(RawByteCounter(connection))
                        .addLast(HttpClientCodec())
                        .addLast(HttpObjectAggregator(maxBytes))
                        .addLast(connection)
                }
            })
        bootstrap.connect(address.host, address.port).addListener { result ->
            if (result.isSuccess) {
                connection.start(uri, timeoutMs, onResult)
            } else {
                onResult(FetchResult.Failed(result.cause().toString()))
            }
        }
    }

    override fun runAfter(delayMs: Long, task: () -> Unit) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS)
    }

    private inner class FetchConnection(private val address: Address) :
        ChannelInboundHandlerAdapter(),
        ByteGate {
        private lateinit var channel: Channel
        private var receivedBytes = 0L
        private var onResult: ((FetchResult) -> Unit)? = null
        private var timer: ScheduledFuture<*>? = null

        val isOpen: Boolean
            get() = channel.isActive

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
        }

        fun start(uri: String, timeoutMs: Long, whenDone: (FetchResult) -> Unit) {
            onResult = whenDone
            receivedBytes = 0
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri)
            request.headers().set(HttpHeaderNames.HOST, address.toString())
            channel.writeAndFlush(request)
            timer =
                loop.schedule({
                    fail("no answer in $timeoutMs ms")
                }, timeoutMs, TimeUnit.MILLISECONDS)
        }

        override fun arrived(bytes: Int): Boolean {
            receivedBytes += bytes
            if (onResult != null && receivedBytes <= maxBytes) return true
            fail("bytes without end or without a call")
            return false
        }

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            try {
                val answer = message as? FullHttpResponse
                if (answer == null || onResult == null || answer.decoderResult().isFailure) {
                    return fail("not an answer")
                }
                if (answer.status().code() < FIRST_FINAL_STATUS) return
                val bytes = ByteArray(answer.content().readableBytes())
                answer.content().readBytes(bytes)
                if (HttpUtil.isKeepAlive(answer)) idle[address] = this else channel.close()
                finish(FetchResult.Completed(answer.status().code(), answer.headers(), bytes))
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

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
            val whenDone = onResult ?: return
            onResult = null
            whenDone(result)
        }
    }
}
