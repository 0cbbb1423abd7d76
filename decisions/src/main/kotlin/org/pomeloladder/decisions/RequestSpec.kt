/*
 * What the decisions need to know of a caller's request. The payload stays with the traffic threads.
 */
package org.pomeloladder.decisions

import kotlinx.serialization.Serializable
import org.pomeloladder.configuration.ConfigSequence
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.SubscriberId

/**
 * A request in terms of the decisions.
 *
 * [budgetMs] is the time that remains for the whole request; processes do not share a clock, so no absolute time is
 * sent. [sequence] is the configuration position by which the sender judged the request. [order] is set for a call that
 * must run at most once and null for an idempotent one; [orderCall] says what to do with that order.
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
    /** Expected work in tokens, the unit of fair sharing. */
    val costTokens: Long
        get() = promptTokens.toLong() + maxOutputTokens

    /** Whether this asks for work to be begun. Lookups and withdrawals of orders begin none. */
    val isNewWork: Boolean
        get() = order == null || orderCall == OrderCall.RUN
}

/** What a caller wants of an order key. */
@Serializable
enum class OrderCall {
    /** Run it, at most once. */
    RUN,

    /** Say what became of it. */
    LOOK_UP,

    /** Make sure that it never runs, if nothing was sent yet. */
    WITHDRAW,
}
