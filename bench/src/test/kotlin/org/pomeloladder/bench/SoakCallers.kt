/*
 * The callers of the soak. They reuse a connection until it closes and check every response against
 * the guarantees that the platform documents.
 */
package org.pomeloladder.bench

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.pomeloladder.standins.RouteServerStandIn

/** A response. [status] is 0 if none arrived; [isComplete] is false if the body was cut off. */
internal class SoakAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val isComplete: Boolean,
)

/** A keep-alive connection to an entry VM. */
internal class SoakConnection(host: String, port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        connect(InetSocketAddress(host, port), CONNECT_TIMEOUT_MS)
        soTimeout = READ_TIMEOUT_MS
        tcpNoDelay = true
    }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends one request and reads its response. */
    fun call(id: String, path: String): SoakAnswer {
        val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\n" +
            "X-Pomeloladder-Request-Id: $id\r\nX-Pomeloladder-Deadline-Ms: $DEADLINE_MS\r\n" +
            "Content-Length: ${BODY.length}\r\n\r\n$BODY"
        socket.getOutputStream().write(request.toByteArray())
        val status = readTextLine().split(' ').getOrNull(1)?.toIntOrNull()
            ?: return SoakAnswer(0, emptyMap(), "", isComplete = false)
        val headers = generateSequence { readTextLine().ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = StringBuilder()
        val isComplete = try {
            if ("chunked" in headers["transfer-encoding"].orEmpty()) {
                readChunks(body)
            } else {
                read(headers["content-length"]?.toIntOrNull() ?: 0, body)
            }
        } catch (_: IOException) {
            false
        }
        return SoakAnswer(status, headers, body.toString(), isComplete)
    }

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

    private fun readChunks(body: StringBuilder): Boolean {
        while (true) {
            val size = readTextLine().toInt(HEX)
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
    }
}

/** Threads that send requests until [stop]. */
internal class SoakCallers(private val cluster: SoakCluster, seed: Long) {
    private val statuses = ConcurrentHashMap<String, Int>()
    private val nextId = AtomicInteger()

    @Volatile
    private var isRunning = true
    private val threads = List(CALLERS) { index ->
        thread(name = "soak-caller-$index") { run(Random(seed * CALLERS + index)) }
    }

    /** The number of calls that completed with status 200. */
    val successCount: Int
        get() = statuses.values.count { it == OK }

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

    private fun run(random: Random) {
        while (isRunning) {
            val vm = cluster.vms[random.nextInt(cluster.vms.size)]
            val address = vm.process.callers
            try {
                SoakConnection(address.host, address.port).use { useUntilClosed(it, random) }
            } catch (_: IOException) {
                Thread.sleep(RECONNECT_MS)
            }
        }
    }

    private fun useUntilClosed(connection: SoakConnection, random: Random) {
        var isReusable = true
        while (isRunning && isReusable) isReusable = call(connection, random)
    }

    private fun call(connection: SoakConnection, random: Random): Boolean {
        val route = ROUTES[random.nextInt(ROUTES.size)]
        val id = "$route-${nextId.incrementAndGet()}"
        val answer = connection.call(id, "/$route/x")
        statuses[id] = if (answer.isComplete) answer.status else 0
        if (answer.status == OK && answer.isComplete) checkResponse(id, route, answer)
        if (answer.status == NOT_FOUND) cluster.violations += "$id got status 404"
        Thread.sleep(random.nextLong(MAX_PAUSE_MS))
        return answer.isComplete && answer.headers["connection"] != "close"
    }

    private fun checkResponse(id: String, route: String, answer: SoakAnswer) {
        if (answer.headers["x-pomeloladder-request-id"] != id) {
            cluster.violations += "$id got the response of another request: ${answer.headers}"
        }
        val expected = if (route == "stream") {
            (1..RouteServerStandIn.STREAM_EVENTS)
                .joinToString("") { RouteServerStandIn.event(it, id) }
        } else {
            answer.body.substringBefore(" to ") + " to $id"
        }
        if (answer.body != expected) cluster.violations += "$id got a wrong body: ${answer.body}"
    }

    private companion object {
        const val CALLERS = 16
        const val OK = 200
        const val NOT_FOUND = 404
        const val MAX_PAUSE_MS = 30L
        const val RECONNECT_MS = 50L
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val ROUTES = listOf("pay", "look", "look", "stream")
    }
}
