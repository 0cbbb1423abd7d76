/*
 * Runs [GatewayTraffic] on loopback between a scripted backend server and plain caller sockets.
 */
package org.pomeloladder.traffic

import io.netty.handler.codec.http.HttpHeaders
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.gateway.CallArrived
import org.pomeloladder.gateway.CallId
import org.pomeloladder.gateway.CallRefusal
import org.pomeloladder.gateway.CallSpec
import org.pomeloladder.gateway.GatewayCommand
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.ReplacedSend
import org.pomeloladder.gateway.SendId
import org.pomeloladder.gateway.SendStalled
import org.pomeloladder.gateway.SendTarget
import org.pomeloladder.gateway.ServerActivity
import org.pomeloladder.gateway.StartSend
import org.pomeloladder.gateway.TrafficDelay

private const val LOOPBACK = "127.0.0.1"

/** Generous timeout for busy machines; waits return as soon as their condition holds. */
private const val AWAIT_TIMEOUT_MS = 10_000L

/** Time for bytes to arrive before a reset, which discards unread bytes. */
internal const val DELIVERY_DELAY_MS = 200L

/** A [WireFormat] with short header names. */
internal object TestWire : WireFormat {
    override fun readCall(path: String, headers: HttpHeaders): CallSpec? {
        val id = headers.get("id") ?: return null
        return CallSpec(RequestId(id), headers.get("host").orEmpty(), path, 5_000, null, null)
    }

    override fun writeServerRequestHead(headers: HttpHeaders, head: ServerRequestHead) {
        head.resumeAfter?.let { headers.set("last-event-id", it) }
    }

    override fun readResponseHead(status: Int, headers: HttpHeaders) = ResponseHead(
        status = status,
        requestId = headers.get("id"),
        hasServerStamp = headers.contains("signed"),
        isMarkedNotRun = headers.contains("not-run"),
        isWrongInstance = status == 421,
        hasContentEncoding = headers.contains("content-encoding"),
        load = null,
    )

    override fun readHealth(status: Int, headers: HttpHeaders) =
        HealthReport(status == 200, 0, null)

    override fun writeRefusal(reason: CallRefusal, retryAfterMs: Long?, headers: HttpHeaders) = 503
}

/** A running [GatewayTraffic] that buffers at most [maxHeldBytes] of responses. */
internal class TestTraffic(maxHeldBytes: Long = 64L shl 20) : AutoCloseable {
    val events = LinkedBlockingQueue<GatewayEvent>()
    val malformedMessages = LinkedBlockingQueue<String>()
    val stops = LinkedBlockingQueue<Unit>()
    private lateinit var ports: List<Int>
    private val traffic = startOnFreePorts(maxHeldBytes)
    private var nextSend = 0L

    val viewsPort: Int
        get() = ports[3]

    /** Starts on other ports again when another process has taken one of them meanwhile. */
    private fun startOnFreePorts(maxHeldBytes: Long): GatewayTraffic {
        repeat(MAX_STARTS) {
            ports = List(PORTS) { freePort() }
            val started = newTraffic(maxHeldBytes)
            if (started.start(events::add, emptyMap()) == null) return started
            started.close()
        }
        error("no start on free ports")
    }

    private fun newTraffic(maxHeldBytes: Long) = GatewayTraffic(
        addresses = TrafficAddresses(
            callers = Address(LOOPBACK, ports[0]),
            relay = Address(LOOPBACK, ports[1]),
            gossip = Address(LOOPBACK, ports[2]),
            views = Address(LOOPBACK, ports[3]),
        ),
        self = VmId("self"),
        wire = TestWire,
        onStopped = { stops.add(Unit) },
        onMalformedMessage = malformedMessages::add,
        maxHeldBytes = maxHeldBytes,
    )

    fun caller(): Socket = Socket(LOOPBACK, ports[0])

    /** Opens a connection to the relay listener, as a peer does. */
    fun peer(): Socket = Socket(LOOPBACK, ports[1])

    fun execute(command: GatewayCommand) = traffic.execute(command)

    /** Starts a send of [call] to [server] and returns its id. */
    fun send(
        call: CallId,
        server: ScriptedServer,
        isStream: Boolean = false,
        replaces: ReplacedSend? = null,
    ): SendId = send(call, server.port, isStream, replaces)

    fun send(
        call: CallId,
        port: Int,
        isStream: Boolean = false,
        replaces: ReplacedSend? = null,
    ): SendId {
        val id = SendId(++nextSend)
        val target =
            SendTarget.Server(
                BackendServerId("s"),
                Address(LOOPBACK, port),
                10,
                needsFreshConnection = false,
            )
        traffic.execute(StartSend(id, call, target, 5_000, 1, isStream, 1_000, replaces))
        return id
    }

    /** Waits for the next event other than periodic reports, which must be of type [E]. */
    inline fun <reified E : GatewayEvent> await(): E = next() as E

    fun next(): GatewayEvent {
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS)
        while (true) {
            val event = events.poll(untilNanos - System.nanoTime(), TimeUnit.NANOSECONDS)
            checkNotNull(event) { "no event within $AWAIT_TIMEOUT_MS ms" }
            if (!isRegularReport(event)) return event
        }
    }

    private fun isRegularReport(event: GatewayEvent) =
        event is SendStalled || event is ServerActivity || event is TrafficDelay

    /** Sends a request over [socket] and returns the id of its call. */
    fun request(socket: Socket, id: String, body: String = "", fields: String = ""): CallId {
        val head = "POST /x HTTP/1.1\r\nhost: h\r\nid: $id\r\n" + fields +
            "content-length: ${body.length}\r\n\r\n"
        socket.getOutputStream().write((head + body).toByteArray())
        return await<CallArrived>().call
    }

    override fun close() = traffic.close()

    private companion object {
        const val PORTS = 4
        const val MAX_STARTS = 5
    }
}

internal fun freePort(): Int =
    ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { it.localPort }

/** A backend server whose response bytes the test writes itself. */
internal class ScriptedServer(
    host: String = LOOPBACK,
    fixedPort: Int = 0,
    receiveBufferBytes: Int? = null,
) : AutoCloseable {
    private val listener = ServerSocket().apply {
        receiveBufferBytes?.let { receiveBufferSize = it }
        bind(InetSocketAddress(host, fixedPort))
    }
    val port: Int
        get() = listener.localPort

    init {
        listener.soTimeout = AWAIT_TIMEOUT_MS.toInt()
    }

    fun accept(): Socket = listener.accept().apply { soTimeout = AWAIT_TIMEOUT_MS.toInt() }

    override fun close() = listener.close()
}

/** Reads one HTTP message head up to and including its blank line. */
internal fun Socket.readHead(): String {
    val text = StringBuilder()
    while (!text.endsWith("\r\n\r\n")) {
        val byte = getInputStream().read()
        if (byte < 0) break
        text.append(byte.toChar())
    }
    return text.toString()
}

internal fun Socket.write(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Closes the connection with a TCP reset instead of an orderly shutdown. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}
