package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** When the life of a server is in doubt, and what ends the doubt. */
class RestartSystemTest {
    private val chat = modelStream("chat")
    private val gateway = TestGateway()
    private val server = server("m", MODEL)

    private val backend: Backend
        get() = checkNotNull(gateway.world.backends[server.id])

    private fun publish(revision: Long, change: (BackendRecord) -> BackendRecord = { it }) =
        gateway.publish(revision, catalog(chat), change(server))

    private fun send(): StartSend = gateway.call(chat).second.only()

    private fun lost(send: StartSend) =
        SendEnded(send.send, SendOutcome.Broken(BreakReason.CONNECTION_LOST), load = null)

    private fun healthOf(check: CheckHealth, coldForMs: Long? = 0, isHealthy: Boolean = true) =
        HealthChecked(check.server, isHealthy, coldForMs, null, askedMs = check.askedMs)

    private fun refused(check: CheckHealth) =
        HealthChecked(check.server, false, null, null, isRefused = true, check.askedMs)

    private fun addPeers(count: Int) = repeat(count) {
        gateway.receiveGossip(identity("peer-$it", NORTH))
    }

    // Guards against a sound server that stays in doubt because it was checked a moment ago.
    @ParameterizedTest
    @ValueSource(ints = [0, 19, 49])
    fun `each doubt is checked soon, however many peers there are`(peers: Int) {
        publish(1)
        val sends = List(2) { send() }
        addPeers(peers)
        val first = gateway.tick(lost(sends[0])).only<CheckHealth>()
        gateway.tick(healthOf(first))
        val fromMs = gateway.nowMs
        var check = gateway.tick(lost(sends[1]), afterMs = 5).all<CheckHealth>()
        while (check.isEmpty() && gateway.nowMs < fromMs + 1_000) {
            check = gateway.tick(afterMs = 5).all()
        }

        expectThat(gateway.nowMs - fromMs).isLessThan(150)
    }

    // Guards against a server that counts as warm because it was too busy to be asked.
    @Test
    fun `a rejected health check without a cold time proves nothing`() {
        publish(1)
        val check = gateway.tick(lost(send())).only<CheckHealth>()
        gateway.tick(healthOf(check, coldForMs = 0, isHealthy = false))

        expectThat(backend.doubt).isNotNull()
    }

    // Guards against an answer to a question from before the server was seen to be down.
    @Test
    fun `a health check that was asked before a refusal proves nothing`() {
        publish(1)
        val first = send()
        val second = send()
        val check = gateway.tick(lost(first)).only<CheckHealth>()
        val notWritten = NotWrittenReason.CONNECT_FAILED
        gateway.tick(SendNotWritten(second.send, notWritten, isRefused = true), afterMs = 20)
        gateway.tick(healthOf(check))

        expectThat(backend.doubt).isNotNull()
    }

    // Guards against a doubt that comes back with the late end of an older check, or from a server
    // that answers calls while it keeps a check waiting.
    @Test
    fun `a health check without an answer raises no doubt in a server that is heard`() {
        publish(1)
        val check = CheckHealth(server.id, server.address, "/health", gateway.nowMs)
        gateway.tick(ServerActivity(setOf(server.id)), afterMs = 200)
        gateway.tick(healthOf(check, coldForMs = null, isHealthy = false), afterMs = 200)

        expectThat(backend.doubt).isNull()
    }

    // Guards against an entry that was written before the server went down once more.
    @Test
    fun `an entry of another life does not end a doubt`() {
        publish(1)
        val check = gateway.tick(lost(send())).only<CheckHealth>()
        gateway.tick(refused(check))
        publish(2) { it.copy(startedAtUnixMs = 2, coldForMs = 200) }
        val sends = List(10) { gateway.call(chat).second.all<StartSend>() }.flatten()

        expectThat(sends).isEmpty()
    }

    // Guards against VMs that learn nothing when a server is back before anyone was refused.
    @Test
    fun `peers are told of a server that was found to be cold without a refusal`() {
        publish(1)
        val check = gateway.tick(lost(send())).only<CheckHealth>()
        gateway.tick(healthOf(check, coldForMs = 3_000))
        gateway.receiveGossip(identity("peer", NORTH))
        val told = gateway.tick(afterMs = 300).all<SendGossip>().flatMap { it.message.restarts }

        expectThat(told.map { it.server }).isNotEmpty()

        val other = TestGateway(self = identity("other", NORTH))
        other.publish(1, catalog(chat), server)
        val asked = other.receiveGossip(identity("peer", NORTH)) { it.copy(restarts = told) }

        expectThat(asked.all<CheckHealth>()).hasSize(1)
    }

    // Guards against the same few servers in each datagram when many restart.
    @Test
    fun `all of forty refused servers are told within some datagrams`() {
        val servers = List(40) { server("m$it", MODEL) }
        gateway.publish(1, catalog(chat), *servers.toTypedArray())
        gateway.receiveGossip(identity("peer", NORTH))
        val checks = servers.map { CheckHealth(it.id, it.address, "/health", gateway.nowMs) }
        gateway.tick(*checks.map(::refused).toTypedArray())
        val told = (1..24).flatMap {
            gateway.receiveGossip(identity("peer", NORTH))
            val commands = gateway.tick(afterMs = 260)
            commands.all<SendGossip>().flatMap { it.message.restarts }
        }

        expectThat(told.map { it.server }.toSet()).hasSize(40)
    }

    // Guards against calls that wait for a health check and are forgotten, or refused though the
    // server is sound.
    @Test
    fun `a call without another place waits for the health check of a doubted server`() {
        publish(1)
        repeat(5) { send() }
        val check = gateway.tick(lost(send())).only<CheckHealth>()
        val (call, waiting) = gateway.call(chat)
        val after = gateway.tick(healthOf(check))

        expectThat(waiting.all<RefuseCall>()).isEmpty()
        expectThat(waiting.all<StartSend>()).isEmpty()
        expectThat(after.all<StartSend>().count { it.call == call }).isEqualTo(1)
    }
}
