/*
 * A simulated backend server of the users' platform that stutters. It speaks HTTP on plain sockets,
 * so that it can send on a kept connection what no HTTP library would. On a share of its requests
 * it sends a second answer, ends its first one badly, fails, or rejects the request as full. What
 * it does to a request is drawn from its seed, the id of the request and the number of its answers
 * to that id so far.
 */
package org.pomeloladder.standins

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.pomeloladder.configuration.Address

internal const val REQUEST_ID_FIELD = "X-Pomeloladder-Request-Id"
private const val WRONG_INSTANCE = 421
private const val EVENT_INTERVAL_MS = 5L
private const val MAX_LATENESS_MS = 30L

/** When a second answer is sent: with the first, while its connection is idle, or for the next. */
enum class StutterMoment { SAME_WRITE, IDLE, NEXT_REQUEST }

/** How a first answer ends. Those without a length end with their connection. */
enum class FirstEnd { WHOLE, CUT, RESET, UNFRAMED, UNFRAMED_RESET }

/** What a server does to its requests. A share is a number between 0 and 1. */
class StutterPlan internal constructor(builder: StutterPlanBuilder) {
    internal val seed = builder.seed
    internal val forms = builder.forms.toList()
    internal val moments = builder.moments.toList()
    internal val ends = builder.ends.toList()
    internal val stutterShare = builder.stutterShare
    internal val badEndShare = builder.badEndShare
    internal val failureShare = builder.failureShare
    internal val rejectionShare = builder.rejectionShare
}

class StutterPlanBuilder internal constructor() {
    var seed = 0L
    var forms: List<SecondAnswer> = StutterForm.entries
    var moments = StutterMoment.entries.toList()

    /** The ends of the first answers that don't end well. */
    var ends = FirstEnd.entries - FirstEnd.WHOLE
    var stutterShare = 0.0
    var badEndShare = 0.0
    var failureShare = 0.0
    var rejectionShare = 0.0
}

fun stutterPlan(build: StutterPlanBuilder.() -> Unit) =
    StutterPlan(StutterPlanBuilder().apply(build))

/** A server with the id [instance] that does as [plan] says. */
class StutteringServerStandIn(
    override val instance: String,
    private val plan: StutterPlan,
    private val processingMs: Long = 2,
    private val streamEvents: Int = STREAM_EVENTS,
) : RouteServer {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val connections = ConcurrentHashMap.newKeySet<Socket>()
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "stutter-timer").apply { isDaemon = true }
    }

    /** The first answers of all runs and rejections, by request id. */
    val firstAnswers = ConcurrentHashMap<String, ConcurrentLinkedQueue<FirstAnswer>>()

    override val runs = ConcurrentHashMap<String, AtomicInteger>()
    override val arrivals = ConcurrentLinkedQueue<Arrival>()

    @Volatile
    override var rejection: Rejection? = null

    /** Number of second answers that were sent. */
    val stutterCount = AtomicInteger()

    override val address = Address(LOOPBACK, listener.localPort)

    override fun start() = daemonThread("stuttering-server") {
        while (true) {
            val socket = listener.accept()
            connections += socket
            daemonThread("stuttering-connection") { socket.use { Connection(it).serve() } }
        }
    }

    override fun close() {
        timer.shutdownNow()
        listener.close()
        connections.forEach { it.close() }
    }

    override fun gave(id: String, status: Int): Boolean =
        firstAnswers[id].orEmpty().any { it.status == status }

    override fun entry(service: String, zone: String, state: String, endpoint: Address) =
        """{"Service":"$service","Address":"$endpoint","Zone":"$zone","Version":"v1",""" +
            """"Slots":64,"State":"$state","ColdLeftMs":0,"Seq":1,"born":1}"""

    private class Request(val path: String, val fields: Map<String, String>) {
        val id = fields[REQUEST_ID_FIELD.lowercase()]
        val isStream = path.startsWith("/stream/")
    }

    private inner class Connection(private val socket: Socket) {
        private val input = BufferedInputStream(socket.getInputStream())
        private val output = socket.getOutputStream()
        private var secondAnswer: ByteArray? = null

        fun serve() = try {
            socket.tcpNoDelay = true
            generateSequence { readRequest(input) }.forEach(::answer)
        } catch (_: IOException) {
            // The other side closed the connection, or a first answer has ended badly.
        }

        private fun answer(request: Request) {
            secondAnswer?.let(::write)
            secondAnswer = null
            val id = request.id ?: return write(healthAnswer())
            arrivals += Arrival(id, RouteServerStandIn.monotonicMs())
            val expected = request.fields["x-pomeloladder-expect-instance"]
            if (expected != null && expected != instance) {
                return write(AnswerText(WRONG_INSTANCE, id, instance, "").text().toByteArray())
            }
            val answers = firstAnswers.computeIfAbsent(id) { ConcurrentLinkedQueue() }
            val draws = Random(
                (plan.seed * SEED_FACTOR + id.hashCode()) * SEED_FACTOR + answers.size,
            )
            val first = firstAnswer(request, id, draws)
            answers += first
            if (draws.nextDouble() < plan.badEndShare) {
                return endBadly(first, plan.ends.random(draws))
            }
            val second = if (draws.nextDouble() < plan.stutterShare) {
                stutterCount.incrementAndGet()
                plan.forms.random(draws).bytes(first, draws)
            } else {
                null
            }
            val moment = plan.moments.random(draws)
            val sameWrite = second?.takeIf { moment == StutterMoment.SAME_WRITE } ?: ByteArray(0)
            writeWhole(request, first, sameWrite)
            if (second == null) return
            if (moment == StutterMoment.NEXT_REQUEST) secondAnswer = second
            if (moment == StutterMoment.IDLE) writeLater(second, draws.nextLong(MAX_LATENESS_MS))
        }

        private fun writeLater(bytes: ByteArray, delayMs: Long) {
            timer.schedule({
                try {
                    write(bytes)
                } catch (_: IOException) {
                    // The other side closed the connection first.
                }
            }, delayMs, TimeUnit.MILLISECONDS)
        }

        private fun write(bytes: ByteArray) = synchronized(output) { output.write(bytes) }

        private fun writeWhole(request: Request, first: FirstAnswer, after: ByteArray) =
            synchronized(output) {
                if (!request.isStream || first.status != STATUS_OK) {
                    return output.write(first.text().toByteArray() + after)
                }
                output.write(first.text(Framing.CHUNKED, hasBody = false).toByteArray())
                for (event in first.body.split(EVENT_END).filter { it.isNotEmpty() }) {
                    Thread.sleep(EVENT_INTERVAL_MS)
                    output.write(AnswerText.chunk(event + EVENT_END).toByteArray())
                }
                output.write(AnswerText.LAST_CHUNK.toByteArray() + after)
            }

        /** Second answers don't get between the bytes and the end: nobody could tell them apart. */
        private fun endBadly(first: FirstAnswer, end: FirstEnd) = synchronized(output) {
            val isUnframed = end == FirstEnd.UNFRAMED || end == FirstEnd.UNFRAMED_RESET
            val text = first.text(if (isUnframed) Framing.NONE else Framing.LENGTH)
            val bytes = text.toByteArray()
            val isWhole = end == FirstEnd.WHOLE || end == FirstEnd.UNFRAMED
            write(if (isWhole) bytes else bytes.copyOf(bytes.size - first.body.length / 2 - 1))
            if (end == FirstEnd.WHOLE) return@synchronized
            if (end == FirstEnd.RESET || end == FirstEnd.UNFRAMED_RESET) {
                // A reset discards what the other side has not read yet.
                Thread.sleep(EVENT_INTERVAL_MS)
                socket.setSoLinger(true, 0)
            }
            socket.close()
            throw IOException("ended by the plan")
        }
    }

    private fun healthAnswer() = (
        "HTTP/1.1 200 OK\r\nX-Pomeloladder-Instance-Id: $instance\r\n" +
            "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
        ).toByteArray()

    private fun firstAnswer(request: Request, id: String, draws: Random): FirstAnswer {
        val kind = draws.nextDouble()
        rejection?.takeIf { it.isDrawn() }?.let { return FirstAnswer(id, instance, it.status, "") }
        if (kind < plan.rejectionShare) return FirstAnswer(id, instance, STATUS_BUSY, "")
        runs.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        Thread.sleep(processingMs)
        if (kind < plan.rejectionShare + plan.failureShare) {
            return FirstAnswer(id, instance, STATUS_FAILURE, "failure of $instance to $id")
        }
        if (!request.isStream) {
            return FirstAnswer(
                id,
                instance,
                STATUS_OK,
                "answer of $instance to $id",
            )
        }
        val after = request.fields["last-event-id"]?.toIntOrNull() ?: 0
        val events = (after + 1..streamEvents).joinToString("") {
            RouteServerStandIn.event(it, id)
        }
        return FirstAnswer(id, instance, STATUS_OK, events)
    }

    private fun FirstAnswer.text(framing: Framing = Framing.LENGTH, hasBody: Boolean = true) =
        AnswerText(status, requestId, instance, body, framing)
            .let { if (hasBody) it.text() else it.head() }

    private fun readRequest(input: InputStream): Request? {
        val path = input.readTextLine()?.split(' ')?.getOrNull(1) ?: return null
        val fields = generateSequence { input.readTextLine()?.ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        input.readNBytes(fields["content-length"]?.toIntOrNull() ?: 0)
        return Request(path, fields)
    }

    /** Returns the next line, or null at the end of the connection. */
    private fun InputStream.readTextLine(): String? {
        val text = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) return null
            if (byte == '\n'.code) return text.toString().trimEnd('\r')
            text.append(byte.toChar())
        }
    }

    companion object {
        const val STREAM_EVENTS = 8
        private const val BACKLOG = 256
        private const val SEED_FACTOR = 1_000_003L
        private const val EVENT_END = "\n\n"
    }
}
