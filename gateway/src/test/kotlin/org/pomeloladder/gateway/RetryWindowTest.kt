package org.pomeloladder.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class RetryWindowTest {
    private val bounds = TestGateway().world.bounds

    @Test
    fun `the shares of all processes together stay within the budget`() {
        val windows = List(8) { RetryWindow() }
        windows.forEach { window -> repeat(100) { window.call(0) } }
        val taken = windows.sumOf { window -> (1..200).count { window.take(1, bounds, vms = 8) } }

        expectThat(taken.toDouble()).isLessThanOrEqualTo(0.2 * 800 + 56)
    }

    @Test
    fun `the budget comes back when the window has passed`() {
        val window = RetryWindow()
        while (window.take(0, bounds, vms = 1)) Unit

        expectThat(window.take(9_999, bounds, vms = 1)).isFalse()
        expectThat(window.take(10_001, bounds, vms = 1)).isTrue()
    }
}
