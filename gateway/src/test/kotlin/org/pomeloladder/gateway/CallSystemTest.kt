package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.FailureDomainId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class CallSystemTest {
    private val gateway = TestGateway()
    private val lookup = route("lookup")
    private val homed = route("homed") { homes = setOf(SOUTH) }
    private val catalog = catalog(lookup, homed)

    private fun ready(vararg servers: BackendRecord) = gateway.publish(1, catalog, *servers)

    @Test
    fun `a call at a process without a catalog is told not run, not that it has no route`() {
        val (_, commands) = gateway.call(lookup)
        val later = gateway.tick(afterMs = 300)

        expectThat(commands.all<RefuseCall>()).isEmpty()
        expectThat(later.only<RefuseCall>().reason).isEqualTo(CallRefusal.STARTING)
    }

    @Test
    fun `a call that comes while a process starts is served when the first view is there`() {
        gateway.call(lookup)
        val commands = ready(server("a"))

        expectThat(commands.all<StartSend>()).hasSize(1)
    }

    @Test
    fun `an unknown path has no route`() {
        ready(server("a"))
        val (_, commands) = gateway.call(route("other"))

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.NO_ROUTE)
    }

    @Test
    fun `a call ends at its route's time limit and frees its server`() {
        ready(server("a"))
        val (_, commands) = gateway.call(lookup)
        val after = gateway.tick(afterMs = 2_000)

        expectThat(after.only<CancelSend>().send).isEqualTo(commands.only<StartSend>().send)
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.TIMED_OUT)
        expectThat(gateway.world.backends.first().inFlight).isEqualTo(0)
    }

    @Test
    fun `a server is told the time that is left and no more`() {
        ready(server("a"), server("b"))
        val (_, commands) = gateway.call(lookup, budgetMs = 1_500)
        val first = commands.only<StartSend>()
        val notRun = SendOutcome.NotRun(NotRunReason.FULL)
        val second = gateway.tick(SendEnded(first.send, notRun, null), afterMs = 700)
            .only<StartSend>()

        expectThat(first.remainingMs).isEqualTo(1_500)
        expectThat(second.remainingMs).isEqualTo(800)
    }

    @Test
    fun `a caller that left stops the run of its call`() {
        ready(server("a"))
        val (call, commands) = gateway.call(lookup)
        val after = gateway.tick(CallerDisconnected(call))

        expectThat(after.only<CancelSend>().send).isEqualTo(commands.only<StartSend>().send)
    }

    @Test
    fun `draining, evacuated and foreign servers get nothing`() {
        ready(
            server("draining") { it.copy(isDraining = true) },
            server("far", region = SOUTH),
        )
        val (_, commands) = gateway.call(lookup)
        gateway.publish(
            2,
            catalog,
            server("a"),
            evacuated = setOf(FailureDomainId("north-a")),
        )
        val (_, evacuated) = gateway.call(lookup)

        expectThat(commands.all<StartSend>()).isEmpty()
        expectThat(evacuated.all<StartSend>()).isEmpty()
    }

    @Test
    fun `a call bound to another region is relayed there and served nowhere else`() {
        ready(server("a"))
        val (_, alone) = gateway.call(homed)
        val load = ServiceLoad(SHOP, totalSlots = 6, usedSlots = 0, waitMs = 10)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(load)) }
        val (_, relayed) = gateway.call(homed)

        expectThat(alone.all<StartSend>()).isEmpty()
        expectThat(relayed.only<StartSend>().target).isA<SendTarget.Peer>()
    }

    @Test
    fun `a relayed call is never relayed again, so that no request goes round in circles`() {
        ready()
        val load = ServiceLoad(SHOP, totalSlots = 6, usedSlots = 0, waitMs = 10)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(load)) }
        val origin = CallOrigin.Peer(identity("q", SOUTH).vm, 1)
        val (_, commands) = gateway.call(lookup, origin = origin)

        expectThat(commands.all<StartSend>()).isEmpty()
    }

    @Test
    fun `a call relayed under a newer catalog is handed back, so that no older rule decides it`() {
        ready(server("a"))
        val origin = CallOrigin.Peer(identity("q", SOUTH).vm, catalogVersion = 2)
        val (_, commands) = gateway.call(lookup, origin = origin)

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.STARTING)
    }

    @Test
    fun `a cold server gets no more than this process's share in any second`() {
        val model = route("model") {
            kind = RouteKind.STREAMING
            service = MODEL
        }
        gateway.publish(1, catalog(model), server("m", MODEL) { it.copy(coldForMs = 10_000) })
        val (_, atStart) = gateway.call(model)
        gateway.tick(afterMs = 1_000)
        val sent = (1..100).count {
            gateway.nowMs += 9
            gateway.call(model).second.all<StartSend>().isNotEmpty()
        }

        // The bound of all processes together: 2 a second by 1.5, and 3.
        expectThat(sent).isLessThan(7)
        // How many others share the bound is not known at a start.
        expectThat(atStart.all<StartSend>()).isEmpty()
    }
}
