/*
 * A simulated backend server of the users' platform. It records the arrival of each request, counts
 * how often it processes each and the statuses it gave, stamps its responses with its id and streams
 * events. It can be set to reject all requests or a share of them, to fail, or to cut off a response
 * part-way.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val REQUEST_ID_HEADER = "X-Pomeloladder-Request-Id"
private const val EXPECT_INSTANCE_HEADER = "X-Pomeloladder-Expect-Instance"
private const val WRONG_INSTANCE = 421

/** Requests with this path prefix get a stream of [RouteServerStandIn.STREAM_EVENTS] events. */
private const val STREAM_PATH_PREFIX = "/stream/"
private const val EVENT_INTERVAL_MS = 15L
private const val NANOS_PER_MS = 1_000_000L

/**
 * How the server responds: normally, with 503 because it is full, with 500 after processing, or
 * with streams that fail in the middle of an event.
 */
enum class ServerMode { SOUND, FULL, FAILING, BREAKING }

/**
 * A server with the id [instance] that processes each request for [processingMs] before responding.
 */
class RouteServerStandIn(override val instance: String, private val processingMs: Long = 20) :
    RouteServer {
    private val listener = LoopbackListener(0, handler())

    override val runs = ConcurrentHashMap<String, AtomicInteger>()
    override val arrivals = ConcurrentLinkedQueue<Arrival>()

    private val givenStatuses = ConcurrentHashMap<String, MutableSet<Int>>()

    @Volatile
    var mode = ServerMode.SOUND

    @Volatile
    override var rejection: Rejection? = null

    /** The limit that the server names in its responses, in requests a second. */
    @Volatile
    var limitPerS: Double? = null

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    override fun gave(id: String, status: Int): Boolean = status in givenStatuses[id].orEmpty()

    override fun entry(service: String, zone: String, state: String, endpoint: Address) =
        """{"Service":"$service","Address":"$endpoint","Zone":"$zone","Version":"v1","Slots":6,""" +
            """"State":"$state","ColdLeftMs":0,"Seq":1,"born":1}"""

    private fun handler(): HttpHandler = { request ->
        request.header(REQUEST_ID_HEADER)?.let { arrivals += Arrival(it, monotonicMs()) }
        val expected = request.header(EXPECT_INSTANCE_HEADER)
        when {
            expected != null && expected != instance -> answer(request, Status(WRONG_INSTANCE, ""))
            mode == ServerMode.FULL -> reject(request, Status.SERVICE_UNAVAILABLE)
            else -> {
                val rejection = rejection?.takeIf { it.isDrawn() }
                if (rejection ==
                    null
                ) {
                    run(request)
                } else {
                    reject(request, Status(rejection.status, ""))
                }
            }
        }
    }

    private fun reject(request: Request, status: Status) =
        answer(request, status).header("X-Pomeloladder-Not-Run", "1")

    private fun run(request: Request): Response {
        val id = request.header(REQUEST_ID_HEADER).orEmpty()
        runs.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        Thread.sleep(processingMs)
        if (mode == ServerMode.FAILING) {
            return answer(request, Status.INTERNAL_SERVER_ERROR).body("failure of $instance to $id")
        }
        if (request.uri.path.startsWith(STREAM_PATH_PREFIX)) return stream(request, id)
        return answer(request, Status.OK).body("answer of $instance to $id")
    }

    private fun stream(request: Request, id: String): Response {
        val after = request.header("Last-Event-Id")?.toIntOrNull() ?: 0
        return answer(request, Status.OK)
            .header("Content-Type", "text/event-stream")
            .body(Body(EventStream(id, after + 1)))
    }

    private fun answer(request: Request, status: Status): Response {
        val id = request.header(REQUEST_ID_HEADER)
        val statuses = givenStatuses.computeIfAbsent(id.orEmpty()) { ConcurrentHashMap.newKeySet() }
        statuses += status.code
        return Response(status)
            .header(REQUEST_ID_HEADER, id)
            .header("X-Pomeloladder-Server-Stamp", "stamp-$instance")
            .header("Keep-Alive", "timeout=5")
            .let { response ->
                limitPerS?.let { response.header("Server-Limit", it.toString()) } ?: response
            }
    }

    /**
     * Streams the events of the request [id] from number [nextNumber] on; a read returns bytes of
     * one event at most.
     */
    private inner class EventStream(private val id: String, private var nextNumber: Int) :
        InputStream() {
        private var pending = ByteArray(0)
        private var position = 0

        override fun read(): Int {
            val singleByte = ByteArray(1)
            return if (read(singleByte, 0, 1) < 0) -1 else singleByte[0].toInt()
        }

        override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
            if (position == pending.size) {
                if (nextNumber > STREAM_EVENTS) return -1
                Thread.sleep(EVENT_INTERVAL_MS)
                pending = event(nextNumber++, id).toByteArray()
                position = 0
            }
            if (mode == ServerMode.BREAKING && position > 0) throw IOException("stream cut off")
            val isCutOff = mode == ServerMode.BREAKING && nextNumber > FIRST_BROKEN_EVENT
            val availableBytes = minOf(length, pending.size - position)
            val count = if (isCutOff) (availableBytes / 2).coerceAtLeast(1) else availableBytes
            pending.copyInto(buffer, offset, position, position + count)
            position += count
            return count
        }
    }

    companion object {
        const val STREAM_EVENTS = 20

        /** The clock of [Arrival.atMs]. */
        fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

        /** From this event on, a stream of a server in mode [ServerMode.BREAKING] fails. */
        private const val FIRST_BROKEN_EVENT = STREAM_EVENTS / 2

        /** The text of event [number] in the response to the request [id]. */
        fun event(number: Int, id: String) = "id: $number\ndata: $number of $id\n\n"
    }
}
