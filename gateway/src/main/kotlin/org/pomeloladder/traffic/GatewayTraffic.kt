/*
 * The traffic side of the route gateway: one event loop thread that owns all sockets, carries out the commands of the
 * control thread, and reports what happens to bytes as events.
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
import org.pomeloladder.gateway.GossipReceived
import org.pomeloladder.gateway.HealthChecked
import org.pomeloladder.gateway.LoadReport
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
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.ServerActivity
import org.pomeloladder.gateway.StartSend
import org.pomeloladder.gateway.StopGateway
import org.pomeloladder.gateway.TrafficDelay
import org.pomeloladder.gateway.ViewReceived
import org.pomeloladder.gateway.ViewSource
import org.pomeloladder.runtime.EventSinkOf
import org.pomeloladder.runtime.SystemMonotonicClock

/** Addresses of this process's own sockets. */
data class TrafficAddresses(
    val callers: Address,
    val relay: Address,
    val gossip: Address,
    val views: Address,
)

/** Receives the time between two events of a stream. Called on the traffic thread for each event. */
fun interface StreamMeter {
    fun observe(gapMs: Long)
}

/** A port that could not be opened. */
data class BindFailure(val address: Address, val cause: String)

/** Traffic of one process. */
internal class GatewayTraffic(
    private val addresses: TrafficAddresses,
    private val self: VmId,
    private val wire: WireFormat,
    private val onStop: () -> Unit,
    private val onBadMessage: (String) -> Unit,
    private val meter: StreamMeter = StreamMeter { },
    private val maxHeldBytes: Long = Runtime.getRuntime().maxMemory() / HELD_SHARE,
) : CallerGate,
    ServerGate {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val localHost = addresses.callers.host
    private val pool = ServerPool(loop, localHost, this)
    private val exchanges = HashMap<CallId, Exchange>()
    private val sends = HashMap<SendId, ActiveSend>()
    private val carriers = HashMap<SendId, ServerConnection>()
    private val connections = LinkedHashSet<CallerConnection>()
    private val heardServers = HashSet<BackendServerId>()
    private val gaps = HashMap<BackendServerId, EventGaps>()
    private val gossip = GossipChannel(loop, addresses.gossip, ::gossiped, onBadMessage)
    private lateinit var events: EventSinkOf<GatewayEvent>
    private var nextCall = 0L
    private var sweptMs = SystemMonotonicClock.nowMs()
    private var heldBytes = 0L
    private val cbor = Cbor

    /** Plain calls on the same thread. */
    val fetcher: Fetcher = RealFetcher(loop, localHost)

    private val healthFetcher = RealFetcher(loop, localHost, MAX_HEALTH_BYTES)

    @Volatile
    override var entry = EntryView()
        private set

    /** Opens all sockets, or returns the first that could not be. [apis] are small handlers by address. */
    fun start(events: EventSinkOf<GatewayEvent>, apis: Map<Address, HttpHandler>): BindFailure? {
        this.events = events
        val handlers = apis + (addresses.views to ::viewFor)
        val failure = failureOf(addresses.gossip, gossip.open())
            ?: failureOf(addresses.callers, listen(addresses.callers, isRelay = false))
            ?: failureOf(addresses.relay, listen(addresses.relay, isRelay = true))
            ?: handlers.firstNotNullOfOrNull { (address, handler) ->
                failureOf(address, ApiListener(address, handler).open(group))
            }
        if (failure == null) {
            loop.scheduleAtFixedRate(::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS)
        }
        return failure
    }

    private fun failureOf(address: Address, bound: ChannelFuture): BindFailure? =
        if (bound.isSuccess) null else BindFailure(address, bound.cause().toString())

    /** Hands a command of the control thread over; it is carried out on the traffic thread. */
    fun execute(command: GatewayCommand) {
        if (command is PublishEntryView) {
            publish(command.view)
        } else {
            loop.execute {
                carryOut(command)
            }
        }
    }

    /** Closes all sockets. */
    fun close() {
        group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS).await(CLOSE_MS * 2)
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
                        entry.limits.maxHeaderBytes + if (isRelay) RELAY_HEAD_BYTES else 0
                    channel.pipeline()
                        .addLast(HttpServerCodec(headBytes, headBytes, CHUNK_BYTES))
                        .addLast(CallerConnection(this@GatewayTraffic, isRelay))
                }
            })
            .bind(InetSocketAddress(address.host, address.port)).awaitUninterruptibly()

    private fun publish(view: EntryView) {
        val isDrainStart = view.isDraining && !entry.isDraining
        entry = view
        if (isDrainStart) {
            loop.schedule(::closeIdleCallers, IDLE_CLOSE_AFTER_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun closeIdleCallers() = connections.toList().forEach { it.closeWhenIdle() }

    private fun carryOut(command: GatewayCommand) {
        when (command) {
            is StartSend -> startSend(command)
            is CancelSend -> cancelSend(command.send)
            is DeliverAnswer -> deliver(command)
            is EndStream -> exchanges[command.call]?.sink?.endStream()
            is RefuseCall ->
                exchanges[command.call]?.sink?.refuse(command.reason, command.retryAfterMs)
            is SendGossip -> gossip.send(command)
            is FetchView -> fetchView(command.from)
            is CheckHealth -> checkHealth(command)
            is CloseIdleConnections -> pool.drop(command.server)
            is PublishEntryView -> publish(command.view)
            is StopGateway -> {
                val nowNanos = System.nanoTime()
                stop(
                    untilNanos = nowNanos + command.answerGraceMs * NANOS_PER_MS,
                    callsUntilNanos = nowNanos + command.callGraceMs * NANOS_PER_MS,
                )
            }
        }
    }

    /**
     * Reports the stop when no answer is being written any more, at the latest at [untilNanos], and no call is open, at
     * the latest at [callsUntilNanos].
     */
    private fun stop(untilNanos: Long, callsUntilNanos: Long) {
        val nowNanos = System.nanoTime()
        val isWriting = nowNanos < untilNanos && connections.any { it.isWriting }
        val isServing = nowNanos < callsUntilNanos && exchanges.isNotEmpty()
        if (!isWriting && !isServing) return onStop()
        loop.schedule({ stop(untilNanos, callsUntilNanos) }, STOP_CHECK_MS, TimeUnit.MILLISECONDS)
    }

    override fun open(request: ReadRequest, isRelay: Boolean, sink: AnswerSink): Exchange? {
        val headers = withoutConnectionFields(request.head.headers())
        val envelope = Relay.take(headers)
        val read = wire.readCall(request.head.uri(), headers) ?: return null
        val spec = when {
            !isRelay -> read
            envelope == null -> return null
            else -> read.copy(
                budgetMs = envelope.remainingMs,
                resumeAfter = envelope.resumeAfter,
                origin = CallOrigin.Peer(envelope.from, envelope.catalogVersion),
            )
        }
        val call = CallId(++nextCall)
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

    override fun abandon(exchange: Exchange) {
        exchanges.remove(exchange.call)
        events.post(CallerDisconnected(exchange.call))
    }

    override fun close(exchange: Exchange) {
        exchanges.remove(exchange.call)
    }

    override fun refusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders): Int =
        wire.writeRefusal(reason, retryAfterMs, headers)

    override fun register(connection: CallerConnection) {
        connections += connection
    }

    override fun unregister(connection: CallerConnection) {
        connections -= connection
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
            headers = headersFor(command, exchange),
            replaces = command.replaces,
        )
        sends[send.id] = send
        pool.take(command.target, command.connectTimeoutMs) { connected(send, it) }
    }

    private fun headersFor(command: StartSend, exchange: Exchange): HttpHeaders {
        val headers = exchange.headers.copy()
        when (val target = command.target) {
            is SendTarget.Server -> {
                val resumeAfter = exchange.lastEventId
                val head = ServerRequestHead(target, command.remainingMs, command.priority, resumeAfter)
                wire.writeServerRequestHead(headers, head)
            }
            is SendTarget.Peer -> Relay.write(
                headers,
                RelayEnvelope(
                    from = self,
                    catalogVersion = target.catalogVersion,
                    remainingMs = command.remainingMs,
                    resumeAfter = exchange.lastEventId,
                ),
            )
        }
        return headers
    }

    private fun connected(send: ActiveSend, result: Connection) {
        val isWanted = sends[send.id] === send
        when (result) {
            is Connection.Ready -> if (isWanted && takePlace(send)) {
                carriers[send.id] = result.connection
                result.connection.start(send)
            } else {
                pool.keep(result.connection)
                unsent(send, isWanted, NotWrittenReason.NOT_NEEDED)
            }
            Connection.Failed -> unsent(send, isWanted, NotWrittenReason.CONNECT_FAILED)
            Connection.NoneLeft -> unsent(send, isWanted, NotWrittenReason.NO_CONNECTION_LEFT)
        }
    }

    /** Stops the send whose place [send] takes. False when that one goes on or has ended. */
    private fun takePlace(send: ActiveSend): Boolean {
        val replaced = send.replaces ?: return true
        val before = sends[replaced.send] ?: return false
        val quietMs = before.quietMs(System.nanoTime())
        if (quietMs < replaced.idleMs) return false
        cancelSend(before.id)
        val hasStarted = send.exchange.isStreamStarted
        events.post(SendReplaced(before.id, send.id, quietMs, hasStarted))
        return true
    }

    private fun unsent(send: ActiveSend, isWanted: Boolean, reason: NotWrittenReason) {
        if (!isWanted) return
        sends.remove(send.id)
        events.post(SendNotWritten(send.id, reason))
    }

    private fun cancelSend(id: SendId) {
        sends.remove(id)?.let { heldBytes -= it.countedBytes }
        carriers.remove(id)?.cancel()
    }

    private fun deliver(command: DeliverAnswer) {
        val exchange = exchanges[command.call] ?: return
        val answer = exchange.held[command.send] ?: return
        if (exchange.isStreamStarted) {
            // The first event of a stream can cross the command.
            return exchange.sink.refuse(CallRefusal.STREAM_BROKEN, null)
        }
        exchange.sink.answer(answer.head.status, answer.headers, answer.body)
    }

    override fun read(wire: HttpResponse): ResponseHead =
        this.wire.readResponseHead(wire.status().code(), wire.headers())

    override fun heard(target: SendTarget) {
        if (target is SendTarget.Server) heardServers += target.id
    }

    override fun paced(target: SendTarget, gapNanos: Long) {
        if (target !is SendTarget.Server) return
        val before = gaps[target.id] ?: EventGaps(0, 0.0)
        meter.observe(gapNanos / NANOS_PER_MS)
        val totalMs = before.totalMs + gapNanos.toDouble() / NANOS_PER_MS
        gaps[target.id] = EventGaps(before.count + 1, totalMs)
    }

    override fun started(send: ActiveSend, load: LoadReport?) =
        events.post(AnswerStarted(send.id, load))

    override fun held(send: ActiveSend) {
        if (send.id !in sends) return
        heldBytes += send.heldBytes - send.countedBytes
        send.countedBytes = send.heldBytes
        if (heldBytes <= maxHeldBytes) return
        val largest = sends.values.maxBy { it.heldBytes }
        carriers[largest.id]?.breakOff()
    }

    override fun ended(
        send: ActiveSend,
        outcome: SendOutcome,
        load: LoadReport?,
        connection: ServerConnection?,
    ) {
        sends.remove(send.id)?.let { heldBytes -= it.countedBytes }
        carriers.remove(send.id)
        if (connection != null) pool.keep(connection)
        val longestGapMs = send.longestGapNanos / NANOS_PER_MS
        events.post(SendEnded(send.id, outcome, load, send.events, longestGapMs))
    }

    override fun closed(connection: ServerConnection) = pool.closed(connection)

    private fun gossiped(received: GossipReceived) = events.post(received)

    private fun checkHealth(command: CheckHealth, isRepeated: Boolean = false) {
        healthFetcher.get(command.address, command.path, HEALTH_TIMEOUT_MS) { result ->
            if (!isRepeated && result is FetchResult.Failed && result.isClosed) {
                // A server may drop a kept connection without notice; only a new one tells whether it is there.
                return@get checkHealth(command, isRepeated = true)
            }
            val health = (result as? FetchResult.Completed)?.let { wire.readHealth(it.status, it.headers) }
            val event = HealthChecked(
                server = command.server,
                isHealthy = health?.isHealthy == true,
                coldForMs = health?.coldForMs,
                load = health?.load,
            )
            events.post(event)
        }
    }

    private fun fetchView(from: Address) {
        val views = Address(from.host, addresses.views.port)
        fetcher.get(views, VIEW_PATH, VIEW_TIMEOUT_MS) { result ->
            if (result is FetchResult.Completed && result.status == Status.OK.code) {
                decodeView(result.body)?.let { events.post(ViewReceived(it, ViewSource.PEER)) }
            }
        }
    }

    /** Null when a peer of another build wrote a view that this one cannot read. */
    private fun decodeView(bytes: ByteArray): PublishedView? = try {
        cbor.decodeFromByteArray(PublishedView.serializer(), bytes)
    } catch (e: SerializationException) {
        onBadMessage(e.message.orEmpty())
        null
    } catch (e: IllegalArgumentException) {
        onBadMessage(e.message.orEmpty())
        null
    }

    private fun viewFor(request: Request): Response {
        val view = entry.publishedView
        if (request.uri.path != VIEW_PATH || view == null) return Response(Status.NOT_FOUND)
        val bytes = cbor.encodeToByteArray(PublishedView.serializer(), view)
        return Response(Status.OK).body(MemoryBody(bytes))
    }

    private fun sweep() {
        val nowNanos = System.nanoTime()
        time(SystemMonotonicClock.nowMs())
        if (heardServers.isNotEmpty()) {
            events.post(ServerActivity(heardServers.toSet(), gaps.toMap()))
            heardServers.clear()
            gaps.clear()
        }
        for (send in sends.values) {
            val quietMs = send.quietMs(nowNanos)
            if (quietMs >= QUIET_MS) events.post(SendStalled(send.id, quietMs))
        }
        connections.toList().forEach { it.closeIfOverdue(nowNanos) }
        pool.closeStale()
    }

    /** Reports delays while there is traffic. An idle process has no reason to wake its control thread. */
    private fun time(nowMs: Long) {
        val lateMs = (nowMs - sweptMs - SWEEP_MS).coerceAtLeast(0)
        sweptMs = nowMs
        if (exchanges.isNotEmpty()) events.post(TrafficDelay(nowMs, lateMs))
    }

    private companion object {
        /** Part of the heap that answers under way may take. */
        const val HELD_SHARE = 8

        /** Interval of the look at idle connections and quiet sends. */
        const val SWEEP_MS = 100L

        /** A send that is quiet for less is not worth a look of the control thread. */
        const val QUIET_MS = 400L
        const val NANOS_PER_MS = 1_000_000L
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 65_536
        const val RELAY_HEAD_BYTES = 1_024
        const val MAX_HEALTH_BYTES = 65_536
        const val HEALTH_TIMEOUT_MS = 400L
        const val VIEW_TIMEOUT_MS = 1_500L
        const val VIEW_PATH = "/view"
        const val CLOSE_MS = 100L
        const val STOP_CHECK_MS = 10L

        /** Callers get a new directory answer before their idle connections are closed. */
        const val IDLE_CLOSE_AFTER_MS = 2_000L
    }
}
