/*
 * The processes, stand-ins and proxies of one soak run: entry VMs in two regions, each with a proxy before the store, and
 * backend servers, each behind a proxy.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentHashMap
import org.pomeloladder.standins.FaultProxy
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn

/** One backend server and the proxy under whose address it is published. */
internal class SoakServer(val service: String, val zone: String, number: Int) {
    val standIn = RouteServerStandIn("i-$service-$number")
    val proxy by lazy { FaultProxy(standIn.address) }
    val key = "servers/${standIn.instance}"

    fun entry(state: String = "ready") = standIn.entry(service, zone, state, proxy.address)
}

/** One entry VM and the proxy through which it reads the store. */
internal class SoakVm(val process: GatewayProcess, val storeProxy: FaultProxy) {
    /** Set while the soak itself has ended the process. */
    @Volatile
    var isDown = false
}

/** A running deployment. Closing it ends every process that it started. */
internal class SoakCluster : AutoCloseable {
    val store = StoreStandIn()
    val servers = listOf(
        SoakServer("shop", "north-a", 1),
        SoakServer("shop", "north-a", 2),
        SoakServer("shop", "south-a", 3),
        SoakServer("model", "north-a", 1),
        SoakServer("model", "south-a", 2),
    )
    lateinit var vms: List<SoakVm>
        private set
    private val ports = GatewayPorts()
    private var version = 0

    /** What went wrong while the run went on, each named once. */
    val violations: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun start() {
        store.start()
        for (server in servers) {
            server.standIn.start()
            server.proxy.start()
            store.put(server.key, server.entry())
        }
        publishConfig(FIRST_TIMEOUT_MS)
        vms = List(VMS) { index ->
            val proxy = FaultProxy(store.address).apply { start() }
            val region = if (index < VMS_NORTH) "north" else "south"
            SoakVm(GatewayProcess(index + FIRST_HOST, region, ports, proxy.address), proxy)
        }
        vms.forEach { it.process.start() }
        vms.forEach { it.process.awaitReady() }
    }

    /** Publishes the routes with another time limit, under the next version. */
    fun publishConfig(timeoutMs: Int) {
        version++
        val routes = listOf(
            route("pay", "non_idempotent", timeoutMs, "shop", attempts = 1),
            route("look", "idempotent", timeoutMs, "shop", attempts = 2),
            route("stream", "streaming", timeoutMs * 2, "model", attempts = 2, "true"),
        )
        val services = listOf("shop", "model").joinToString(",") {
            """{"Name":"$it","HealthPath":"/health","MaxConns":90}"""
        }
        store.put(
            "op/config",
            """{"Version":$version,"Routes":[${routes.joinToString(",")}],""" +
                """"Services":[$services],"Limits":{"MaxHeaderBytes":16384,""" +
                """"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
        )
    }

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

    /** How often the request [id] was run by any server. */
    fun runsOf(id: String): Int = servers.sumOf { it.standIn.runs[id]?.get() ?: 0 }

    /** The logs of all VMs, for a failed run. */
    fun logs(): Map<String, String> =
        vms.associate { it.process.callers.host to it.process.log.readText() }

    override fun close() {
        if (::vms.isInitialized) {
            vms.forEach {
                it.process.close()
                it.storeProxy.close()
            }
        }
        servers.forEach {
            it.proxy.close()
            it.standIn.close()
        }
        store.close()
    }

    companion object {
        private const val VMS = 5
        private const val VMS_NORTH = 3

        /** 127.0.0.1 carries the stand-ins. */
        private const val FIRST_HOST = 2
        const val FIRST_TIMEOUT_MS = 3_000
    }
}
