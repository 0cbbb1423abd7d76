/*
 * One connection to a backend server or to a peer's relay listener. It carries one request at a time. Bytes that belong
 * to no request, or to another one, are never passed on, and the connection is not used again after them. Only progress
 * of the answer to the own request counts as a sign of life, and bytes without progress are bounded.
 */
package org.pomeloladder.traffic

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import org.pomeloladder.gateway.BreakReason
import org.pomeloladder.gateway.LoadReport
import org.pomeloladder.gateway.NotRunReason
import org.pomeloladder.gateway.ReplacedSend
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendTarget

private const val NANOS_PER_MS = 1_000_000L

/** A request on its way to a server. */
internal class ActiveSend(
    val id: SendId,
    val exchange: Exchange,
    val target: SendTarget,
    val isStream: Boolean,
    val headers: HttpHeaders,
    val replaces: ReplacedSend? = null,
) {
    var quietSinceNanos = System.nanoTime()
    var isPassedOn = false

    /** Set while the caller does not read as fast as the server sends. */
    var isPaused = false

    /** Events passed on, and when the last of them was. */
    var events = 0
    var eventNanos = 0L
    var longestGapNanos = 0L
    val splitter = EventSplitter()
    val body = ByteArrayOutputStream()

    /** A server that waits for the caller does not count as quiet. */
    fun quietMs(nowNanos: Long): Long =
        if (isPaused) 0 else (nowNanos - quietSinceNanos) / NANOS_PER_MS

    /** What the traffic side has counted of [heldBytes]. */
    var countedBytes = 0

    /** Bytes of the answer that are not passed on yet. */
    val heldBytes: Int
        get() = body.size() + splitter.heldBytes
}

/** What a server connection reports. */
internal interface ServerGate {
    fun read(wire: HttpResponse): ResponseHead

    fun heard(target: SendTarget)

    fun started(send: ActiveSend, load: LoadReport?)

    /** An event came [gapNanos] after the one before it. */
    fun paced(target: SendTarget, gapNanos: Long)

    /** The bytes held for [send] changed. */
    fun held(send: ActiveSend)

    /** [connection] is null when it cannot carry another request. */
    fun ended(
        send: ActiveSend,
        outcome: SendOutcome,
        load: LoadReport?,
        connection: ServerConnection?,
    )

    fun closed(connection: ServerConnection)
}

/** One outbound connection. */
internal class ServerConnection(val target: SendTarget, private val gate: ServerGate) :
    ChannelInboundHandlerAdapter(),
    ByteGate {
    private lateinit var channel: Channel
    private var send: ActiveSend? = null
    private var response: HttpResponse? = null
    private var head: ResponseHead? = null
    private var isSkipping = false

    /** How the send ends whatever its body says, known at the head of the answer. */
    private var verdict: SendOutcome? = null

    /** Bytes since the answer last made progress. */
    private var idleBytes = 0L
    private var isReusable = true
    private var wasReset = false
    var keepMs: Long? = null
        private set
    var idleSinceNanos = System.nanoTime()
        private set

    val isOpen: Boolean
        get() = isReusable && channel.isActive

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** Writes the request of [active]. The connection must be idle. */
    fun start(active: ActiveSend) {
        check(send == null) { "a connection carries one request at a time" }
        send = active
        active.quietSinceNanos = System.nanoTime()
        idleBytes = 0
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
        channel.writeAndFlush(request)
    }

    /** Drops the request under way; the server sees the connection close. */
    fun cancel() {
        leave()
        close()
    }

    /** Ends the request under way because its answer takes too much memory. */
    fun breakOff() {
        isReusable = false
        finish(SendOutcome.Broken(BreakReason.TOO_LONG))
    }

    override fun arrived(bytes: Int): Boolean {
        if (send == null) {
            // Bytes that nobody asked for. The decoder would leave some of them out without a word.
            close()
            return false
        }
        idleBytes += bytes
        if (idleBytes <= MAX_IDLE_BYTES) return true
        breakOff()
        return false
    }

    fun close() {
        isReusable = false
        channel.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            val active = send
            if (active == null) {
                // Bytes that nobody asked for.
                close()
                return
            }
            if (message is HttpResponse) begin(active, message)
            val current = send
            if (message is HttpContent && current != null && response != null) add(current, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        // A short body arrives with its head and leaves the connection in use; a longer one is not waited for.
        val outcome = verdict ?: return
        isReusable = false
        finish(outcome)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isReusable = false
        gate.closed(this)
        finish(SendOutcome.Broken(BreakReason.CONNECTION_LOST))
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still the hook for inbound errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        wasReset = true
        ctx.close()
    }

    private fun begin(active: ActiveSend, message: HttpResponse) {
        if (message.decoderResult().isFailure) {
            isReusable = false
            return finish(SendOutcome.Broken(BreakReason.NOT_HTTP))
        }
        if (message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return breakOff()
        if (message.status().code() < FIRST_FINAL_STATUS) return
        val read = gate.read(message)
        val isOther = read.requestId != null &&
            read.requestId != active.exchange.spec.requestId.value
        response = message
        head = read
        isSkipping = isOther
        if (isOther) {
            isReusable = false
        } else {
            verdict = verdictOf(active, read, message.headers())
            progress(active)
        }
        if (!HttpUtil.isKeepAlive(message)) isReusable = false
        keepMs = keepAliveMs(message.headers())
    }

    private fun add(active: ActiveSend, content: HttpContent) {
        val read = checkNotNull(head)
        if (content.decoderResult().isFailure) {
            isReusable = false
            return finish(SendOutcome.Broken(BreakReason.NOT_HTTP))
        }
        if (!isSkipping && !addBody(active, read, content.content())) return
        if (content !is LastHttpContent) return
        if (isSkipping) {
            isSkipping = false
            response = null
            return
        }
        if (isUnframed() && wasReset) return finish(SendOutcome.Broken(BreakReason.TRUNCATED))
        if (isUnframed()) isReusable = false
        complete(active, read)
    }

    private fun isUnframed(): Boolean {
        val message = response ?: return false
        return !HttpUtil.isTransferEncodingChunked(message) && !HttpUtil.isContentLengthSet(message)
    }

    private fun isPassable(active: ActiveSend, read: ResponseHead) = active.isStream &&
        read.isSuccess &&
        read.hasServerStamp &&
        !read.hasContentEncoding &&
        read.requestId != null

    private fun addBody(active: ActiveSend, read: ResponseHead, bytes: ByteBuf): Boolean {
        if (verdict != null) return true
        val isInOrder = if (isPassable(active, read)) {
            split(active, read, bytes)
        } else {
            if (read.isSuccess && bytes.isReadable) progress(active)
            bytes.readBytes(active.body, bytes.readableBytes())
            true
        }
        if (!isInOrder) {
            isReusable = false
            finish(SendOutcome.Broken(BreakReason.WRONG_ORDER))
            return false
        }
        gate.held(active)
        if (active.splitter.heldBytes > MAX_EVENT_BYTES) breakOff()
        return send === active
    }

    private fun split(active: ActiveSend, read: ResponseHead, bytes: ByteBuf): Boolean {
        var isInOrder = true
        active.splitter.add(bytes) { event ->
            if (isInOrder) isInOrder = pass(active, read, event)
        }
        if (isInOrder) pauseWithCaller(active)
        return isInOrder
    }

    private fun progress(active: ActiveSend) {
        gate.heard(target)
        active.quietSinceNanos = System.nanoTime()
        idleBytes = 0
    }

    /** Reads on only when the caller takes what was passed on, so that nothing piles up between the two. */
    private fun pauseWithCaller(active: ActiveSend) {
        val exchange = active.exchange
        if (active.isPaused || exchange.sink.isWritable) return
        active.isPaused = true
        channel.config().isAutoRead = false
        exchange.onWritable = { if (active.isPaused) resume(active) }
    }

    private fun resume(active: ActiveSend) {
        active.isPaused = false
        active.quietSinceNanos = System.nanoTime()
        active.eventNanos = active.quietSinceNanos
        active.exchange.onWritable = null
        channel.config().isAutoRead = true
    }

    private fun pass(active: ActiveSend, read: ResponseHead, event: StreamEvent): Boolean {
        val headers = checkNotNull(response).headers()
        val exchange = active.exchange
        val before = exchange.lastEventId
        if (!exchange.pass(event, read, headers)) return false
        if (!active.isPassedOn) {
            active.isPassedOn = true
            gate.started(active, read.load)
        }
        // Events without an id, and those that the caller has already, may come without end.
        if (exchange.lastEventId == before) return true
        progress(active)
        val nowNanos = System.nanoTime()
        if (active.events > 0) {
            val gapNanos = nowNanos - active.eventNanos
            active.longestGapNanos = maxOf(active.longestGapNanos, gapNanos)
            gate.paced(target, gapNanos)
        }
        active.events++
        active.eventNanos = nowNanos
        return true
    }

    private fun complete(active: ActiveSend, read: ResponseHead) {
        val headers = checkNotNull(response).headers()
        if (active.isPassedOn) {
            val outcome = if (active.splitter.hasPartialEvent) {
                SendOutcome.Broken(BreakReason.TRUNCATED)
            } else {
                SendOutcome.Answered(read.status)
            }
            return finish(outcome)
        }
        val outcome = judge(active, read)
        if (outcome is SendOutcome.Answered) {
            active.exchange.held[active.id] = HeldAnswer(read, headers, active.body.toByteArray())
        }
        finish(outcome)
    }

    private fun judge(active: ActiveSend, read: ResponseHead): SendOutcome = verdict ?: when {
        active.isStream && read.isSuccess && !isEndOfStream(active) ->
            SendOutcome.Broken(BreakReason.TRUNCATED)
        else -> SendOutcome.Answered(read.status)
    }

    private fun verdictOf(
        active: ActiveSend,
        read: ResponseHead,
        headers: HttpHeaders,
    ): SendOutcome? = when {
        active.target is SendTarget.Peer && Relay.isRefused(headers) ->
            SendOutcome.NotRun(NotRunReason.PEER_REFUSED, hasArrived = false)
        read.isWrongInstance -> SendOutcome.NotRun(NotRunReason.WRONG_INSTANCE)
        read.isMarkedNotRun && read.statusImpliesNotRun -> SendOutcome.NotRun(NotRunReason.FULL)
        read.isMarkedNotRun -> SendOutcome.NotRun(NotRunReason.REJECTED)
        // Without the server's own word these statuses would promise what is not known.
        read.statusImpliesNotRun -> SendOutcome.Broken(BreakReason.UNSIGNED)
        read.isSuccess && (!read.hasServerStamp || read.hasContentEncoding || read.requestId == null) ->
            SendOutcome.Broken(BreakReason.UNSIGNED)
        else -> null
    }

    /** Whether an answer without events says that the caller has the last one already. */
    private fun isEndOfStream(active: ActiveSend) = active.exchange.lastEventId != null &&
        !active.splitter.hasPartialEvent &&
        !isUnframed()

    private fun finish(outcome: SendOutcome) {
        val load = head?.load
        val active = leave() ?: return
        idleSinceNanos = System.nanoTime()
        val isKept = isReusable && channel.isActive
        gate.ended(active, outcome, load, if (isKept) this else null)
        if (!isKept && channel.isActive) close()
    }

    /** Forgets the request under way and returns it. */
    private fun leave(): ActiveSend? {
        val active = send ?: return null
        send = null
        response = null
        head = null
        verdict = null
        if (active.isPaused) resume(active)
        return active
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** Most bytes without progress of the answer, foreign answers and dropped events among them. */
        const val MAX_IDLE_BYTES = 256L * 1024
        const val MAX_EVENT_BYTES = 64 * 1024
    }
}
