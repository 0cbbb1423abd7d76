package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class RetryBudgetTest {
    private val bounds = TestGateway().world.bounds

    @Test
    fun `the shares of all processes together stay within the budget`() {
        val budgets = List(8) { RetryBudget() }
        budgets.forEach { budget -> repeat(100) { budget.addCall(0) } }
        val granted = budgets.sumOf { budget ->
            (1..200).count { budget.tryAcquire(1, bounds, vms = 8) }
        }

        expectThat(granted.toDouble()).isLessThanOrEqualTo(0.2 * 800 + 56)
    }

    @Test
    fun `extra arrivals return to the budget when they leave the window`() {
        val budget = RetryBudget()
        while (budget.tryAcquire(0, bounds, vms = 1)) Unit

        expectThat(budget.tryAcquire(9_999, bounds, vms = 1)).isFalse()
        expectThat(budget.tryAcquire(10_001, bounds, vms = 1)).isTrue()
    }
}
