package org.pomeloladder.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.RequestId
import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Sends well-formed messages with senseless values to the systems of one process. */
class MalformedEventsTest {
    private class Source(seed: Int) {
        val random = Random(seed)

        fun int() = listOf(Int.MIN_VALUE, -1, 0, 1, 7, 5_000, Int.MAX_VALUE).random(random)

        fun long() = listOf(Long.MIN_VALUE, -1L, 0L, 1L, 900L, Long.MAX_VALUE).random(random)

        fun float() =
            listOf(Float.NaN, -1f, 0f, 1f, Float.MAX_VALUE, Float.POSITIVE_INFINITY).random(random)

        fun flag() = random.nextBoolean()

        fun <T> list(create: () -> T) = List(random.nextInt(4)) { create() }

        fun text() = listOf("", "a", "m", "north", "north-a", "self", "\u0000").random(random)

        fun region() = listOf(NORTH, SOUTH, RegionId(text())).random(random)

        fun address() = Address(text(), int())
    }

    private fun Source.identity() = PeerIdentity(
        vm = VmId(text()),
        incarnation = Incarnation(long()),
        region = region(),
        domain = FailureDomainId(text()),
        callers = address(),
        gossip = address(),
        relay = address(),
    )

    private fun Source.share() = ServerShare(
        server = BackendServerId(text()),
        inFlight = int(),
        pendingPromptTokens = List(random.nextInt(30)) { long() },
        recentPromptTokens = long(),
        eventGapMs = float(),
    )

    private fun Source.load() = ServiceLoad(
        service = listOf(MODEL, SHOP, ServiceId(text())).random(random),
        totalSlots = int(),
        usedSlots = int(),
        waitMs = long(),
        eventGapMs = float(),
        meanWaitMs = long(),
        urgentWaitMs = long(),
    )

    private fun Source.evidence() = PartEvidence(
        part = PartId(int().toLong()),
        crashes = list { CrashReport(CrashId(long()), long()) },
        answeredAgeMs = if (flag()) long() else null,
        probes = int(),
    )

    private fun Source.gossip() = GossipReceived(
        from = address(),
        message = GossipMessage(
            from = identity(),
            sentMs = long(),
            isDraining = flag(),
            isReady = flag(),
            revision = long(),
            shares = list { share() },
            services = list { load() },
            cached = list { CachedPart(BackendServerId(text()), PartId(long()), int()) },
            others = list { PeerAddress(VmId(text()), address(), region()) },
            evidence = list { evidence() },
        ),
        echo = GossipEcho(long(), long(), flag()),
    )

    private fun Source.route(id: String) = Route(
        id = RouteId(id),
        host = "host",
        prefix = "/$id/",
        kind = RouteKind.entries.random(random),
        timeoutMs = long(),
        objectiveMs = long(),
        gapObjectiveMs = long(),
        priority = int(),
        targets = list { WeightedService(listOf(MODEL, SHOP).random(random), int()) },
        maxSends = int(),
        isResumable = flag(),
        homes = list { region() }.toSet(),
    )

    private fun Source.service(id: ServiceId) = ServiceSpec(
        id = id,
        healthPath = text(),
        maxConnections = int(),
        coldRequestsPerS = listOf(Double.NaN, -1.0, 0.0, 1e300).random(random),
        engine = if (flag()) EngineSpec(int(), long(), Double.NaN, 1.0) else null,
    )

    private fun Source.record(name: String) = BackendRecord(
        id = BackendServerId(name),
        service = listOf(MODEL, SHOP).random(random),
        address = address(),
        domain = FailureDomainId(listOf("north-a", "south-a", text()).random(random)),
        slots = int(),
        isDraining = flag(),
        coldForMs = long(),
        startedAtUnixMs = long(),
        endsInMs = if (flag()) long() else null,
    )

    private fun Source.view(revision: Long): ViewReceived {
        val routes = listOf(route("x"), route("y"))
        val services = listOf(service(MODEL), service(SHOP))
        val catalog = Catalog(revision, routes, services, CallerLimits())
        val records = listOf(record("a"), record("m"), record("b"), record("c"))
        return ViewReceived(PublishedView(revision, catalog, records, emptySet()), ViewSource.PEER)
    }

    private fun Source.call(id: Long) = CallArrived(
        CallId(id),
        CallSpec(
            requestId = RequestId("r$id"),
            host = "host",
            path = listOf("/x/1", "/y/1", "").random(random),
            budgetMs = if (flag()) long() else null,
            prompt = Prompt(list { PromptPart(PartId(int().toLong()), int()) }, int(), int()),
            resumeAfter = if (flag()) long() else null,
        ),
    )

    private fun Source.answer(start: StartSend): GatewayEvent = when (random.nextInt(4)) {
        0 -> AnswerStarted(start.send, LoadReport(int(), int(), int(), Double.NaN))
        1 -> SendEnded(start.send, SendOutcome.Broken(BreakReason.CONNECTION_LOST), null, int())
        2 -> SendEnded(start.send, SendOutcome.Answered(int()), null, int(), long(), long())
        else -> SendNotWritten(start.send, NotWrittenReason.entries.random(random))
    }

    private fun play(seed: Int) {
        val source = Source(seed)
        val gateway = TestGateway(seed)
        var starts = emptyList<StartSend>()
        for (step in 1L..40L) {
            val events = listOf(source.view(step), source.gossip(), source.call(step)) +
                starts.map { source.answer(it) }
            starts = gateway.tick(*events.toTypedArray(), afterMs = source.random.nextLong(700))
                .all<StartSend>()
        }
    }

    // Guards against one message that ends the process, and the next process that it is sent to.
    @Test
    fun `messages with senseless values raise no error`() {
        val failures = (1..SEEDS).mapNotNull { seed ->
            runCatching { play(seed) }.exceptionOrNull()?.let { "$it ${it.stackTrace.take(3)}" }
        }

        expectThat(failures.groupingBy { it }.eachCount()).isEmpty()
    }

    private companion object {
        const val SEEDS = 300
    }
}
