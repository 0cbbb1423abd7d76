/*
 * Real gateway processes of one region before servers of one service, and callers that send
 * requests one after another until the deployment is closed.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn

/** The processes, servers and callers of a test. A cold server takes [coldPerS] a second. */
internal class ShopDeployment(private val coldPerS: Int = 0) : AutoCloseable {
    val store = StoreStandIn()
    val servers = List(SERVERS) { RouteServerStandIn("i-$it", processingMs = 5) }
    private val ports = GatewayPorts()
    val gateways by lazy { List(VMS) { GatewayProcess(it + 2, "north", ports, store.address) } }

    /** What the callers have got. */
    val answers = ConcurrentLinkedQueue<SoakAnswer>()
    private val nextId = AtomicInteger()

    @Volatile
    private var isRunning = true
    private var callers = emptyList<Thread>()

    fun start() {
        store.start()
        servers.forEach { it.start() }
        store.put(
            "op/config",
            """{"Version":1,"Routes":[{"Name":"look","Host":"shop.example","Prefix":"/look/",""" +
                """"Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Priority":1,""" +
                """"Service":"shop","Attempts":2}],"Services":[{"Name":"shop",""" +
                """"HealthPath":"/health","MaxConns":90,"ColdPerS":$coldPerS}],""" +
                """"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,""" +
                """"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
        )
        servers.forEach { report(it) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        callers = List(CALLERS) { index -> thread { call(Random(index)) } }
    }

    /** Writes the entry of [server] as it writes it itself. */
    fun report(server: RouteServerStandIn) =
        store.put("servers/${server.instance}", server.entry("shop", "north-a"))

    override fun close() {
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

    companion object {
        const val CALLERS = 12

        /** A process sends few lost or rejected calls again before it has run for this long. */
        const val RETRY_SHARE_MS = 12_000L
        private const val VMS = 3
        private const val SERVERS = 3
        private const val MAX_PAUSE_MS = 100L
        private const val RECONNECT_MS = 20L
    }
}
