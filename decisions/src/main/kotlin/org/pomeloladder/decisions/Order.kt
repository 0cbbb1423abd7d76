/*
 * Orders that this process is the home of. The table is what makes an order run at most once: a key that has ever been
 * dispatched stays here for as long as it could arrive again.
 */
package org.pomeloladder.decisions

import org.pomeloladder.configuration.BackendServerId

/** State of an order at its home. It only moves forward. */
enum class OrderState {
    /** The pre-dispatch lookup is under way; nothing has been sent. */
    LOOKING_UP,

    /** Waiting for a place at the backend server; nothing has been sent. */
    QUEUED,

    /** Handed to the traffic threads. From here on it is never dispatched again. */
    DISPATCHED,

    /** The plain service answered. */
    DONE,

    /** Withdrawn or proven not sent before any byte left. The key is never dispatched again. */
    WITHDRAWN,

    /** Sent, and the answer was lost. Only a lookup can tell. */
    UNKNOWN,
}

/** One order key at its home. */
class Order(val key: OrderKey, val spec: RequestSpec, val createdMs: Long) {
    var state = OrderState.LOOKING_UP

    /** The attempt that runs the order; null when it is over. */
    var attempt: AttemptId? = null

    /** The server that the order was sent to; null until dispatch. */
    var sentTo: BackendServerId? = null

    /** Whether the order is on its way to dispatch and no byte of it was sent. */
    val isUnsent: Boolean
        get() = state == OrderState.LOOKING_UP || state == OrderState.QUEUED

    /** Whether [call] comes from the subscriber and names the service of this order. */
    fun matchesCall(call: RequestSpec) =
        call.subscriber == spec.subscriber && call.service == spec.service
}

/**
 * Orders of this home at one server. The window is separate from the owner's, because a home dispatches orders to
 * servers that another process owns and reports in heartbeats.
 */
class OrderWindow(val server: BackendServerId) {
    val queue = ArrayDeque<AttemptId>()
    val running = HashSet<AttemptId>()
}
