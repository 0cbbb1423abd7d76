/*
 * One connection to a backend server or to the relay listener of a peer. It carries one request at
 * a time. Bytes that belong to no request or to a different one are never forwarded, and the
 * connection is not reused after them. Only progress of the response to the current request resets
 * its idle time, and the number of bytes received without progress is bounded.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.NotRunReason
import org.pomeloladder.gateway.ReplacedSend
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.SoftwareVersion

private const val NANOS_PER_MS = 1_000_000L

/** A request that was assigned to a server or peer and has not ended yet. */
internal class ActiveSend(
    val id: SendId,
    val exchange: Exchange,
    val target: SendTarget,
    val isStream: Boolean,
    val headers: HttpHeaders,
    val replaces: ReplacedSend? = null,
) {
    /** Time at which the request was written. */
    var requestNanos = 0L

    /** Whether a byte of the response has arrived, be it within its head. */
    var hasBegun = false

    /** Version of the server that answers; that of a relayed call is known from the head on. */
    var version: SoftwareVersion? = (target as? SendTarget.Server)?.version

    /** Time from the request to the head of its response, or null before the head. */
    var headMs: Long? = null

    /** Time of the first event or body byte, or null before it. */
    var contentNanos: Long? = null

    /** Time of the request, of the last response progress, or of the last resume after a pause. */
    var lastProgressNanos = System.nanoTime()
    var hasForwardedEvent = false

    /** Whether text without an event id was dropped from the response to a resumption. */
    var hasSkippedText = false

    /** Whether reading from the server is paused because the caller reads too slowly. */
    var isPaused = false

    /** Number of new events forwarded, and the time of the last one. */
    var forwardedEvents = 0
    var lastEventNanos = 0L
    var longestGapNanos = 0L
    val splitter = EventSplitter()
    val body = ByteArrayOutputStream()

    /** Time without progress. It is 0 while the server waits for a slow caller. */
    fun idleMs(nowNanos: Long): Long =
        if (isPaused) 0 else (nowNanos - lastProgressNanos) / NANOS_PER_MS

    /** Records the first event or body byte. */
    fun recordContent() {
        if (contentNanos == null) contentNanos = System.nanoTime()
    }

    /** The part of [heldBytes] that [GatewayTraffic] has added to its total. */
    var accountedBytes = 0

    /** Bytes of the response that are buffered and not forwarded yet. */
    val heldBytes: Int
        get() = body.size() + splitter.heldBytes
}

/** Receives the events of server connections. */
internal interface ServerConnectionListener {
    fun readHead(httpResponse: HttpResponse): ResponseHead

    /** The final [head] of the answer to [send] arrived from [target]. */
    fun onHead(send: ActiveSend, target: SendTarget, head: ResponseHead)

    /** The response to the current request made progress. */
    fun onProgress(target: SendTarget)

    /** The first event of a stream was forwarded. */
    fun onResponseStarted(send: ActiveSend, head: ResponseHead)

    /** An event arrived [gapNanos] after the previous one. */
    fun onEventGap(target: SendTarget, gapNanos: Long)

    /** [ActiveSend.heldBytes] of [send] changed. */
    fun onHeldBytesChanged(send: ActiveSend)

    /**
     * [send] ended. [head] is null if none arrived, and [connection] if it cannot be reused.
     */
    fun onSendEnded(
        send: ActiveSend,
        outcome: SendOutcome,
        head: ResponseHead?,
        connection: ServerConnection?,
    )

    fun onConnectionClosed(connection: ServerConnection)
}

/** An outbound HTTP/1.1 connection. */
internal class ServerConnection(
    val target: SendTarget,
    private val listener: ServerConnectionListener,
) : ChannelInboundHandlerAdapter(),
    RawByteFilter {
    private lateinit var channel: Channel
    private lateinit var codec: ServerCodec
    private var send: ActiveSend? = null

    /** Whether the connection has carried a request before the current one. */
    private var isKept = false

    /** The latest requests, to each of which the server may send another response later. */
    private val recentRequests = LinkedHashSet<RequestId>()
    private var response: HttpResponse? = null
    private var head: ResponseHead? = null
    private var isSkippingForeign = false

    /** The outcome that the response head already determines, whatever the body contains. */
    private var earlyOutcome: SendOutcome? = null

    /** Bytes received since the response last made progress. */
    private var bytesSinceProgress = 0L
    private var isReusable = true

    /** The write of the current request. */
    private var requestWrite: ChannelFuture? = null

    /** Whether the server has ended its side of the connection in order. */
    private var hasInputEnded = false

    /** Whether an error ended the connection, which is mostly a reset by the server. */
    private var hasFailed = false

    /** Whether the server, and not this process, ended the connection. */
    val isEndedByServer: Boolean
        get() = hasInputEnded || hasFailed

    /** Whether a response has ended that is complete once the request has been written. */
    private var isAwaitingRequestWrite = false
    var serverKeepAliveMs: Long? = null
        private set
    var idleSinceNanos = System.nanoTime()
        private set

    val isOpen: Boolean
        get() = isReusable && channel.isActive

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        codec = ctx.pipeline().get(ServerCodec::class.java)
    }

    /** Whether [request] is one of the latest requests that the connection has carried. */
    fun hasCarried(request: RequestId) = request in recentRequests

    /** Writes the request of [active]. The connection must be idle. */
    fun start(active: ActiveSend) {
        check(send == null) { "the connection already carries a request" }
        send = active
        recentRequests += active.exchange.spec.requestId
        if (recentRequests.size > MAX_RECENT_REQUESTS) {
            recentRequests -= recentRequests.first()
        }
        active.requestNanos = System.nanoTime()
        active.lastProgressNanos = active.requestNanos
        bytesSinceProgress = 0
        val exchange = active.exchange
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchange.method,
            exchange.uri,
            Unpooled.wrappedBuffer(exchange.body),
        )
        request.headers().set(active.headers)
        if (exchange.body.isNotEmpty() ||
            exchange.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        ) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body.size)
        }
        requestWrite = channel.writeAndFlush(request)
    }

    /** Cancels the current request by closing the connection. */
    fun cancel() {
        detachSend()
        close()
    }

    /** Ends the current request with [BreakReason.TOO_LONG]; the connection is not reused. */
    fun abort() {
        isReusable = false
        finish(SendOutcome.Broken(BreakReason.TOO_LONG))
    }

    override fun accept(bytes: Int): Boolean {
        if (send == null) {
            // Unsolicited bytes. The HTTP decoder would silently skip some of them.
            close()
            return false
        }
        if (!isSkippingForeign) send?.hasBegun = true
        bytesSinceProgress += bytes
        if (bytesSinceProgress <= MAX_BYTES_WITHOUT_PROGRESS) return true
        abort()
        return false
    }

    override fun onInputEnded() {
        isReusable = false
        hasInputEnded = true
    }

    fun close() {
        isReusable = false
        channel.close()
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        // By now the decoder has ended a response without a length.
        if (event is ChannelInputShutdownEvent && !isAwaitingRequestWrite) close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            val active = send
            if (active == null) {
                // Unsolicited bytes.
                close()
                return
            }
            if (message is HttpResponse) onResponseHead(active, message)
            val current = send
            if (message is HttpContent && current != null && response != null) add(current, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        // If the body arrived with the head, the send has already ended and the connection stays
        // reusable. Otherwise the rest of the body is not awaited.
        val outcome = earlyOutcome ?: return
        isReusable = false
        finish(outcome)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isReusable = false
        listener.onConnectionClosed(this)
        finish(SendOutcome.Broken(BreakReason.CONNECTION_LOST))
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        ctx.close()
    }

    private fun onResponseHead(active: ActiveSend, message: HttpResponse) {
        if (message.decoderResult().isFailure) {
            isReusable = false
            val isCut = message.decoderResult().cause() is PrematureChannelClosureException
            val reason = if (isCut) BreakReason.CONNECTION_LOST else BreakReason.NOT_HTTP
            return finish(SendOutcome.Broken(reason))
        }
        if (containsStatusLine(message) || !hasValidStatus(message)) {
            isReusable = false
            return finish(SendOutcome.Broken(BreakReason.NOT_HTTP))
        }
        if (message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return abort()
        if (message.status().code() < FIRST_FINAL_STATUS) {
            active.hasBegun = false
            return
        }
        val responseHead = listener.readHead(message)
        val isForeign = responseHead.requestId != null &&
            responseHead.requestId != active.exchange.spec.requestId.value
        response = message
        head = responseHead
        isSkippingForeign = isForeign
        active.hasBegun = !isForeign
        if (isForeign) {
            isReusable = false
        } else {
            if (target is SendTarget.Peer) active.version = Relay.version(message.headers())
            listener.onHead(active, target, responseHead)
            earlyOutcome = outcomeFromHead(active, responseHead, message.headers())
            recordProgress(active)
            active.headMs = (active.lastProgressNanos - active.requestNanos) / NANOS_PER_MS
        }
        if (!HttpUtil.isKeepAlive(message)) isReusable = false
        serverKeepAliveMs = keepAliveMs(message.headers())
    }

    private fun add(active: ActiveSend, content: HttpContent) {
        val responseHead = checkNotNull(head)
        if (content.decoderResult().isFailure) {
            isReusable = false
            return finish(SendOutcome.Broken(BreakReason.NOT_HTTP))
        }
        if (!isSkippingForeign && !addBodyBytes(active, responseHead, content.content())) return
        if (content !is LastHttpContent) return
        if (isSkippingForeign) {
            isSkippingForeign = false
            response = null
            return
        }
        if (isUnframed()) isReusable = false
        if (earlyOutcome == null && isEndedByConnection()) {
            completeIfEndIsSure(active, responseHead)
        } else {
            complete(active, responseHead)
        }
    }

    /** Whether only the end of the connection has ended the response, not its framing or status. */
    private fun isEndedByConnection() = isUnframed() && (hasInputEnded || !channel.isActive)

    /**
     * Completes a response that the end of the connection has ended, if the server ended it in
     * order. A failed write hides a reset from later reads, and a server that crashes while the
     * request is still being written may end its side in order first.
     */
    private fun completeIfEndIsSure(active: ActiveSend, responseHead: ResponseHead) {
        if (!hasInputEnded) return finish(SendOutcome.Broken(BreakReason.TRUNCATED))
        val write = checkNotNull(requestWrite)
        isAwaitingRequestWrite = true
        write.addListener {
            if (send !== active) return@addListener
            if (write.isSuccess) {
                complete(active, responseHead)
            } else {
                finish(SendOutcome.Broken(BreakReason.TRUNCATED))
            }
        }
    }

    private fun isUnframed(): Boolean {
        val message = response ?: return false
        return !HttpUtil.isTransferEncodingChunked(message) && !HttpUtil.isContentLengthSet(message)
    }

    private fun isForwardable(active: ActiveSend, responseHead: ResponseHead) = active.isStream &&
        responseHead.isSuccess &&
        responseHead.hasServerStamp &&
        !responseHead.hasContentEncoding &&
        responseHead.requestId != null

    private fun addBodyBytes(
        active: ActiveSend,
        responseHead: ResponseHead,
        bytes: ByteBuf,
    ): Boolean {
        if (earlyOutcome != null) return true
        val isInOrder = if (isForwardable(active, responseHead)) {
            forwardEvents(active, responseHead, bytes)
        } else {
            if (responseHead.isSuccess && bytes.isReadable) recordProgress(active)
            if (bytes.isReadable) active.recordContent()
            bytes.readBytes(active.body, bytes.readableBytes())
            true
        }
        if (!isInOrder) {
            isReusable = false
            finish(SendOutcome.Broken(BreakReason.WRONG_ORDER))
            return false
        }
        listener.onHeldBytesChanged(active)
        if (active.splitter.heldBytes > MAX_EVENT_BYTES) abort()
        return send === active
    }

    private fun forwardEvents(
        active: ActiveSend,
        responseHead: ResponseHead,
        bytes: ByteBuf,
    ): Boolean {
        var isInOrder = true
        active.splitter.add(bytes) { event ->
            if (isInOrder) isInOrder = forward(active, responseHead, event)
        }
        if (isInOrder) pauseIfCallerIsSlow(active)
        return isInOrder
    }

    private fun recordProgress(active: ActiveSend) {
        listener.onProgress(target)
        active.lastProgressNanos = System.nanoTime()
        bytesSinceProgress = 0
    }

    /** Stops reading from the server until the caller catches up, which bounds buffered bytes. */
    private fun pauseIfCallerIsSlow(active: ActiveSend) {
        val exchange = active.exchange
        if (active.isPaused || exchange.sink.isWritable) return
        active.isPaused = true
        channel.config().isAutoRead = false
        exchange.onWritable = { if (active.isPaused) resume(active) }
    }

    private fun resume(active: ActiveSend) {
        active.isPaused = false
        active.lastProgressNanos = System.nanoTime()
        active.lastEventNanos = active.lastProgressNanos
        active.exchange.onWritable = null
        channel.config().isAutoRead = true
    }

    private fun forward(
        active: ActiveSend,
        responseHead: ResponseHead,
        event: StreamEvent,
    ): Boolean {
        val headers = checkNotNull(response).headers()
        val exchange = active.exchange
        val previousEventId = exchange.lastEventId
        val isContinuation =
            exchange.isStreamStarted && !active.hasForwardedEvent && previousEventId != null
        if (isContinuation && event.id == null) {
            // The text of an error, not an event of a stream whose events have ids.
            active.hasSkippedText = true
            return true
        }
        if (!exchange.forward(event, responseHead, headers, active.version)) return false
        if (!active.hasForwardedEvent) {
            active.hasForwardedEvent = true
            active.recordContent()
            listener.onResponseStarted(active, responseHead)
        }
        // Events without an id and events that the caller already has are not progress: a server
        // could send them forever.
        if (exchange.lastEventId == previousEventId) return true
        recordProgress(active)
        val nowNanos = System.nanoTime()
        if (active.forwardedEvents > 0) {
            val gapNanos = nowNanos - active.lastEventNanos
            active.longestGapNanos = maxOf(active.longestGapNanos, gapNanos)
            listener.onEventGap(target, gapNanos)
        }
        active.forwardedEvents++
        active.lastEventNanos = nowNanos
        return true
    }

    private fun complete(active: ActiveSend, responseHead: ResponseHead) {
        val headers = checkNotNull(response).headers()
        if (active.hasForwardedEvent) {
            val outcome = if (active.splitter.hasPartialEvent) {
                SendOutcome.Broken(BreakReason.TRUNCATED)
            } else {
                SendOutcome.Answered(responseHead.status)
            }
            return finish(outcome)
        }
        val outcome = outcomeAtEnd(active, responseHead)
        if (outcome is SendOutcome.Answered) {
            active.exchange.heldResponses[active.id] =
                HeldResponse(responseHead, headers, active.body.toByteArray())
        }
        finish(outcome)
    }

    private fun outcomeAtEnd(active: ActiveSend, responseHead: ResponseHead): SendOutcome =
        earlyOutcome ?: when {
            active.isStream && responseHead.isSuccess && !isAlreadyComplete(active) ->
                SendOutcome.Broken(BreakReason.TRUNCATED)
            else -> SendOutcome.Answered(responseHead.status)
        }

    private fun outcomeFromHead(
        active: ActiveSend,
        responseHead: ResponseHead,
        headers: HttpHeaders,
    ): SendOutcome? = when {
        active.target is SendTarget.Peer && Relay.isRefused(headers) ->
            SendOutcome.NotRun(NotRunReason.PEER_REFUSED, Relay.arrivals(headers))
        active.target is SendTarget.Peer && Relay.isCrashed(headers) ->
            SendOutcome.Broken(BreakReason.CRASHED_AT_PEER)
        // It may be a repeated response to an earlier request.
        active.target is SendTarget.Server && isKept && responseHead.requestId == null ->
            SendOutcome.Broken(BreakReason.UNSIGNED)
        responseHead.isWrongInstance -> SendOutcome.NotRun(NotRunReason.WRONG_INSTANCE)
        responseHead.isMarkedNotRun && responseHead.statusImpliesNotRun ->
            SendOutcome.NotRun(NotRunReason.FULL)
        responseHead.isMarkedNotRun -> SendOutcome.NotRun(NotRunReason.REJECTED)
        // Without the server's explicit statement, such a status does not prove that nothing ran.
        responseHead.statusImpliesNotRun -> SendOutcome.Broken(BreakReason.UNSIGNED)
        responseHead.isSuccess &&
            (
                !responseHead.hasServerStamp ||
                    responseHead.hasContentEncoding ||
                    responseHead.requestId == null
                ) ->
            SendOutcome.Broken(BreakReason.UNSIGNED)
        else -> null
    }

    /** Whether a response without events means that the caller already has the last event. */
    private fun isAlreadyComplete(active: ActiveSend) = active.exchange.lastEventId != null &&
        !active.hasSkippedText &&
        !active.splitter.hasPartialEvent &&
        !isUnframed()

    private fun finish(outcome: SendOutcome) {
        val lastHead = head
        val active = detachSend() ?: return
        idleSinceNanos = System.nanoTime()
        val isReused = isReusable && channel.isActive && !codec.hasUndecodedBytes
        listener.onSendEnded(active, outcome, lastHead, if (isReused) this else null)
        if (!isReused && channel.isActive) close()
    }

    /** Detaches the current request from this connection and returns it. */
    private fun detachSend(): ActiveSend? {
        val active = send ?: return null
        send = null
        isKept = true
        response = null
        head = null
        earlyOutcome = null
        if (active.isPaused) resume(active)
        return active
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** A second response comes before many others have passed on the connection. */
        const val MAX_RECENT_REQUESTS = 64

        /** Limit for bytes without progress, such as foreign responses and skipped events. */
        const val MAX_BYTES_WITHOUT_PROGRESS = 256L * 1024
        const val MAX_EVENT_BYTES = 64 * 1024
    }
}
