/*
 * What placement answers: where a call should go, and what is expected of the place.
 */
package org.pomeloladder.gateway

/** Where a call should go. */
sealed interface Placement {
    /** A place that can be had; it is expected to give its first event after [waitMs]. */
    sealed interface Candidate : Placement {
        val waitMs: Double
        val costMs: Double
    }

    /**
     * A server of this region; [waitMs] is the expected time to its first event. [costMs] adds what the time of the rest
     * of the answer and the delay of other calls weigh against it. The server copies shared parts from [source].
     */
    data class Local(
        val backend: Backend,
        override val waitMs: Double,
        override val costMs: Double,
        val source: PartSource? = null,
    ) : Candidate

    /** A peer in another region. */
    data class Remote(val peer: Peer, override val waitMs: Double, override val costMs: Double) :
        Candidate

    /** No place at the moment. [retryAfterMs] says when one is expected. */
    data class Unavailable(val reason: CallRefusal, val retryAfterMs: Long) : Placement
}
