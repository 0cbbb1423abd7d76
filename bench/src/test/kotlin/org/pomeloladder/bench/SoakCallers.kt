/*
 * The callers of the soak. They reuse a connection until it closes and check every response against
 * the guarantees that the platform documents and against what the backend servers sent. In a burst,
 * more callers come, and repeat refused requests immediately, each time on a new connection.
 */
package org.pomeloladder.bench

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.pomeloladder.configuration.Address
import org.pomeloladder.standins.RouteServerStandIn

/** A response. [status] is 0 if none arrived; [isComplete] is false if the body was cut off. */
internal class SoakAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val isComplete: Boolean,
)

/** Bytes from an entry VM that are not a response to the request. */
internal class MalformedResponse(message: String) : Exception(message)

/** A keep-alive connection to an entry VM. */
internal class SoakConnection(host: String, port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        connect(InetSocketAddress(host, port), CONNECT_TIMEOUT_MS)
        soTimeout = READ_TIMEOUT_MS
        tcpNoDelay = true
    }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends one request, with more [headers] than usual, and reads its response. */
    fun call(id: String, path: String, headers: String = ""): SoakAnswer {
        if (input.available() > 0) throw MalformedResponse("response before the request $id")
        val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\n" +
            "X-Pomeloladder-Request-Id: $id\r\nX-Pomeloladder-Deadline-Ms: $DEADLINE_MS\r\n" +
            "Content-Length: ${BODY.length}\r\n$headers\r\n$BODY"
        socket.getOutputStream().write(request.toByteArray())
        val status = readStatus(id)
        val answerHeaders = readHeaders()
        val body = StringBuilder()
        val isComplete = try {
            val length = answerHeaders["content-length"]
            when {
                "chunked" in answerHeaders["transfer-encoding"].orEmpty() -> readChunks(id, body)
                length != null -> read(length.toInt(), body)
                else -> read(Int.MAX_VALUE, body).let { true }
            }
        } catch (_: IOException) {
            false
        }
        return SoakAnswer(status, answerHeaders, body.toString(), isComplete)
    }

    private fun readStatus(id: String): Int {
        while (true) {
            val line = readTextLine()
            val status = STATUS_LINE.matchEntire(line)?.groupValues?.get(1)?.toInt()
                ?: throw MalformedResponse("$id got the status line '$line'")
            if (status !in INFORMATIONAL_STATUSES) return status
            readHeaders()
        }
    }

    private fun readHeaders(): Map<String, String> =
        generateSequence { readTextLine().ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }

    override fun close() = socket.close()

    private fun readTextLine(): String {
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw IOException("connection closed by the entry VM")
            if (byte == '\n'.code) return text.toString().trimEnd('\r')
            text.append(byte.toChar())
        }
    }

    private fun read(length: Int, body: StringBuilder): Boolean {
        val bytes = input.readNBytes(length)
        body.append(String(bytes))
        return bytes.size == length
    }

    private fun readChunks(id: String, body: StringBuilder): Boolean {
        while (true) {
            val line = readTextLine()
            val size = line.toIntOrNull(HEX)
                ?: throw MalformedResponse("$id got the chunk size '$line'")
            if (!read(size, body)) return false
            readTextLine()
            if (size == 0) return true
        }
    }

    private companion object {
        const val HEX = 16
        const val CONNECT_TIMEOUT_MS = 1_000
        const val READ_TIMEOUT_MS = 15_000
        const val DEADLINE_MS = 8_000
        const val BODY = "order"
        val STATUS_LINE = Regex("HTTP/1\\.1 (\\d{3})( .*)?")
        val INFORMATIONAL_STATUSES = 100..199
    }
}

/**
 * Calls [callNext] on one connection to [address] until it returns false. Returns false if the
 * connection was lost before.
 */
internal fun useConnection(address: Address, callNext: (SoakConnection) -> Boolean): Boolean = try {
    SoakConnection(address.host, address.port).use { while (callNext(it)) Unit }
    true
} catch (_: IOException) {
    false
}

/** Threads that send requests until [stop]. */
internal class SoakCallers(private val cluster: SoakCluster, private val seed: Long) {
    private val statuses = ConcurrentHashMap<String, Int>()
    private val requestTimesMs = ConcurrentHashMap<String, ConcurrentLinkedQueue<Long>>()
    private val nextId = AtomicInteger()
    private val nextCaller = AtomicInteger()

    @Volatile
    private var isRunning = true
    private val threads = ConcurrentLinkedQueue<Thread>()

    init {
        repeat(CALLERS) { start { random -> run(random, isPatient = true) { isRunning } } }
    }

    /** The number of calls that completed with status 200. */
    val successCount: Int
        get() = statuses.values.count { it == OK }

    /** Adds [callers] for [forMs] that neither pause nor wait before they repeat a request. */
    fun burst(callers: Int, forMs: Long) {
        val untilNanos = System.nanoTime() + forMs * NANOS_PER_MS
        repeat(callers) {
            start { random ->
                run(random, isPatient = false) { isRunning && System.nanoTime() < untilNanos }
            }
        }
    }

    /** Waits for in-flight calls, then checks the run counts, which are final only then. */
    fun stop() {
        isRunning = false
        threads.forEach { it.join() }
        for ((id, status) in statuses) {
            val runs = cluster.runsOf(id)
            if (status in NOT_RUN_STATUSES && runs > 0) {
                cluster.violations += "$id was refused with $status and ran $runs times"
            }
            if (id.startsWith("pay") && runs > 1) cluster.violations += "$id ran $runs times"
        }
    }

    /** Returns the window of each service in which its retries come closest to their bound. */
    fun worstWindows(): Map<String, RetryWindow> = requestTimesMs.mapNotNull { (service, timesMs) ->
        val arrivals = cluster.allServers.filter { it.service == service }
            .flatMap { it.standIn.arrivals }
        RetryBudgetAudit(timesMs, arrivals, SoakCluster.RETRY_BOUNDS).worstWindow()?.let {
            service to
                it
        }
    }.toMap()

    /** Sends a request on [route] over [connection] and checks its response. */
    fun call(connection: SoakConnection, route: String): SoakAnswer {
        val id = "$route-${nextId.incrementAndGet()}"
        val service = cluster.serviceOfRoute.getValue(route)
        requestTimesMs.computeIfAbsent(service) { ConcurrentLinkedQueue() } +=
            RouteServerStandIn.monotonicMs()
        val answer = connection.call(id, "/$route/x")
        statuses[id] = if (answer.isComplete) answer.status else 0
        checkResponse(id, route, answer)
        return answer
    }

    /** Records bytes that are no response as a violation. */
    fun record(malformed: MalformedResponse) {
        cluster.violations += checkNotNull(malformed.message)
    }

    private fun start(run: (Random) -> Unit) {
        val index = nextCaller.getAndIncrement()
        threads += thread(name = "soak-caller-$index") { run(Random(seed * CALLERS + index)) }
    }

    private fun run(random: Random, isPatient: Boolean, isActive: () -> Boolean) {
        while (isActive()) {
            val vm = cluster.vms[random.nextInt(cluster.vms.size)]
            try {
                val isEnded = useConnection(vm.process.callers) {
                    isActive() && callNext(it, random, isPatient)
                }
                if (!isEnded) Thread.sleep(if (isPatient) RECONNECT_MS else IMPATIENT_RECONNECT_MS)
            } catch (e: MalformedResponse) {
                record(e)
            }
        }
    }

    /** Sends a request on a random route and returns whether the connection may be used again. */
    private fun callNext(connection: SoakConnection, random: Random, isPatient: Boolean): Boolean {
        val answer = call(connection, ROUTES[random.nextInt(ROUTES.size)])
        if (isPatient) Thread.sleep(random.nextLong(MAX_PAUSE_MS))
        val isRepeated = !isPatient && answer.status in NOT_RUN_STATUSES
        return answer.isComplete && answer.headers["connection"] != "close" && !isRepeated
    }

    private fun checkResponse(id: String, route: String, answer: SoakAnswer) {
        val headers = answer.headers
        if (answer.status == NOT_FOUND) cluster.violations += "$id got status 404"
        val answeredId = headers["x-pomeloladder-request-id"]
        val needsId = answer.status in SUCCESS_STATUSES
        if (answeredId != id && (needsId || answeredId != null)) {
            cluster.violations += "$id got the response of another request: $headers"
        }
        val stamp = headers["x-pomeloladder-server-stamp"]
        if (stamp == null) {
            if (answer.status in SUCCESS_STATUSES) {
                cluster.violations += "$id got ${answer.status} without a stamp: $headers"
            }
            return
        }
        val instance = stamp.removePrefix("stamp-")
        val server = cluster.allServers.find { it.standIn.instance == instance }
        if (server == null || !server.standIn.gave(id, answer.status)) {
            cluster.violations += "$id got ${answer.status}, which $stamp did not give: $headers"
        }
        val body = expectedBody(id, route, instance, answer.status)
        if (answer.isComplete && answer.body != body) {
            cluster.violations += "$id got a wrong body with ${answer.status}: ${answer.body}"
        }
    }

    private fun expectedBody(id: String, route: String, instance: String, status: Int) = when {
        status == FAILURE -> "failure of $instance to $id"
        status != OK -> ""
        route != "stream" -> "answer of $instance to $id"
        else -> (1..RouteServerStandIn.STREAM_EVENTS)
            .joinToString("") { RouteServerStandIn.event(it, id) }
    }

    private companion object {
        const val CALLERS = 16
        const val OK = 200
        const val NOT_FOUND = 404
        const val FAILURE = 500
        const val MAX_PAUSE_MS = 30L
        const val RECONNECT_MS = 50L
        const val IMPATIENT_RECONNECT_MS = 5L
        const val NANOS_PER_MS = 1_000_000L
        val SUCCESS_STATUSES = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val ROUTES = listOf("pay", "look", "look", "stream")
    }
}
