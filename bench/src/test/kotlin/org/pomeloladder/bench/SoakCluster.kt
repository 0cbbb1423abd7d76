/*
 * The deployment of one soak run: entry VMs in two regions, each with a proxy to the store, and
 * backend servers, each behind a proxy. Some of the servers stutter.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import org.pomeloladder.standins.ColdArrivals
import org.pomeloladder.standins.FaultProxy
import org.pomeloladder.standins.RouteServer
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn
import org.pomeloladder.standins.StutteringServerStandIn
import org.pomeloladder.standins.stutterPlan

/** A backend server and the proxy whose address is published for it. */
internal class SoakServer<out S : RouteServer>(
    val service: String,
    private val zone: String,
    val standIn: S,
) {
    val proxy by lazy { FaultProxy(standIn.address) }
    val key = "servers/${standIn.instance}"

    /** True while a series of crashes and starts is under way. */
    val isRestarting = AtomicBoolean()

    @Volatile
    var isDown = false

    /** What the server says of itself in the store; null while it has no entry. */
    @Volatile
    var state: String? = "ready"

    private val heldTimesMs = ConcurrentLinkedQueue<LongRange>()

    fun entry() = state?.let { standIn.entry(service, zone, it, proxy.address) }

    /** Excuses arrivals for [forMs] and a second, since the proxy may hold and release requests. */
    fun expectHeldRequests(forMs: Long) {
        val nowMs = RouteServerStandIn.monotonicMs()
        heldTimesMs += nowMs..nowMs + forMs + RELEASE_MS
    }

    /** Whether an arrival at [atMs] may have been sent before its second. */
    fun isHeldUp(atMs: Long) = heldTimesMs.any { atMs in it }

    private companion object {
        const val RELEASE_MS = 1_000L
    }
}

internal fun SoakServer<RouteServerStandIn>.crash() {
    isDown = true
    standIn.crash()
}

internal fun SoakServer<RouteServerStandIn>.startAgain(coldMs: Long) {
    standIn.startAgain(coldMs)
    isDown = false
}

/** The most requests that reached the server in one second of each of its cold lives. */
internal fun SoakServer<RouteServerStandIn>.worstColdSeconds(): List<Int> =
    standIn.coldArrivals.map { life ->
        val timesMs = life.arrivals.map { it.atMs }
        ColdArrivals.worstSecond(timesMs.filterNot { isHeldUp(it) })
    }

/** An entry VM and the proxy through which it reads the store. */
internal class SoakVm(val process: GatewayProcess, val storeProxy: FaultProxy) {
    /** True while the process is down because the soak stopped it. */
    @Volatile
    var isDown = false
}

/** A deployment. Closing it ends every process that it started. */
internal class SoakCluster(seed: Long) : AutoCloseable {
    val store = StoreStandIn()
    val servers = listOf(
        server("shop", "north-a", 1),
        server("shop", "north-a", 2),
        server("shop", "south-a", 3),
        server("model", "north-a", 1),
        server("model", "south-a", 2),
    )

    /** Servers that send second responses and end responses badly, as drawn from the seed. */
    val stutterers = listOf(
        stutterer("shop", "north-a", 1, seed),
        stutterer("shop", "south-a", 2, seed),
        stutterer("model", "north-a", 3, seed),
    )
    val allServers: List<SoakServer<RouteServer>> = servers + stutterers
    lateinit var vms: List<SoakVm>
        private set
    private val ports = GatewayPorts()
    var version = 0
        private set
    private var config = ""

    /** The times during which servers named a limit. */
    val limitPeriods = ConcurrentLinkedQueue<LimitPeriod>()

    /** Distinct descriptions of the violations seen during the run. */
    val violations: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun start() {
        store.start()
        for (server in allServers) {
            server.standIn.start()
            server.proxy.start()
            report(server)
        }
        publishConfig(INITIAL_TIMEOUT_MS)
        vms = List(VM_COUNT) { index ->
            val proxy = FaultProxy(store.address).apply { start() }
            val region = if (index * REGIONS < VM_COUNT) "north" else "south"
            val number = index + FIRST_HOST_NUMBER
            SoakVm(GatewayProcess(number, region, ports, proxy.address, RETRY_BOUNDS), proxy)
        }
        vms.forEach { it.process.start() }
        vms.forEach { it.process.awaitReady() }
    }

    /** Writes the entry of [server] in [state] as the server does, unless it is down. */
    fun report(server: SoakServer<*>, state: String? = server.state) = synchronized(server) {
        server.state = state
        val entry = server.entry()
        when {
            entry == null -> store.remove(server.key)
            !server.isDown -> store.put(server.key, entry)
        }
    }

    /** Publishes the newest configuration once more, as it was. */
    @Synchronized
    fun publishConfigAgain() = store.put("op/config", config)

    /** Publishes the routes with [timeoutMs] as the next configuration version. */
    @Synchronized
    fun publishConfig(timeoutMs: Int) {
        version++
        val routes = listOf(
            route("pay", "non_idempotent", timeoutMs, "shop", attempts = 1),
            route("look", "idempotent", timeoutMs, "shop", attempts = 2),
            route("stream", "streaming", timeoutMs * 2, "model", attempts = 2, "true"),
            route(probeRoute(version), "idempotent", timeoutMs, "shop", attempts = 2),
        )
        val services = listOf("shop", "model").joinToString(",") {
            """{"Name":"$it","HealthPath":"/health","MaxConns":90,"ColdPerS":$COLD_PER_S}"""
        }
        config =
            """{"Version":$version,"Routes":[${routes.joinToString(",")}],""" +
            """"Services":[$services],"Limits":{"MaxHeaderBytes":16384,""" +
            """"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
        publishConfigAgain()
    }

    /** The route that only the configuration [version] has. */
    fun probeRoute(version: Int) = "v$version"

    private fun route(
        name: String,
        kind: String,
        timeoutMs: Int,
        service: String,
        attempts: Int,
        canResume: String = "false",
    ) = """{"Name":"$name","Host":"shop.example","Prefix":"/$name/","Kind":"$kind",""" +
        """"TimeoutMs":$timeoutMs,"SloMs":500,"GapAimMs":500,"Priority":1,""" +
        """"Service":"$service","Attempts":$attempts,"CanResume":$canResume}"""

    /** The service of each route. */
    val serviceOfRoute = mapOf("pay" to "shop", "look" to "shop", "stream" to "model")

    /** Returns how often the backend servers ran the request [id] in total. */
    fun runsOf(id: String): Int = allServers.sumOf { it.standIn.runs[id]?.get() ?: 0 }

    /** Returns the log of each VM by host, for the report of a failed run. */
    fun logs(): Map<String, String> =
        vms.associate { it.process.callers.host to it.process.log.readText() }

    override fun close() {
        if (::vms.isInitialized) {
            vms.forEach {
                it.process.close()
                it.storeProxy.close()
            }
        }
        allServers.forEach {
            it.proxy.close()
            it.standIn.close()
        }
        store.close()
    }

    private fun server(service: String, zone: String, number: Int) =
        SoakServer(service, zone, RouteServerStandIn("i-$service-$number"))

    private fun stutterer(service: String, zone: String, number: Int, seed: Long) = SoakServer(
        service,
        zone,
        StutteringServerStandIn(
            "i-stutter-$number",
            stutterPlan {
                val random = Random(seed xor number.toLong())
                this.seed = random.nextLong()
                stutterShare = random.nextDouble(MAX_STUTTER_SHARE)
                badEndShare = random.nextDouble(MAX_BAD_SHARE)
                failureShare = random.nextDouble(MAX_BAD_SHARE)
                rejectionShare = random.nextDouble(MAX_BAD_SHARE)
            },
            streamEvents = RouteServerStandIn.STREAM_EVENTS,
        ),
    )

    companion object {
        private const val MAX_STUTTER_SHARE = 0.5
        private const val MAX_BAD_SHARE = 0.1
        private val VM_COUNT = Integer.getInteger("soak.vms", 5)
        private const val REGIONS = 2

        /** The stand-ins listen on 127.0.0.1. */
        private const val FIRST_HOST_NUMBER = 2

        /** A smaller slack than the platform's, since the soak has fewer requests. */
        val RETRY_BOUNDS = RetryBounds(slack = 20.0)

        /** The platform's rule: what a cold server takes a second, half as much again, and three. */
        const val COLD_PER_S = 4
        const val COLD_ALLOWED = 9
        const val INITIAL_TIMEOUT_MS = 3_000
    }
}
