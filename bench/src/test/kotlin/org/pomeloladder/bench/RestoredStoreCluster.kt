/*
 * Gateways in two regions before a store that comes back from a copy, and the writes that it loses:
 * versions of the configuration, servers that leave and an evacuation. Each version has a route of
 * its own beside one that all versions have, so that a caller can tell which version is in force.
 */
package org.pomeloladder.bench

import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.pomeloladder.configuration.Address
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreCopy
import org.pomeloladder.standins.StoreStandIn

/** A status that a caller got from the gateway at [gateway] on the route of [path]. */
internal class RestoreAnswer(
    val gateway: Address,
    val path: String,
    val status: Int,
    val sentAtMs: Long,
)

/** A deployment. Closing it ends every process that it started. */
internal class RestoredStoreCluster : AutoCloseable {
    val store = StoreStandIn()
    val staying = server("i-staying")
    val draining = server("i-draining")
    val removed = server("i-removed")

    /** Serves until a test publishes that it drains. */
    val later = server("i-later")

    /** The only server of the zone that is evacuated. */
    val evacuated = server("i-evacuated")
    private val servers = listOf(staying, draining, removed, later, evacuated)

    private val ports = GatewayPorts()
    val gateways by lazy { listOf(gateway(2, "north"), gateway(3, "north"), gateway(4, "south")) }

    /** Not started with the others. */
    val newcomer by lazy { gateway(5, "south") }

    /** What the callers of [startCalls] got. */
    val answers = ConcurrentLinkedQueue<RestoreAnswer>()

    @Volatile
    private var isRunning = true
    private val callers = ArrayList<Thread>()
    private val watchers = Executors.newCachedThreadPool()
    private val nextId = AtomicInteger()

    /** Starts all but [newcomer], with version 1 in force, and calls on the common route. */
    fun start() {
        store.start()
        servers.forEach { it.start() }
        publish(1)
        servers.forEach { store.put("servers/${it.instance}", entry(it)) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        gateways.forEach { startCalls(it, COMMON_PATH) }
        eventually("every server gets calls") { servers.all { it.arrivals.isNotEmpty() } }
    }

    override fun close() {
        isRunning = false
        callers.forEach { it.join() }
        watchers.shutdownNow()
        (gateways + newcomer).forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
    }

    /** Calls [path] at [gateway] until the end. */
    fun startCalls(gateway: GatewayProcess, path: String) {
        callers += thread {
            while (isRunning) {
                useConnection(gateway.callers) { connection ->
                    val sentAtMs = RouteServerStandIn.monotonicMs()
                    val answer = connection.call("call-${nextId.incrementAndGet()}", path)
                    answers += RestoreAnswer(gateway.callers, path, answer.status, sentAtMs)
                    Thread.sleep(PAUSE_MS)
                    isRunning && answer.isComplete && answer.headers["connection"] != "close"
                }
                Thread.sleep(PAUSE_MS)
            }
        }
    }

    fun publish(version: Int) {
        val routes = listOf(route("common", COMMON_PATH), route("own", ownPath(version)))
        store.put(
            "op/config",
            """{"Version":$version,"Routes":[${routes.joinToString(",")}],""" +
                """"Services":[{"Name":"shop","HealthPath":"/health","MaxConns":90}]}""",
        )
    }

    /** Writes that [server] drains. */
    fun drain(server: RouteServerStandIn) =
        store.put("servers/${server.instance}", entry(server, "draining"))

    /** Writes the entry of [staying] again, [count] times, each with a revision of its own. */
    fun renew(count: Int) =
        repeat(count) { store.put("servers/${staying.instance}", entry(staying)) }

    fun evacuate() = store.put(EVACUATION, "")

    fun endEvacuation() = store.remove(EVACUATION)

    /** Writes what leaves: one server drains, one is removed, and a zone is evacuated. */
    fun leave() {
        drain(draining)
        store.remove("servers/${removed.instance}")
        evacuate()
    }

    /**
     * Publishes [versions] and what leaves, and waits until all gateways follow. Returns the copy of
     * the store from before.
     */
    fun change(versions: IntRange): StoreCopy {
        val copy = store.copy()
        versions.forEach(::publish)
        leave()
        Thread.sleep(FOLLOWED_MS)
        gateways.forEach { gateway ->
            eventually("${gateway.callers} has version ${versions.last}") {
                isInForce(gateway, versions.last)
            }
        }
        return copy
    }

    /**
     * Refuses all calls to the store for [awayMs], and then goes back to [copy]. Executes
     * [beforeReturn] before the gateways can read again. Returns the time of the return.
     */
    fun restore(copy: StoreCopy, awayMs: Long = AWAY_MS, beforeReturn: () -> Unit = {}): Long {
        store.isRefusing = true
        Thread.sleep(awayMs)
        store.restore(copy)
        beforeReturn()
        store.isRefusing = false
        return RouteServerStandIn.monotonicMs()
    }

    /** Writes [version] and what leaves again, some time after a restore. */
    fun writeAgain(version: Int) {
        Thread.sleep(UNTIL_WRITTEN_AGAIN_MS)
        publish(version)
        leave()
    }

    /** Returns when calls reached [server] from [fromMs] on, in milliseconds after that. */
    fun callTimesMs(server: RouteServerStandIn, fromMs: Long): List<Long> =
        server.arrivals.map { it.atMs - fromMs }.filter { it >= 0 }

    /** Returns the calls from [fromMs] on to the servers that [leave] concerns, as text. */
    fun callsOfThoseThatLeft(fromMs: Long): List<String> =
        listOf(draining, removed, evacuated).flatMap { server ->
            callTimesMs(server, fromMs).map { "${server.instance} after $it ms" }
        }

    /** Publishes [version] and returns the time until it is in force, for each of [vms]. */
    fun delaysMsOf(version: Int, vms: List<GatewayProcess> = gateways): List<Long> {
        publish(version)
        return delaysMs(version, vms)
    }

    /** Returns the time from now until [version] is in force, for each of [vms]. */
    fun delaysMs(version: Int, vms: List<GatewayProcess> = gateways): List<Long> {
        val startedNanos = System.nanoTime()
        return vms.map { vm ->
            watchers.submit(
                Callable {
                    eventually("${vm.callers} has $version") { isInForce(vm, version) }
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
                },
            )
        }.map { it.get() }
    }

    private fun isInForce(gateway: GatewayProcess, version: Int): Boolean {
        var status = NOT_FOUND
        useConnection(gateway.callers) { connection ->
            status = connection.call("look-${nextId.incrementAndGet()}", ownPath(version)).status
            false
        }
        return status != NOT_FOUND
    }

    private fun server(instance: String) = RouteServerStandIn(instance, PROCESSING_MS)

    private fun gateway(number: Int, region: String) =
        GatewayProcess(number, region, ports, store.address)

    private fun entry(server: RouteServerStandIn, state: String = "ready") =
        server.entry("shop", if (server === evacuated) "south-a" else "north-a", state)

    private fun route(name: String, path: String) =
        """{"Name":"$name","Host":"shop.example","Prefix":"${path.removeSuffix("x")}",""" +
            """"Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Priority":1,""" +
            """"Service":"shop","Attempts":2}"""

    companion object {
        const val COMMON_PATH = "/common/x"

        /** A path that only [version] routes. */
        fun ownPath(version: Int) = "/v$version/x"

        /** A watch without a change ends sooner than this, so that none waits at the return. */
        const val LONG_AWAY_MS = 1_600L
        private const val EVACUATION = "op/evacuate/south-a"
        private const val NOT_FOUND = 404
        private const val PROCESSING_MS = 5L
        private const val PAUSE_MS = 20L
        private const val AWAY_MS = 1_000L
        private const val UNTIL_WRITTEN_AGAIN_MS = 1_500L

        /** With the time away more than [GatewayRestoredStoreTest.EVACUATE_MS]. */
        private const val FOLLOWED_MS = 4_200L
    }
}
