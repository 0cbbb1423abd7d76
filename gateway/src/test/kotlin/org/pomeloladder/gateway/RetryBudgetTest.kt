package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class RetryBudgetTest {
    private val bounds = TestGateway().world.bounds

    @Test
    fun `the shares of all processes together stay within the budget`() {
        val budgets = List(8) { RetryBudget() }
        budgets.forEach { budget -> repeat(100) { budget.addCall(0, bounds) } }
        val granted = budgets.sumOf { budget ->
            (1..200).count { budget.tryAcquire(1, bounds, slack = bounds.retrySlack / 8) != null }
        }

        expectThat(granted.toDouble()).isLessThanOrEqualTo(0.2 * 800 + 56)
    }

    @Test
    fun `extra arrivals return to the budget when they leave the window`() {
        val budget = RetryBudget()
        budget.exhaust(0)

        expectThat(budget.tryAcquire(9_999, bounds, slack = bounds.retrySlack)).isNull()
        expectThat(budget.tryAcquire(11_200, bounds, slack = bounds.retrySlack)).isNotNull()
    }

    // Guards against a window in which late arrivals meet those that are sent in it.
    @Test
    fun `a send counts until it cannot arrive within the window any more`() {
        val budget = RetryBudget()
        budget.exhaust(0)

        expectThat(budget.tryAcquire(11_000, bounds, slack = bounds.retrySlack)).isNull()
    }

    // Guards against a refund of a later arrival, after which the window holds one too many.
    @Test
    fun `a refund returns the arrival that was not sent, not a later one`() {
        val budget = RetryBudget()
        val unsent = checkNotNull(budget.tryAcquire(0, bounds, slack = bounds.retrySlack))
        budget.exhaust(5_000)
        budget.refund(unsent)
        budget.exhaust(6_000)

        // Nothing of the arrivals at 5 s and later has left the window.
        expectThat(budget.tryAcquire(14_000, bounds, slack = bounds.retrySlack)).isNull()
    }

    // Guards against a process that earns once more what an earlier one of its VM has spent (BUDGET).
    @Test
    fun `retries of processes that start again stay within the bound`() {
        val earlier = Player(bounds.retrySlack)
        val later = Player(slack = 0.0)
        for (nowMs in 0L until 11_000L step 5) earlier.play(nowMs, isRetrying = nowMs >= 10_000)
        for (nowMs in 12_000L until 20_000L step 5) later.play(nowMs, isRetrying = true)

        expectThat(worstExcess(earlier, later)).isLessThanOrEqualTo(0.0)
    }

    // Guards against callers that bring the ratio of their calls to other processes within a window.
    @Test
    fun `retries of processes whose callers move stay within the bound`() {
        val players = List(9) { Player(bounds.retrySlack / 9) }
        for (nowMs in 0L until 30_000L step 5) {
            val used = if (nowMs < 11_000) players else players.drop(3)
            val isRetrying = nowMs >= 10_000
            used[(nowMs / 5 % used.size).toInt()].play(nowMs, isRetrying)
            if (isRetrying) used.forEach { it.retry(nowMs) }
        }

        expectThat(worstExcess(*players.toTypedArray())).isLessThanOrEqualTo(0.0)
    }

    // Guards against two bursts that a process counts together and the rule counts apart.
    @Test
    fun `retries between two bursts stay within the bound`() {
        val player = Player(bounds.retrySlack)
        for (nowMs in 0L until 20_000L step 20) {
            val isBurst = nowMs < 500 || nowMs in 9_500 until 10_000
            repeat(if (isBurst) 20 else 0) { player.play(nowMs, isRetrying = false) }
            player.play(nowMs, isRetrying = nowMs >= 9_500)
        }

        expectThat(worstExcess(player)).isLessThanOrEqualTo(0.0)
    }

    // Guards against a budget that grants much less than the rule allows.
    @Test
    fun `under steady load most of the allowed retries are granted`() {
        val player = Player(bounds.retrySlack)
        for (nowMs in 0L until 40_000L step 5) player.play(nowMs, isRetrying = nowMs >= 10_000)
        val granted = player.retriesMs.count { it in 20_000 until 30_000 }

        expectThat(granted).isGreaterThan((0.8 * (0.2 * 2_000 + 56)).toInt())
        expectThat(worstExcess(player)).isLessThanOrEqualTo(0.0)
    }

    /** A process that takes every retry which its budget grants. */
    private inner class Player(private val slack: Double) {
        private val budget = RetryBudget()
        val callsMs = ArrayList<Long>()
        val retriesMs = ArrayList<Long>()

        fun play(nowMs: Long, isRetrying: Boolean) {
            callsMs += nowMs
            budget.addCall(nowMs, bounds)
            if (isRetrying) retry(nowMs)
        }

        fun retry(nowMs: Long) {
            while (budget.tryAcquire(nowMs, bounds, slack) != null) retriesMs += nowMs
        }
    }

    /** The most retries of all [players] above the bound of the platform's rule in any window. */
    private fun worstExcess(vararg players: Player): Double {
        val callsMs = players.flatMap { it.callsMs }
        val retriesMs = players.flatMap { it.retriesMs }
        return retriesMs.distinct().maxOf { fromMs ->
            val calls = listOf(0, bounds.retryWindowMs / 2, bounds.retryWindowMs)
                .maxOf { earlierMs -> callsMs.countWithin(fromMs - earlierMs) }
            val allowed = bounds.retryRatio * calls + bounds.retrySlack
            retriesMs.countWithin(fromMs) - allowed
        }
    }

    private fun List<Long>.countWithin(fromMs: Long) =
        count { it >= fromMs && it < fromMs + bounds.retryWindowMs }

    private fun RetryBudget.exhaust(nowMs: Long) {
        while (tryAcquire(nowMs, bounds, slack = bounds.retrySlack) != null) Unit
    }
}
