/*
 * One inbound connection of a caller or a relaying peer. It reads requests, opens a call for each,
 * writes the responses and reports when the other side closes the connection before the response.
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
import io.netty.handler.codec.http.HttpMethod
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
import org.pomeloladder.gateway.SoftwareVersion

/** A request whose body was read completely. */
internal class CompleteRequest(val head: HttpRequest, val body: ByteArray)

/** Opens and closes calls on behalf of caller connections. */
internal interface CallHandler {
    val entry: EntryView

    /** Starts a call. Returns null if the request is malformed. */
    fun openCall(request: CompleteRequest, isRelay: Boolean, sink: ResponseSink): Exchange?

    /** The caller closed its connection before [exchange] ended. */
    fun onCallerDisconnected(exchange: Exchange)

    /** The final response of [exchange] was written or its stream was aborted. */
    fun closeCall(exchange: Exchange)

    /** Sets the [headers] of a refusal and returns its status. */
    fun prepareRefusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders): Int

    fun register(connection: CallerConnection)

    fun unregister(connection: CallerConnection)
}

/** An inbound HTTP/1.1 connection. [isRelay] is true for connections of peers. */
internal class CallerConnection(
    private val callHandler: CallHandler,
    private val isRelay: Boolean,
) : ChannelInboundHandlerAdapter(),
    ResponseSink {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private val queued = ArrayDeque<CompleteRequest>()
    private var exchange: Exchange? = null
    private var isPersistent = true
    private var isClosing = false
    private var lastActivityNanos = System.nanoTime()
    private var isReading = false
    private var readStartedNanos = 0L
    private var lastWrite: ChannelFuture? = null

    /** Whether the end of the last response is not flushed to the socket yet. */
    val isWriting: Boolean
        get() = lastWrite?.isDone == false

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        callHandler.register(this)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        lastActivityNanos = System.nanoTime()
        try {
            if (isClosing) return
            if (message is HttpRequest) onRequestHead(message)
            if (message is HttpContent && !isClosing) onRequestContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (isWritable) exchange?.onWritable?.invoke()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        callHandler.unregister(this)
        queued.clear()
        val current = exchange ?: return
        exchange = null
        callHandler.onCallerDisconnected(current)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        // A reset or a failed write closes the connection; channelInactive cleans up.
        ctx.close()
    }

    private fun onRequestHead(request: HttpRequest) {
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
        readStartedNanos = System.nanoTime()
        body.reset()
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > callHandler.entry.limits.maxBodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            val continueResponse =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            context.writeAndFlush(continueResponse)
        }
    }

    private fun onRequestContent(content: HttpContent) {
        val request = head ?: return
        if (content.decoderResult().isFailure) return reject(HttpResponseStatus.BAD_REQUEST)
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > callHandler.entry.limits.maxBodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        head = null
        isReading = false
        queued.addLast(CompleteRequest(request, body.toByteArray()))
        startNextCall()
    }

    private fun startNextCall() {
        if (exchange != null) return
        val request = queued.removeFirstOrNull() ?: return
        isPersistent = HttpUtil.isKeepAlive(request.head)
        val newExchange = callHandler.openCall(request, isRelay, this)
        if (newExchange == null) reject(HttpResponseStatus.BAD_REQUEST) else exchange = newExchange
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

    override fun startStream(status: Int, headers: HttpHeaders, version: SoftwareVersion?) {
        val response = DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            withoutHopByHopHeaders(headers),
        )
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        Relay.writeVersion(response.headers(), version.takeIf { isRelay })
        setCloseHeader(response.headers())
        context.write(response)
    }

    override fun writeStream(bytes: ByteArray) {
        lastActivityNanos = System.nanoTime()
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun endStream() = finish(LastHttpContent.EMPTY_LAST_CONTENT)

    override fun sendResponse(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().set(withoutHopByHopHeaders(headers))
        statedLength(status, headers, body)?.let {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, it)
        }
        setCloseHeader(response.headers())
        finish(response)
    }

    /** The length to state: of [body], or of the one that is left out, if the server stated it. */
    private fun statedLength(status: Int, headers: HttpHeaders, body: ByteArray): String? {
        val isLeftOut = exchange?.method == HttpMethod.HEAD ||
            status == HttpResponseStatus.NOT_MODIFIED.code()
        return if (isLeftOut) headers.get(HttpHeaderNames.CONTENT_LENGTH) else body.size.toString()
    }

    override fun refuse(reason: CallRefusal, retryAfterMs: Long?, arrivals: Int) {
        val current = exchange ?: return
        if (current.isStreamStarted) {
            // Closing without the last chunk tells the caller that the stream is incomplete.
            exchange = null
            callHandler.closeCall(current)
            isClosing = true
            context.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        val status = callHandler.prepareRefusal(reason, retryAfterMs, response.headers())
        response.status = HttpResponseStatus.valueOf(status)
        if (isRelay && reason.runState == RunState.NOT_RUN) {
            Relay.markRefused(response.headers(), arrivals)
        }
        if (isRelay && reason == CallRefusal.SERVER_CRASHED) Relay.markCrashed(response.headers())
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        setCloseHeader(response.headers())
        finish(response)
    }

    private fun setCloseHeader(headers: HttpHeaders) {
        if (callHandler.entry.isDraining) isPersistent = false
        if (!isPersistent) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(lastMessage: Any) {
        val current = exchange
        exchange = null
        if (current != null) callHandler.closeCall(current)
        val finalWrite = context.writeAndFlush(lastMessage)
        lastWrite = finalWrite
        lastActivityNanos = System.nanoTime()
        if (isPersistent) {
            startNextCall()
        } else {
            isClosing = true
            finalWrite.addListener(ChannelFutureListener.CLOSE)
        }
    }

    /**
     * Closes the connection if it was idle or stalled in a request for longer than its limit, or if
     * a request trickles in.
     */
    fun closeIfTimedOut(nowNanos: Long) {
        if (exchange != null || isClosing) return
        val limits = callHandler.entry.limits
        val inactiveMs = (nowNanos - lastActivityNanos) / NANOS_PER_MS
        // Configured limits apply to callers; peers reuse connections for a fixed time.
        val idleMs = if (isRelay) RELAY_IDLE_TIMEOUT_MS else limits.idleTimeoutMs
        val timeoutMs = if (isReading) maxOf(limits.headerTimeoutMs, idleMs) else idleMs
        if (inactiveMs > timeoutMs || isReading && isTooSlow(nowNanos, timeoutMs)) closeNow()
    }

    /** Whether the body has been arriving for [timeoutMs] and at less than the minimum rate. */
    private fun isTooSlow(nowNanos: Long, timeoutMs: Long): Boolean {
        val readingMs = (nowNanos - readStartedNanos) / NANOS_PER_MS
        return readingMs > timeoutMs + body.size() / MIN_BODY_BYTES_PER_MS
    }

    /** Closes the connection now if it is idle, otherwise after the current response. */
    fun closeWhenIdle() {
        if (exchange == null && !isReading && queued.isEmpty()) closeNow() else isPersistent = false
    }

    /** Reads nothing more, and closes the connection now if no call is open on it. */
    fun stopReading() {
        context.channel().config().isAutoRead = false
        if (exchange == null) closeNow()
    }

    private fun closeNow() {
        isClosing = true
        context.close()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** A slower caller is stalled; the slowest links in use carry many times as much. */
        const val MIN_BODY_BYTES_PER_MS = 1
    }
}
