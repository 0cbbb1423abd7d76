/*
 * The result of placement: where a call should go, and the estimates for that place.
 */
package org.pomeloladder.gateway

/** Where a call should go, if anywhere. */
sealed interface Placement {
    /**
     * An available place. [waitMs] is the expected time to the first event and [endMs] that to the end
     * of the answer; [costMs] adds to the wait what the time for the rest of the answer and the delay
     * of other calls count against the place.
     */
    sealed interface Candidate : Placement {
        val waitMs: Double
        val costMs: Double
        val endMs: Double
    }

    /**
     * A server of this region. It copies shared parts of the prompt from [source] when that is not
     * null.
     */
    data class Local(
        val backend: Backend,
        override val waitMs: Double,
        override val costMs: Double,
        override val endMs: Double,
        val source: PartSource? = null,
    ) : Candidate

    /** A peer in another region, or with a better path to the servers of this one. */
    data class Remote(
        val peer: Peer,
        override val waitMs: Double,
        override val costMs: Double,
        override val endMs: Double,
    ) : Candidate

    /** No place is available. [retryAfterMs] is the time after which one may be. */
    data class Unavailable(val reason: CallRefusal, val retryAfterMs: Long) : Placement
}
