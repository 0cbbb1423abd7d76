/*
 * Runs the packaged gateway as real processes before servers of two software versions, whose streams
 * differ in their text, with callers that take broken streams up at any process.
 */
package org.pomeloladder.bench

import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.ServerMode
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

class GatewayVersionsTest {
    /** What a caller holds of a stream, and how often it took the stream up and got more of it. */
    private class HeldStream(val text: String, val takeUps: Int, val continuations: Int) {
        val isJoined: Boolean
            get() = text.lines().filter { it.startsWith("data:") }.map { MARK in it }.toSet().size >
                1
    }

    private val store = StoreStandIn()
    private val servers = List(SERVERS) { index ->
        val version = if (index % 2 == 0) RouteServerStandIn.FIRST_VERSION else OTHER_VERSION
        RouteServerStandIn("i-$index", processingMs = 5, version)
    }
    private val ports = GatewayPorts()
    private val gateways by lazy {
        List(VMS) { GatewayProcess(it + 2, "north", ports, store.address) }
    }
    private val streams = ConcurrentLinkedQueue<HeldStream>()
    private val nextId = AtomicInteger()

    @Volatile
    private var isRunning = true
    private var callers = emptyList<Thread>()

    @BeforeEach
    fun start() {
        store.start()
        servers.forEach { it.start() }
        store.put(
            "op/config",
            """{"Version":1,"Routes":[{"Name":"tell","Host":"shop.example","Prefix":"/stream/",""" +
                """"Kind":"streaming","CanResume":true,"TimeoutMs":3000,"SloMs":500,""" +
                """"Priority":1,"Service":"shop","Attempts":2}],"Services":[{"Name":"shop",""" +
                """"HealthPath":"/health","MaxConns":90,"ColdPerS":20}],""" +
                """"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,""" +
                """"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
        )
        servers.forEach { store.put("servers/${it.instance}", it.entry("shop", "north-a")) }
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        callers = List(CALLERS) { index -> thread { call(Random(index)) } }
        eventually("streams are answered") { streams.size > CALLERS }
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
        while (isRunning) streams += readStream(random)
    }

    /** Asks for a stream, and takes it up after each break until it is whole or [MAX_TAKE_UPS]. */
    private fun readStream(random: Random): HeldStream {
        val origin = "tell-${nextId.incrementAndGet()}"
        var text = ask(random, origin, "")
        var takeUps = 0
        var continuations = 0
        while (isRunning && isBroken(text) && takeUps < MAX_TAKE_UPS) {
            Thread.sleep(RETURN_MS)
            val last = text.lines().last { it.startsWith("id: ") }.removePrefix("id: ")
            val headers = "Resumes: $origin\r\nLast-Event-Id: $last\r\n"
            val rest = ask(random, "tell-${nextId.incrementAndGet()}", headers)
            takeUps++
            if (rest.isNotEmpty()) continuations++
            text += rest
        }
        return HeldStream(text, takeUps, continuations)
    }

    /** Returns the whole events of the answer, none if there is no answer. */
    private fun ask(random: Random, id: String, headers: String): String = try {
        val address = gateways[random.nextInt(VMS)].callers
        val answer = SoakConnection(address.host, address.port).use { connection ->
            connection.call(id, "/stream/x", headers)
        }
        if (answer.status == OK) answer.body.substringBeforeLast("\n\n", "") + END else ""
    } catch (_: IOException) {
        Thread.sleep(RETURN_MS)
        ""
    }.let { if (it == END) "" else it }

    /** Whether the caller has some events of a stream, but not the last one. */
    private fun isBroken(text: String) =
        text.isNotEmpty() && "id: ${RouteServerStandIn.STREAM_EVENTS}\n" !in text

    // Guards against a caller that gets the rest of its stream from a server of another version, at
    // the process that began it or, when that was killed, at another one.
    @Test
    fun `no stream holds events of two versions when servers break off and processes die`() {
        repeat(ROUNDS) { round ->
            val broken = servers[round % SERVERS]
            broken.mode = ServerMode.BREAKING
            Thread.sleep(BREAK_MS)
            broken.mode = ServerMode.SOUND
            val killed = gateways[round % VMS]
            killed.kill()
            Thread.sleep(BREAK_MS)
            killed.start()
            killed.awaitReady()
        }
        val all = streams.toList()

        expectThat(all.filter { it.isJoined }.map { it.text }).isEmpty()
        expectThat(all.sumOf { it.takeUps }).isGreaterThan(20)
        expectThat(all.sumOf { it.continuations } * 2).isGreaterThan(all.sumOf { it.takeUps })
    }

    private companion object {
        const val OTHER_VERSION = "v2"
        const val MARK = " at $OTHER_VERSION"
        const val END = "\n\n"
        const val SERVERS = 4
        const val VMS = 3
        const val CALLERS = 12
        const val ROUNDS = 6
        const val BREAK_MS = 500L
        const val RETURN_MS = 40L
        const val MAX_TAKE_UPS = 4
        const val OK = 200
    }
}
