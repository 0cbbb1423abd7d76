package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class ViewSystemTest {
    private val gateway = TestGateway()
    private val lookup = route("lookup")

    @Test
    fun `an older view is ignored, so that a stale peer cannot revert the configuration`() {
        gateway.publish(5, catalog(lookup, version = 3), server("a"))
        gateway.publish(4, catalog(version = 2), source = ViewSource.PEER)

        expectThat(gateway.world.catalog?.version).isEqualTo(3)
        expectThat(gateway.world.backends.toList()).hasSize(1)
    }

    @Test
    fun `an older catalog with a newer revision is ignored`() {
        gateway.publish(5, catalog(lookup, version = 3))
        gateway.publish(6, catalog(version = 2))

        expectThat(gateway.world.catalog?.version).isEqualTo(3)
    }

    // Guards against servers that leave unnoticed, because a VM that cannot decode the newest
    // configuration publishes the one before it with each change.
    @Test
    fun `servers are updated by a newer revision whose catalog is older`() {
        gateway.publish(5, catalog(lookup, version = 3), server("a"), source = ViewSource.PEER)
        gateway.publish(6, catalog(version = 2), server("a") { it.copy(isDraining = true) })

        expectThat(gateway.world.catalog?.version).isEqualTo(3)
        expectThat(gateway.world.backends.single().record.isDraining).isTrue()
    }

    @Test
    fun `a server whose entry expired and reappeared stays in use`() {
        gateway.publish(1, catalog(lookup), server("a"))
        gateway.publish(2, catalog(lookup))
        val (_, meanwhile) = gateway.call(lookup)
        gateway.publish(3, catalog(lookup), server("a"))
        gateway.tick(afterMs = 3_000)

        expectThat(meanwhile.all<StartSend>()).hasSize(1)
        expectThat(gateway.world.backends.toList()).hasSize(1)
    }

    // A server whose entry was missing for longer than the retention time must not be considered
    // idle afterwards.
    @Test
    fun `a server that reappears after its removal counts its calls in progress`() {
        val slow = route("slow") { timeoutMs = 20_000 }
        gateway.publish(1, catalog(slow), server("a"))
        val send = gateway.call(slow, budgetMs = 20_000).second.only<StartSend>()
        gateway.publish(2, catalog(slow))
        gateway.tick(afterMs = 3_000)
        gateway.publish(3, catalog(slow), server("a"))
        val during = gateway.world.backends.single().inFlight
        gateway.tick(SendEnded(send.send, SendOutcome.Answered(200), null))

        expectThat(during to gateway.world.backends.single().inFlight).isEqualTo(1 to 0)
    }

    @Test
    fun `a server whose entry stays missing is removed before the drain limit`() {
        gateway.publish(1, catalog(lookup), server("a"))
        gateway.publish(2, catalog(lookup))
        gateway.tick(afterMs = 3_000)

        expectThat(gateway.world.backends.toList()).isEmpty()
    }

    @Test
    fun `the view of a peer is fetched when the platform watch falls behind`() {
        gateway.publish(1, catalog(lookup))
        gateway.receiveGossip(identity("p", NORTH)) { it.copy(revision = 9) }
        gateway.tick()
        gateway.nowMs += 800
        val commands = gateway.receiveGossip(identity("p", NORTH)) { it.copy(revision = 9) }

        expectThat(commands.only<FetchView>().from).isEqualTo(identity("p", NORTH).relay)
    }

    // Guards against asking a peer again and again that is gone or does not answer, while others
    // have the newer view.
    @Test
    fun `a peer that did not send its view is not asked again before the others`() {
        gateway.publish(1, catalog(lookup))
        val peers = listOf(identity("p", NORTH), identity("q", SOUTH))
        val asked = ArrayList<Address>()
        repeat(4) {
            gateway.nowMs += 800
            peers.forEach { peer ->
                asked += gateway.receiveGossip(peer) { it.copy(revision = 9) }.all<FetchView>()
                    .map { it.from }
            }
        }

        expectThat(asked.take(2)).containsExactlyInAnyOrder(peers.map { it.relay })
    }

    @Test
    fun `servers of a returned domain get a health check first to protect cold ones`() {
        val north = FailureDomainId("north-a")
        gateway.publish(1, catalog(lookup), server("a"), evacuated = setOf(north))
        gateway.publish(2, catalog(lookup), server("a"))
        val (_, before) = gateway.call(lookup)
        val checks = gateway.tick(afterMs = 600).all<CheckHealth>()
        gateway.tick(HealthChecked(server("a").id, isHealthy = true, coldForMs = 0, load = null))
        val (_, after) = gateway.call(lookup)

        expectThat(before.all<StartSend>()).isEmpty()
        expectThat(checks).hasSize(1)
        expectThat(after.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `a draining server is used only briefly and only without alternatives`() {
        gateway.publish(1, catalog(lookup), server("a"), server("b"))
        gateway.publish(2, catalog(lookup), server("a") { it.copy(isDraining = true) }, server("b"))
        val withAlternative = gateway.call(lookup).second.only<StartSend>().server
        val leaving = server("b") { it.copy(isDraining = true) }
        gateway.publish(3, catalog(lookup), leaving)
        val alone = gateway.call(lookup).second.only<StartSend>().server
        gateway.tick(afterMs = 2_100)
        val late = gateway.call(lookup).second

        expectThat(withAlternative).isEqualTo("b")
        expectThat(alone).isEqualTo("b")
        expectThat(late.only<RefuseCall>().reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    @Test
    fun `a server that ends at short notice receives no more calls`() {
        gateway.publish(1, catalog(lookup), server("a"))
        val ending = server("a") { it.copy(isDraining = true, endsInMs = 2_000) }
        gateway.publish(2, catalog(lookup), ending)

        expectThat(gateway.call(lookup).second.only<RefuseCall>().reason)
            .isEqualTo(CallRefusal.OVERLOADED)
    }
}
