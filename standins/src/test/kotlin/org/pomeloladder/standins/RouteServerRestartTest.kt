package org.pomeloladder.standins

import java.io.IOException
import java.net.ConnectException
import java.net.HttpURLConnection
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class RouteServerRestartTest {
    private val server = RouteServerStandIn("i-0", processingMs = SLOW_MS)
    private val callers = Executors.newCachedThreadPool()

    @AfterEach
    fun stop() {
        callers.shutdownNow()
        server.close()
    }

    private fun call(path: String, vararg headers: Pair<String, String>): HttpURLConnection {
        val uri = URI("http://${server.address}$path")
        val connection = uri.toURL().openConnection() as HttpURLConnection
        headers.forEach { (name, value) -> connection.setRequestProperty(name, value) }
        connection.responseCode
        return connection
    }

    private fun callLater(id: String): Future<Int> =
        callers.submit(Callable { call("/x", "X-Pomeloladder-Request-Id" to id).responseCode })

    private fun entry(): JsonObject =
        standInJson.parseToJsonElement(server.entry("shop", "north-a")).jsonObject

    private fun JsonObject.number(name: String): Long = getValue(name).jsonPrimitive.long

    private fun awaitArrivals(count: Int) {
        while (server.arrivals.size < count) Thread.sleep(1)
    }

    // Guards against a crash that lets requests under way finish or that leaves connections open.
    @Test
    fun `a crash loses the requests under way at once and refuses connections`() {
        server.start()
        val idle = Socket(server.address.host, server.address.port)
        val underWay = callLater("a")
        awaitArrivals(1)
        val startedNanos = System.nanoTime()
        server.crash()
        val failure = runCatching { underWay.get() }.exceptionOrNull()
        val lastedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)

        expectThat(failure?.cause).isA<IOException>()
        expectThat(lastedMs).isLessThan(SLOW_MS)
        expectThat(idle.use { it.getInputStream().read() }).isEqualTo(-1)
        expectThrows<ConnectException> { call("/x", "X-Pomeloladder-Request-Id" to "b") }
    }

    // Guards against a start that can't be told from the life before, or that isn't at its address.
    @Test
    fun `a server starts again at its address as a new life`() {
        server.start()
        val address = server.address
        val first = entry()
        entry()
        server.crash()
        val beforeUnixMs = System.currentTimeMillis()
        server.startAgain(COLD_MS)
        val afterUnixMs = System.currentTimeMillis()
        val second = entry()

        expectThat(server.address).isEqualTo(address)
        expectThat(call("/health").responseCode).isEqualTo(OK)
        expectThat(second.number("born")).isIn(beforeUnixMs..afterUnixMs)
            .isGreaterThan(first.number("born"))
        expectThat(second.number("Seq")).isEqualTo(first.number("Seq"))
        expectThat(first.number("ColdLeftMs")).isEqualTo(0)
        expectThat(second.number("ColdLeftMs")).isIn(1..COLD_MS)
    }

    // Guards against a health check that waits, counts as a request or doesn't tell the cold time.
    @Test
    fun `a health check is answered at once, tells the cold time and is no arrival`() {
        server.start()
        val warm = call("/health")
        server.crash()
        server.startAgain(COLD_MS)
        val startedNanos = System.nanoTime()
        val cold = call("/health", "X-Pomeloladder-Request-Id" to "a")
        val lastedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
        Thread.sleep(COLD_MS)
        val warmAgain = call("/health")

        expectThat(listOf(warm, cold, warmAgain)).all {
            get { responseCode }.isEqualTo(OK)
            get { getHeaderField(INSTANCE_HEADER) }.isEqualTo("i-0")
        }
        expectThat(lastedMs).isLessThan(SLOW_MS)
        expectThat(cold.getHeaderField(COLD_HEADER).toLong()).isIn(1..COLD_MS)
        expectThat(listOf(warm, warmAgain).map { it.getHeaderField(COLD_HEADER) })
            .all { isNull() }
        expectThat(server.arrivals).isEmpty()
        expectThat(server.runs.keys).isEmpty()
    }

    // Guards against a count that takes arrivals of another life, of a warm server or for another
    // server, and so finds floods where there are none.
    @Test
    @Tag("known-red")
    fun `arrivals of each cold life are counted, but no others`() {
        server.start()
        call("/x", "X-Pomeloladder-Request-Id" to "warm")
        server.crash()
        server.startAgain(COLD_MS)
        callLater("a").get()
        call("/x", "X-Pomeloladder-Request-Id" to "b", EXPECTED_HEADER to "i-1")
        Thread.sleep(COLD_MS)
        call("/x", "X-Pomeloladder-Request-Id" to "warm-again")
        server.crash()
        server.startAgain(COLD_MS)
        listOf("c", "d").map { callLater(it) }.forEach { it.get() }

        val ids = server.coldArrivals.map { life -> life.arrivals.map { it.requestId }.toSet() }
        expectThat(ids).isEqualTo(listOf(setOf("a"), setOf("c", "d")))
        expectThat(server.arrivals).hasSize(6)
    }

    // Guards against a worst second that depends on where seconds begin.
    @Test
    fun `the worst second may begin at any arrival`() {
        val timesMs = listOf(0L, 600L, 900L, 1_500L, 1_599L, 1_600L)

        expectThat(ColdArrivals.worstSecond(timesMs)).isEqualTo(4)
        expectThat(ColdArrivals.worstSecond(emptyList())).isEqualTo(0)
    }

    // Guards against a port that another socket gets between a crash and the next start.
    @Test
    fun `a server that crashes often under load starts again each time`() {
        server.start()
        val isOver = CountDownLatch(1)
        val load = List(CALLERS) { index ->
            callers.submit {
                var number = 0
                while (isOver.count > 0) {
                    runCatching { call("/x", "X-Pomeloladder-Request-Id" to "$index-${number++}") }
                }
            }
        }
        repeat(CRASHES) {
            Thread.sleep(LIFE_MS)
            server.crash()
            Thread.sleep(LIFE_MS)
            server.startAgain(COLD_MS)
            expectThat(call("/health").responseCode).isEqualTo(OK)
        }
        isOver.countDown()
        load.forEach { it.get() }

        expectThat(server.coldArrivals).hasSize(CRASHES)
    }

    // Guards against a connection that a crash leaves open because it was just being accepted: its
    // caller would wait for as long as the process of the stand-in runs.
    @Test
    fun `a crash closes the connections that are being accepted`() {
        server.start()
        val sockets = ConcurrentLinkedQueue<Socket>()
        repeat(CRASHES_WHILE_CONNECTING) {
            val hasCrashed = CountDownLatch(1)
            val connecting = List(CALLERS) {
                callers.submit {
                    while (hasCrashed.count > 0) {
                        connect()?.let { sockets += it }
                        LockSupport.parkNanos(CONNECT_PAUSE_NANOS)
                    }
                }
            }
            Thread.sleep(1)
            server.crash()
            hasCrashed.countDown()
            connecting.forEach { it.get() }
            server.startAgain(COLD_MS)
        }

        Thread.sleep(LEFT_OPEN_MS)
        expectThat(sockets.count { it.use { socket -> isOpenAtServer(socket) } }).isEqualTo(0)
    }

    /**
     * A connection with the first line of a request, or null if it was refused. Without a byte sent,
     * a client doesn't see that the system dropped a connection that nobody had accepted.
     */
    private fun connect(): Socket? = try {
        Socket(server.address.host, server.address.port).apply {
            getOutputStream().write("GET /x HTTP/1.1\r\n".toByteArray())
        }
    } catch (_: IOException) {
        null
    }

    private fun isOpenAtServer(socket: Socket): Boolean = try {
        socket.soTimeout = 1
        socket.getInputStream().read()
        false
    } catch (_: SocketTimeoutException) {
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val OK = 200
        const val SLOW_MS = 400L
        const val COLD_MS = 800L
        const val CALLERS = 8
        const val CRASHES = 10
        const val LIFE_MS = 50L
        const val CRASHES_WHILE_CONNECTING = 100
        const val CONNECT_PAUSE_NANOS = 100_000L
        const val LEFT_OPEN_MS = 3_000L
        const val INSTANCE_HEADER = "X-Pomeloladder-Instance-Id"
        const val COLD_HEADER = "X-Pomeloladder-Cold-Ms"
        const val EXPECTED_HEADER = "X-Pomeloladder-Expect-Instance"
    }
}
