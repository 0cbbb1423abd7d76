/*
 * Draws faults and planned work from a seed and lets them overlap. Every fault ends by itself; [SoakFaults.endAll] waits
 * for that and repairs what is left.
 */
package org.pomeloladder.bench

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.pomeloladder.standins.BOTH_WAYS
import org.pomeloladder.standins.Direction
import org.pomeloladder.standins.Fault
import org.pomeloladder.standins.FaultProxy
import org.pomeloladder.standins.ServerMode

/** Injects faults into [cluster] as [seed] draws them, and notes each in [history]. */
internal class SoakFaults(private val cluster: SoakCluster, seed: Long) {
    private val random = Random(seed)

    /** Draws kinds of faults that came later, so that older seeds keep their series. */
    private val laterKinds = Random(seed xor LATER_KINDS)
    private val later = Executors.newScheduledThreadPool(FAULT_THREADS)
    private val startedNanos = System.nanoTime()

    /** What was done and when, for the report of a failed run. */
    val history = ArrayList<String>()

    /** Draws one fault after another for [durationMs]. */
    fun run(durationMs: Long) {
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs)
        while (System.nanoTime() < untilNanos) {
            Thread.sleep(random.nextLong(LEAST_GAP_MS, MOST_GAP_MS))
            inject()
            if (laterKinds.nextInt(LATER_KINDS_EVERY) == 0) injectLaterKind()
        }
    }

    /** Lets the faults under way end, heals all proxies and starts what is down. */
    fun endAll() {
        later.shutdown()
        later.awaitTermination(END_TIMEOUT_S, TimeUnit.SECONDS)
        cluster.store.isRefusing = false
        cluster.servers.forEach {
            it.proxy.heal()
            it.standIn.mode = ServerMode.SOUND
            cluster.store.put(it.key, it.entry())
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
        val forMs = random.nextLong(LEAST_FAULT_MS, MOST_FAULT_MS)
        val name = vm.process.callers.host
        when (random.nextInt(FAULT_KINDS)) {
            0 -> stop(vm, "KILL", forMs)
            1 -> stop(vm, "TERM", forMs)
            2 -> pause(vm, forMs)
            3 -> proxyFault("store of $name", vm.storeProxy, forMs)
            4 -> proxyFault(server.key, server.proxy, forMs)
            5 -> changeMood(server, forMs)
            6 -> note("new configuration") {
                val slackMs = random.nextInt(CONFIG_SPREAD_MS)
                cluster.publishConfig(SoakCluster.FIRST_TIMEOUT_MS + slackMs)
            }
            7 -> note("history lost") { cluster.store.dropHistory() }
            8 -> {
                note("store refuses for $forMs ms") { cluster.store.isRefusing = true }
                after(forMs) { cluster.store.isRefusing = false }
            }
            9 -> note("HUP to $name") { if (!vm.isDown) vm.process.signal("HUP") }
            else -> drain(server, forMs)
        }
    }

    private fun injectLaterKind() {
        val forMs = laterKinds.nextLong(LEAST_FAULT_MS, MOST_FAULT_MS)
        val flood = FLOODS[laterKinds.nextInt(FLOODS.size)]
        val server = cluster.servers[laterKinds.nextInt(cluster.servers.size)]
        val vm = cluster.vms[laterKinds.nextInt(cluster.vms.size)]
        when (laterKinds.nextInt(LATER_KINDS_COUNT)) {
            0 -> stopAll(forMs)
            1 -> disturbStart(vm, forMs)
            2 -> flood(flood, "store of ${vm.process.callers.host}", vm.storeProxy, forMs)
            else -> flood(flood, server.key, server.proxy, forMs)
        }
    }

    private fun flood(fault: Fault, what: String, proxy: FaultProxy, forMs: Long) {
        note("$fault at $what for $forMs ms") { proxy.inject(fault) }
        after(forMs) { proxy.heal() }
    }

    private fun stopAll(forMs: Long) {
        val up = cluster.vms.filter { !it.isDown }
        up.forEach { it.isDown = true }
        note("KILL to all") { up.forEach { it.process.signal("KILL") } }
        up.forEach { after(forMs) { restart(it) } }
    }

    /** Starts the process again with signals from its first moment on; the last of them ends it. */
    private fun disturbStart(vm: SoakVm, forMs: Long) {
        if (vm.isDown || cluster.vms.count { !it.isDown } <= LEAST_UP) return
        vm.isDown = true
        val pausesMs = List(SIGNALS) { laterKinds.nextLong(MOST_SIGNAL_GAP_MS) }
        val signals = List(SIGNALS - 1) { if (laterKinds.nextBoolean()) "HUP" else "TERM" } + "TERM"
        val name = vm.process.callers.host
        note("KILL to $name, start and $signals after $pausesMs ms") { vm.process.signal("KILL") }
        after(forMs) {
            vm.process.awaitEnd()
            vm.process.start()
            pausesMs.zip(signals).forEach { (pauseMs, signal) ->
                Thread.sleep(pauseMs)
                vm.process.signal(signal)
            }
            restart(vm)
        }
    }

    private fun stop(vm: SoakVm, signal: String, forMs: Long) {
        // At least two processes stay up, so that callers and peers find one.
        if (vm.isDown || cluster.vms.count { !it.isDown } <= LEAST_UP) return
        vm.isDown = true
        note("$signal to ${vm.process.callers.host}") { vm.process.signal(signal) }
        after(forMs) { restart(vm) }
    }

    private fun restart(vm: SoakVm) {
        vm.process.signal("CONT")
        if (!vm.process.awaitEnd()) {
            cluster.violations += "${vm.process.callers} did not end after SIGTERM"
            vm.process.kill()
        }
        vm.process.start()
        vm.isDown = false
    }

    private fun pause(vm: SoakVm, forMs: Long) {
        if (vm.isDown) return
        note("pause of ${vm.process.callers.host} for $forMs ms") { vm.process.signal("STOP") }
        after(forMs) { vm.process.signal("CONT") }
    }

    private fun proxyFault(what: String, proxy: FaultProxy, forMs: Long) {
        val oneWay = setOf(Direction.entries[random.nextInt(Direction.entries.size)])
        val faults = listOf(
            Fault.Refuse,
            Fault.Delay(random.nextLong(MOST_DELAY_MS)),
            Fault.Hold(oneWay),
            Fault.Hold(BOTH_WAYS),
            Fault.Cut(oneWay),
        )
        val fault = faults[random.nextInt(faults.size)]
        note("$fault at $what for $forMs ms") { proxy.inject(fault) }
        after(forMs) { proxy.heal() }
    }

    private fun changeMood(server: SoakServer, forMs: Long) {
        val mood = ServerMode.entries[random.nextInt(ServerMode.entries.size)]
        note("$mood at ${server.key} for $forMs ms") { server.standIn.mode = mood }
        after(forMs) { server.standIn.mode = ServerMode.SOUND }
    }

    private fun drain(server: SoakServer, forMs: Long) {
        note("${server.key} leaves and is back ${forMs + GONE_MS} ms later") {
            cluster.store.put(server.key, server.entry("draining"))
        }
        after(GONE_MS) { cluster.store.remove(server.key) }
        after(GONE_MS + forMs) { cluster.store.put(server.key, server.entry()) }
    }

    private fun note(what: String, act: () -> Unit) {
        val atMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS
        history += "$atMs ms: $what"
        act()
    }

    private fun after(delayMs: Long, act: () -> Unit) {
        later.schedule(act, delayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val FAULT_THREADS = 4
        const val FAULT_KINDS = 11
        const val LATER_KINDS = 0x5eedL
        const val LATER_KINDS_COUNT = 6
        const val LATER_KINDS_EVERY = 3
        const val SIGNALS = 5
        const val MOST_SIGNAL_GAP_MS = 400L
        val FLOODS = listOf(
            Fault.Flood("", "\r\n"),
            Fault.Flood("", "HTTP/1.1 100 Continue\r\n\r\n"),
            Fault.Flood("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
            Fault.Flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
        )
        const val LEAST_GAP_MS = 200L
        const val MOST_GAP_MS = 900L
        const val LEAST_FAULT_MS = 100L
        const val MOST_FAULT_MS = 3_000L
        const val MOST_DELAY_MS = 400L
        const val CONFIG_SPREAD_MS = 500
        const val GONE_MS = 1_000L
        const val LEAST_UP = 2
        const val END_TIMEOUT_S = 60L
    }
}
