/*
 * Which backend servers are outliers, judged by own observations against the median of the failure domain.
 */
package org.pomeloladder.decisions

/** A server's first-token time or time between tokens above this multiple of the median is an outlier. */
const val OUTLIER_FACTOR = 3.0

/** A shorter first-token time is never an outlier, whatever the median is. */
const val MIN_OUTLIER_FIRST_TOKEN_MS = 150.0

/** Observations before a server is judged by its averages. */
private const val LEAST_OBSERVATIONS = 5

/** Failures without a success in between that make a server an outlier. */
private const val OUTLIER_FAILURES = 5

/** Times of one backend server. Zero stands for no observation. */
data class ServerHealth(
    /** Dispatch to first token, per prompt token that had to be processed. */
    val firstTokenMsPerToken: Double,
    /** The longest current wait for a first token, in the same unit; includes work that has not answered yet. */
    val pendingMsPerToken: Double,
    /** The longest current wait for a first token. */
    val pendingMs: Double,
    val firstTokenMs: Double,
    val betweenTokensMs: Double,
    val observations: Int,
    val failuresInARow: Int,
)

/** Judges one backend server. */
fun interface OutlierPolicy {
    /** The reason code for taking the server out, or null when it stays. [median] is that of the domain's others. */
    fun reason(server: ServerHealth, median: ServerHealth): String?
}

/** The policy of production. */
class RealOutlierPolicy : OutlierPolicy {
    override fun reason(server: ServerHealth, median: ServerHealth): String? = when {
        server.failuresInARow >= OUTLIER_FAILURES -> "failures"
        isSlow(server.pendingMsPerToken, median.firstTokenMsPerToken) &&
            server.pendingMs > MIN_OUTLIER_FIRST_TOKEN_MS -> "no-first-token"
        server.observations < LEAST_OBSERVATIONS -> null
        isSlow(server.firstTokenMsPerToken, median.firstTokenMsPerToken) &&
            server.firstTokenMs > MIN_OUTLIER_FIRST_TOKEN_MS -> "first-token"
        isSlow(server.betweenTokensMs, median.betweenTokensMs) -> "between-tokens"
        else -> null
    }

    private fun isSlow(ms: Double, medianMs: Double) =
        medianMs > 0 && ms > medianMs * OUTLIER_FACTOR
}

/** Ejects nothing: the baseline. */
object NoOutlierPolicy : OutlierPolicy {
    override fun reason(server: ServerHealth, median: ServerHealth): String? = null
}
