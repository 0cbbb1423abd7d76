/*
 * Limits extra attempts to a share of requests.
 */
package org.pomeloladder.decisions

/** Units of one extra attempt. Whole units keep the sum of many small shares exact. */
private const val UNITS = 1_000L

/** Extra attempts that an idle process may make before it has seen more requests. */
private const val LEAST_BUDGET = 3L

/** Bounds what a quiet time can save up, so that an outage does not start with a storm of extra attempts. */
private const val MOST_BUDGET = 50L

/** A token bucket that gains [share] with each request and pays 1 for each extra attempt. */
class AttemptBudget(share: Double) {
    private val earnedUnits = (share * UNITS).toLong()
    private var availableUnits = LEAST_BUDGET * UNITS

    fun deposit() {
        availableUnits = minOf(MOST_BUDGET * UNITS, availableUnits + earnedUnits)
    }

    /** Pays for one extra attempt; returns false when the budget is spent. */
    fun tryWithdraw(): Boolean {
        if (availableUnits < UNITS) return false
        availableUnits -= UNITS
        return true
    }
}
