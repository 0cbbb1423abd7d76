/*
 * Orders whose home is this process. The table ensures that an order runs at most once: a key that
 * was dispatched is kept for as long as a request with that key can still arrive.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** State of an order at its home. An order never returns to an earlier state. */
enum class OrderState {
    /** The lookup before dispatch is in progress; the order has not been sent. */
    LOOKING_UP,

    /** Waiting for a free slot at the backend server; the order has not been sent. */
    QUEUED,

    /** Passed to the traffic threads. Never dispatched again, whatever the outcome. */
    DISPATCHED,

    /** The plain service answered. */
    DONE,

    /** Withdrawn, or proven not to have been sent. The key is never dispatched again. */
    WITHDRAWN,

    /** Sent, but the answer was lost. Only a lookup can determine the outcome. */
    UNKNOWN,
}

/** An order at its home. */
class Order(val key: OrderKey, val spec: RequestSpec, val createdMs: Long) {
    var state = OrderState.LOOKING_UP

    /** The current attempt to run the order; null once it has ended. */
    var attempt: AttemptId? = null

    /** The server to which the order was sent; null before dispatch. */
    var sentTo: BackendServerId? = null

    /** Whether the order is still to be dispatched, so no byte of it has been sent. */
    val isUnsent: Boolean
        get() = state == OrderState.LOOKING_UP || state == OrderState.QUEUED

    /** Returns whether [call] has the same subscriber and service as this order. */
    fun matchesCall(call: RequestSpec) =
        call.subscriber == spec.subscriber && call.service == spec.service
}

/**
 * This process's queued and running orders at one server. The window is separate from the owner's,
 * because a home also dispatches orders to servers that another process owns and reports on.
 */
class OrderWindow(val server: BackendServerId) {
    val queue = ArrayDeque<AttemptId>()
    val running = HashSet<AttemptId>()
}
