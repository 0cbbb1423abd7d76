/*
 * Decides whether a request is retried after it lost an attempt.
 */
package org.pomeloladder.decisions

/** Maximum number of attempts of one request after the first. */
const val MAX_RETRIES = 3

/** Share of requests that may be retried, so that retries do not amplify an overload. */
const val RETRY_BUDGET_SHARE = 0.1

/**
 * Reasons that mean that the attempt lost its server or VM, as opposed to overload or failed work.
 */
private val PLACE_LOST_REASONS = setOf(
    RefusalReason.EJECTED,
    RefusalReason.NOT_OWNER,
    RefusalReason.DRAINING,
    RefusalReason.PAUSED,
    RefusalReason.PEER_UNREACHABLE,
    RefusalReason.BACKEND_UNREACHABLE,
    RefusalReason.CONNECTION_LOST,
)

/**
 * Whether the attempt lost its server or VM and has to move. Such a retry replaces load that is
 * gone, so it is not charged to the retry budget: after an entry VM was killed, a budget of 10%
 * left half of its streams broken.
 */
val Refusal.isPlaceLost: Boolean
    get() = reason in PLACE_LOST_REASONS

/** Decides whether a request may be retried. */
fun interface RetryPolicy {
    fun mayRetry(request: Request, refusal: Refusal, nowMs: Long): Boolean
}

/** Retries idempotent work after refusals that another backend server or VM may not repeat. */
class RealRetryPolicy : RetryPolicy {
    override fun mayRetry(request: Request, refusal: Refusal, nowMs: Long): Boolean =
        request.spec.order == null &&
            request.retries < MAX_RETRIES &&
            nowMs < request.deadlineMs &&
            refusal.reason in RETRYABLE_REASONS

    private companion object {
        val RETRYABLE_REASONS = setOf(
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
