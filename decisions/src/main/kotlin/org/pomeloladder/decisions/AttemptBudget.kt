/*
 * Limits retries and hedged attempts to a share of the requests.
 */
package org.pomeloladder.decisions

/** Units that one extra attempt costs. Integer units add up many small shares exactly. */
private const val UNITS_PER_ATTEMPT = 1_000L

/** Extra attempts that are available before any request has been counted. */
private const val INITIAL_ATTEMPTS = 3L

/**
 * Upper bound of the saved attempts, so that an outage after a quiet period does not begin with a
 * burst of extra attempts.
 */
private const val MAX_ATTEMPTS = 50L

/** A token bucket that gains [share] tokens per request; an extra attempt costs one token. */
class AttemptBudget(share: Double) {
    private val unitsPerRequest = (share * UNITS_PER_ATTEMPT).toLong()
    private var availableUnits = INITIAL_ATTEMPTS * UNITS_PER_ATTEMPT

    fun deposit() {
        availableUnits = minOf(MAX_ATTEMPTS * UNITS_PER_ATTEMPT, availableUnits + unitsPerRequest)
    }

    /** Withdraws the cost of one extra attempt, or returns false if the budget is too low. */
    fun tryWithdraw(): Boolean {
        if (availableUnits < UNITS_PER_ATTEMPT) return false
        availableUnits -= UNITS_PER_ATTEMPT
        return true
    }
}
