/*
 * Randomized soak: real gateway processes under series of overlapping faults from outside. It checks, from what callers
 * and backend servers see, that unsafe requests run at most once, refusals are true, answers are whole and belong to
 * their request, streams have no gap, processes do not end by themselves, and service comes back after the faults.
 *
 * `-Dsoak.seeds=5,9` or `-Dsoak.seeds=10-60` names the seeds, `-Dsoak.ms=15000` the length of each.
 */
package org.pomeloladder.bench

import java.io.File
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

class GatewaySoakTest {
    @TestFactory
    fun `promises hold through series of faults`(): List<DynamicTest> =
        seeds().map { seed -> DynamicTest.dynamicTest("seed $seed") { soak(seed) } }

    private fun seeds(): List<Long> {
        val text = System.getProperty("soak.seeds") ?: return REGRESSION_SEEDS
        return text.split(',').flatMap { range ->
            val ends = range.split('-').map { it.toLong() }
            ends.first()..ends.last()
        }
    }

    private fun soak(seed: Long) {
        val durationMs = System.getProperty("soak.ms")?.toLong() ?: CI_DURATION_MS
        SoakCluster().use { cluster ->
            cluster.start()
            val faults = SoakFaults(cluster, seed)
            val callers = SoakCallers(cluster, seed)
            faults.run(durationMs)
            faults.endAll()
            awaitService(cluster)
            callers.stop()
            if (cluster.violations.isNotEmpty()) report(seed, cluster, faults)

            expectThat(cluster.violations).isEmpty()
            expectThat(callers.served).isGreaterThan(0)
        }
    }

    /** After all faults every VM serves again within the bound on recovery. */
    private fun awaitService(cluster: SoakCluster) {
        val untilNanos = System.nanoTime() + RECOVERY_MS * NANOS_PER_MS
        val waiting = cluster.vms.toMutableList()
        while (waiting.isNotEmpty() && System.nanoTime() < untilNanos) {
            waiting.removeAll { serves(it) }
            Thread.sleep(POLL_MS)
        }
        waiting.forEach { cluster.violations += "${it.process.callers} does not serve again" }
    }

    private fun serves(vm: SoakVm): Boolean = try {
        val address = vm.process.callers
        SoakConnection(address.host, address.port).use {
            it.call("check-${System.nanoTime()}", "/look/x").status == OK
        }
    } catch (_: java.io.IOException) {
        false
    }

    /** Keeps what a failed run needs for being traced. */
    private fun report(seed: Long, cluster: SoakCluster, faults: SoakFaults) {
        val directory = File("target/soak/seed-$seed").apply { mkdirs() }
        File(directory, "violations.txt").writeText(cluster.violations.joinToString("\n"))
        File(directory, "faults.txt").writeText(faults.history.joinToString("\n"))
        cluster.logs().forEach { (host, log) -> File(directory, "$host.log").writeText(log) }
    }

    private companion object {
        /**
         * A short run for CI; each seed that ever failed stays, with a line on its cause. Not yet among
         * them: 48 and 108, SIGHUP before the main function of the process (KNOWN-RED.txt).
         */
        val REGRESSION_SEEDS = listOf(1L, 2L)
        const val CI_DURATION_MS = 12_000L

        /** The platform's bound on recovery. */
        const val RECOVERY_MS = 12_000L
        const val NANOS_PER_MS = 1_000_000L
        const val POLL_MS = 100L
        const val OK = 200
    }
}
