/*
 * Decides when a request that has no first token yet is hedged with a second attempt.
 */
package org.pomeloladder.decisions

/** Minimum hedging delay. For faster answers, a second attempt costs more than it saves. */
const val MIN_HEDGE_DELAY_MS = 200L

/** Determines the hedging delay of a request. */
fun interface HedgePolicy {
    /**
     * Returns the time without a first token after which [spec] is hedged, or null for never.
     * [p95MsPerToken] is the observed 95th percentile of the first-token time per prompt token, or
     * null while there are too few observations.
     */
    fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long?
}

/** The default policy: the observed 95th percentile, with a minimum. Orders are never hedged. */
class RealHedgePolicy : HedgePolicy {
    override fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long? {
        if (spec.order != null || p95MsPerToken == null) return null
        return maxOf(MIN_HEDGE_DELAY_MS, (p95MsPerToken * spec.firstTokenCostTokens).toLong())
    }
}

/** Never hedges; the baseline for experiments. */
object NoHedgePolicy : HedgePolicy {
    override fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long? = null
}

/** Cost of the first token in prompt tokens, including the fixed [FIRST_TOKEN_BASE_TOKENS]. */
val RequestSpec.firstTokenCostTokens: Long
    get() = FIRST_TOKEN_BASE_TOKENS + promptTokens
