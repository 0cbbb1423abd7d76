/*
 * Startup of the packaged gateway under signals and with ports that are already in use.
 */
package org.pomeloladder.bench

import java.net.InetAddress
import java.net.ServerSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.pomeloladder.standins.StoreStandIn
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class GatewayStartTest {
    private val store = StoreStandIn()
    private val ports = GatewayPorts()
    private val gateway by lazy { GatewayProcess(HOST, "north", ports, store.address) }

    @BeforeEach
    fun start() {
        store.start()
        store.put(
            "op/config",
            """{"Version":1,"Routes":[],"Services":[],"Limits":{"MaxHeaderBytes":16384,""" +
                """"MaxBodyBytes":1000000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}""",
        )
    }

    @AfterEach
    fun stop() {
        gateway.close()
        store.close()
    }

    // Guards against SIGHUP ending a process that is still starting up.
    @Test
    fun `SIGHUP during startup leaves the process running and reloads the settings`() {
        val release = gateway.startWithBlockedSettings()
        repeat(SIGNALS) { gateway.signal("HUP") }
        release()

        gateway.awaitReady()
        eventually("the settings are reloaded") {
            "settings read again" in gateway.log.readText()
        }
    }

    // Guards against a process that opens its ports although SIGTERM arrived during startup.
    @Test
    fun `SIGTERM during startup exits with code 0 like a graceful shutdown`() {
        val release = gateway.startWithBlockedSettings()
        gateway.signal("HUP")
        gateway.signal("TERM")

        expectThat(gateway.awaitEnd()).isTrue()
        expectThat(gateway.exitCode).isEqualTo(0)
        // The process has closed the pipe, so writing may fail.
        runCatching(release)
    }

    // Guards against a process that keeps running without serving because a port is in use.
    @Test
    fun `a port that cannot be opened ends the process with one log line naming the address`() {
        val host = InetAddress.getByName(gateway.callers.host)
        val taken = listOf(ports.callers, ports.readiness, ports.directory, ports.firstPeer + 1)
        for (port in taken) {
            ServerSocket(port, 1, host).use {
                gateway.start()
                expectThat(gateway.awaitEnd()).isTrue()
            }
            expectThat(gateway.exitCode).isEqualTo(EXIT_PORT)
            val lines = gateway.log.readLines()
            expectThat(lines.last()).contains("${host.hostAddress}:$port").contains("109")
        }
    }

    private companion object {
        const val HOST = 2
        const val SIGNALS = 3
        const val EXIT_PORT = 69
    }
}
