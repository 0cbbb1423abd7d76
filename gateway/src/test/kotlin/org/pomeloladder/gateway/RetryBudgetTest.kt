package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class RetryBudgetTest {
    private val bounds = TestGateway().world.bounds

    @Test
    fun `the shares of all processes together stay within the budget`() {
        val budgets = List(8) { RetryBudget() }
        budgets.forEach { budget -> repeat(100) { budget.addCall(0) } }
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
        expectThat(budget.tryAcquire(11_051, bounds, slack = bounds.retrySlack)).isNotNull()
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

    private fun RetryBudget.exhaust(nowMs: Long) {
        while (tryAcquire(nowMs, bounds, slack = bounds.retrySlack) != null) Unit
    }
}
