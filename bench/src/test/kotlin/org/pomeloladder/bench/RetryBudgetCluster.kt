/*
 * Entry VMs in two regions before servers that reject most requests, and callers that come back at
 * once. It records what the rule on retries counts: requests of callers and arrivals at servers.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.pomeloladder.standins.RejectingServerStandIn
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn

/** An entry VM. VMs with equal [network] can exchange datagrams and calls, others cannot. */
internal class RetryVm(val number: Int, val region: String, val network: Int = 0)

/** How callers send: [callers] threads, each with a pause of [pauseMs] on average. */
internal class RetryLoad(val callers: Int, val pauseMs: Long, val comesBackAtOnce: Boolean)

/** How servers reject: a share of the requests, after a time. */
internal class Rejections(val share: Double, val afterMs: Long = 0)

/** A deployment. Closing it ends every process that it started. */
internal class RetryBudgetCluster(
    private val bounds: RetryBounds,
    rejections: Rejections,
    vms: List<RetryVm>,
    seedNumbers: List<Int>,
) : AutoCloseable {
    private class Server(val service: String, val zone: String, val standIn: RejectingServerStandIn)

    private val store = StoreStandIn()
    private val servers = SERVICES.flatMap { service ->
        ZONES.flatMap { zone ->
            List(SERVERS_PER_ZONE) {
                val instance = "i-$service-$zone-$it"
                val standIn = RejectingServerStandIn(instance, rejections.share, rejections.afterMs)
                Server(service, zone, standIn)
            }
        }
    }
    private val portsOfNetworks = HashMap<Int, GatewayPorts>()
    private val requestTimesMs = SERVICES.associateWith { ConcurrentLinkedQueue<Long>() }
    private val nextId = AtomicInteger()
    private lateinit var threads: List<Thread>

    @Volatile
    private var isRunning = true

    val processes by lazy {
        vms.map { vm ->
            val ports = portsOfNetworks.getOrPut(vm.network) { GatewayPorts() }
            GatewayProcess(vm.number, vm.region, ports, store.address, bounds, seedNumbers)
        }
    }

    fun start() {
        store.start()
        for (server in servers) {
            server.standIn.start()
            val key = "servers/${server.standIn.instance}"
            store.put(key, server.standIn.entry(server.service, server.zone))
        }
        store.put("op/config", config())
        processes.forEach { it.start() }
        processes.forEach { it.awaitReady() }
    }

    /** Starts callers that send requests until [stopCallers]. */
    fun startCallers(load: RetryLoad) {
        threads = List(load.callers) { index ->
            thread(name = "retry-caller-$index") { run(Random(index), load) }
        }
    }

    fun stopCallers() {
        isRunning = false
        threads.forEach { it.join() }
    }

    /** Returns the audit of each service. */
    fun audits(): Map<String, RetryBudgetAudit> = SERVICES.associateWith { service ->
        val arrivals = servers.filter { it.service == service }.flatMap { it.standIn.arrivals }
        RetryBudgetAudit(requestTimesMs.getValue(service), arrivals, bounds)
    }

    private fun run(random: Random, load: RetryLoad) {
        while (isRunning) {
            val address = processes[random.nextInt(processes.size)].callers
            val isEnded = useConnection(address) { isRunning && call(it, random, load) }
            if (!isEnded) Thread.sleep(RECONNECT_MS)
        }
    }

    /** Sends one request, and more if it is refused. Returns whether the connection is usable. */
    private fun call(connection: SoakConnection, random: Random, load: RetryLoad): Boolean {
        val route = ROUTES[random.nextInt(ROUTES.size)]
        repeat(if (load.comesBackAtOnce) ATTEMPTS_OF_CALLERS else 1) {
            requestTimesMs.getValue(route.service) += RouteServerStandIn.monotonicMs()
            val id = "${route.name}-${nextId.incrementAndGet()}"
            val answer = connection.call(id, "/${route.name}/x")
            if (!answer.isComplete || answer.headers["connection"] == "close") return false
            if (answer.status == OK) return@repeat
        }
        Thread.sleep(random.nextLong(load.pauseMs * 2))
        return true
    }

    private fun config(): String {
        val routes = ROUTES.joinToString(",") { it.json() }
        val services = SERVICES.joinToString(",") {
            """{"Name":"$it","HealthPath":"/health","MaxConns":200}"""
        }
        return """{"Version":1,"Routes":[$routes],"Services":[$services],""" +
            """"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,""" +
            """"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
    }

    override fun close() {
        isRunning = false
        processes.forEach { it.close() }
        servers.forEach { it.standIn.close() }
        store.close()
    }

    private class TestRoute(
        val name: String,
        val kind: String,
        val service: String,
        val home: String? = null,
    ) {
        fun json(): String {
            val homes = if (home == null) "" else ""","HomeRegions":["$home"]"""
            return """{"Name":"$name","Host":"shop.example","Prefix":"/$name/","Kind":"$kind",""" +
                """"TimeoutMs":$TIMEOUT_MS,"SloMs":500,"GapAimMs":500,"Priority":1,""" +
                """"Service":"$service","Attempts":$ATTEMPTS,""" +
                """"CanResume":${kind == "streaming"}$homes}"""
        }
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 4_000
        const val ATTEMPTS = 6
        const val ATTEMPTS_OF_CALLERS = 3
        const val SERVERS_PER_ZONE = 4
        const val RECONNECT_MS = 20L
        val SERVICES = listOf("shop", "model")
        val ZONES = listOf("north-a", "south-a")
        val ROUTES = listOf(
            TestRoute("look", "idempotent", "shop"),
            TestRoute("look-north", "idempotent", "shop", "north"),
            TestRoute("look-south", "idempotent", "shop", "south"),
            TestRoute("stream", "streaming", "model"),
            TestRoute("stream-north", "streaming", "model", "north"),
            TestRoute("stream-south", "streaming", "model", "south"),
        )
    }
}
