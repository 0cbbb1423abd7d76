/*
 * One process of the route gateway: creates and connects the control thread, the traffic thread,
 * the journal and the deployment adapter.
 */
package org.pomeloladder.entry

import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.Latency
import org.pomeloladder.decisions.LogEvent
import org.pomeloladder.decisions.SchedulerOf
import org.pomeloladder.gateway.EntryView
import org.pomeloladder.gateway.GatewayBounds
import org.pomeloladder.gateway.GatewayCommand
import org.pomeloladder.gateway.GatewayEvent
import org.pomeloladder.gateway.GatewayWorld
import org.pomeloladder.gateway.PeerIdentity
import org.pomeloladder.gateway.ReloadedSettings
import org.pomeloladder.gateway.SettingsReloaded
import org.pomeloladder.gateway.ShutdownRequested
import org.pomeloladder.gateway.gatewaySystems
import org.pomeloladder.runtime.AsyncJournal
import org.pomeloladder.runtime.ControlThread
import org.pomeloladder.runtime.ErrorLimit
import org.pomeloladder.runtime.EventSinkOf
import org.pomeloladder.runtime.Log4jJournal
import org.pomeloladder.runtime.Metrics
import org.pomeloladder.runtime.SystemMonotonicClock
import org.pomeloladder.traffic.BindFailure
import org.pomeloladder.traffic.Fetcher
import org.pomeloladder.traffic.GatewayTraffic
import org.pomeloladder.traffic.TrafficAddresses
import org.pomeloladder.traffic.WireFormat

/** Adapter of a deployment: its wire format, configuration reader and HTTP endpoints. */
interface Deployment {
    val wire: WireFormat

    /** Starts to read published configuration with [fetcher] and to post it to [events]. */
    fun startConfigurationReader(fetcher: Fetcher, events: EventSinkOf<GatewayEvent>)

    /** Returns a handler that answers readiness checks from [entry]. */
    fun readinessHandler(entry: () -> EntryView): HttpHandler

    /** Returns a handler that tells callers which entry VMs to use for the next [ttlMs]. */
    fun directoryHandler(entry: () -> EntryView, ttlMs: Long): HttpHandler
}

private const val MS_PER_S = 1_000
private const val EXIT_INVARIANT_BROKEN = 70

/** More internal errors within the window stop the process. */
private const val MAX_INTERNAL_ERRORS = 20
private const val INTERNAL_ERROR_WINDOW_MS = 60_000L

/** Callers leave a stopping VM within this time. The setting `entryTtlMaxS` can lower it. */
private const val ENTRY_TTL_S = 2.0

/** One gateway process. [settings] must be valid. */
class Gateway(private val settings: GatewaySettings, private val deployment: Deployment) {
    private val metrics = Metrics()
    private val journal = AsyncJournal(Log4jJournal(metrics))
    private val stopped = CountDownLatch(1)
    private val errorLimit =
        ErrorLimit(MAX_INTERNAL_ERRORS, INTERNAL_ERROR_WINDOW_MS, SystemMonotonicClock)
    private val ttlMs = (minOf(settings.bounds.entryTtlMaxS, ENTRY_TTL_S) * MS_PER_S).toLong()
    private val gossipAddress = peerAddress(settings.host, 0)
    private val relayAddress = peerAddress(settings.host, 1)
    private val self = PeerIdentity(
        vm = VmId(settings.vm),
        // Wall-clock time is used only to order the incarnations of one VM.
        incarnation = Incarnation(System.currentTimeMillis()),
        region = RegionId(settings.region),
        domain = FailureDomainId(settings.failureDomain),
        callers = address(settings.callers),
        gossip = gossipAddress,
        relay = relayAddress,
    )
    private val world = GatewayWorld(
        self = self,
        regions = settings.regionsOfDomains.entries
            .associate { FailureDomainId(it.key) to RegionId(it.value) },
        seeds = seedsOf(settings),
        bounds = boundsOf(settings),
    )
    private val traffic: GatewayTraffic = GatewayTraffic(
        addresses = TrafficAddresses(
            callers = self.callers,
            relay = relayAddress,
            gossip = gossipAddress,
            views = peerAddress(settings.host, 2),
        ),
        self = self.vm,
        wire = deployment.wire,
        onStopped = stopped::countDown,
        onMalformedMessage = { journal.log(LogEvent.PEER_REFUSED, mapOf("reason" to it)) },
        eventGapMeter = { journal.observe(Latency.EVENT_GAP, it) },
    )
    private val control = ControlThread<GatewayWorld, GatewayEvent, GatewayCommand>(
        scheduler = SchedulerOf(
            world,
            gatewaySystems(self),
            Random(self.incarnation.value xor self.vm.hashCode().toLong()),
            journal,
            ::onInternalError,
        ),
        clock = SystemMonotonicClock,
        metrics = metrics,
        execute = traffic::execute,
        onFailure = ::haltOnBrokenInvariant,
    )

    /** Binds all ports and starts. If a port cannot be bound, returns it and starts nothing. */
    fun start(): BindFailure? {
        val apis = mapOf<Address, HttpHandler>(
            address(settings.readiness) to deployment.readinessHandler { traffic.entry },
            address(settings.directory) to deployment.directoryHandler({ traffic.entry }, ttlMs),
            Address(settings.host, settings.metricsPort) to ::serveMetrics,
        )
        journal.start()
        val failure = traffic.start(control, apis)
        if (failure != null) {
            val details = mapOf("address" to failure.address, "cause" to failure.cause)
            journal.log(LogEvent.PORT_NOT_OPENED, details)
            traffic.close()
            journal.close()
            return failure
        }
        control.start()
        deployment.startConfigurationReader(traffic.fetcher, control)
        val details = mapOf("vm" to self.vm, "incarnation" to self.incarnation)
        journal.log(LogEvent.STARTED, details)
        return null
    }

    /** Requests a graceful shutdown. [awaitStop] returns when it is complete. */
    fun shutDown() = control.post(ShutdownRequested)

    /** Applies those settings of [text] that can change while the process runs. */
    fun reload(text: String) {
        val event = when (val result = readGatewaySettings(text)) {
            is GatewaySettingsResult.Valid -> {
                val read = result.settings
                SettingsReloaded(ReloadedSettings(boundsOf(read), seedsOf(read)), null)
            }
            is GatewaySettingsResult.Invalid ->
                SettingsReloaded(null, result.problems.joinToString())
        }
        control.post(event)
    }

    /** Waits until all calls have ended or the grace period is over, then closes everything. */
    fun awaitStop() {
        stopped.await()
        control.stop()
        traffic.close()
        journal.log(LogEvent.STOPPED)
        journal.close()
    }

    private fun serveMetrics(@Suppress("UnusedParameter") request: Request): Response =
        Response(Status.OK).body(metrics.toText())

    private fun seedsOf(settings: GatewaySettings) =
        settings.seeds.map { peerAddress(address(it).host, 0) } - gossipAddress

    private fun boundsOf(settings: GatewaySettings): GatewayBounds {
        val bounds = settings.bounds
        return GatewayBounds(
            retryRatio = bounds.retryRatio,
            retryWindowMs = (bounds.retryWindowS * MS_PER_S).toLong(),
            retrySlack = bounds.retrySlack,
            coldOverage = bounds.coldOverage,
            coldSlack = bounds.coldSlack,
            drainMs = bounds.drainMs,
            shutdownGraceMs = (bounds.shutdownGraceS * MS_PER_S).toLong(),
            entryTtlMs = ttlMs,
        )
    }

    private fun peerAddress(host: String, offset: Int) =
        Address(host, settings.peerPorts.first + offset)

    private fun address(text: String): Address =
        checkNotNull(parseAddress(text)) { "address was not validated: $text" }

    /** Keeps one message from ending the process, and with it the calls of all callers. */
    private fun onInternalError(cause: RuntimeException) {
        journal.log(LogEvent.INTERNAL_ERROR, mapOf("cause" to cause.stackTraceToString()))
        if (!errorLimit.tryContinue()) throw cause
    }

    private fun haltOnBrokenInvariant(cause: Throwable) {
        journal.log(LogEvent.INVARIANT_BROKEN, mapOf("cause" to cause.stackTraceToString()))
        journal.close()
        Runtime.getRuntime().halt(EXIT_INVARIANT_BROKEN)
    }
}
