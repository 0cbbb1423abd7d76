/*
 * The properties of a request on which decisions are based. The traffic threads keep the payload.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId

/**
 * A caller's request without its payload.
 *
 * [budgetMs] is the remaining time for the whole request. It is relative because processes do not
 * share a clock. [sequence] is the configuration position at which the sender checked the request.
 * [order] is set for a call that must run at most once, and null for an idempotent one; [orderCall]
 * is the operation on that order.
 */
@Serializable
data class RequestSpec(
    val id: RequestId,
    val subscriber: SubscriberId,
    val service: ServiceId,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefix: PrefixKey,
    val budgetMs: Long,
    val sequence: ConfigSequence,
    val order: OrderKey? = null,
    val orderCall: OrderCall = OrderCall.RUN,
) {
    /** Expected cost in tokens, the unit of fair sharing. */
    val costTokens: Long
        get() = promptTokens.toLong() + maxOutputTokens

    /** Whether the request starts work. Lookups and withdrawals of orders do not. */
    val isNewWork: Boolean
        get() = order == null || orderCall == OrderCall.RUN
}

/** The operation that a caller requests on an order key. */
@Serializable
enum class OrderCall {
    /** Runs the order, at most once. */
    RUN,

    /** Returns the outcome of the order. */
    LOOK_UP,

    /** Prevents the order from ever running, if it has not been sent yet. */
    WITHDRAW,
}
