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
            (1..200).count { budget.tryAcquire(1, bounds, vms = 8) != null }
        }

        expectThat(granted.toDouble()).isLessThanOrEqualTo(0.2 * 800 + 56)
    }

    @Test
    fun `extra arrivals return to the budget when they leave the window`() {
        val budget = RetryBudget()
        budget.exhaust(0)

        expectThat(budget.tryAcquire(9_999, bounds, vms = 1)).isNull()
        expectThat(budget.tryAcquire(10_001, bounds, vms = 1)).isNotNull()
    }

    // Guards against a refund of a later arrival, after which the window holds one too many.
    @Test
    fun `a refund returns the arrival that was not sent, not a later one`() {
        val budget = RetryBudget()
        val unsent = checkNotNull(budget.tryAcquire(0, bounds, vms = 1))
        budget.exhaust(5_000)
        budget.refund(unsent)
        budget.exhaust(6_000)

        // Nothing of the arrivals at 5 s and later has left the window.
        expectThat(budget.tryAcquire(14_000, bounds, vms = 1)).isNull()
    }

    private fun RetryBudget.exhaust(nowMs: Long) {
        while (tryAcquire(nowMs, bounds, vms = 1) != null) Unit
    }
}
