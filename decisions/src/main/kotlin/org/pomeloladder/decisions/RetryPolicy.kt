/*
 * Whether a request that lost an attempt gets another one.
 */
package org.pomeloladder.decisions

/** Most attempts of one request after the first. */
const val MAX_RETRIES = 3

/** Part of requests that may be repeated, so that retries do not multiply an overload. */
const val RETRY_BUDGET_SHARE = 0.1

/** Reasons by which the place of an attempt was lost, and not the work judged too much. */
private val MOVES = setOf(
    RefusalReason.EJECTED,
    RefusalReason.NOT_OWNER,
    RefusalReason.DRAINING,
    RefusalReason.PAUSED,
    RefusalReason.PEER_UNREACHABLE,
    RefusalReason.BACKEND_UNREACHABLE,
    RefusalReason.CONNECTION_LOST,
)

/**
 * Whether the attempt has to move because its place was lost. Such a retry replaces load that is gone and costs no
 * budget: after an entry VM was killed, a budget of 10% left half of its streams broken.
 */
val Refusal.isPlaceLost: Boolean
    get() = reason in MOVES

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
            RefusalReason.DEADLINE_UNREACHABLE,
            RefusalReason.NOT_OWNER,
            RefusalReason.EJECTED,
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
