/*
 * Counts the arrivals at servers that reject most requests, over all entry VMs, as the platform's
 * rule on retries does: with relayed calls, restarts, and VMs that do not see each other.
 */
package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

class GatewayRetryBudgetTest {
    /** Arrivals of refused relayed calls must be paid for by the VM of the caller. */
    @Test
    fun `rejected arrivals stay within the budget when calls are relayed`() {
        val cluster = cluster(BURST_BOUNDS, Rejections(share = 0.6), SEEN_BY_ALL)
        cluster.judge(BURST) { Thread.sleep(BURST_MS) }
    }

    /** Late rejections must not move arrivals into a window that did not pay for them. */
    @Test
    fun `late rejections stay within the budget when calls are relayed`() {
        val cluster = cluster(BURST_BOUNDS, Rejections(share = 0.6, afterMs = 1_000), SEEN_BY_ALL)
        cluster.judge(LATE_BURST) { Thread.sleep(BURST_MS) }
    }

    /** A restarted process must not get a share of the slack that its predecessor has used. */
    @Test
    fun `restarts one after the other add nothing to the budget`() {
        val cluster = cluster(RESTART_BOUNDS, Rejections(share = 0.9), SEEN_BY_ALL)
        cluster.judge(TRICKLE) {
            Thread.sleep(LONGER_THAN_WINDOW_MS)
            for (process in cluster.processes) {
                process.kill()
                process.start()
                Thread.sleep(RESTART_INTERVAL_MS)
            }
            cluster.processes.forEach { it.awaitReady() }
            Thread.sleep(SPEND_MS)
        }
    }

    /** The same when no process is left that knows what was spent. */
    @Test
    fun `a restart of all processes at once adds nothing to the budget`() {
        val cluster = cluster(RESTART_BOUNDS, Rejections(share = 0.9), SEEN_BY_ALL)
        cluster.judge(TRICKLE) {
            Thread.sleep(LONGER_THAN_WINDOW_MS)
            cluster.processes.forEach { it.kill() }
            cluster.processes.forEach { it.start() }
            cluster.processes.forEach { it.awaitReady() }
            Thread.sleep(SPEND_MS)
        }
    }

    /** A VM that sees no other must not take the whole slack. */
    @Test
    fun `processes that started without seeing each other share one budget`() {
        val apart = SEEN_BY_ALL.mapIndexed { index, vm -> RetryVm(vm.number, vm.region, index + 1) }
        val cluster = cluster(SLACK_BOUNDS, Rejections(share = 0.9), apart)
        cluster.judge(TRICKLE) { Thread.sleep(TWO_WINDOWS_MS) }
    }

    private fun cluster(bounds: RetryBounds, rejections: Rejections, vms: List<RetryVm>) =
        RetryBudgetCluster(bounds, rejections, vms, seedNumbers = listOf(2, 3))

    /** Runs [disturb] under [load] and judges all windows of each service. */
    private fun RetryBudgetCluster.judge(load: RetryLoad, disturb: () -> Unit) = use {
        start()
        startCallers(load)
        disturb()
        stopCallers()
        val audits = audits()
        val worst = audits.mapValues { it.value.worstWindow() }
        println("worst windows: $worst")

        // The worst window may be one without callers, so all arrivals count for this.
        expectThat(audits.values.map { it.extraArrivals }).all { isGreaterThan(MIN_EXTRA_ARRIVALS) }
        expectThat(worst.values.filterNotNull().filter { it.isExceeded }).isEmpty()
    }

    private companion object {
        /** Few enough to be reached by the ratio alone, but enough that the audit has a case. */
        const val MIN_EXTRA_ARRIVALS = 8
        const val BURST_MS = 4_000L

        /** Time in which callers send after a disturbance. */
        const val SPEND_MS = 1_500L
        const val RESTART_INTERVAL_MS = 400L

        /** After it the processes have their shares of the slack. */
        const val LONGER_THAN_WINDOW_MS = 7_500L
        const val TWO_WINDOWS_MS = 6_000L

        /** Small slack and a short window, so that unpaid arrivals exceed the bound at once. */
        val BURST_BOUNDS = RetryBounds(ratio = 0.2, slack = 8.0, windowMs = 3_000)

        /** Much slack for few requests, so that a slack that is counted twice exceeds the bound. */
        val SLACK_BOUNDS = RetryBounds(ratio = 0.2, slack = 60.0, windowMs = 3_000)

        /** A window in which a process can stop and start again. */
        val RESTART_BOUNDS = RetryBounds(ratio = 0.2, slack = 60.0, windowMs = 5_000)
        val BURST = RetryLoad(callers = 24, pauseMs = 20, comesBackAtOnce = true)
        val LATE_BURST = RetryLoad(callers = 80, pauseMs = 20, comesBackAtOnce = true)
        val TRICKLE = RetryLoad(callers = 10, pauseMs = 100, comesBackAtOnce = false)
        val SEEN_BY_ALL = listOf(
            RetryVm(2, "north"),
            RetryVm(3, "north"),
            RetryVm(4, "north"),
            RetryVm(5, "south"),
            RetryVm(6, "south"),
        )
    }
}
