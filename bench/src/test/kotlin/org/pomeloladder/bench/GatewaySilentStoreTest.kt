/*
 * Runs the packaged gateway as real processes before a store that falls silent for a moment, and
 * measures how long callers are answered by a configuration that has been replaced.
 */
package org.pomeloladder.bench

import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan

class GatewaySilentStoreTest {
    private val store = StoreStandIn()
    private val server = RouteServerStandIn("i-0")
    private val ports = GatewayPorts()
    private val gateways by lazy {
        listOf(
            GatewayProcess(2, "north", ports, store.address),
            GatewayProcess(3, "north", ports, store.address),
            GatewayProcess(4, "south", ports, store.address),
        )
    }
    private val watchers = Executors.newFixedThreadPool(3)

    @BeforeEach
    fun start() {
        store.start()
        server.start()
        publish(1)
        store.put("servers/${server.instance}", server.entry("shop", "north-a"))
        gateways.forEach { it.start() }
        gateways.forEach { it.awaitReady() }
        gateways.forEach { gateway ->
            eventually("${gateway.callers} has version 1") { isInForce(gateway, 1) }
        }
    }

    @AfterEach
    fun stop() {
        watchers.shutdownNow()
        gateways.forEach { it.close() }
        server.close()
        store.close()
    }

    /** Publishes a configuration whose only route is `/v[version]/`. */
    private fun publish(version: Int) = store.put(
        "op/config",
        """{"Version":$version,"Routes":[{"Name":"r","Host":"shop.example",""" +
            """"Prefix":"/v$version/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,""" +
            """"Priority":1,"Service":"shop","Attempts":2}],""" +
            """"Services":[{"Name":"shop","HealthPath":"/health","MaxConns":90}]}""",
    )

    private fun isInForce(gateway: GatewayProcess, version: Int): Boolean = try {
        Socket(gateway.callers.host, gateway.callers.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            val head = "GET /v$version/x HTTP/1.1\r\nHost: shop.example\r\n" +
                "X-Pomeloladder-Request-Id: v$version\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val status = socket.getInputStream().bufferedReader().readLine().orEmpty().split(' ')
            status.getOrNull(1) != "404"
        }
    } catch (_: IOException) {
        false
    }

    /** Publishes [version] and returns the time until it is in force, for each VM. */
    private fun delaysMsOf(version: Int): List<Long> {
        publish(version)
        val acknowledgedNanos = System.nanoTime()
        return gateways.map { gateway ->
            watchers.submit(
                Callable {
                    eventually("${gateway.callers} has $version") { isInForce(gateway, version) }
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acknowledgedNanos)
                },
            )
        }.map { it.get() }
    }

    // Guards against callers that are refused by a replaced configuration, because all VMs began a
    // watch within the silence and none noticed in time that nothing would answer it.
    @Test
    fun `a configuration after a short silence of the store is in force within the bound`() {
        Thread.sleep(SETTLE_MS)
        publish(2)
        Thread.sleep(BEFORE_SILENCE_MS)
        store.isSilent = true
        Thread.sleep(SILENCE_MS)
        store.isSilent = false

        expectThat(delaysMsOf(3)).all { isLessThan(CONFIG_MS) }
    }

    private companion object {
        const val CONFIG_MS = 4_000L
        const val READ_TIMEOUT_MS = 5_000

        /** The VMs are waiting for the answer to a watch by then. */
        const val SETTLE_MS = 1_500L
        const val BEFORE_SILENCE_MS = 250L
        const val SILENCE_MS = 800L
    }
}
