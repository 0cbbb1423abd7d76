package org.pomeloladder.bench

import org.junit.jupiter.api.Test
import org.pomeloladder.standins.Arrival
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RetryBudgetAuditTest {
    private val bounds = RetryBounds(ratio = 0.2, slack = 1.0, windowMs = 1_000)

    private fun arrivals(requestId: String, vararg timesMs: Long) =
        timesMs.map { Arrival(requestId, it) }

    @Test
    fun `first arrivals are not counted`() {
        val audit = RetryBudgetAudit(listOf(0, 0), arrivals("a", 5) + arrivals("b", 5), bounds)

        expectThat(audit.worstWindow()).isNull()
    }

    @Test
    fun `arrivals beyond the first are counted in every window`() {
        val arrivals = arrivals("a", 0, 900, 950) + arrivals("b", 0, 1_850)
        val audit = RetryBudgetAudit(listOf(0, 0, 0, 0, 0), arrivals, bounds)

        // Three within 950 ms; five requests allow one, and the slack another one.
        expectThat(audit.worstWindow()).isNotNull().and {
            get { fromMs }.isEqualTo(900)
            get { extraArrivals }.isEqualTo(3)
            get { allowed }.isEqualTo(2.0)
            get { isExceeded }.isTrue()
        }
    }

    @Test
    fun `requests of the window before count for the bound`() {
        val requests = List(10) { 100L }
        val audit = RetryBudgetAudit(requests, arrivals("a", 100, 1_000, 1_001, 1_002), bounds)

        expectThat(audit.worstWindow()).isNotNull().get { isExceeded }.isFalse()
    }
}
