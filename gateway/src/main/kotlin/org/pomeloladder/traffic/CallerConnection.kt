/*
 * One connection of a caller or of a relaying peer: reads requests, hands each to the control thread, writes its answer,
 * and notices at once when the other side closes.
 */
package org.pomeloladder.traffic

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.RunState

/** A request that was read whole. */
internal class ReadRequest(val head: HttpRequest, val body: ByteArray)

/** What a connection needs of the traffic plane. */
internal interface CallerGate {
    val entry: EntryView

    /** Starts a call; null when the request is not a proper one. */
    fun open(request: ReadRequest, isRelay: Boolean, sink: AnswerSink): Exchange?

    /** The other side went away before the end of [exchange]. */
    fun abandon(exchange: Exchange)

    /** [exchange] has its final answer. */
    fun close(exchange: Exchange)

    fun refusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders): Int

    fun register(connection: CallerConnection)

    fun unregister(connection: CallerConnection)
}

/** One inbound connection. [isRelay] marks connections of peers. */
internal class CallerConnection(private val gate: CallerGate, private val isRelay: Boolean) :
    ChannelInboundHandlerAdapter(),
    AnswerSink {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private val waiting = ArrayDeque<ReadRequest>()
    private var exchange: Exchange? = null
    private var isKeptAlive = true
    private var isClosing = false
    private var quietSinceNanos = System.nanoTime()
    private var isReading = false
    private var written: ChannelFuture? = null

    /** Whether the end of an answer waits for the other side to take its bytes. */
    val isWriting: Boolean
        get() = written?.isDone == false

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        gate.register(this)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        quietSinceNanos = System.nanoTime()
        try {
            if (isClosing) return
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && !isClosing) add(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (isWritable) exchange?.onWritable?.invoke()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        gate.unregister(this)
        waiting.clear()
        val open = exchange ?: return
        exchange = null
        gate.abandon(open)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // A reset or a failed write ends the connection; channelInactive does the rest.
        ctx.close()
    }

    private fun begin(request: HttpRequest) {
        val failure = request.decoderResult().cause()
        if (failure != null) {
            val isTooLong = failure is TooLongFrameException
            reject(
                if (isTooLong) {
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                } else {
                    HttpResponseStatus.BAD_REQUEST
                },
            )
            return
        }
        head = request
        isReading = true
        body.reset()
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > gate.entry.limits.maxBodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            val answer =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            context.writeAndFlush(answer)
        }
    }

    private fun add(content: HttpContent) {
        val request = head ?: return
        if (content.decoderResult().isFailure) return reject(HttpResponseStatus.BAD_REQUEST)
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > gate.entry.limits.maxBodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        head = null
        isReading = false
        waiting.addLast(ReadRequest(request, body.toByteArray()))
        next()
    }

    private fun next() {
        if (exchange != null) return
        val request = waiting.removeFirstOrNull() ?: return
        isKeptAlive = HttpUtil.isKeepAlive(request.head)
        val opened = gate.open(request, isRelay, this)
        if (opened == null) reject(HttpResponseStatus.BAD_REQUEST) else exchange = opened
    }

    private fun reject(status: HttpResponseStatus) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        isClosing = true
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    override val isWritable: Boolean
        get() = context.channel().isWritable

    override fun startStream(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            withoutConnectionFields(headers),
        )
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markClose(response.headers())
        context.write(response)
    }

    override fun streamBytes(bytes: ByteArray) {
        quietSinceNanos = System.nanoTime()
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun endStream() = finish(LastHttpContent.EMPTY_LAST_CONTENT)

    override fun answer(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().set(withoutConnectionFields(headers))
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        markClose(response.headers())
        finish(response)
    }

    override fun refuse(reason: CallRefusal, retryAfterMs: Long?) {
        val open = exchange ?: return
        if (open.isStreamStarted) {
            // Without the last chunk the other side sees that the stream is not complete.
            exchange = null
            gate.close(open)
            isClosing = true
            context.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        val status = gate.refusal(reason, retryAfterMs, response.headers())
        response.status = HttpResponseStatus.valueOf(status)
        if (isRelay && reason.runState == RunState.NOT_RUN) {
            Relay.refuse(response.headers())
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        markClose(response.headers())
        finish(response)
    }

    private fun markClose(headers: HttpHeaders) {
        if (gate.entry.isDraining) isKeptAlive = false
        if (!isKeptAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(last: Any) {
        val open = exchange
        exchange = null
        if (open != null) gate.close(open)
        val writing = context.writeAndFlush(last)
        written = writing
        quietSinceNanos = System.nanoTime()
        if (isKeptAlive) {
            next()
        } else {
            isClosing = true
            writing.addListener(ChannelFutureListener.CLOSE)
        }
    }

    /** Closes the connection when it was idle, or slow with its head, for longer than the limits allow. */
    fun closeIfOverdue(nowNanos: Long) {
        if (exchange != null || isClosing) return
        val limits = gate.entry.limits
        val quietMs = (nowNanos - quietSinceNanos) / NANOS_PER_MS
        // Operators' limits are for callers; peers reuse connections by their own fixed time.
        val idleMs = if (isRelay) RELAY_IDLE_MS else limits.idleTimeoutMs
        val mostMs = if (isReading) maxOf(limits.headerTimeoutMs, idleMs) else idleMs
        if (quietMs > mostMs) closeNow()
    }

    /** Closes an idle connection; one with a call is closed after its answer. */
    fun closeWhenIdle() {
        if (exchange == null && !isReading && waiting.isEmpty()) closeNow() else isKeptAlive = false
    }

    private fun closeNow() {
        isClosing = true
        context.close()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
