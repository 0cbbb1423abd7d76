/*
 * Callers of the soak. They keep using an open connection until it ends, and judge every answer by what the platform's
 * pages promise of it.
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

/** One answer as its caller saw it. [status] is 0 when none came; a body that broke off is not [isWhole]. */
internal class SoakAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val isWhole: Boolean,
)

/** One keep-alive connection to an entry VM. */
internal class SoakConnection(host: String, port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        connect(InetSocketAddress(host, port), CONNECT_TIMEOUT_MS)
        soTimeout = READ_TIMEOUT_MS
        tcpNoDelay = true
    }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends one request and reads its answer. */
    fun call(id: String, path: String): SoakAnswer {
        val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\n" +
            "X-Pomeloladder-Request-Id: $id\r\nX-Pomeloladder-Deadline-Ms: $DEADLINE_MS\r\n" +
            "Content-Length: ${BODY.length}\r\n\r\n$BODY"
        socket.getOutputStream().write(request.toByteArray())
        val status = line().split(' ').getOrNull(1)?.toIntOrNull()
            ?: return SoakAnswer(0, emptyMap(), "", isWhole = false)
        val headers = generateSequence { line().ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = StringBuilder()
        val isWhole = try {
            if ("chunked" in headers["transfer-encoding"].orEmpty()) {
                readChunks(body)
            } else {
                read(headers["content-length"]?.toIntOrNull() ?: 0, body)
            }
        } catch (_: IOException) {
            false
        }
        return SoakAnswer(status, headers, body.toString(), isWhole)
    }

    override fun close() = socket.close()

    private fun line(): String {
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw IOException("connection ended")
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
            val size = line().toInt(HEX)
            if (!read(size, body)) return false
            line()
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

/** Threads that call until [stop]. */
internal class SoakCallers(private val cluster: SoakCluster, seed: Long) {
    private val statuses = ConcurrentHashMap<String, Int>()
    private val nextId = AtomicInteger()

    @Volatile
    private var isRunning = true
    private val threads = List(CALLERS) { index ->
        thread(name = "soak-caller-$index") { run(Random(seed * CALLERS + index)) }
    }

    /** Calls that ended with a success. */
    val served: Int
        get() = statuses.values.count { it == OK }

    /** Waits for the calls under way; checks what only holds after all runs are over. */
    fun stop() {
        isRunning = false
        threads.forEach { it.join() }
        for ((id, status) in statuses) {
            val runs = cluster.runsOf(id)
            if (status in PROMISES && runs > 0) {
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
                SoakConnection(address.host, address.port).use { useUntilItEnds(it, random) }
            } catch (_: IOException) {
                Thread.sleep(RECONNECT_MS)
            }
        }
    }

    private fun useUntilItEnds(connection: SoakConnection, random: Random) {
        var isKept = true
        while (isRunning && isKept) isKept = call(connection, random)
    }

    private fun call(connection: SoakConnection, random: Random): Boolean {
        val route = ROUTES[random.nextInt(ROUTES.size)]
        val id = "$route-${nextId.incrementAndGet()}"
        val answer = connection.call(id, "/$route/x")
        statuses[id] = if (answer.isWhole) answer.status else 0
        if (answer.status == OK && answer.isWhole) judge(id, route, answer)
        if (answer.status == NOT_FOUND) cluster.violations += "$id was answered 404"
        Thread.sleep(random.nextLong(MOST_PAUSE_MS))
        return answer.isWhole && answer.headers["connection"] != "close"
    }

    private fun judge(id: String, route: String, answer: SoakAnswer) {
        if (answer.headers["x-pomeloladder-request-id"] != id) {
            cluster.violations += "$id got an answer of another request: ${answer.headers}"
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
        const val MOST_PAUSE_MS = 30L
        const val RECONNECT_MS = 50L
        val PROMISES = setOf(408, 421, 429, 503)
        val ROUTES = listOf("pay", "look", "look", "stream")
    }
}
