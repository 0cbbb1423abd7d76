package org.pomeloladder.bench

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class ArrivalsTest {
    @Test
    fun `one seed yields one sequence, so that policy and baseline get the same load`() {
        val first = poissonArrivals(Random(7), 10_000, 50.0)

        expectThat(poissonArrivals(Random(7), 10_000, 50.0)).isEqualTo(first)
        expectThat(poissonArrivals(Random(8), 10_000, 50.0)).isNotEqualTo(first)
    }

    @Test
    fun `arrivals match the rate and stay within the run, so that the load level is right`() {
        val times = poissonArrivals(Random(1), 100_000, 50.0)

        expectThat(times).all { isLessThan(100_000.0) }
        expectThat(times.size).isIn(4_700..5_300)
        expectThat(times.sorted()).isEqualTo(times)
    }

    @Test
    fun `a varying relative rate thins arrivals where it is low, so that peaks occur`() {
        val times = poissonArrivals(Random(1), 100_000, 50.0) { if (it < 50_000) 0.1 else 1.0 }

        expectThat(times.count { it < 50_000 }).isIn(200..300)
        expectThat(times.count { it >= 50_000 }).isIn(2_300..2_700)
    }
}
