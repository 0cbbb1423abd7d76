package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.RequestId
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
    fun `a process without a catalog refuses calls as starting, not as without a route`() {
        val (_, commands) = gateway.call(lookup)
        val later = gateway.tick(afterMs = 300)

        expectThat(commands.all<RefuseCall>()).isEmpty()
        expectThat(later.only<RefuseCall>().reason).isEqualTo(CallRefusal.STARTING)
    }

    @Test
    fun `a call that arrives during the start is sent once the first view is read`() {
        gateway.call(lookup)
        val commands = ready(server("a"))

        expectThat(commands.all<StartSend>()).hasSize(1)
    }

    // Guards against rejecting a call that is no take-up because of a header that means nothing on its
    // route.
    @Test
    fun `the last event id of a call that is no stream does not bind it to a version`() {
        ready(server("a"))
        val spec = CallSpec(
            requestId = RequestId("r2"),
            host = lookup.host,
            path = lookup.prefix,
            budgetMs = null,
            prompt = null,
            resumeAfter = 3,
            resumedRequest = RequestId("r1"),
        )

        expectThat(gateway.tick(CallArrived(CallId(99), spec)).all<StartSend>()).hasSize(1)
    }

    @Test
    fun `a call with an unknown path is refused without a route`() {
        ready(server("a"))
        val (_, commands) = gateway.call(route("other"))

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.NO_ROUTE)
    }

    @Test
    fun `a call that reaches its route's time limit is ended and removed from its server`() {
        ready(server("a"))
        val (_, commands) = gateway.call(lookup)
        val after = gateway.tick(afterMs = 2_000)

        expectThat(after.only<CancelSend>().send).isEqualTo(commands.only<StartSend>().send)
        expectThat(after.only<RefuseCall>().reason).isEqualTo(CallRefusal.TIMED_OUT)
        expectThat(gateway.world.backends.first().inFlight).isEqualTo(0)
    }

    @Test
    fun `each send carries only the remaining time of the call`() {
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
    fun `the send of a call is cancelled when its caller leaves`() {
        ready(server("a"))
        val (call, commands) = gateway.call(lookup)
        val after = gateway.tick(CallerDisconnected(call))

        expectThat(after.only<CancelSend>().send).isEqualTo(commands.only<StartSend>().send)
    }

    @Test
    fun `draining and evacuated servers and those of other regions receive no calls`() {
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

    // Guards against a repeat in a region that is no home because a change of configuration added
    // the homes while the call was under way (HOME).
    @Test
    fun `homes that a new catalog adds bind the repeats of a running call`() {
        ready(server("a"), server("b"))
        val (_, commands) = gateway.call(lookup)
        val homesAdded = catalog(route("lookup") { homes = setOf(SOUTH) }, version = 2)
        gateway.publish(2, homesAdded, server("a"), server("b"))
        val lost = SendOutcome.Broken(BreakReason.CONNECTION_LOST)
        val after = gateway.tick(SendEnded(commands.only<StartSend>().send, lost, null))

        expectThat(after.all<StartSend>()).isEmpty()
    }

    @Test
    fun `a call that only another region may serve is relayed there`() {
        ready(server("a"))
        val (_, alone) = gateway.call(homed)
        val load = ServiceLoad(SHOP, totalSlots = 6, usedSlots = 0, waitMs = 10)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(load)) }
        val (_, relayed) = gateway.call(homed)

        expectThat(alone.all<StartSend>()).isEmpty()
        expectThat(relayed.only<StartSend>().target).isA<SendTarget.Peer>()
    }

    @Test
    fun `a relayed call is not relayed again, so that calls cannot loop`() {
        ready()
        val load = ServiceLoad(SHOP, totalSlots = 6, usedSlots = 0, waitMs = 10)
        gateway.receiveGossip(identity("p", SOUTH)) { it.copy(services = listOf(load)) }
        val origin = CallOrigin.Peer(identity("q", SOUTH).vm, 1)
        val (_, commands) = gateway.call(lookup, origin = origin)

        expectThat(commands.all<StartSend>()).isEmpty()
    }

    @Test
    fun `a call relayed under a newer catalog is refused, so that no older rule applies to it`() {
        ready(server("a"))
        val origin = CallOrigin.Peer(identity("q", SOUTH).vm, catalogVersion = 2)
        val (_, commands) = gateway.call(lookup, origin = origin)

        expectThat(commands.only<RefuseCall>().reason).isEqualTo(CallRefusal.STARTING)
    }

    @Test
    fun `a cold server receives at most this process's share of calls in a second`() {
        val gateway = TestGateway(uptimeMs = 0)
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

        // The limit for all processes together: 2 a second by 1.5, plus 3.
        expectThat(sent).isLessThan(7)
        // At the start the process does not know how many others share the limit.
        expectThat(atStart.all<StartSend>()).isEmpty()
    }

    // Guards against retries that one service's budget pays for and another service receives.
    @Test
    fun `a relayed call is sent to the service that its peer has chosen`() {
        val targets = listOf(WeightedService(SHOP, 50), WeightedService(MODEL, 50))
        val split = route("split").copy(targets = targets)
        gateway.publish(1, catalog(split), server("a", SHOP), server("b", MODEL))
        val origin = CallOrigin.Peer(VmId("other"), catalogVersion = 1, service = MODEL)
        val sent = List(20) { gateway.call(split, origin = origin).second.only<StartSend>().server }

        expectThat(sent.distinct()).isEqualTo(listOf("b"))
    }
}
