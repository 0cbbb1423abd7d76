/*
 * Stand-in of a backend server on the users' platform: it counts what it runs, signs its answers, streams events, and can
 * be full, fail, or break off in the middle of an answer.
 */
package org.pomeloladder.standins

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address

private const val REQUEST_ID = "X-Pomeloladder-Request-Id"
private const val EXPECT_INSTANCE = "X-Pomeloladder-Expect-Instance"
private const val WRONG_INSTANCE = 421

/** Paths that begin so are answered with [RouteServerStandIn.STREAM_EVENTS] events. */
private const val STREAM_PREFIX = "/stream/"
private const val EVENT_INTERVAL_MS = 15L

/** How the stand-in answers. A breaking one ends streams in the middle of an event. */
enum class ServerMood { SOUND, FULL, FAILING, BREAKING }

/** One server with the id [instance]. A request takes [workMs]. */
class RouteServerStandIn(val instance: String, private val workMs: Long = 20) : StandIn {
    private val listener = LoopbackListener(0, handler())

    /** How often each request id was run. */
    val runs = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    var mood = ServerMood.SOUND

    override val address: Address
        get() = listener.address

    override fun start() = listener.start()

    override fun close() = listener.close()

    /** The entry that the server keeps in the store; [at] is where it is reached. */
    fun entry(service: String, zone: String, state: String = "ready", at: Address = address) =
        """{"Service":"$service","Address":"$at","Zone":"$zone","Version":"v1","Slots":6,""" +
            """"State":"$state","ColdLeftMs":0,"Seq":1,"born":1}"""

    private fun handler(): HttpHandler = { request ->
        val expected = request.header(EXPECT_INSTANCE)
        when {
            expected != null && expected != instance -> answer(request, Status(WRONG_INSTANCE, ""))
            mood == ServerMood.FULL ->
                answer(request, Status.SERVICE_UNAVAILABLE).header("X-Pomeloladder-Not-Run", "1")
            else -> run(request)
        }
    }

    private fun run(request: Request): Response {
        val id = request.header(REQUEST_ID).orEmpty()
        runs.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        Thread.sleep(workMs)
        if (mood == ServerMood.FAILING) {
            return answer(request, Status.INTERNAL_SERVER_ERROR).body("failure of $instance")
        }
        if (request.uri.path.startsWith(STREAM_PREFIX)) return stream(request, id)
        return answer(request, Status.OK).body("answer of $instance to $id")
    }

    private fun stream(request: Request, id: String): Response {
        val after = request.header("Last-Event-Id")?.toIntOrNull() ?: 0
        return answer(request, Status.OK)
            .header("Content-Type", "text/event-stream")
            .body(Body(EventStream(id, after + 1)))
    }

    private fun answer(request: Request, status: Status) = Response(status)
        .header(REQUEST_ID, request.header(REQUEST_ID))
        .header("X-Pomeloladder-Server-Stamp", "stamp-$instance")
        .header("Keep-Alive", "timeout=5")

    /** Events of the request [id] from number [next] on, one for each read. */
    private inner class EventStream(private val id: String, private var next: Int) :
        InputStream() {
        private var pending = ByteArray(0)
        private var position = 0

        override fun read(): Int {
            val one = ByteArray(1)
            return if (read(one, 0, 1) < 0) -1 else one[0].toInt()
        }

        override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
            if (position == pending.size) {
                if (next > STREAM_EVENTS) return -1
                Thread.sleep(EVENT_INTERVAL_MS)
                pending = event(next++, id).toByteArray()
                position = 0
            }
            if (mood == ServerMood.BREAKING && position > 0) throw IOException("stream broken off")
            val isBreaking = mood == ServerMood.BREAKING && next > BREAK_AT
            val whole = minOf(length, pending.size - position)
            val count = if (isBreaking) (whole / 2).coerceAtLeast(1) else whole
            pending.copyInto(buffer, offset, position, position + count)
            position += count
            return count
        }
    }

    companion object {
        const val STREAM_EVENTS = 20

        /** A breaking server stops in this event. */
        private const val BREAK_AT = STREAM_EVENTS / 2

        /** Event [number] of the answer to the request [id]. */
        fun event(number: Int, id: String) = "id: $number\ndata: $number of $id\n\n"
    }
}
