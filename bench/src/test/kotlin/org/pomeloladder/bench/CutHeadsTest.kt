/*
 * Runs the packaged gateway as real processes before servers that stop within the heads of their
 * responses and end the connection.
 */
package org.pomeloladder.bench

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class CutHeadsTest {
    private val store = StoreStandIn()
    private val plain = CutCounter()
    private val streamed = CutCounter()
    private val servers = List(3) { CuttingServer("i-$it") }
    private val ports = GatewayPorts()
    private val gateways by lazy {
        listOf(
            GatewayProcess(2, "north", ports, store.address),
            // It has no servers of its own and relays all calls.
            GatewayProcess(4, "south", ports, store.address),
        )
    }
    private val nextId = AtomicInteger()

    @Volatile
    private var areServersSound = true

    /** The position at which the next response of a kind stops. */
    private class CutCounter {
        val count = AtomicInteger()

        fun isDone(text: String) = count.get() > text.length
    }

    @BeforeEach
    fun start() {
        store.start()
        store.put("op/config", CONFIG)
        servers.forEach { store.put("servers/${it.instance}", it.entry()) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        eventually("each process gets whole answers") {
            gateways.all { isCompleteSuccess(call(it, "/look/x")) }
        }
        areServersSound = false
    }

    @AfterEach
    fun stop() {
        gateways.forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
    }

    /** Sends one request and returns all bytes of its response. */
    private fun call(gateway: GatewayProcess, path: String): String {
        val received = ByteArrayOutputStream()
        val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\n" +
            "X-Pomeloladder-Request-Id: request-${nextId.incrementAndGet()}\r\n" +
            "X-Pomeloladder-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        try {
            Socket(gateway.callers.host, gateway.callers.port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MS
                socket.getOutputStream().write(request.toByteArray())
                socket.getInputStream().copyTo(received)
            }
        } catch (_: IOException) {
            // What has arrived before still counts.
        }
        return received.toString()
    }

    /** Whether a caller takes [text] for a complete response with success. */
    private fun isCompleteSuccess(text: String): Boolean {
        if (!text.startsWith("HTTP/1.1 2")) return false
        val head = text.substringBefore("\r\n\r\n")
        val body = text.substringAfter("\r\n\r\n", missingDelimiterValue = "")
        val length = head.lines().firstOrNull { it.startsWith("content-length:", true) }
            ?.substringAfter(':')?.trim()?.toInt()
        return if (length == null) body.endsWith("0\r\n\r\n") else body.length >= length
    }

    // Guards against a 200 with an empty or short body that is framed as whole, after a server has
    // stopped within its head (MIXED, ORDER).
    @Test
    fun `no caller gets a complete answer from servers that stop before the end of theirs`() {
        val answers = ConcurrentLinkedQueue<String>()
        val untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TEST_TIMEOUT_S)
        val callers = Executors.newFixedThreadPool(CALLERS)
        repeat(CALLERS) { index ->
            callers.execute {
                val gateway = gateways[index % gateways.size]
                while (System.nanoTime() < untilNanos) {
                    val isPlainDone = plain.isDone(PLAIN)
                    if (isPlainDone && streamed.isDone(STREAM)) break
                    answers += call(gateway, if (isPlainDone) "/stream/x" else "/look/x")
                }
            }
        }
        callers.shutdown()
        expectThat(callers.awaitTermination(2 * TEST_TIMEOUT_S, TimeUnit.SECONDS)).isTrue()

        expectThat(answers.filter(::isCompleteSuccess)).isEmpty()
        expectThat(plain.count.get()).isGreaterThan(PLAIN.length)
        expectThat(streamed.count.get()).isGreaterThan(STREAM.length)
    }

    /** A server whose responses stop one byte later each time. */
    private inner class CuttingServer(val instance: String) : AutoCloseable {
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

        init {
            thread(isDaemon = true) {
                while (!listener.isClosed) {
                    val socket = runCatching { listener.accept() }.getOrNull() ?: break
                    thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
                }
            }
        }

        fun entry() = """{"Service":"shop","Address":"127.0.0.1:${listener.localPort}",""" +
            """"Zone":"north-a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,""" +
            """"Seq":1,"born":1}"""

        private fun serve(socket: Socket) {
            val reader = socket.getInputStream().bufferedReader()
            while (true) {
                val head = generateSequence { reader.readLine() }
                    .takeWhile { it.isNotEmpty() }.toList()
                if (head.isEmpty()) return
                val id = head.firstOrNull { it.startsWith("x-pomeloladder-request-id:", true) }
                    ?.substringAfter(':')?.trim().orEmpty()
                if (" /health" in head.first()) {
                    socket.write(HEALTHY.replace(INSTANCE, instance))
                } else if (areServersSound) {
                    socket.write(PLAIN.replace(ID, id))
                } else {
                    return cut(socket, "/stream/" in head.first(), id)
                }
            }
        }

        private fun cut(socket: Socket, isStream: Boolean, id: String) {
            val text = if (isStream) STREAM else PLAIN
            val position = (if (isStream) streamed else plain).count.getAndIncrement() % text.length
            socket.write(text.take(position).replace(ID, id))
            if (position % 2 == 0) {
                Thread.sleep(DELIVERY_DELAY_MS)
                socket.setSoLinger(true, 0)
            }
        }

        private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

        override fun close() = listener.close()
    }

    private companion object {
        const val CALLERS = 24
        const val BACKLOG = 200
        const val READ_TIMEOUT_MS = 10_000
        const val TEST_TIMEOUT_S = 40L

        /** A reset discards bytes that were not read yet. */
        const val DELIVERY_DELAY_MS = 20L
        const val ID = "request-x"
        const val INSTANCE = "instance-x"
        const val HEAD = "HTTP/1.1 200 OK\r\nX-Pomeloladder-Request-Id: $ID\r\n" +
            "X-Pomeloladder-Server-Stamp: s\r\n"
        const val PLAIN = HEAD + "Content-Length: 5\r\n\r\nwhole"
        const val STREAM = HEAD + "Transfer-Encoding: chunked\r\n\r\n" +
            "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
        const val HEALTHY = "HTTP/1.1 200 OK\r\nX-Pomeloladder-Instance-Id: $INSTANCE\r\n" +
            "Content-Length: 0\r\n\r\n"
        val CONFIG = """
            {"Version":1,"Routes":[
            {"Name":"look","Host":"shop.example","Prefix":"/look/","Kind":"idempotent",
            "TimeoutMs":3000,"SloMs":500,"Priority":1,"Service":"shop","Attempts":2},
            {"Name":"stream","Host":"shop.example","Prefix":"/stream/","Kind":"streaming",
            "TimeoutMs":3000,"SloMs":500,"GapAimMs":500,"Priority":1,"Service":"shop",
            "Attempts":2,"CanResume":true}],
            "Services":[{"Name":"shop","HealthPath":"/health","MaxConns":90}],
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,
            "IdleTimeoutMs":15000}}
        """.trimIndent().replace("\n", "")
    }
}
