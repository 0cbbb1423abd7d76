/*
 * Detects outliers among backend servers by comparing each one with the median of its failure
 * domain.
 */
package org.pomeloladder.decisions

/**
 * A server's first-token time or time between tokens above this multiple of the median is an
 * outlier.
 */
const val OUTLIER_FACTOR = 3.0

/** A first-token time up to this value is never an outlier, whatever the median is. */
const val MIN_OUTLIER_FIRST_TOKEN_MS = 150.0

/** Minimum number of observations before the averages of a server are compared. */
private const val MIN_OBSERVATIONS = 5

/** Number of consecutive failures that make a server an outlier. */
private const val MIN_OUTLIER_FAILURES = 5

/** Observed latencies and failures of one backend server. Zero means no observation. */
data class ServerHealth(
    /** Time from dispatch to first token, per prompt token that had to be processed. */
    val firstTokenMsPerToken: Double,
    /** Longest wait among attempts that have no first token yet, in the same unit. */
    val pendingMsPerToken: Double,
    /** Longest wait among attempts that have no first token yet. */
    val pendingMs: Double,
    val firstTokenMs: Double,
    val betweenTokensMs: Double,
    val observations: Int,
    val failuresInARow: Int,
)

/** Decides whether a backend server is an outlier. */
fun interface OutlierPolicy {
    /**
     * Returns the reason code for ejecting the server, or null when it stays. [median] holds the
     * medians over the other servers of the failure domain.
     */
    fun reason(server: ServerHealth, median: ServerHealth): String?
}

/** The default policy: consecutive failures, and latencies well above the median. */
class RealOutlierPolicy : OutlierPolicy {
    override fun reason(server: ServerHealth, median: ServerHealth): String? = when {
        server.failuresInARow >= MIN_OUTLIER_FAILURES -> "failures"
        isSlow(server.pendingMsPerToken, median.firstTokenMsPerToken) &&
            server.pendingMs > MIN_OUTLIER_FIRST_TOKEN_MS -> "no-first-token"
        server.observations < MIN_OBSERVATIONS -> null
        isSlow(server.firstTokenMsPerToken, median.firstTokenMsPerToken) &&
            server.firstTokenMs > MIN_OUTLIER_FIRST_TOKEN_MS -> "first-token"
        isSlow(server.betweenTokensMs, median.betweenTokensMs) -> "between-tokens"
        else -> null
    }

    private fun isSlow(ms: Double, medianMs: Double) =
        medianMs > 0 && ms > medianMs * OUTLIER_FACTOR
}

/** Never ejects a server; the baseline for experiments. */
object NoOutlierPolicy : OutlierPolicy {
    override fun reason(server: ServerHealth, median: ServerHealth): String? = null
}
