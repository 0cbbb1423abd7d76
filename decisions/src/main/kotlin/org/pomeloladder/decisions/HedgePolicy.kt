/*
 * When a request without a first token gets a second attempt.
 */
package org.pomeloladder.decisions

/** No hedge before this time: a second attempt costs more than it saves when answers are this quick. */
const val MIN_HEDGE_DELAY_MS = 200L

/** Decides when to hedge. */
fun interface HedgePolicy {
    /**
     * Time without a first token after which [spec] is hedged, or null for never. [p95MsPerToken] is the observed 95th
     * percentile of first-token times relative to cost, or null while there are too few observations.
     */
    fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long?
}

/** The policy of production: the observed 95th percentile with a floor. An order is never hedged. */
class RealHedgePolicy : HedgePolicy {
    override fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long? {
        if (spec.order != null || p95MsPerToken == null) return null
        return maxOf(MIN_HEDGE_DELAY_MS, (p95MsPerToken * spec.firstTokenCostTokens).toLong())
    }
}

/** Never hedges: the baseline. */
object NoHedgePolicy : HedgePolicy {
    override fun delayMs(spec: RequestSpec, p95MsPerToken: Double?): Long? = null
}

/** Cost of the first token. */
val RequestSpec.firstTokenCostTokens: Long
    get() = FIRST_TOKEN_BASE_TOKENS + promptTokens
