/*
 * One entry process: wires the control thread, the traffic side and the HTTP listeners together.
 */
package org.pomeloladder.daemon

import java.util.HexFormat
import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import org.http4k.core.then
import org.pomeloladder.configuration.BackendServerRecord
import org.pomeloladder.decisions.Command
import org.pomeloladder.decisions.DrainRequested
import org.pomeloladder.decisions.Event
import org.pomeloladder.decisions.Incarnation
import org.pomeloladder.decisions.LogEvent
import org.pomeloladder.decisions.Policies
import org.pomeloladder.decisions.Scheduler
import org.pomeloladder.decisions.Self
import org.pomeloladder.decisions.World
import org.pomeloladder.decisions.systems
import org.pomeloladder.peer.PeerIdentity
import org.pomeloladder.peer.RealPeerTransport
import org.pomeloladder.runtime.ControlThread
import org.pomeloladder.runtime.Log4jJournal
import org.pomeloladder.runtime.Metrics
import org.pomeloladder.runtime.SystemMonotonicClock

/** The servers that this process owns and may ask for their load. */
private fun World.ownedServers(): List<BackendServerRecord> =
    backends.filter { it.owner == self.vm }.map { it.record }

/** A running entry process. [settings] are checked; [policies] are those of production unless an experiment sets them. */
class Daemon(
    private val settings: Settings,
    policies: Policies = chosenPolicies(settings.policies),
) {
    // Wall-clock time only orders incarnations of one VM; nothing else uses it.
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val identity = PeerIdentity(
        settings.vm,
        incarnation,
        HexFormat.of().parseHex(settings.sharedKeyHex),
    )
    private val transport = RealPeerTransport(identity, settings.peers)
    private val metrics = Metrics(peerBytes(transport.meter))
    private val journal = Log4jJournal(metrics)
    private val stopped = CountDownLatch(1)
    private val self = Self(
        vm = settings.vm,
        incarnation = incarnation,
        domain = settings.domain,
        callerAddress = settings.callers,
        peerAddress = settings.peers,
    )
    private val scheduler = Scheduler(
        World(self).apply { process.isStartConfirmed = false },
        systems(policies),
        Random(incarnation.value xor settings.vm.hashCode().toLong()),
        journal,
    )
    private val control: ControlThread<World, Event, Command> = ControlThread(
        scheduler = scheduler,
        clock = SystemMonotonicClock,
        metrics = metrics,
        execute = { traffic.execute(it) },
        onFailure = ::stopBroken,
    )
    private val platform = RealPlatformReader(settings.platform, settings.domain, control)
    private val traffic: TrafficPlane = TrafficPlane(
        transport = transport,
        backendClient = RealBackendClient(settings.limits.backendIdleTimeoutMs),
        platform = platform,
        seeds = settings.seeds,
        onPeerRefused = { journal.log(LogEvent.PEER_REFUSED, mapOf("reason" to it)) },
        onStop = stopped::countDown,
    )
    private val access = ControlAccess(control)
    private val loads = LoadReader({ access.read { it.ownedServers() } }, control)
    private val callerServer = listener(
        settings.callers,
        settings.limits,
        typedErrors().then(
            CallerApi(traffic, access, RequestIds(settings.vm, incarnation), settings.limits)
                .handler(),
        ),
    )
    private val administrationServer = listener(
        settings.administration,
        settings.limits,
        AdministrationApi(access, metrics, settings.administrationKeyHashes).handler(),
    )

    fun start() {
        traffic.start(control)
        control.start()
        platform.start()
        loads.start()
        callerServer.start()
        administrationServer.start()
        val details = mapOf("vm" to settings.vm, "incarnation" to incarnation)
        journal.log(LogEvent.STARTED, details)
    }

    /** Asks for a graceful shutdown; [awaitStop] returns when it is finished. */
    fun drain() = access.post(DrainRequested)

    /** Waits until the process is drained, and closes everything. */
    fun awaitStop() {
        stopped.await()
        callerServer.stop()
        administrationServer.stop()
        loads.close()
        control.stop()
        platform.close()
        traffic.close()
        journal.log(LogEvent.STOPPED)
    }

    private fun stopBroken(cause: Throwable) {
        journal.log(LogEvent.INVARIANT_BROKEN, mapOf("cause" to cause.stackTraceToString()))
        Runtime.getRuntime().halt(EXIT_BROKEN)
    }

    companion object {
        /** Exit code after a broken invariant. */
        const val EXIT_BROKEN = 70
    }
}
