/*
 * A simulated backend server of the users' platform. It records the arrival of each request, counts
 * how often it processes each and the statuses it gave, stamps its responses with its id and streams
 * events. It can be set to reject all requests or a share of them, to fail, or to cut off a response
 * part-way. It can crash and start again under its id and address, cold for a while.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val REQUEST_ID_HEADER = "X-Pomeloladder-Request-Id"
private const val EXPECT_INSTANCE_HEADER = "X-Pomeloladder-Expect-Instance"
private const val COLD_HEADER = "X-Pomeloladder-Cold-Ms"
private const val KEEP_ALIVE = "timeout=5"
private const val WRONG_INSTANCE = 421

private const val HEALTH_PATH = "/health"

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
 * The texts of its streams differ by the [version] of its software.
 */
class RouteServerStandIn(
    override val instance: String,
    private val processingMs: Long = 20,
    private val version: String = FIRST_VERSION,
) : RouteServer {
    private val port = ReservedPort()

    @Volatile
    private lateinit var life: ServerLife

    /** Null before the first start and between a crash and the next start. */
    private var listener: LoopbackListener? = null

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

    /** Whether the server says in all its answers that it leaves. A start ends that. */
    @Volatile
    var isLeaving = false

    /** The requests that arrived during the cold time of each life, in the order of the lives. */
    val coldArrivals = CopyOnWriteArrayList<ColdArrivals>()

    override val address = port.address

    override fun start() = begin(ServerLife(instance, coldMs = 0))

    /** Closes the listener and all connections; the requests under way are lost. */
    fun crash() {
        checkNotNull(listener) { "$instance is not running" }.abort()
        listener = null
    }

    /** Starts after a crash, with the same id and address, as a new life that is cold for [coldMs]. */
    fun startAgain(coldMs: Long) {
        val life = ServerLife(instance, coldMs)
        coldArrivals += life.coldArrivals
        begin(life)
    }

    private fun begin(life: ServerLife) {
        check(listener == null) { "$instance is running" }
        isLeaving = false
        this.life = life
        listener = LoopbackListener(address.port, handler(life)).apply { start() }
    }

    override fun close() {
        listener?.close()
        port.close()
    }

    override fun gave(id: String, status: Int): Boolean = status in givenStatuses[id].orEmpty()

    override fun entry(service: String, zone: String, state: String, endpoint: Address) =
        """{"Service":"$service","Address":"$endpoint","Zone":"$zone","Version":"$version",""" +
            """"Slots":6,""" +
            """"State":"$state","ColdLeftMs":${life.coldLeftMs},""" +
            """"Seq":${life.nextSequence()},"born":${life.bornUnixMs}}"""

    private fun handler(life: ServerLife): HttpHandler = { request ->
        val expected = request.header(EXPECT_INSTANCE_HEADER)
        val isForOther = expected != null && expected != instance
        val isHealthCheck = request.uri.path == HEALTH_PATH
        if (!isHealthCheck) recordArrival(request, life.takeIf { !isForOther })
        val rejection = rejection?.takeIf { it.isDrawn() }
        when {
            isForOther -> answer(request, Status(WRONG_INSTANCE, ""))
            mode == ServerMode.FULL -> reject(request, Status.SERVICE_UNAVAILABLE)
            rejection != null -> reject(request, Status(rejection.status, ""))
            isHealthCheck -> health(life)
            else -> run(request)
        }
    }

    /** Records the arrival, also as one at a cold server unless [coldLife] is null or warm. */
    private fun recordArrival(request: Request, coldLife: ServerLife?) {
        val arrival = Arrival(request.header(REQUEST_ID_HEADER) ?: return, monotonicMs())
        arrivals += arrival
        if (coldLife != null && coldLife.coldLeftMs > 0) coldLife.coldArrivals.arrivals += arrival
    }

    private fun health(life: ServerLife): Response {
        val isFailing = mode == ServerMode.FAILING
        val status = if (isFailing) Status.INTERNAL_SERVER_ERROR else Status.OK
        val answer = Response(status)
            .header("X-Pomeloladder-Instance-Id", instance)
            .header("Keep-Alive", KEEP_ALIVE)
        val coldLeftMs = life.coldLeftMs
        val coldAnswer =
            if (coldLeftMs > 0) answer.header(COLD_HEADER, "$coldLeftMs") else answer
        return markLeaving(coldAnswer)
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
            .header("Keep-Alive", KEEP_ALIVE)
            .let { response ->
                limitPerS?.let { response.header("Server-Limit", it.toString()) } ?: response
            }
            .let(::markLeaving)
    }

    private fun markLeaving(answer: Response): Response =
        if (isLeaving) answer.header("Server-Leaving", "1") else answer

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
                pending = event(nextNumber++, id, version).toByteArray()
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

        const val FIRST_VERSION = "v1"

        /** The text of event [number] in the response to the request [id] by a server of [version]. */
        fun event(number: Int, id: String, version: String = FIRST_VERSION): String {
            val mark = if (version == FIRST_VERSION) "" else " at $version"
            return "id: $number\ndata: $number of $id$mark\n\n"
        }
    }
}
