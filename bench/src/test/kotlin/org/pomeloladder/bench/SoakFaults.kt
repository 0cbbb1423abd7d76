/*
 * Draws overlapping faults and planned operations from a seed. Every fault ends after its drawn
 * duration; [SoakFaults.endAll] waits for that and restores the deployment.
 */
package org.pomeloladder.bench

import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Direction
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.FaultProxy
import org.pomeloladder.standins.Rejection
import org.pomeloladder.standins.RouteServerStandIn
import org.pomeloladder.standins.ServerMode

/** Injects faults drawn from a seed into [cluster] and records each in [history]. */
internal class SoakFaults(
    private val cluster: SoakCluster,
    private val callers: SoakCallers,
    seed: Long,
) {
    private val random = Random(seed)

    /** A separate generator for newer kinds of faults, so that older seeds draw the same series. */
    private val laterKinds = Random(seed xor LATER_KINDS_SEED_MASK)

    /** Likewise for rejections, bursts, series of restarts and faults at stuttering servers. */
    private val newestKinds = Random(seed xor NEWEST_KINDS_SEED_MASK)

    /** Likewise for silences of the store and limits of servers. */
    private val latestKinds = Random(seed xor LATEST_KINDS_SEED_MASK)
    private val schedule = FaultSchedule()

    /** Likewise for servers that start again under their id and for restores of the store. */
    private val restarts = SoakRestarts(cluster, schedule, seed)

    /** The injected faults with their times, for the report of a failed run. */
    val history: Collection<String>
        get() = schedule.history

    /** Injects one fault after another for [durationMs]. */
    fun run(durationMs: Long) {
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs)
        while (System.nanoTime() < untilNanos) {
            Thread.sleep(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
            inject()
            if (laterKinds.nextInt(LATER_KINDS_INTERVAL) == 0) injectLaterKind()
            if (newestKinds.nextInt(NEWEST_KINDS_INTERVAL) == 0) injectNewestKind()
            if (latestKinds.nextInt(LATEST_KINDS_INTERVAL) == 0) injectLatestKind()
            restarts.injectRarely()
        }
    }

    /** Waits for active faults to end, heals all proxies and restarts stopped processes. */
    fun endAll() {
        schedule.awaitEnd()
        cluster.store.isRefusing = false
        cluster.store.isSilent = false
        cluster.servers.forEach { it.standIn.mode = ServerMode.SOUND }
        cluster.allServers.forEach {
            it.proxy.heal()
            it.standIn.rejection = null
            // Needless writes would hide processes that read no changes since a restore.
            if (it.state != "ready") cluster.report(it, "ready")
        }
        for (vm in cluster.vms) {
            vm.storeProxy.heal()
            if (!vm.isDown && !vm.process.isAlive) {
                val code = vm.process.exitCode
                cluster.violations += "${vm.process.callers} ended by itself with $code"
            }
            if (vm.isDown) restart(vm) else vm.process.signal("CONT")
        }
    }

    private fun inject() {
        val vm = cluster.vms[random.nextInt(cluster.vms.size)]
        val server = cluster.servers[random.nextInt(cluster.servers.size)]
        val forMs = random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        val name = vm.process.callers.host
        when (random.nextInt(FAULT_KINDS)) {
            0 -> stop(vm, "KILL", forMs)
            1 -> stop(vm, "TERM", forMs)
            2 -> pause(vm, forMs)
            3 -> proxyFault("store of $name", vm.storeProxy, forMs)
            4 -> proxyFault(server.key, server.proxy, forMs, server)
            5 -> changeMood(server, forMs)
            6 -> record("new configuration") {
                val slackMs = random.nextInt(CONFIG_SPREAD_MS)
                cluster.publishConfig(SoakCluster.INITIAL_TIMEOUT_MS + slackMs)
            }
            7 -> record("history lost") { cluster.store.dropHistory() }
            8 -> {
                record("store refuses for $forMs ms") { cluster.store.isRefusing = true }
                runAfter(forMs) { cluster.store.isRefusing = false }
            }
            9 -> record("HUP to $name") { if (!vm.isDown) vm.process.signal("HUP") }
            else -> drain(server, forMs)
        }
    }

    private fun injectLaterKind() {
        val forMs = laterKinds.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        val flood = FLOODS[laterKinds.nextInt(FLOODS.size)]
        val server = cluster.servers[laterKinds.nextInt(cluster.servers.size)]
        val vm = cluster.vms[laterKinds.nextInt(cluster.vms.size)]
        when (laterKinds.nextInt(LATER_KINDS_COUNT)) {
            0 -> killAll(forMs)
            1 -> signalDuringStart(vm, forMs)
            2 -> flood(flood, "store of ${vm.process.callers.host}", vm.storeProxy, forMs)
            else -> flood(flood, server.key, server.proxy, forMs)
        }
    }

    private fun flood(fault: Fault, what: String, proxy: FaultProxy, forMs: Long) {
        record("$fault at $what for $forMs ms") { proxy.inject(fault) }
        runAfter(forMs) { proxy.heal() }
    }

    private fun killAll(forMs: Long) {
        val up = cluster.vms.filter { !it.isDown }
        up.forEach { it.isDown = true }
        record("KILL to all") { up.forEach { it.process.signal("KILL") } }
        up.forEach { runAfter(forMs) { restart(it) } }
    }

    /** Restarts the process and sends signals from its start on; the last of them ends it. */
    private fun signalDuringStart(vm: SoakVm, forMs: Long) {
        if (vm.isDown || cluster.vms.count { !it.isDown } <= MIN_RUNNING_VMS) return
        vm.isDown = true
        val pausesMs = List(SIGNALS) { laterKinds.nextLong(MAX_SIGNAL_GAP_MS) }
        val signals = List(SIGNALS - 1) { if (laterKinds.nextBoolean()) "HUP" else "TERM" } + "TERM"
        val name = vm.process.callers.host
        record("KILL to $name, start and $signals after $pausesMs ms") { vm.process.signal("KILL") }
        runAfter(forMs) {
            vm.process.awaitEnd()
            vm.process.start()
            pausesMs.zip(signals).forEach { (pauseMs, signal) ->
                Thread.sleep(pauseMs)
                vm.process.signal(signal)
            }
            restart(vm)
        }
    }

    private fun injectNewestKind() {
        val forMs = newestKinds.nextLong(MIN_NEWEST_FAULT_MS, MAX_NEWEST_FAULT_MS)
        val service = cluster.servers.random(newestKinds).service
        val ofService = cluster.allServers.filter { it.service == service }.shuffled(newestKinds)
        when (newestKinds.nextInt(NEWEST_KINDS_COUNT)) {
            0 -> reject(ofService.take(1), forMs)
            1 -> reject(ofService.drop(1), forMs)
            2 -> reject(cluster.allServers, forMs)
            3 -> burst(forMs)
            4 -> restartInSeries(forMs)
            5 -> holdStutterer(forMs)
            else -> {
                reject(cluster.allServers, forMs)
                burst(forMs)
                restartInSeries(forMs)
            }
        }
    }

    private fun injectLatestKind() {
        val forMs = latestKinds.nextLong(MIN_NEWEST_FAULT_MS, MAX_NEWEST_FAULT_MS)
        if (latestKinds.nextBoolean()) silenceStore(forMs / SILENCE_DIVISOR) else limit(forMs)
    }

    /** Silences the store between two changes of the configuration. */
    private fun silenceStore(forMs: Long) {
        record("store silent for $forMs ms") {
            cluster.publishConfig(SoakCluster.INITIAL_TIMEOUT_MS)
            cluster.store.isSilent = true
        }
        runAfter(forMs) {
            cluster.store.isSilent = false
            cluster.publishConfig(SoakCluster.INITIAL_TIMEOUT_MS + 1)
        }
    }

    private fun limit(forMs: Long) {
        val free = cluster.servers.filter { it.standIn.limitPerS == null }
        val servers = free.take(latestKinds.nextInt(1, cluster.servers.size + 1))
        val perS = latestKinds.nextDouble(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S)
        record("limit of $perS at ${servers.map { it.key }} for $forMs ms") {
            servers.forEach { it.standIn.limitPerS = perS }
        }
        val fromMs = RouteServerStandIn.monotonicMs()
        runAfter(forMs) {
            val untilMs = RouteServerStandIn.monotonicMs()
            for (server in servers) {
                server.standIn.limitPerS = null
                cluster.limitPeriods += LimitPeriod(server.standIn, perS, fromMs, untilMs)
            }
        }
    }

    private fun reject(servers: List<SoakServer<*>>, forMs: Long) {
        val share = newestKinds.nextDouble(MIN_REJECTED_SHARE, 1.0)
        val rejection = Rejection(share, REJECTED_STATUSES.random(newestKinds))
        record("$rejection at ${servers.map { it.key }} for $forMs ms") {
            servers.forEach { it.standIn.rejection = rejection }
        }
        runAfter(forMs) { servers.forEach { it.standIn.rejection = null } }
    }

    private fun holdStutterer(forMs: Long) {
        val server = cluster.stutterers.random(newestKinds)
        val fault = HOLDS.random(newestKinds)
        record("$fault at ${server.key} for $forMs ms") { server.proxy.inject(fault) }
        runAfter(forMs) { server.proxy.heal() }
    }

    private fun burst(forMs: Long) {
        val count = newestKinds.nextInt(MIN_BURST_CALLERS, MAX_BURST_CALLERS)
        record("burst of $count callers for $forMs ms") { callers.burst(count, forMs) }
    }

    /** Restarts a drawn number of VMs again and again, each after a gap of its own, for [forMs]. */
    private fun restartInSeries(forMs: Long) {
        val up = cluster.vms.filter { !it.isDown }.shuffled(newestKinds)
        val restarted = up.take(newestKinds.nextInt(up.size + 1))
        for (vm in restarted) {
            vm.isDown = true
            val gapMs = newestKinds.nextLong(MIN_RESTART_GAP_MS, MAX_RESTART_GAP_MS)
            for (atMs in 0 until forMs step gapMs) {
                runAfter(atMs) { killAndStart(vm, isLast = atMs + gapMs >= forMs) }
            }
        }
    }

    private fun killAndStart(vm: SoakVm, isLast: Boolean) = synchronized(vm) {
        record("KILL to ${vm.process.callers.host} and start") { vm.process.signal("KILL") }
        restart(vm)
        vm.isDown = !isLast
    }

    private fun stop(vm: SoakVm, signal: String, forMs: Long) {
        // At least two processes stay up, so that callers and peers always reach one.
        if (vm.isDown || cluster.vms.count { !it.isDown } <= MIN_RUNNING_VMS) return
        vm.isDown = true
        record("$signal to ${vm.process.callers.host}") { vm.process.signal(signal) }
        runAfter(forMs) { restart(vm) }
    }

    private fun restart(vm: SoakVm) {
        vm.process.signal("CONT")
        if (!vm.process.awaitEnd()) {
            cluster.violations += "${vm.process.callers} did not exit after SIGTERM"
            vm.process.kill()
        }
        vm.process.start()
        vm.isDown = false
    }

    private fun pause(vm: SoakVm, forMs: Long) {
        if (vm.isDown) return
        record("pause of ${vm.process.callers.host} for $forMs ms") { vm.process.signal("STOP") }
        runAfter(forMs) { vm.process.signal("CONT") }
    }

    /** Injects a fault at [proxy], which is the one of [server] unless that is null. */
    private fun proxyFault(
        what: String,
        proxy: FaultProxy,
        forMs: Long,
        server: SoakServer<*>? = null,
    ) {
        val oneWay = setOf(Direction.entries[random.nextInt(Direction.entries.size)])
        val faults = listOf(
            Fault.Refuse,
            Fault.Delay(random.nextLong(MAX_DELAY_MS)),
            Fault.Hold(oneWay),
            Fault.Hold(BOTH_WAYS),
            Fault.Cut(oneWay),
        )
        val fault = faults[random.nextInt(faults.size)]
        val holdsRequests = fault is Fault.Hold && Direction.TO_TARGET in fault.directions
        if (holdsRequests || fault is Fault.Delay) server?.expectHeldRequests(forMs)
        record("$fault at $what for $forMs ms") { proxy.inject(fault) }
        runAfter(forMs) { proxy.heal() }
    }

    private fun changeMood(server: SoakServer<RouteServerStandIn>, forMs: Long) {
        val mood = ServerMode.entries[random.nextInt(ServerMode.entries.size)]
        record("$mood at ${server.key} for $forMs ms") { server.standIn.mode = mood }
        runAfter(forMs) { server.standIn.mode = ServerMode.SOUND }
    }

    private fun drain(server: SoakServer<RouteServerStandIn>, forMs: Long) {
        record("${server.key} is drained and returns ${forMs + ABSENCE_MS} ms later") {
            cluster.report(server, "draining")
        }
        runAfter(ABSENCE_MS) { cluster.report(server, null) }
        runAfter(ABSENCE_MS + forMs) { cluster.report(server, "ready") }
    }

    private fun record(what: String, action: () -> Unit) = schedule.record(what, action)

    private fun runAfter(delayMs: Long, action: () -> Unit) = schedule.runAfter(delayMs, action)

    private companion object {
        const val FAULT_KINDS = 11
        const val LATER_KINDS_SEED_MASK = 0x5eedL
        const val LATER_KINDS_COUNT = 6
        const val LATER_KINDS_INTERVAL = 3
        const val NEWEST_KINDS_SEED_MASK = 0x7e7215L
        const val LATEST_KINDS_SEED_MASK = 0x51_1E_17L
        const val LATEST_KINDS_INTERVAL = 12
        const val SILENCE_DIVISOR = 3
        const val MIN_LIMIT_PER_S = 0.3
        const val MAX_LIMIT_PER_S = 20.0
        const val NEWEST_KINDS_COUNT = 7
        const val NEWEST_KINDS_INTERVAL = 2
        const val MIN_NEWEST_FAULT_MS = 1_000L
        const val MAX_NEWEST_FAULT_MS = 8_000L
        const val MIN_REJECTED_SHARE = 0.2
        val HOLDS = listOf(
            Fault.Delay(MAX_DELAY_MS),
            Fault.Hold(setOf(Direction.TO_SOURCE)),
            Fault.Cut(setOf(Direction.TO_SOURCE)),
        )
        val REJECTED_STATUSES = listOf(503, 429)
        const val MIN_BURST_CALLERS = 8
        const val MAX_BURST_CALLERS = 48
        const val MIN_RESTART_GAP_MS = 1_500L
        const val MAX_RESTART_GAP_MS = 4_000L
        const val SIGNALS = 5
        const val MAX_SIGNAL_GAP_MS = 400L
        val FLOODS = listOf(
            Fault.Flood("", "\r\n"),
            Fault.Flood("", "HTTP/1.1 100 Continue\r\n\r\n"),
            Fault.Flood("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
            Fault.Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
        )
        const val MIN_GAP_MS = 200L
        const val MAX_GAP_MS = 900L
        const val MIN_FAULT_MS = 100L
        const val MAX_FAULT_MS = 3_000L
        const val MAX_DELAY_MS = 400L
        const val CONFIG_SPREAD_MS = 500
        const val ABSENCE_MS = 1_000L
        const val MIN_RUNNING_VMS = 2
    }
}
