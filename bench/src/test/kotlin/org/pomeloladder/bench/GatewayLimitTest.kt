/*
 * Runs the packaged gateway as real processes before servers that name a limit, and counts the
 * requests that reach these servers from all processes together.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

class GatewayLimitTest {
    private val store = StoreStandIn()
    private val servers = List(SERVERS) { RouteServerStandIn("i-$it", processingMs = 5) }
    private val ports = GatewayPorts()
    private val gateways by lazy {
        List(VMS) { GatewayProcess(it + 2, "north", ports, store.address) }
    }
    private val answers = ConcurrentLinkedQueue<SoakAnswer>()
    private val nextId = AtomicInteger()

    @Volatile
    private var isRunning = true
    private lateinit var callers: List<Thread>

    @BeforeEach
    fun start() {
        store.start()
        servers.forEach { it.start() }
        store.put(
            "op/config",
            """{"Version":1,"Routes":[{"Name":"look","Host":"shop.example","Prefix":"/look/",""" +
                """"Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Priority":1,""" +
                """"Service":"shop","Attempts":2}],"Services":[{"Name":"shop",""" +
                """"HealthPath":"/health","MaxConns":90}],"Limits":{"MaxHeaderBytes":16384,""" +
                """"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
        )
        servers.forEach { store.put("servers/${it.instance}", it.entry("shop", "north-a")) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        callers = List(CALLERS) { index -> thread { call(Random(index)) } }
        eventually("calls are answered") { answers.size > CALLERS }
    }

    @AfterEach
    fun stop() {
        isRunning = false
        callers.forEach { it.join() }
        gateways.forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
    }

    private fun call(random: Random) {
        while (isRunning) {
            val address = gateways[random.nextInt(gateways.size)].callers
            useConnection(address) { connection ->
                val answer = connection.call("look-${nextId.incrementAndGet()}", "/look/x")
                answers += answer
                Thread.sleep(random.nextLong(MAX_PAUSE_MS))
                isRunning && answer.isComplete && answer.headers["connection"] != "close"
            }
            Thread.sleep(RECONNECT_MS)
        }
    }

    /** The most requests above the bound that one of [limited] got in a window from [fromMs] on. */
    private fun worstExcess(limited: List<RouteServerStandIn>, fromMs: Long): Double =
        limited.maxOf { server ->
            val timesMs = server.arrivals.map { it.atMs }.filter { it >= fromMs }
            timesMs.maxOfOrNull { start ->
                timesMs.count { it in start until start + WINDOW_MS } - ALLOWED
            } ?: -ALLOWED
        }

    /** Sets the limit of [limited], and returns the time from which it must be kept. */
    private fun limit(limited: List<RouteServerStandIn>): Long {
        limited.forEach { it.limitPerS = LIMIT_PER_S }
        Thread.sleep(NOTICE_MS)
        return RouteServerStandIn.monotonicMs()
    }

    // Guards against processes that each take the limit of a server for their own, also one that
    // has just started.
    @Test
    fun `servers at their limit get no more than it from all processes beside a free one`() {
        val limited = servers.drop(1)
        val fromMs = limit(limited)
        answers.clear()
        Thread.sleep(OBSERVED_MS)
        gateways[0].kill()
        gateways[0].start()
        gateways[0].awaitReady()
        Thread.sleep(OBSERVED_MS)

        expectThat(worstExcess(limited, fromMs)).isLessThanOrEqualTo(0.0)
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    // Guards against the same when the callers have nowhere else to go, against refusals without a
    // time to return, and against a limit that outlasts its end.
    @Test
    fun `with all servers at their limit the rest is refused until the limit ends`() {
        val fromMs = limit(servers)
        answers.clear()
        Thread.sleep(OBSERVED_MS)
        val excess = worstExcess(servers, fromMs)
        val refused = answers.filter { it.status == UNAVAILABLE }
        servers.forEach { it.limitPerS = null }
        Thread.sleep(NOTICE_MS)
        answers.clear()
        Thread.sleep(NOTICE_MS)

        expectThat(excess).isLessThanOrEqualTo(0.0)
        expectThat(refused.size).isGreaterThan(0)
        expectThat(refused.map { it.headers["retry-after"] }).all { isNotNull() }
        expectThat(answers.map { it.status }).all { isEqualTo(OK) }
    }

    private companion object {
        const val VMS = 3
        const val SERVERS = 3
        const val CALLERS = 12
        const val MAX_PAUSE_MS = 100L
        const val RECONNECT_MS = 20L
        const val NOTICE_MS = 2_000L
        const val OBSERVED_MS = 7_000L
        const val LIMIT_PER_S = 3.0
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The platform's rule: what the limit allows in 4 s, half as much again, and five. */
        const val WINDOW_MS = 4_000L
        const val ALLOWED = 1.5 * LIMIT_PER_S * 4 + 5
    }
}
