/*
 * The traffic thread of the route gateway: one event loop that owns all sockets, executes the
 * commands of the control thread and reports network activity as events.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.pomeloladder.traffic

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.gateway.AnswerStarted
import org.pomeloladder.gateway.CallArrived
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallOrigin
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallerDisconnected
import org.pomeloladder.gateway.CancelSend
import org.pomeloladder.gateway.CheckHealth
import org.pomeloladder.gateway.CloseIdleConnections
import org.pomeloladder.gateway.DeliverAnswer
import org.pomeloladder.gateway.EndStream
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.EventGaps
import org.pomeloladder.gateway.FetchView
import org.pomeloladder.gateway.GatewayCommand
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.HeaderUnreadable
import org.pomeloladder.gateway.HealthChecked
import org.pomeloladder.gateway.IdleConnectionLost
import org.pomeloladder.gateway.LeavingAnnounced
import org.pomeloladder.gateway.NotWrittenReason
import org.pomeloladder.gateway.PublishEntryView
import org.pomeloladder.gateway.PublishedView
import org.pomeloladder.gateway.RefuseCall
import org.pomeloladder.gateway.SendEnded
import org.pomeloladder.gateway.SendGossip
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendNotWritten
import org.pomeloladder.gateway.SendOutcome
import org.pomeloladder.gateway.SendReplaced
import org.pomeloladder.gateway.SendStalled
import org.pomeloladder.gateway.SendStreamMessage
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.ServerActivity
import org.pomeloladder.gateway.StartSend
import org.pomeloladder.gateway.StopGateway
import org.pomeloladder.gateway.TrafficDelay
import org.pomeloladder.gateway.ViewNotReceived
import org.pomeloladder.gateway.ViewReceived
import org.pomeloladder.gateway.ViewSource
import org.pomeloladder.runtime.EventSinkOf
import org.pomeloladder.runtime.SystemMonotonicClock

/** Addresses on which this process listens. */
data class TrafficAddresses(
    val callers: Address,
    val relay: Address,
    val gossip: Address,
    val views: Address,
)

/** Records the time between consecutive events of a stream. Called on the traffic thread. */
fun interface EventGapMeter {
    fun observe(gapMs: Long)
}

/** A socket that could not be bound. */
data class BindFailure(val address: Address, val cause: String)

/** Sockets, calls and sends of one gateway process. */
internal class GatewayTraffic(
    private val addresses: TrafficAddresses,
    private val self: VmId,
    private val wire: WireFormat,
    private val onStopped: () -> Unit,
    private val onMalformedMessage: (String) -> Unit,
    private val eventGapMeter: EventGapMeter = EventGapMeter { },
    private val maxHeldBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
) : CallHandler,
    ServerConnectionListener {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val localHost = addresses.callers.host
    private val pool = ServerConnectionPool(loop, localHost, this)
    private val exchanges = HashMap<CallId, Exchange>()
    private val sends = HashMap<SendId, ActiveSend>()
    private val connectionsBySend = HashMap<SendId, ServerConnection>()
    private val callerConnections = LinkedHashSet<CallerConnection>()
    private val callerListeners = ArrayList<Channel>()
    private val activeServers = HashSet<BackendServerId>()
    private val eventGaps = HashMap<BackendServerId, EventGaps>()
    private val brittleServers = HashMap<BackendServerId, Double>()
    private val gossip = GossipChannel(loop, addresses.gossip, ::onGossip, onMalformedMessage)
    private lateinit var events: EventSinkOf<GatewayEvent>
    private var lastCall = 0L
    private var lastSweepMs = SystemMonotonicClock.nowMs()
    private var totalHeldBytes = 0L
    private val cbor = Cbor

    /** Client for GET requests; runs on the traffic thread. */
    val fetcher: Fetcher = NettyFetcher(loop, localHost)

    private val healthFetcher = NettyFetcher(loop, localHost, MAX_HEALTH_BYTES)

    @Volatile
    override var entry = EntryView()
        private set

    /** Binds all sockets, including those of [apis]. Returns the first failure, or null. */
    fun start(events: EventSinkOf<GatewayEvent>, apis: Map<Address, HttpHandler>): BindFailure? {
        this.events = events
        val handlers = apis + (addresses.views to ::serveView)
        val failure = bindFailure(addresses.gossip, gossip.open())
            ?: bindFailure(addresses.callers, listen(addresses.callers, isRelay = false))
            ?: bindFailure(addresses.relay, listen(addresses.relay, isRelay = true))
            ?: handlers.firstNotNullOfOrNull { (address, handler) ->
                bindFailure(address, ApiListener(address, handler).open(group))
            }
        if (failure == null) scheduleSweep()
        return failure
    }

    private fun bindFailure(address: Address, bound: ChannelFuture): BindFailure? =
        if (bound.isSuccess) null else BindFailure(address, bound.cause().toString())

    /** Executes [command] on the traffic thread. Called by the control thread. */
    fun execute(command: GatewayCommand) {
        if (command is PublishEntryView) {
            publish(command.view)
        } else {
            loop.execute {
                dispatch(command)
            }
        }
    }

    /** Closes all sockets. */
    fun close() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .await(SHUTDOWN_TIMEOUT_MS * 2)
    }

    private fun listen(address: Address, isRelay: Boolean): ChannelFuture =
        ServerBootstrap().group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val headBytes =
                        entry.limits.maxHeaderBytes + if (isRelay) RELAY_ENVELOPE_BYTES else 0
                    channel.pipeline()
                        .addLast(HttpServerCodec(headBytes, headBytes, CHUNK_BYTES))
                        .addLast(CallerConnection(this@GatewayTraffic, isRelay))
                }
            })
            .bind(InetSocketAddress(address.host, address.port)).awaitUninterruptibly()
            .also { callerListeners += it.channel() }

    private fun publish(view: EntryView) {
        val isDrainStarting = view.isDraining && !entry.isDraining
        entry = view
        if (isDrainStarting) {
            loop.schedule(::closeIdleCallers, DRAIN_IDLE_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun closeIdleCallers() = callerConnections.toList().forEach { it.closeWhenIdle() }

    private fun dispatch(command: GatewayCommand) {
        when (command) {
            is StartSend -> startSend(command)
            is CancelSend -> cancelSend(command.send)
            is DeliverAnswer -> deliverAnswer(command)
            is EndStream -> exchanges[command.call]?.sink?.endStream()
            is RefuseCall -> exchanges[command.call]?.sink?.refuse(
                command.reason,
                command.retryAfterMs,
                command.arrivals,
            )
            is SendGossip -> gossip.send(command)
            is SendStreamMessage -> gossip.send(command)
            is FetchView -> fetchView(command.from)
            is CheckHealth -> checkHealth(command)
            is CloseIdleConnections -> pool.closeIdle(command.server)
            is PublishEntryView -> publish(command.view)
            is StopGateway -> {
                val nowNanos = System.nanoTime()
                stopWhenDone(
                    writeDeadlineNanos = nowNanos + command.answerGraceMs * NANOS_PER_MS,
                    callDeadlineNanos = nowNanos + command.callGraceMs * NANOS_PER_MS,
                )
            }
        }
    }

    /**
     * Calls [onStopped] once no response is being written, or [writeDeadlineNanos] has passed, and
     * no call is open, or [callDeadlineNanos] has passed.
     */
    private fun stopWhenDone(writeDeadlineNanos: Long, callDeadlineNanos: Long) {
        val nowNanos = System.nanoTime()
        val isWriting = nowNanos < writeDeadlineNanos && callerConnections.any { it.isWriting }
        val isServing = nowNanos < callDeadlineNanos && exchanges.isNotEmpty()
        if (!isWriting && !isServing) {
            stopReading()
            return onStopped()
        }
        loop.schedule(
            { stopWhenDone(writeDeadlineNanos, callDeadlineNanos) },
            STOP_POLL_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Reads no further request: nothing will answer it. Calls that are still open are cut off. */
    private fun stopReading() {
        callerListeners.forEach { it.close() }
        callerConnections.toList().forEach { it.stopReading() }
    }

    override fun openCall(
        request: CompleteRequest,
        isRelay: Boolean,
        sink: ResponseSink,
    ): Exchange? {
        val headers = withoutHopByHopHeaders(request.head.headers())
        val envelope = Relay.removeEnvelope(headers)
        val read = wire.readCall(request.head.uri(), headers) ?: return null
        val spec = when {
            !isRelay -> read
            envelope == null -> return null
            else -> read.copy(
                budgetMs = envelope.remainingMs,
                resumeAfter = envelope.resumeAfter,
                origin = CallOrigin.Peer(
                    envelope.from,
                    envelope.catalogVersion,
                    envelope.service,
                    envelope.version,
                ),
            )
        }
        val call = CallId(++lastCall)
        val exchange = Exchange(
            call = call,
            spec = spec,
            method = request.head.method(),
            uri = request.head.uri(),
            headers = headers,
            body = request.body,
            sink = sink,
        )
        exchanges[call] = exchange
        events.post(CallArrived(call, spec))
        return exchange
    }

    override fun onCallerDisconnected(exchange: Exchange) {
        exchanges.remove(exchange.call)
        events.post(CallerDisconnected(exchange.call))
    }

    override fun closeCall(exchange: Exchange) {
        exchanges.remove(exchange.call)
    }

    override fun prepareRefusal(
        reason: CallRefusal,
        retryAfterMs: Long?,
        headers: HttpHeaders,
    ): Int = wire.writeRefusal(reason, retryAfterMs, headers)

    override fun register(connection: CallerConnection) {
        callerConnections += connection
    }

    override fun unregister(connection: CallerConnection) {
        callerConnections -= connection
    }

    private fun startSend(command: StartSend) {
        val exchange = exchanges[command.call]
        if (exchange == null) {
            events.post(SendEnded(command.send, SendOutcome.Cancelled, null))
            return
        }
        val send = ActiveSend(
            id = command.send,
            exchange = exchange,
            target = command.target,
            isStream = command.isStream,
            headers = requestHeaders(command, exchange),
            replaces = command.replaces,
        )
        sends[send.id] = send
        val request = exchange.spec.requestId
        pool.acquire(command.target, request, command.connectTimeoutMs) {
            onConnectResult(send, it)
        }
    }

    private fun requestHeaders(command: StartSend, exchange: Exchange): HttpHeaders {
        val headers = exchange.headers.copy()
        when (val target = command.target) {
            is SendTarget.Server -> {
                val resumeAfter = exchange.lastEventId
                val head =
                    ServerRequestHead(target, command.remainingMs, command.priority, resumeAfter)
                wire.writeServerRequestHead(headers, head)
            }
            is SendTarget.Peer -> Relay.writeEnvelope(
                headers,
                RelayEnvelope(
                    from = self,
                    catalogVersion = target.catalogVersion,
                    remainingMs = command.remainingMs,
                    resumeAfter = exchange.lastEventId,
                    service = target.service,
                    version = target.version,
                ),
            )
        }
        return headers
    }

    private fun onConnectResult(send: ActiveSend, result: ConnectResult) {
        val isStillActive = sends[send.id] === send
        when (result) {
            is ConnectResult.Connected -> if (isStillActive && tryReplace(send)) {
                connectionsBySend[send.id] = result.connection
                result.connection.start(send)
            } else {
                pool.release(result.connection)
                reportNotWritten(send, isStillActive, NotWrittenReason.NOT_NEEDED)
            }
            is ConnectResult.Failed -> reportNotWritten(
                send,
                isStillActive,
                NotWrittenReason.CONNECT_FAILED,
                result.isRefused,
            )
            ConnectResult.LimitReached ->
                reportNotWritten(send, isStillActive, NotWrittenReason.NO_CONNECTION_LEFT)
        }
    }

    /**
     * Cancels the send that [send] replaces, if any. Returns false if that send has ended or made
     * progress, so that [send] is not needed or may not go on with what the caller has got since.
     */
    private fun tryReplace(send: ActiveSend): Boolean {
        val replaced = send.replaces ?: return true
        val previous = sends[replaced.send] ?: return false
        if (send.exchange.isStreamStarted != replaced.hasStarted) return false
        val idleMs = previous.idleMs(System.nanoTime())
        if (idleMs < replaced.idleMs) return false
        cancelSend(previous.id)
        val hasStarted = send.exchange.isStreamStarted
        events.post(SendReplaced(previous.id, send.id, idleMs, hasStarted))
        return true
    }

    private fun reportNotWritten(
        send: ActiveSend,
        isStillActive: Boolean,
        reason: NotWrittenReason,
        isRefused: Boolean = false,
    ) {
        if (!isStillActive) return
        sends.remove(send.id)
        events.post(SendNotWritten(send.id, reason, isRefused))
    }

    private fun cancelSend(id: SendId) {
        sends.remove(id)?.let { totalHeldBytes -= it.accountedBytes }
        connectionsBySend.remove(id)?.cancel()
    }

    private fun deliverAnswer(command: DeliverAnswer) {
        val exchange = exchanges[command.call] ?: return
        val heldResponse = exchange.heldResponses[command.send] ?: return
        if (exchange.isStreamStarted) {
            // A stream may start after the control thread has issued this command.
            return exchange.sink.refuse(
                CallRefusal.STREAM_BROKEN,
                retryAfterMs = null,
                arrivals = 1,
            )
        }
        exchange.sink.sendResponse(
            heldResponse.head.status,
            heldResponse.headers,
            heldResponse.body,
        )
    }

    override fun readHead(httpResponse: HttpResponse): ResponseHead =
        this.wire.readResponseHead(httpResponse.status().code(), httpResponse.headers())

    override fun onHead(send: ActiveSend, target: SendTarget, head: ResponseHead) {
        // A peer passes on the head of a server of its own region, which this process never calls.
        if (target !is SendTarget.Server || head.isWrongInstance) return
        head.unreadableHeader?.let { events.post(HeaderUnreadable(target.id, it)) }
        head.brittlePerS?.let { brittleServers[target.id] = it }
        if (!head.isLeaving) return
        val requestAgeMs = (System.nanoTime() - send.requestNanos) / NANOS_PER_MS
        events.post(LeavingAnnounced(target.id, requestAgeMs))
    }

    override fun onProgress(target: SendTarget) {
        if (target is SendTarget.Server) activeServers += target.id
    }

    override fun onEventGap(target: SendTarget, gapNanos: Long) {
        if (target !is SendTarget.Server) return
        val previous = eventGaps[target.id] ?: EventGaps(0, 0.0)
        eventGapMeter.observe(gapNanos / NANOS_PER_MS)
        val totalMs = previous.totalMs + gapNanos.toDouble() / NANOS_PER_MS
        eventGaps[target.id] = EventGaps(previous.count + 1, totalMs)
    }

    override fun onResponseStarted(send: ActiveSend, head: ResponseHead) = events.post(
        AnswerStarted(
            send = send.id,
            load = head.load,
            limitPerS = head.limitPerS,
            peerVersion = send.version.takeIf { send.target is SendTarget.Peer },
        ),
    )

    override fun onHeldBytesChanged(send: ActiveSend) {
        if (send.id !in sends) return
        totalHeldBytes += send.heldBytes - send.accountedBytes
        send.accountedBytes = send.heldBytes
        if (totalHeldBytes <= maxHeldBytes) return
        val largest = sends.values.maxBy { it.heldBytes }
        connectionsBySend[largest.id]?.abort()
    }

    override fun onSendEnded(
        send: ActiveSend,
        outcome: SendOutcome,
        head: ResponseHead?,
        connection: ServerConnection?,
    ) {
        sends.remove(send.id)?.let { totalHeldBytes -= it.accountedBytes }
        connectionsBySend.remove(send.id)
        if (connection != null) pool.release(connection)
        val longestGapMs = send.longestGapNanos / NANOS_PER_MS
        val nowNanos = System.nanoTime()
        val ended = SendEnded(
            send = send.id,
            outcome = outcome,
            load = head?.load,
            limitPerS = head?.limitPerS,
            events = send.forwardedEvents,
            longestGapMs = longestGapMs,
            headMs = send.headMs,
            hasBegun = send.hasBegun,
            contentAgeMs = send.contentNanos?.let { (nowNanos - it) / NANOS_PER_MS },
        )
        events.post(ended)
    }

    override fun onConnectionClosed(connection: ServerConnection) {
        val isIdleLost = pool.onClosed(connection)
        val target = connection.target
        if (isIdleLost && target is SendTarget.Server) events.post(IdleConnectionLost(target.id))
    }

    private fun onGossip(received: GatewayEvent) = events.post(received)

    private fun checkHealth(command: CheckHealth, isRetry: Boolean = false) {
        healthFetcher.get(command.address, command.path, HEALTH_TIMEOUT_MS) { result ->
            if (!isRetry && result is FetchResult.Failed && result.isClosed) {
                // The server may have closed an idle connection. Only a new connection shows
                // whether it is alive.
                return@get checkHealth(command, isRetry = true)
            }
            val health = (result as? FetchResult.Completed)
                ?.let { wire.readHealth(it.status, it.headers) }
            val event = HealthChecked(
                server = command.server,
                isHealthy = health?.isHealthy == true,
                coldForMs = health?.coldForMs,
                load = health?.load,
                isRefused = result is FetchResult.Failed && result.isRefused,
                askedMs = command.askedMs,
                isLeaving = health?.isLeaving == true,
            )
            events.post(event)
        }
    }

    private fun fetchView(from: Address) {
        val views = Address(from.host, addresses.views.port)
        fetcher.get(views, VIEW_PATH, VIEW_TIMEOUT_MS) { result ->
            val event = when (result) {
                is FetchResult.Failed -> ViewNotReceived(from, result.cause)
                is FetchResult.Completed -> {
                    val view = result.body.takeIf { result.status == Status.OK.code }
                        ?.let(::decodeView)
                    if (view == null) {
                        ViewNotReceived(from, "no view with status ${result.status}")
                    } else {
                        ViewReceived(view, ViewSource.PEER)
                    }
                }
            }
            events.post(event)
        }
    }

    /** Returns null if the view cannot be decoded, e.g. because the peer runs another version. */
    private fun decodeView(bytes: ByteArray): PublishedView? = try {
        cbor.decodeFromByteArray(PublishedView.serializer(), bytes)
    } catch (e: SerializationException) {
        onMalformedMessage(e.message.orEmpty())
        null
    } catch (e: IllegalArgumentException) {
        onMalformedMessage(e.message.orEmpty())
        null
    }

    private fun serveView(request: Request): Response {
        val view = entry.publishedView
        if (request.uri.path != VIEW_PATH || view == null) return Response(Status.NOT_FOUND)
        val bytes = cbor.encodeToByteArray(PublishedView.serializer(), view)
        return Response(Status.OK).body(MemoryBody(bytes))
    }

    private fun scheduleSweep() {
        loop.schedule(::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun sweep() {
        // Before the work, so that an error in it does not end all sweeps.
        scheduleSweep()
        val nowNanos = System.nanoTime()
        reportDelay(SystemMonotonicClock.nowMs())
        if (activeServers.isNotEmpty()) {
            val activity = ServerActivity(
                servers = activeServers.toSet(),
                gaps = eventGaps.toMap(),
                brittle = brittleServers.toMap(),
            )
            events.post(activity)
            activeServers.clear()
            eventGaps.clear()
            brittleServers.clear()
        }
        for (send in sends.values) {
            val idleMs = send.idleMs(nowNanos)
            if (idleMs >= MIN_REPORTED_IDLE_MS) events.post(SendStalled(send.id, idleMs))
        }
        callerConnections.toList().forEach { it.closeIfTimedOut(nowNanos) }
        pool.closeExpired()
    }

    /** Reports the event loop's delay during calls only, so that an idle control thread sleeps. */
    private fun reportDelay(nowMs: Long) {
        val lateMs = (nowMs - lastSweepMs - SWEEP_INTERVAL_MS).coerceAtLeast(0)
        lastSweepMs = nowMs
        if (exchanges.isNotEmpty()) events.post(TrafficDelay(nowMs, lateMs))
    }

    private companion object {
        /** Buffered responses may take the heap size divided by this. */
        const val HEAP_DIVISOR = 8

        /** Interval of the checks for idle connections and stalled sends. */
        const val SWEEP_INTERVAL_MS = 100L

        /** Shorter stalls are not reported, since the control thread would not act on them. */
        const val MIN_REPORTED_IDLE_MS = 400L
        const val NANOS_PER_MS = 1_000_000L
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 65_536
        const val RELAY_ENVELOPE_BYTES = 1_024
        const val MAX_HEALTH_BYTES = 65_536
        const val HEALTH_TIMEOUT_MS = 400L
        const val VIEW_TIMEOUT_MS = 1_500L
        const val VIEW_PATH = "/view"
        const val SHUTDOWN_TIMEOUT_MS = 100L
        const val STOP_POLL_MS = 10L

        /** Lets callers refresh their directory lookup before their idle connections are closed. */
        const val DRAIN_IDLE_CLOSE_DELAY_MS = 2_000L
    }
}
