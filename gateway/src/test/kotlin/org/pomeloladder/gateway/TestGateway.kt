/*
 * Runs the gateway's systems with a clock that the test controls, and returns their commands to the
 * test.
 */
package org.pomeloladder.gateway

import kotlin.random.Random
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Journal
import org.pomeloladder.decisions.NoJournal
import org.pomeloladder.decisions.RequestId
import org.pomeloladder.decisions.SchedulerOf

val NORTH = RegionId("north")
val SOUTH = RegionId("south")
val EAST = RegionId("east")
val MODEL = ServiceId("model")
val SHOP = ServiceId("shop")

internal fun identity(name: String, region: RegionId, incarnation: Long = 1) = PeerIdentity(
    vm = VmId(name),
    incarnation = Incarnation(incarnation),
    region = region,
    domain = FailureDomainId("$region-a"),
    callers = Address(name, 1),
    gossip = Address(name, 2),
    relay = Address(name, 3),
)

/** Builds a route of the test catalog. */
internal class RouteBuilder(private val id: String) {
    var kind = RouteKind.IDEMPOTENT
    var service = SHOP
    var timeoutMs = 2_000L
    var maxSends = 2
    var isResumable = false
    var homes = emptySet<RegionId>()
    var host = "host"
    var priority = 1

    fun build() = Route(
        id = RouteId(id),
        host = host,
        prefix = "/$id/",
        kind = kind,
        timeoutMs = timeoutMs,
        objectiveMs = 600,
        gapObjectiveMs = 600,
        priority = priority,
        targets = listOf(WeightedService(service, 1)),
        maxSends = maxSends,
        isResumable = isResumable,
        homes = homes,
    )
}

internal fun route(id: String, change: RouteBuilder.() -> Unit = {}): Route =
    RouteBuilder(id).apply(change).build()

/** A route of streams that engines write and that may be taken up. */
internal fun modelStream(id: String): Route = route(id) {
    kind = RouteKind.STREAMING
    service = MODEL
    timeoutMs = 5_000
    isResumable = true
}

internal fun catalog(vararg routes: Route, version: Long = 1) = Catalog(
    version = version,
    routes = routes.toList(),
    services = listOf(
        ServiceSpec(SHOP, "/health", 100, 0.0, null),
        ServiceSpec(MODEL, "/health", 100, 2.0, EngineSpec(64, 300_000)),
    ),
    limits = CallerLimits(),
)

internal fun server(
    name: String,
    service: ServiceId = SHOP,
    region: RegionId = NORTH,
    change: (BackendRecord) -> BackendRecord = { it },
) = change(
    BackendRecord(
        id = BackendServerId(name),
        service = service,
        address = Address(name, 80),
        domain = FailureDomainId("$region-a"),
        slots = 6,
        isDraining = false,
        coldForMs = 0,
        startedAtUnixMs = 1,
        version = SoftwareVersion("v1"),
    ),
)

/** One process under test, by default in the region north and started a minute ago. */
internal class TestGateway(
    seed: Int = 1,
    journal: Journal = NoJournal,
    self: PeerIdentity = identity("self", NORTH),
    uptimeMs: Long = 60_000,
) {
    val world = GatewayWorld(
        self = self,
        regions = listOf(NORTH, SOUTH, EAST).associateBy { FailureDomainId("$it-a") },
        seeds = emptyList(),
        bounds = GatewayBounds(
            retryRatio = 0.2,
            retryWindowMs = 10_000,
            retrySlack = 56.0,
            coldOverage = 1.5,
            coldSlack = 3.0,
            drainMs = 4_000,
            shutdownGraceMs = 8_000,
            entryTtlMs = 2_000,
        ),
    )
    var nowMs = 1_000L
    private var nextCall = 0L

    init {
        world.process.startedMs = nowMs - uptimeMs
    }

    private val scheduler = SchedulerOf(world, gatewaySystems(world.self), Random(seed), journal)

    /** Advances the clock by [afterMs], runs one tick with [events] and returns its commands. */
    fun tick(vararg events: GatewayEvent, afterMs: Long = 1): List<GatewayCommand> {
        nowMs += afterMs
        return scheduler.tick(nowMs, events.toList()).commands
    }

    /** Publishes a view. If [isInContact] is set, new servers were heard from at that time. */
    fun publish(
        revision: Long,
        catalog: Catalog,
        vararg servers: BackendRecord,
        evacuated: Set<FailureDomainId> = emptySet(),
        source: ViewSource = ViewSource.PLATFORM,
        isInContact: Boolean = true,
    ): List<GatewayCommand> {
        val view = PublishedView(revision, catalog, servers.toList(), evacuated)
        val commands = tick(ViewReceived(view, source))
        if (isInContact) {
            world.backends.filter { it.life.lastHeardMs == NEVER_MS }
                .forEach { it.life.lastHeardMs = nowMs }
        }
        return commands
    }

    /**
     * Runs a tick in which a call on [route] arrives. Returns its id and the commands of the tick.
     */
    fun call(
        route: Route,
        prompt: Prompt? = null,
        budgetMs: Long? = 4_000,
        origin: CallOrigin = CallOrigin.Caller,
    ): Pair<CallId, List<GatewayCommand>> {
        val id = CallId(++nextCall)
        val spec = CallSpec(
            requestId = RequestId("request-$nextCall"),
            host = route.host,
            path = route.prefix + "x",
            budgetMs = budgetMs,
            prompt = prompt,
            resumeAfter = null,
            origin = origin,
        )
        return id to tick(CallArrived(id, spec))
    }

    /** Lets all servers but [silent] show just now that they are alive. */
    fun hearFromAllBut(silent: BackendServerId) {
        world.backends.filter { it.id != silent }.forEach { it.life.lastHeardMs = nowMs }
    }

    /** Returns the expected time from [send] to its first event. */
    fun expectedMs(send: SendId): Double = checkNotNull(world.sends[send]).expectedFirstEventMs

    /**
     * Runs a tick that receives a datagram from a peer, with an echo as if the link works in both
     * directions.
     */
    fun receiveGossip(identity: PeerIdentity, change: (GossipMessage) -> GossipMessage = { it }) =
        tick(
            GossipReceived(
                identity.gossip,
                change(GossipMessage(identity, sentMs = nowMs, isReady = true)),
                GossipEcho(echoMs = nowMs),
            ),
        )
}

internal inline fun <reified C : GatewayCommand> List<GatewayCommand>.only(): C =
    filterIsInstance<C>().single()

internal inline fun <reified C : GatewayCommand> List<GatewayCommand>.all(): List<C> =
    filterIsInstance<C>()

internal val StartSend.server: String
    get() = (target as SendTarget.Server).id.value
