/*
 * Orders that this process is the home of. The table is what makes an order run at most once: a key that has ever been
 * dispatched stays here for as long as it could arrive again.
 */
package org.pomeloladder.decisions

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
class Order(val key: OrderKey, var spec: RequestSpec, val createdMs: Long) {
    var state = OrderState.LOOKING_UP
    var attempt: AttemptId? = null
}
