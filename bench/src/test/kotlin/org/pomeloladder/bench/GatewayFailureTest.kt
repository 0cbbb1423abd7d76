/*
 * Runs the packaged gateway as real processes against stand-ins of the platform, under kills,
 * pauses, shutdowns and a store that refuses requests.
 */
package org.pomeloladder.bench

import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.ServerMode
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class GatewayFailureTest {
    private val store = StoreStandIn()
    private val servers = List(3) { RouteServerStandIn("i-$it") }
    private val ports = GatewayPorts()
    private val gateways by lazy {
        listOf(
            GatewayProcess(2, "north", ports, store.address),
            GatewayProcess(3, "north", ports, store.address),
            GatewayProcess(4, "south", ports, store.address),
        )
    }
    private val nextId = AtomicInteger()

    @BeforeEach
    fun start() {
        store.start()
        servers.forEach { it.start() }
        store.put("op/config", config(version = 1, timeoutMs = 3_000))
        servers.forEach { store.put("servers/${it.instance}", it.entry("shop", "north-a")) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        eventually("the processes of north have discovered each other") {
            gateways[0].lookUp("north").count { it == ',' } >= 1 &&
                gateways[0].lookUp("north").contains("127.0.0.3")
        }
    }

    @AfterEach
    fun stop() {
        gateways.forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
    }

    private fun config(version: Int, timeoutMs: Int) = """
        {"Version":$version,"Routes":[
        {"Name":"pay","Host":"shop.example","Prefix":"/pay/","Kind":"non_idempotent",
        "TimeoutMs":$timeoutMs,"SloMs":500,"Priority":1,"Service":"shop","Attempts":1},
        {"Name":"look","Host":"shop.example","Prefix":"/look/","Kind":"idempotent",
        "TimeoutMs":$timeoutMs,"SloMs":500,"Priority":1,"Service":"shop","Attempts":2}],
        "Services":[{"Name":"shop","HealthPath":"/health","MaxConns":90}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,
        "IdleTimeoutMs":15000}}
    """.trimIndent().replace("\n", "")

    /** Sends one request and returns its id and the status, or 0 if no response arrived. */
    private fun call(gateway: GatewayProcess, path: String): Pair<String, Int> {
        val id = "request-${nextId.incrementAndGet()}"
        val request = "POST $path HTTP/1.1\r\nHost: shop.example\r\n" +
            "X-Pomeloladder-Request-Id: $id\r\nX-Pomeloladder-Deadline-Ms: 4000\r\n" +
            "Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n$BODY"
        return id to try {
            // A plain socket, because HTTP clients may retry requests on their own.
            Socket(gateway.callers.host, gateway.callers.port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MS
                socket.getOutputStream().write(request.toByteArray())
                val statusLine = socket.getInputStream().bufferedReader().readLine().orEmpty()
                statusLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0
            }
        } catch (_: IOException) {
            0
        }
    }

    private fun runsOf(id: String) = servers.sumOf { it.runs[id]?.get() ?: 0 }

    @Test
    fun `payments run at most once and refused ones never ran, through a kill and a pause`() {
        val statuses = ConcurrentHashMap<String, Int>()
        val pool = Executors.newFixedThreadPool(CALLERS)
        repeat(CALLS) { index ->
            pool.execute {
                val (id, status) = call(gateways[index % gateways.size], "/pay/x")
                statuses[id] = status
            }
            if (index == CALLS / 4) servers[0].mode = ServerMode.FULL
            if (index == CALLS / 3) gateways[1].kill()
            if (index == CALLS / 2) gateways[0].signal("STOP")
            if (index == CALLS * 2 / 3) gateways[0].signal("CONT")
            Thread.sleep(CALL_INTERVAL_MS)
        }
        pool.shutdown()
        expectThat(pool.awaitTermination(60, TimeUnit.SECONDS)).isTrue()

        expectThat(statuses.keys.map(::runsOf)).all { isEqualTo(this.subject.coerceAtMost(1)) }
        val falselyRefused = statuses.filter { it.value in NOT_RUN_STATUSES && runsOf(it.key) > 0 }
        expectThat(falselyRefused.keys).isEmpty()
        expectThat(statuses.values.count { it == 200 } > CALLS / 3).isTrue()
    }

    @Test
    fun `a region without backend servers relays requests to another region's processes`() {
        eventually("south relays to north") { call(gateways[2], "/look/x").second == 200 }
        servers.forEach { it.mode = ServerMode.FAILING }

        expectThat(call(gateways[2], "/pay/x").second).isEqualTo(500)
    }

    @Test
    fun `a drained server gets no requests, and the last state stays in use without the store`() {
        store.put("servers/i-0", servers[0].entry("shop", "north-a", state = "draining"))
        eventually("the drain is in force") {
            val (id, _) = call(gateways[0], "/look/x")
            servers[0].runs[id] == null && gateways.all { it.isReady() }
        }
        Thread.sleep(SETTLE_MS)
        store.isRefusing = true
        store.dropHistory()
        val before = servers[0].runs.size
        val statuses = List(40) { call(gateways[it % 2], "/look/x").second }

        expectThat(statuses).all { isEqualTo(200) }
        expectThat(servers[0].runs.size).isEqualTo(before)
    }

    @Test
    fun `every process applies a newer configuration even after the store lost its history`() {
        store.dropHistory()
        store.put("op/config", config(version = 9, timeoutMs = 1).replace("/look/", "/seek/"))
        eventually("the new route is in force") {
            gateways.all { call(it, "/look/x").second == 404 }
        }

        expectThat(call(gateways[0], "/seek/x").second == 404).isFalse()
    }

    @Test
    fun `a graceful shutdown interrupts no call and removes the process from the directory`() {
        val statuses = ConcurrentHashMap<Int, Int>()
        val pool = Executors.newFixedThreadPool(CALLERS)
        repeat(60) { index ->
            pool.execute { statuses[index] = call(gateways[1], "/look/x").second }
            if (index == 20) gateways[1].signal("TERM")
            Thread.sleep(CALL_INTERVAL_MS)
        }
        pool.shutdown()
        pool.awaitTermination(60, TimeUnit.SECONDS)
        expectThat(gateways[1].awaitEnd()).isTrue()
        eventually("the directory of the other process no longer lists the stopped one") {
            "127.0.0.3" !in gateways[0].lookUp("north")
        }

        expectThat(statuses.values.toSet()).isEqualTo(setOf(200))
        expectThat(gateways[0].lookUp("north")).contains("127.0.0.2")
    }

    private companion object {
        const val CALLERS = 16
        const val CALLS = 240
        const val CALL_INTERVAL_MS = 15L
        const val READ_TIMEOUT_MS = 10_000

        /** Time in which all processes apply the change; the bound on drains is longer. */
        const val SETTLE_MS = 1_500L
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        const val BODY = "order"
    }
}
