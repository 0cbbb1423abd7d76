/*
 * Assembles one entry process from the control thread, the traffic threads and the HTTP listeners.
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

/** The backend servers that this process owns; only the owner polls their load. */
private fun World.ownedServers(): List<BackendServerRecord> =
    backends.filter { it.owner == self.vm }.map { it.record }

/**
 * One entry process. [settings] must be valid. Experiments pass other [policies] than the settings
 * select.
 */
class Daemon(private val settings: Settings, policies: Policies = policiesFor(settings.policies)) {
    // Wall-clock time is used only here, to order the incarnations of one VM.
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val identity = PeerIdentity(
        settings.vm,
        incarnation,
        HexFormat.of().parseHex(settings.sharedKeyHex),
    )
    private val transport = RealPeerTransport(identity, settings.peerListenAddress)
    private val metrics = Metrics(peerBytes(transport.meter))
    private val journal = Log4jJournal(metrics)
    private val stopLatch = CountDownLatch(1)
    private val self = Self(
        vm = settings.vm,
        incarnation = incarnation,
        domain = settings.domain,
        callerAddress = settings.callerListenAddress,
        peerAddress = settings.peerListenAddress,
    )
    private val scheduler = Scheduler(
        World(self).apply { process.isStartConfirmed = false },
        systems(policies),
        Random(incarnation.value xor settings.vm.hashCode().toLong()),
        journal,
    )
    private val controlThread: ControlThread<World, Event, Command> = ControlThread(
        scheduler = scheduler,
        clock = SystemMonotonicClock,
        metrics = metrics,
        execute = { traffic.execute(it) },
        onFailure = ::haltAfterBrokenInvariant,
    )
    private val platform =
        RealPlatformReader(settings.platformAddress, settings.domain, controlThread)
    private val traffic: TrafficPlane = TrafficPlane(
        transport = transport,
        backendClient = RealBackendClient(settings.limits.backendIdleTimeoutMs),
        platform = platform,
        seeds = settings.seeds,
        onHandshakeFailure = { journal.log(LogEvent.PEER_REFUSED, mapOf("reason" to it)) },
        onStop = stopLatch::countDown,
    )
    private val controlAccess = ControlAccess(controlThread)
    private val loadReader = LoadReader({ controlAccess.read { it.ownedServers() } }, controlThread)
    private val callerServer = listener(
        settings.callerListenAddress,
        settings.limits,
        jsonErrors().then(
            CallerApi(traffic, controlAccess, RequestIds(settings.vm, incarnation), settings.limits)
                .handler(),
        ),
    )
    private val administrationServer = listener(
        settings.administrationListenAddress,
        settings.limits,
        AdministrationApi(controlAccess, metrics, settings.administrationKeyHashes).handler(),
    )

    fun start() {
        traffic.start(controlThread)
        controlThread.start()
        platform.start()
        loadReader.start()
        callerServer.start()
        administrationServer.start()
        val details = mapOf("vm" to settings.vm, "incarnation" to incarnation)
        journal.log(LogEvent.STARTED, details)
    }

    /** Requests a graceful shutdown. [awaitStop] returns once it is complete. */
    fun drain() = controlAccess.post(DrainRequested)

    /** Waits until the process is drained, then closes all listeners, threads and connections. */
    fun awaitStop() {
        stopLatch.await()
        callerServer.stop()
        administrationServer.stop()
        loadReader.close()
        controlThread.stop()
        platform.close()
        traffic.close()
        journal.log(LogEvent.STOPPED)
    }

    private fun haltAfterBrokenInvariant(cause: Throwable) {
        journal.log(LogEvent.INVARIANT_BROKEN, mapOf("cause" to cause.stackTraceToString()))
        Runtime.getRuntime().halt(EXIT_INVARIANT_BROKEN)
    }

    companion object {
        /** Exit code of a process that stops because an internal invariant is broken. */
        const val EXIT_INVARIANT_BROKEN = 70
    }
}
