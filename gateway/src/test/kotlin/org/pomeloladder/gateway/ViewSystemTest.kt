package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.FailureDomainId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ViewSystemTest {
    private val gateway = TestGateway()
    private val lookup = route("lookup")

    @Test
    fun `an older view changes nothing, so that a stale peer cannot take a configuration back`() {
        gateway.publish(5, catalog(lookup, version = 3), server("a"))
        gateway.publish(4, catalog(version = 2), source = ViewSource.PEER)

        expectThat(gateway.world.catalog?.version).isEqualTo(3)
        expectThat(gateway.world.backends.toList()).hasSize(1)
    }

    @Test
    fun `an older catalog under a newer revision is ignored`() {
        gateway.publish(5, catalog(lookup, version = 3))
        gateway.publish(6, catalog(version = 2))

        expectThat(gateway.world.catalog?.version).isEqualTo(3)
    }

    @Test
    fun `a server whose entry lapsed and came back stays in use`() {
        gateway.publish(1, catalog(lookup), server("a"))
        gateway.publish(2, catalog(lookup))
        val (_, meanwhile) = gateway.call(lookup)
        gateway.publish(3, catalog(lookup), server("a"))
        gateway.tick(afterMs = 3_000)

        expectThat(meanwhile.all<StartSend>()).hasSize(1)
        expectThat(gateway.world.backends.toList()).hasSize(1)
    }

    // Guards against a server that is taken for idle after its entry was away for longer than it is kept.
    @Test
    fun `a server that comes back after it was dropped still counts the calls that it has`() {
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
    fun `a server whose entry stays away is dropped before the bound on drains`() {
        gateway.publish(1, catalog(lookup), server("a"))
        gateway.publish(2, catalog(lookup))
        gateway.tick(afterMs = 3_000)

        expectThat(gateway.world.backends.toList()).isEmpty()
    }

    @Test
    fun `a view of a peer is fetched when the own watch stays behind`() {
        gateway.publish(1, catalog(lookup))
        gateway.receiveGossip(identity("p", NORTH)) { it.copy(revision = 9) }
        gateway.tick()
        gateway.nowMs += 800
        val commands = gateway.receiveGossip(identity("p", NORTH)) { it.copy(revision = 9) }

        expectThat(commands.only<FetchView>().from).isEqualTo(identity("p", NORTH).relay)
    }

    @Test
    fun `a returned domain is asked for its health first, so that cold servers survive`() {
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
    fun `a leaving server is used for a moment only when there is no other`() {
        gateway.publish(1, catalog(lookup), server("a"), server("b"))
        gateway.publish(2, catalog(lookup), server("a") { it.copy(isDraining = true) }, server("b"))
        val withOther = gateway.call(lookup).second.only<StartSend>().server
        val leaving = server("b") { it.copy(isDraining = true) }
        gateway.publish(3, catalog(lookup), leaving)
        val alone = gateway.call(lookup).second.only<StartSend>().server
        gateway.tick(afterMs = 2_100)
        val late = gateway.call(lookup).second

        expectThat(withOther).isEqualTo("b")
        expectThat(alone).isEqualTo("b")
        expectThat(late.only<RefuseCall>().reason).isEqualTo(CallRefusal.OVERLOADED)
    }

    @Test
    fun `a server that ends at short notice gets nothing more`() {
        gateway.publish(1, catalog(lookup), server("a"))
        val ending = server("a") { it.copy(isDraining = true, endsInMs = 2_000) }
        gateway.publish(2, catalog(lookup), ending)

        expectThat(gateway.call(lookup).second.only<RefuseCall>().reason)
            .isEqualTo(CallRefusal.OVERLOADED)
    }
}
