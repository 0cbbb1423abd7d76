/*
 * Runs real gateway processes before backend servers that answer twice, late, cut or without an id,
 * and end their first answers badly. Every answer that a caller gets must be one that a server made
 * for that request.
 *
 * `-Dstutter.forms=CUT_HEAD` limits the forms of second answers, `-Dstutter.seeds=5,9` sets the
 * seeds, `-Dstutter.ms=6000` their duration.
 */
package org.pomeloladder.bench

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.pomeloladder.standins.FirstAnswer
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn
import org.pomeloladder.standins.StutterForm
import org.pomeloladder.standins.StutteringServerStandIn
import org.pomeloladder.standins.stutterPlan
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** The processes and servers of one run: the calls of south to the shop are relayed to north. */
internal class StutterCluster(private val seed: Long, private val forms: List<StutterForm>) :
    AutoCloseable {
    private val store = StoreStandIn()
    private val ports = GatewayPorts()
    private val shop = List(2) { server("i-shop-$it", it) }
    private val model = List(2) { server("i-model-$it", it + 2) }
    private val gateways by lazy {
        listOf("north", "north", "south").mapIndexed { index, region ->
            GatewayProcess(index + 2, region, ports, store.address)
        }
    }

    val servers = shop + model
    val callerAddresses by lazy { gateways.map { it.callers } }

    private fun server(instance: String, number: Int) = StutteringServerStandIn(
        instance,
        stutterPlan {
            seed = this@StutterCluster.seed * MAX_SERVERS + number
            forms = this@StutterCluster.forms
            stutterShare = 0.25
            badEndShare = 0.05
            failureShare = 0.2
            rejectionShare = 0.1
        },
    )

    fun start() {
        store.start()
        servers.forEach { it.start() }
        store.put("op/config", config())
        shop.forEach { store.put("servers/${it.instance}", it.entry("shop", "north-a")) }
        val zones = listOf("north-a", "south-a")
        model.zip(zones) { server, zone ->
            store.put("servers/${server.instance}", server.entry("model", zone))
        }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
    }

    private fun config() = listOf(
        route("pay", "non_idempotent", "shop"),
        route("look", "idempotent", "shop"),
        route("stream", "streaming", "model"),
    ).joinToString(
        ",",
        """{"Version":1,"Routes":[""",
        """],"Services":[{"Name":"shop","HealthPath":"/health","MaxConns":90},""" +
            """{"Name":"model","HealthPath":"/health","MaxConns":90}],""" +
            """"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,""" +
            """"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
    )

    private fun route(name: String, kind: String, service: String) =
        """{"Name":"$name","Host":"shop.example","Prefix":"/$name/","Kind":"$kind",""" +
            """"TimeoutMs":2000,"SloMs":500,"GapAimMs":500,"Priority":1,"Service":"$service",""" +
            """"Attempts":${if (name == "pay") 1 else 2},"CanResume":${name == "stream"}}"""

    /** All answers that the servers made for the request [id]. */
    fun firstAnswers(id: String): List<FirstAnswer> =
        servers.flatMap { it.firstAnswers[id].orEmpty() }

    fun runsOf(id: String): Int = servers.sumOf { it.runs[id]?.get() ?: 0 }

    override fun close() {
        gateways.forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
    }

    private companion object {
        const val MAX_SERVERS = 16L
    }
}

class GatewayStutterTest {
    private class Received(val id: String, val answer: SoakAnswer)

    private val received = ConcurrentLinkedQueue<Received>()

    /** Descriptions of bytes that are no response. */
    private val malformed = ConcurrentLinkedQueue<String>()
    private val nextId = AtomicInteger()

    // Guards against answers of other requests, parts of answers and joined answers (MIXED, ORDER).
    @TestFactory
    fun `callers of servers that answer twice get only whole answers of their own`() =
        seeds().map { seed -> DynamicTest.dynamicTest("seed $seed") { play(seed) } }

    private fun seeds() =
        System.getProperty("stutter.seeds")?.split(',')?.map { it.toLong() } ?: listOf(1L)

    private fun forms() = System.getProperty("stutter.forms")?.split(',')
        ?.map { StutterForm.valueOf(it) } ?: StutterForm.entries

    private fun play(seed: Long) {
        received.clear()
        malformed.clear()
        val durationMs = System.getProperty("stutter.ms")?.toLong() ?: CI_DURATION_MS
        StutterCluster(seed, forms()).use { cluster ->
            cluster.start()
            val untilNanos = System.nanoTime() + durationMs * NANOS_PER_MS
            val callers = List(CALLERS) { index ->
                thread { callUntil(untilNanos, cluster, index, Random(seed * CALLERS + index)) }
            }
            callers.forEach { it.join() }
            val wrong = received.mapNotNull { violation(cluster, it) } + malformed
            val successCount = received.count { it.answer.status == OK && it.answer.isComplete }
            println(
                "seed $seed: ${received.size} answers, $successCount whole successes, " +
                    "${cluster.servers.sumOf { it.stutterCount.get() }} second answers, " +
                    "${wrong.size} wrong answers",
            )

            expectThat(wrong).isEmpty()
            expectThat(successCount).isGreaterThan(0)
            expectThat(cluster.servers.sumOf { it.stutterCount.get() }).isGreaterThan(0)
        }
    }

    private fun callUntil(untilNanos: Long, cluster: StutterCluster, index: Int, random: Random) {
        val address = cluster.callerAddresses[index % cluster.callerAddresses.size]
        while (System.nanoTime() < untilNanos) {
            try {
                val isEnded = useConnection(address) {
                    System.nanoTime() < untilNanos && call(it, random)
                }
                if (!isEnded) Thread.sleep(RECONNECT_MS)
            } catch (e: MalformedResponse) {
                malformed += checkNotNull(e.message)
            }
        }
    }

    /** Sends one request, and once more with the same id if it was refused. */
    private fun call(connection: SoakConnection, random: Random): Boolean {
        val route = ROUTES.random(random)
        val id = "$route-${nextId.incrementAndGet()}"
        repeat(MAX_ATTEMPTS) {
            val answer = connection.call(id, "/$route/x")
            received += Received(id, answer)
            val isKept = answer.isComplete && answer.headers["connection"] != "close"
            if (!isKept) return false
            if (answer.status !in NOT_RUN_STATUSES) return true
        }
        return true
    }

    /** Describes what is wrong with [got], or returns null. */
    private fun violation(cluster: StutterCluster, got: Received): String? {
        val problem = problemOfRuns(cluster, got) ?: problemOfAnswer(cluster, got) ?: return null
        val answer = got.answer
        return "${got.id}: $problem: ${answer.status} ${answer.headers} ${answer.body}; made: " +
            cluster.firstAnswers(got.id).joinToString { "${it.instance} ${it.status}" }
    }

    private fun problemOfRuns(cluster: StutterCluster, got: Received): String? {
        if (!got.id.startsWith("pay")) return null
        val runs = cluster.runsOf(got.id)
        val isRefused = got.answer.status in NOT_RUN_STATUSES && isLast(got)
        return when {
            runs > 1 -> "ran $runs times"
            runs > 0 && isRefused -> "refused, but it ran"
            else -> null
        }
    }

    private fun problemOfAnswer(cluster: StutterCluster, got: Received): String? {
        val answer = got.answer
        val answeredId = answer.headers["x-pomeloladder-request-id"]
        if (answeredId != null && answeredId != got.id) return "the id of another request"
        if (!answer.isComplete) return null
        val isSuccess = answer.status in SUCCESS_STATUSES
        val stamp = answer.headers["x-pomeloladder-server-stamp"]
            ?: return if (isSuccess) "a success without a stamp" else null
        val made = cluster.firstAnswers(got.id).filter { "stamp-${it.instance}" == stamp }
        return when {
            made.none { it.status == answer.status } -> "an answer that none made"
            isSuccess && made.none { answer.body == wholeBody(got.id, it.body) } -> "another body"
            else -> null
        }
    }

    private fun wholeBody(id: String, body: String): String {
        if (!id.startsWith("stream")) return body
        return (1..StutteringServerStandIn.STREAM_EVENTS)
            .joinToString("") { RouteServerStandIn.event(it, id) }
    }

    private fun isLast(got: Received) = received.last { it.id == got.id } === got

    private companion object {
        const val CALLERS = 24
        const val CI_DURATION_MS = 6_000L
        const val NANOS_PER_MS = 1_000_000L
        const val RECONNECT_MS = 20L
        const val MAX_ATTEMPTS = 3
        const val OK = 200
        val SUCCESS_STATUSES = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val ROUTES = listOf("pay", "look", "stream")
    }
}
