/*
 * Whether a request that lost an attempt gets another one.
 */
package org.pomeloladder.decisions

/** Most attempts of one request after the first. */
const val MAX_RETRIES = 3

/** Decides on retries. */
fun interface RetryPolicy {
    fun mayRetry(request: Request, refusal: Refusal, nowMs: Long): Boolean
}

/** Retries idempotent work for reasons that another backend server can mend. */
class RealRetryPolicy : RetryPolicy {
    override fun mayRetry(request: Request, refusal: Refusal, nowMs: Long): Boolean =
        request.spec.order == null &&
            request.retries < MAX_RETRIES &&
            nowMs < request.deadlineMs &&
            refusal.reason in RETRIABLE

    private companion object {
        val RETRIABLE = setOf(
            RefusalReason.QUEUE_FULL,
            RefusalReason.NOT_OWNER,
            RefusalReason.DRAINING,
            RefusalReason.PAUSED,
            RefusalReason.NOT_READY,
            RefusalReason.CONFIGURATION_BEHIND,
            RefusalReason.PEER_UNREACHABLE,
            RefusalReason.BACKEND_UNREACHABLE,
            RefusalReason.BACKEND_FAILED,
            RefusalReason.BACKEND_BUSY,
            RefusalReason.CONNECTION_LOST,
        )
    }
}
